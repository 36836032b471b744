import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import SETTINGS, Answering, Interpreter, World, reply, until

from hollystage.service.config import parse
from hollystage.service.driver import clock
from hollystage.service.http import write_request
from hollystage.settings import Faulty

TOKEN = {"Idempotency_Key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
UNTOUCHED = {"X_Untouched": "1"}


def test_rpcs_are_served_unchanged_on_one_connection():
    with World() as world:
        caller = world.caller()
        for body in (b"", bytes(range(256)) * 8, b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"):
            answer = caller.ask(body=body)
            assert (answer.status, answer.body, answer.keep) == (200, b"ran " + body, True)
        assert [command["method"] for command in world.interpreter.got("APPLY")] == ["lookup"] * 3
        assert world.count("rpc.ok") == 3 and world.count("clients.connections") == 1


def test_a_result_of_the_largest_size_in_pieces_of_a_line():
    interpreter = Interpreter(auto=False)
    interpreter.piece = 100
    with World(interpreter) as world:
        caller = world.caller().send()
        world.interpreter.end(interpreter.applied()[0], bytes(4096))
        assert caller.answer().body == bytes(4096)


def test_pipelined_rpcs_are_answered_in_order():
    with World() as world:
        caller = world.caller()
        for body in (b"1", b"2", b"3"):
            caller.send(body=body)
        assert [caller.answer().body for _ in range(3)] == [b"ran 1", b"ran 2", b"ran 3"]


def test_a_pushback_says_what_the_module_decided():
    with World() as world:
        caller = world.caller()
        until(lambda: world.instance.driver.said is not None)
        late = caller.ask(X_Request_Start=str(int(time.time() * 1000) - 2500))
        assert late.status == 503 and late.keep and late.body == b""
        assert 0 < int(late.fields["retry-after-ms"]) <= 1000 and late.fields["x-dont-retry"] == "1"
        assert float(late.fields["x-load-signal"]) >= 0
        assert not world.interpreter.got("APPLY") and caller.ask().status == 200


@pytest.mark.parametrize("method, fields, halted", [("lookup", {}, True), ("booking", TOKEN, False)])
def test_a_close_is_told_at_once(method, fields, halted):
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send(method, **fields)
        ident = world.interpreter.applied()[0]
        caller.sock.close()
        until(lambda: world.count("rpc.gone") == 1)
        if halted:
            assert until(lambda: world.interpreter.got("BREAK"))[0]["req"] == ident
        world.interpreter.end(ident, result="cut" if halted else "good")
        until(lambda: not world.instance.driver.exchanges)
        assert len(world.interpreter.got("BREAK")) == halted


def test_an_answer_is_given_by_the_due_time_and_the_run_may_outlive_it():
    with World(Interpreter(auto=False)) as world:
        begun = time.monotonic()
        caller = world.caller()
        assert caller.ask(X_Timeout_Ms="300").status == 500 and time.monotonic() - begun < 0.35
        (ident,) = world.interpreter.applied()
        until(lambda: world.interpreter.got("BREAK"))
        world.interpreter.end(ident, result="cut")
        until(lambda: not world.instance.driver.exchanges)


def get(caller, target):
    caller.sock.sendall(write_request("GET", target, "service.internal", {}, b""))
    return caller.answer().status


def test_health_checks():
    with World() as world:
        caller = world.caller()
        until(lambda: world.instance.link.synced)
        assert get(caller, "/status/live") == 200 and not world.interpreter.got("SMOKE")
        assert get(caller, "/status/live?deep=1") == 200 and world.interpreter.got("SMOKE")
        world.interpreter.top = False
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
def test_bad_input_is_answered_counted_and_closed_and_neighbours_go_on(old, new, status):
    assert RPC.count(old) == 1
    with World() as world:
        neighbour, caller = world.caller(), world.caller()
        assert neighbour.ask().status == 200
        caller.sock.sendall(RPC.replace(old, new))
        answer = caller.answer()
        assert answer.status == status and not answer.keep and caller.closed()
        assert world.count(f"clients.bad.{status}") == 1 and len(world.interpreter.got("APPLY")) == 1
        assert neighbour.ask().status == 200


def test_a_token_with_another_body_gets_no_result_and_leaves_the_run_alone():
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send("booking", b"mine", **TOKEN)
        (ident,) = world.interpreter.applied()
        assert world.caller().ask("booking", b"other", **TOKEN).status == 400  # while it runs
        world.interpreter.end(ident, b"booked")
        assert caller.answer().body == b"booked"
        assert world.caller().ask("booking", b"other", **TOKEN).status == 400  # and after
        assert world.caller().ask("booking", b"mine", **TOKEN).body == b"booked"
        assert world.count("rpc.read") == 2 and len(world.interpreter.got("APPLY")) == 1


def test_what_hides_behind_a_message_of_two_lengths_is_never_read():
    with World() as world:
        caller = world.caller()
        inner = RPC.replace(b"1764576000123", b"%d" % (time.time() * 1000))
        both = b"Content-Length: %d\r\nTransfer-Encoding: chunked" % (len(inner) + 5)
        caller.sock.sendall(RPC.replace(b"Content-Length: 0", both) + b"0\r\n\r\n" + inner)
        assert caller.answer().status == 411 and caller.closed() and not world.interpreter.got("APPLY")


@pytest.mark.parametrize("said", [b"", RPC[:9]])
def test_silence_and_dribble_end_in_time_whatever_a_proven_connection_does(monkeypatch, said):
    monkeypatch.setattr("hollystage.service.clients.FIRST_S", 0.4)
    with World() as world:
        proven, bad, begun = world.caller(), world.caller(), time.monotonic()
        assert proven.ask().status == 200
        for byte in said:
            bad.sock.sendall(bytes([byte]))
            time.sleep(0.03)
        assert (bad.answer().status == 408 if said else bad.closed()) and 0.3 < time.monotonic() - begun < 0.7
        assert proven.ask().status == 200 and world.count("clients.slow" if said else "clients.silent") == 1


def test_a_stop_half_way_is_answered_and_an_id_in_use_is_not_taken_twice():
    with World(Interpreter(auto=False)) as world:
        caller = world.caller()
        caller.sock.sendall(RPC[:40])
        caller.sock.shutdown(1)
        assert caller.answer().status == 400 and caller.closed()
        first = world.caller().send()
        ident = world.interpreter.applied()[0]
        assert world.caller().ask(ident=ident).status == 400
        world.interpreter.end(ident, b"one")
        assert first.answer().body == b"one"


def test_an_answer_is_not_lost_to_input_that_nobody_reads():
    with World() as world:
        for _ in range(20):
            caller = world.caller()
            caller.sock.sendall(RPC.replace(b"Length: 0", b"Length: 9000000") + bytes(9_000_000))
            assert caller.answer().status == 413


def test_a_close_seen_late_is_not_that_of_the_next_connection_of_its_number():
    class Late:
        def __init__(self, epoll, events):
            self.epoll, self.events = epoll, events

        def poll(self, timeout):
            return [self.events.pop()] if self.events else self.epoll.poll(timeout)

        def __getattr__(self, name):
            return getattr(self.epoll, name)

    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send()
        (ident,) = world.interpreter.applied()
        clients = world.instance.clients
        events = [(number, 0x2000) for number in clients.connections]
        clients.epoll = Late(clients.epoll, events)
        until(lambda: not events)
        time.sleep(0.05)
        world.interpreter.end(ident, b"fine")
        assert caller.answer().body == b"fine" and world.count("rpc.gone") == 0


def test_an_rpc_that_crosses_our_own_hanging_up_is_answered():
    with World(Interpreter(auto=False)) as world:
        caller, clients = world.caller().send(), world.instance.clients
        (ident,) = world.interpreter.applied()
        with clients.lock:
            clients._hang_up(*clients.connections.values())
        time.sleep(0.05)
        world.interpreter.end(ident, b"crossed")
        answer = caller.answer()
        assert (answer.body, answer.keep) == (b"crossed", False) and world.count("rpc.gone") == 0


def test_a_reset_half_way_is_no_fault():
    with World() as world:
        caller = world.caller()
        caller.sock.sendall(RPC[:40])
        until(lambda: any(not c.idle_since for c in world.instance.clients.connections.values()))
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        caller.sock.close()
        until(lambda: world.count("clients.broken") == 1)
        assert world.count("clients.crashed") == 0


def test_idle_connections_are_closed_but_none_with_an_rpc():
    with World(Interpreter(auto=False)) as world:
        busy, idle = world.caller().send(), world.caller()
        ident = world.interpreter.applied()[0]
        world.instance.driver.idle = 50_000
        assert idle.closed() and world.count("clients.idle_closed") == 1
        world.interpreter.end(ident, b"late")
        assert busy.answer().body == b"late" and busy.closed()


def test_a_full_table_of_idle_connections_gives_way():
    with World(limits={"sockets": 64}) as world:
        proven = world.caller()
        assert proven.ask().status == 200
        crowd = [world.caller() for _ in range(60)]
        for caller in crowd[::2]:
            caller.sock.sendall(RPC[:40])
        assert [world.caller().ask().status for _ in range(3)] == [200] * 3
        assert len(os.listdir("/proc/self/fd")) > 60 and world.instance.clients.count() <= 44
        assert [caller.sock.recv(9) for caller in crowd[:20:2]] == [b"HTTP/1.1 "] * 10  # 400
        assert sum(caller.closed() for caller in crowd[1:20:2]) == 10
        assert proven.ask().status == 200  # outlives those that never said anything


def test_the_tenant_and_the_cost_of_an_rpc_reach_the_module():
    tenants = [{"Name": "walk-up", "QuotaPerS": 5.0}, {"Name": "Agents & Co", "QuotaPerS": 3.0}]
    with World(Interpreter(auto=False), settings=SETTINGS | {"Tenants": tenants}) as world:
        world.caller().send(X_Tenant="Agents & Co", X_Cost_Ms="507.12")
        world.interpreter.applied()
        exchange, = world.instance.driver.exchanges.values()
        assert exchange.rpc.tenant is world.instance.driver.settings.tenants[1]
        assert exchange.rpc.hint == 507_120


# The interpreter

@pytest.mark.parametrize("late", ["listening", "banner"])
def test_an_interpreter_that_comes_up_late(late):
    interpreter = Interpreter(banner="" if late == "banner" else "new")
    if late == "listening":
        interpreter.close()
    with World(interpreter) as world:
        caller = world.caller()
        assert get(caller, "/status/live") == 200
        if late == "listening":
            interpreter.listen()
        else:
            until(lambda: interpreter.got("CONNECT"))
            time.sleep(0.1)
            interpreter.come_up("new")
        until(lambda: world.instance.link.synced)
        assert world.instance.driver.settings.cold and caller.ask().status == 200


def test_after_a_break_nothing_is_lost_and_nothing_run_again():
    with World(Interpreter(auto=False)) as world:
        first = world.caller().send(body=b"1")
        (ident,) = world.interpreter.applied()
        world.interpreter.notice("AWAIT", ident, b"a call")
        until(lambda: world.interpreter.got("RESOLVE"))
        world.interpreter.close()
        second = world.caller().send(body=b"2")
        world.interpreter.end(ident, b"one")  # unread so far
        until(lambda: not world.instance.link.synced)
        world.interpreter.listen()
        assert first.answer().body == b"one"
        again = world.interpreter.applied(2)[-1]
        assert world.interpreter.got("CONNECT")[-1]["offset"] == 1 and again != ident
        world.interpreter.end(again, b"two")
        assert second.answer().body == b"two" and len(world.interpreter.got("APPLY")) == 2


def test_a_run_that_was_not_heard_of_is_asked_for_again():
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send()
        (ident,) = world.interpreter.applied()
        world.interpreter.break_off()
        assert world.interpreter.applied(2) == [ident, ident]
        world.interpreter.end(ident, b"once")
        assert caller.answer().body == b"once"


@pytest.mark.parametrize("line", [b"garbage\n", b'{"cmd":7}\n', b'{"cmd":"DANCE"}\n',
                                  b'{"cmd":"VALUE","offset":1,"result":"odd"}\n',
                                  b"[" * 9000 + b"\n", b"\xff\xfe\n"])
def test_garbage_closes_the_link_which_is_made_anew(line):
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send()
        (ident,) = world.interpreter.applied()
        world.interpreter.sock.sendall(line)
        until(lambda: len(world.interpreter.got("CONNECT")) == 2)
        world.interpreter.notices.clear()
        world.instance.link.offset = 0
        world.interpreter.end(ident, b"fine")
        assert caller.answer().body == b"fine" and world.count("interpreter.broken") == 1


def test_commands_wait_for_no_other_thread_and_block_none():
    with World(Interpreter()) as world:
        link, caller = world.instance.link, world.caller()
        until(lambda: link.synced)
        queue, link.queue = link.queue, None  # what the writing thread is woken by
        assert caller.ask().status == 200
        link.queue = queue
        with world.interpreter.lock:  # it reads nothing
            begun = time.monotonic()
            for turn in range(100):
                with link.lock:
                    link._send({"cmd": "TOP", "token": f"{turn} " + "x" * 100_000})
            assert link.behind and time.monotonic() - begun < 1
        assert caller.ask().status == 200  # behind all that
        turns = [c["token"].split()[0] for c in world.interpreter.got("TOP") if " " in c["token"]]
        assert turns == [str(turn) for turn in range(100)] and world.count("interpreter.links") == 1


def test_notices_that_change_nothing_and_commands_that_are_declined():
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send()
        (ident,) = world.interpreter.applied()
        until(lambda: world.instance.driver.control.busy == 0.1)  # gauges reach the module
        world.interpreter.sock.sendall(b"".join(json.dumps(notice).encode() + b"\n" for notice in (
            {"cmd": "TRACE", "offset": 1, "result": "a remark" * 9000},
            {"cmd": "TRACE", "offset": 2, "req": [1]},
            {"cmd": "VALUE", "offset": 3, "req": "feedfeedfeedfeed", "result": "good", "elapsed_ms": 1},
            {"cmd": "VALUE", "offset": 3, "req": ident, "result": "good", "elapsed_ms": 1})))  # read already
        with world.interpreter.lock:
            world.interpreter.write({"cmd": "ERROR", "result": "BREAK", "req": ident})
            world.interpreter.write({"cmd": "ERROR", "result": "APPLY", "req": ident})
        assert caller.answer().status == 500 and world.count("interpreter.unknown") == 1
        assert world.count("interpreter.links") == 1  # none of it ended the link


def test_a_health_check_that_a_break_meets_is_asked_again():
    with World() as world:
        until(lambda: world.instance.link.synced)
        world.interpreter.close()
        until(lambda: not world.instance.link.synced)
        caller = world.caller()
        threading.Timer(0.2, world.interpreter.listen).start()
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
def test_what_each_reply_of_the_ledger_proves(method, replies, commands, status):
    with World(Interpreter(auto=False), Answering(*replies)) as world:
        caller = world.caller().send(method)
        (ident,) = world.interpreter.applied()
        world.interpreter.notice("AWAIT", ident, b"the call")
        for command in commands:
            sent = until(lambda command=command: world.interpreter.got(command))[0]
            assert sent["req"] == ident and sent.get("payload", "cG9zdGVk") == "cG9zdGVk"
            assert sent.get("offset", 1) == 1
        if status == 200:
            until(lambda: world.ledger.heard)
            world.interpreter.end(ident, b"fine")
        assert caller.answer().status == status
        call = world.ledger.heard[0]
        assert (call.body, call.fields["x-txn-ref"]) == (b"the call", ident)
        # a few lost replies are asked for again where the call may run again and there is time (not with
        # None), a refusal where it never ran
        lost = method == "lookup" and replies[0] in (reply(504), b"nonsense\r\n\r\n", b"")
        assert len(world.ledger.heard) == (3 if lost else 2 if method == "order" and commands else 1)
        assert not world.interpreter.got("RESOLVE") or commands == ["RESOLVE"]


def test_a_call_takes_its_own_reply_whatever_else_comes():
    early = b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n"
    replies = [early + reply(200, b"posted") + reply(200, b"another's"), reply(200, b"2") + b"noise"]
    with World(Interpreter(auto=False), Answering(*replies, reply(200, b"3"))) as world:
        for turn, payload in enumerate(("cG9zdGVk", "Mg==", "Mw=="), 1):
            caller = world.caller().send()
            ident = world.interpreter.applied(turn)[-1]
            world.interpreter.notice("AWAIT", ident)
            until(lambda turn=turn: len(world.interpreter.got("RESOLVE")) == turn)
            assert world.interpreter.got("RESOLVE")[-1]["payload"] == payload
            world.interpreter.end(ident)
            assert caller.answer().status == 200
        until(lambda: len(world.ledger.ended) == 3)  # none is kept
        assert world.count("ledger.ok") == 3


@pytest.mark.parametrize("how", ["gone", "late"])
def test_a_call_is_given_up_once_its_rpc_is_over(how):
    with World(Interpreter(auto=False), Answering(None)) as world:
        caller = world.caller().send("order", X_Timeout_Ms="700" if how == "late" else "3000")
        (ident,) = world.interpreter.applied()
        world.interpreter.notice("AWAIT", ident)
        until(lambda: world.ledger.heard)
        if how == "gone":
            caller.sock.close()
        else:
            begun = time.monotonic()
            assert caller.answer().status == 500 and time.monotonic() - begun < 0.75
        world.ledger.open[0].settimeout(2)
        until(lambda: world.ledger.ended and world.count("rpc.gone" if how == "gone" else "rpc.aborted"))
        world.interpreter.end(ident, result="cut")
        until(lambda: not world.instance.driver.exchanges)


def test_a_ledger_that_refuses_connections_has_run_nothing():
    with World(Interpreter(auto=False)) as world:
        world.ledger.close()
        caller = world.caller().send()
        (ident,) = world.interpreter.applied()
        world.interpreter.notice("AWAIT", ident)
        until(lambda: world.interpreter.got("STUB"))
        world.interpreter.end(ident)
        assert caller.answer().status == 200 and world.count("ledger.connect_failed") == 1
        again = world.caller().send("order")  # asked for again and again, but not all the time
        world.interpreter.notice("AWAIT", world.interpreter.applied(2)[-1])
        time.sleep(0.3)
        assert 3 < world.count("ledger.connect_failed") < 20
        world.ledger.listen()
        until(lambda: world.interpreter.got("RESOLVE"))
        again.sock.close()


# Repeats

def test_a_repeat_of_a_running_or_finished_rpc_gets_the_one_result():
    with World(Interpreter(auto=False)) as world:
        callers = [world.caller().send("booking", b"x", **TOKEN) for _ in range(4)]
        (ident,) = world.interpreter.applied()
        until(lambda: world.count("rpc.read") == 4)
        callers[0].sock.close() if callers[0].ident == ident else callers[1].sock.close()
        until(lambda: world.count("rpc.gone") == 1)
        world.interpreter.end(ident, b"booked")
        waiting = [caller for caller in callers if caller.sock.fileno() >= 0]
        assert [caller.answer().body for caller in waiting] == [b"booked"] * 3
        assert world.caller().ask("booking", b"x", **TOKEN).body == b"booked"
        assert len(world.interpreter.got("APPLY")) == 1


def test_a_repeat_of_an_aborted_or_failed_run_is_not_run_again():
    with World(Interpreter(auto=False)) as world:
        assert world.caller().ask("booking", X_Timeout_Ms="300", **TOKEN).status == 500
        (ident,) = world.interpreter.applied()
        repeat = world.caller().send("booking", **TOKEN)
        world.interpreter.end(ident, result="bad")
        assert repeat.answer().status == 500 and world.caller().ask("booking", **TOKEN).status == 500
        assert len(world.interpreter.got("APPLY")) == 1


def test_a_repeat_of_what_the_interpreter_never_started_is_run():
    with World(Interpreter(auto=False)) as world:
        caller = world.caller().send("booking", **TOKEN)
        world.interpreter.end(world.interpreter.applied()[0], result="gone")
        assert caller.answer().status == 500
        repeat = world.caller().send("booking", **TOKEN)
        world.interpreter.end(world.interpreter.applied(2)[-1], b"booked")
        assert repeat.answer().body == b"booked"


def test_what_was_pushed_back_or_left_held_runs_when_it_comes_again():
    with World(Interpreter(auto=False)) as world:
        world.interpreter.load = [1.0, 2.0]  # busy: nothing is run beyond the cores
        late = str(int(time.time() * 1000) - 2500)
        assert world.caller().ask("booking", X_Request_Start=late, **TOKEN).status == 503
        running = [world.caller().send() for _ in range(2)]
        assert len(world.interpreter.applied(2)) == 2
        first = running[0].ident
        held = world.caller().send("booking", b"x", **TOKEN)
        until(lambda: world.count("rpc.read") == 4)
        newer = world.caller().send("booking", b"x", **TOKEN)
        assert held.answer().status == 503
        newer.sock.close()
        until(lambda: world.count("rpc.gone") == 1)
        last = world.caller().send("booking", b"x", **TOKEN)
        world.interpreter.end(first)
        ident = world.interpreter.applied(3)[-1]
        assert ident == last.ident
        world.interpreter.end(ident, b"booked")
        assert last.answer().body == b"booked" and running[0].answer().status == 200


@pytest.mark.parametrize("age, runs", [(0, 1), (8_000, 1), (13_000, 2)])
def test_the_table_outlasts_the_window_and_then_forgets(age, runs):
    with World() as world:
        assert world.caller().ask("booking", **TOKEN).status == 200
        tokens = world.instance.driver.tokens
        with world.instance.driver.lock:
            tokens.expire(time.time_ns() // 1000 + age * 1000)
        assert world.caller().ask("booking", **TOKEN).status == 200
        assert len(world.interpreter.got("APPLY")) == runs


# The control plane

@pytest.mark.parametrize("replies", [None, [None], [reply(500)], [b"garbage\r\n\r\n"], [b""]])
def test_a_control_plane_that_does_not_answer_stalls_nothing(replies):
    control = Answering(*(replies or [reply(204)]), listening=replies is not None)
    with World(control=control) as world:
        assert world.caller().ask().status == 200
        until(lambda: world.count("registry.failures") >= 2)
        control.replies = [reply(204)]
        control.break_off()
        if replies is None:
            control.listen()
        until(lambda: world.count("registry.reports") >= 2)


def test_reports_are_steady_and_follow_a_change():
    with World() as world:
        until(lambda: len(world.control.heard) >= 2)
        assert world.control.heard[-1].path == "/v2/endpoints/n3"
        assert json.loads(world.control.heard[-1].body) == {"condition": "Ready"}
        many = len(world.control.heard)
        world.instance.driver.leave(1_000_000, clock())
        until(lambda: len(world.control.heard) > many, 0.5)
        assert json.loads(world.control.heard[-1].body) == {"condition": "NotReady"}


# The process

def start(path, world):
    path.write_text(json.dumps(world.given))
    started = subprocess.Popen([sys.executable, "-m", "hollystage", "serve"], stderr=subprocess.PIPE,
                               env={**os.environ, "PROXY_CONFIG": str(path)})
    until(lambda: world.control.heard)
    assert get(world.caller(), "/status/live") == 200  # it serves by its first report
    until(lambda: world.interpreter.got("TOP"))
    return started


@pytest.fixture
def process(tmp_path):
    world = World(Interpreter(auto=False))
    started = start(tmp_path / "config.json", world)
    yield started, world
    started.kill()
    started.stderr.close()


@pytest.mark.parametrize("sent", [signal.SIGTERM, signal.SIGINT])
def test_a_drain_answers_all_and_takes_nothing_past_the_grace(process, sent):
    started, world = process
    running, idle = world.caller().send("order"), world.caller()
    (ident,) = world.interpreter.applied()
    begun = time.monotonic()
    started.send_signal(sent)
    time.sleep(0.05)
    started.send_signal(signal.SIGTERM)  # again: nothing new
    within = world.caller().send()
    second = world.interpreter.applied(2)[-1]
    until(lambda: refused(world))
    assert idle.closed() and time.monotonic() - begun > 0.3
    world.interpreter.end(ident, b"one")
    world.interpreter.end(second, b"two")
    answers = [running.answer(), within.answer()]
    assert [(a.body, a.keep) for a in answers] == [(b"one", False), (b"two", False)]
    assert started.wait(2) == 0 and time.monotonic() - begun < 1.5
    log = started.stderr.read().decode()
    assert "event=drained" in log and "rpc.ok=2" in log


def refused(world):
    try:
        socket.create_connection(world.listen, 0.1).close()
    except ConnectionRefusedError:
        return True
    except TimeoutError:  # dropped in the moment of the close; it would come again after a second
        return False


@pytest.mark.parametrize("held, code", [(0.5, None), (9, 2)])
def test_an_address_that_a_predecessor_still_holds(tmp_path, held, code):
    world = World()
    predecessor = socket.create_server(world.listen, reuse_port=False)
    timer = threading.Timer(held, predecessor.close)
    timer.start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(world.given))
    started = subprocess.Popen([sys.executable, "-m", "hollystage", "serve", "--config", str(path)],
                               stderr=subprocess.PIPE, text=True)
    if code:
        assert started.wait(5) == code and "listen: 127.0.0.1:" in started.stderr.readline()
        timer.cancel()
        predecessor.close()
    else:
        until(lambda: world.control.heard)
        assert world.caller().ask().status == 200
        started.kill()
    started.stderr.close()


def test_killed_outright_and_started_anew(process, tmp_path):
    started, world = process
    caller = world.caller().send("booking", **TOKEN)
    world.interpreter.end(world.interpreter.applied()[0], b"before")
    assert caller.answer().body == b"before"
    started.kill()
    started.wait()
    for heard in (world.interpreter.heard, world.interpreter.notices, world.control.heard):
        heard.clear()
    again = start(tmp_path / "config.json", world)
    caller = world.caller().send("booking", **TOKEN)
    world.interpreter.end(world.interpreter.applied()[0], b"after")
    assert caller.answer().body == b"after" and world.interpreter.got("CONNECT")[0]["offset"] == 0
    again.kill()
    again.stderr.close()


@pytest.mark.parametrize("draining", [False, True])
def test_sighup_moves_the_peers_and_loses_nothing(process, tmp_path, draining):
    started, world = process
    path = tmp_path / "config.json"
    first = world.caller().send("order", b"1")
    (ident,) = world.interpreter.applied()
    for text in ('{"name": "n3", "vm', json.dumps(world.given | {"ledger": 7})):  # half written; faulty
        path.write_text(text)
        started.send_signal(signal.SIGHUP)
        time.sleep(0.1)  # signals of one number that wait are one
    path.unlink()
    started.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    if draining:
        started.terminate()
    old, ledger, control = world.interpreter, world.ledger, world.control
    with World(Interpreter(auto=False), Answering(reply(200, b"new"))) as other:
        other.instance.stop()
        world.interpreter, world.ledger, world.control = other.interpreter, other.ledger, other.control
        world.interpreter.notices, many = old.notices, len(control.heard)
        moved = {key: other.given[key] for key in ("vm", "ledger", "control")}
        path.write_text(json.dumps(world.given | moved | {"stop_ms": 9}))
        started.send_signal(signal.SIGHUP)
        until(lambda: any(put.path.endswith("/n3") for put in other.control.heard), 0.7)
        until(lambda: other.interpreter.got("TOP"))
        other.interpreter.notice("AWAIT", ident, b"the call")
        until(lambda: other.interpreter.got("RESOLVE"))
        assert len(other.ledger.heard) == 1 and not ledger.heard and len(control.heard) - many <= 1
        other.interpreter.end(ident, b"one")
        assert first.answer().body == b"one" and other.interpreter.got("CONNECT")[-1]["offset"] == 0
        started.send_signal(signal.SIGHUP)
        if not draining:
            second = world.caller().send("order", b"2")
            other.interpreter.end(until(lambda: set(other.interpreter.applied()) - {ident}).pop())
            assert second.answer().status == 200
            started.terminate()
        assert started.wait(3) == 0
    log = started.stderr.read().decode()
    for words in ("not JSON", "$.ledger", "cannot be read", "kept_until_a_restart=['stop_ms']", "=drained"):
        assert words in log


def test_a_thread_that_is_woken_leaves_its_waker_the_core(process):
    started, _ = process
    policies = []
    for task in os.listdir(f"/proc/{started.pid}/task"):
        with contextlib.suppress(ProcessLookupError):  # the thread of a connection that has just ended
            policies.append(os.sched_getscheduler(int(task)))
    assert policies.count(os.SCHED_BATCH) >= 6


def test_a_drain_ends_in_time_though_runs_do_not(process):
    started, world = process
    caller = world.caller().send("order", X_Timeout_Ms="9000")
    world.interpreter.applied()
    begun = time.monotonic()
    started.terminate()
    assert caller.answer().status == 500 and started.wait(2) == 0 and time.monotonic() - begun < 1.5


def test_half_of_the_descriptors_taken_by_clients_that_are_slow_or_idle(process):
    started, world = process
    crowd = [world.caller() for _ in range(510)]
    for caller in crowd[::2]:
        caller.sock.sendall(RPC[:100])
    caller = world.caller().send("order")
    world.interpreter.end(world.interpreter.applied()[0], b"served")
    assert caller.answer().body == b"served"
    status = dict(line.split(":", 1) for line in open(f"/proc/{started.pid}/status"))
    assert int(status["VmRSS"].split()[0]) < 100_000 and int(status["Threads"]) > 500
    busy = sum(map(int, open(f"/proc/{started.pid}/stat").read().split()[13:15]))
    time.sleep(0.5)
    assert sum(map(int, open(f"/proc/{started.pid}/stat").read().split()[13:15])) - busy < 25  # of 50
    for caller in crowd:
        caller.sock.close()
    crowd = [world.caller() for _ in range(510)]  # all come back at once
    assert get(world.caller(), "/status/live") == 200


def test_accept_that_runs_out_of_descriptors_goes_on(process):
    started, world = process
    limit = len(os.listdir(f"/proc/{started.pid}/fd")) + 20
    resource.prlimit(started.pid, resource.RLIMIT_NOFILE, (limit, limit))
    crowd = [world.caller() for _ in range(40)]
    caller = world.caller().send("order")
    world.interpreter.end(world.interpreter.applied()[0], b"served")
    assert caller.answer().body == b"served" and any(caller.closed() for caller in crowd[:20])


def test_a_clock_that_is_set_stops_nothing(monkeypatch):
    with World(Interpreter(auto=False)) as world:
        real = time.time_ns
        for hours in (-1, 1):
            caller = world.caller()
            monkeypatch.setattr(time, "time_ns", lambda hours=hours: real() + hours * 3_600_000_000_000)
            begun = time.monotonic()
            start = str(time.time_ns() // 1_000_000)
            assert caller.ask("order", X_Timeout_Ms="300", X_Request_Start=start).status == 500
            assert time.monotonic() - begun < 0.5


def test_counters_on_request_and_a_second_sigint(process):
    started, world = process
    world.caller().send("order")
    world.interpreter.applied()
    started.send_signal(signal.SIGUSR1)
    line = until(lambda: started.stderr.readline().decode())
    while "event=counters" not in line:
        line = started.stderr.readline().decode()
    assert "rpc.read=1" in line and "interpreter.links=1" in line
    started.send_signal(signal.SIGINT)
    time.sleep(0.1)
    started.send_signal(signal.SIGINT)
    assert started.wait(1) == -signal.SIGINT


GIVEN = {"name": "n3", "listen": "127.0.0.1:65000", "vm": "127.0.0.1:9300", "control": "127.0.0.1:8500",
         "ledger": "127.0.0.1:7700", "settings": SETTINGS}


@pytest.mark.parametrize("change, words", [
    ({"listen": None}, "`listen`"), ({"vm": 7}, "`$.vm`"), ({"control": "here"}, "control: 'here'"),
    ({"ledger": "127.0.0.1:99999"}, "ledger:"), ({"seed": "xyz"}, "`$.seed`"),
    ({"stop_ms": 0}, "`$.stop_ms`"), ({"limits": {"sockets": 5}}, "`$.limits.sockets`"),
    ({"limits": {"memory_mb": "all"}}, "`$.limits.memory_mb`"),
    ({"settings": {}}, "$.settings"), ({"settings": SETTINGS | {"Profiles": []}}, "`$.settings.Profiles`"),
    ({"settings": SETTINGS | {"Profiles": [SETTINGS["Profiles"][0]] * 2}}, "settings.Profiles[1].Name"),
    ({"settings": SETTINGS | {"Profiles": [SETTINGS["Profiles"][0] | {"Value": 1e200}]}}, ".Profiles[0].Value"),
    ({"settings": SETTINGS | {"Domain": SETTINGS["Domain"] | {"Say": "louder"}}}, "`$.settings.Domain.Say`"),
    ({"listen": "a..b:80"}, "listen: 'a..b:80'"), ({"vm": "x" * 64 + ":80"}, "vm: 'xxx"),
])
def test_a_faulty_configuration_names_its_key(change, words):
    given = {key: value for key, value in (GIVEN | change).items() if value is not None}
    with pytest.raises(Faulty) as bad:
        parse(json.dumps(given).encode())
    assert words in str(bad.value)


@pytest.mark.parametrize("command", ["serve", "check-config"])
@pytest.mark.parametrize("content, words", [(None, "cannot be read"), ("{", "not JSON"), ("{}", "`name`"),
                                            ("[" * 100_000, "not JSON")])
def test_a_faulty_configuration_ends_the_start_with_one_plain_line(tmp_path, command, content, words):
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    done = subprocess.run([sys.executable, "-m", "hollystage", command, "--config", str(path)],
                          capture_output=True, text=True)
    assert done.returncode == 2 and words in done.stderr and done.stderr.count("\n") == 1
