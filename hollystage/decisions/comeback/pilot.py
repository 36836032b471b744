"""Ramp-up of downstream calls after a start, also when most of the fleet restarts at once.

There is no coordinator. Each instance sees in its membership view how many instances are cold, and takes its share of
a budget that is fixed for the whole fleet, at a time drawn from its seed (see `jitter`). It increases its calls only
as long as the replies show that the dependency bears them. All times are in microseconds.
"""
from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..membership.records import Stage, View

MANY = 0.25  # share of living instances that are starting or cold
FIRST = 0.1  # of the usual calls
GROWTH, CUT, LEAST = 1.6, 0.5, 0.03
STEP, ROUNDS = 100_000, 2.0  # a step takes at least this time, and this many typical calls
ODD = 0.3  # share of slow, lost and refused replies above which the calls decrease
PAUSE, LONGEST_PAUSE = 500_000, 8_000_000  # pause after a decrease; doubles each time
LEVELS = (0.05, 0.25, 0.6)  # shares of rejected RPCs at which the published level rises
HYSTERESIS = 0.8
ROOM = 0.2  # share of the other instances that must be free for a retry elsewhere to make sense


class Stance(NamedTuple):
    """State of the fleet according to a membership view."""

    known: int  # instances, including this one
    cold: int  # living instances that are starting or cold
    room: float  # share of the other instances that serve and reject next to nothing
    many: bool  # many instances start at once


def stance(view: View) -> Stance:
    """Summarizes a membership view."""
    living = view.living()
    cold = sum(record.digest.stage in (Stage.STARTING, Stage.COLD) for record in living)
    others = [record for record in living if record.name != view.me.name]
    free = sum(record.digest.stage in (Stage.COLD, Stage.SERVING) and not record.digest.pressure for record in others)
    return Stance(len(living), cold, free / len(others) if others else 0.0,
                  cold >= max(2, MANY * len(living)))


class Ramp:
    """The share of its usual calls that a cold instance may make.

    The share grows in steps while replies are good, and decreases when too many are slow, lost or refused. At a share
    of 1 the ramp is complete.
    """

    def __init__(self, now: int) -> None:
        self.share, self.at, self.pause = FIRST, now, PAUSE
        self.called = 0  # number of ended calls at the last change of the share
        self.steps = self.cuts = 0

    @property
    def over(self) -> bool:
        """Whether the share has reached 1."""
        return self.share >= 1.0

    def learn(self, calls: int, odd: float, usual: float, now: int) -> float:
        """Adapts the share and returns it.

        `calls`: number of calls that ended so far; `failed_share`: recent share of slow, lost and refused replies;
        `typical_call`: typical call duration.
        """
        if self.over or now < self.at:
            return self.share
        if odd > ODD:
            self.share, self.at = max(LEAST, self.share * CUT), now + self.pause
            self.pause = min(LONGEST_PAUSE, 2 * self.pause)
            self.cuts += 1
            self.called = calls
        elif calls > self.called:
            # a share that was not used does not show that the dependency bears it
            self.share, self.at = min(1.0, self.share * GROWTH), now + max(STEP, int(ROUNDS * usual))
            self.steps += 1
            self.called = calls
        return self.share


class Pressure:
    """Coarse level of the share of rejected RPCs that is published to the fleet.

    Hysteresis and a minimum interval of one second keep changes rare, since each change is gossiped to all members.

    >>> pressure = Pressure()
    >>> [pressure.level(share, now * 1_000_000) for now, share in enumerate((0.0, 0.3, 0.22, 0.19, 0.9, 0.0))]
    [0, 2, 2, 1, 3, 0]
    """

    def __init__(self) -> None:
        self.now, self.at = 0, -1_000_000

    def level(self, share: float, now: int) -> int:
        """Returns the level for the current share of rejected RPCs."""
        rising = sum(share > threshold for threshold in LEVELS)
        falling = sum(share > threshold * HYSTERESIS for threshold in LEVELS)
        new = max(rising, min(self.now, falling))
        if new != self.now and now - self.at >= 1_000_000:
            self.now, self.at = new, now
        return self.now


class Bounds(NamedTuple):
    """What a ramp sets in the decision module."""

    calls: float  # share of the maximum number of calls
    room_elsewhere: bool  # whether a retry at another instance is likely to succeed


class Steered(Protocol):
    """The part of the decision module that a ramp controls."""

    room_elsewhere: bool

    @property
    def below(self) -> Any: ...


class Pilot:
    """Controls the downstream calls of one instance after its start; evaluated at each tick.

    Without a membership view it only applies the ramp. `configured_instances` is the number of instances for which
    the configuration divides the calls.
    """

    def __init__(self, control: Steered, now: int, instances: int, cold: bool) -> None:
        self.instances = instances
        self.ramp = Ramp(now) if cold else None
        self.least, self.most = control.below.least, control.below.most
        self.view: View | None = None
        self.seen = Stance(1, 0, 0.0, False)

    def bounds(self, view: View | None, calls: int, odd: float, usual: float, now: int) -> Bounds:
        """Returns the bounds that apply now; for the arguments see `Ramp.update`."""
        share = self.ramp.learn(calls, odd, usual, now) if self.ramp is not None else 1.0
        if view is None or not view.fresh or view.ousted:
            return Bounds(share, False)
        if view is not self.view:
            self.view, self.seen = view, stance(view)
        # with more instances than configured the shares would add up to more than the dependency was sized for
        scale = min(1.0, self.instances / max(1, self.seen.known))
        return Bounds(share * scale, self.seen.room >= ROOM)

    def steer(self, control: Steered, bounds: Bounds) -> None:
        """Sets the bounds in the decision module."""
        max_calls = self.most * bounds.calls
        control.below.bound(min(self.least, max_calls), max_calls)
        control.room_elsewhere = bounds.room_elsewhere
