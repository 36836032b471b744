"""Coming back: what is believed after a start and how it ages, doubt, promised times, the ramp, who lends what."""
import math
import random

import msgspec
import pytest

from hollystage.control import Control
from hollystage.decisions.comeback.calendar import LEAST, Calendar
from hollystage.decisions.comeback.pilot import FIRST, Bounds, Pilot, Ramp, Stance, stance
from hollystage.decisions.comeback.recovery import (
    FOREVER,
    KINDS,
    Doubt,
    Learned,
    Means,
    agreed,
    harvest,
    lenders,
    machine_mark,
    sow,
    weight,
)
from hollystage.decisions.membership.records import Belief, Digest, Record, Stage, View
from hollystage.decisions.membership.terms import Terms
from hollystage.decisions.turns import BUDGETS, Turns
from hollystage.interface import Kind, Method, Rpc
from hollystage.standins.fleet.aftermath import comeback, figures
from hollystage.standins.fleet.faults import Fault
from hollystage.standins.fleet.twin import Twin
from hollystage.standins.scenes import settings_of
from hollystage.store import snapshot
from hollystage.store.folder import Folder
from hollystage.store.snapshot import Snapshot

NAMES = ["lookup", "hold"]
LOOK = Method(Kind.IDEMPOTENT, 1.0, 1_000_000, 2_000_000)
HOLD = Method(Kind.TOKENED, 2.0, 800_000, 2_000_000, window=8_000_000)


def module(cores=4, cold=True):
    settings = settings_of([LOOK, HOLD], cores=cores, calls_out=8.0)
    settings.cold, settings.cold_from, settings.warm_after = cold, 0.3, 10_000_000
    return Control(settings, 1, 1_000_000)


def taught(cores=4, cost=50_000.0):
    control = module(cores, cold=False)
    for method in control.runs:
        control.runs[method].add(cost * 20, 1_000_000, 20)
        control.offs[method].add(3_000.0 * 20, 1_000_000, 20)
        control.ends[method].add(400_000.0 * 20, 1_000_000, 20)
        control.firsts[method][0] += 7.0
    control.pace.add(2.0, 1_000_000, 1)
    control.usual_call = 12_000.0
    control.below.bound(0.1, 3.0)
    return control


def beliefs(control):
    """Everything that a start may bring along, by kind; what a fresh module holds where nothing was brought."""
    now = 1_000_000
    return {"costs": [control.runs[m].read(now) / max(1e-9, control.runs[m].count) for m in control.set.methods],
            "times off the cores": [control.offs[m].read(now) for m in control.set.methods],
            "pace of hints": control.pace.read(now),
            "ages of first tries elsewhere": [control.ends[m].read(now) for m in control.set.methods],
            "patiences": [list(control.firsts[m]) for m in control.set.methods],
            "usual call": control.usual_call, "limit on calls": control.below.value}


LEARNED = harvest(taught(), NAMES, 1_000_000)


@pytest.mark.parametrize("kind", [kind for kind, aging in KINDS.items() if aging.half_life])
def test_each_kind_counts_when_fresh_and_does_no_harm_when_stale(kind):
    cold, fresh = beliefs(module()), module()
    used = sow(fresh, NAMES, LEARNED, 0.0, 1_000_000)
    assert kind in used and used[kind] == 1.0 and beliefs(fresh)[kind] != cold[kind]
    for old in (KINDS[kind].half_life * 7, 86_400.0 * 7, None):
        stale = module()
        assert kind not in sow(stale, NAMES, LEARNED, old, 1_000_000)
        assert beliefs(stale)[kind] == cold[kind]


@pytest.mark.parametrize("kind", [kind for kind, aging in KINDS.items() if not aging.half_life])
def test_what_was_granted_to_an_earlier_boot_counts_nothing_and_has_no_place_in_a_snapshot(kind):
    assert weight(kind, 0.0) == 0.0 and kind not in FOREVER
    assert Learned.__struct_fields__ == ("machine", "limit", "usual_call", "pace", "hints", "methods")
    assert Means.__struct_fields__ == ("cost", "runs", "off", "ended", "ends", "patiences")


def test_an_older_cost_weighs_less_and_own_runs_outweigh_it_at_once():
    weights = []
    for old in (0.0, 300.0, 600.0, 1800.0):
        control = module()
        sow(control, NAMES, LEARNED, old, 1_000_000)
        weights.append(control.runs[LOOK].count)
        control.runs[LOOK].add(10_000.0 * 40, 1_000_000, 40)  # it costs a fifth now
        assert control.runs[LOOK].read(1_000_000) / control.runs[LOOK].count <= 18_000
    assert weights == sorted(weights, reverse=True) and weights[0] <= 10 and weights[2] == pytest.approx(5)


def test_a_cost_of_another_machine_and_a_limit_past_the_share_are_not_taken():
    other, same = module(cores=8), module()
    cold = beliefs(module(cores=8))
    used = sow(other, NAMES, LEARNED, 0.0, 1_000_000)
    assert "costs" not in used and beliefs(other)["costs"] == cold["costs"]
    before = same.below.value
    sow(same, NAMES, msgspec.structs.replace(LEARNED, limit=1e6), 0.0, 1_000_000)
    assert same.below.value <= before
    least = module()
    sow(least, NAMES, msgspec.structs.replace(LEARNED, limit=0.01), 0.0, 1_000_000)
    assert least.below.value < before


@pytest.mark.parametrize("means", [
    Means(math.nan, 5), Means(-1.0, 5), Means(math.inf, 5), Means(1e12, 5), Means(1.0, math.inf),
    Means(50_000.0, 5, patiences=(1.0,)), Means(50_000.0, 5, patiences=(math.nan,) * 64)])
def test_nonsense_that_was_stored_is_not_believed(means):
    control = module()
    sow(control, NAMES, Learned(machine_mark(control.set), math.nan, -1.0, math.inf, 1.0, {"lookup": means}), 0.0, 0)
    control.tick({}, 1_100_000)
    assert all(math.isfinite(value) for value in beliefs(control)["costs"]) and math.isfinite(control.below.value)
    assert control.usual_call >= 0 and len(control.firsts[LOOK]) > 1


@pytest.mark.parametrize("costs, expected", [
    ([], None), ([50.0], None), ([50.0, 70.0], 60.0), ([50.0, 70.0, 9_000.0], 70.0), ([0.001, 50.0, 60.0], 50.0)])
def test_one_peer_is_not_believed_and_a_liar_among_three_changes_little(costs, expected):
    lent = [Learned(7, 0.1, 9.0, 2.0, 1.0, {"hold": Means(cost, 5.0)}) for cost in costs]
    found = agreed([*lent, Learned(8, methods={"hold": Means(1.0, 5.0)})], 7)
    assert (found.methods["hold"].cost if found else None) == expected
    assert found is None or (found.limit, found.pace) == (0.0, 0.0)


def test_only_warm_peers_of_the_same_zone_and_machine_are_asked_and_none_twice():
    def peer(name, zone="z", machine=7, **more):
        one = member(name, **more)
        return msgspec.structs.replace(one, zone=zone, digest=msgspec.structs.replace(one.digest, machine=machine))
    seen = view(peer("a"), peer("b"), peer("far", zone="y"), peer("other", machine=8), peer("cold", stage=Stage.COLD),
                peer("lost", belief=Belief.LOST), peer("doubted", belief=Belief.SUSPECT))
    assert [record.name for record in lenders(seen, 7, {})] == ["a", "b"]
    assert [record.name for record in lenders(seen, 7, {"a": LEARNED})] == ["b"]


# Stored state: each damage has its outcome and its line

def kept(folder, written_ms=1_000_000, name="a"):
    held = Folder(str(folder), name)
    size = snapshot.write(held, Snapshot(written_ms, 5, 12, LEARNED))
    held.close()
    return size


def read(folder, now_ms=1_002_000, name="a"):
    held = Folder(str(folder), name)
    try:
        return snapshot.read(held, now_ms)
    finally:
        held.close()


def test_a_snapshot_comes_back_as_it_was(tmp_path):
    assert kept(tmp_path / "s") < 4_000
    found, old, told = read(tmp_path / "s")
    assert found.learned == LEARNED and old == 2.0 and told == "" and found.boot == 5


@pytest.mark.parametrize("now_ms, old, used", [
    (1_000_000, 0.0, True), (1_000_000 - 4_000, 0.0, True), (1_000_000 - 86_400_000, None, False),
    (1_000_000 + 3_600_000, 3_600.0, True), (1_000_000 + 7 * 86_400_000, 604_800.0, False)])
def test_its_age_decides_what_it_is_worth_and_a_clock_set_back_makes_it_worth_nothing(tmp_path, now_ms, old, used):
    kept(tmp_path / "s")
    found, seen, told = read(tmp_path / "s", now_ms)
    assert seen == old and (old is not None) == (told == "")
    assert bool(sow(module(), NAMES, found.learned, seen, 0)) is used


def test_no_damage_is_believed_and_each_is_one_line(tmp_path):
    import os

    size = kept(tmp_path / "s")
    path = next(os.path.join(tmp_path, "s", name) for name in os.listdir(tmp_path / "s") if "snapshot" in name)
    with open(path, "rb") as file:
        good = file.read()
    assert len(good) > size
    chance = random.Random(1)
    for case in range(200):
        bad = bytearray(good)
        if case % 2:
            bad[chance.randrange(len(bad))] ^= 1 << chance.randrange(8)
        else:
            del bad[chance.randrange(len(bad)):]
        with open(path, "wb") as file:
            file.write(bad)
        found, old, told = read(tmp_path / "s")
        assert found is None and old is None and told.count("\n") == 0 and "begins as if nothing" in told
    with open(path, "wb") as file:
        file.write(good)
    assert read(tmp_path / "s")[0] is not None


# Doubt

def test_a_further_try_is_doubted_until_the_window_is_over_unless_its_first_came_here():
    doubt = Doubt(0)
    assert not doubt.may_have_run(LOOK, "x", True, 1)  # idempotent
    assert not doubt.may_have_run(HOLD, "a", False, 1) and not doubt.may_have_run(HOLD, "a", True, 2)
    assert doubt.may_have_run(HOLD, "b", True, 8_000_000) and not doubt.may_have_run(HOLD, "b", True, 8_000_001)
    for number in range(9_000):
        doubt.may_have_run(HOLD, number, False, 3)
    assert len(doubt.met) <= 8_192 and doubt.may_have_run(HOLD, "a", True, 4)  # forgotten: doubted again


# Promised times

@pytest.mark.parametrize("capacity", [0.5, 1.0])
def test_times_to_come_back_are_kept_nine_times_in_ten_whatever_it_gets_done(capacity):
    """Callers come back when told, to an instance that gets `capacity` of what it believes done."""
    calendar, chance, now, waiting, kept_, broken = Calendar(1_000_000), random.Random(3), 0, [], 0, 0
    done = 0.0
    for step in range(3_000):
        now = step * 10_000
        if step % 10 == 0:
            calendar.learn(100.0, now)
        done = min(3.0, done + 100.0 * capacity / 100)
        due = sorted(each for each in waiting if each[0] <= now)
        waiting = [each for each in waiting if each[0] > now]
        for _, caller in due:
            if calendar.came(caller, 0, now):
                if done >= 1.0:
                    done, kept_ = done - 1.0, kept_ + (step > 1_500)
                else:
                    calendar.broke()
                    broken += step > 1_500
        for number in range(chance.randrange(5)):  # twice of what it gets done comes
            caller = step * 10 + number
            if done >= 1.0:
                done -= 1.0
            elif wait := calendar.promise(caller, 0, now, now + 800_000):
                waiting.append((now + wait, caller))
    assert kept_ > 100 and kept_ / (kept_ + broken) > 0.9
    assert len(calendar.slots) < 200 and len(calendar.promises) < 300 and calendar.given >= LEAST


def test_a_promise_is_for_its_caller_its_method_and_its_time_alone():
    calendar = Calendar(1_000_000)
    calendar.learn(1_000.0, 0)
    wait = calendar.promise(1, 0, 0, 900_000)
    assert wait > 0 and not calendar.came(2, 0, wait) and not calendar.came(1, 1, wait)
    assert not calendar.came(1, 0, wait - 20_000) and calendar.came(1, 0, wait + 50_000)
    assert not calendar.came(1, 0, wait + 50_000)  # used up
    wait = calendar.promise(1, 0, 0, 900_000)
    assert not calendar.came(1, 0, wait + 150_000) and calendar.late == 1


def test_a_promised_rpc_goes_before_others_of_its_kind_and_is_not_turned_away_for_pressure():
    control = module(cold=False)
    assert control.calendar is None  # off unless it is configured: traces are as they were
    control = Control(settings_of([LOOK, HOLD], cores=1, calls_out=8.0, promises=True), 1, 0)
    control.calendar.promises[7, 1] = 50_000
    told, other = (Rpc(HOLD, caller, None, 10.0, 2_000_000, 0, False) for caller in (7, 8))
    for rpc in (other, told):
        control.arrived(rpc, 60_000)
    assert told.promised and not other.promised and told.level == 1 and told.tag < other.tag
    assert control.calendar.kept == 1


# The ramp and the stance

def member(name, stage=Stage.SERVING, pressure=0, belief=Belief.ALIVE):
    return Record(name, "z", "127.0.0.1:7000", 5, 77, belief=belief, digest=Digest(1, stage, pressure=pressure))


def view(*records, me=Stage.COLD, fresh=True):
    return View(0, member("me", me), {record.name: record for record in records}, fresh, False)


def test_a_ramp_grows_only_by_what_was_used_and_borne_and_shrinks_where_it_is_not():
    ramp, calls, now = Ramp(0), 0, 0
    for _ in range(50):
        now += 100_000
        assert ramp.learn(calls, 0.0, 10_000, now) == FIRST  # nothing was called: nothing was borne
    shares = []
    for _ in range(30):
        now, calls = now + 100_000, calls + 3
        shares.append(ramp.learn(calls, 0.0, 10_000, now))
    assert shares[-1] == 1.0 and shares == sorted(shares) and ramp.over and shares.index(1.0) <= 6
    ramp, shares = Ramp(0), []
    for step in range(300):
        shares.append(ramp.learn(step, 0.9, 10_000, step * 100_000))
    assert shares[-1] < FIRST and ramp.cuts <= 8  # each pause is twice as long
    assert ramp.learn(400, 0.0, 10_000, 60_000_000) > shares[-1]


def test_shares_are_cut_for_a_fleet_that_is_larger_than_was_configured_and_never_grow_past_it():
    control = module(cold=False)
    pilot, most = Pilot(control, 0, 4, False), control.below.most
    for peers, share in ((0, 1.0), (3, 1.0), (7, 0.5), (1, 1.0)):
        bounds = pilot.bounds(view(*(member(f"p{n}") for n in range(peers)), me=Stage.SERVING), 0, 0.0, 0.0, 1)
        assert bounds.calls == share
        pilot.steer(control, bounds)
        assert control.below.most == pytest.approx(most * share)
    assert pilot.bounds(None, 0, 0.0, 0.0, 2) == Bounds(1.0, False)
    assert pilot.bounds(view(*(member(f"p{n}") for n in range(7)), fresh=False), 0, 0, 0, 3) == Bounds(1.0, False)


@pytest.mark.parametrize("records, expected", [
    ([], Stance(1, 1, 0.0, False)),
    ([member("a"), member("b", pressure=2)], Stance(3, 1, 0.5, False)),
    ([member("a", Stage.COLD), member("b"), member("c", Stage.DRAINING)], Stance(4, 2, 2 / 3, True)),
    ([member(f"p{n}") for n in range(11)], Stance(12, 1, 1.0, False)),
    ([member("a", belief=Belief.LOST), member("b", Stage.STARTING)], Stance(2, 2, 0.0, True))])
def test_a_start_of_many_is_seen_in_the_view(records, expected):
    assert stance(view(*records)) == expected


@pytest.mark.parametrize("what", sorted(BUDGETS))
@pytest.mark.parametrize("count", [12, 300, 1_000])
def test_what_many_ask_at_once_stays_within_the_fleets_budget(what, count):
    at = sorted(Turns(seed).wait(what, count) for seed in range(count))
    # over any tenth of a second not more than twice the budget, beside a few
    for begun in range(0, at[-1], 50_000):
        assert sum(begun <= each < begun + 100_000 for each in at) <= 0.2 * BUDGETS[what] + 12
    assert at[-1] <= count / BUDGETS[what] * 1e6


@pytest.mark.parametrize("expected, most", [(0, None), (200, 60)])
def test_first_exchanges_of_many_that_start_at_once_are_spread(expected, most):
    """150 of 200 restarted in one moment: streams a tenth of a second, over the whole fleet."""
    twin = Twin(200, 1, Terms(expected=expected), known=True)
    names = list(twin.nodes)[:150]
    twin.apply(Fault(0, "kill", names))
    twin.run(0.5)
    twin.apply(Fault(0, "start", names))
    seen = []
    for _ in range(20):
        before = twin.streams
        twin.run(0.1)
        seen.append(twin.streams - before)
    assert max(seen) >= 150 if most is None else max(seen) <= most
    assert twin.until_agreed(15) is not None  # 26 s before news floods were met by full exchanges


# Checkers of a coming back, on histories made by hand

def line(t, who, what, **more):
    return {"t": int(t * 1e6), "who": who, "what": what} | more


def sown(t, used, stored=True):
    return line(t, "m1", "sown", used=used, stored=stored, age=None)


def clock(t, jump):
    return line(t, "rig", "fault", do="clock", names=["m1"], to=[], amount=1, jitter=jump)


def tried(t, ident, further=False, came=False):
    return line(t, "clients", "try", rpc=ident, key="k", to="m1", method="car-hold", further=further, wait=1.0,
                tokened=True, came=came)


def ended(t, ident, word):
    return line(t, "clients", "end", rpc=ident, word=word, advice=0, stay=False)


def came(good, of):
    return [each for n in range(of) for each in (
        tried(n, f"r{n}", came=True), ended(n + 0.1, f"r{n}", "ok" if n < good else "pushed back"))]


KEPT = line(1, "m1", "kept")
LIVES = [line(0, "m1", "began", life=1), tried(1, "a"), line(1.1, "m1", "run", rpc="a", body="k"),
         line(2, "m1", "began", life=2), tried(3, "b", further=True)]


@pytest.mark.parametrize("lines, rule", [
    ([KEPT, line(2, "m1", "state", how=""), sown(3, {"costs": 1.0})], None),
    ([KEPT, line(2, "m1", "state", how="emptied"), sown(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="damaged"), sown(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="emptied"), sown(3, {}, False)], None),
    ([KEPT, line(2, "m1", "state", how="replanned"), sown(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, line(2, "m1", "state", how="replanned"), sown(3, {"usual call": 0.9})], None),
    ([KEPT, clock(2, 3_600.0), line(2, "m1", "state", how=""), sown(3, {"costs": 0.5})], "no stale belief"),
    ([KEPT, clock(2, 3_600.0), line(2, "m1", "state", how=""), sown(3, {"patiences": 0.5})], None),
    ([KEPT, clock(2, -86_400.0), line(2, "m1", "state", how=""), sown(3, {"costs": 1.0})], "no stale belief"),
    ([KEPT, clock(2, -86_400.0), line(2, "m1", "state", how=""), sown(3, {})], None),
    ([KEPT, line(2, "m1", "state", how=""), sown(3, {}, False)], "what was kept is there"),
    ([line(1, "m1", "borrowed", lenders=1, taken=1)], "several are asked"),
    ([line(1, "m1", "borrowed", lenders=2, taken=1)], None),
    ([*LIVES, ended(3.1, "b", "pushed back")], "2 no effect twice"), ([*LIVES, ended(3.1, "b", "aborted")], None),
    (came(40, 44), None), (came(30, 44), "times to come back are kept"), (came(3, 10), None),
    ([line(1, "ledger-z0", "load", held=60, deaths=1, refused=0)], "the ledger survives"),
    ([line(0, "rig", "fault", do="call", names=["ledgers"], to=[], how='{"do": "die", "seconds": 1}'),
      line(1, "ledger-z0", "load", held=60, deaths=1, refused=0)], None)])
def test_a_coming_back_is_judged_from_histories(lines, rule):
    assert {violation.rule for violation in comeback(lines)} == ({rule} if rule else set())


def test_time_to_full_service_is_read_from_a_history():
    rpcs = [line(t / 10, "clients", "rpc", key="k", method="m", end="ok", tries=1, took=0.1, good=not 100 < t < 140,
                 worth=1.0) for t in range(400)]
    lines = sorted([*rpcs, line(10, "rig", "schedule", faults=1), line(40, "clients", "stopped")],
                   key=lambda each: each["t"])
    found = figures(lines, 8.0)
    assert found["full_s"] == 4 and 3.8 <= found["lost_s"] <= 4.0 and found["before"] == 10.0
