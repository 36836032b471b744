"""Fleet communication on real sockets: encoding, authentication, agents on loopback, an instance and its store."""
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
from helpers import SETTINGS, Interpreter, ScriptedHttpServer, reply, wait_until
from typer.testing import CliRunner

from hollystage.cli import app
from hollystage.decisions.budgets import messages as budgets
from hollystage.decisions.leases import messages as leases
from hollystage.decisions.membership.messages import Ack, Nack, Ping, PingRequest, SyncPush, SyncRequest, SyncResponse
from hollystage.decisions.membership.parameters import Parameters
from hollystage.decisions.membership.records import MemberStatus, Record, Stage, Update
from hollystage.decisions.membership.replay import ReplayGuard, Verdict
from hollystage.fleet.agent import Agent
from hollystage.fleet.codec import MAX_DATAGRAM_BYTES, Challenge, Codec, DecodeFailure, Envelope
from hollystage.fleet.sockets import FramedStream
from hollystage.service.config import check_files, load
from hollystage.service.counters import Counters
from hollystage.service.driver import Driver, clock
from hollystage.service.peers import Peers
from hollystage.settings import ConfigError, translate
from hollystage.standins.server import free_address
from hollystage.store import boots
from hollystage.store.folder import StateError, StateFolder

KEY = bytes(range(32))
FAST = Parameters(probe_period=100_000, ack_timeout=40_000, lost_probe_period=300_000, min_sync_interval=100_000)
LOG = structlog.get_logger()


def record(name="b", **changes):
    return msgspec.structs.replace(Record(name, "z", "127.0.0.1:7000", 5, 77), **changes)


def unused_address(host):
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


def make_agent(name, address, configured_peers, boot=None):
    saved_boots = []
    agent = Agent(name, "z", address, address, configured_peers, KEY, "test", FAST, 1, boot or clock() // 1000,
                  lambda: MemberStatus(stage=Stage.SERVING), saved_boots.append, clock, Counters(), LOG)
    agent.saved_boots = saved_boots
    return agent


def start(*agents):
    import threading
    for agent in agents:
        for task in (agent.run_datagrams, agent.accept_streams, agent.run_syncs):
            threading.Thread(target=task, daemon=True).start()
    return agents


def sees(agent, *others):
    """Whether the agent's view of living members is exactly itself and the others."""
    return sorted(record.name for record in agent.view.living()) == sorted([agent.view.me.name, *others])


@pytest.fixture
def agents():
    addresses = [unused_address(f"127.0.7.{n}") for n in (1, 2, 3)]
    agents = start(*(make_agent(f"a{n}", address, addresses[:1]) for n, address in enumerate(addresses)))
    wait_until(lambda: all(len(agent.view.living()) == 3 for agent in agents))
    yield agents
    for agent in agents:
        agent.stop()


# Encoding

PROCESS = leases.ProcessId("b", 7)
MESSAGES = [
    leases.Prepare(1, PROCESS, 2, "x", 3), leases.Propose(1, PROCESS, 2, "x"), leases.Release(1, PROCESS, "x"),
    leases.Reply(1, True, 5, PROCESS, 9, "x"), leases.Reply(1, False, 5),
    budgets.Claim(1, 2, [budgets.ClaimRow("calls", 5, 4, 1, 3, 6, 1.5)]),
    budgets.Grants(1, 2, [budgets.Grant("calls", 4)]), budgets.Redirect(1, "b"), budgets.BorrowRequest(1, "calls", 2),
    budgets.Loan(1, "calls", 2, 500), Ping(1, "b"), Ack(2, "b"), PingRequest(3, "b", "127.0.0.1:1"), Nack(4),
    Challenge(5), SyncRequest([1] * 64), SyncResponse([1], [record("c")]), SyncPush([record("c")])]


@pytest.mark.parametrize("message", MESSAGES)
def test_round_trip_and_rejection_of_altered_or_truncated_data(message):
    codec = Codec(KEY, "test")
    data = codec.pack(Envelope(1, 2, 3, record(), message, [Update(record("c"), "d")]))
    assert codec.unpack(data) == Envelope(1, 2, 3, record(), message, [Update(record("c"), "d")])
    for at in range(len(data)):
        assert isinstance(codec.unpack(data[:at] + bytes([data[at] ^ 1]) + data[at + 1:]), DecodeFailure)
        assert isinstance(codec.unpack(data[:at]), DecodeFailure)


def test_foreign_data_is_rejected_with_its_reason():
    data = Codec(KEY, "test").pack(Envelope(1, 2, 3, record(), Ping(1)))
    assert Codec(KEY[::-1], "test").unpack(data) is DecodeFailure.FORGED
    assert Codec(KEY, "other").unpack(data) is DecodeFailure.CLUSTER
    assert Codec(KEY, "test").unpack(b"hy\x02" + data[3:]) is DecodeFailure.VERSION
    assert Codec(KEY, "test").unpack(b"GET / HTTP/1.1") is DecodeFailure.FOREIGN
    assert Codec(KEY, "test").unpack(data + bytes(MAX_DATAGRAM_BYTES)) is DecodeFailure.OVERSIZED
    invalid_name = Codec(KEY, "test").pack(Envelope(1, 2, 3, record(name="a b"), Ping(1)))
    assert Codec(KEY, "test").unpack(invalid_name) is DecodeFailure.GARBAGE


def test_fields_out_of_bounds_are_rejected():
    codec = Codec(KEY, "test")
    for message in (leases.Prepare(-1, PROCESS, 2),
                    budgets.Claim(1, 2, [budgets.ClaimRow("calls", -5, 4, 1, 3, 6, 1.5)]),
                    budgets.Loan(1, "calls", 2, -1)):
        assert codec.unpack(codec.pack(Envelope(1, 2, 3, record(), message))) is DecodeFailure.GARBAGE


def test_budget_messages_are_ignored_without_a_message_handler(agents):
    sender, receiver = agents[:2]
    with sender.lock:
        sender._enqueue_all([(receiver.view.me.address, budgets.Redirect(1, "x"))])
        outgoing = sender._take_outgoing(clock())
    sender._send(outgoing)
    wait_until(lambda: receiver.counters.read().get("fleet.refused.misplaced", 0) > 0)
    assert len(receiver.view.living()) == 3


def test_largest_datagram_fits_the_size_limit(agents):
    codec, longest = Codec(KEY, "c" * 64), "x" * 64
    largest = record(longest, zone=longest, address="255.255.255.255:65535", boot=1 << 61, birth=1 << 61,
                     status=MemberStatus(1 << 61, 4, 1 << 31, (1 << 61,) * 8, 1 << 39, bytes(64)))
    members = agents[0].members
    members.me, updates = largest, [
        Update(msgspec.structs.replace(largest, name=f"{n:064}"), longest) for n in range(9)]
    for update in updates:
        members.updates.add(update)
    members._send("127.0.0.1:1", PingRequest(1 << 61, longest, "255.255.255.255:65535"), updates[0].record)
    sent = members.actions.pop()
    assert len(sent.updates) >= 1
    data = codec.pack(Envelope(1 << 61, 1 << 61, 1 << 61, largest, sent.message, sent.updates))
    assert len(data) <= MAX_DATAGRAM_BYTES and codec.unpack(data).sender == largest


def test_replay_guard_accepts_each_envelope_of_a_current_session_once():
    guard = ReplayGuard(10)
    assert guard.admit(1, 1, 10) is Verdict.GOOD and guard.admit(1, 1, 10) is Verdict.REPLAYED
    assert guard.admit(2, 1, 10) is Verdict.GOOD and guard.admit(1, 2, 9) is Verdict.UNBOUND
    assert guard.admit(1, 3, 0) is Verdict.UNBOUND
    guard.rotate_session(11)
    assert guard.admit(1, 1, 10) is Verdict.REPLAYED and guard.admit(1, 5, 11) is Verdict.GOOD
    guard.rotate_session(12)
    assert guard.admit(1, 6, 10) is Verdict.UNBOUND
    for birth in range(guard.max_entries + 50):
        guard.admit(birth, 1, 12)
        guard.learn_session(f"10.0.0.1:{birth}", 5)
    assert len(guard.windows) <= guard.max_entries and len(guard.peer_sessions) <= guard.max_entries


# Agents

def test_three_agents_see_each_other_and_each_status(agents):
    assert all(record.status.stage == Stage.SERVING for agent in agents for record in agent.view.living())
    agents[2].leave()
    agents[2].stop()
    wait_until(lambda: sees(agents[0], "a1") and sees(agents[1], "a0"))
    assert agents[0].view.others["a2"].status.stage == Stage.LEFT


def test_stopped_agent_is_lost_and_its_successor_gets_a_greater_boot_number(agents):
    dead = agents[1]
    dead.stop()
    wait_until(lambda: sees(agents[0], "a2") and sees(agents[2], "a0"), 20)
    successor = make_agent("a1", dead.bind, [agents[2].bind], boot=17)  # a number from a clock that is far behind
    start(successor)
    wait_until(lambda: sees(agents[0], "a1", "a2") and sees(successor, "a0", "a2"), 20)
    assert successor.view.me.boot > dead.view.me.boot and successor.saved_boots[-1] == successor.view.me.boot
    wait_until(lambda: agents[0].view.others["a1"].process == successor.view.me.process)
    successor.stop()


def test_of_two_processes_with_one_name_the_earlier_is_ousted(agents):
    other = make_agent("a1", unused_address("127.0.7.9"), [agents[0].bind], boot=clock() // 1000 + 60_000)
    start(other)
    wait_until(lambda: agents[1].view.ousted, 20)
    wait_until(lambda: agents[0].view.others["a1"].process == other.view.me.process)
    assert not other.view.ousted
    other.stop()


def test_altered_foreign_replayed_and_oversized_datagrams_have_no_effect(agents):
    target, codec, rng = agents[0], Codec(KEY, "test"), random.Random(1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    captured = []
    send = agents[1].sockets.send

    def capture(address, data):
        if address == target.bind:
            captured.append(data)
        return send(address, data)

    agents[1].sockets.send = capture
    wait_until(lambda: len(captured) > 5)
    # authentic datagrams that a process may have sent earlier: they name no current session of the target
    outdated = [codec.pack(Envelope(5, session, counter, record("a2", boot=1 << 60, birth=9), Ping(1), [
        Update(record("ghost"), "a1"), Update(record("a1", boot=1 << 59), "a2")]))
        for counter, session in enumerate((0, 1, 1 << 60, -1))]
    before = target.view.others.keys(), target.view.others["a1"].boot, target.view.others["a2"].boot
    sent = 0
    for _ in range(4000):
        valid = rng.choice(captured)
        at, old = rng.randrange(len(valid)), rng.choice(outdated)
        for data in (valid, valid[:at] + bytes([valid[at] ^ 1 << rng.randrange(8)]) + valid[at + 1:], valid[:at], old,
                     valid + bytes(1200), rng.randbytes(at)):
            sock.sendto(data, target.sockets.bind)
            sent += 1
        if sent % 600 == 0:
            time.sleep(0.01)
    sock.close()
    wait_until(lambda: target.counters.read().get("fleet.refused.replayed", 0) > 100)
    assert (target.view.others.keys(), target.view.others["a1"].boot, target.view.others["a2"].boot) == before
    assert "ghost" not in target.view.others and sees(target, "a1", "a2")
    counts = target.counters.read()
    assert all(counts.get(f"fleet.refused.{reason}", 0) for reason in ("forged", "replayed", "unbound", "oversized"))
    assert not any(name.startswith("instance.faults") for name in counts)


def test_streams_without_the_key_are_closed_and_limited_in_number(agents):
    target = agents[0]
    before = target.view.others.keys()
    silent = [socket.create_connection(target.sockets.bind) for _ in range(8)]
    wait_until(lambda: target.counters.read().get("fleet.streams_refused", 0) >= 4)
    for sock in silent:
        sock.close()
    wait_until(lambda: target.stream_slots._value == 4)
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\5hello", b"\0\0\0\0"):
        with socket.create_connection(target.sockets.bind) as sock:
            sock.settimeout(5)
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                assert sock.recv(100) == b""
            except OSError as error:
                assert not isinstance(error, TimeoutError)  # the stream may be closed at any point, but not left open
    unexpected = Codec(KEY, "test").pack(Envelope(1, 0, 1, record("x"), SyncPush([record("ghost")])))
    with socket.create_connection(target.sockets.bind) as sock:
        stream = FramedStream(sock, time.monotonic() + 5)
        stream.send(unexpected)
        session = Codec(KEY, "test").unpack(stream.read(9999)).session
        stream.send(Codec(KEY, "test").pack(Envelope(1, session, 2, record("x"), SyncPush([record("ghost")]))))
        assert sock.recv(100) == b""  # a SyncPush without a request before it
    assert target.view.others.keys() == before


def test_address_in_use_is_retried_until_it_can_be_bound():
    address = unused_address("127.0.7.5")
    host, _, port = address.partition(":")
    other = socket.create_server((host, int(port)))
    agent = make_agent("a", address, [])
    start(agent)
    wait_until(lambda: agent.counters.read().get("fleet.not_bound", 0) >= 1)
    other.close()
    assert agent.sockets_open.wait(5)
    agent.stop()


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
    path.write_text(PLAN.format(bind=unused_address("127.0.7.6"), peer=unused_address("127.0.7.7"), key=key,
                                state=tmp_path / "state"))
    return path


def address_text(address):
    return f"{address[0]}:{address[1]}"


def config_fields(**changes):
    return {"name": "n3", "listen": address_text(free_address()), "vm": "127.0.0.1:1", "control": "127.0.0.1:1",
            "ledger": "127.0.0.1:1", "settings": SETTINGS, "stop_ms": 1500} | changes


LIST_MODULES = """
import sys, threading
from hollystage.service.config import load
from hollystage.service.instance import Instance
from hollystage.service.log import setup
instance = Instance(load(*sys.argv[1:]), setup("a", None))
instance.start()
print(*[m for m in sorted(sys.modules) if m.startswith(('hollystage.fleet', 'hollystage.store', 'hollystage.standins',
      'hollystage.decisions.membership', 'hollystage.decisions.leases', 'hollystage.decisions.budgets',
      'hollystage.service.peers', 'hollystage.service.budget_limiter'))], threading.active_count())
import os; sys.stdout.flush(); os._exit(0)
"""


def test_without_a_plan_no_fleet_module_is_loaded_and_no_thread_started(tmp_path, plan):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_fields()))
    run = [sys.executable, "-c", LIST_MODULES, str(path)]
    off = subprocess.run(run, capture_output=True, text=True, check=True).stdout.split()
    on = subprocess.run([*run, str(plan)], capture_output=True, text=True, check=True).stdout.split()
    assert len(off) == 1 and len(on) > 5 and int(on[-1]) == int(off[-1]) + 4


def test_instance_shows_its_members_to_holders_of_the_key(tmp_path, plan):
    path = tmp_path / "config.json"
    interpreter, control = Interpreter(), ScriptedHttpServer(reply(204))
    path.write_text(json.dumps(config_fields(vm=address_text(interpreter.address),
                                             control=address_text(control.address))))
    command = [sys.executable, "-m", "hollystage", "serve", "--config", str(path), "--plan", str(plan)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        bind = plan.read_text().split('"')[1]
        key, other = tmp_path / "key", tmp_path / "other"
        other.write_bytes(KEY[::-1])
        other.chmod(0o600)
        invoke = CliRunner().invoke
        result = wait_until(lambda: (
            r := invoke(app, ["fleet", "members", bind, "--key", str(key), "--json"])).exit_code == 0
            and json.loads(r.stdout)["members"][0]["stage"] == "serving" and r, 15)
        (row,) = json.loads(result.stdout)["members"]
        assert (row["name"], row["zone"], row["belief"]) == ("n3", "east", "alive") and row["boot"] > 1 << 40
        table = invoke(app, ["fleet", "members", bind, "--key", str(key)])
        assert table.exit_code == 0 and "n3 *" in table.stdout
        for arguments, code in (([bind, "--key", str(other)], 1), ([bind, "--key", str(key), "--cluster", "x"], 1),
                                (["127.0.7.8:9", "--key", str(key)], 1), ([bind, "--key", str(path)], 2)):
            assert invoke(app, ["fleet", "members", *arguments]).exit_code == code
    finally:
        process.terminate()
        log = process.communicate(timeout=10)[1]
        interpreter.close()
        control.close()
    assert process.returncode == 0 and "peer alone" in log and "Traceback" not in log


def test_unusable_key_or_state_folder_is_logged_in_one_line_and_serving_continues(tmp_path, plan, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_fields()))
    key = tmp_path / "key"
    key.chmod(0o644)
    config = load(str(path), str(plan))
    with pytest.raises(ConfigError, match="fleet.key: .* is accessible to users other than its owner"):
        check_files(config)

    class LogLines:
        lines = []

        def error(self, event, **more):
            self.lines.append((event, more["why"]))
        warning = info = error

    locked = StateFolder(str(tmp_path / "state"), "other")
    driver = Driver(translate(config.settings), 1, Counters())
    peers = Peers(config, driver, None, Counters(), LogLines())
    assert peers.agent is None and peers.folder is None and peers.tasks() == []
    assert [line[0] for line in LogLines.lines] == ["serving goes on without stored state",
                                                    "serving goes on without peers"]
    assert "is locked by other, process" in LogLines.lines[0][1] and "set its mode to 600" in LogLines.lines[1][1]
    locked.close()


# Stored state

class WarningLog:
    def __init__(self):
        self.lines = []

    def warning(self, event, why):
        self.lines.append(why)


def test_boot_numbers_always_increase_whatever_the_clock_shows(tmp_path):
    log = WarningLog()
    folder = StateFolder(str(tmp_path / "s"), "a")
    numbers = [boots.next_boot(folder, clock_ms, log) for clock_ms in (1000, 900, 0, 5000, 5000, -7)]
    assert numbers == [1000, 1001, 1002, 5000, 5001, 5002] and not log.lines
    assert boots.next_boot(None, 33, log) == 33
    with pytest.raises(StateError, match=r"is locked by a, process \d+"):
        StateFolder(str(tmp_path / "s"), "a")
    folder.close()


@pytest.mark.parametrize("change, reason", [
    (lambda d: b"", "is empty"), (lambda d: d[:-1], "truncated or corrupt"),
    (lambda d: d + b"1", "truncated or corrupt"), (lambda d: b"x" + d, "is not a state file"),
    (lambda d: d.replace(b"boot 1", b"boot 2"), "of format 2, this version reads up"),
    (lambda d: d.replace(b" a ", b" b "), "corrupt"), (lambda d: bytes(9), "is not a state file")])
def test_damaged_boot_file_is_logged_and_replaced(tmp_path, change, reason):
    log, path = WarningLog(), tmp_path / "s" / "boot"
    folder = StateFolder(str(tmp_path / "s"), "a")
    boots.next_boot(folder, 5000, log)
    path.write_bytes(change(path.read_bytes()))
    assert boots.next_boot(folder, 70, log) == 70 and reason in log.lines[0]
    assert boots.next_boot(folder, 0, log) == 71
    folder.close()


def test_state_of_another_instance_is_ignored(tmp_path):
    folder, log = StateFolder(str(tmp_path / "s"), "b"), WarningLog()
    boots.next_boot(folder, 9000, log)
    folder.close()
    folder = StateFolder(str(tmp_path / "s"), "a")
    assert boots.next_boot(folder, 5, log) == 5 and "belongs to b" in log.lines[0]
    folder.close()


def test_failing_disk_is_logged_and_leaves_the_old_file(tmp_path, monkeypatch):
    folder, log = StateFolder(str(tmp_path / "s"), "a"), WarningLog()
    boots.next_boot(folder, 40, log)
    for call, number in (("write", 28), ("fsync", 5), ("open", 30), ("rename", 28)):
        with monkeypatch.context() as patch:
            def fail(*_, number=number):
                raise OSError(number, os.strerror(number))
            patch.setattr(os, call, fail)
            assert boots.next_boot(folder, 0, log) == 41  # the old file is unchanged
        assert "cannot be written" in log.lines.pop()
    assert boots.next_boot(folder, 0, log) == 41
    assert stat.S_IMODE(os.stat(tmp_path / "s").st_mode) == 0o700
    folder.close()
    with pytest.raises(StateError, match="cannot be used"):
        StateFolder("/proc/nothing/here", "a")


