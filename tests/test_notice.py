"""Drain notices that are received late because the process was suspended, reads its files or is starting."""
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from helpers import START_TIMEOUT_S, Interpreter, ServiceHarness, wait_until

from hollystage.decisions.draining.drain_notice import HEARTBEAT_INTERVAL, DrainNotice
from hollystage.service.buffers import IncompleteMessageError

GRACE_S = 0.3  # equal to the setting of ServiceHarness


@pytest.mark.parametrize("grace", [2_000_000, 300_000, 0])
def test_only_a_suspension_puts_rpcs_in_doubt_and_not_a_late_heartbeat(grace):
    notice = DrainNotice(grace, 0)
    notice.confirm_no_notice(0)
    for now in range(0, 10 * HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL):
        notice.heartbeat(now)
        assert not notice.in_doubt(now + HEARTBEAT_INTERVAL) \
            and notice.given_at(now + HEARTBEAT_INTERVAL) == now + HEARTBEAT_INTERVAL
    resumed = now + max(grace, 4 * HEARTBEAT_INTERVAL) + HEARTBEAT_INTERVAL
    # the notice may have been given just after the heartbeat before the pause, or even before: the thread that waits
    # for signals is only known to have run between the last two heartbeats that were on time
    notice.heartbeat(resumed)
    assert notice.given_at(resumed) == now - HEARTBEAT_INTERVAL and notice.in_doubt(resumed)
    notice.heartbeat(resumed + HEARTBEAT_INTERVAL)
    assert notice.given_at(resumed + 3 * HEARTBEAT_INTERVAL) == resumed \
        and not notice.in_doubt(resumed + 3 * HEARTBEAT_INTERVAL)
    assert notice.given_at(resumed - 5) == resumed - 5  # the clock was set back
    notice.heartbeat(resumed + 10_000_000)
    assert notice.given_at(resumed + 10_000_000) == resumed
    notice.confirm_no_notice(resumed + 10_000_000)  # a check proves more than heartbeats
    assert not notice.in_doubt(resumed + 10_000_001)


def test_heartbeats_before_the_first_check_for_signals_show_nothing():
    """During the start a notice may be pending although all threads run on time."""
    notice = DrainNotice(300_000, 0)
    for now in range(0, 1_000_001, HEARTBEAT_INTERVAL):
        notice.heartbeat(now)
    assert notice.given_at(1_000_000) == 0 and notice.in_doubt(1_000_000)


@pytest.fixture
def harness(tmp_path):
    harness = ServiceHarness(Interpreter(auto=False), stop_ms=2500)
    harness.path = tmp_path / "config.json"
    harness.path.write_text(json.dumps(harness.json_config))
    yield harness
    for peer in (harness.interpreter, harness.ledger, harness.control):
        peer.close()


@pytest.fixture
def process(harness):
    started = start_process(harness)
    wait_until(lambda: harness.control.received, START_TIMEOUT_S)
    wait_until(lambda: harness.interpreter.commands("TOP"))
    yield started
    started.kill()
    started.wait()
    started.stderr.close()


def start_process(harness):
    return subprocess.Popen([sys.executable, "-m", "hollystage", "serve"], stderr=subprocess.PIPE,
                            env={**os.environ, "PROXY_CONFIG": str(harness.path)})


def is_stopped(pid):
    return open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()[0] == "T"


def pause(process):
    process.send_signal(signal.SIGSTOP)
    wait_until(lambda: is_stopped(process.pid))


@pytest.mark.parametrize("connections", ["new", "kept", "several", "many"])
def test_rpcs_that_arrive_during_a_pause_after_the_drain_grace_are_not_run(harness, process, connections):
    kept = [harness.caller() for _ in range({"new": 0, "kept": 1, "several": 1, "many": 30}[connections])]
    for number, caller in enumerate(kept, 1):  # each connection has served an RPC and is idle
        caller.send("order")
        harness.interpreter.end(harness.interpreter.await_runs(number)[-1])
        assert caller.receive().keep_alive
    pause(process)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 0.3)
    callers = kept or [harness.caller() for _ in range(5)]
    rpcs = 3 if connections == "several" else 1
    for caller in callers:
        for _ in range(rpcs):
            caller.send("order")
    time.sleep(0.2)  # the kernel delays small messages until the first one is acknowledged
    process.send_signal(signal.SIGCONT)
    statuses = [caller.receive().status for caller in callers for _ in range(rpcs)]
    assert set(statuses) == {503} and len(harness.interpreter.commands("APPLY")) == len(kept)
    assert process.wait(4) == 0


def test_rpcs_that_run_before_a_pause_are_answered_and_a_pause_without_notice_rejects_nothing(harness, process):
    running = harness.caller().send("order")
    (ident,) = harness.interpreter.await_runs()
    pause(process)
    time.sleep(GRACE_S + 0.3)
    within = harness.caller().send("order")
    process.send_signal(signal.SIGCONT)  # no notice was given, so the RPC runs
    second = wait_until(lambda: set(harness.interpreter.await_runs(2)) - {ident}).pop()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    process.send_signal(signal.SIGCONT)
    harness.interpreter.end(ident, b"one")
    harness.interpreter.end(second, b"two")
    assert [running.receive().body, within.receive().body] == [b"one", b"two"] and process.wait(4) == 0
    assert "instance.unheard" not in process.stderr.read().decode()


def test_a_process_that_resumes_after_its_stop_time_answers_everything_immediately(harness, process):
    running = harness.caller().send("order")
    harness.interpreter.await_runs()
    pause(process)
    process.send_signal(signal.SIGTERM)
    time.sleep(2.7)
    late = harness.caller().send("order")
    resumed = time.monotonic()
    process.send_signal(signal.SIGCONT)
    assert [running.receive().status, late.receive().status] == [500, 503]
    assert process.wait(4) == 0 and time.monotonic() - resumed < 1.5 and len(harness.interpreter.await_runs()) == 1


def test_a_notice_is_handled_during_a_reload(harness, process):
    idle = harness.caller()
    harness.path.unlink()
    os.mkfifo(harness.path)  # a reader blocks until the FIFO has a writer
    process.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    assert idle.wait_closed()
    time.sleep(0.1)
    with pytest.raises((ConnectionRefusedError, ConnectionResetError, TimeoutError)):
        socket.create_connection(harness.listen, 0.5)
    assert process.wait(4) == 0 and not harness.interpreter.commands("APPLY")


def test_the_grace_of_a_notice_right_after_a_start_begins_at_the_start(harness):
    started = start_process(harness)
    blocked = signal.SIGTERM - 1
    wait_until(lambda: int(next(line for line in open(f"/proc/{started.pid}/status") if line.startswith("SigBlk"))
                           .split()[1], 16) >> blocked & 1, START_TIMEOUT_S)
    pause(started)
    started.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 0.3)
    started.send_signal(signal.SIGCONT)
    while started.poll() is None:
        try:
            caller = harness.caller().send("order")
            assert caller.receive().status == 503
        except (OSError, IncompleteMessageError):
            continue  # not started yet, or already ended
    assert started.wait() == 0 and not harness.interpreter.commands("APPLY")
    started.stderr.close()
