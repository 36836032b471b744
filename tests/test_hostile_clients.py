"""Clients that take all they can get, at the full extent of the limits: memory stays bounded, others are served."""
import contextlib
import resource
import socket
import struct
import threading
import time

import pytest
from helpers import SECOND, TICK, Caller, ControlHarness, Interpreter, ServiceHarness, booking, lookup, wait_until
from test_service import KEY, RPC, process  # noqa: F401 (a fixture)

from hollystage.decisions.message_rate import BURST, MESSAGE_INTERVAL
from hollystage.interface import ActionKind, Method, MethodKind
from hollystage.service.clients import ClientConnections
from hollystage.service.exchange import Exchange
from hollystage.service.idempotency import IdempotencyTable
from hollystage.standins.caller import REQUEST_NUMBERS

MAX_CLIENTS = 704  # of 1,024 descriptors; see connection.max_client_connections
HALF_OF_THE_LIMIT_KB = 192 * 1024 // 2


@pytest.fixture
def many_descriptors():
    """Lets this process open a connection for each client of an instance."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard if hard < 4096 and hard != -1 else 4096, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def peak_memory_kb(started):
    """Returns the largest resident memory that a process has had."""
    status = dict(line.split(":", 1) for line in open(f"/proc/{started.pid}/status"))
    return int(status["VmHWM"].split()[0])


SHORT_FIELDS = b"".join(b"%03x:%02x\r\n" % (number, number % 256) for number in range(860))
LONG_FIELDS = b"".join(b"x-%02d:%s\r\n" % (number, b"%02d" % number * 34) for number in range(90))


def rpc_head(fields, method):
    """An RPC with these fields besides its own, and the length of the largest body, which is not sent."""
    head = RPC.split(b"\r\n\r\n")[0].replace(b"/svc/lookup", b"/svc/" + method)
    lines = [line for line in head.split(b"\r\n") if not line.startswith((b"Content-Length", b"X-Request-Start"))]
    lines += [b"X-Request-Start: %d" % (time.time() * 1000), b"Content-Length: 2048",
              b"Idempotency-Key: " + KEY["Idempotency_Key"].encode()]
    return b"\r\n".join(lines) + b"\r\n" + fields + b"\r\n"


@pytest.mark.parametrize("method", [b"lookup", b"booking", b"order"])
@pytest.mark.parametrize("fields, body", [(SHORT_FIELDS, b""), (LONG_FIELDS, b"x" * 1024)])
def test_heads_of_all_clients_in_one_instant_fit_into_memory(process, many_descriptors, fields, body, method):  # noqa: F811
    # guards against a process that passed its memory limit when all clients sent heads of very many short fields
    started, harness = process
    clients = [Caller(harness.listen) for _ in range(MAX_CLIENTS - 1)]
    for client in clients:
        client.sock.sendall(rpc_head(fields, method) + body)
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served"
    # 408: its body did not come; 400: its connection was evicted meanwhile
    assert {client.receive().status for client in clients} <= {400, 408, 431}
    assert peak_memory_kb(started) < HALF_OF_THE_LIMIT_KB


@pytest.mark.parametrize("process", [{"limits": {"memory_mb": 64, "sockets": 1024}},
                                     {"limits": {"memory_mb": 80, "sockets": 4096}}], indirect=True)
def test_connections_fit_into_the_memory_of_the_settings(process, many_descriptors):  # noqa: F811
    # guards against more connections than the memory holds, where the settings allow many descriptors
    started, harness = process
    memory_mb = harness.json_config["limits"]["memory_mb"]
    clients = [Caller(harness.listen) for _ in range(1200)]
    for client in clients:
        with contextlib.suppress(OSError):  # evicted
            client.sock.sendall(rpc_head(LONG_FIELDS, b"lookup") + b"x" * 1024)
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served"
    time.sleep(2.0)  # all that waited to be accepted has been
    assert peak_memory_kb(started) < memory_mb * 1024


# One client at full speed, in the decision module and its tables

ORDER = Method(MethodKind.NON_IDEMPOTENT, 2.0, 2 * SECOND, 6 * SECOND)


@pytest.mark.parametrize("method", [lookup(), booking(), ORDER], ids=["lookup", "booking", "order"])
def test_rejected_rpcs_leave_nothing_in_the_decision_module(method):
    # guards against memory that grew with each rejected RPC until its due time, which its caller chooses
    harness = ControlHarness(method)
    harness.fill()
    for number in range(5000):
        rpc = harness.send(timeout=-1, caller=number)
        assert harness.did(rpc) == [ActionKind.REJECT] and len(harness.actions) < 10_000
        harness.actions.clear()
    for number in range(5000):  # no time for one more run
        rpc = harness.send(timeout=60 * SECOND, unread_time=59 * SECOND, caller=number)
        harness.actions.clear()
    control = harness.control
    assert len(control.due_queue) <= 100 and len(control.last_seen) <= 4097 and len(control.clients) == 1


def test_caller_under_ever_new_numbers_does_not_end_the_connections_of_others():
    # guards against resets: such a caller lowered the idle limit of all connections to 10 ms
    harness = ControlHarness(lookup(), max_idle=20 * SECOND)
    for number in range(300):
        harness.send(timeout=-1, caller=number, kept_connection=number > 0)
        harness.advance(TICK)
    assert harness.control.idle_limit == 20 * SECOND


def test_keys_of_rpcs_that_were_replaced_leave_nothing_behind():
    # guards against a caller that repeats a queued RPC at full speed: each one was remembered for its window
    harness = ControlHarness(booking(window=3600 * SECOND))
    harness.fill()
    rpc, table = harness.send(), IdempotencyTable(0)
    for _ in range(5000):
        rpc = harness.send(earlier=rpc)
        harness.actions.clear()
    assert len(harness.control.key_expiries) <= 100 and len(harness.control.due_queue) <= 100
    exchange = Exchange(rpc, "0123456789abcdef", ("booking", "key"), b"")
    for _ in range(5000):
        table.add(exchange, 3600 * SECOND, harness.now)
        table.remove(exchange)
    assert len(table.expiries) <= 100


# One client at full speed, on a socket

HEALTH_CHECK = b"GET /status/live HTTP/1.1\r\nHost: s\r\n\r\n"


def late_rpc():
    """An RPC whose caller waits no longer, under a new caller number; it is rejected at once."""
    number = next(REQUEST_NUMBERS)
    rpc = RPC.replace(b"0123456789abcdef", b"%016x" % number).replace(b"X-Caller: 4", b"X-Caller: %d" % number)
    return rpc.replace(b"1764576000123", b"%d\r\nX-Timeout-Ms: 0" % (time.time() * 1000))


@pytest.mark.parametrize("make_message", [lambda: HEALTH_CHECK, late_rpc], ids=["health checks", "late RPCs"])
def test_client_at_full_speed_is_read_at_a_bounded_rate_until_a_drain(make_message):
    # guards against one client that takes the processor from all others by sending at full speed on one connection
    with ServiceHarness(Interpreter()) as harness:
        caller = harness.caller()
        messages = b"".join(make_message() for _ in range(2000))
        threading.Thread(target=caller.sock.sendall, args=(messages,), daemon=True).start()
        threading.Thread(target=read_all, args=(caller.sock,), daemon=True).start()
        started_at = time.monotonic()
        time.sleep(0.5)
        answered = sum(harness.count(f"clients.answers.{status}") for status in (200, 503))
        rate = (answered - BURST) / (time.monotonic() - started_at)
        assert 0 < rate <= 1.1 * SECOND / MESSAGE_INTERVAL
        assert harness.caller().request("order").status == 200
        harness.instance.drain()  # all that has arrived is answered
        assert not harness.instance.clients.count()


def read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(1 << 16):
            pass


# Callers that leave

METHODS = pytest.mark.parametrize("method", ["lookup", "booking", "order"])


def rpc_of(method, request_id):
    rpc = RPC.replace(b"/svc/lookup", b"/svc/" + method.encode()).replace(b"0123456789abcdef", request_id)
    return rpc.replace(b"1764576000123", b"%d\r\nIdempotency-Key: %s" % (time.time() * 1000, request_id))


@METHODS
@pytest.mark.parametrize("reset", [False, True])
def test_unread_rpcs_of_a_caller_that_has_left_are_not_run(monkeypatch, method, reset):
    # guards against unread RPCs that were sent on after their client had closed, before the watching thread noticed
    monkeypatch.setattr(ClientConnections, "watch_connections", lambda clients: None)
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller()
        caller.sock.sendall(b"".join(rpc_of(method, b"%016x" % number) for number in range(1, 21)))
        first, = harness.interpreter.await_runs()
        if reset:
            caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.sock.close()
        harness.interpreter.end(first, b"served")
        wait_until(lambda: not harness.instance.clients.count())
        assert [command["req"] for command in harness.interpreter.commands("APPLY")] == [f"{1:016x}"]
        assert not harness.instance.driver.exchanges


@METHODS
@pytest.mark.parametrize("first_end", ["good", "cut", "gone"])
def test_id_that_comes_again_after_its_caller_left_runs_once(method, first_end):
    # guards against a second run of an id whose first caller had left
    with ServiceHarness(Interpreter(auto=False)) as harness:
        driver, request_id = harness.instance.driver, "00000000abcdef12"
        caller = harness.caller().send(method, request_id=request_id, Idempotency_Key="a")
        harness.interpreter.await_runs()
        caller.sock.close()
        wait_until(lambda: harness.count("rpc.gone"))
        harness.interpreter.send_notice("VALUE", request_id, b"served", result=first_end, elapsed_ms=1)
        wait_until(lambda: not driver.exchanges)
        # the same id under another key, with its letters in the other case
        again = harness.caller().send(method, request_id=request_id.upper(), Idempotency_Key="b")
        if method == "lookup" or first_end == "gone":  # may run twice, or never ran
            wait_until(lambda: len(harness.interpreter.commands("APPLY")) == 2)
        else:
            assert again.receive().status == 400 and len(harness.interpreter.commands("APPLY")) == 1


def test_repeat_under_the_same_id_and_key_gets_the_result_of_the_run():
    with ServiceHarness(Interpreter()) as harness:
        results = [harness.caller().request("booking", request_id="00000000abcdef12", Idempotency_Key="a")
                   for _ in range(2)]
        assert [result.status for result in results] == [200, 200] and results[0].body == results[1].body
        assert len(harness.interpreter.commands("APPLY")) == 1
