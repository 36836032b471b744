"""A notice to leave that is heard late, by a process that was paused, reads its files or starts: its grace."""
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

GRACE_S = 0.3  # as the world's settings have it


@pytest.mark.parametrize("grace", [2_000_000, 300_000, 0])
def test_a_sleep_is_told_from_a_late_beat_and_nothing_is_in_doubt_while_all_is_well(grace):
    notice = Notice(grace, 0)
    for at in range(0, 10 * BEAT, BEAT):
        notice.beat(at)
        assert not notice.in_doubt(at + BEAT) and notice.given(at + BEAT) == at + BEAT
    awake = at + max(grace, 4 * BEAT) + BEAT
    notice.beat(awake)  # the notice may have come right after the beat before, or even before its thread ran
    assert notice.given(awake) == at - BEAT and notice.in_doubt(awake)
    notice.beat(awake + BEAT)
    assert notice.given(awake + 3 * BEAT) == awake and not notice.in_doubt(awake + 3 * BEAT)
    assert notice.given(awake - 5) == awake - 5  # a clock that was set back
    notice.beat(awake + 10_000_000)
    assert notice.given(awake + 10_000_000) == awake
    notice.silent(awake + 10_000_000)  # a look proves more than beats
    assert not notice.in_doubt(awake + 10_000_001)


@pytest.fixture
def world(tmp_path):
    world = World(Interpreter(auto=False), stop_ms=2500)
    world.path = tmp_path / "config.json"
    world.path.write_text(json.dumps(world.given))
    yield world
    for other in (world.interpreter, world.ledger, world.control):
        other.close()


@pytest.fixture
def process(world):
    started = begin(world)
    until(lambda: world.control.heard)
    until(lambda: world.interpreter.got("TOP"))
    yield started
    started.kill()
    started.wait()
    started.stderr.close()


def begin(world):
    return subprocess.Popen([sys.executable, "-m", "hollystage", "serve"], stderr=subprocess.PIPE,
                            env={**os.environ, "PROXY_CONFIG": str(world.path)})


def stopped(pid):
    return open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()[0] == "T"


def pause(process):
    process.send_signal(signal.SIGSTOP)
    until(lambda: stopped(process.pid))


@pytest.mark.parametrize("shape", ["new", "kept", "several", "many"])
def test_nothing_runs_that_came_in_a_pause_past_the_grace_of_its_notice(world, process, shape):
    kept = [world.caller() for _ in range({"new": 0, "kept": 1, "several": 1, "many": 30}[shape])]
    for number, caller in enumerate(kept, 1):  # each has carried an RPC, and is idle
        caller.send("order")
        world.interpreter.end(world.interpreter.applied(number)[-1])
        assert caller.answer().keep
    pause(process)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 0.3)
    callers = kept or [world.caller() for _ in range(5)]
    each = 3 if shape == "several" else 1
    for caller in callers:
        for _ in range(each):
            caller.send("order")
    time.sleep(0.2)  # small messages lie with their sender until the first is acknowledged
    process.send_signal(signal.SIGCONT)
    statuses = [caller.answer().status for caller in callers for _ in range(each)]
    assert set(statuses) == {503} and len(world.interpreter.got("APPLY")) == len(kept)
    assert process.wait(4) == 0


def test_what_ran_before_the_pause_is_answered_and_a_pause_alone_turns_nothing_away(world, process):
    running = world.caller().send("order")
    (ident,) = world.interpreter.applied()
    pause(process)
    time.sleep(GRACE_S + 0.3)
    within = world.caller().send("order")
    process.send_signal(signal.SIGCONT)  # no notice: it runs
    second = until(lambda: set(world.interpreter.applied(2)) - {ident}).pop()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    process.send_signal(signal.SIGCONT)
    world.interpreter.end(ident, b"one")
    world.interpreter.end(second, b"two")
    assert [running.answer().body, within.answer().body] == [b"one", b"two"] and process.wait(4) == 0
    assert "instance.unheard" not in process.stderr.read().decode()


def test_one_that_slept_past_its_kill_answers_all_at_once(world, process):
    running = world.caller().send("order")
    world.interpreter.applied()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(2.7)
    late = world.caller().send("order")
    begun = time.monotonic()
    process.send_signal(signal.SIGCONT)
    assert [running.answer().status, late.answer().status] == [500, 503]
    assert process.wait(4) == 0 and time.monotonic() - begun < 1.5 and len(world.interpreter.applied()) == 1


def test_a_notice_is_heard_in_the_middle_of_a_reload(world, process):
    idle = world.caller()
    world.path.unlink()
    os.mkfifo(world.path)  # whoever reads it waits until somebody writes
    process.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    assert idle.closed()
    time.sleep(0.1)
    with pytest.raises((ConnectionRefusedError, ConnectionResetError, TimeoutError)):
        socket.create_connection(world.listen, 0.5)
    assert process.wait(4) == 0 and not world.interpreter.got("APPLY")


def test_a_notice_right_after_a_start_counts_from_the_start(world):
    started = begin(world)
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
            continue  # not up yet, or gone
    assert started.wait() == 0 and not world.interpreter.got("APPLY")
    started.stderr.close()
