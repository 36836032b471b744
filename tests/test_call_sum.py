"""The calls that many instances have under way together, none of which hears of another, against what they may."""
from math import ceil

import pytest

from hollystage.control import Control
from hollystage.standins.call_sum import CallSum


@pytest.mark.parametrize("share", [0.3, 1.2])
@pytest.mark.parametrize("processes", [1, 5, 20, 30])
def test_the_sum_over_all_processes_keeps_to_the_whole(processes, share):
    fleet = CallSum(processes, share, seed=processes).run(9)
    assert fleet.worst_mean() <= fleet.allowed  # 5 s, as the settings name them
    assert fleet.worst_mean() > 0.5 * fleet.whole - 1  # and it is used


@pytest.mark.parametrize("share", [0.1, 0.3])
def test_first_calls_do_not_come_in_step(share):
    fleet = CallSum(30, share, seed=3).run(3)
    assert max(fleet.ledger.held) <= 1.5 * fleet.allowed and fleet.calls() > 10


def test_a_service_below_that_turns_slow_is_not_held_by_one_call_of_each_process():
    fleet = CallSum(30, 0.1, seed=5, slow_from=4).run(10)
    assert fleet.worst_mean() <= fleet.allowed


def rounded_up(pacer):
    def allowed(limit, now):
        pacer.limit = limit
        return ceil(limit)
    pacer.allowed = allowed


def without_debt(pacer):
    pacer.debt = 0.0


@pytest.mark.parametrize("fault", [rounded_up, without_debt])
def test_the_judge_sees_seeded_faults(monkeypatch, fault):
    begin = Control.__init__

    def faulty(control, settings, seed, now):
        begin(control, settings, seed, now)
        fault(control.pacer)

    monkeypatch.setattr(Control, "__init__", faulty)
    if fault is rounded_up:
        fleet = CallSum(20, 1.2, seed=20).run(9)
        assert fleet.worst_mean() > fleet.allowed
    else:
        fleet = CallSum(30, 0.1, seed=3).run(3)
        assert max(fleet.ledger.held) > 1.5 * fleet.allowed
