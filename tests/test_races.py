"""Races between two events: a hook or a lock forces the order at the critical step; docs/service.md lists them."""
import contextlib
import errno
import threading
import time

import pytest
from helpers import Interpreter, ScriptedHttpServer, ServiceHarness, wait_until
from test_service import KEY, RPC

from hollystage.policy.buckets import CALLING, QUEUED, RUNNING, WAITING
from hollystage.service import clients as clients_module
from hollystage.service import connection as connection_module
from hollystage.service.buffers import Stream


def half(request_id=b"0123456789abcdef"):
    """Returns an RPC in two parts."""
    text = RPC.replace(b"1764576000123", b"%d" % (time.time() * 1000)).replace(b"0123456789abcdef", request_id)
    return text[:40], text[40:]


class Proxy:
    """Delegates to another object, except for the attributes that a test replaces."""

    def __init__(self, real, **replaced):
        self.__dict__.update(replaced, real=real)

    def __getattr__(self, name):
        return getattr(self.real, name)


def failing(real, *errors):
    """Returns a function that raises these errors first and then calls the real one."""
    left = list(errors)

    def call(*args, **kwargs):
        if left:
            raise left.pop(0)
        return real(*args, **kwargs)
    return call


# Closing connections

def test_message_in_transit_is_completed_when_an_idle_connection_is_shut(monkeypatch):
    first, rest = half()
    received_first, shut_done = threading.Event(), threading.Event()
    more = Stream.fill

    def delayed(stream, deadline):
        received = more(stream, deadline)
        if received and stream.buffer[:stream.end] == first:  # received, but idle_since is not reset yet
            received_first.set()
            assert shut_done.wait(5)
        return received

    monkeypatch.setattr(Stream, "fill", delayed)
    with ServiceHarness() as harness:
        caller, clients = harness.caller(), harness.instance.clients
        assert caller.request().status == 200
        caller.sock.sendall(first)
        assert received_first.wait(5)
        with clients.lock:
            clients._shut_reading(*clients.connections.values())
        shut_done.set()
        wait_until(lambda: harness.count("clients.connections") == 1)
        caller.sock.sendall(rest)
        answer = caller.receive()
        assert (answer.status, answer.keep_alive) == (200, False)


def test_idle_limit_spares_connections_that_were_just_opened(monkeypatch):
    monkeypatch.setattr(clients_module, "MIN_CONNECTION_AGE_S", 30.0)
    with ServiceHarness() as harness:
        established, new = harness.caller(), harness.caller()
        assert established.request().status == 200
        harness.instance.driver.idle_limit = 10_000
        assert established.wait_closed() and new.request().status == 200


def test_incomplete_message_on_a_shut_connection_times_out(monkeypatch):
    monkeypatch.setattr(connection_module, "PENDING_MESSAGE_S", 0.1)
    with ServiceHarness() as harness:
        caller, clients = harness.caller(), harness.instance.clients
        assert caller.request().status == 200
        connection, = clients.connections.values()
        caller.sock.sendall(half()[0])
        wait_until(lambda: not connection.idle_since)
        with clients.lock:
            connection.idle_since = 1.0  # as the check for idle connections may have seen it just before
            clients._shut_reading(connection)
        started_at = time.monotonic()
        assert caller.receive().status == 400 and caller.wait_closed() and time.monotonic() - started_at < 1


@pytest.mark.parametrize("size", [9_000, 40_000, 200_000])
def test_rejects_oversized_head_and_the_answer_survives_unread_input(size):
    with ServiceHarness() as harness:
        for _ in range(10):
            caller = harness.caller()
            caller.sock.sendall(b"POST /svc/lookup HTTP/1.1\r\nX: " + b"y" * size)
            assert caller.receive().status == 431
        assert harness.count("clients.crashed") == 0


def test_nodelay_is_set_on_client_sockets():
    """Nagle's algorithm would delay answers."""
    with ServiceHarness() as harness:
        caller, clients = harness.caller(), harness.instance.clients
        assert caller.request().status == 200
        connection, = clients.connections.values()
        for sock in (clients.listener, connection.sock):
            assert sock.getsockopt(clients_module.socket.IPPROTO_TCP, clients_module.socket.TCP_NODELAY)


@pytest.mark.parametrize("field, status", [(b"Content-Length: 0\r\nConnection: close", 200),
                                           (b"Content-Length: 9000", 413)])
def test_rpc_behind_the_last_answer_is_never_run(field, status):
    with ServiceHarness() as harness:
        caller = harness.caller()
        first, second = (b"".join(half(request_id)) for request_id in (b"0123456789abcdef", b"fedcba9876543210"))
        caller.sock.sendall(first.replace(b"Content-Length: 0", field) + second)
        answer = caller.receive()
        assert (answer.status, answer.keep_alive) == (status, False) and caller.wait_closed()
        assert len(harness.interpreter.commands("APPLY")) == (status == 200)


def test_send_timeout_closes_a_client_that_reads_nothing(monkeypatch):
    """Other clients are served meanwhile."""
    monkeypatch.setattr(clients_module, "SEND_TIMEOUT_S", 0.3)
    with ServiceHarness() as harness:
        clients, slow = harness.instance.clients, harness.caller()
        assert slow.request().status == 200
        connection, = clients.connections.values()
        for sock, option in ((connection.sock, clients_module.socket.SO_SNDBUF),
                             (slow.sock, clients_module.socket.SO_RCVBUF)):
            sock.setsockopt(clients_module.socket.SOL_SOCKET, option, 4096)
        sender = threading.Thread(target=pipeline, args=(slow, 400), daemon=True)
        sender.start()
        assert harness.caller().request().status == 200
        wait_until(lambda: connection not in clients.connections.values())
        assert harness.count("clients.broken") == 1 and harness.caller().request().status == 200
        slow.sock.close()
        sender.join(5)


def pipeline(caller, count):
    """Sends RPCs one after the other and reads no answer."""
    with contextlib.suppress(OSError):
        for _ in range(count):
            caller.send(body=bytes(2048))


# Shutdown

def start_drain(harness):
    """Starts the drain in a thread and returns the thread."""
    thread = threading.Thread(target=harness.instance.drain)
    thread.start()
    return thread


def test_connection_accepted_during_shutdown_is_served():
    with ServiceHarness() as harness:
        clients, go, accepted = harness.instance.clients, threading.Event(), threading.Event()
        start_connection = clients._start_connection

        def late(sock):
            accepted.set()
            assert go.wait(5)
            start_connection(sock)

        clients._start_connection = late
        caller = harness.caller().send()
        assert accepted.wait(5)  # not in the table yet
        drain = start_drain(harness)
        wait_until(lambda: clients.listener.fileno() < 0)
        time.sleep(0.05)
        assert drain.is_alive()
        go.set()
        answer = caller.receive()
        assert (answer.status, answer.keep_alive) == (200, False)
        drain.join(5)
        assert not drain.is_alive()


def test_pending_connection_at_shutdown_is_served_once_a_descriptor_is_free():
    """The first accept() during the shutdown fails with EMFILE."""
    with ServiceHarness() as harness:
        clients = harness.instance.clients
        # a full table: the accepting thread accepts nothing more
        clients.connection_slots = Proxy(clients.connection_slots, acquire=lambda **_: time.sleep(0.01))
        harness.caller()  # the accept() that already waits takes this one
        wait_until(lambda: harness.count("clients.connections") == 1)
        caller = harness.caller().send()
        full = failing(clients.listener.accept, OSError(errno.EMFILE, "no descriptor"))
        clients.listener = Proxy(clients.listener, accept=full)
        drain = start_drain(harness)
        assert caller.receive().status == 200
        drain.join(5)


def test_aborted_accept_evicts_no_connection():
    with ServiceHarness() as harness:
        clients, known = harness.instance.clients, harness.caller()
        assert known.request().status == 200
        aborted = failing(clients.listener.accept, OSError(errno.ECONNABORTED, "gone"))
        clients.listener = Proxy(clients.listener, accept=aborted)
        assert harness.caller().request().status == 200  # taken by the accept() that already waits
        wait_until(lambda: harness.count("clients.not_accepted") == 1)
        assert harness.caller().request().status == 200
        assert not any(connection.reading_shut for connection in clients.connections.values())
        assert known.request().status == 200


# Hand-overs between threads

def test_run_slot_is_released_when_apply_fails():
    with ServiceHarness() as harness:
        link, driver = harness.instance.link, harness.instance.driver
        link.apply = failing(link.apply, MemoryError("none left"))
        assert harness.caller().request().status == 500
        wait_until(lambda: not driver.exchanges)
        assert driver.control.state_counts[RUNNING] == 0 and harness.count("clients.crashed") == 1
        assert harness.caller().request().status == 200


def test_repeat_is_answered_when_apply_of_its_run_fails():
    with ServiceHarness() as harness:
        link, joined = harness.instance.link, threading.Event()

        def fail(*_):
            assert joined.wait(5)
            raise MemoryError("none left")

        link.apply = fail
        first = harness.caller().send("booking", **KEY)
        wait_until(lambda: harness.instance.driver.control.state_counts[RUNNING] == 1)
        repeat = harness.caller().send("booking", **KEY)
        entries = harness.instance.driver.idempotency_table.entries
        wait_until(lambda: any(entry.waiters for entry in entries.values()))
        joined.set()
        assert (first.receive().status, repeat.receive().status) == (500, 500)
        assert harness.instance.driver.control.state_counts[RUNNING] == 0


@pytest.mark.parametrize("state", [QUEUED, WAITING, CALLING])
def test_failed_rpc_thread_leaves_no_state_behind(state):
    """Whatever state its RPC was in, all counts return to zero."""
    with ServiceHarness(Interpreter(auto=False), ScriptedHttpServer(None)) as harness:
        driver = harness.instance.driver
        harness.set_gauges(1.0, 2.0)  # busy: no more runs than cores
        callers = [harness.caller().send() for _ in range(2 if state == QUEUED else 1)]
        request_ids = harness.interpreter.await_runs(len(callers))
        if state == QUEUED:
            callers.append(harness.caller().send())
        else:
            if state == WAITING:
                driver.control.next_call_at = 1 << 62  # no call may start
            harness.interpreter.send_notice("AWAIT", request_ids[0], b"a call")
        exchange = wait_until(
            lambda: next((e for e in list(driver.exchanges.values()) if e.rpc.state == state), None))
        if state == CALLING:
            wait_until(lambda: harness.ledger.received)
        with driver.lock:
            exchange.post("not an event")  # makes its handling fail
        assert callers[-1].receive().status == 500
        assert state != QUEUED or driver.control.state_counts[QUEUED] == 0
        for request_id in request_ids:
            harness.interpreter.end(request_id, result="cut")
        wait_until(lambda: not driver.exchanges)
        assert not any(driver.control.state_counts[state] for state in (QUEUED, RUNNING, WAITING, CALLING))


def test_call_is_not_made_when_its_rpc_ends_as_it_starts():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        driver, caller = harness.instance.driver, harness.caller().send()
        request_id, = harness.interpreter.await_runs()
        register_cancel = driver.register_cancel

        def late(exchange, cancel):
            if cancel is not None:
                caller.sock.close()
                wait_until(lambda: harness.count("rpc.gone") == 1)
            return register_cancel(exchange, cancel)

        driver.register_cancel = late
        harness.interpreter.send_notice("AWAIT", request_id, b"a call")
        wait_until(lambda: harness.interpreter.commands("BREAK"))
        harness.interpreter.end(request_id, result="cut")
        wait_until(lambda: not driver.exchanges)
        assert harness.count("ledger.connections") == 0 and not harness.ledger.received


# Eviction and descriptors

def test_eviction_prefers_idle_connections_to_a_slow_first_message():
    with ServiceHarness(limits={"sockets": 64}) as harness:
        first, rest = half()
        slow = harness.caller()
        slow.sock.sendall(first)
        started_at = time.monotonic()
        known = [harness.caller() for _ in range(42)]
        assert [caller.request().status for caller in known] == [200] * 42
        wait_until(lambda: time.monotonic() - started_at > clients_module.MIN_CONNECTION_AGE_S)
        newest = harness.caller()  # stays open, so that the table is full
        assert newest.request().status == 200  # one idle connection was evicted
        assert known[0].wait_closed()
        slow.sock.sendall(rest)
        assert slow.receive().status == 200


def test_full_client_table_leaves_descriptors_for_reports_and_calls():
    """Idle clients fill the table while the control plane is down."""
    with ServiceHarness(Interpreter(auto=False), limits={"sockets": 64}) as harness:
        harness.control.close()
        idle_clients = [harness.caller() for _ in range(120)]
        wait_until(lambda: harness.instance.clients.count() == 44)
        wait_until(lambda: harness.count("registry.failures"))
        reports = len(harness.control.received)
        caller = harness.caller().send()
        request_id, = harness.interpreter.await_runs()
        harness.interpreter.send_notice("AWAIT", request_id, b"a call")
        wait_until(lambda: harness.interpreter.commands("RESOLVE"))
        harness.control.listen()
        wait_until(lambda: len(harness.control.received) > reports)
        harness.interpreter.end(request_id, b"served")
        assert caller.receive().body == b"served" and idle_clients[0].wait_closed()


# Repeats

def test_repeat_joins_its_run_across_a_reload():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        first = harness.caller().send("booking", b"x", **KEY)
        request_id, = harness.interpreter.await_runs()
        harness.json_config["ledger"] = harness.json_config["control"]
        harness.instance.reload(harness.config(None))
        first.sock.close()
        wait_until(lambda: harness.count("rpc.gone") == 1)
        repeat = harness.caller().send("booking", b"x", **KEY)
        wait_until(lambda: harness.count("rpc.read") == 2)
        harness.interpreter.end(request_id, b"booked")
        assert repeat.receive().body == b"booked" and len(harness.interpreter.commands("APPLY")) == 1


def test_percent_encoded_method_name():
    with ServiceHarness() as harness:
        clients = harness.instance.clients
        clients.methods["zone map"] = clients.methods["lookup"]
        assert harness.caller().request("zone%20map").status == 200
        assert harness.interpreter.commands("APPLY")[0]["method"] == "zone map"
        assert harness.caller().request("zone%2map").status == 404
