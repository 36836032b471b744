"""Ramp-up of downstream calls after a start, also when most of the fleet restarts at once.

There is no coordinator. Each instance counts the cold instances in its membership view and uses its share of a
budget that is fixed for the whole fleet, at a time drawn from its seed (see `jitter`). It increases its calls only as
long as the replies show that the dependency can serve them. All times are in microseconds.
"""
from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..membership.records import Stage, View

MASS_START_SHARE = 0.25  # share of starting and cold instances from which on a start counts as a mass start
INITIAL_SHARE = 0.1  # share of its calls with which a cold instance starts
GROWTH_FACTOR, DECREASE_FACTOR, MIN_SHARE = 1.6, 0.5, 0.03  # factors of one step; lower bound of the share
MIN_STEP_TIME, CALLS_PER_STEP = 100_000, 2.0  # minimum duration of a step: microseconds, typical call durations
MAX_FAILED_SHARE = 0.3  # share of slow, lost and refused replies above which the share of calls decreases
INITIAL_BACKOFF, MAX_BACKOFF = 500_000, 8_000_000  # pause after a decrease, microseconds; doubled by each
PRESSURE_THRESHOLDS = (0.05, 0.25, 0.6)  # shares of rejected RPCs above which the published level rises
PRESSURE_HYSTERESIS = 0.8  # the level falls below this share of a threshold
MIN_FREE_SHARE = 0.2  # share of the other instances that must be free for a retry elsewhere to make sense


class FleetSummary(NamedTuple):
    """State of the fleet according to a membership view."""

    living: int  # instances, including this one
    cold: int  # living instances that are starting or cold
    free_share: float  # share of the other instances that serve and reject almost nothing
    mass_start: bool  # a large share of the instances is starting or cold


def summarize(view: View) -> FleetSummary:
    """Summarizes a membership view."""
    living = view.living()
    cold = sum(record.status.stage in (Stage.STARTING, Stage.COLD) for record in living)
    others = [record for record in living if record.name != view.me.name]
    free = sum(record.status.stage in (Stage.COLD, Stage.SERVING) and not record.status.pressure for record in others)
    return FleetSummary(len(living), cold, free / len(others) if others else 0.0,
                        cold >= max(2, MASS_START_SHARE * len(living)))


class Ramp:
    """The share of its calls that a cold instance may make.

    The share grows in steps while replies are good, and decreases when too many are slow, lost or refused. At a share
    of 1 the ramp is complete and the share stays there.
    """

    def __init__(self, now: int) -> None:
        self.share, self.next_step_at, self.backoff = INITIAL_SHARE, now, INITIAL_BACKOFF
        self.calls_at_step = 0  # number of ended calls at the last step
        self.steps = self.decreases = 0

    @property
    def complete(self) -> bool:
        """Whether the share has reached 1."""
        return self.share >= 1.0

    def update(self, calls: int, failed_share: float, typical_call: float, now: int) -> float:
        """Adapts the share and returns it.

        `calls`: number of calls that ended so far; `failed_share`: recent share of slow, lost and refused replies;
        `typical_call`: typical call duration.
        """
        if self.complete or now < self.next_step_at:
            return self.share
        if failed_share > MAX_FAILED_SHARE:
            self.share, self.next_step_at = max(MIN_SHARE, self.share * DECREASE_FACTOR), now + self.backoff
            self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
            self.decreases += 1
            self.calls_at_step = calls
        elif calls > self.calls_at_step:
            # without calls there is no evidence that the dependency can serve the present share
            self.share, self.next_step_at = (
                min(1.0, self.share * GROWTH_FACTOR), now + max(MIN_STEP_TIME, int(CALLS_PER_STEP * typical_call)))
            self.steps += 1
            self.calls_at_step = calls
        return self.share


class PressureLevel:
    """Coarse level of the share of rejected RPCs, as published to the fleet.

    Hysteresis and a minimum interval of one second keep changes rare, since each change is gossiped to all members.

    >>> pressure = PressureLevel()
    >>> [pressure.update(share, now * 1_000_000) for now, share in enumerate((0.0, 0.3, 0.22, 0.19, 0.9, 0.0))]
    [0, 2, 2, 1, 3, 0]
    """

    def __init__(self) -> None:
        self.current, self.changed_at = 0, -1_000_000

    def update(self, share: float, now: int) -> int:
        """Returns the level for the current share of rejected RPCs."""
        rising = sum(share > threshold for threshold in PRESSURE_THRESHOLDS)
        falling = sum(share > threshold * PRESSURE_HYSTERESIS for threshold in PRESSURE_THRESHOLDS)
        new = max(rising, min(self.current, falling))
        if new != self.current and now - self.changed_at >= 1_000_000:
            self.current, self.changed_at = new, now
        return self.current


class CallBounds(NamedTuple):
    """What a RampController sets in the decision module, which still makes all decisions itself."""

    call_share: float  # share of the maximum number of calls
    capacity_elsewhere: bool  # whether a retry at another instance is likely to succeed


class BoundedControl(Protocol):
    """The part of the decision module that a RampController sets."""

    capacity_elsewhere: bool

    @property
    def call_limit(self) -> Any: ...


class RampController:
    """Bounds the downstream calls of one instance after its start; updated at each tick.

    Without a membership view it only applies the ramp. `configured_instances` is the number of instances among which
    the configuration divides the calls.
    """

    def __init__(self, control: BoundedControl, now: int, configured_instances: int, cold: bool) -> None:
        self.configured_instances = configured_instances
        self.ramp = Ramp(now) if cold else None
        self.min_calls, self.max_calls = control.call_limit.min_value, control.call_limit.max_value
        self.view: View | None = None
        self.fleet = FleetSummary(1, 0, 0.0, False)

    def bounds(self, view: View | None, calls: int, failed_share: float, typical_call: float, now: int) -> CallBounds:
        """Returns the bounds that apply now; for the arguments see `Ramp.update`."""
        share = self.ramp.update(calls, failed_share, typical_call, now) if self.ramp is not None else 1.0
        if view is None or not view.fresh or view.ousted:
            return CallBounds(share, False)
        if view is not self.view:
            self.view, self.fleet = view, summarize(view)
        # with more instances than configured, their shares would add up to more than the dependency is sized for
        scale = min(1.0, self.configured_instances / max(1, self.fleet.living))
        return CallBounds(share * scale, self.fleet.free_share >= MIN_FREE_SHARE)

    def apply(self, control: BoundedControl, bounds: CallBounds) -> None:
        """Sets the bounds in the decision module."""
        max_calls = self.max_calls * bounds.call_share
        control.call_limit.set_bounds(min(self.min_calls, max_calls), max_calls)
        control.capacity_elsewhere = bounds.capacity_elsewhere
