"""The talk between instances on real sockets: what is believed of bytes, agents on loopback, and that it is off."""
import json
import os
import random
import socket
import stat
import subprocess
import sys
import time

import msgspec
import pytest
import structlog
from helpers import SETTINGS, Answering, Interpreter, reply, until
from typer.testing import CliRunner

from hollystage.cli import app
from hollystage.decisions.budgets import words as budgets
from hollystage.decisions.leases import words as leases
from hollystage.decisions.membership.doors import Doors, Verdict
from hollystage.decisions.membership.records import Digest, News, Record, Stage
from hollystage.decisions.membership.terms import Terms
from hollystage.decisions.membership.words import Ack, Answer, Ask, Nack, Opening, Ping, Rest
from hollystage.fleet.agent import Agent
from hollystage.fleet.codec import DATAGRAM, Challenge, Codec, Envelope, Refused
from hollystage.fleet.links import Frames
from hollystage.service.config import check_files, load
from hollystage.service.counters import Counters
from hollystage.service.driver import Driver, clock
from hollystage.service.peers import Peers
from hollystage.settings import Faulty, translate
from hollystage.standins.server import free_address
from hollystage.store import boots
from hollystage.store.folder import Folder, Unusable

KEY = bytes(range(32))
QUICK = Terms(period=100_000, timeout=40_000, ask_lost=300_000, again=100_000)
LOG = structlog.get_logger()


def record(name="b", **changes):
    return msgspec.structs.replace(Record(name, "z", "127.0.0.1:7000", 5, 77), **changes)


def free(host):
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


def agent(name, address, named, boot=None):
    kept = []
    made = Agent(name, "z", address, address, named, KEY, "test", QUICK, 1, boot or clock() // 1000,
                 lambda: Digest(stage=Stage.SERVING), kept.append, clock, Counters(), LOG)
    made.kept = kept
    return made


def start(*agents):
    import threading
    for one in agents:
        for task in (one.talk_forever, one.listen_forever, one.meet_forever):
            threading.Thread(target=task, daemon=True).start()
    return agents


def knows(one, *others):
    return sorted(record.name for record in one.view.living()) == sorted([one.view.me.name, *others])


@pytest.fixture
def three():
    addresses = [free(f"127.0.7.{n}") for n in (1, 2, 3)]
    agents = start(*(agent(f"a{n}", address, addresses[:1]) for n, address in enumerate(addresses)))
    until(lambda: all(len(one.view.living()) == 3 for one in agents))
    yield agents
    for one in agents:
        one.stop()


# Bytes

WHO = leases.Who("b", 7)
WORDS = [leases.Prepare(1, WHO, 2, "x", 3), leases.Propose(1, WHO, 2, "x"), leases.Release(1, WHO, "x"),
         leases.Reply(1, True, 5, WHO, 9, "x"), leases.Reply(1, False, 5),
         budgets.Claim(1, 2, [budgets.Row("calls", 5, 4, 1, 3, 6, 1.5)]),
         budgets.Parts(1, 2, [budgets.Piece("calls", 4)]), budgets.Elsewhere(1, "b"), budgets.Borrow(1, "calls", 2),
         budgets.Loan(1, "calls", 2, 500), Ping(1, "b"), Ack(2, "b"), Ask(3, "b", "127.0.0.1:1"), Nack(4),
         Challenge(5), Opening([1] * 64),
         Answer([1], [record("c")]), Rest([record("c")])]


@pytest.mark.parametrize("word", WORDS)
def test_what_is_packed_comes_out_and_no_byte_may_change(word):
    codec = Codec(KEY, "test")
    data = codec.pack(Envelope(1, 2, 3, record(), word, [News(record("c"), "d")]))
    assert codec.unpack(data) == Envelope(1, 2, 3, record(), word, [News(record("c"), "d")])
    for at in range(len(data)):
        assert isinstance(codec.unpack(data[:at] + bytes([data[at] ^ 1]) + data[at + 1:]), Refused)
        assert isinstance(codec.unpack(data[:at]), Refused)


def test_strangers_are_told_apart():
    data = Codec(KEY, "test").pack(Envelope(1, 2, 3, record(), Ping(1)))
    assert Codec(KEY[::-1], "test").unpack(data) is Refused.FORGED
    assert Codec(KEY, "other").unpack(data) is Refused.CLUSTER
    assert Codec(KEY, "test").unpack(b"hy\x02" + data[3:]) is Refused.VERSION
    assert Codec(KEY, "test").unpack(b"GET / HTTP/1.1") is Refused.FOREIGN
    assert Codec(KEY, "test").unpack(data + bytes(DATAGRAM)) is Refused.OVERSIZED
    insane = Codec(KEY, "test").pack(Envelope(1, 2, 3, record(name="a b"), Ping(1)))
    assert Codec(KEY, "test").unpack(insane) is Refused.GARBAGE


def test_what_is_out_of_bounds_is_garbage():
    codec = Codec(KEY, "test")
    for word in (leases.Prepare(-1, WHO, 2), budgets.Claim(1, 2, [budgets.Row("calls", -5, 4, 1, 3, 6, 1.5)]),
                 budgets.Loan(1, "calls", 2, -1)):
        assert codec.unpack(codec.pack(Envelope(1, 2, 3, record(), word))) is Refused.GARBAGE


def test_words_of_budgets_do_nothing_where_nobody_divides(three):
    one, other = three[:2]
    with one.lock:
        one._post([(other.view.me.address, budgets.Elsewhere(1, "x"))])
        ready = one._ready(clock())
    one._send(ready)
    until(lambda: other.counters.read().get("fleet.refused.misplaced", 0) > 0)
    assert len(other.view.living()) == 3


def test_the_largest_datagram_fits(three):
    codec, longest = Codec(KEY, "c" * 64), "x" * 64
    big = record(longest, zone=longest, address="255.255.255.255:65535", boot=1 << 61, birth=1 << 61,
                 digest=Digest(1 << 61, 4, 1 << 31, (1 << 61,) * 8, 1 << 39, bytes(64)))
    members = three[0].members
    members.me, news = big, [News(msgspec.structs.replace(big, name=f"{n:064}"), longest) for n in range(9)]
    for piece in news:
        members.news.add(piece)
    members._send("127.0.0.1:1", Ask(1 << 61, longest, "255.255.255.255:65535"), news[0].record)
    sent = members.out.pop()
    assert len(sent.news) >= 1
    data = codec.pack(Envelope(1 << 61, 1 << 61, 1 << 61, big, sent.word, sent.news))
    assert len(data) <= DATAGRAM and codec.unpack(data).me == big


def test_doors_let_in_what_is_of_this_moment_once():
    doors = Doors(10)
    assert doors.admit(1, 1, 10) is Verdict.GOOD and doors.admit(1, 1, 10) is Verdict.REPLAYED
    assert doors.admit(2, 1, 10) is Verdict.GOOD and doors.admit(1, 2, 9) is Verdict.UNBOUND
    assert doors.admit(1, 3, 0) is Verdict.UNBOUND
    doors.turn(11)
    assert doors.admit(1, 1, 10) is Verdict.REPLAYED and doors.admit(1, 5, 11) is Verdict.GOOD
    doors.turn(12)
    assert doors.admit(1, 6, 10) is Verdict.UNBOUND
    for birth in range(doors.most + 50):
        doors.admit(birth, 1, 12)
        doors.learn(f"10.0.0.1:{birth}", 5)
    assert len(doors.windows) <= doors.most and len(doors.theirs) <= doors.most


# Agents

def test_three_know_each_other_and_what_each_says(three):
    assert all(record.digest.stage == Stage.SERVING for one in three for record in one.view.living())
    three[2].leave()
    three[2].stop()
    until(lambda: knows(three[0], "a1") and knows(three[1], "a0"))
    assert three[0].view.others["a2"].digest.stage == Stage.LEFT


def test_one_that_dies_is_lost_and_one_that_comes_again_has_a_greater_boot(three):
    dead = three[1]
    dead.stop()
    until(lambda: knows(three[0], "a2") and knows(three[2], "a0"), 20)
    again = agent("a1", dead.bind, [three[2].bind], boot=17)  # its clock is far behind
    start(again)
    until(lambda: knows(three[0], "a1", "a2") and knows(again, "a0", "a2"), 20)
    assert again.view.me.boot > dead.view.me.boot and again.kept[-1] == again.view.me.boot
    until(lambda: three[0].view.others["a1"].process == again.view.me.process)
    again.stop()


def test_two_processes_of_one_name_are_told_apart(three):
    other = agent("a1", free("127.0.7.9"), [three[0].bind], boot=clock() // 1000 + 60_000)
    start(other)
    until(lambda: three[1].view.ousted, 20)
    until(lambda: three[0].view.others["a1"].process == other.view.me.process)
    assert not other.view.ousted
    other.stop()


def test_mutated_foreign_replayed_and_oversized_datagrams_do_nothing(three):
    target, codec, chance = three[0], Codec(KEY, "test"), random.Random(1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    captured = []
    real = three[1].links.send
    three[1].links.send = lambda address, data: (captured.append(data) if address == target.bind else None) or real(
        address, data)
    until(lambda: len(captured) > 5)
    # what an old process might still send, keyed: it names no door of this one
    lies = [codec.pack(Envelope(5, to, count, record("a2", boot=1 << 60, birth=9), Ping(1), [
        News(record("ghost"), "a1"), News(record("a1", boot=1 << 59), "a2")]))
        for count, to in enumerate((0, 1, 1 << 60, -1))]
    before = target.view.others.keys(), target.view.others["a1"].boot, target.view.others["a2"].boot
    sent = 0
    for _ in range(4000):
        good = chance.choice(captured)
        at, lie = chance.randrange(len(good)), chance.choice(lies)
        for data in (good, good[:at] + bytes([good[at] ^ 1 << chance.randrange(8)]) + good[at + 1:], good[:at], lie,
                     good + bytes(1200), chance.randbytes(at)):
            sock.sendto(data, target.links.bind)
            sent += 1
        if sent % 600 == 0:
            time.sleep(0.01)
    sock.close()
    until(lambda: target.counters.read().get("fleet.refused.replayed", 0) > 100)
    assert (target.view.others.keys(), target.view.others["a1"].boot, target.view.others["a2"].boot) == before
    assert "ghost" not in target.view.others and knows(target, "a1", "a2")
    counts = target.counters.read()
    assert all(counts.get(f"fleet.refused.{why}", 0) for why in ("forged", "replayed", "unbound", "oversized"))
    assert not any(name.startswith("instance.faults") for name in counts)


def test_strangers_on_the_stream_are_cut_off_and_bounded(three):
    target = three[0]
    before = target.view.others.keys()
    slow = [socket.create_connection(target.links.bind) for _ in range(8)]  # and say nothing
    until(lambda: target.counters.read().get("fleet.streams_refused", 0) >= 4)
    for sock in slow:
        sock.close()
    until(lambda: target.streams._value == 4)
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\5hello", b"\0\0\0\0"):
        with socket.create_connection(target.links.bind) as sock:
            sock.settimeout(5)
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                assert sock.recv(100) == b""
            except OSError as bad:
                assert not isinstance(bad, TimeoutError)  # cut off at any moment is well; waiting is not
    forged = Codec(KEY, "test").pack(Envelope(1, 0, 1, record("x"), Rest([record("ghost")])))
    with socket.create_connection(target.links.bind) as sock:
        stream = Frames(sock, time.monotonic() + 5)
        stream.send(forged)
        door = Codec(KEY, "test").unpack(stream.read(9999)).door
        stream.send(Codec(KEY, "test").pack(Envelope(1, door, 2, record("x"), Rest([record("ghost")]))))
        assert sock.recv(100) == b""  # a Rest nobody asked for
    assert target.view.others.keys() == before


def test_an_address_in_use_is_told_once_and_taken_when_it_is_free():
    address = free("127.0.7.5")
    host, _, port = address.partition(":")
    holder = socket.create_server((host, int(port)))
    one = agent("a", address, [])
    start(one)
    until(lambda: one.counters.read().get("fleet.not_bound", 0) >= 1)
    holder.close()
    assert one.opened.wait(5)
    one.stop()


# The instance

PLAN = """fleet(bind = "{bind}", peers = ["{peer}"], zone = "east", key = "{key}", period = 100ms)
state("{state}")
"""


@pytest.fixture
def plan(tmp_path):
    key = tmp_path / "key"
    key.write_bytes(KEY)
    key.chmod(0o600)
    path = tmp_path / "plan.star"
    path.write_text(PLAN.format(bind=free("127.0.7.6"), peer=free("127.0.7.7"), key=key, state=tmp_path / "state"))
    return path


def text(address):
    return f"{address[0]}:{address[1]}"


def given(**changes):
    return {"name": "n3", "listen": text(free_address()), "vm": "127.0.0.1:1", "control": "127.0.0.1:1",
            "ledger": "127.0.0.1:1", "settings": SETTINGS, "stop_ms": 1500} | changes


LOADED = """
import sys, threading
from hollystage.service.config import load
from hollystage.service.instance import Instance
from hollystage.service.log import setup
instance = Instance(load(*sys.argv[1:]), setup("a", None))
instance.start()
print(*[m for m in sorted(sys.modules) if m.startswith(('hollystage.fleet', 'hollystage.store', 'hollystage.standins',
      'hollystage.decisions.membership', 'hollystage.decisions.leases', 'hollystage.decisions.budgets',
      'hollystage.service.peers', 'hollystage.service.allotment'))], threading.active_count())
import os; sys.stdout.flush(); os._exit(0)
"""


def test_without_the_plan_nothing_of_it_is_loaded_and_no_thread_runs(tmp_path, plan):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(given()))
    run = [sys.executable, "-c", LOADED, str(path)]
    off = subprocess.run(run, capture_output=True, text=True, check=True).stdout.split()
    on = subprocess.run([*run, str(plan)], capture_output=True, text=True, check=True).stdout.split()
    assert len(off) == 1 and len(on) > 5 and int(on[-1]) == int(off[-1]) + 4


def test_an_instance_shows_its_members_to_who_has_the_key(tmp_path, plan):
    path = tmp_path / "config.json"
    interpreter, control = Interpreter(), Answering(reply(204))
    path.write_text(json.dumps(given(vm=text(interpreter.address), control=text(control.address))))
    command = [sys.executable, "-m", "hollystage", "serve", "--config", str(path), "--plan", str(plan)]
    started = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        bind = plan.read_text().split('"')[1]
        key, other = tmp_path / "key", tmp_path / "other"
        other.write_bytes(KEY[::-1])
        other.chmod(0o600)
        ask = CliRunner().invoke
        found = until(lambda: (r := ask(app, ["fleet", "members", bind, "--key", str(key), "--json"])).exit_code == 0
                      and json.loads(r.stdout)["members"][0]["stage"] == "serving" and r, 15)
        (row,) = json.loads(found.stdout)["members"]
        assert (row["name"], row["zone"], row["belief"]) == ("n3", "east", "alive") and row["boot"] > 1 << 40
        table = ask(app, ["fleet", "members", bind, "--key", str(key)])
        assert table.exit_code == 0 and "n3 *" in table.stdout
        for arguments, code in (([bind, "--key", str(other)], 1), ([bind, "--key", str(key), "--cluster", "x"], 1),
                                (["127.0.7.8:9", "--key", str(key)], 1), ([bind, "--key", str(path)], 2)):
            assert ask(app, ["fleet", "members", *arguments]).exit_code == code
    finally:
        started.terminate()
        log = started.communicate(timeout=10)[1]
        interpreter.close()
        control.close()
    assert started.returncode == 0 and "peer alone" in log and "Traceback" not in log


def test_faults_of_the_plan_are_one_line_and_serving_goes_on(tmp_path, plan, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(given()))
    key = tmp_path / "key"
    key.chmod(0o644)
    config = load(str(path), str(plan))
    with pytest.raises(Faulty, match="fleet.key: .* can be read by others"):
        check_files(config)

    class Said:
        lines = []

        def error(self, event, **more):
            self.lines.append((event, more["why"]))
        warning = info = error

    held = Folder(str(tmp_path / "state"), "other")
    driver = Driver(translate(config.settings), 1, Counters())
    peers = Peers(config, driver, None, Counters(), Said())
    assert peers.agent is None and peers.folder is None and peers.tasks() == []
    assert [line[0] for line in Said.lines] == ["serving goes on without stored state",
                                                "serving goes on without peers"]
    assert "is held by other, process" in Said.lines[0][1] and "set its mode to 600" in Said.lines[1][1]
    held.close()


# What is stored

class Lines:
    def __init__(self):
        self.lines = []

    def warning(self, event, why):
        self.lines.append(why)


def test_boots_never_fall_whatever_the_clock_says(tmp_path):
    log = Lines()
    folder = Folder(str(tmp_path / "s"), "a")
    boots_seen = [boots.next_boot(folder, clock_ms, log) for clock_ms in (1000, 900, 0, 5000, 5000, -7)]
    assert boots_seen == [1000, 1001, 1002, 5000, 5001, 5002] and not log.lines
    assert boots.next_boot(None, 33, log) == 33
    with pytest.raises(Unusable, match=r"is held by a, process \d+"):
        Folder(str(tmp_path / "s"), "a")
    folder.close()


@pytest.mark.parametrize("change, why", [
    (lambda d: b"", "is empty"), (lambda d: d[:-1], "cut short or spoilt"),
    (lambda d: d + b"1", "cut short or spoilt"), (lambda d: b"x" + d, "is no state"),
    (lambda d: d.replace(b"boot 1", b"boot 2"), "of form 2, this version reads up"),
    (lambda d: d.replace(b" a ", b" b "), "spoilt"), (lambda d: bytes(9), "is no state")])
def test_a_stored_boot_that_cannot_be_believed_is_told_and_replaced(tmp_path, change, why):
    log, path = Lines(), tmp_path / "s" / "boot"
    folder = Folder(str(tmp_path / "s"), "a")
    boots.next_boot(folder, 5000, log)
    path.write_bytes(change(path.read_bytes()))
    assert boots.next_boot(folder, 70, log) == 70 and why in log.lines[0]
    assert boots.next_boot(folder, 0, log) == 71
    folder.close()


def test_state_of_another_instance_is_not_believed(tmp_path):
    folder, log = Folder(str(tmp_path / "s"), "b"), Lines()
    boots.next_boot(folder, 9000, log)
    folder.close()
    folder = Folder(str(tmp_path / "s"), "a")
    assert boots.next_boot(folder, 5, log) == 5 and "is that of b" in log.lines[0]
    folder.close()


def test_a_disk_that_fails_costs_a_line(tmp_path, monkeypatch):
    folder, log = Folder(str(tmp_path / "s"), "a"), Lines()
    boots.next_boot(folder, 40, log)
    for call, number in (("write", 28), ("fsync", 5), ("open", 30), ("rename", 28)):
        with monkeypatch.context() as patch:
            def fails(*_, number=number):
                raise OSError(number, os.strerror(number))
            patch.setattr(os, call, fails)
            assert boots.next_boot(folder, 0, log) == 41  # the old file is as it was
        assert "cannot be written" in log.lines.pop()
    assert boots.next_boot(folder, 0, log) == 41
    assert stat.S_IMODE(os.stat(tmp_path / "s").st_mode) == 0o700
    folder.close()
    with pytest.raises(Unusable, match="cannot be used"):
        Folder("/proc/nothing/here", "a")


