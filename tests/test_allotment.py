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
from hollystage.service.driver import Driver, clock
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


def harness_with(*steps, count=12):
    """Returns a control harness in which every run waits for a downstream call."""
    harness = ControlHarness(lookup(deadline=20 * SECOND, latency_target=20 * SECOND), cores=20, calls_out=1000.0)
    endpoint = FakeEndpoint(*steps)
    limiter = BudgetLimiter(endpoint, "calls")
    limiter.tick(harness.control, 1.0, harness.now)
    rpcs = [harness.send(caller=n) for n in range(count)]
    harness.flush()
    for rpc in rpcs:
        harness.control.at_call(rpc, harness.now)
    harness.flush()
    return harness, limiter, endpoint, rpcs


def calls(harness):
    return sum(action.kind is ActionKind.CALL for action in harness.actions)


def test_calls_are_bounded_by_the_allocation_and_the_rest_is_reported_as_waiting():
    harness, limiter, endpoint, _ = harness_with((FOREVER, 5))
    assert calls(harness) == 5 and harness.control.state_counts[CALLING] == 5
    limiter.tick(harness.control, 1.0, harness.now)
    assert (endpoint.reported[-1] == Usage(5, 5, harness.control.state_counts[WAITING], 1.0)
            and harness.control.state_counts[WAITING] == 7)


def test_larger_allocation_is_used_at_once_and_smaller_one_lets_calls_end():
    harness, limiter, endpoint, rpcs = harness_with((FOREVER, 3))
    endpoint.steps = {"calls": ((FOREVER, 9),)}
    limiter.tick(harness.control, 1.0, harness.now)
    harness.flush()
    assert harness.control.state_counts[CALLING] == 9
    endpoint.steps = {"calls": ((FOREVER, 2),)}
    limiter.tick(harness.control, 1.0, harness.now)
    for rpc in [rpc for rpc in rpcs if rpc.state == CALLING][:8]:
        harness.control.call_finished(rpc, Outcome.OK, 10_000, harness.now)
        harness.flush()
    assert harness.control.state_counts[CALLING] == 2


def test_no_call_is_made_without_an_allocation():
    harness, limiter, endpoint, _ = harness_with((FOREVER, 0))
    for _ in range(40):
        harness.now += TICK
        limiter.tick(harness.control, 1.0, harness.now)
        harness.control.tick({}, harness.now)
        harness.flush()
    assert calls(harness) == 0
    endpoint.steps = {"calls": ((FOREVER, 1),)}
    limiter.tick(harness.control, 1.0, harness.now)
    harness.flush()
    assert calls(harness) == 1


def test_event_after_a_suspension_makes_no_call_without_an_allocation():
    # guards against a call without units by the first event after a suspension of more than 200 ms (review/3)
    harness, limiter, endpoint, rpcs = harness_with((FOREVER, 0))
    limiter.tick(harness.control, 1.0, harness.now)
    harness.control.pacer.debt = 0.0  # as after a while without calls
    for pause in (300_000, 390_000, 5 * SECOND):
        harness.now += pause
        harness.disconnect(rpcs.pop())
        assert calls(harness) == 0
    endpoint.steps = {"calls": ((FOREVER, 1),)}
    limiter.tick(harness.control, 1.0, harness.now)
    harness.flush()
    assert calls(harness) == 1


def test_expired_allocation_is_replaced_before_the_next_decision():
    harness, limiter, endpoint, rpcs = harness_with((11 * SECOND, 6), (FOREVER, 1))
    assert limiter.update_limit(harness.control, harness.now) == 11 * SECOND and calls(harness) == 6
    harness.now = 12 * SECOND  # suspended past the expiry; the end of a call is the first event after it
    assert limiter.update_limit(harness.control, harness.now) == FOREVER
    harness.control.call_finished(rpcs[0], Outcome.OK, 10_000, harness.now)
    harness.flush()
    assert calls(harness) == 6 and endpoint.reported[-1].applied_limit == 1 and endpoint.reported[-1].in_use == 6


def test_allocation_replaced_while_it_is_reported_is_not_applied():
    harness, limiter, endpoint, _ = harness_with((FOREVER, 2), count=8)
    endpoint.steps, endpoint.change_on_report = {"calls": ((FOREVER, 7),)}, {"calls": ((FOREVER, 3),)}
    limiter.tick(harness.control, 1.0, harness.now)
    harness.flush()
    assert (harness.control.state_counts[CALLING] == 3
            and [usage.applied_limit for usage in endpoint.reported[-2:]] == [7, 3])


def test_cold_instance_uses_the_share_that_its_ramp_allows():
    harness, limiter, endpoint, _ = harness_with((FOREVER, 2))
    endpoint.steps = {"calls": ((FOREVER, 10),)}
    limiter.tick(harness.control, 0.4, harness.now)
    harness.flush()
    assert harness.control.state_counts[CALLING] == 4


def test_allocation_is_not_bounded_by_the_share_for_the_configured_number_of_instances():
    harness, limiter, endpoint, _ = harness_with((FOREVER, 3))
    harness.control.call_limit.set_bounds(0.2, 2.0)  # bounds of a share of the calls divided among many instances
    driver = SimpleNamespace(lock=threading.Lock(), control=harness.control, settings=harness.settings, recovery=None)
    manager = RecoveryManager(driver, ["a"], 12, None, 0, 1, 1, lambda: harness.now, Counters(), None)
    assert driver.recovery is manager and manager.limit_expires_at > 1 << 60
    limiter.update_limit(harness.control, harness.now)
    harness.control.call_limit.value = 3.0  # the learned limit is the whole allocation
    manager.set_call_limiter(limiter)
    endpoint.steps = {"calls": ((99 * SECOND, 9), (FOREVER, 1))}
    for _ in range(3):
        harness.now += TICK
        manager.tick(harness.control, 0, harness.now)
        harness.flush()
    assert harness.control.state_counts[CALLING] == 9 and manager.limit_expires_at == 99 * SECOND
    harness.now = 100 * SECOND
    manager.update_limit(harness.control, harness.now)
    assert harness.control.call_limit.value <= 1 and manager.limit_expires_at == FOREVER


def test_allocation_bounds_the_module_that_a_restarted_interpreter_gets():
    harness = ControlHarness(lookup(), calls_out=100.0)
    driver = Driver(harness.settings, 1, Counters())
    manager = RecoveryManager(driver, ["a"], 5, None, 0, 1, 1, clock, Counters(), None)
    manager.set_call_limiter(BudgetLimiter(FakeEndpoint((FOREVER, 1)), "calls"))
    driver._process_actions(clock())  # applies the allocation to the first module
    driver.interpreter_started(cold=False, age=0)
    assert driver.control.call_limit.value == 1.0
