"""RPCs that cross the end of their connection or of their time: hooks force the order; docs/service.md lists them."""
import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import LONG_DEADLINES, Caller, Interpreter, ServiceHarness, wait_until
from test_races import half, start_drain

from hollystage.policy.buckets import DONE
from hollystage.service import clients as clients_module
from hollystage.service.buffers import Stream
from hollystage.service.connection import CallerStream
from hollystage.service.driver import clock

# answers that the client has not read when its connection ends: more than its receive buffer takes, so that the rest
# waits in the instance's socket, where a reset would drop it
RECEIVE_BUFFER_BYTES, UNREAD_ANSWERS, BODY = 16 * 1024, 40, bytes(2000)
MINUTE = 60_000_000  # microseconds
ANY = object()  # any connection that is opened after the gate was made
ARRIVALS = pytest.mark.parametrize("arrival", ["before", "around", "after"])


class SlowCaller(Caller):
    """A client with a small receive buffer that has sent RPCs and not read their answers yet."""

    def __init__(self, harness):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.connect(harness.listen)
        self.stream = Stream(self.sock, bytearray(1 << 14))
        for _ in range(UNREAD_ANSWERS):
            self.send(body=BODY)
        wait_until(lambda: harness.count("clients.answers.200") == UNREAD_ANSWERS)
        wait_until(lambda: [c for c in harness.instance.clients.connections.values() if c.idle_since])

    def read_to_the_end(self):
        """Reads the unread answers and returns the next one; None if the connection has ended without one."""
        assert [self.receive().status for _ in range(UNREAD_ANSWERS)] == [200] * UNREAD_ANSWERS
        with contextlib.suppress(ConnectionResetError):
            if not self.stream.is_empty() or self.stream.fill(time.monotonic() + 5):
                return self.receive()
        return None


class Gate:
    """Holds the thread of a connection when its next receive returns, until the gate is opened."""

    def __init__(self, monkeypatch, connection=None):
        self.made_at = time.monotonic()
        self.connection = connection  # None: no connection is held
        self.deadline_passed = False  # whether the next receive with a deadline is too late
        self.reached, self.opened, self.found_nothing = threading.Event(), threading.Event(), threading.Event()
        caller_fill, fill = CallerStream.fill, Stream.fill

        def hold(stream, deadline):
            if deadline and self.deadline_passed:
                deadline, self.deadline_passed = 0.0, False
            try:
                return caller_fill(stream, deadline)
            finally:
                held = stream.connection.opened_at > self.made_at if self.connection is ANY else (
                    stream.connection is self.connection)
                if held and not self.opened.is_set():
                    self.reached.set()
                    assert self.opened.wait(5)

        def observe(stream, deadline):
            received = fill(stream, deadline)
            if not received and isinstance(stream, CallerStream) and stream.connection is self.connection:
                self.found_nothing.set()
            return received

        monkeypatch.setattr(CallerStream, "fill", hold)
        monkeypatch.setattr(Stream, "fill", observe)

    def cross(self, caller, arrival, end, shuts=False):
        """Lets an RPC arrive whole before, in two parts around, or whole after `end`, and opens the gate.

        If the end `shuts` the reading side, the second part arrives once the thread has found nothing more.
        """
        first, rest = half()
        if arrival != "after":
            caller.sock.sendall(first + rest if arrival == "before" else first)
            assert self.reached.wait(5)
        end()
        if arrival == "after":
            assert self.reached.wait(5)
            caller.sock.sendall(first + rest)
        self.opened.set()
        if arrival == "around":
            assert not shuts or self.found_nothing.wait(5)
            caller.sock.sendall(rest)


def nothing_is_left(harness):
    """Whether neither the service nor the decision module keeps anything of an RPC or a connection."""
    instance = harness.instance
    driver, clients, control = instance.driver, instance.clients, instance.driver.control
    states = [count for state, count in control.state_counts.items() if state != DONE]
    threads = [thread for thread in threading.enumerate() if "_serve_connection" in thread.name]
    return not (driver.exchanges or driver.exchange_by_rpc or instance.link.pending.runs or any(states)
                or control.memory or clients.connections or threads)


# Ends of a resting connection

def idle_limit(harness):
    harness.instance.driver.idle_limit = 1


def full_table(harness):
    slots = harness.instance.clients.connection_slots
    while slots.acquire(blocking=False):  # the accepting thread holds one more, for its next connection
        pass
    return harness.caller()  # it stays open: its slot must not become free


def drain(harness):
    start_drain(harness)


def reload(harness):
    harness.json_config["ledger"] = harness.json_config["control"]
    harness.instance.reload(harness.config(None))


@ARRIVALS
@pytest.mark.parametrize("end", [idle_limit, full_table, drain])
def test_rpc_that_crosses_the_end_of_a_resting_connection(monkeypatch, end, arrival):
    """It is answered, or never run; neither it nor a further one costs an answer that the client has not read."""
    monkeypatch.setattr(clients_module, "LINGER_S", 5)
    monkeypatch.setattr(clients_module, "MIN_CONNECTION_AGE_S", 60)  # the connection that fills the table is spared
    gate, last_wait, wait = Gate(monkeypatch), threading.Event(), clients_module.await_acknowledgement

    def observed_wait(sock, timeout):
        if gate.connection is not None and sock is gate.connection.sock:  # not one of an earlier test
            last_wait.set()
        wait(sock, timeout)

    monkeypatch.setattr(clients_module, "await_acknowledgement", observed_wait)
    with ServiceHarness(settings=LONG_DEADLINES, stop_ms=20_000) as harness:
        caller = SlowCaller(harness)
        connection, = harness.instance.clients.connections.values()
        gate.connection = connection

        kept = []

        def shut():
            kept.append(end(harness))
            wait_until(lambda: connection.reading_shut)

        gate.cross(caller, arrival, shut, shuts=True)
        assert last_wait.wait(5)
        caller.send()  # nobody reads it any more
        answer = caller.read_to_the_end()
        assert answer is None if arrival == "after" else (answer.status, answer.keep_alive) == (200, False)
        assert len(harness.interpreter.commands("APPLY")) == UNREAD_ANSWERS + (arrival != "after")
        wait_until(lambda: connection not in harness.instance.clients.connections.values())


def test_first_part_that_arrives_during_the_idle_check_is_completed(monkeypatch):
    gate, (first, rest) = Gate(monkeypatch), half()
    with ServiceHarness(settings=LONG_DEADLINES) as harness:
        caller, count = harness.caller(), harness.instance.counters.add
        assert caller.request().status == 200
        connection, = harness.instance.clients.connections.values()

        def send_first_part(name, amount=1):
            if name == "clients.idle_closed":  # found idle, not shut yet
                caller.sock.sendall(first)
                assert gate.reached.wait(5)
                gate.opened.set()
                with contextlib.suppress(AssertionError):
                    wait_until(lambda: not connection.idle_since, 0.2)  # must not happen before it is shut
            count(name, amount)

        gate.connection, harness.instance.counters.add = connection, send_first_part
        harness.instance.driver.idle_limit = 1
        wait_until(lambda: connection.reading_shut)
        caller.sock.sendall(rest)
        answer = caller.receive()
        assert (answer.status, answer.keep_alive) == (200, False)


@ARRIVALS
def test_rpc_that_crosses_a_reload_is_served_on_its_connection(monkeypatch, arrival):
    gate = Gate(monkeypatch)
    with ServiceHarness(settings=LONG_DEADLINES) as harness:
        caller = harness.caller()
        assert caller.request().status == 200
        if arrival == "after":  # a reload wakes no resting connection
            gate.reached.set()
        else:
            gate.connection, = harness.instance.clients.connections.values()
        gate.cross(caller, arrival, lambda: reload(harness))
        assert [caller.receive()[::3], caller.request()[::3]] == [(200, True)] * 2
        assert harness.count("instance.reloads") == 1 and len(harness.interpreter.commands("APPLY")) == 3


@ARRIVALS
def test_rpc_that_crosses_the_first_message_timeout(monkeypatch, arrival):
    monkeypatch.setattr(clients_module, "FIRST_MESSAGE_TIMEOUT_S", 0.3 if arrival == "after" else 60)
    gate = Gate(monkeypatch, ANY)
    with ServiceHarness(settings=LONG_DEADLINES) as harness:
        caller = harness.caller()
        gate.cross(caller, arrival, lambda: setattr(gate, "deadline_passed", True))
        if arrival == "after":
            with contextlib.suppress(ConnectionResetError):
                assert caller.wait_closed()
        else:
            assert caller.receive().status == {"before": 200, "around": 408}[arrival]
            assert arrival == "before" or caller.wait_closed()
        assert len(harness.interpreter.commands("APPLY")) == (arrival == "before")


@ARRIVALS
def test_rpc_that_crosses_an_answer_that_closes_the_connection_is_never_run(arrival):
    with ServiceHarness(Interpreter(auto=False), settings=LONG_DEADLINES) as harness:
        caller, (first, rest) = harness.caller().send(Connection="close"), half()
        request_id, = harness.interpreter.await_runs()
        caller.sock.sendall({"before": first + rest, "around": first, "after": b""}[arrival])
        harness.interpreter.end(request_id)
        wait_until(lambda: harness.count("clients.answers.200"))
        caller.sock.sendall({"before": b"", "around": rest, "after": first + rest}[arrival])
        assert caller.receive()[::3] == (200, False) and caller.wait_closed()
        caller.sock.close()
        wait_until(lambda: nothing_is_left(harness))
        assert len(harness.interpreter.commands("APPLY")) == 1


@pytest.mark.parametrize("whole", [True, False])
def test_rpc_of_a_caller_that_closes_its_sending_side_is_never_run(monkeypatch, whole):
    gate = Gate(monkeypatch, ANY)
    with ServiceHarness(settings=LONG_DEADLINES) as harness:
        caller, first = harness.caller(), half()[0]
        caller.send() if whole else caller.sock.sendall(first)
        connection, = wait_until(lambda: list(harness.instance.clients.connections.values()))
        assert gate.reached.wait(5)
        caller.sock.shutdown(socket.SHUT_WR)
        wait_until(lambda: connection.peer_closed)
        gate.opened.set()
        assert whole or caller.receive().status == 400
        assert caller.wait_closed() and not harness.interpreter.commands("APPLY")
        wait_until(lambda: nothing_is_left(harness))


# the process says when it is about to end, and ends once it may
HELD_EXIT = """
import os, sys
end = os._exit
os._exit = lambda code: (print("at the end", flush=True), sys.stdin.read(1), end(code))
from hollystage.cli import app
app()
"""


@pytest.mark.parametrize("arrival", ["before", "around"])
def test_message_that_crosses_the_end_of_the_process_is_never_run(tmp_path, arrival):
    harness = ServiceHarness(settings=LONG_DEADLINES, stop_ms=700)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(harness.json_config))
    with subprocess.Popen([sys.executable, "-c", HELD_EXIT, "serve"], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                          stderr=subprocess.DEVNULL, env={**os.environ, "PROXY_CONFIG": str(path)}) as process:
        wait_until(lambda: harness.control.received)
        caller, (first, rest) = harness.caller(), half()
        assert caller.request().status == 200
        caller.sock.sendall(first)
        process.terminate()
        assert process.stdout.readline() == b"at the end\n"
        if arrival == "before":
            caller.sock.sendall(rest)
            assert caller.receive()[::3] == (503, False)
        process.stdin.close()
        assert process.wait(5) == 0
        with contextlib.suppress(ConnectionResetError, BrokenPipeError):
            caller.sock.sendall(rest)
            assert caller.wait_closed()
        assert len(harness.interpreter.commands("APPLY")) == 1


# The end of an RPC's time

def await_close(harness, number, others=0):
    """Waits until the connection with this number, from 1, was accepted and is closed; others may be open."""
    wait_until(lambda: harness.count("clients.connections") >= number and harness.instance.clients.count() == others)


def short_times(now_ms):
    """Yields the milliseconds left at `now_ms`, of the caller's time or the deadline, and the header fields."""
    for left_ms in (0, 1, 5):
        yield left_ms, {"X_Timeout_Ms": str(left_ms), "X_Request_Start": str(now_ms)}
        yield left_ms, {"X_Timeout_Ms": "1000", "X_Request_Start": str(now_ms - 1000 + left_ms)}
        # past its latency target, which is before the deadline of 4 s: never run
        yield 0, {"X_Timeout_Ms": None, "X_Request_Start": str(now_ms - 4000 + left_ms)}


@pytest.mark.parametrize("method", ["lookup", "booking", "order"])
@pytest.mark.parametrize("drop", ["never", "before the answer", "before it is told"])
def test_rpc_with_hardly_any_time_left_runs_at_most_once_and_leaves_nothing(monkeypatch, method, drop):
    """Its caller waits for the answer, closes after the decision module was told of the RPC, or before that."""
    now_ms = time.time_ns() // 1_000_000
    monkeypatch.setattr(time, "time_ns", lambda: now_ms * 1_000_000)
    with ServiceHarness(Interpreter(auto=False)) as harness:
        driver, clients, interpreter = harness.instance.driver, harness.instance.clients, harness.interpreter
        arrived, handle_request = driver.arrived, clients._handle_request
        ended, run_count, connection_count = [], 0, 0

        def close_caller(when):
            if drop == when and caller.sock.fileno() >= 0:
                connection, = clients.connections.values()
                caller.sock.close()
                wait_until(lambda: connection.peer_closed)

        def tell(exchange):
            error = arrived(exchange)
            close_caller("before the answer")
            return error

        def handle(*args):
            close_caller("before it is told")
            return handle_request(*args)

        def end_runs(count):
            for request_id in interpreter.await_runs(count)[len(ended):] if count else ():
                interpreter.end(request_id, b"booked")
                ended.append(request_id)

        driver.arrived, clients._handle_request = tell, handle
        for number, (left_ms, fields) in enumerate(short_times(now_ms)):
            key = {"Idempotency_Key": str(number)} if method == "booking" else {}
            caller = harness.caller()
            caller.send(method, **key, **fields)
            if drop == "never":
                assert caller.receive().status == (500 if left_ms else 503)
                caller.sock.close()
            connection_count += 1
            await_close(harness, connection_count)
            runs = left_ms > 0 and drop != "before it is told"
            run_count += runs
            end_runs(run_count)
            if key:  # a repeat gets the result of that run, or runs if there was none
                repeat = harness.caller().send(method, **key)
                run_count += not runs
                end_runs(run_count)
                assert repeat.receive().body == b"booked"
                repeat.sock.close()
                connection_count += 1
            wait_until(lambda: nothing_is_left(harness))
            assert len(interpreter.commands("APPLY")) == run_count
        with driver.lock:
            driver.control.now += MINUTE  # past the windows of the keys
            driver.idempotency_table.expire(clock() + MINUTE)
            assert not driver.idempotency_table.entries and not driver.control._memory_used()


@pytest.mark.parametrize("drop", [False, True])
def test_repeat_with_hardly_any_time_left_joins_and_leaves_the_run(drop):
    with ServiceHarness(Interpreter(auto=False)) as harness:
        key, driver = {"Idempotency_Key": "1"}, harness.instance.driver
        first = harness.caller().send("booking", **key)
        request_id, = harness.interpreter.await_runs()
        entry, = driver.idempotency_table.entries.values()
        for number, (_, fields) in enumerate(short_times(int(time.time() * 1000)), 2):
            repeat = harness.caller().send("booking", **key, **fields)
            assert drop or repeat.receive().status == 500
            repeat.sock.close()
            await_close(harness, number, others=1)
            assert not entry.waiters and list(driver.exchanges) == [request_id]
        harness.interpreter.end(request_id, b"booked")
        assert first.receive().body == b"booked" and len(harness.interpreter.commands("APPLY")) == 1
