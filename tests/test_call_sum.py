"""Processes that exchange no messages keep the total of their downstream calls near the sum of their limits."""
from math import ceil

import pytest

from hollystage.control import Control
from hollystage.standins.call_sum import UncoordinatedFleet


@pytest.mark.parametrize("share", [0.3, 1.2])
@pytest.mark.parametrize("processes", [1, 5, 20, 30])
def test_total_of_calls_stays_near_the_sum_of_the_limits(processes, share):
    fleet = UncoordinatedFleet(processes, share, seed=processes).run(9)
    assert fleet.max_windowed_mean() <= fleet.tolerated_total  # over 5 s, the span in the settings
    assert fleet.max_windowed_mean() > 0.5 * fleet.total_limit - 1  # and the limits are used


@pytest.mark.parametrize("share", [0.1, 0.3])
def test_first_calls_of_the_processes_are_spread_over_time(share):
    fleet = UncoordinatedFleet(30, share, seed=3).run(3)
    assert max(fleet.ledger.samples) <= 1.5 * fleet.tolerated_total and fleet.call_count() > 10


def test_ledger_that_slows_down_does_not_get_one_call_of_each_process():
    fleet = UncoordinatedFleet(30, 0.1, seed=5, slow_from=4).run(10)
    assert fleet.max_windowed_mean() <= fleet.tolerated_total


def rounded_up(pacer):
    def allowed(limit, now):
        pacer.limit = limit
        return ceil(limit)
    pacer.allowed = allowed


def without_debt(pacer):
    pacer.debt = 0.0


@pytest.mark.parametrize("fault", [rounded_up, without_debt])
def test_checks_detect_seeded_faults(monkeypatch, fault):
    init = Control.__init__

    def faulty(control, settings, seed, now):
        init(control, settings, seed, now)
        fault(control.pacer)

    monkeypatch.setattr(Control, "__init__", faulty)
    if fault is rounded_up:
        fleet = UncoordinatedFleet(20, 1.2, seed=20).run(9)
        assert fleet.max_windowed_mean() > fleet.tolerated_total
    else:
        fleet = UncoordinatedFleet(30, 0.1, seed=3).run(3)
        assert max(fleet.ledger.samples) > 1.5 * fleet.tolerated_total
