"""Who is there: records, suspicion, and the twin's fleets under faults."""
import itertools
import os
import subprocess
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollystage.decisions.membership.members import Members
from hollystage.decisions.membership.news import Gazette, cost
from hollystage.decisions.membership.records import Belief, Digest, News, Record, Stage, merged
from hollystage.decisions.membership.terms import Terms
from hollystage.decisions.membership.words import Ack, Answer, Ping, Send
from hollystage.standins.fleet.faults import Fault
from hollystage.standins.fleet.twin import SECOND, Twin


def record(name="b", boot=5, birth=1, incarnation=0, belief=Belief.ALIVE, version=0, host=2):
    return Record(name, "z", f"10.0.0.{host}:7000", boot, birth, incarnation, belief, Digest(version))


def members(**terms):
    return Members(record("a", host=1), ["10.0.0.9:7000"], Terms(**terms), 1, 0)


RECORDS = st.builds(record, boot=st.integers(1, 3), birth=st.integers(1, 2), incarnation=st.integers(0, 2),
                    belief=st.sampled_from(Belief), version=st.integers(0, 3))


@given(st.lists(RECORDS, min_size=1, max_size=5))
def test_no_order_of_arrival_changes_what_is_believed(heard):
    ends = set()
    for order in itertools.permutations(heard):
        held = order[0]
        for new in order[1:] + order:  # and again
            held = merged(held, new)
        ends.add((held.weight, held.digest.version))
    assert len(ends) == 1


@given(RECORDS, RECORDS)
def test_an_older_process_never_overrules_a_newer(old, new):
    assert merged(old, new).process == max(old.process, new.process)


@given(RECORDS, st.binary(max_size=64), st.lists(st.integers(0, (1 << 62) - 1), max_size=8))
def test_a_record_is_never_larger_than_it_says(made, extra, generations):
    big = msgspec.structs.replace(made, name="n" * 64, zone="z" * 64, boot=(1 << 62) - 1, incarnation=(1 << 61) - 1,
                                  digest=Digest((1 << 62) - 1, 4, (1 << 32) - 1, tuple(generations), 1 << 39, extra))
    assert big.sane() and len(msgspec.msgpack.encode(big)) <= big.size()
    assert len(msgspec.msgpack.encode(News(big, "x" * 64))) <= cost(News(big, "x" * 64))


@pytest.mark.parametrize("change", [
    {"name": "a b"}, {"name": ""}, {"name": "x" * 65}, {"name": "a\nb"}, {"zone": "{}"}, {"address": "localhost:80"},
    {"address": "1.2.3.4"}, {"boot": -1}, {"boot": 1 << 63}, {"belief": 4}, {"incarnation": 1 << 62},
    {"digest": Digest(stage=9)}, {"digest": Digest(extra=bytes(65))}, {"digest": Digest(generations=(1,) * 9)}])
def test_records_out_of_bounds_are_not_sane(change):
    assert record().sane() and not msgspec.structs.replace(record(), **change).sane()


def test_news_is_told_a_bounded_number_of_times_and_fits_the_room():
    gazette = Gazette(3)
    pieces = [News(record(f"m{n}"), "a") for n in range(50)]
    for piece in pieces:
        gazette.add(piece)
    told = {}
    while True:
        chosen = gazette.take(500, 7)
        assert sum(map(cost, chosen)) <= 500
        if not chosen:
            break
        for piece in chosen:
            told[piece.record.name] = told.get(piece.record.name, 0) + 1
        assert max(told.values()) - min(told.get(p.record.name, 0) for p in pieces) <= 1  # the least told first
    assert set(told.values()) == {9} and len(told) == 50 and len(gazette) == 0


def test_a_refutation_outweighs_the_accusation_and_is_told_first_to_the_accuser():
    it = members()
    it.heard(record("b"), Ping(1, "a"), [News(record("a", incarnation=0, belief=Belief.SUSPECT, host=1), "b")], 10)
    sends = [action for action in it.take() if isinstance(action, Send)]
    assert it.me.incarnation == 1 and [s.word for s in sends] == [Ack(1, "a")]
    assert any(piece.record == it.me for send in sends for piece in send.news)


def test_what_was_said_of_an_older_boot_does_nothing_and_its_sender_hears_of_the_newer():
    it = members()
    it.heard(record("b", boot=9), Ping(1, "a"), [], 10)
    it.take()
    it.heard(record("c", host=3), Ping(2, "a"), [News(record("b", boot=8, belief=Belief.LOST), "c")], 20)
    assert it.records["b"].living and it.records["b"].boot == 9
    it.take()
    it.heard(record("b", boot=8), Ping(3, "a"), [News(record("c", host=3, belief=Belief.LOST), "b")], 30)
    (reply,) = it.take()
    assert reply.news[0].record.boot == 9 or any(piece.record.boot == 9 for piece in reply.news)
    assert it.records["c"].living  # nor do its own accusations


def test_a_remembered_boot_is_outlived_and_a_living_namesake_is_told_apart():
    it = members()
    it.heard(record("b"), Ping(1, "a"), [News(record("a", boot=70, belief=Belief.LOST, host=1), "b")], 10)
    assert it.me.boot == 71 and it.me.incarnation == 0
    other = record("a", boot=90, birth=7, host=8)
    it.heard(record("b"), Ping(2, "a"), [News(other, "b")], 20)
    assert it.me.boot == 71  # it may live: it is asked
    assert any(isinstance(s, Send) and s.address == other.address for s in it.take())
    it.heard(other, Ack(9, "a"), [], 30)
    assert it.ousted and [e.what for e in it.happened()][-1] == "ousted"
    it.tick(5 * SECOND)
    assert not it.take()  # it takes no part any more
    # in silence it goes before it
    it = members()
    it.heard(record("b"), Ping(2, "a"), [News(other, "b")], 20)
    for now in range(100_000, 3 * SECOND, 50_000):
        it.tick(now)
    assert it.me.boot == 91 and not it.ousted


def test_the_later_of_two_of_one_name_stays_and_the_operator_hears_of_it():
    it = members()
    it.heard(record("a", boot=4, birth=9, host=8), Ping(1, "a"), [], 10)
    assert not it.ousted and [e.what for e in it.happened()] == ["twin"]
    assert any(isinstance(s, Send) and s.address == "10.0.0.8:7000" for s in it.take())


def test_views_and_tombstones_are_bounded():
    it = members(most=20, tombstone=SECOND)
    it.answered(Answer([], [record(f"m{n}", host=n) for n in range(3, 99)]), 10)
    assert len(it.records) == 20 and it.counts["full"] == 76
    for name in list(it.records):
        gone = msgspec.structs.replace(it.records[name], belief=Belief.LEFT)
        it.heard(record("b"), Ping(1, "a"), [News(gone, "b")], 20)
    assert len(it.gone) == 20 and not it.living
    for now in range(50_000, 3 * SECOND, 50_000):
        it.tick(now)
    assert len(it.records) == 0 and not it.gone


# Fleets in virtual time

def alive(twin, what, but=()):
    return [event for event in twin.events if event[2] == what and event[3] not in but]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_three_of_twelve_killed_are_known_to_all_and_nobody_else_is(seed, loss):
    twin = Twin(12, seed)
    assert twin.until_agreed(20) is not None
    names = list(twin.nodes)
    if loss:
        twin.apply(Fault(0, "lose", names, amount=loss))
        twin.run(5)
    twin.apply(Fault(0, "kill", names[4:7]))
    assert twin.until_agreed(25) is not None
    if not loss:
        assert not twin.wrong


@pytest.mark.parametrize("seed", range(4))
def test_two_halves_find_each_other_again(seed):
    twin = Twin(12, seed)
    names = list(twin.nodes)
    assert twin.until_agreed(20) is not None
    twin.apply(Fault(0, "cut", names[:6], names[6:], both=True))
    twin.run(16)
    assert all(len(node.members.living) == 5 for node in twin.nodes.values())
    twin.apply(Fault(0, "heal", names[:6], names[6:], both=True))
    assert twin.until_agreed(20) is not None


def test_nine_of_twelve_restarted_at_once_and_named_peers_down_at_a_start():
    twin = Twin(12, 3)
    names = list(twin.nodes)
    assert twin.until_agreed(20) is not None
    twin.apply(Fault(0, "kill", names[:9]))
    twin.run(1)
    twin.apply(Fault(0, "start", names[:9]))
    assert twin.until_agreed(20) is not None
    twin.apply(Fault(0, "kill", names))
    twin.apply(Fault(0, "start", names[3:]))  # the named ones are the first three
    twin.run(20)
    assert not any(node.members.living for node in twin.nodes.values() if node.up)
    assert alive(twin, "alone")
    twin.apply(Fault(0, "start", names[:1]))
    assert twin.until_agreed(30) is not None


def test_one_that_slept_accuses_nobody_and_is_back_at_once():
    twin = Twin(12, 5)
    assert twin.until_agreed(20) is not None
    twin.apply(Fault(0, "pause", ["m4"], amount=3.0))
    twin.run(3.0)
    sleeper = twin.nodes["m4"].members
    assert sleeper.counts["event_slept"] == 1 and not sleeper.view(twin.clock.now).fresh
    twin.run(10)
    assert not [e for e in twin.events if e[1] == "m4" and e[2] in ("suspect", "lost")]
    assert sleeper.view(twin.clock.now).fresh and twin.agree()


def test_one_seed_gives_one_history_whatever_the_hash_seed():
    code = ("from hollystage.standins.fleet.twin import Twin\nfrom hollystage.standins.fleet.faults import Fault\n"
            "t = Twin(30, 7)\nt.run(5)\nt.apply(Fault(0, 'kill', ['m3', 'm20']))\n"
            "t.apply(Fault(0, 'lose', list(t.nodes), amount=0.2))\nt.run(10)\nprint(t.trace.hexdigest(), t.messages)")
    seen = {subprocess.run([sys.executable, "-c", code], env=os.environ | {"PYTHONHASHSEED": seed}, check=True,
                           capture_output=True, text=True).stdout for seed in ("0", "1", "77")}
    assert len(seen) == 1 and len(seen.pop()) > 32


def test_messages_a_member_do_not_grow_with_the_fleet():
    rates = []
    for count in (10, 100):
        twin = Twin(count, 1, known=True)
        twin.run(10)
        rates.append((twin.messages / count / 10, twin.bytes / count / 10))
    assert rates[0][0] < 5 and abs(rates[1][0] - rates[0][0]) < 0.5 and rates[1][1] < 1.3 * rates[0][1]


def test_a_member_that_leaves_is_no_loss_and_says_so():
    twin = Twin(8, 2)
    assert twin.until_agreed(20) is not None
    twin.apply(Fault(0, "term", ["m5"]))
    assert twin.until_agreed(10) is not None and not alive(twin, "lost") and len(alive(twin, "left")) == 7
    assert all(node.members.records["m5"].digest.stage == Stage.LEFT
               for node in twin.nodes.values() if node.name != "m5")
