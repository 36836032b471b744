"""Coming back when most have died at once: who knows of it, who takes how much of what is shared, and how fast.

Nobody coordinates. Each instance sees from its view how many are cold, takes its part of a budget that is fixed for
the whole fleet, at a moment drawn from its seed, and lets its calls below grow only as what it hears from there bears
it. Times are microseconds.
"""
from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..membership.records import Stage, View

MANY = 0.25  # of all that are known, cold or starting: a start of many
FIRST = 0.1  # share of its usual calls that a cold instance begins with
GROWTH, CUT, LEAST = 1.6, 0.5, 0.03  # a step up, a step down, the least share
STEP, ROUNDS = 100_000, 2.0  # a step takes so long at the least, and so many usual calls
ODD = 0.3  # share of slow or lost replies above which a step goes down
PAUSE, LONGEST_PAUSE = 500_000, 8_000_000  # after a step down; doubles at each further one
LEVELS = (0.05, 0.25, 0.6)  # shares of what is read that is pushed back: bounds of the levels that are told
HYSTERESIS = 0.8
ROOM = 0.2  # of the others that push nothing back: enough for a try elsewhere


class Stance(NamedTuple):
    """What an instance makes of its view."""

    known: int  # that live, this one among them
    cold: int  # of them, starting or cold
    room: float  # share of the others that serve and push next to nothing back
    many: bool  # a start of many


def stance(view: View) -> Stance:
    living = view.living()
    young = sum(record.digest.stage in (Stage.STARTING, Stage.COLD) for record in living)
    others = [record for record in living if record.name != view.me.name]
    free = sum(record.digest.stage in (Stage.COLD, Stage.SERVING) and not record.digest.pressure for record in others)
    return Stance(len(living), young, free / len(others) if others else 0.0,
                  young >= max(2, MANY * len(living)))


class Ramp:
    """The share of its usual calls that a cold instance may make; 1 once it has been borne."""

    def __init__(self, now: int) -> None:
        self.share, self.at, self.pause = FIRST, now, PAUSE
        self.called = 0  # when the share was last changed
        self.steps = self.cuts = 0

    @property
    def over(self) -> bool:
        return self.share >= 1.0

    def learn(self, calls: int, odd: float, usual: float, now: int) -> float:
        """`calls`: that ended so far; `odd`: share of slow, lost and refused ones of late; `usual`: one's time."""
        if self.over or now < self.at:
            return self.share
        if odd > ODD:
            self.share, self.at = max(LEAST, self.share * CUT), now + self.pause
            self.pause = min(LONGEST_PAUSE, 2 * self.pause)
            self.cuts += 1
            self.called = calls
        elif calls > self.called:
            # only what was used shows that it is borne
            self.share, self.at = min(1.0, self.share * GROWTH), now + max(STEP, int(ROUNDS * usual))
            self.steps += 1
            self.called = calls
        return self.share


class Pressure:
    """The level that others are told, of how much is pushed back here: it changes seldom, for each change is news.

    >>> pressure = Pressure()
    >>> [pressure.level(share, now * 1_000_000) for now, share in enumerate((0.0, 0.3, 0.22, 0.19, 0.9, 0.0))]
    [0, 2, 2, 1, 3, 0]
    """

    def __init__(self) -> None:
        self.now, self.at = 0, -1_000_000

    def level(self, share: float, now: int) -> int:
        up = sum(share > bound for bound in LEVELS)
        down = sum(share > bound * HYSTERESIS for bound in LEVELS)
        new = max(up, min(self.now, down))
        if new != self.now and now - self.at >= 1_000_000:
            self.now, self.at = new, now
        return self.now


class Bounds(NamedTuple):
    """What the decision module is told: shares and one fact, no decision of its own."""

    calls: float  # of its usual most
    room_elsewhere: bool


class Steered(Protocol):
    """The decision module, as far as it is told anything here."""

    room_elsewhere: bool

    @property
    def below(self) -> Any: ...


class Pilot:
    """One instance's coming back. Asked at each tick; without peers it only ramps its calls."""

    def __init__(self, control: Steered, now: int, instances: int, cold: bool) -> None:
        self.instances = instances  # that the configuration counts on
        self.ramp = Ramp(now) if cold else None
        self.least, self.most = control.below.least, control.below.most
        self.view: View | None = None
        self.seen = Stance(1, 0, 0.0, False)

    def bounds(self, view: View | None, calls: int, odd: float, usual: float, now: int) -> Bounds:
        share = self.ramp.learn(calls, odd, usual, now) if self.ramp is not None else 1.0
        if view is None or not view.fresh or view.ousted:
            return Bounds(share, False)
        if view is not self.view:
            self.view, self.seen = view, stance(view)
        # its share was cut for fewer than there are: what is below was promised no more
        fits = min(1.0, self.instances / max(1, self.seen.known))
        return Bounds(share * fits, self.seen.room >= ROOM)

    def steer(self, control: Steered, bounds: Bounds) -> None:
        most = self.most * bounds.calls
        control.below.bound(min(self.least, most), most)
        control.room_elsewhere = bounds.room_elsewhere
