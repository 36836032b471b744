"""Tests of membership: records, gossip, suspicion, and simulated fleets under faults."""
import itertools
import os
import subprocess
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollystage.decisions.membership.gossip import UpdateQueue, max_encoded_size
from hollystage.decisions.membership.members import Members
from hollystage.decisions.membership.messages import Ack, Ping, Send, SyncResponse
from hollystage.decisions.membership.parameters import Parameters
from hollystage.decisions.membership.records import Belief, MemberStatus, Record, Stage, Update, merge
from hollystage.standins.fleet.faults import Fault
from hollystage.standins.fleet.fleet_simulation import SECOND, FleetSimulation


def record(name="b", boot=5, birth=1, incarnation=0, belief=Belief.ALIVE, version=0, host=2):
    return Record(name, "z", f"10.0.0.{host}:7000", boot, birth, incarnation, belief, MemberStatus(version))


def make_members(**parameters):
    return Members(record("a", host=1), ["10.0.0.9:7000"], Parameters(**parameters), 1, 0)


RECORDS = st.builds(record, boot=st.integers(1, 3), birth=st.integers(1, 2), incarnation=st.integers(0, 2),
                    belief=st.sampled_from(Belief), version=st.integers(0, 3))


@given(st.lists(RECORDS, min_size=1, max_size=5))
def test_merge_does_not_depend_on_the_order_of_arrival(received):
    results = set()
    for order in itertools.permutations(received):
        result = order[0]
        for new in order[1:] + order:  # each record arrives a second time
            result = merge(result, new)
        results.add((result.precedence, result.status.version))
    assert len(results) == 1


@given(RECORDS, RECORDS)
def test_record_of_an_older_process_never_wins(old, new):
    assert merge(old, new).process == max(old.process, new.process)


@given(RECORDS, st.binary(max_size=64), st.lists(st.integers(0, (1 << 62) - 1), max_size=8))
def test_encoded_record_is_never_larger_than_its_bound(original, extra, generations):
    big = msgspec.structs.replace(original, name="n" * 64, zone="z" * 64, boot=(1 << 62) - 1,
                                  incarnation=(1 << 61) - 1,
                                  status=MemberStatus((1 << 62) - 1, 4, (1 << 32) - 1, tuple(generations), 1 << 39,
                                                      extra))
    assert big.is_valid() and len(msgspec.msgpack.encode(big)) <= big.max_encoded_size()
    assert len(msgspec.msgpack.encode(Update(big, "x" * 64))) <= max_encoded_size(Update(big, "x" * 64))


@pytest.mark.parametrize("change", [
    {"name": "a b"}, {"name": ""}, {"name": "x" * 65}, {"name": "a\nb"}, {"zone": "{}"}, {"address": "localhost:80"},
    {"address": "1.2.3.4"}, {"boot": -1}, {"boot": 1 << 63}, {"belief": 4}, {"incarnation": 1 << 62},
    {"status": MemberStatus(stage=9)}, {"status": MemberStatus(extra=bytes(65))},
    {"status": MemberStatus(generations=(1,) * 9)}])
def test_record_out_of_bounds_is_invalid(change):
    assert record().is_valid() and not msgspec.structs.replace(record(), **change).is_valid()


def test_updates_are_sent_a_bounded_number_of_times_and_fit_the_datagram():
    queue = UpdateQueue(3)
    updates = [Update(record(f"m{n}"), "a") for n in range(50)]
    for update in updates:
        queue.add(update)
    sent = {}
    while True:
        chosen = queue.take(500, 7)
        assert sum(map(max_encoded_size, chosen)) <= 500
        if not chosen:
            break
        for update in chosen:
            sent[update.record.name] = sent.get(update.record.name, 0) + 1
        # the least often sent first
        assert max(sent.values()) - min(sent.get(u.record.name, 0) for u in updates) <= 1
    assert set(sent.values()) == {9} and len(sent) == 50 and len(queue) == 0


def test_accused_member_refutes_with_a_higher_incarnation_in_its_ack():
    members = make_members()
    members.receive(record("b"), Ping(1, "a"), [
        Update(record("a", incarnation=0, belief=Belief.SUSPECT, host=1), "b")], 10)
    sends = [action for action in members.take_actions() if isinstance(action, Send)]
    assert members.me.incarnation == 1 and [s.message for s in sends] == [Ack(1, "a")]
    assert any(update.record == members.me for send in sends for update in send.updates)


def test_updates_about_and_from_an_older_boot_are_ignored_and_answered():
    members = make_members()
    members.receive(record("b", boot=9), Ping(1, "a"), [], 10)
    members.take_actions()
    members.receive(record("c", host=3), Ping(2, "a"), [Update(record("b", boot=8, belief=Belief.LOST), "c")], 20)
    assert members.records["b"].living and members.records["b"].boot == 9
    members.take_actions()
    members.receive(record("b", boot=8), Ping(3, "a"), [Update(record("c", host=3, belief=Belief.LOST), "b")], 30)
    (reply,) = members.take_actions()
    assert reply.updates[0].record.boot == 9 or any(update.record.boot == 9 for update in reply.updates)
    assert members.records["c"].living  # accusations by the older process are ignored too


def test_boot_is_raised_above_a_remembered_one_unless_a_duplicate_answers():
    members = make_members()
    members.receive(record("b"), Ping(1, "a"), [Update(record("a", boot=70, belief=Belief.LOST, host=1), "b")], 10)
    assert members.me.boot == 71 and members.me.incarnation == 0
    other = record("a", boot=90, birth=7, host=8)
    members.receive(record("b"), Ping(2, "a"), [Update(other, "b")], 20)
    assert members.me.boot == 71  # the other process may be alive: it is pinged first
    assert any(isinstance(s, Send) and s.address == other.address for s in members.take_actions())
    members.receive(other, Ack(9, "a"), [], 30)
    assert members.ousted and [e.kind for e in members.take_events()][-1] == "ousted"
    members.tick(5 * SECOND)
    assert not members.take_actions()  # it sends nothing any more
    # without an answer the boot number is raised
    members = make_members()
    members.receive(record("b"), Ping(2, "a"), [Update(other, "b")], 20)
    for now in range(100_000, 3 * SECOND, 50_000):
        members.tick(now)
    assert members.me.boot == 91 and not members.ousted


def test_later_duplicate_keeps_the_name_and_records_an_event():
    members = make_members()
    members.receive(record("a", boot=4, birth=9, host=8), Ping(1, "a"), [], 10)
    assert not members.ousted and [e.kind for e in members.take_events()] == ["twin"]
    assert any(isinstance(s, Send) and s.address == "10.0.0.8:7000" for s in members.take_actions())


def test_view_and_tombstones_are_bounded():
    members = make_members(max_members=20, tombstone_lifetime=SECOND)
    members.handle_sync_response(SyncResponse([], [record(f"m{n}", host=n) for n in range(3, 99)]), 10)
    assert len(members.records) == 20 and members.counts["full"] == 76
    for name in list(members.records):
        gone = msgspec.structs.replace(members.records[name], belief=Belief.LEFT)
        members.receive(record("b"), Ping(1, "a"), [Update(gone, "b")], 20)
    assert len(members.gone) == 20 and not members.living
    for now in range(50_000, 3 * SECOND, 50_000):
        members.tick(now)
    assert len(members.records) == 0 and not members.gone


# Simulated fleets in virtual time

def events_of(fleet, kind, ignored=()):
    return [event for event in fleet.events if event[2] == kind and event[3] not in ignored]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_three_killed_of_twelve_are_detected_and_no_other(seed, loss):
    fleet = FleetSimulation(12, seed)
    assert fleet.run_until_agreed(20) is not None
    names = list(fleet.nodes)
    if loss:
        fleet.apply(Fault(0, "lose", names, amount=loss))
        fleet.run(5)
    fleet.apply(Fault(0, "kill", names[4:7]))
    assert fleet.run_until_agreed(25) is not None
    if not loss:
        assert not fleet.false_accusations


@pytest.mark.parametrize("seed", range(4))
def test_partition_heals(seed):
    fleet = FleetSimulation(12, seed)
    names = list(fleet.nodes)
    assert fleet.run_until_agreed(20) is not None
    fleet.apply(Fault(0, "cut", names[:6], names[6:], both=True))
    fleet.run(16)
    assert all(len(node.members.living) == 5 for node in fleet.nodes.values())
    fleet.apply(Fault(0, "heal", names[:6], names[6:], both=True))
    assert fleet.run_until_agreed(20) is not None


def test_mass_restart_and_start_while_configured_peers_are_down():
    fleet = FleetSimulation(12, 3)
    names = list(fleet.nodes)
    assert fleet.run_until_agreed(20) is not None
    fleet.apply(Fault(0, "kill", names[:9]))
    fleet.run(1)
    fleet.apply(Fault(0, "start", names[:9]))
    assert fleet.run_until_agreed(20) is not None
    fleet.apply(Fault(0, "kill", names))
    fleet.apply(Fault(0, "start", names[3:]))  # the first three are the configured peers
    fleet.run(20)
    assert not any(node.members.living for node in fleet.nodes.values() if node.up)
    assert events_of(fleet, "alone")
    fleet.apply(Fault(0, "start", names[:1]))
    assert fleet.run_until_agreed(30) is not None


def test_suspended_member_suspects_nobody_and_recovers():
    fleet = FleetSimulation(12, 5)
    assert fleet.run_until_agreed(20) is not None
    fleet.apply(Fault(0, "pause", ["m4"], amount=3.0))
    fleet.run(3.0)
    suspended = fleet.nodes["m4"].members
    assert suspended.counts["event_slept"] == 1 and not suspended.view(fleet.clock.now).fresh
    fleet.run(10)
    assert not [e for e in fleet.events if e[1] == "m4" and e[2] in ("suspect", "lost")]
    assert suspended.view(fleet.clock.now).fresh and fleet.views_agree()


def test_history_depends_only_on_the_seed():
    code = ("from hollystage.standins.fleet.fleet_simulation import FleetSimulation\n"
            "from hollystage.standins.fleet.faults import Fault\n"
            "t = FleetSimulation(30, 7)\nt.run(5)\nt.apply(Fault(0, 'kill', ['m3', 'm20']))\n"
            "t.apply(Fault(0, 'lose', list(t.nodes), amount=0.2))\nt.run(10)\nprint(t.trace.hexdigest(), t.messages)")
    outputs = {subprocess.run([sys.executable, "-c", code], env=os.environ | {"PYTHONHASHSEED": seed}, check=True,
                              capture_output=True, text=True).stdout for seed in ("0", "1", "77")}
    assert len(outputs) == 1 and len(outputs.pop()) > 32


def test_message_rate_per_member_does_not_grow_with_the_fleet():
    rates = []
    for count in (10, 100):
        fleet = FleetSimulation(count, 1, converged=True)
        fleet.run(10)
        rates.append((fleet.messages / count / 10, fleet.bytes / count / 10))
    assert rates[0][0] < 5 and abs(rates[1][0] - rates[0][0]) < 0.5 and rates[1][1] < 1.3 * rates[0][1]


def test_leaving_member_is_not_declared_lost():
    fleet = FleetSimulation(8, 2)
    assert fleet.run_until_agreed(20) is not None
    fleet.apply(Fault(0, "term", ["m5"]))
    assert fleet.run_until_agreed(10) is not None
    assert not events_of(fleet, "lost") and len(events_of(fleet, "left")) == 7
    assert all(node.members.records["m5"].status.stage == Stage.LEFT
               for node in fleet.nodes.values() if node.name != "m5")
