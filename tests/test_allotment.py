"""A budget's part at the module: bounds before decisions, what is gone by said before it is, and what is used."""
import threading
from types import SimpleNamespace

from helpers import SECOND, Box, lookup

from hollystage.decisions.budgets.holding import EVER
from hollystage.decisions.budgets.share import Use
from hollystage.interface import Do, Outcome
from hollystage.policy.buckets import CALLING, TICK, WAITING
from hollystage.service.allotment import Allotment
from hollystage.service.counters import Counters
from hollystage.service.steering import Steering


class Told:
    """A treasury's two tables; `change` is called when the second is written."""

    def __init__(self, *steps):
        self.steps, self.told, self.change = {"calls": steps}, [], None

    @property
    def uses(self):
        return {"calls": self.told[-1]} if self.told else {}

    @uses.setter
    def uses(self, table):
        self.told.append(table["calls"])
        if self.change is not None:
            self.steps, self.change = self.change, None


def box_with(*steps, many=12):
    """A box whose every run waits for a call below."""
    box = Box(lookup(deadline=20 * SECOND, latency_target=20 * SECOND), cores=20, calls_out=1000.0)
    told = Told(*steps)
    allotment = Allotment(told, "calls")
    allotment.tick(box.control, 1.0, box.now)
    rpcs = [box.send(caller=n) for n in range(many)]
    box.flush()
    for rpc in rpcs:
        box.control.at_call(rpc, box.now)
    box.flush()
    return box, allotment, told, rpcs


def calls(box):
    return sum(action.do is Do.CALL for action in box.log)


def test_no_more_are_at_calls_than_the_part_allows_and_the_rest_is_told_as_need():
    box, allotment, told, _ = box_with((EVER, 5))
    assert calls(box) == 5 and box.control.places[CALLING] == 5
    allotment.tick(box.control, 1.0, box.now)
    assert told.told[-1] == Use(5, 5, box.control.places[WAITING], 1.0) and box.control.places[WAITING] == 7


def test_a_part_that_grows_is_used_at_once_and_a_smaller_one_lets_calls_end():
    box, allotment, told, rpcs = box_with((EVER, 3))
    told.steps = {"calls": ((EVER, 9),)}
    allotment.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.places[CALLING] == 9
    told.steps = {"calls": ((EVER, 2),)}
    allotment.tick(box.control, 1.0, box.now)
    for rpc in [rpc for rpc in rpcs if rpc.place == CALLING][:8]:
        box.control.called(rpc, Outcome.OK, 10_000, box.now)
        box.flush()
    assert box.control.places[CALLING] == 2


def test_with_no_part_no_call_is_made_until_there_is_one():
    box, allotment, told, _ = box_with((EVER, 0))
    for _ in range(40):
        box.now += TICK
        allotment.tick(box.control, 1.0, box.now)
        box.control.tick({}, box.now)
        box.flush()
    assert calls(box) == 0
    told.steps = {"calls": ((EVER, 1),)}
    allotment.tick(box.control, 1.0, box.now)
    box.flush()
    assert calls(box) == 1


def test_a_part_ends_before_the_next_decision_and_says_when():
    box, allotment, told, rpcs = box_with((11 * SECOND, 6), (EVER, 1))
    assert allotment.bind(box.control, box.now) == 11 * SECOND and calls(box) == 6
    box.now = 12 * SECOND  # it slept past the end, and hears of a call's end first
    assert allotment.bind(box.control, box.now) == EVER
    box.control.called(rpcs[0], Outcome.OK, 10_000, box.now)
    box.flush()
    assert calls(box) == 6 and told.told[-1].adopted == 1 and told.told[-1].using == 6


def test_what_changes_while_it_is_being_said_is_not_gone_by():
    box, allotment, told, _ = box_with((EVER, 2), many=8)
    told.steps, told.change = {"calls": ((EVER, 7),)}, {"calls": ((EVER, 3),)}
    allotment.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.places[CALLING] == 3 and [use.adopted for use in told.told[-2:]] == [7, 3]


def test_a_cold_one_uses_the_share_that_its_ramp_allows():
    box, allotment, told, _ = box_with((EVER, 2))
    told.steps = {"calls": ((EVER, 10),)}
    allotment.tick(box.control, 0.4, box.now)
    box.flush()
    assert box.control.places[CALLING] == 4


def test_a_part_is_not_held_down_by_the_share_of_the_configured_number():
    box, allotment, told, _ = box_with((EVER, 3))
    box.control.below.bound(0.2, 2.0)  # as from a share of calls for each of many instances
    driver = SimpleNamespace(lock=threading.Lock(), control=box.control, settings=box.settings, steer=None)
    steering = Steering(driver, ["a"], 12, None, 0, 1, 1, lambda: box.now, Counters(), None)
    assert driver.steer is steering and steering.until > 1 << 60
    allotment.bind(box.control, box.now)
    box.control.below.value = 3.0  # it had learned that all of its part is borne
    steering.allot(allotment)
    told.steps = {"calls": ((99 * SECOND, 9), (EVER, 1))}
    for _ in range(3):
        box.now += TICK
        steering.tick(box.control, 0, box.now)
        box.flush()
    assert box.control.places[CALLING] == 9 and steering.until == 99 * SECOND
    box.now = 100 * SECOND
    steering.bind(box.control, box.now)
    assert box.control.below.value <= 1 and steering.until == EVER
