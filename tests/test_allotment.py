"""The budget limiter: the limit is updated before decisions, published before it applies, and the usage reported."""
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
    """The two tables of a budget endpoint; when usage is written, `steps` is replaced by `change` once."""

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


def box_with(*steps, count=12):
    """Returns a box in which every run waits for a downstream call."""
    box = Box(lookup(deadline=20 * SECOND, latency_target=20 * SECOND), cores=20, calls_out=1000.0)
    endpoint = Told(*steps)
    limiter = Allotment(endpoint, "calls")
    limiter.tick(box.control, 1.0, box.now)
    rpcs = [box.send(caller=n) for n in range(count)]
    box.flush()
    for rpc in rpcs:
        box.control.at_call(rpc, box.now)
    box.flush()
    return box, limiter, endpoint, rpcs


def calls(box):
    return sum(action.do is Do.CALL for action in box.log)


def test_calls_are_bounded_by_the_allocation_and_the_rest_is_reported_as_waiting():
    box, limiter, endpoint, _ = box_with((EVER, 5))
    assert calls(box) == 5 and box.control.places[CALLING] == 5
    limiter.tick(box.control, 1.0, box.now)
    assert endpoint.told[-1] == Use(5, 5, box.control.places[WAITING], 1.0) and box.control.places[WAITING] == 7


def test_larger_allocation_is_used_at_once_and_smaller_one_lets_calls_end():
    box, limiter, endpoint, rpcs = box_with((EVER, 3))
    endpoint.steps = {"calls": ((EVER, 9),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.places[CALLING] == 9
    endpoint.steps = {"calls": ((EVER, 2),)}
    limiter.tick(box.control, 1.0, box.now)
    for rpc in [rpc for rpc in rpcs if rpc.place == CALLING][:8]:
        box.control.called(rpc, Outcome.OK, 10_000, box.now)
        box.flush()
    assert box.control.places[CALLING] == 2


def test_no_call_is_made_without_an_allocation():
    box, limiter, endpoint, _ = box_with((EVER, 0))
    for _ in range(40):
        box.now += TICK
        limiter.tick(box.control, 1.0, box.now)
        box.control.tick({}, box.now)
        box.flush()
    assert calls(box) == 0
    endpoint.steps = {"calls": ((EVER, 1),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert calls(box) == 1


def test_expired_allocation_is_replaced_before_the_next_decision():
    box, limiter, endpoint, rpcs = box_with((11 * SECOND, 6), (EVER, 1))
    assert limiter.bind(box.control, box.now) == 11 * SECOND and calls(box) == 6
    box.now = 12 * SECOND  # suspended past the expiry; the end of a call is the first event after it
    assert limiter.bind(box.control, box.now) == EVER
    box.control.called(rpcs[0], Outcome.OK, 10_000, box.now)
    box.flush()
    assert calls(box) == 6 and endpoint.told[-1].adopted == 1 and endpoint.told[-1].using == 6


def test_allocation_replaced_while_it_is_reported_is_not_applied():
    box, limiter, endpoint, _ = box_with((EVER, 2), count=8)
    endpoint.steps, endpoint.change = {"calls": ((EVER, 7),)}, {"calls": ((EVER, 3),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.places[CALLING] == 3 and [use.adopted for use in endpoint.told[-2:]] == [7, 3]


def test_cold_instance_uses_the_share_that_its_ramp_allows():
    box, limiter, endpoint, _ = box_with((EVER, 2))
    endpoint.steps = {"calls": ((EVER, 10),)}
    limiter.tick(box.control, 0.4, box.now)
    box.flush()
    assert box.control.places[CALLING] == 4


def test_allocation_is_not_bounded_by_the_share_for_the_configured_number_of_instances():
    box, limiter, endpoint, _ = box_with((EVER, 3))
    box.control.below.bound(0.2, 2.0)  # bounds of a share of the calls divided among many instances
    driver = SimpleNamespace(lock=threading.Lock(), control=box.control, settings=box.settings, steer=None)
    manager = Steering(driver, ["a"], 12, None, 0, 1, 1, lambda: box.now, Counters(), None)
    assert driver.steer is manager and manager.until > 1 << 60
    limiter.bind(box.control, box.now)
    box.control.below.value = 3.0  # the learned limit is the whole allocation
    manager.allot(limiter)
    endpoint.steps = {"calls": ((99 * SECOND, 9), (EVER, 1))}
    for _ in range(3):
        box.now += TICK
        manager.tick(box.control, 0, box.now)
        box.flush()
    assert box.control.places[CALLING] == 9 and manager.until == 99 * SECOND
    box.now = 100 * SECOND
    manager.bind(box.control, box.now)
    assert box.control.below.value <= 1 and manager.until == EVER
