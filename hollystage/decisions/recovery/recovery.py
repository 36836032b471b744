"""Recovery of learned state after a restart, and detection of RPCs that an earlier process may have run.

The weight of a stored value decreases with its age, by the half-life of its kind, until only the default of a cold
start remains. A value of unknown age has no weight, and grants to an earlier boot are void. `LEARNED_KINDS` lists all
kinds; for each, docs/notes/comeback.md names the test that shows that a stale value does no harm.
"""
from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Hashable, Mapping
from math import isfinite
from statistics import median
from typing import Any, NamedTuple, Protocol

import msgspec

from ...interface import Method, MethodKind, Settings
from ..membership.records import Belief, Record, Stage, View

MAX_STORED_RUNS = 10.0  # bounds the sample weight of a stored mean, so that new measurements soon outweigh it
MAX_DURATION_US = 3.6e9  # one hour; no cost or call takes longer
MIN_WEIGHT = 0.02  # a smaller weight counts as 0
MAX_REMEMBERED_KEYS = 8_192  # idempotency keys of first attempts that a RestartGuard remembers
MAX_CLOCK_SKEW_S = 5.0  # a snapshot that is further ahead of the clock has an unknown age


class Aging(NamedTuple):
    """How a kind of learned value ages.

    `half_life` is in seconds; 0 for values that are void after a start. `fallback` describes what replaces the value.
    """

    half_life: float
    fallback: str


LEARNED_KINDS: dict[str, Aging] = {
    "costs": Aging(600, "a generous default, then own measurements; not used on another kind of machine"),
    "times off the cores": Aging(600, "zero until calls are made"),
    "pace of hints": Aging(600, "one"),
    "ages of first tries elsewhere": Aging(30, "zero"),
    "patiences": Aging(3600, "no observations"),
    "usual call": Aging(300, "the first call that ends"),
    # stored relative to the instance's share, so that it fits a fleet of another size
    "limit on calls": Aging(60, "half of the share, which a stored limit never exceeds"),
    "rates of clients": Aging(0, "an even split; rates are measured within seconds"),
    "share of calls": Aging(0, "the configured share"),
    "times to come back": Aging(0, "new promises: the longest delay is shorter than a start"),
    "leases held": Aging(0, "requested again"),
    "zones left": Aging(0, "the latest generation that peers know"),
    "drains begun": Aging(0, "none"),
}
MONOTONIC = ("boot", "generations")  # numbers that never decrease: the greatest known value is valid at any age


def weight(kind: str, age_s: float | None) -> float:
    """Returns the weight of a stored value of this kind and age, from 0 to 1.

    >>> [weight("costs", age_s) for age_s in (0, 600, 1e6, None)], weight("leases held", 1)
    ([1.0, 0.5, 0.0, 0.0], 0.0)
    """
    half_life = LEARNED_KINDS[kind].half_life
    if age_s is None or half_life <= 0:
        return 0.0
    remaining = float(0.5 ** (max(0.0, age_s) / half_life))
    return remaining if remaining >= MIN_WEIGHT else 0.0


def age(written_ms: int, now_ms: int) -> float | None:
    """Returns the age of a snapshot in seconds; None if its time is more than `MAX_CLOCK_SKEW_S` in the future."""
    if written_ms > now_ms + MAX_CLOCK_SKEW_S * 1000:
        return None
    return max(0.0, (now_ms - written_ms) / 1000)


class MethodStats(msgspec.Struct, frozen=True, array_like=True):
    """Learned statistics of one method: means in microseconds, and their sample weights.

    Encoded as an array: the order, types and defaults of the fields must not change.
    """

    cost: float = 0.0  # time on the cores
    runs: float = 0.0  # weight of `cost` and `off_core_time`
    off_core_time: float = 0.0
    reject_age: float = 0.0  # age of first attempts at rejection here; assumed for rejections elsewhere too
    reject_count: float = 0.0  # weight of `reject_age`
    timeouts: tuple[float, ...] = ()  # histogram of the callers' timeouts


class LearnedState(msgspec.Struct, frozen=True, array_like=True):
    """Learned state of one instance.

    Stored and sent to peers as an array: the order, types and defaults of the fields must not change.
    """

    machine: int = 0  # fingerprint of the kind of machine
    limit: float = 0.0  # limit on calls, relative to the instance's share of calls
    typical_call: float = 0.0  # duration in microseconds
    work_per_hint: float = 0.0  # mean ratio of the time on the cores to the work that callers hinted
    hint_weight: float = 0.0  # weight of `work_per_hint`
    methods: dict[str, MethodStats] = {}


class LearningControl(Protocol):
    """The part of the decision module that holds learned state: decaying sums and the limit on calls."""

    typical_call: float

    @property
    def settings(self) -> Settings: ...
    @property
    def run_times(self) -> Mapping[Method, Any]: ...
    @property
    def off_core_times(self) -> Mapping[Method, Any]: ...
    @property
    def reject_ages(self) -> Mapping[Method, Any]: ...
    @property
    def timeout_histograms(self) -> Mapping[Method, list[float]]: ...
    @property
    def work_per_hint(self) -> Any: ...
    @property
    def call_limit(self) -> Any: ...


def machine_fingerprint(settings: Settings) -> int:
    """Returns a 32-bit checksum of the settings on which the cost of an RPC depends."""
    from zlib import crc32
    return crc32(
        f"{settings.cores} {settings.memory:.0f} {settings.run_factor} {settings.criticality_per_work}".encode())


def export_learned(control: LearningControl, names: list[str], now: int) -> LearnedState:
    """Copies the learned state out of a decision module. Must be cheap: it runs under the driver's lock."""
    def mean(sums: Any) -> tuple[float, float]:
        total = sums.read(now)
        return (total / sums.count, sums.count) if sums.count > 0.01 else (0.0, 0.0)
    methods, tables = {}, (control.run_times, control.off_core_times, control.reject_ages)
    for name, method in zip(names, control.settings.methods, strict=True):
        (cost, runs), (off_core_time, _), (reject_age, reject_count) = (mean(table[method]) for table in tables)
        methods[name] = MethodStats(cost, runs, off_core_time, reject_age, reject_count,
                                    tuple(round(part, 2) for part in control.timeout_histograms[method]))
    pace, hint_weight = mean(control.work_per_hint)
    share = max(0.01, control.settings.calls_out)
    return LearnedState(machine_fingerprint(control.settings), control.call_limit.value / share, control.typical_call,
                        pace, hint_weight, methods)


def restore_learned(control: LearningControl, names: list[str], learned: LearnedState, age_s: float | None,
                    now: int) -> dict[str, float]:
    """Restores learned state in a new decision module as far as its age and the kind of machine allow.

    Values that are not finite or out of range are ignored. Returns the weights of the kinds that were restored.
    """
    used: dict[str, float] = {}

    def usable_weight(kind: str, *values: float) -> float:
        share = weight(kind, age_s)
        is_valid = all(isfinite(value) and 0 < value < MAX_DURATION_US for value in values)
        if share and is_valid:
            used[kind] = share
            return share
        return 0.0
    same_machine = learned.machine == machine_fingerprint(control.settings)
    for name, method in zip(names, control.settings.methods, strict=True):
        stats = learned.methods.get(name)
        if stats is None:
            continue
        if same_machine and stats.runs > 0 and (share := usable_weight("costs", stats.cost, stats.runs)):
            samples = min(MAX_STORED_RUNS, stats.runs) * share
            control.run_times[method].add(stats.cost * samples, now, samples)
            if stats.off_core_time and (share := usable_weight("times off the cores", stats.off_core_time)):
                control.off_core_times[method].add(stats.off_core_time * samples, now, samples)
        if stats.reject_count and (
                share := usable_weight("ages of first tries elsewhere", stats.reject_age, stats.reject_count)):
            samples = min(MAX_STORED_RUNS, stats.reject_count) * share
            control.reject_ages[method].add(stats.reject_age * samples, now, samples)
        histogram = control.timeout_histograms[method]
        if len(stats.timeouts) == len(histogram) and all(isfinite(p) and 0 <= p < 1e6 for p in stats.timeouts) \
                and (share := usable_weight("patiences")):
            histogram[:] = [old + share * part for old, part in zip(histogram, stats.timeouts, strict=True)]
    if same_machine and learned.hint_weight and (
            share := usable_weight("pace of hints", learned.work_per_hint, learned.hint_weight)):
        control.work_per_hint.add(learned.work_per_hint * share, now, share)
    if not control.typical_call and usable_weight("usual call", learned.typical_call) > 0.25:
        control.typical_call = learned.typical_call
    if share := usable_weight("limit on calls", learned.limit):
        limit, max_value, min_value = control.call_limit, control.call_limit.max_value, control.call_limit.min_value
        initial = limit.value
        start = share * learned.limit * max(0.01, control.settings.calls_out) + (1 - share) * initial
        # a stored limit may lower the initial one, since an overload may persist, but not raise it
        limit.set_bounds(min_value, min(initial, max(min_value, start)))
        limit.set_bounds(min_value, max_value)
    return used


def peers_to_ask(view: View, machine: int, have: Collection[str]) -> list[Record]:
    """Returns the peers that may be asked for learned state: in the same zone, on the same kind of machine, and warm.

    `have`: the peers whose state was received already; they are left out.
    """
    return [record for name, record in sorted(view.others.items())
            if record.belief == Belief.ALIVE and record.status.stage == Stage.SERVING
            and record.status.machine == machine and record.zone == view.me.zone and name not in have]


def merge_learned(states: list[LearnedState], machine: int) -> LearnedState | None:
    """Returns the medians of what several peers with the same kind of machine learned; None for fewer than two peers.

    Guards against a single peer that is overloaded or sends false values: of three costs the median ignores the
    extreme ones; of two it is the mean, in which a false value counts half.
    """
    comparable = [state for state in states if state.machine == machine]
    if len(comparable) < 2:
        return None
    methods = {}
    for name in sorted({name for state in comparable for name in state.methods}):
        rows = [state.methods[name] for state in comparable
                if name in state.methods and state.methods[name].runs > 0]
        if len(rows) >= 2:
            methods[name] = MethodStats(*(
                median(getattr(row, field) for row in rows)
                for field in ("cost", "runs", "off_core_time", "reject_age", "reject_count")))
    # the limit on calls is not taken from peers, as the overload of a peer is no reason for a lower limit here;
    # `work_per_hint` is not taken either
    return LearnedState(machine, 0.0, median(state.typical_call for state in comparable), 0.0, 0.0, methods)


class RestartGuard:
    """Detects RPCs with an idempotency key that an earlier process, whose key table is lost, may have run.

    A retry that reaches this process within the method's window after the start of the process may belong to an RPC
    that the earlier process ran; this process cannot know, so the retry is not run. A first attempt is run, since no
    attempt preceded it. A retry is also run if its first attempt reached this process and was rejected by it.
    """

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at
        self.seen_keys: OrderedDict[Hashable, None] = OrderedDict()  # idempotency keys of first attempts

    def may_have_run(self, method: Method, key: Hashable, is_retry: bool, received_at: int) -> bool:
        """Returns whether an earlier process may have run the RPC.

        `received_at`: arrival of the attempt at this machine, by the clock of `started_at`.

        >>> hold = Method(MethodKind.KEYED, 1.0, 800_000, 2_000_000, window=8_000_000)
        >>> guard = RestartGuard(1_000_000)
        >>> [guard.may_have_run(hold, *case) for case in (
        ...     ("a", False, 2_000_000), ("b", True, 2_000_000), ("a", True, 2_100_000), ("b", True, 9_000_001))]
        [False, True, False, False]
        """
        if method.kind is not MethodKind.KEYED or received_at - self.started_at > method.window:
            return False
        if is_retry:
            return key not in self.seen_keys
        self.seen_keys[key] = None
        if len(self.seen_keys) > MAX_REMEMBERED_KEYS:
            self.seen_keys.popitem(last=False)  # a later retry with this key counts as one that may have run
        return False
