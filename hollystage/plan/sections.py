"""The schemas of the sections of a plan, one class each: keys, units, bounds and defaults are defined only here.

Times are whole microseconds, sizes are bytes, rates are per second and shares are between 0 and 1. The type of a key
declares its unit, or the section that it refers to. msgspec checks the bounds.
"""
from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, ClassVar, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$",
                           extra={"fix": "use up to 64 letters, digits, . _ and -"})]
Address = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,253}:[0-9]{1,5}$", extra={"fix": 'write "127.0.0.1:8080"'})]
NumericAddress = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$",
                                     extra={"fix": 'write it in numbers, like "10.0.0.1:7400"'})]
Path = Annotated[str, Meta(min_length=1, max_length=1024, pattern=r"^[^\x00-\x1f]+$", extra={"fix": "name a file"})]
Pattern = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[\x21-\x29\x2b-\x7e]*\*?$",
                              extra={"fix": "use 1 to 128 characters, a * at the end only"})]
Time = Annotated[int, Meta(ge=1, le=86_400_000_000, extra={"unit": "time"})]
TimeOrZero = Annotated[int, Meta(ge=0, le=86_400_000_000, extra={"unit": "time"})]
Size = Annotated[int, Meta(ge=1, le=1 << 50, extra={"unit": "size"})]
SizeOrZero = Annotated[int, Meta(ge=0, le=1 << 50, extra={"unit": "size"})]
Rate = Annotated[float, Meta(gt=0, le=1e9, extra={"unit": "rate"})]
Share = Annotated[float, Meta(ge=0, le=1, extra={"unit": "share"})]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
MethodName = Annotated[str, Meta(extra={"ref": "method"})]
TenantName = Annotated[str, Meta(extra={"ref": "tenant"})]
LedgerName = Annotated[str, Meta(extra={"ref": "ledger"})]
PoolName = Annotated[str, Meta(extra={"ref": "pool"})]

Problem = tuple[str, str, str]  # the key, what is wrong, how to fix it


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all sections; an instance holds the values of one entry.

    Attributes:
        section_name: the name by which a script calls the section.
        positional: the keys that the first arguments of a call set.
        allows_multiple: whether a plan may have more than one entry of this section.
        reloadable: the keys that SIGHUP applies without a restart, "*" for all.
        has_effect: whether this version uses the section; otherwise it only checks it.
    """

    section_name: ClassVar[str] = ""
    positional: ClassVar[tuple[str, ...]] = ()
    allows_multiple: ClassVar[bool] = False
    reloadable: ClassVar[tuple[str, ...]] = ()
    has_effect: ClassVar[bool] = True

    def title(self) -> str:
        """The name of the entry in messages; empty for a section with only one entry."""
        return str(getattr(self, "name", ""))

    def problems(self) -> Iterator[Problem]:
        """Checks the keys of one entry against each other."""
        return iter(())


class Instance(Section, frozen=True):
    """The instance: its name on the control plane, its random seed, and the time from SIGTERM to SIGKILL (`stop`)."""

    section_name, positional = "instance", ("name",)
    name: Name
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,16}$", extra={"fix": "use up to 16 hex digits"})] = "0"
    stop: Time = 3_000_000


class Listener(Section, frozen=True):
    """An address on which the instance accepts client connections."""

    section_name, positional, allows_multiple = "listener", ("address",), True
    address: Address
    protocol: Literal["http"] = "http"

    def title(self) -> str:
        return self.address


class Interpreter(Section, frozen=True):
    """The address of the interpreter, which executes RPCs."""

    section_name, positional, reloadable = "interpreter", ("address",), ("*",)
    address: Address


class ControlPlane(Section, frozen=True):
    """The address of the control plane, to which the instance reports its health."""

    section_name, positional, reloadable = "control", ("address",), ("*",)
    address: Address


class Ledger(Section, frozen=True):
    """A ledger, the target of downstream calls."""

    section_name, positional, allows_multiple, reloadable = "ledger", ("name", "address"), True, ("address",)
    name: Name
    address: Address


class Process(Section, frozen=True):
    """The resources that this process itself may use: cores, memory in bytes, sockets."""

    section_name = "process"
    cores: Positive = 1.0
    memory: Annotated[int, Meta(ge=32 << 20, le=1 << 50, extra={"unit": "size"})] = 192 << 20
    sockets: Annotated[int, Meta(ge=32, le=1_000_000)] = 1024

    def problems(self) -> Iterator[Problem]:
        # 30 MiB for the program, and 60 KiB for each client connection; they use at most 11/16 of the sockets
        needed = (30 << 20) + self.sockets * 11 // 16 * (60 << 10)
        if needed > self.memory:
            max_sockets = max(32, ((self.memory - (30 << 20)) // (60 << 10)) * 16 // 11)
            yield ("sockets", f"connections on {self.sockets} sockets may take {needed >> 20} MiB, "
                   f"more than the {self.memory >> 20} MiB of memory", f"write {max_sockets}, or raise memory")


class Machine(Section, frozen=True):
    """The machine of the interpreter, and what the interpreter supports.

    Attributes:
        memory: memory for RPCs, bytes.
        run_factor: memory of a started RPC as a multiple of the size that was read.
        key: memory that one remembered idempotency key takes with its result, bytes.
        cold: whether the instance starts cold, that is, slower than usual.
        halt: what the interpreter can do with a running RPC whose result is no longer needed.
        say: the load signal that answers carry.
        calls_out: this instance's share of the concurrent calls to a shared dependency.
        below: whether the dependency is shared, or a tier of servers that limit their own load.
        linger: how long the dependency may keep working on an abandoned call.
        gauges: gauges that the interpreter reports, in their order.
        idle: longest idle time of a kept client connection, 0 for no limit.
    """

    section_name = "machine"
    cores: Annotated[int, Meta(ge=1, le=4096)]
    memory: Size
    run_factor: Positive
    key: SizeOrZero = 0
    cold: bool = False
    halt: Literal["none", "abort", "suspend"] = "none"
    say: Literal["none", "threshold", "window", "share_of"] = "none"
    calls_out: NonNegative = 0
    below: Literal["shared", "tier", "none"] = "shared"
    linger: TimeOrZero = 0
    gauges: list[Literal["cores", "crowd", "memory", "connections"]] = []
    idle: TimeOrZero = 0

    def problems(self) -> Iterator[Problem]:
        if self.key * 10 > self.memory:
            yield ("key", "the results of ten RPCs with idempotency keys would fill the machine's memory",
                   "make it smaller, or raise memory")
        for index, gauge in enumerate(self.gauges):
            if gauge in self.gauges[:index]:
                yield "gauges", f'the gauge "{gauge}" is listed twice', "list each gauge once"


class Rules(Section, frozen=True):
    """Rules of the platform: where throughput collapses, the grace of a drain, and the warm-up.

    Attributes:
        fall_multiple: number of started RPCs for each core at which throughput collapses.
        drain_grace: time after the start of a drain during which arriving RPCs are still accepted.
        cold_from: speed of a cold instance right after its start, as a share of the usual speed.
        warm_after: time after which a cold instance has its usual speed.
    """

    section_name = "rules"
    fall_multiple: Positive
    drain_grace: TimeOrZero
    cold_from: Share = 1.0
    warm_after: TimeOrZero = 0


class Refusals(Section, frozen=True):
    """What a rejection may advise: a time after which to retry, at most `longest`.

    With `promises`, such a time reserves a slot for the retry, as long as there are slots to reserve.
    """

    section_name = "refusals"
    retry_after: bool = False
    longest: TimeOrZero = 0
    promises: bool = False

    def problems(self) -> Iterator[Problem]:
        if self.retry_after and not self.longest:
            yield "retry_after", "retry_after with a longest time of 0", "add longest = 1s"
        if self.promises and not self.retry_after:
            yield "promises", "promises without retry_after", "add retry_after = True, or remove it"


class Fleet(Section, frozen=True):
    """The instances that share the work, and how they communicate: `bind` turns communication between them on.

    Attributes:
        over_share: value of an RPC beyond its tenant's quota, as a share of the method's criticality.
        worth_by: whether criticality counts for each RPC or for each unit of work.
        advertise: the address at which other instances reach this one, if it is not `bind`.
        peers: instances to contact first; the others are discovered through them.
        key: file with the key that authenticates messages between instances.
        period: the interval between probes of the membership protocol.
    """

    section_name = "fleet"
    instances: Count = 1
    over_share: Share = 1.0
    worth_by: Literal["request", "work"] = "request"
    bind: NumericAddress | None = None
    advertise: NumericAddress | None = None
    peers: Annotated[list[NumericAddress], Meta(max_length=64, extra={
        "fix": "list addresses; their number is instances = ..."})] = []
    zone: Name = "here"
    cluster: Name = "hollystage"
    key: Path | None = None
    period: Annotated[int, Meta(ge=50_000, le=60_000_000, extra={"unit": "time"})] = 500_000

    def problems(self) -> Iterator[Problem]:
        if self.bind is None:
            for key in ("advertise", "peers", "key"):
                if getattr(self, key):
                    yield key, f"{key} without bind: instances do not communicate", 'add bind = "10.0.0.1:7400"'
        elif self.key is None:
            yield "bind", "communication between instances without a key", 'add key = "/etc/hollystage/fleet.key"'
        if (self.advertise or self.bind or "").startswith("0.0.0.0:"):
            yield "bind", "an address that other instances cannot reach", "add advertise = ..., or name one address"


class State(Section, frozen=True):
    """The folder with the state that outlives the process. Each instance needs one of its own."""

    section_name, positional = "state", ("path",)
    path: Path
    every: Time = 2_000_000  # interval between snapshots of the learned statistics


class Method(Section, frozen=True):
    """A method that clients may call, with its latency target and deadline.

    Attributes:
        window: how long a retry with the same idempotency key is recognized (kind "tokened" only).
        skip_share: share of the criticality that remains if the downstream call is skipped; 0 if it cannot be.
    """

    section_name, positional, allows_multiple = "method", ("name",), True
    name: Annotated[str, Meta(pattern=r"^[\x21-\x24\x26-\x2e\x30-\x3e\x40-\x7e]{1,64}$",
                              extra={"fix": "use up to 64 characters, no space, %, / or ?"})]
    kind: Literal["idempotent", "tokened", "non-idempotent"]
    target: Time
    deadline: Time
    window: TimeOrZero = 0
    criticality: NonNegative = 1.0
    skip_share: Share = 0.0

    def problems(self) -> Iterator[Problem]:
        from ..language.units import TIME, Quantity  # noqa: PLC0415  # the language is imported only to check a script
        if self.target > self.deadline:
            yield "target", "a latency target past the deadline", "make it shorter than the deadline"
        if self.kind == "tokened":
            deadline = Quantity(_to_fraction(self.deadline), TIME)
            if not self.window:
                yield "kind", 'kind "tokened" without a window', "add window = ..., at least the deadline"
            elif self.window < self.deadline:
                yield ("window", "a window shorter than the deadline: a retry could run again",
                       f"write {deadline} or more")
        elif self.window:
            yield "window", f'a window for the kind "{self.kind}"', 'remove it, or write kind = "tokened"'
        if self.skip_share and self.kind == "tokened":
            yield "skip_share", 'a skip_share for the kind "tokened"', "remove it"


class Tenant(Section, frozen=True):
    """A sender of RPCs, with its quota in RPCs per second."""

    section_name, positional, allows_multiple = "tenant", ("name",), True
    name: Name
    quota: Rate | None = None


class Route(Section, frozen=True):
    """Assigns RPCs to a pool, and their downstream calls to a ledger. The first route that matches is used."""

    section_name, allows_multiple, reloadable, has_effect = "route", True, ("*",), False
    method: MethodName | None = None
    tenant: TenantName | None = None
    object: Pattern | None = None
    pool: PoolName | None = None
    ledger: LedgerName | None = None

    def title(self) -> str:
        return " ".join(part or "*" for part in (self.method, self.tenant, self.object))

    def problems(self) -> Iterator[Problem]:
        if self.pool is None and self.ledger is None:
            yield "", "a route without a pool or a ledger", "add pool = ... or ledger = ..."


class Pool(Section, frozen=True):
    """A part of the machine for some methods.

    Attributes:
        guaranteed: share of the run limit and of the downstream calls that the pool can always use.
        ceiling: greatest share that it may use by borrowing from other pools.
        lends: whether other pools may borrow the part of its guarantee that it does not use.
        heir: the pool that takes over its RPCs if a reload removes this pool.
        retries: retries of downstream calls that are allowed for each first attempt.
        floor: retries per second that are allowed however few first attempts there are.
        limit: policy of the pool's own limit on concurrent calls; None for no such limit.
    """

    section_name, positional, allows_multiple, reloadable = "pool", ("name",), True, ("*",)
    name: Name
    guaranteed: Share
    methods: list[MethodName] = []
    ceiling: Share = 1.0
    lends: bool = True
    heir: PoolName | None = None
    retries: Share = 0.1
    floor: Rate = 1.0
    limit: Literal["window", "aimd", "gradient", "queue", "delivery"] | None = None

    def problems(self) -> Iterator[Problem]:
        if self.ceiling < self.guaranteed:
            yield "ceiling", "a ceiling below the guaranteed share", "raise it"
        if self.heir == self.name:
            yield "heir", "a pool that is its own heir", "name another pool"


class Reserve(Section, frozen=True):
    """Shares of the run limit, memory and downstream calls that are kept for the cheapest work under any load."""

    section_name, reloadable = "reserve", ("running", "memory", "calls")
    running: Share = 0.0
    memory: Share = 0.0
    calls: Share = 0.0


class Limit(Section, frozen=True):
    """The limit on concurrent calls to a ledger, and the policy that adapts it."""

    section_name, positional, allows_multiple = "limit", ("ledger",), True
    ledger: LedgerName
    policy: Literal["window", "aimd", "gradient", "queue", "delivery", "fixed"] = "aimd"
    least: Count = 1
    most: Count = 1000

    def title(self) -> str:
        return self.ledger

    def problems(self) -> Iterator[Problem]:
        if self.least > self.most:
            yield "least", "least is greater than most", "lower it"


class Retry(Section, frozen=True):
    """Retries of calls to a ledger: attempts for each call, and a budget in proportion to first attempts."""

    section_name, positional, allows_multiple, reloadable, has_effect = "retry", ("ledger",), True, ("*",), False
    ledger: LedgerName
    tries: Annotated[int, Meta(ge=1, le=5)] = 2
    budget: Share = 0.1
    floor: Rate = 1.0

    def title(self) -> str:
        return self.ledger


class Hedge(Section, frozen=True):
    """Hedged calls: a second call is made when the first takes longer than a quantile of all calls."""

    section_name, positional, allows_multiple, reloadable, has_effect = "hedge", ("method",), True, ("*",), False
    method: MethodName
    quantile: Share = 0.95
    budget: Share = 0.05

    def title(self) -> str:
        return self.method


def _to_fraction(value: int) -> Any:
    from fractions import Fraction
    return Fraction(value)


SECTIONS: dict[str, type[Section]] = {}


def register(*sections: type[Section]) -> None:
    """Adds sections to those that scripts and compiled plans may use.

    Raises:
        ValueError: another section has the same name.
    """
    for section in sections:
        if not section.section_name or SECTIONS.get(section.section_name, section) is not section:
            raise ValueError(f"the section {section.section_name!r} is already registered")
        SECTIONS[section.section_name] = section


register(Instance, Listener, Interpreter, ControlPlane, Ledger, Process, Machine, Rules, Refusals, Fleet, State,
         Method, Tenant, Pool, Reserve, Limit, Route, Retry, Hedge)
