"""The types that the decision module speaks; an adapter fills them in and carries the actions out.

Times are whole microseconds, memory is in kilobytes. RPCs are objects here; ids belong to the adapter.
"""
from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, NamedTuple


class Kind(Enum):
    """Whether an RPC of a method may run again."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class Halt(Enum):
    """What taking an RPC off the cores does to its work."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "suspend"


class Say(Enum):
    """What the free value on answers means to the callers that heed it."""

    NONE = "none"
    THRESHOLD = "threshold"
    WINDOW = "window"
    SHARE = "share_of"


class Outcome(IntEnum):
    """How a run, a join or a call below ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


@dataclass(slots=True, eq=False)
class Method:
    kind: Kind
    criticality: float
    latency_target: int
    deadline: int
    window: int = 0
    skip_share: float = 0.0


@dataclass(slots=True, eq=False)
class Tenant:
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Pool:
    """Shares of the running limit and of the calls below; `retries` of first calls, `floor` of them a second."""

    name: str
    guaranteed: float
    ceiling: float = 1.0
    lends: bool = True
    heir: str = ""
    retries: float = 0.1
    floor: float = 1.0
    limit: str = ""  # the policy of a limit of its own on its calls; none if empty


@dataclass(slots=True, frozen=True)
class Reserve:
    """Shares kept for the cheapest work: of the running limit, of memory, of calls."""

    running: float = 0.0
    memory: float = 0.0
    calls: float = 0.0


@dataclass(slots=True, frozen=True)
class Pooling:
    """The pools, and which each method (by its number) belongs to; the last pool takes those that are in none."""

    pools: tuple[Pool, ...] = ()
    of: tuple[int, ...] = ()
    reserve: Reserve = Reserve()


@dataclass(slots=True, frozen=True)
class Below:
    """The limit on calls: its policy and its bounds; `most` 0 for nine tenths of this instance's share."""

    policy: str = "window"
    least: float = 0.0
    most: float = 0.0


@dataclass(slots=True)
class Seat:
    """An RPC's pool by its number; when the pools change it names the one that took it over, -1 for none."""

    number: int
    heir: Seat | None = None

    def find(self) -> int:
        seat = self
        while seat.heir is not None:
            seat = seat.heir
        return seat.number


@dataclass(slots=True)
class Settings:
    methods: list[Method]
    cores: int
    memory: float
    run_factor: float
    key_size: float = 0.0
    tenants: list[Tenant] = field(default_factory=list)
    peers: int = 1
    over_share: float = 1.0
    cold: bool = False
    cold_from: float = 1.0
    warm_after: int = 0
    fall_multiple: float = 2.0
    drain_grace: int = 0
    halt: Halt = Halt.NONE
    say: Say = Say.NONE
    calls_out: float = 0.0
    calls_over: int = 5_000_000  # the span over which what is below averages the calls it holds
    linger: int = 0
    gauges: list[str] = field(default_factory=list)
    longest_advice: int = 0
    longest_idle: int = 0
    pooling: Pooling | None = None
    below: Below = Below()
    by_work: bool = False  # criticality is counted for each unit of work, not for each RPC
    promises: bool = False  # a time to come back sets a place aside
    tier_below: bool = False  # calls go to a tier of servers that guard themselves, not a shared dependency


@dataclass(slots=True, eq=False)
class Rpc:
    """One RPC as it was read; the fields from `due` on belong to the decision module."""

    method: Method
    caller: int
    tenant: Tenant | None
    size: float
    patience: int  # how long the caller still waits; 0 where that is not passed on
    waited: int = 0  # how long it lay unread
    further: bool = False  # marked as a further try or a second copy
    earlier: Rpc | None = None  # the kept RPC that this one repeats
    hint: int = 0  # its work as the caller guesses it, microseconds on a usual core; 0 where none is given
    due: int = 0
    target: int = 0
    tag: int = 0
    level: int = 0  # latency class, from 1
    place: str = ""
    ran: bool = False
    answered: bool = False
    since: int = 0
    off_cores: int = 0
    seat: Seat | None = None
    spare: bool = False  # on the reserve: its place now, on the cores or at a call
    called: int = 0  # calls below
    promised: bool = False  # its caller was told to come now
    life: Generator[Any, Any, None] | None = None


class Do(Enum):
    START = 1
    PUSH_BACK = 2
    ABORT = 3
    HALT = 4
    CALL = 5
    SKIP = 6
    KEEP = 7
    FORGET = 8
    JOIN = 9
    HEALTH = 10
    SAY = 11
    TIMER = 12
    IDLE = 13


class Action(NamedTuple):
    """`span` is an advice, a time-out, a life in the table, a timer or an idle limit, by what is done."""

    do: Do
    rpc: Rpc | None = None
    span: int = 0
    flag: bool = False
    value: float = 0.0
