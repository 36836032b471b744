"""Recovery after a restart: restored state and its aging, possible reruns, promised retry times, the ramp."""
import math
import random

import msgspec
import pytest

from hollystage.control import Control
from hollystage.decisions.jitter import FLEET_RATES, StartJitter
from hollystage.decisions.membership.parameters import Parameters
from hollystage.decisions.membership.records import Belief, MemberStatus, Record, Stage, View
from hollystage.decisions.recovery.ramp import (
    INITIAL_SHARE,
    CallBounds,
    FleetSummary,
    Ramp,
    RampController,
    summarize,
)
from hollystage.decisions.recovery.recovery import (
    LEARNED_KINDS,
    MONOTONIC,
    LearnedState,
    MethodStats,
    RestartGuard,
    export_learned,
    machine_fingerprint,
    merge_learned,
    peers_to_ask,
    restore_learned,
    weight,
)
from hollystage.decisions.recovery.retry_calendar import MIN_PROMISED_SHARE, RetryCalendar
from hollystage.interface import Method, MethodKind, Rpc
from hollystage.standins.fleet.faults import Fault
from hollystage.standins.fleet.fleet_simulation import FleetSimulation
from hollystage.standins.fleet.recovery_check import check_recovery, recovery_metrics
from hollystage.standins.scenes import make_settings
from hollystage.store import snapshot
from hollystage.store.folder import StateFolder
from hollystage.store.snapshot import Snapshot

NAMES = ["lookup", "hold"]
LOOK = Method(MethodKind.IDEMPOTENT, 1.0, 1_000_000, 2_000_000)
HOLD = Method(MethodKind.KEYED, 2.0, 800_000, 2_000_000, window=8_000_000)


def module(cores=4, cold=True):
    settings = make_settings([LOOK, HOLD], cores=cores, calls_out=8.0)
    settings.cold, settings.cold_from, settings.warm_after = cold, 0.3, 10_000_000
    return Control(settings, 1, 1_000_000)


def trained_module(cores=4, cost=50_000.0):
    control = module(cores, cold=False)
    for method in control.run_times:
        control.run_times[method].add(cost * 20, 1_000_000, 20)
        control.off_core_times[method].add(3_000.0 * 20, 1_000_000, 20)
        control.reject_ages[method].add(400_000.0 * 20, 1_000_000, 20)
        control.timeout_histograms[method][0] += 7.0
    control.work_per_hint.add(2.0, 1_000_000, 1)
    control.typical_call = 12_000.0
    control.call_limit.set_bounds(0.1, 3.0)
    return control


def learned_values(control):
    """Returns every value of a decision module that can be restored, by kind."""
    now = 1_000_000
    methods = control.settings.methods
    return {"costs": [control.run_times[m].read(now) / max(1e-9, control.run_times[m].count) for m in methods],
            "times off the cores": [control.off_core_times[m].read(now) for m in methods],
            "pace of hints": control.work_per_hint.read(now),
            "ages of first tries elsewhere": [control.reject_ages[m].read(now) for m in methods],
            "patiences": [list(control.timeout_histograms[m]) for m in methods],
            "usual call": control.typical_call, "limit on calls": control.call_limit.value}


LEARNED = export_learned(trained_module(), NAMES, 1_000_000)


@pytest.mark.parametrize("kind", [kind for kind, aging in LEARNED_KINDS.items() if aging.half_life])
def test_each_kind_is_restored_when_fresh_and_ignored_when_stale(kind):
    cold, fresh = learned_values(module()), module()
    used = restore_learned(fresh, NAMES, LEARNED, 0.0, 1_000_000)
    assert kind in used and used[kind] == 1.0 and learned_values(fresh)[kind] != cold[kind]
    for age_s in (LEARNED_KINDS[kind].half_life * 7, 86_400.0 * 7, None):
        stale = module()
        assert kind not in restore_learned(stale, NAMES, LEARNED, age_s, 1_000_000)
        assert learned_values(stale)[kind] == cold[kind]


@pytest.mark.parametrize("kind", [kind for kind, aging in LEARNED_KINDS.items() if not aging.half_life])
def test_grants_to_an_earlier_boot_are_void_and_not_part_of_a_snapshot(kind):
    assert weight(kind, 0.0) == 0.0 and kind not in MONOTONIC
    assert LearnedState.__struct_fields__ == (
        "machine", "limit", "typical_call", "work_per_hint", "hint_weight", "methods")
    assert MethodStats.__struct_fields__ == (
        "cost", "runs", "off_core_time", "reject_age", "reject_count", "timeouts")


def test_an_older_cost_weighs_less_and_own_measurements_outweigh_it():
    weights = []
    for age_s in (0.0, 300.0, 600.0, 1800.0):
        control = module()
        restore_learned(control, NAMES, LEARNED, age_s, 1_000_000)
        weights.append(control.run_times[LOOK].count)
        control.run_times[LOOK].add(10_000.0 * 40, 1_000_000, 40)  # a fifth of the stored cost
        assert control.run_times[LOOK].read(1_000_000) / control.run_times[LOOK].count <= 18_000
    assert weights == sorted(weights, reverse=True) and weights[0] <= 10 and weights[2] == pytest.approx(5)


def test_costs_of_another_machine_and_limits_above_the_share_are_not_restored():
    other, same = module(cores=8), module()
    cold = learned_values(module(cores=8))
    used = restore_learned(other, NAMES, LEARNED, 0.0, 1_000_000)
    assert "costs" not in used and learned_values(other)["costs"] == cold["costs"]
    initial = same.call_limit.value
    restore_learned(same, NAMES, msgspec.structs.replace(LEARNED, limit=1e6), 0.0, 1_000_000)
    assert same.call_limit.value <= initial
    lowered = module()
    restore_learned(lowered, NAMES, msgspec.structs.replace(LEARNED, limit=0.01), 0.0, 1_000_000)
    assert lowered.call_limit.value < initial


@pytest.mark.parametrize("stats", [
    MethodStats(math.nan, 5), MethodStats(-1.0, 5), MethodStats(math.inf, 5), MethodStats(1e12, 5),
    MethodStats(1.0, math.inf), MethodStats(50_000.0, 5, timeouts=(1.0,)),
    MethodStats(50_000.0, 5, timeouts=(math.nan,) * 64)])
def test_invalid_stored_values_are_not_restored(stats):
    control = module()
    restore_learned(control, NAMES, LearnedState(
        machine_fingerprint(control.settings), math.nan, -1.0, math.inf, 1.0, {"lookup": stats}), 0.0, 0)
    control.tick({}, 1_100_000)
    assert all(math.isfinite(value) for value in learned_values(control)["costs"]) \
        and math.isfinite(control.call_limit.value)
    assert control.typical_call >= 0 and len(control.timeout_histograms[LOOK]) > 1


@pytest.mark.parametrize("costs, expected", [
    ([], None), ([50.0], None), ([50.0, 70.0], 60.0), ([50.0, 70.0, 9_000.0], 70.0), ([0.001, 50.0, 60.0], 50.0)])
def test_a_single_peer_is_not_trusted_and_a_false_value_among_three_has_little_effect(costs, expected):
    states = [LearnedState(7, 0.1, 9.0, 2.0, 1.0, {"hold": MethodStats(cost, 5.0)}) for cost in costs]
    merged = merge_learned([*states, LearnedState(8, methods={"hold": MethodStats(1.0, 5.0)})], 7)
    assert (merged.methods["hold"].cost if merged else None) == expected
    assert merged is None or (merged.limit, merged.work_per_hint) == (0.0, 0.0)


def test_only_warm_peers_in_the_same_zone_with_the_same_machine_are_asked_once_each():
    def peer(name, zone="z", machine=7, **options):
        record = member(name, **options)
        return msgspec.structs.replace(record, zone=zone,
                                       status=msgspec.structs.replace(record.status, machine=machine))
    fleet = view(peer("a"), peer("b"), peer("far", zone="y"), peer("other", machine=8),
                 peer("cold", stage=Stage.COLD), peer("lost", belief=Belief.LOST),
                 peer("suspect", belief=Belief.SUSPECT))
    assert [record.name for record in peers_to_ask(fleet, 7, {})] == ["a", "b"]
    assert [record.name for record in peers_to_ask(fleet, 7, {"a": LEARNED})] == ["b"]


# Stored state: each kind of damage is detected and reported in one line

def write_snapshot(path, written_ms=1_000_000, name="a"):
    folder = StateFolder(str(path), name)
    size = snapshot.write(folder, Snapshot(written_ms, 5, 12, LEARNED))
    folder.close()
    return size


def read_snapshot(path, now_ms=1_002_000, name="a"):
    folder = StateFolder(str(path), name)
    try:
        return snapshot.read(folder, now_ms)
    finally:
        folder.close()


def test_a_snapshot_is_read_back_unchanged(tmp_path):
    assert write_snapshot(tmp_path / "s") < 4_000
    stored, age_s, fault = read_snapshot(tmp_path / "s")
    assert stored.learned == LEARNED and age_s == 2.0 and fault == "" and stored.boot == 5


@pytest.mark.parametrize("now_ms, age_s, is_used", [
    (1_000_000, 0.0, True), (1_000_000 - 4_000, 0.0, True), (1_000_000 - 86_400_000, None, False),
    (1_000_000 + 3_600_000, 3_600.0, True), (1_000_000 + 7 * 86_400_000, 604_800.0, False)])
def test_an_old_snapshot_or_one_from_the_future_is_not_used(tmp_path, now_ms, age_s, is_used):
    write_snapshot(tmp_path / "s")
    stored, found_age, fault = read_snapshot(tmp_path / "s", now_ms)
    assert found_age == age_s and (age_s is not None) == (fault == "")
    assert bool(restore_learned(module(), NAMES, stored.learned, found_age, 0)) is is_used


def test_a_damaged_snapshot_is_rejected_with_a_message_of_one_line(tmp_path):
    import os

    size = write_snapshot(tmp_path / "s")
    path = next(os.path.join(tmp_path, "s", name) for name in os.listdir(tmp_path / "s") if "snapshot" in name)
    with open(path, "rb") as file:
        intact = file.read()
    assert len(intact) > size
    rng = random.Random(1)
    for case in range(200):
        damaged = bytearray(intact)
        if case % 2:
            damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        else:
            del damaged[rng.randrange(len(damaged)):]
        with open(path, "wb") as file:
            file.write(damaged)
        stored, age_s, fault = read_snapshot(tmp_path / "s")
        assert stored is None and age_s is None and fault.count("\n") == 0
        assert fault.endswith("; starting without learned statistics")
    with open(path, "wb") as file:
        file.write(intact)
    assert read_snapshot(tmp_path / "s")[0] is not None


# Possible reruns

def test_a_retry_may_have_run_until_the_window_ends_unless_its_first_attempt_arrived_here():
    guard = RestartGuard(0)
    assert not guard.may_have_run(LOOK, "x", True, 1)  # idempotent
    assert not guard.may_have_run(HOLD, "a", False, 1) and not guard.may_have_run(HOLD, "a", True, 2)
    assert guard.may_have_run(HOLD, "b", True, 8_000_000) and not guard.may_have_run(HOLD, "b", True, 8_000_001)
    for number in range(9_000):
        guard.may_have_run(HOLD, number, False, 3)
    assert len(guard.seen_keys) <= 8_192 and guard.may_have_run(HOLD, "a", True, 4)  # its key was forgotten


# Promised retry times

@pytest.mark.parametrize("capacity", [0.5, 1.0])
def test_more_than_nine_in_ten_promised_times_are_kept_even_at_half_the_assumed_capacity(capacity):
    """Callers retry at their promised time at an instance whose throughput is `capacity` times what it assumes."""
    calendar, rng, now, waiting, kept, broken = RetryCalendar(1_000_000), random.Random(3), 0, [], 0, 0
    available = 0.0
    for step in range(3_000):
        now = step * 10_000
        if step % 10 == 0:
            calendar.update_rate(100.0, now)
        available = min(3.0, available + 100.0 * capacity / 100)
        due = sorted(entry for entry in waiting if entry[0] <= now)
        waiting = [entry for entry in waiting if entry[0] > now]
        for _, caller in due:
            if calendar.redeem(caller, 0, now):
                if available >= 1.0:
                    available, kept = available - 1.0, kept + (step > 1_500)
                else:
                    calendar.on_promise_broken()
                    broken += step > 1_500
        for number in range(rng.randrange(5)):  # first attempts at twice the assumed throughput
            caller = step * 10 + number
            if available >= 1.0:
                available -= 1.0
            elif delay := calendar.promise(caller, 0, now, now + 800_000):
                waiting.append((now + delay, caller))
    assert kept > 100 and kept / (kept + broken) > 0.9
    assert len(calendar.slots) < 200 and len(calendar.promises) < 300 \
        and calendar.promised_share >= MIN_PROMISED_SHARE


def test_a_promise_is_valid_only_for_its_caller_method_and_time():
    calendar = RetryCalendar(1_000_000)
    calendar.update_rate(1_000.0, 0)
    delay = calendar.promise(1, 0, 0, 900_000)
    assert delay > 0 and not calendar.redeem(2, 0, delay) and not calendar.redeem(1, 1, delay)
    assert not calendar.redeem(1, 0, delay - 20_000) and calendar.redeem(1, 0, delay + 50_000)
    assert not calendar.redeem(1, 0, delay + 50_000)  # used up
    delay = calendar.promise(1, 0, 0, 900_000)
    assert not calendar.redeem(1, 0, delay + 150_000) and calendar.late == 1


def test_an_rpc_at_its_promised_time_precedes_others_and_has_the_first_latency_class():
    control = module(cold=False)
    assert control.calendar is None  # off by default, so that recorded traces stay valid
    control = Control(make_settings([LOOK, HOLD], cores=1, calls_out=8.0, promises=True), 1, 0)
    control.calendar.promises[7, 1] = 50_000
    expected, other = (Rpc(HOLD, caller, None, 10.0, 2_000_000, 0, False) for caller in (7, 8))
    for rpc in (other, expected):
        control.arrived(rpc, 60_000)
    assert expected.promised and not other.promised and expected.level == 1 and expected.tag < other.tag
    assert control.calendar.kept == 1


# The ramp and the summary of the fleet

def member(name, stage=Stage.SERVING, pressure=0, belief=Belief.ALIVE):
    return Record(name, "z", "127.0.0.1:7000", 5, 77, belief=belief, status=MemberStatus(1, stage, pressure=pressure))


def view(*records, me=Stage.COLD, fresh=True):
    return View(0, member("me", me), {record.name: record for record in records}, fresh, False)


def test_a_ramp_grows_only_while_its_share_is_used_with_good_replies_and_decreases_otherwise():
    ramp, calls, now = Ramp(0), 0, 0
    for _ in range(50):
        now += 100_000
        assert ramp.update(calls, 0.0, 10_000, now) == INITIAL_SHARE  # no calls ended, so the share stays
    shares = []
    for _ in range(30):
        now, calls = now + 100_000, calls + 3
        shares.append(ramp.update(calls, 0.0, 10_000, now))
    assert shares[-1] == 1.0 and shares == sorted(shares) and ramp.complete and shares.index(1.0) <= 6
    ramp, shares = Ramp(0), []
    for step in range(300):
        shares.append(ramp.update(step, 0.9, 10_000, step * 100_000))
    assert shares[-1] < INITIAL_SHARE and ramp.decreases <= 8  # each pause is twice as long as the one before
    assert ramp.update(400, 0.0, 10_000, 60_000_000) > shares[-1]


def test_call_shares_shrink_in_a_fleet_larger_than_configured_and_never_exceed_the_configured_share():
    control = module(cold=False)
    ramp, max_calls = RampController(control, 0, 4, False), control.call_limit.max_value
    for peers, share in ((0, 1.0), (3, 1.0), (7, 0.5), (1, 1.0)):
        bounds = ramp.bounds(view(*(member(f"p{n}") for n in range(peers)), me=Stage.SERVING), 0, 0.0, 0.0, 1)
        assert bounds.call_share == share
        ramp.apply(control, bounds)
        assert control.call_limit.max_value == pytest.approx(max_calls * share)
    assert ramp.bounds(None, 0, 0.0, 0.0, 2) == CallBounds(1.0, False)
    assert ramp.bounds(view(*(member(f"p{n}") for n in range(7)), fresh=False), 0, 0, 0, 3) == CallBounds(1.0, False)


@pytest.mark.parametrize("records, expected", [
    ([], FleetSummary(1, 1, 0.0, False)),
    ([member("a"), member("b", pressure=2)], FleetSummary(3, 1, 0.5, False)),
    ([member("a", Stage.COLD), member("b"), member("c", Stage.DRAINING)], FleetSummary(4, 2, 2 / 3, True)),
    ([member(f"p{n}") for n in range(11)], FleetSummary(12, 1, 1.0, False)),
    ([member("a", belief=Belief.LOST), member("b", Stage.STARTING)], FleetSummary(2, 2, 0.0, True))])
def test_a_mass_start_is_detected_in_the_view(records, expected):
    assert summarize(view(*records)) == expected


@pytest.mark.parametrize("operation", sorted(FLEET_RATES))
@pytest.mark.parametrize("count", [12, 300, 1_000])
def test_simultaneous_starts_stay_within_the_rate_of_the_fleet(operation, count):
    delays = sorted(StartJitter(seed).delay(operation, count) for seed in range(count))
    # within any 0.1 s at most twice the rate, plus a few
    for start in range(0, delays[-1], 50_000):
        assert sum(start <= delay < start + 100_000 for delay in delays) <= 0.2 * FLEET_RATES[operation] + 12
    assert delays[-1] <= count / FLEET_RATES[operation] * 1e6


@pytest.mark.parametrize("expected, max_streams", [(0, None), (200, 60)])
def test_first_syncs_of_many_members_that_start_at_once_are_spread(expected, max_streams):
    """150 of 200 members restart at the same time; the new streams of the whole fleet are counted every 0.1 s."""
    simulation = FleetSimulation(200, 1, Parameters(expected_members=expected), converged=True)
    names = list(simulation.nodes)[:150]
    simulation.apply(Fault(0, "kill", names))
    simulation.run(0.5)
    simulation.apply(Fault(0, "start", names))
    streams = []
    for _ in range(20):
        before = simulation.streams
        simulation.run(0.1)
        streams.append(simulation.streams - before)
    assert max(streams) >= 150 if max_streams is None else max(streams) <= max_streams
    assert simulation.run_until_agreed(15) is not None  # took 26 s before many pending updates triggered a full sync


# Checkers of a recovery, on histories written by hand

def line(t, who, what, **more):
    return {"t": int(t * 1e6), "who": who, "what": what} | more


def restored(t, used, stored=True):
    return line(t, "m1", "sown", used=used, stored=stored, age=None)


def clock_jump(t, jump):
    return line(t, "rig", "fault", do="clock", names=["m1"], to=[], amount=1, jitter=jump)


def attempt(t, ident, is_retry=False, at_promised_time=False):
    return line(t, "clients", "try", rpc=ident, key="k", to="m1", method="car-hold", further=is_retry, wait=1.0,
                tokened=True, came=at_promised_time)


def end(t, ident, outcome):
    return line(t, "clients", "end", rpc=ident, word=outcome, advice=0, stay=False)


def promised_attempts(served, total):
    return [entry for n in range(total) for entry in (
        attempt(n, f"r{n}", at_promised_time=True), end(n + 0.1, f"r{n}", "ok" if n < served else "pushed back"))]


KEPT = line(1, "m1", "kept")
RESTART = [line(0, "m1", "began", life=1), attempt(1, "a"), line(1.1, "m1", "run", rpc="a", body="k"),
           line(2, "m1", "began", life=2), attempt(3, "b", is_retry=True)]


@pytest.mark.parametrize("lines, rule", [
    ([KEPT, line(2, "m1", "state", how=""), restored(3, {"costs": 1.0})], None),
    ([KEPT, line(2, "m1", "state", how="emptied"), restored(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="damaged"), restored(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="emptied"), restored(3, {}, False)], None),
    ([KEPT, line(2, "m1", "state", how="replanned"), restored(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="replanned"), restored(3, {"usual call": 0.9})], None),
    ([KEPT, clock_jump(2, 3_600.0), line(2, "m1", "state", how=""), restored(3, {"costs": 0.5})], "no stale belief"),
    ([KEPT, clock_jump(2, 3_600.0), line(2, "m1", "state", how=""), restored(3, {"patiences": 0.5})], None),
    ([KEPT, clock_jump(2, -86_400.0), line(2, "m1", "state", how=""), restored(3, {"costs": 1.0})],
     "no stale belief"),
    ([KEPT, clock_jump(2, -86_400.0), line(2, "m1", "state", how=""), restored(3, {})], None),
    ([KEPT, line(2, "m1", "state", how=""), restored(3, {}, False)], "what was kept is there"),
    ([line(1, "m1", "borrowed", lenders=1, taken=1)], "several are asked"),
    ([line(1, "m1", "borrowed", lenders=2, taken=1)], None),
    ([*RESTART, end(3.1, "b", "pushed back")], "2 no effect twice"), ([*RESTART, end(3.1, "b", "aborted")], None),
    (promised_attempts(40, 44), None), (promised_attempts(30, 44), "times to come back are kept"),
    (promised_attempts(3, 10), None),
    ([line(1, "ledger-z0", "load", held=60, deaths=1, refused=0)], "the ledger survives"),
    ([line(0, "rig", "fault", do="call", names=["ledgers"], to=[], how='{"do": "die", "seconds": 1}'),
      line(1, "ledger-z0", "load", held=60, deaths=1, refused=0)], None)])
def test_violations_of_recovery_rules_are_found_in_histories(lines, rule):
    assert {violation.rule for violation in check_recovery(lines)} == ({rule} if rule else set())


def test_time_to_full_service_is_computed_from_a_history():
    rpcs = [line(t / 10, "clients", "rpc", key="k", method="m", end="ok", tries=1, took=0.1, good=not 100 < t < 140,
                 worth=1.0) for t in range(400)]
    lines = sorted([*rpcs, line(10, "rig", "schedule", faults=1), line(40, "clients", "stopped")],
                   key=lambda entry: entry["t"])
    metrics = recovery_metrics(lines, 8.0)
    assert metrics["full_s"] == 4 and 3.8 <= metrics["lost_s"] <= 4.0 and metrics["before"] == 10.0
