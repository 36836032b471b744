"""What an instance learned, how it ages over a restart, and what may have run before it.

A belief that is old counts less, by the half-life of its kind, down to the prior of a cold start; one whose age
cannot be told counts nothing. What was granted to an earlier boot is void. `KINDS` is the whole list;
docs/notes/comeback.md says which test shows that a stale one of each does no harm.
"""
from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Hashable, Mapping
from math import isfinite
from statistics import median
from typing import Any, NamedTuple, Protocol

import msgspec

from ...interface import Kind as MethodKind
from ...interface import Method, Settings
from ..membership.records import Belief, Record, Stage, View

MOST_RUNS = 10.0  # runs that a stored cost counts for, at the most: what is measured here outweighs it at once
LONGEST_US = 3.6e9  # no cost or call takes longer
NOTHING = 0.02  # a weight under this is none
MOST_MET = 8_192  # tokens remembered while there is doubt
FUTURE_S = 5.0  # a snapshot so far ahead of the clock is of an unknown age


class Aging(NamedTuple):
    """`half_life` in seconds, 0 for what is void after a start; `instead`: what takes its place."""

    half_life: float
    instead: str


KINDS: dict[str, Aging] = {
    "costs": Aging(600, "a generous run, then what is measured here; dropped for another kind of machine"),
    "times off the cores": Aging(600, "none until calls are made"),
    "pace of hints": Aging(600, "one"),
    "ages of first tries elsewhere": Aging(30, "zero"),
    "patiences": Aging(3600, "none known"),
    "usual call": Aging(300, "the first call that ends"),
    # kept as a share of the share, so that it fits a fleet of another size
    "limit on calls": Aging(60, "half of the share, which a stored one never exceeds"),
    "rates of clients": Aging(0, "an even split; they are measured within seconds"),
    "share of calls": Aging(0, "what the configuration says"),
    "times to come back": Aging(0, "new ones: the longest is shorter than a start"),
    "leases held": Aging(0, "asked for anew"),
    "zones left": Aging(0, "what peers say, by its number"),
    "drains begun": Aging(0, "none"),
}
FOREVER = ("boot", "generations")  # numbers that never fall: the greatest that is known counts, at any age


def weight(kind: str, age_s: float | None) -> float:
    """
    >>> [weight("costs", age_s) for age_s in (0, 600, 1e6, None)], weight("leases held", 1)
    ([1.0, 0.5, 0.0, 0.0], 0.0)
    """
    half = KINDS[kind].half_life
    if age_s is None or half <= 0:
        return 0.0
    left = float(0.5 ** (max(0.0, age_s) / half))
    return left if left >= NOTHING else 0.0


def age(written_ms: int, now_ms: int) -> float | None:
    """Seconds; None where the clock says that it was written ahead of now."""
    if written_ms > now_ms + FUTURE_S * 1000:
        return None
    return max(0.0, (now_ms - written_ms) / 1000)


class Means(msgspec.Struct, frozen=True, array_like=True):
    """What was learned of one method; microseconds, and how many runs or tries are behind it."""

    cost: float = 0.0
    runs: float = 0.0
    off: float = 0.0
    ended: float = 0.0
    ends: float = 0.0
    patiences: tuple[float, ...] = ()


class Learned(msgspec.Struct, frozen=True, array_like=True):
    """`machine` tells kinds of machine apart; `limit` is a share of this instance's share of calls."""

    machine: int = 0
    limit: float = 0.0
    usual_call: float = 0.0
    pace: float = 0.0
    hints: float = 0.0
    methods: dict[str, Means] = {}


class Learner(Protocol):
    """The decision module, as far as it is read and sown here: its sums that forget, and its limit on calls."""

    usual_call: float

    @property
    def set(self) -> Settings: ...
    @property
    def runs(self) -> Mapping[Method, Any]: ...
    @property
    def offs(self) -> Mapping[Method, Any]: ...
    @property
    def ends(self) -> Mapping[Method, Any]: ...
    @property
    def firsts(self) -> Mapping[Method, list[float]]: ...
    @property
    def pace(self) -> Any: ...
    @property
    def below(self) -> Any: ...


def machine_mark(settings: Settings) -> int:
    """32 bits of what a cost depends on."""
    from zlib import crc32
    return crc32(f"{settings.cores} {settings.memory:.0f} {settings.run_factor} {settings.by_work}".encode())


def harvest(control: Learner, names: list[str], now: int) -> Learned:
    """What there is to keep; cheap, it is done under the driver's lock."""
    def mean(of: Any) -> tuple[float, float]:
        total = of.read(now)
        return (total / of.count, of.count) if of.count > 0.01 else (0.0, 0.0)
    methods, three = {}, (control.runs, control.offs, control.ends)
    for name, method in zip(names, control.set.methods, strict=True):
        (cost, runs), (off, _), (ended, ends) = (mean(of[method]) for of in three)
        methods[name] = Means(cost, runs, off, ended, ends, tuple(round(part, 2) for part in control.firsts[method]))
    pace, hints = mean(control.pace)
    share = max(0.01, control.set.calls_out)
    return Learned(machine_mark(control.set), control.below.value / share, control.usual_call, pace, hints, methods)


def sow(control: Learner, names: list[str], learned: Learned, age_s: float | None, now: int) -> dict[str, float]:
    """Gives a fresh module what was learned before, as far as it still counts; returns the weights that counted."""
    used: dict[str, float] = {}

    def counts(kind: str, *values: float) -> float:
        share = weight(kind, age_s)
        good = all(isfinite(value) and 0 < value < LONGEST_US for value in values)
        if share and good:
            used[kind] = share
            return share
        return 0.0
    same = learned.machine == machine_mark(control.set)
    for name, method in zip(names, control.set.methods, strict=True):
        means = learned.methods.get(name)
        if means is None:
            continue
        if same and means.runs > 0 and (share := counts("costs", means.cost, means.runs)):
            many = min(MOST_RUNS, means.runs) * share
            control.runs[method].add(means.cost * many, now, many)
            if means.off and (share := counts("times off the cores", means.off)):
                control.offs[method].add(means.off * many, now, many)
        if means.ends and (share := counts("ages of first tries elsewhere", means.ended, means.ends)):
            many = min(MOST_RUNS, means.ends) * share
            control.ends[method].add(means.ended * many, now, many)
        firsts = control.firsts[method]
        if len(means.patiences) == len(firsts) and all(isfinite(p) and 0 <= p < 1e6 for p in means.patiences) \
                and (share := counts("patiences")):
            firsts[:] = [old + share * part for old, part in zip(firsts, means.patiences, strict=True)]
    if same and learned.hints and (share := counts("pace of hints", learned.pace, learned.hints)):
        control.pace.add(learned.pace * share, now, share)
    if not control.usual_call and counts("usual call", learned.usual_call) > 0.25:
        control.usual_call = learned.usual_call
    if share := counts("limit on calls", learned.limit):
        limit, most, least = control.below, control.below.most, control.below.least
        before = limit.value
        start = share * learned.limit * max(0.01, control.set.calls_out) + (1 - share) * before
        # trouble that was met before is met again with care; a limit that had grown is not taken on trust
        limit.bound(least, min(before, max(least, start)))
        limit.bound(least, most)
    return used


def lenders(view: View, machine: int, have: Collection[str]) -> list[Record]:
    """Peers that may be asked for what was lost: of the same zone and kind of machine, warm, and not asked before."""
    return [record for name, record in sorted(view.others.items())
            if record.belief == Belief.ALIVE and record.digest.stage == Stage.SERVING
            and record.digest.machine == machine and record.zone == view.me.zone and name not in have]


def agreed(lent: list[Learned], machine: int) -> Learned | None:
    """What several peers of the same kind of machine hold, by medians; None where fewer than two lend.

    Guards against one peer that is itself in trouble, or lies: with two the lesser cost counts half.
    """
    good = [one for one in lent if one.machine == machine]
    if len(good) < 2:
        return None
    methods = {}
    for name in sorted({name for one in good for name in one.methods}):
        rows = [one.methods[name] for one in good if name in one.methods and one.methods[name].runs > 0]
        if len(rows) >= 2:
            methods[name] = Means(*(median(getattr(row, field) for row in rows)
                                    for field in ("cost", "runs", "off", "ended", "ends")))
    # limits and usual calls are each instance's own: a peer's trouble is no reason for ours
    return Learned(machine, 0.0, median(one.usual_call for one in good), 0.0, 0.0, methods)


class Doubt:
    """Which tokened RPCs may have run in a process before this one, whose table is gone.

    A further try that reaches this process within the window after its start may be of an RPC that the one before
    ran: nothing here can tell. It is not run. A first try is, since no try came before it; and so is a further try of
    an RPC whose first try came to this very process, which pushed it back.
    """

    def __init__(self, born: int) -> None:
        self.born = born
        self.met: OrderedDict[Hashable, None] = OrderedDict()  # tokens whose first try came here

    def may_have_run(self, method: Method, token: Hashable, further: bool, sent: int) -> bool:
        """`sent`: when the try came to this machine, on the same clock as the start.

        >>> hold = Method(MethodKind.TOKENED, 1.0, 800_000, 2_000_000, window=8_000_000)
        >>> doubt = Doubt(1_000_000)
        >>> [doubt.may_have_run(hold, *case) for case in (
        ...     ("a", False, 2_000_000), ("b", True, 2_000_000), ("a", True, 2_100_000), ("b", True, 9_000_001))]
        [False, True, False, False]
        """
        if method.kind is not MethodKind.TOKENED or sent - self.born > method.window:
            return False
        if further:
            return token not in self.met
        self.met[token] = None
        if len(self.met) > MOST_MET:
            self.met.popitem(last=False)  # what is forgotten is doubted again
        return False
