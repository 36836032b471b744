"""Types shared by the decision module and its adapters.

An adapter (`service` or `benchlink`) creates an Rpc for each request, reports events to Control and carries out the
actions that Control returns. All times are whole microseconds and memory is in kilobytes. RPCs are identified
by object; wire ids are known to the adapter only.
"""
from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, NamedTuple


class MethodKind(Enum):
    """Whether an RPC of a method may run more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "tokened"  # repeats are recognized by an idempotency key and run once
    NON_IDEMPOTENT = "non-idempotent"


class Halt(Enum):
    """What happens to the work of an RPC that the interpreter is asked to halt."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "suspend"


class LoadSignal(Enum):
    """Meaning of the load signal, the number on answers by which callers adjust how much they send.

    THRESHOLD: callers withhold RPCs below this rank of criticality. WINDOW: the largest number of open RPCs for
    each caller. SHARE: the share of its RPCs that a caller may send.
    """

    NONE = "none"
    THRESHOLD = "threshold"
    WINDOW = "window"
    SHARE = "share_of"


class Outcome(IntEnum):
    """How a run, a joined run or a downstream call ended.

    FULL: refused because the callee was full. MOOT: the result no longer matters, for example because the run
    never started. Names in lower case appear in metrics.
    """

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
    """An RPC method and its objectives.

    Attributes:
        kind: Whether it may run more than once.
        criticality: Value of one RPC answered within its latency target.
        latency_target: Time from arrival within which an answer has its full value, microseconds.
        deadline: Time from arrival after which an answer is worthless, microseconds.
        window: How long an idempotency key is remembered, microseconds.
        skip_share: Share of the criticality that remains if the downstream call is skipped; 0 if it cannot be.
    """

    kind: MethodKind
    criticality: float
    latency_target: int
    deadline: int
    window: int = 0
    skip_share: float = 0.0


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant and its quota: RPCs a second over all instances; 0 for no quota."""

    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Pool:
    """A group of methods with a guaranteed share of the run limit and of the downstream call limit.

    Attributes:
        guaranteed: Share that the pool can always use.
        ceiling: Largest share that it may use by borrowing from other pools.
        lends: Whether other pools may borrow the part of its guarantee that it does not use.
        heir: Name of the pool that takes over its RPCs if the pool is removed.
        retry_ratio: Retries of downstream calls that are allowed for each first call.
        min_retries_per_s: Retries a second that are allowed however few first calls there are.
        limit_policy: Policy of the pool's own limit on concurrent calls; empty for no such limit.
    """

    name: str
    guaranteed: float
    ceiling: float = 1.0
    lends: bool = True
    heir: str = ""
    retry_ratio: float = 0.1
    min_retries_per_s: float = 1.0
    limit_policy: str = ""


@dataclass(slots=True, frozen=True)
class Reserve:
    """Shares of the run limit, of memory and of downstream calls that are kept back for the cheapest work."""

    running: float = 0.0
    memory: float = 0.0
    calls: float = 0.0


@dataclass(slots=True, frozen=True)
class PoolConfig:
    """Configuration of the pools.

    Attributes:
        pools: All pools; the last one also takes methods that `pool_of_method` does not list.
        pool_of_method: Index of the pool for each method, by the method's number.
        reserve: Capacity kept back for the cheapest work.
    """

    pools: tuple[Pool, ...] = ()
    pool_of_method: tuple[int, ...] = ()
    reserve: Reserve = Reserve()


@dataclass(slots=True, frozen=True)
class CallLimitConfig:
    """Policy and bounds of the limit on concurrent downstream calls.

    Attributes:
        policy: Name of a policy in `decisions.calls.limits.POLICIES`.
        min_limit: Lower bound; 0 for a tenth of this instance's share.
        max_limit: Upper bound; 0 for nine tenths of this instance's share.
    """

    policy: str = "window"
    min_limit: float = 0.0
    max_limit: float = 0.0


@dataclass(slots=True)
class PoolRef:
    """Reference to a pool that stays valid when the pools change.

    Attributes:
        number: Index of the pool; -1 if pools were removed altogether.
        successor: Reference to the pool that took this one over, once the pools have changed.
    """

    number: int
    successor: PoolRef | None = None

    def find(self) -> int:
        """Index of the current pool, after all changes of the pools."""
        ref = self
        while ref.successor is not None:
            ref = ref.successor
        return ref.number


@dataclass(slots=True)
class Settings:
    """Settings of one decision module.

    Attributes:
        memory: Memory of the instance, kilobytes.
        run_factor: Memory of a started RPC as a multiple of the size that was read.
        key_size: Memory that one remembered idempotency key takes, kilobytes.
        peers: Number of instances that share the tenants' quotas.
        over_quota_worth: Value of an RPC beyond its tenant's quota, as a share of the method's criticality.
        cold: Whether the instance starts cold, that is, slower than usual.
        cold_from: Speed of a cold instance right after its start, as a share of the usual speed.
        warm_after: Time after which a cold instance has its usual speed, microseconds.
        fall_multiple: Number of started RPCs for each core at which throughput collapses.
        drain_grace: Time after the start of a drain during which arriving RPCs are still accepted, microseconds.
        calls_out: This instance's share of the downstream dependency's concurrent calls.
        call_averaging_span: Span over which the dependency averages its concurrent calls, microseconds.
        linger: How long the dependency may keep working on a call that was abandoned, microseconds.
        gauges: Names of the gauges that the interpreter reports, in order.
        max_retry_after: Longest time that callers are advised to wait before a retry, microseconds; 0 for no advice.
        max_idle: Longest idle time of a kept connection, microseconds; 0 for no limit.
        pooling: The pools; None for a single queue.
        call_limit: The limit on concurrent downstream calls.
        criticality_per_work: Whether criticality is counted for each unit of work instead of for each RPC.
        promises: Whether capacity is reserved for the time at which a caller is advised to retry.
        downstream_tier: Whether calls go to a tier of servers that limit their own load instead of to a shared
            dependency.
    """

    methods: list[Method]
    cores: int
    memory: float
    run_factor: float
    key_size: float = 0.0
    tenants: list[Tenant] = field(default_factory=list)
    peers: int = 1
    over_quota_worth: float = 1.0
    cold: bool = False
    cold_from: float = 1.0
    warm_after: int = 0
    fall_multiple: float = 2.0
    drain_grace: int = 0
    halt: Halt = Halt.NONE
    load_signal: LoadSignal = LoadSignal.NONE
    calls_out: float = 0.0
    call_averaging_span: int = 5_000_000
    linger: int = 0
    gauges: list[str] = field(default_factory=list)
    max_retry_after: int = 0
    max_idle: int = 0
    pooling: PoolConfig | None = None
    call_limit: CallLimitConfig = CallLimitConfig()
    criticality_per_work: bool = False
    promises: bool = False
    downstream_tier: bool = False


@dataclass(slots=True, eq=False)
class Rpc:
    """One RPC and its scheduling state.

    The adapter sets the fields before `due`; the decision module sets the others.

    Attributes:
        caller: Number that identifies the caller or its connection.
        tenant: The tenant; None if tenants are not configured.
        size: Memory that the RPC takes once read, kilobytes.
        timeout: How long the caller still waits, microseconds; 0 if unknown, negative if that time is over.
        unread_time: How long the RPC lay unread before it was read, microseconds.
        is_retry: Whether the caller marked it as a retry or a second copy.
        earlier: The remembered RPC with the same idempotency key, if there is one.
        work_hint: The caller's estimate of its work, microseconds on a usual core; 0 if none was given.
        kept_connection: Whether its connection has carried an RPC before.
        due: Time by which it has to be answered.
        target: Time up to which its answer has its full value.
        tag: Finish tag; the queues are ordered by it.
        level: Class level in the token bucket cascade, from 1.
        state: One of the states of `policy.buckets`, such as RUNNING; empty before the first one.
        ran: Whether it was started.
        answered: Whether its answer was decided.
        state_since: Time of the last change of state.
        off_core_time: Time since its start that it was waiting for a call or calling, microseconds.
        queue_entry: Sequence number of its latest entry in a queue; entries with another number are out of date.
        pool_ref: Its pool, if pools are configured.
        uses_reserve: Whether its present slot on the cores or at a call belongs to the reserve.
        calls_made: Number of downstream calls.
        promised: Whether its caller was advised to retry at this time.
        lifecycle: Generator that carries it through its states; None once it is over.
    """

    method: Method
    caller: int
    tenant: Tenant | None
    size: float
    timeout: int
    unread_time: int = 0
    is_retry: bool = False
    earlier: Rpc | None = None
    work_hint: int = 0
    kept_connection: bool = False
    due: int = 0
    target: int = 0
    tag: int = 0
    level: int = 0
    state: str = ""
    ran: bool = False
    answered: bool = False
    state_since: int = 0
    off_core_time: int = 0
    queue_entry: int = 0
    pool_ref: PoolRef | None = None
    uses_reserve: bool = False
    calls_made: int = 0
    promised: bool = False
    lifecycle: Generator[Any, Any, None] | None = None


class ActionKind(Enum):
    """What the adapter is to do."""

    START = 1  # start the RPC on the cores
    REJECT = 2  # answer without running; `flag`: advise against a retry, `duration`: when to retry
    ABORT = 3  # answer with an error; the RPC may have run
    HALT = 4  # take its work off the cores
    CALL = 5  # make the downstream call; `duration`: its timeout
    SKIP = 6  # continue the run without its downstream call
    KEEP = 7  # remember its idempotency key; `duration`: for how long
    FORGET = 8  # forget its idempotency key
    JOIN = 9  # answer with the result of the earlier RPC of the same idempotency key
    HEALTH = 10  # report to the balancer whether the instance is healthy, `flag`
    LOAD_SIGNAL = 11  # put the load signal `value` on answers
    TIMER = 12  # call tick() after `duration`
    IDLE_LIMIT = 13  # close connections that were idle for `duration`


class Action(NamedTuple):
    """One action for the adapter; the comments of ActionKind state which fields each kind uses.

    Attributes:
        rpc: The RPC it concerns; None for actions of the whole instance.
        duration: A time span, microseconds.
    """

    kind: ActionKind
    rpc: Rpc | None = None
    duration: int = 0
    flag: bool = False
    value: float = 0.0
