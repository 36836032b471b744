"""The budget limiter: the limit is updated before decisions, published before it applies, and the usage reported."""
import threading
from types import SimpleNamespace

from helpers import SECOND, ControlHarness, lookup

from hollystage.decisions.budgets.allocation import FOREVER
from hollystage.decisions.budgets.claimant import Usage
from hollystage.interface import ActionKind, Outcome
from hollystage.policy.buckets import CALLING, TICK, WAITING
from hollystage.service.budget_limiter import BudgetLimiter
from hollystage.service.counters import Counters
from hollystage.service.recovery_manager import RecoveryManager


class FakeEndpoint:
    """The two tables of a budget endpoint; when usage is written, `steps` is replaced by `change` once."""

    def __init__(self, *steps):
        self.steps, self.reported, self.change_on_report = {"calls": steps}, [], None

    @property
    def uses(self):
        return {"calls": self.reported[-1]} if self.reported else {}

    @uses.setter
    def uses(self, table):
        self.reported.append(table["calls"])
        if self.change_on_report is not None:
            self.steps, self.change_on_report = self.change_on_report, None


def box_with(*steps, count=12):
    """Returns a box in which every run waits for a downstream call."""
    box = ControlHarness(lookup(deadline=20 * SECOND, latency_target=20 * SECOND), cores=20, calls_out=1000.0)
    endpoint = FakeEndpoint(*steps)
    limiter = BudgetLimiter(endpoint, "calls")
    limiter.tick(box.control, 1.0, box.now)
    rpcs = [box.send(caller=n) for n in range(count)]
    box.flush()
    for rpc in rpcs:
        box.control.at_call(rpc, box.now)
    box.flush()
    return box, limiter, endpoint, rpcs


def calls(box):
    return sum(action.kind is ActionKind.CALL for action in box.actions)


def test_calls_are_bounded_by_the_allocation_and_the_rest_is_reported_as_waiting():
    box, limiter, endpoint, _ = box_with((FOREVER, 5))
    assert calls(box) == 5 and box.control.state_counts[CALLING] == 5
    limiter.tick(box.control, 1.0, box.now)
    assert endpoint.reported[-1] == Usage(5, 5, box.control.state_counts[WAITING], 1.0) and box.control.state_counts[WAITING] == 7


def test_larger_allocation_is_used_at_once_and_smaller_one_lets_calls_end():
    box, limiter, endpoint, rpcs = box_with((FOREVER, 3))
    endpoint.steps = {"calls": ((FOREVER, 9),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.state_counts[CALLING] == 9
    endpoint.steps = {"calls": ((FOREVER, 2),)}
    limiter.tick(box.control, 1.0, box.now)
    for rpc in [rpc for rpc in rpcs if rpc.state == CALLING][:8]:
        box.control.called(rpc, Outcome.OK, 10_000, box.now)
        box.flush()
    assert box.control.state_counts[CALLING] == 2


def test_no_call_is_made_without_an_allocation():
    box, limiter, endpoint, _ = box_with((FOREVER, 0))
    for _ in range(40):
        box.now += TICK
        limiter.tick(box.control, 1.0, box.now)
        box.control.tick({}, box.now)
        box.flush()
    assert calls(box) == 0
    endpoint.steps = {"calls": ((FOREVER, 1),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert calls(box) == 1


def test_expired_allocation_is_replaced_before_the_next_decision():
    box, limiter, endpoint, rpcs = box_with((11 * SECOND, 6), (FOREVER, 1))
    assert limiter.update_limit(box.control, box.now) == 11 * SECOND and calls(box) == 6
    box.now = 12 * SECOND  # suspended past the expiry; the end of a call is the first event after it
    assert limiter.update_limit(box.control, box.now) == FOREVER
    box.control.called(rpcs[0], Outcome.OK, 10_000, box.now)
    box.flush()
    assert calls(box) == 6 and endpoint.reported[-1].applied_limit == 1 and endpoint.reported[-1].in_use == 6


def test_allocation_replaced_while_it_is_reported_is_not_applied():
    box, limiter, endpoint, _ = box_with((FOREVER, 2), count=8)
    endpoint.steps, endpoint.change_on_report = {"calls": ((FOREVER, 7),)}, {"calls": ((FOREVER, 3),)}
    limiter.tick(box.control, 1.0, box.now)
    box.flush()
    assert box.control.state_counts[CALLING] == 3 and [use.applied_limit for use in endpoint.reported[-2:]] == [7, 3]


def test_cold_instance_uses_the_share_that_its_ramp_allows():
    box, limiter, endpoint, _ = box_with((FOREVER, 2))
    endpoint.steps = {"calls": ((FOREVER, 10),)}
    limiter.tick(box.control, 0.4, box.now)
    box.flush()
    assert box.control.state_counts[CALLING] == 4


def test_allocation_is_not_bounded_by_the_share_for_the_configured_number_of_instances():
    box, limiter, endpoint, _ = box_with((FOREVER, 3))
    box.control.call_limit.set_bounds(0.2, 2.0)  # bounds of a share of the calls divided among many instances
    driver = SimpleNamespace(lock=threading.Lock(), control=box.control, settings=box.settings, steer=None)
    manager = RecoveryManager(driver, ["a"], 12, None, 0, 1, 1, lambda: box.now, Counters(), None)
    assert driver.steer is manager and manager.limit_expires_at > 1 << 60
    limiter.update_limit(box.control, box.now)
    box.control.call_limit.value = 3.0  # the learned limit is the whole allocation
    manager.set_call_limiter(limiter)
    endpoint.steps = {"calls": ((99 * SECOND, 9), (FOREVER, 1))}
    for _ in range(3):
        box.now += TICK
        manager.tick(box.control, 0, box.now)
        box.flush()
    assert box.control.state_counts[CALLING] == 9 and manager.limit_expires_at == 99 * SECOND
    box.now = 100 * SECOND
    manager.update_limit(box.control, box.now)
    assert box.control.call_limit.value <= 1 and manager.limit_expires_at == FOREVER
