"""One instance on real sockets with stand-ins, inside the test process and as a process of its own."""
import contextlib
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import (
    LONG_DEADLINES,
    SETTINGS,
    START_TIMEOUT_S,
    Interpreter,
    ScriptedHttpServer,
    ServiceHarness,
    reply,
    wait_until,
)

from hollystage.interface import Outcome
from hollystage.service.config import parse
from hollystage.service.driver import clock
from hollystage.service.http import encode_request
from hollystage.settings import ConfigError

KEY = {"Idempotency_Key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
UNTOUCHED = {"X_Untouched": "1"}


def test_rpcs_on_one_connection_return_results_unchanged():
    with ServiceHarness() as harness:
        caller = harness.caller()
        for body in (b"", bytes(range(256)) * 8, b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"):
            answer = caller.request(body=body)
            assert (answer.status, answer.body, answer.keep_alive) == (200, b"ran " + body, True)
        assert [command["method"] for command in harness.interpreter.commands("APPLY")] == ["lookup"] * 3
        assert harness.count("rpc.ok") == 3 and harness.count("clients.connections") == 1


def test_largest_result_arrives_in_partial_lines():
    interpreter = Interpreter(auto=False)
    interpreter.fragment_bytes = 100
    with ServiceHarness(interpreter) as harness:
        caller = harness.caller().send()
        harness.interpreter.end(interpreter.await_runs()[0], bytes(4096))
        assert caller.receive().body == bytes(4096)


def test_pipelined_rpcs_are_answered_in_order():
    with ServiceHarness() as harness:
        caller = harness.caller()
        for body in (b"1", b"2", b"3"):
            caller.send(body=body)
        assert [caller.receive().body for _ in range(3)] == [b"ran 1", b"ran 2", b"ran 3"]


def test_rejection_carries_the_advice_of_the_decision_module():
    with ServiceHarness() as harness:
        caller = harness.caller()
        wait_until(lambda: harness.instance.driver.load_signal is not None)
        late = caller.request(X_Request_Start=str(int(time.time() * 1000) - 2500))
        assert late.status == 503 and late.keep_alive and late.body == b""
        assert 0 < int(late.fields["retry-after-ms"]) <= 1000 and late.fields["x-dont-retry"] == "1"
        assert float(late.fields["x-load-signal"]) >= 0
        assert not harness.interpreter.commands("APPLY") and caller.request().status == 200


@pytest.mark.parametrize("method, fields, halted", [("lookup", {}, True), ("booking", KEY, False)])
def test_close_by_the_caller_is_reported_at_once(method, fields, halted):
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send(method, **fields)
        request_id = harness.interpreter.await_runs()[0]
        caller.sock.close()
        wait_until(lambda: harness.count("rpc.gone") == 1)
        if halted:
            assert wait_until(lambda: harness.interpreter.commands("BREAK"))[0]["req"] == request_id
        harness.interpreter.end(request_id, result="cut" if halted else "good")
        wait_until(lambda: not harness.instance.driver.exchanges)
        assert len(harness.interpreter.commands("BREAK")) == halted


def test_answer_is_sent_by_the_due_time_while_the_run_continues():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        started_at = time.monotonic()
        caller = harness.caller()
        assert caller.request(X_Timeout_Ms="300").status == 500 and time.monotonic() - started_at < 0.35
        (request_id,) = harness.interpreter.await_runs()
        wait_until(lambda: harness.interpreter.commands("BREAK"))
        harness.interpreter.end(request_id, result="cut")
        wait_until(lambda: not harness.instance.driver.exchanges)


def get(caller, target):
    """Sends a GET request and returns the status."""
    caller.sock.sendall(encode_request("GET", target, "service.internal", {}, b""))
    return caller.receive().status


def test_health_checks():
    with ServiceHarness() as harness:
        caller = harness.caller()
        wait_until(lambda: harness.instance.link.synced)
        assert get(caller, "/status/live") == 200 and not harness.interpreter.commands("SMOKE")
        assert get(caller, "/status/live?deep=1") == 200 and harness.interpreter.commands("SMOKE")
        harness.interpreter.responsive = False
        assert get(caller, "/status/live?deep=1") == 503 and get(caller, "/status/live") == 200


RPC = (b"POST /svc/lookup HTTP/1.1\r\nX-Request-Id: 0123456789abcdef\r\nX-Request-Start: 1764576000123\r\n"
       b"X-Caller: 4\r\nX-Memory-Kb: 24.5\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("old, new, status", [
    (b"POST", b"GET", 405), (b"/svc/lookup", b"/svc/nothing", 404), (b"/svc/lookup", b"/lookup", 404),
    (b"/svc/lookup", b"http://a/svc/lookup", 404), (b"/svc/lookup", b"/svc/booking", 400),
    (b"0123456789abcdef", b"0123", 400), (b"1764576000123", b"-5", 400), (b"1764576000123", b"", 400),
    (b"X-Caller: 4\r\n", b"", 400), (b"Caller: 4", b"Caller: four", 400), (b"24.5", b"nan", 400),
    (b"24.5", b"0", 400), (b"24.5", b"1e3", 400), (b"24.5", b"2000", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Timeout-Ms: -1", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Timeout-Ms: 90000000", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Rank: 1", 400), (b"X-Caller: 4", b"X-Caller: 4\r\nX-Rank: -0.5", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Rank: nan", 400), (b"X-Caller: 4", b"X-Caller: 4\r\nX-Object: ", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Object: 1\r\nX-Object: 2", 400),
    (b"X-Caller: 4", b"X-Caller: 4\r\nX-Retry: 7", 400), (b"0123456789abcdef", b"0123456789abcdeg", 400),
    (b"1764576000123", b"1", 400), (b"1764576000123", b"999999999999999", 400),
    (b"Length: 0", b"Length: 0\r\nContent-Length: 0", 400), (b"Length: 0", b"Length: 4000", 413),
    (b"Content-Length: 0", b"Transfer-Encoding: chunked", 411), (b"POST /svc/lookup HTTP/1.1", b"?", 400),
])
def test_rejects_invalid_requests_and_leaves_other_connections_alone(old, new, status):
    assert RPC.count(old) == 1
    with ServiceHarness() as harness:
        neighbour, caller = harness.caller(), harness.caller()
        assert neighbour.request().status == 200
        caller.sock.sendall(RPC.replace(old, new))
        answer = caller.receive()
        assert answer.status == status and not answer.keep_alive and caller.wait_closed()
        assert harness.count(f"clients.bad.{status}") == 1 and len(harness.interpreter.commands("APPLY")) == 1
        assert neighbour.request().status == 200


def test_rejects_idempotency_key_with_another_body():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send("booking", b"mine", **KEY)
        (request_id,) = harness.interpreter.await_runs()
        assert harness.caller().request("booking", b"other", **KEY).status == 400  # while the run is in progress
        harness.interpreter.end(request_id, b"booked")
        assert caller.receive().body == b"booked"
        assert harness.caller().request("booking", b"other", **KEY).status == 400  # and after its end
        assert harness.caller().request("booking", b"mine", **KEY).body == b"booked"
        assert harness.count("rpc.read") == 2 and len(harness.interpreter.commands("APPLY")) == 1


def test_request_smuggled_behind_two_lengths_is_never_read():
    """Content-Length together with Transfer-Encoding is ambiguous."""
    with ServiceHarness() as harness:
        caller = harness.caller()
        inner = RPC.replace(b"1764576000123", b"%d" % (time.time() * 1000))
        both = b"Content-Length: %d\r\nTransfer-Encoding: chunked" % (len(inner) + 5)
        caller.sock.sendall(RPC.replace(b"Content-Length: 0", both) + b"0\r\n\r\n" + inner)
        assert caller.receive().status == 411 and caller.wait_closed() and not harness.interpreter.commands("APPLY")


@pytest.mark.parametrize("sent", [b"", RPC])
def test_first_message_timeout_closes_silent_and_slow_connections(monkeypatch, sent):
    """An established connection is not affected."""
    monkeypatch.setattr("hollystage.service.clients.FIRST_MESSAGE_TIMEOUT_S", 0.4)
    with ServiceHarness() as harness:
        established, slow, started_at = harness.caller(), harness.caller(), time.monotonic()
        assert established.request().status == 200
        for byte in sent:
            slow.sock.sendall(bytes([byte]))
            if select.select([slow.sock], [], [], 0.03)[0]:  # closed, long before the last byte
                break
        assert ((slow.receive().status == 408 if sent else slow.wait_closed())
                and 0.3 < time.monotonic() - started_at < 1.5)
        assert (established.request().status == 200
                and harness.count("clients.slow" if sent else "clients.silent") == 1)


def test_rejects_incomplete_message_and_request_id_in_use():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller()
        caller.sock.sendall(RPC[:40])
        caller.sock.shutdown(1)
        assert caller.receive().status == 400 and caller.wait_closed()
        first = harness.caller().send()
        request_id = harness.interpreter.await_runs()[0]
        assert harness.caller().request(request_id=request_id).status == 400
        harness.interpreter.end(request_id, b"one")
        assert first.receive().body == b"one"


def test_answer_survives_unread_input():
    with ServiceHarness() as harness:
        for _ in range(20):
            caller = harness.caller()
            caller.sock.sendall(RPC.replace(b"Length: 0", b"Length: 9000000") + bytes(9_000_000))
            assert caller.receive().status == 413


def test_stale_close_event_does_not_affect_a_reused_descriptor():
    """A close event may be handled after another connection got the descriptor."""
    class StaleEvents:
        """An epoll that first returns given events."""

        def __init__(self, epoll, events):
            self.epoll, self.events = epoll, events

        def poll(self, timeout):
            return [self.events.pop()] if self.events else self.epoll.poll(timeout)

        def __getattr__(self, name):
            return getattr(self.epoll, name)

    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send()
        (request_id,) = harness.interpreter.await_runs()
        clients = harness.instance.clients
        events = [(descriptor, 0x2000) for descriptor in clients.connections]
        clients.epoll = StaleEvents(clients.epoll, events)
        wait_until(lambda: not events)
        time.sleep(0.05)
        harness.interpreter.end(request_id, b"fine")
        assert caller.receive().body == b"fine" and harness.count("rpc.gone") == 0


def test_rpc_in_transit_while_the_connection_is_shut_is_answered():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller, clients = harness.caller().send(), harness.instance.clients
        (request_id,) = harness.interpreter.await_runs()
        with clients.lock:
            clients._shut_reading(*clients.connections.values())
        time.sleep(0.05)
        harness.interpreter.end(request_id, b"crossed")
        answer = caller.receive()
        assert (answer.body, answer.keep_alive) == (b"crossed", False) and harness.count("rpc.gone") == 0


def test_reset_within_a_message_is_not_an_internal_error():
    with ServiceHarness() as harness:
        caller = harness.caller()
        caller.sock.sendall(RPC[:40])
        wait_until(lambda: any(not c.idle_since for c in harness.instance.clients.connections.values()))
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        caller.sock.close()
        wait_until(lambda: harness.count("clients.broken") == 1)
        assert harness.count("clients.crashed") == 0


def test_idle_limit_closes_only_connections_without_an_rpc():
    """The decision module shortens the limit, since the caller of the only RPC was not seen before."""
    settings = SETTINGS | {"Domain": SETTINGS["Domain"] | {"IdleUs": 30_000_000}}
    with ServiceHarness(Interpreter(auto=False), settings=settings) as harness:
        busy, idle = harness.caller().send(), harness.caller()
        request_id = harness.interpreter.await_runs()[0]
        assert idle.wait_closed() and harness.count("clients.idle_closed") == 1
        harness.interpreter.end(request_id, b"late")
        assert busy.receive().body == b"late" and busy.wait_closed()


def test_full_table_evicts_idle_connections():
    with ServiceHarness(limits={"sockets": 64}) as harness:
        established = harness.caller()
        assert established.request().status == 200
        new_clients = [harness.caller() for _ in range(60)]
        for caller in new_clients[::2]:
            caller.sock.sendall(RPC[:40])
        assert [harness.caller().request().status for _ in range(3)] == [200] * 3
        assert len(os.listdir("/proc/self/fd")) > 60 and harness.instance.clients.count() <= 44
        assert [caller.sock.recv(9) for caller in new_clients[:20:2]] == [b"HTTP/1.1 "] * 10  # 400
        assert sum(caller.wait_closed() for caller in new_clients[1:20:2]) == 10
        assert established.request().status == 200  # not evicted before those that sent nothing


def test_the_tenant_and_the_cost_of_an_rpc_reach_the_module():
    tenants = [{"Name": "walk-up", "QuotaPerS": 5.0}, {"Name": "Agents & Co", "QuotaPerS": 3.0}]
    with ServiceHarness(Interpreter(auto=False), settings=SETTINGS | {"Tenants": tenants}) as harness:
        caller = harness.caller().send(X_Tenant="Agents & Co", X_Cost_Ms="507.12")
        harness.interpreter.await_runs()
        exchange, = harness.instance.driver.exchanges.values()
        assert exchange.rpc.tenant is harness.instance.driver.settings.tenants[1]
        assert exchange.rpc.work_hint == 507_120
        caller.sock.close()


# The interpreter

@pytest.mark.parametrize("late", ["listening", "banner"])
def test_interpreter_that_starts_late(late):
    interpreter = Interpreter(banner="" if late == "banner" else "new")
    if late == "listening":
        interpreter.close()
    with ServiceHarness(interpreter) as harness:
        caller = harness.caller()
        assert get(caller, "/status/live") == 200
        if late == "listening":
            interpreter.listen()
        else:
            wait_until(lambda: interpreter.commands("CONNECT"))
            time.sleep(0.1)
            interpreter.send_banner("new")
        wait_until(lambda: harness.instance.link.synced)
        assert harness.instance.driver.settings.cold and caller.request().status == 200


def test_reconnect_loses_no_run_and_repeats_none():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        first = harness.caller().send(body=b"1")
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.send_notice("AWAIT", request_id, b"a call")
        wait_until(lambda: harness.interpreter.commands("RESOLVE"))
        harness.interpreter.close()
        second = harness.caller().send(body=b"2")
        harness.interpreter.end(request_id, b"one")  # the link is down: not read yet
        wait_until(lambda: not harness.instance.link.synced)
        harness.interpreter.listen()
        assert first.receive().body == b"one"
        again = harness.interpreter.await_runs(2)[-1]
        assert harness.interpreter.commands("CONNECT")[-1]["offset"] == 1 and again != request_id
        harness.interpreter.end(again, b"two")
        assert second.receive().body == b"two" and len(harness.interpreter.commands("APPLY")) == 2


def test_reconnect_resends_apply_without_a_notice():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send()
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.drop_connections()
        assert harness.interpreter.await_runs(2) == [request_id, request_id]
        harness.interpreter.end(request_id, b"once")
        assert caller.receive().body == b"once"


@pytest.mark.parametrize("line", [b"garbage\n", b'{"cmd":7}\n', b'{"cmd":"DANCE"}\n',
                                  b'{"cmd":"VALUE","offset":1,"result":"odd"}\n',
                                  b"[" * 9000 + b"\n", b"\xff\xfe\n"])
def test_invalid_notice_closes_the_link_and_reconnects(line):
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send()
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.sock.sendall(line)
        wait_until(lambda: len(harness.interpreter.commands("CONNECT")) == 2)
        harness.interpreter.notices.clear()
        harness.instance.link.offset = 0
        harness.interpreter.end(request_id, b"fine")
        assert caller.receive().body == b"fine" and harness.count("interpreter.broken") == 1


def test_commands_are_sent_without_blocking_or_another_thread():
    with ServiceHarness(Interpreter()) as harness:
        link, caller = harness.instance.link, harness.caller()
        wait_until(lambda: link.synced)
        queue, link.send_queue = link.send_queue, None  # the writing thread receives nothing more
        assert caller.request().status == 200
        link.send_queue = queue
        with harness.interpreter.lock:  # the interpreter reads nothing
            started_at = time.monotonic()
            for number in range(100):
                with link.lock:
                    link._send({"cmd": "TOP", "token": f"{number} " + "x" * 100_000})
            assert link.queued_lines and time.monotonic() - started_at < 1
        assert caller.request().status == 200  # sent after all of these
        numbers = [c["token"].split()[0] for c in harness.interpreter.commands("TOP") if " " in c["token"]]
        assert numbers == [str(number) for number in range(100)] and harness.count("interpreter.links") == 1


def test_irrelevant_notices_and_declined_commands_keep_the_link():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send()
        (request_id,) = harness.interpreter.await_runs()
        wait_until(lambda: harness.instance.driver.control.cpu_busy == 0.1)  # gauges reach the decision module
        harness.interpreter.sock.sendall(b"".join(json.dumps(notice).encode() + b"\n" for notice in (
            {"cmd": "TRACE", "offset": 1, "result": "a remark" * 9000},
            {"cmd": "TRACE", "offset": 2, "req": [1]},
            {"cmd": "VALUE", "offset": 3, "req": "feedfeedfeedfeed", "result": "good", "elapsed_ms": 1},
            {"cmd": "VALUE", "offset": 3, "req": request_id, "result": "good", "elapsed_ms": 1})))  # repeated offset
        with harness.interpreter.lock:
            harness.interpreter.write_notice({"cmd": "ERROR", "result": "BREAK", "req": request_id})
            harness.interpreter.write_notice({"cmd": "ERROR", "result": "APPLY", "req": request_id})
        assert caller.receive().status == 500 and harness.count("interpreter.unknown") == 1
        assert harness.count("interpreter.links") == 1  # the link stayed open


def test_instance_without_a_ledger_serves_where_nothing_is_called():
    """Guards against a start that fails where the platform names no ledger, as the settings state no dependency."""
    domain = SETTINGS["Domain"] | {"DependsOn": "none", "CallsOut": 0}
    harness = ServiceHarness(Interpreter(auto=False), settings=SETTINGS | {"Domain": domain})
    del harness.json_config["ledger"]
    with harness:
        caller = harness.caller().send("order", X_Timeout_Ms="300")
        request_id, = harness.interpreter.await_runs()
        harness.instance.reload(harness.config(None))
        harness.interpreter.send_notice("AWAIT", request_id, b"a call all the same")
        assert caller.receive().status == 500
        outcome, _ = harness.instance.ledger.post(request_id, 100_000, b"", lambda cancel: True)
        assert outcome is Outcome.CONNECT_FAILED  # no call ran, so one may be made again


def test_health_check_is_resent_after_a_reconnect():
    with ServiceHarness() as harness:
        wait_until(lambda: harness.instance.link.synced)
        harness.interpreter.close()
        wait_until(lambda: not harness.instance.link.synced)
        caller = harness.caller()
        threading.Timer(0.2, harness.interpreter.listen).start()
        assert get(caller, "/status/live?deep=1") == 200


# The ledger

@pytest.mark.parametrize("method, replies, commands, status", [
    ("lookup", [reply(200, b"posted")], ["RESOLVE"], 200),
    ("lookup", [reply(503, **UNTOUCHED)], ["STUB"], 200),
    ("lookup", [reply(500)], ["STUB"], 200),
    ("lookup", [reply(504)], ["STUB"], 200),
    ("lookup", [b"nonsense\r\n\r\n"], ["STUB"], 200),
    ("lookup", [b""], ["STUB"], 200),
    ("lookup", [None], ["STUB"], 200),
    ("lookup", [reply(409, **UNTOUCHED)], [], 200),
    ("order", [reply(503, **UNTOUCHED), reply(200, b"posted")], ["RESOLVE"], 200),
    ("order", [reply(503), reply(200)], [], 500),
    ("order", [reply(500), reply(200)], [], 500),
    ("order", [reply(504), reply(200)], [], 500),
    ("order", [b"", reply(200)], [], 500),
    ("order", [reply(200)[:30] + b"\r\n\r\n", reply(200)], [], 500),
])
def test_outcome_of_each_ledger_reply(method, replies, commands, status):
    """Each reply determines the command to the interpreter, the retries and the status of the answer."""
    with ServiceHarness(Interpreter(auto=False), ScriptedHttpServer(*replies)) as harness:
        caller = harness.caller().send(method)
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.send_notice("AWAIT", request_id, b"the call")
        for command in commands:
            sent = wait_until(lambda command=command: harness.interpreter.commands(command))[0]
            assert sent["req"] == request_id and sent.get("payload", "cG9zdGVk") == "cG9zdGVk"
            assert sent.get("offset", 1) == 1
        if status == 200:
            wait_until(lambda: harness.ledger.received)
            harness.interpreter.end(request_id, b"fine")
        assert caller.receive().status == status
        call = harness.ledger.received[0]
        assert (call.body, call.fields["x-txn-ref"]) == (b"the call", request_id)
        # a call whose reply was lost is retried a few times if it may run twice and time is left; with None no reply
        # comes and no time is left; a refused call of `order` is retried because it did not run
        lost = method == "lookup" and replies[0] in (reply(504), b"nonsense\r\n\r\n", b"")
        assert len(harness.ledger.received) == (3 if lost else 2 if method == "order" and commands else 1)
        assert not harness.interpreter.commands("RESOLVE") or commands == ["RESOLVE"]


def test_call_ignores_interim_and_surplus_replies():
    early = b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n"
    replies = [early + reply(200, b"posted") + reply(200, b"another's"), reply(200, b"2") + b"noise"]
    with ServiceHarness(Interpreter(auto=False), ScriptedHttpServer(*replies, reply(200, b"3"))) as harness:
        for count, payload in enumerate(("cG9zdGVk", "Mg==", "Mw=="), 1):
            caller = harness.caller().send()
            request_id = harness.interpreter.await_runs(count)[-1]
            harness.interpreter.send_notice("AWAIT", request_id)
            wait_until(lambda count=count: len(harness.interpreter.commands("RESOLVE")) == count)
            assert harness.interpreter.commands("RESOLVE")[-1]["payload"] == payload
            harness.interpreter.end(request_id)
            assert caller.receive().status == 200
        wait_until(lambda: len(harness.ledger.closed_connections) == 3)  # no connection is reused
        assert harness.count("ledger.ok") == 3


@pytest.mark.parametrize("how", ["gone", "late"])
def test_call_is_cancelled_when_its_rpc_ends(how):
    with ServiceHarness(Interpreter(auto=False), ScriptedHttpServer(None)) as harness:
        caller = harness.caller().send("order", X_Timeout_Ms="700" if how == "late" else "3000")
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.send_notice("AWAIT", request_id)
        wait_until(lambda: harness.ledger.received)
        if how == "gone":
            caller.sock.close()
        else:
            started_at = time.monotonic()
            assert caller.receive().status == 500 and time.monotonic() - started_at < 0.75
        harness.ledger.connections[0].settimeout(2)
        wait_until(lambda: harness.ledger.closed_connections
                   and harness.count("rpc.gone" if how == "gone" else "rpc.aborted"))
        harness.interpreter.end(request_id, result="cut")
        wait_until(lambda: not harness.instance.driver.exchanges)


def test_refused_ledger_connection_proves_that_no_call_ran():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        harness.ledger.close()
        caller = harness.caller().send()
        (request_id,) = harness.interpreter.await_runs()
        harness.interpreter.send_notice("AWAIT", request_id)
        wait_until(lambda: harness.interpreter.commands("STUB"))
        harness.interpreter.end(request_id)
        assert caller.receive().status == 200 and harness.count("ledger.connect_failed") == 1
        again = harness.caller().send("order")  # retried, with a pause between attempts
        harness.interpreter.send_notice("AWAIT", harness.interpreter.await_runs(2)[-1])
        time.sleep(0.3)
        assert 3 < harness.count("ledger.connect_failed") < 20
        harness.ledger.listen()
        wait_until(lambda: harness.interpreter.commands("RESOLVE"))
        again.sock.close()


# Repeats

def test_repeats_of_a_running_or_finished_rpc_get_its_result():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        callers = [harness.caller().send("booking", b"x", **KEY) for _ in range(4)]
        (request_id,) = harness.interpreter.await_runs()
        wait_until(lambda: harness.count("rpc.read") == 4)
        callers[0].sock.close() if callers[0].request_id == request_id else callers[1].sock.close()
        wait_until(lambda: harness.count("rpc.gone") == 1)
        harness.interpreter.end(request_id, b"booked")
        waiting = [caller for caller in callers if caller.sock.fileno() >= 0]
        assert [caller.receive().body for caller in waiting] == [b"booked"] * 3
        assert harness.caller().request("booking", b"x", **KEY).body == b"booked"
        assert len(harness.interpreter.commands("APPLY")) == 1


def test_repeat_of_an_aborted_or_failed_run_is_not_run():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        assert harness.caller().request("booking", X_Timeout_Ms="300", **KEY).status == 500
        (request_id,) = harness.interpreter.await_runs()
        repeat = harness.caller().send("booking", **KEY)
        harness.interpreter.end(request_id, result="bad")
        assert repeat.receive().status == 500 and harness.caller().request("booking", **KEY).status == 500
        assert len(harness.interpreter.commands("APPLY")) == 1


def test_repeat_of_a_run_that_never_started_is_run():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        caller = harness.caller().send("booking", **KEY)
        harness.interpreter.end(harness.interpreter.await_runs()[0], result="gone")
        assert caller.receive().status == 500
        repeat = harness.caller().send("booking", **KEY)
        harness.interpreter.end(harness.interpreter.await_runs(2)[-1], b"booked")
        assert repeat.receive().body == b"booked"


def test_repeat_of_a_rejected_or_abandoned_rpc_is_run():
    with ServiceHarness(Interpreter(auto=False)) as harness:
        harness.set_gauges(1.0, 2.0)  # busy: no more runs than cores
        late = str(int(time.time() * 1000) - 2500)
        assert harness.caller().request("booking", X_Request_Start=late, **KEY).status == 503
        running = [harness.caller().send() for _ in range(2)]
        assert len(harness.interpreter.await_runs(2)) == 2
        first = running[0].request_id
        queued = harness.caller().send("booking", b"x", **KEY)
        wait_until(lambda: harness.count("rpc.read") == 4)
        newer = harness.caller().send("booking", b"x", **KEY)
        assert queued.receive().status == 503
        newer.sock.close()
        wait_until(lambda: harness.count("rpc.gone") == 1)
        last = harness.caller().send("booking", b"x", **KEY)
        harness.interpreter.end(first)
        request_id = harness.interpreter.await_runs(3)[-1]
        assert request_id == last.request_id
        harness.interpreter.end(request_id, b"booked")
        assert last.receive().body == b"booked" and running[0].receive().status == 200


@pytest.mark.parametrize("age, runs", [(0, 1), (8_000, 1), (13_000, 2)])
def test_idempotency_entry_outlasts_the_window_and_then_expires(age, runs):
    with ServiceHarness() as harness:
        assert harness.caller().request("booking", **KEY).status == 200
        table = harness.instance.driver.idempotency_table
        with harness.instance.driver.lock:
            table.expire(time.time_ns() // 1000 + age * 1000)
        assert harness.caller().request("booking", **KEY).status == 200
        assert len(harness.interpreter.commands("APPLY")) == runs


# The control plane

@pytest.mark.parametrize("replies", [None, [None], [reply(500)], [b"garbage\r\n\r\n"], [b""]])
def test_unresponsive_control_plane_does_not_block_serving(replies):
    control = ScriptedHttpServer(*(replies or [reply(204)]), listening=replies is not None)
    with ServiceHarness(control=control) as harness:
        assert harness.caller().request().status == 200
        wait_until(lambda: harness.count("registry.failures") >= 2)
        control.replies = [reply(204)]
        control.drop_connections()
        if replies is None:
            control.listen()
        wait_until(lambda: harness.count("registry.reports") >= 2)


def test_reports_are_periodic_and_follow_a_health_change():
    with ServiceHarness() as harness:
        wait_until(lambda: len(harness.control.received) >= 2)
        assert harness.control.received[-1].path == "/v2/endpoints/n3"
        assert json.loads(harness.control.received[-1].body) == {"condition": "Ready"}
        reports = len(harness.control.received)
        harness.instance.driver.start_drain(1_000_000, clock())
        wait_until(lambda: len(harness.control.received) > reports, 0.5)
        assert json.loads(harness.control.received[-1].body) == {"condition": "NotReady"}


# The process

def start(path, harness):
    """Starts the service as a process and waits until it serves."""
    path.write_text(json.dumps(harness.json_config))
    started = subprocess.Popen([sys.executable, "-m", "hollystage", "serve"], stderr=subprocess.PIPE,
                               env={**os.environ, "PROXY_CONFIG": str(path)})
    wait_until(lambda: harness.control.received, START_TIMEOUT_S)
    assert get(harness.caller(), "/status/live") == 200  # it serves before its first report
    wait_until(lambda: harness.interpreter.commands("TOP"))
    return started


def read_log(started, words):
    """Reads the log of a process up to a line with these words and returns it; kills the process if none comes."""
    watchdog, log = threading.Timer(START_TIMEOUT_S, started.kill), ""
    watchdog.start()
    while words not in log:
        line = started.stderr.readline().decode()
        assert line, log
        log += line
    watchdog.cancel()
    return log


@pytest.fixture
def process(tmp_path, request):
    harness = ServiceHarness(Interpreter(auto=False), **getattr(request, "param", {}))
    started = start(tmp_path / "config.json", harness)
    yield started, harness
    started.kill()
    started.stderr.close()


@pytest.mark.parametrize("sent", [signal.SIGTERM, signal.SIGINT])
def test_drain_answers_all_rpcs_and_refuses_connections_after_the_grace(process, sent):
    started, harness = process
    running, idle = harness.caller().send("order"), harness.caller()
    (request_id,) = harness.interpreter.await_runs()
    started_at = time.monotonic()
    started.send_signal(sent)
    time.sleep(0.05)
    started.send_signal(signal.SIGTERM)  # a second signal changes nothing
    within = harness.caller().send()
    second = harness.interpreter.await_runs(2)[-1]
    wait_until(lambda: refused(harness))
    assert idle.wait_closed() and time.monotonic() - started_at > 0.3
    harness.interpreter.end(request_id, b"one")
    harness.interpreter.end(second, b"two")
    answers = [running.receive(), within.receive()]
    running.sock.close()  # else their connections linger
    within.sock.close()
    assert [(a.body, a.keep_alive) for a in answers] == [(b"one", False), (b"two", False)]
    assert started.wait(2) == 0 and time.monotonic() - started_at < 1.5
    log = started.stderr.read().decode()
    assert "event=drained" in log and "rpc.ok=2" in log


def refused(harness):
    """Whether the listener refuses connections."""
    try:
        socket.create_connection(harness.listen, 0.1).close()
    except ConnectionRefusedError:
        return True
    except TimeoutError:  # the SYN was dropped during the close and would be retransmitted after a second
        return False


@pytest.mark.parametrize("released, code", [(True, None), (False, 2)])
def test_bind_retries_while_a_predecessor_holds_the_address(tmp_path, released, code):
    harness = ServiceHarness()
    predecessor = socket.create_server(harness.listen, reuse_port=False)
    if released:
        threading.Timer(0.5, predecessor.close).start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(harness.json_config))
    started = subprocess.Popen([sys.executable, "-m", "hollystage", "serve", "--config", str(path)],
                               stderr=subprocess.PIPE, text=True)
    if code:
        assert started.wait(START_TIMEOUT_S) == code and "listen: 127.0.0.1:" in started.stderr.readline()
        started_at = time.monotonic()
        with pytest.raises(OSError), harness:  # the same without the time that a process takes to start
            pass
        assert 0.5 < time.monotonic() - started_at < 5
        predecessor.close()
    else:
        wait_until(lambda: harness.control.received, START_TIMEOUT_S)
        assert harness.caller().request().status == 200
        started.kill()
    started.stderr.close()


def test_restart_after_kill(process, tmp_path):
    started, harness = process
    caller = harness.caller().send("booking", **KEY)
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"before")
    assert caller.receive().body == b"before"
    started.kill()
    started.wait()
    for messages in (harness.interpreter.received, harness.interpreter.notices, harness.control.received):
        messages.clear()
    again = start(tmp_path / "config.json", harness)
    caller = harness.caller().send("booking", **KEY)
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"after")
    assert caller.receive().body == b"after" and harness.interpreter.commands("CONNECT")[0]["offset"] == 0
    again.kill()
    again.stderr.close()


@pytest.mark.parametrize("draining", [False, True])
def test_sighup_changes_peer_addresses_without_losing_rpcs(process, tmp_path, draining):
    started, harness = process
    path = tmp_path / "config.json"
    first = harness.caller().send("order", b"1")
    (request_id,) = harness.interpreter.await_runs()
    log = ""
    for text, words in (('{"name": "n3", "vm', "not JSON"),  # incomplete; invalid; absent
                        (json.dumps(harness.json_config | {"ledger": 7}), "$.ledger"), (None, "cannot be read")):
        path.write_text(text) if text else path.unlink()
        started.send_signal(signal.SIGHUP)
        log += read_log(started, words)  # pending signals of one number are merged
    if draining:
        started.terminate()
    old, ledger, control = harness.interpreter, harness.ledger, harness.control
    with ServiceHarness(Interpreter(auto=False), ScriptedHttpServer(reply(200, b"new"))) as other:
        other.instance.stop()
        harness.interpreter, harness.ledger, harness.control = other.interpreter, other.ledger, other.control
        harness.interpreter.notices, reports = old.notices, len(control.received)
        moved = {key: other.json_config[key] for key in ("vm", "ledger", "control")}
        path.write_text(json.dumps(harness.json_config | moved | {"stop_ms": 9}))
        started.send_signal(signal.SIGHUP)
        wait_until(lambda: any(put.path.endswith("/n3") for put in other.control.received), 0.7)
        wait_until(lambda: other.interpreter.commands("TOP"))
        other.interpreter.send_notice("AWAIT", request_id, b"the call")
        wait_until(lambda: other.interpreter.commands("RESOLVE"))
        assert len(other.ledger.received) == 1 and not ledger.received and len(control.received) - reports <= 1
        other.interpreter.end(request_id, b"one")
        assert first.receive().body == b"one" and other.interpreter.commands("CONNECT")[-1]["offset"] == 0
        started.send_signal(signal.SIGHUP)
        if not draining:
            second = harness.caller().send("order", b"2")
            other.interpreter.end(wait_until(lambda: set(other.interpreter.await_runs()) - {request_id}).pop())
            assert second.receive().status == 200
            started.terminate()
        assert started.wait(3) == 0
    log += started.stderr.read().decode()
    for words in ("not JSON", "$.ledger", "cannot be read", "kept_until_a_restart=['stop_ms']", "=drained"):
        assert words in log


BRACKETS = ((b"[", b"]"), (b'{"x":', b"}"), (b'[{"x":', b"}]"))
NESTED_JSON = [opening * depth + b"1" + closing * closed for opening, closing in BRACKETS
               for depth, closed in ((490, 490), (990, 990), (100_000, 0))]


def test_sighup_with_deeply_nested_json_is_rejected_with_one_line(process, tmp_path):
    # guards against a process that ended with signal 11 at the end of a thread's stack (review/10)
    started, harness = process
    valid = json.dumps(harness.json_config).encode()
    for nested in NESTED_JSON:
        (tmp_path / "config.json").write_bytes(valid[:-1] + b', "unknown": ' + nested + b"}")
        started.send_signal(signal.SIGHUP)
        read_log(started, "configuration")  # taken, or rejected
    for nested in NESTED_JSON:
        harness.interpreter.sock.sendall(b'{"cmd":"TRACE","offset":0,"x":' + nested[:12_000] + b"}\n")
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served" and started.poll() is None


@pytest.mark.parametrize("process", [{"settings": LONG_DEADLINES}], indirect=True)
def test_last_valid_of_five_configurations_in_a_row_is_in_force(process, tmp_path):
    """The third is invalid and its file is being read while the last two arrive. RPCs and connections stay."""
    started, harness = process
    path, log = tmp_path / "config.json", []
    log_reader = threading.Thread(target=lambda: [log.append(line.decode()) for line in started.stderr], daemon=True)
    log_reader.start()
    ledgers = [ScriptedHttpServer(reply(200, b"%d" % number)) for number in range(1, 6)]

    def configure(number):
        new = tmp_path / "new.json"
        if number == 3:
            os.mkfifo(new)  # whoever opens it waits for the other side
        else:
            host, port = ledgers[number - 1].address
            new.write_text(json.dumps(harness.json_config | {"ledger": f"{host}:{port}"}))
        new.replace(path)
        started.send_signal(signal.SIGHUP)

    def await_log(event, after=""):
        wait_until(lambda: event in "".join(log).partition(after or "=serving")[2])

    resting = [harness.caller() for _ in range(6)]
    assert [get(caller, "/status/live") for caller in resting] == [200] * 6
    harness.ledger.replies = [None]
    callers = [harness.caller().send("order", X_Timeout_Ms="20000") for _ in range(2)]
    calling, running = (caller.request_id for caller in callers)
    harness.interpreter.await_runs(2)
    harness.interpreter.send_notice("AWAIT", calling, b"the first call")
    wait_until(lambda: harness.ledger.received)
    configure(1)
    await_log("configuration read anew")
    configure(2)
    configure(3)
    with open(path, "wb") as fifo:
        configure(4)
        configure(5)
        served = resting[0].send()
        harness.interpreter.end(harness.interpreter.await_runs(3)[-1], b"meanwhile")
        assert served.receive().body == b"meanwhile"
        fifo.write(b'{"name": ')
    await_log("configuration read anew", after="new configuration rejected")
    harness.interpreter.send_notice("AWAIT", running, b"the second call")
    wait_until(lambda: ledgers[4].received)
    harness.ledger.connections[-1].sendall(reply(200, b"old"))  # the first call ends where it began
    wait_until(lambda: {command["req"]: command["payload"] for command in harness.interpreter.commands("RESOLVE")}
               == {calling: "b2xk", running: "NQ=="})
    harness.interpreter.end(calling, b"one")
    harness.interpreter.end(running, b"two")
    assert [caller.receive().body for caller in callers] == [b"one", b"two"]
    assert [get(caller, "/status/live") for caller in resting] == [200] * 6
    assert len(harness.interpreter.commands("APPLY")) == 3 and not any(ledger.received for ledger in ledgers[:4])
    started.terminate()
    assert started.wait(5) == 0
    log_reader.join(5)
    text = "".join(log)
    assert text.count("rejected") == 1 and "Traceback" not in text and "rpc.ok=3" in text


def test_threads_run_under_the_batch_scheduling_policy(process):
    """A woken thread must not preempt the thread that woke it and still holds Python's global interpreter lock."""
    started, _ = process
    policies = []
    for task in os.listdir(f"/proc/{started.pid}/task"):
        with contextlib.suppress(ProcessLookupError):  # the thread of a connection that just ended
            policies.append(os.sched_getscheduler(int(task)))
    assert policies.count(os.SCHED_BATCH) >= 6


def test_drain_ends_in_time_with_unfinished_runs(process):
    started, harness = process
    caller = harness.caller().send("order", X_Timeout_Ms="9000")
    harness.interpreter.await_runs()
    started_at = time.monotonic()
    started.terminate()
    assert caller.receive().status == 500 and started.wait(2) == 0 and time.monotonic() - started_at < 1.5


def test_serves_rpcs_beside_hundreds_of_slow_or_idle_clients(process):
    """Half of the descriptors are taken; memory and CPU use stay low, and all clients may reconnect at once."""
    started, harness = process
    clients = [harness.caller() for _ in range(510)]
    for caller in clients[::2]:
        caller.sock.sendall(RPC[:100])
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served"
    status = dict(line.split(":", 1) for line in open(f"/proc/{started.pid}/status"))
    assert int(status["VmRSS"].split()[0]) < 100_000 and int(status["Threads"]) > 500
    busy = sum(map(int, open(f"/proc/{started.pid}/stat").read().split()[13:15]))
    time.sleep(0.5)
    assert sum(map(int, open(f"/proc/{started.pid}/stat").read().split()[13:15])) - busy < 25  # of 50 clock ticks
    for caller in clients:
        caller.sock.close()
    clients = [harness.caller() for _ in range(510)]  # all reconnect at once
    assert get(harness.caller(), "/status/live") == 200


def test_accept_recovers_from_exhausted_descriptors(process):
    started, harness = process
    limit = len(os.listdir(f"/proc/{started.pid}/fd")) + 20
    resource.prlimit(started.pid, resource.RLIMIT_NOFILE, (limit, limit))
    clients = [harness.caller() for _ in range(40)]
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served" and any(caller.wait_closed() for caller in clients[:20])


def test_wall_clock_changes_do_not_delay_answers(monkeypatch):
    """The wall clock is set back and forward by an hour."""
    with ServiceHarness(Interpreter(auto=False)) as harness:
        real = time.time_ns
        for hours in (-1, 1):
            caller = harness.caller()
            monkeypatch.setattr(time, "time_ns", lambda hours=hours: real() + hours * 3_600_000_000_000)
            started_at = time.monotonic()
            start = str(time.time_ns() // 1_000_000)
            assert caller.request("order", X_Timeout_Ms="300", X_Request_Start=start).status == 500
            assert time.monotonic() - started_at < 0.5


def test_sigusr1_logs_counters_and_second_sigint_kills(process):
    started, harness = process
    caller = harness.caller().send("order")  # stays open
    harness.interpreter.await_runs()
    started.send_signal(signal.SIGUSR1)
    line = read_log(started, "event=counters").splitlines()[-1]
    assert "rpc.read=1" in line and "interpreter.links=1" in line
    started.send_signal(signal.SIGINT)
    read_log(started, "event=draining")
    started.send_signal(signal.SIGINT)
    assert started.wait(1) == -signal.SIGINT
    caller.sock.close()


CONFIG = {"name": "n3", "listen": "127.0.0.1:65000", "vm": "127.0.0.1:9300", "control": "127.0.0.1:8500",
          "ledger": "127.0.0.1:7700", "settings": SETTINGS}


@pytest.mark.parametrize("change, words", [
    ({"listen": None}, "`listen`"), ({"vm": 7}, "`$.vm`"), ({"control": "here"}, "control: 'here'"),
    ({"ledger": None}, "ledger: ''"),
    ({"ledger": "127.0.0.1:99999"}, "ledger:"), ({"seed": "xyz"}, "`$.seed`"),
    ({"stop_ms": 0}, "`$.stop_ms`"), ({"limits": {"sockets": 5}}, "`$.limits.sockets`"),
    ({"limits": {"memory_mb": "all"}}, "`$.limits.memory_mb`"),
    ({"settings": {}}, "$.settings"), ({"settings": SETTINGS | {"Profiles": []}}, "`$.settings.Profiles`"),
    ({"settings": SETTINGS | {"Profiles": [SETTINGS["Profiles"][0]] * 2}}, "settings.Profiles[1].Name"),
    ({"settings": SETTINGS | {"Profiles": [SETTINGS["Profiles"][0] | {"Value": 1e200}]}}, ".Profiles[0].Value"),
    ({"settings": SETTINGS | {"Domain": SETTINGS["Domain"] | {"Say": "louder"}}}, "`$.settings.Domain.Say`"),
    ({"listen": "a..b:80"}, "listen: 'a..b:80'"), ({"vm": "x" * 64 + ":80"}, "vm: 'xxx"),
])
def test_configuration_error_names_the_key(change, words):
    config = {key: value for key, value in (CONFIG | change).items() if value is not None}
    with pytest.raises(ConfigError) as error:
        parse(json.dumps(config).encode())
    assert words in str(error.value)


@pytest.mark.parametrize("command", ["serve", "check-config"])
@pytest.mark.parametrize("content, words", [(None, "cannot be read"), ("{", "not JSON"), ("{}", "`name`"),
                                            ("[" * 100_000, "not JSON")])
def test_configuration_error_ends_the_start_with_one_line(tmp_path, command, content, words):
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    done = subprocess.run([sys.executable, "-m", "hollystage", command, "--config", str(path)],
                          capture_output=True, text=True)
    assert done.returncode == 2 and words in done.stderr and done.stderr.count("\n") == 1
