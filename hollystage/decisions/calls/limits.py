"""How many may be at calls to one ledger, or to one pool's share of it, at once: limits that adapt.

Each learns from how calls ended and from nothing else. They are compared in docs/notes/class-pools.md:

- `Window`, the house's: grows by one a round, is cut by a share at a sign of trouble.
- `Aimd`: the same with gentler cuts, and without growth while it is not used.
- `Gradient`: by the usual time of a call over what calls take now.
- `Queue`: by how many calls seem to wait below, like Vegas.
- `Delivery`: what the ledger delivers at its best, times what a call takes at its least, and a little more.
- `Fixed`: never moves; what the others are measured against.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ...interface import Outcome

UNPROVEN = (Outcome.TIMEOUT, Outcome.RESET)  # the reply was lost, which may be a single one's fate
REFUSED = (Outcome.FULL, Outcome.CONNECT_FAILED)


@dataclass(slots=True, frozen=True)
class Ended:
    """How one call ended. `open`: calls under way, this one among them; `usual`: what one takes when all is well.

    `odd`: slow or lost, while so few are that it tells nothing of the ledger.
    """

    outcome: Outcome
    spent: int
    open: int
    usual: float
    odd: bool
    bad: bool
    now: int


class Limit(Protocol):
    value: float

    def ended(self, call: Ended) -> None:
        """Learns from one call."""

    def bound(self, least: float, most: float) -> None:
        """Keeps within new bounds, at once."""

    def stalled(self, now: int) -> None:
        """What ends just now ends late by our own fault: nothing is to be learned of it."""


class Bounded:
    """A value between two bounds, and the time before which nothing is learned."""

    def __init__(self, start: float, least: float, most: float, now: int = 0) -> None:
        self.cut_at = now
        self.least, self.most = max(0.001, least), max(0.001, least, most)
        self.value = max(self.least, min(start, self.most))
        self.blind_until = 0

    def bound(self, least: float, most: float) -> None:
        self.least, self.most = max(0.001, least), max(0.001, least, most)
        self._set(self.value)

    def stalled(self, now: int) -> None:
        self.blind_until = now

    def _set(self, value: float) -> None:
        self.value = max(self.least, min(value, self.most))


class Fixed(Bounded):
    def ended(self, call: Ended) -> None:
        pass


class Window(Bounded):
    """Grows by one a round of good replies; keeps `CUT` of itself at a sign of trouble, once in a usual call.

    A sign is a refusal or failure, or a slow or lost reply among many. Its growth does not ask whether it was used:
    on the users' platform a window that is idle costs nothing, and a burst finds it open.
    """

    CUT = 0.7

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.OK and not call.odd:
            self.value += min(self.value, 1 / self.value)
        if call.bad and call.now - self.cut_at > call.usual:
            self.value, self.cut_at = self.value * self.CUT, call.now
        self._set(self.value)


class Aimd(Bounded):
    """Additive increase while it is used, multiplicative decrease once a round trip.

    After a cut it grows only as fast as calls end: what a slow ledger takes longest to answer tells it latest.
    """

    KEPT, USED = 0.85, 0.5  # share kept at a cut; of the limit that must be open for a good reply to count

    def __init__(self, start: float, least: float, most: float, now: int = 0) -> None:
        super().__init__(start, least, most, now)
        self.first = True  # no trouble yet: doubles a round, so that a cold start does not creep

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.bad:
            # calls that began before the last cut tell of the time before it
            if call.now - call.spent > self.cut_at:
                self._set(self.value * self.KEPT)
                self.cut_at, self.first = call.now, False
        elif call.outcome is Outcome.OK and not call.odd and call.open >= self.USED * self.value:
            self._set(self.value + (1.0 if self.first else 1 / max(1.0, self.value)))


class Least:
    """The least of a quantity over the last `span`, forgotten by halves: two runs of half the span.

    >>> least = Least(100)
    >>> [least.add(value, now) for value, now in ((5, 0), (9, 40), (9, 60), (9, 120))]
    [5, 5, 5, 9]
    """

    def __init__(self, span: int) -> None:
        self.half, self.turned = span // 2, 0
        self.now: float = 0.0
        self.before: float = 0.0

    def add(self, value: float, now: int) -> float:
        if not self.now:
            self.now = self.before = value
            self.turned = now
        elif now - self.turned >= self.half:
            self.before = self.now if now - self.turned < 2 * self.half else value
            self.now, self.turned = value, now
        self.now = min(self.now, value)
        return min(self.now, self.before)


class ByLatency(Bounded):
    """What a call takes at its least of late, and what calls take now; keeps nine tenths at a sign of trouble."""

    SPAN = 10_000_000

    def __init__(self, start: float, least: float, most: float, now: int = 0) -> None:
        super().__init__(start, least, most, now)
        self.base = Least(self.SPAN)
        self.recent = 0.0

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.outcome is Outcome.OK:
            base = max(self.base.add(call.spent, call.now), 1.0)
            self.recent += (call.spent - self.recent) * (0.1 if self.recent else 1)
            # where it was never the bottleneck it must not grow
            self._learn(base / max(self.recent, 1.0), call.open >= self.value / 2)
        elif call.bad:
            self._set(self.value * 0.9)

    def _learn(self, slope: float, used: bool) -> None:
        """`slope`: the least over the present, up to 1."""
        raise NotImplementedError


class Gradient(ByLatency):
    """The limit times (what a call takes at its least over what calls take now), and room for a short queue."""

    TOLERANCE, MILD = 1.5, 0.2

    def _learn(self, slope: float, used: bool) -> None:
        if used:
            aim = self.value * max(0.5, min(1.0, self.TOLERANCE * slope)) + self.value ** 0.5
            self._set(self.value + (aim - self.value) * self.MILD / max(1.0, self.value))


class Queue(ByLatency):
    """Keeps the number of calls that seem to wait below between two marks."""

    FEW, MANY = 2.0, 5.0

    def _learn(self, slope: float, used: bool) -> None:
        waiting, step = self.value * (1 - slope), 1 / max(1.0, self.value)
        if waiting > self.MANY:
            self._set(self.value - step)
        elif waiting < self.FEW and used:
            self._set(self.value + step)


class Delivery(Bounded):
    """The best rate of good replies of late, times the least that a call takes of late, and some more to probe.

    A ledger whose every call takes longer delivers less, and its calls overlap more: both cancel out, so the limit
    stays where the ledger is just filled. One that has lost slots delivers less at the same least time: the limit
    falls. The probe makes a better ledger show; what it adds is taken back where nothing more is delivered.
    """

    SPAN, BIN = 4_000_000, 250_000
    GAIN, SPARE = 1.3, 2.0

    def __init__(self, start: float, least: float, most: float, now: int = 0) -> None:
        super().__init__(start, least, most, now)
        self.base = Least(self.SPAN)
        self.bins: deque[tuple[int, int]] = deque()  # a bin's number and its good replies

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.outcome is not Outcome.OK:
            if call.bad and call.now - call.spent > self.cut_at:
                self.cut_at = call.now
                self._set(self.value * 0.8)
            return
        base = self.base.add(call.spent, call.now)
        at = call.now // self.BIN
        if self.bins and self.bins[-1][0] == at:
            self.bins[-1] = at, self.bins[-1][1] + 1
        else:
            self.bins.append((at, 1))
        while self.bins[0][0] < at - self.SPAN // self.BIN:
            self.bins.popleft()
        # the present bin is not whole yet
        best = max((count for number, count in self.bins if number != at), default=0)
        aim = best / self.BIN * base * self.GAIN + self.SPARE
        if aim > self.value and call.open < self.value / 2:
            return  # it was never the bottleneck
        self._set(self.value + (aim - self.value) * (0.05 if aim > self.value else 0.1))


POLICIES: dict[str, type[Bounded]] = {"window": Window, "aimd": Aimd, "gradient": Gradient, "queue": Queue,
                                      "delivery": Delivery, "fixed": Fixed}


def limit_of(policy: str, start: float, least: float, most: float, now: int = 0) -> Limit:
    """
    Raises:
        KeyError: no policy is called so.
    """
    made: Limit = POLICIES[policy](start, least, most, now)  # type: ignore[assignment]
    return made
