"""Drain notices that are received late, since the process was suspended, reads its files or starts."""
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from helpers import Interpreter, World, until

from hollystage.decisions.leaving.notice import BEAT, Notice
from hollystage.service.buffers import Broken

GRACE_S = 0.3  # equal to the setting of World


@pytest.mark.parametrize("grace", [2_000_000, 300_000, 0])
def test_only_a_suspension_puts_rpcs_in_doubt_and_not_a_late_heartbeat(grace):
    notice = Notice(grace, 0)
    for now in range(0, 10 * BEAT, BEAT):
        notice.beat(now)
        assert not notice.in_doubt(now + BEAT) and notice.given(now + BEAT) == now + BEAT
    resumed = now + max(grace, 4 * BEAT) + BEAT
    notice.beat(resumed)  # the notice may have come just after the last heartbeat, or before its thread ran
    assert notice.given(resumed) == now - BEAT and notice.in_doubt(resumed)
    notice.beat(resumed + BEAT)
    assert notice.given(resumed + 3 * BEAT) == resumed and not notice.in_doubt(resumed + 3 * BEAT)
    assert notice.given(resumed - 5) == resumed - 5  # the clock was set back
    notice.beat(resumed + 10_000_000)
    assert notice.given(resumed + 10_000_000) == resumed
    notice.silent(resumed + 10_000_000)  # a check proves more than heartbeats
    assert not notice.in_doubt(resumed + 10_000_001)


@pytest.fixture
def world(tmp_path):
    world = World(Interpreter(auto=False), stop_ms=2500)
    world.path = tmp_path / "config.json"
    world.path.write_text(json.dumps(world.given))
    yield world
    for peer in (world.interpreter, world.ledger, world.control):
        peer.close()


@pytest.fixture
def process(world):
    started = start_process(world)
    until(lambda: world.control.heard)
    until(lambda: world.interpreter.got("TOP"))
    yield started
    started.kill()
    started.wait()
    started.stderr.close()


def start_process(world):
    return subprocess.Popen([sys.executable, "-m", "hollystage", "serve"], stderr=subprocess.PIPE,
                            env={**os.environ, "PROXY_CONFIG": str(world.path)})


def is_stopped(pid):
    return open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()[0] == "T"


def pause(process):
    process.send_signal(signal.SIGSTOP)
    until(lambda: is_stopped(process.pid))


@pytest.mark.parametrize("connections", ["new", "kept", "several", "many"])
def test_rpcs_that_arrive_during_a_pause_after_the_drain_grace_are_not_run(world, process, connections):
    kept = [world.caller() for _ in range({"new": 0, "kept": 1, "several": 1, "many": 30}[connections])]
    for number, caller in enumerate(kept, 1):  # each connection has served an RPC and is idle
        caller.send("order")
        world.interpreter.end(world.interpreter.applied(number)[-1])
        assert caller.answer().keep
    pause(process)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 0.3)
    callers = kept or [world.caller() for _ in range(5)]
    rpcs = 3 if connections == "several" else 1
    for caller in callers:
        for _ in range(rpcs):
            caller.send("order")
    time.sleep(0.2)  # the kernel delays small messages until the first one is acknowledged
    process.send_signal(signal.SIGCONT)
    statuses = [caller.answer().status for caller in callers for _ in range(rpcs)]
    assert set(statuses) == {503} and len(world.interpreter.got("APPLY")) == len(kept)
    assert process.wait(4) == 0


def test_rpcs_that_run_before_a_pause_are_answered_and_a_pause_without_notice_rejects_nothing(world, process):
    running = world.caller().send("order")
    (ident,) = world.interpreter.applied()
    pause(process)
    time.sleep(GRACE_S + 0.3)
    within = world.caller().send("order")
    process.send_signal(signal.SIGCONT)  # no notice was given, so the RPC runs
    second = until(lambda: set(world.interpreter.applied(2)) - {ident}).pop()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    process.send_signal(signal.SIGCONT)
    world.interpreter.end(ident, b"one")
    world.interpreter.end(second, b"two")
    assert [running.answer().body, within.answer().body] == [b"one", b"two"] and process.wait(4) == 0
    assert "instance.unheard" not in process.stderr.read().decode()


def test_a_process_that_resumes_after_its_stop_time_answers_everything_immediately(world, process):
    running = world.caller().send("order")
    world.interpreter.applied()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(2.7)
    late = world.caller().send("order")
    resumed = time.monotonic()
    process.send_signal(signal.SIGCONT)
    assert [running.answer().status, late.answer().status] == [500, 503]
    assert process.wait(4) == 0 and time.monotonic() - resumed < 1.5 and len(world.interpreter.applied()) == 1


def test_a_notice_is_handled_during_a_reload(world, process):
    idle = world.caller()
    world.path.unlink()
    os.mkfifo(world.path)  # a reader blocks until the FIFO has a writer
    process.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    assert idle.closed()
    time.sleep(0.1)
    with pytest.raises((ConnectionRefusedError, ConnectionResetError, TimeoutError)):
        socket.create_connection(world.listen, 0.5)
    assert process.wait(4) == 0 and not world.interpreter.got("APPLY")


def test_the_grace_of_a_notice_right_after_a_start_begins_at_the_start(world):
    started = start_process(world)
    blocked = signal.SIGTERM - 1
    until(lambda: int(next(line for line in open(f"/proc/{started.pid}/status") if line.startswith("SigBlk"))
                      .split()[1], 16) >> blocked & 1)
    pause(started)
    started.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 0.3)
    started.send_signal(signal.SIGCONT)
    while started.poll() is None:
        try:
            caller = world.caller().send("order")
            assert caller.answer().status == 503
        except (OSError, Broken):
            continue  # not started yet, or already ended
    assert started.wait() == 0 and not world.interpreter.got("APPLY")
    started.stderr.close()
