"""Two events that meet: the order is forced by a hook or a lock at the step in question; table in docs/service.md."""
import contextlib
import errno
import threading
import time

import pytest
from helpers import Answering, Interpreter, World, until
from test_service import RPC, TOKEN

from hollystage.policy.buckets import CALLING, HELD, RUNNING, WAITING
from hollystage.service import clients as module
from hollystage.service import connection as connections
from hollystage.service.buffers import Stream


def half(ident=b"0123456789abcdef"):
    """An RPC in two halves."""
    text = RPC.replace(b"1764576000123", b"%d" % (time.time() * 1000)).replace(b"0123456789abcdef", ident)
    return text[:40], text[40:]


class Proxy:
    """Stands for another object, but for what a test replaces."""

    def __init__(self, real, **replaced):
        self.__dict__.update(replaced, real=real)

    def __getattr__(self, name):
        return getattr(self.real, name)


def failing(real, *errors):
    """A function that fails in these ways first, then does what the real one does."""
    left = list(errors)

    def call(*args, **kwargs):
        if left:
            raise left.pop(0)
        return real(*args, **kwargs)
    return call


# Closing

def test_half_a_message_that_crosses_our_closing_of_a_resting_connection_may_come_whole(monkeypatch):
    first, rest = half()
    taken, hung_up = threading.Event(), threading.Event()
    more = Stream.more

    def held(stream, until):
        got = more(stream, until)
        if got and stream.buffer[:stream.end] == first:  # received, and the thread does not say so yet
            taken.set()
            assert hung_up.wait(5)
        return got

    monkeypatch.setattr(Stream, "more", held)
    with World() as world:
        caller, clients = world.caller(), world.instance.clients
        assert caller.ask().status == 200
        caller.sock.sendall(first)
        assert taken.wait(5)
        with clients.lock:
            clients._hang_up(*clients.connections.values())
        hung_up.set()
        until(lambda: world.count("clients.connections") == 1)
        caller.sock.sendall(rest)
        answer = caller.answer()
        assert (answer.status, answer.keep) == (200, False)


def test_half_a_message_that_never_comes_whole_ends_in_time(monkeypatch):
    monkeypatch.setattr(connections, "CROSSING_S", 0.1)
    with World() as world:
        caller, clients = world.caller(), world.instance.clients
        assert caller.ask().status == 200
        connection, = clients.connections.values()
        caller.sock.sendall(half()[0])
        until(lambda: not connection.idle_since)
        with clients.lock:
            connection.idle_since = 1.0  # as the sweep may have seen it just before
            clients._hang_up(connection)
        begun = time.monotonic()
        assert caller.answer().status == 400 and caller.closed() and time.monotonic() - begun < 1


@pytest.mark.parametrize("size", [9_000, 40_000, 200_000])
def test_an_endless_head_is_refused_and_the_refusal_outlives_what_is_unread(size):
    with World() as world:
        for _ in range(10):
            caller = world.caller()
            caller.sock.sendall(b"POST /svc/lookup HTTP/1.1\r\nX: " + b"y" * size)
            assert caller.answer().status == 431
        assert world.count("clients.crashed") == 0


def test_answers_are_not_held_back_in_the_system():
    with World() as world:
        caller, clients = world.caller(), world.instance.clients
        assert caller.ask().status == 200
        connection, = clients.connections.values()
        for sock in (clients.listener, connection.sock):
            assert sock.getsockopt(module.socket.IPPROTO_TCP, module.socket.TCP_NODELAY)


@pytest.mark.parametrize("field, status", [(b"Content-Length: 0\r\nConnection: close", 200),
                                           (b"Content-Length: 9000", 413)])
def test_what_is_read_behind_the_last_answer_is_never_run(field, status):
    with World() as world:
        caller = world.caller()
        first, second = (b"".join(half(ident)) for ident in (b"0123456789abcdef", b"fedcba9876543210"))
        caller.sock.sendall(first.replace(b"Content-Length: 0", field) + second)
        answer = caller.answer()
        assert (answer.status, answer.keep) == (status, False) and caller.closed()
        assert len(world.interpreter.got("APPLY")) == (status == 200)


def test_a_reader_that_takes_nothing_is_let_go_in_time_and_the_rest_is_served_meanwhile(monkeypatch):
    monkeypatch.setattr(module, "TAKE_S", 0.3)
    with World() as world:
        clients, slow = world.instance.clients, world.caller()
        assert slow.ask().status == 200
        connection, = clients.connections.values()
        for sock, option in ((connection.sock, module.socket.SO_SNDBUF), (slow.sock, module.socket.SO_RCVBUF)):
            sock.setsockopt(module.socket.SOL_SOCKET, option, 4096)
        sender = threading.Thread(target=pipeline, args=(slow, 400), daemon=True)
        sender.start()
        assert world.caller().ask().status == 200
        until(lambda: connection not in clients.connections.values())
        assert world.count("clients.broken") == 1 and world.caller().ask().status == 200
        slow.sock.close()
        sender.join(5)


def pipeline(caller, many):
    """Sends RPCs one behind the other and reads no answer."""
    with contextlib.suppress(OSError):
        for _ in range(many):
            caller.send(body=bytes(2048))


# Shutdown

def drained(world):
    thread = threading.Thread(target=world.instance.drain)
    thread.start()
    return thread


def test_a_connection_that_was_taken_in_the_moment_of_the_shutdown_is_served():
    with World() as world:
        clients, go, held = world.instance.clients, threading.Event(), threading.Event()
        begin = clients._begin

        def late(sock):
            held.set()
            assert go.wait(5)
            begin(sock)

        clients._begin = late
        caller = world.caller().send()
        assert held.wait(5)  # accepted, and in no table yet
        drain = drained(world)
        until(lambda: clients.listener.fileno() < 0)
        time.sleep(0.05)
        assert drain.is_alive()
        go.set()
        answer = caller.answer()
        assert (answer.status, answer.keep) == (200, False)
        drain.join(5)
        assert not drain.is_alive()


def test_what_waits_to_be_accepted_at_the_shutdown_is_served_once_descriptors_come_free():
    with World() as world:
        clients = world.instance.clients
        # a full table: the accepting thread takes nothing more
        clients.room = Proxy(clients.room, acquire=lambda **_: time.sleep(0.01))
        world.caller()  # what it already waits for
        until(lambda: world.count("clients.connections") == 1)
        caller = world.caller().send()
        full = failing(clients.listener.accept, OSError(errno.EMFILE, "no descriptor"))
        clients.listener = Proxy(clients.listener, accept=full)
        drain = drained(world)
        assert caller.answer().status == 200
        drain.join(5)


def test_a_connection_that_died_before_it_was_accepted_costs_no_other_its_place():
    with World() as world:
        clients, known = world.instance.clients, world.caller()
        assert known.ask().status == 200
        aborted = failing(clients.listener.accept, OSError(errno.ECONNABORTED, "gone"))
        clients.listener = Proxy(clients.listener, accept=aborted)
        assert world.caller().ask().status == 200  # the accept that waited already
        until(lambda: world.count("clients.not_accepted") == 1)
        assert world.caller().ask().status == 200
        assert not any(connection.hung_up for connection in clients.connections.values())
        assert known.ask().status == 200


# Hand-overs

def test_a_run_whose_command_could_not_be_given_leaves_its_place():
    with World() as world:
        link, control = world.instance.link, world.instance.driver.control
        link.apply = failing(link.apply, MemoryError("none left"))
        assert world.caller().ask().status == 500
        until(lambda: not world.instance.driver.exchanges)
        assert control.places[RUNNING] == 0 and world.count("clients.crashed") == 1
        assert world.caller().ask().status == 200


def test_a_repeat_that_waits_for_a_run_whose_command_could_not_be_given_is_answered():
    with World() as world:
        link, joined = world.instance.link, threading.Event()

        def fail(*_):
            assert joined.wait(5)
            raise MemoryError("none left")

        link.apply = fail
        first = world.caller().send("booking", **TOKEN)
        until(lambda: world.instance.driver.control.places[RUNNING] == 1)
        repeat = world.caller().send("booking", **TOKEN)
        entries = world.instance.driver.tokens.entries
        until(lambda: any(entry.waiting for entry in entries.values()))
        joined.set()
        assert (first.answer().status, repeat.answer().status) == (500, 500)
        assert world.instance.driver.control.places[RUNNING] == 0


@pytest.mark.parametrize("place", [HELD, WAITING, CALLING])
def test_a_thread_that_fails_leaves_nothing_behind_wherever_its_rpc_was(place):
    with World(Interpreter(auto=False), Answering(None)) as world:
        driver = world.instance.driver
        world.interpreter.load = [1.0, 2.0]  # busy: nothing is run beyond the cores
        callers = [world.caller().send() for _ in range(2 if place == HELD else 1)]
        idents = world.interpreter.applied(len(callers))
        if place == HELD:
            callers.append(world.caller().send())
        else:
            if place == WAITING:
                driver.control.next_call = 1 << 62  # no call may begin
            world.interpreter.notice("AWAIT", idents[0], b"a call")
        exchange = until(lambda: next((e for e in list(driver.exchanges.values()) if e.rpc.place == place), None))
        if place == CALLING:
            until(lambda: world.ledger.heard)
        with driver.lock:
            exchange.post("no word at all")  # what handles it fails
        assert callers[-1].answer().status == 500
        assert place != HELD or driver.control.places[HELD] == 0
        for ident in idents:
            world.interpreter.end(ident, result="cut")
        until(lambda: not driver.exchanges)
        assert not any(driver.control.places[at] for at in (HELD, RUNNING, WAITING, CALLING))


def test_a_call_whose_rpc_ends_in_the_moment_of_its_beginning_is_never_made():
    with World(Interpreter(auto=False)) as world:
        driver, caller = world.instance.driver, world.caller().send()
        ident, = world.interpreter.applied()
        calling = driver.calling

        def late(exchange, cancel):
            if cancel is not None:
                caller.sock.close()
                until(lambda: world.count("rpc.gone") == 1)
            return calling(exchange, cancel)

        driver.calling = late
        world.interpreter.notice("AWAIT", ident, b"a call")
        until(lambda: world.interpreter.got("BREAK"))
        world.interpreter.end(ident, result="cut")
        until(lambda: not driver.exchanges)
        assert world.count("ledger.connections") == 0 and not world.ledger.heard


# Room

def test_a_first_message_that_comes_slowly_outlives_idle_connections_at_a_full_table():
    with World(limits={"sockets": 64}) as world:
        first, rest = half()
        slow = world.caller()
        slow.sock.sendall(first)
        begun = time.monotonic()
        known = [world.caller() for _ in range(42)]
        assert [caller.ask().status for caller in known] == [200] * 42
        until(lambda: time.monotonic() - begun > module.SETTLE_S)
        assert world.caller().ask().status == 200  # one idle connection gave way
        assert known[0].closed()
        slow.sock.sendall(rest)
        assert slow.answer().status == 200


def test_idle_clients_that_fill_the_table_while_the_control_plane_is_down_cost_no_report_and_no_call():
    with World(Interpreter(auto=False), limits={"sockets": 64}) as world:
        world.control.close()
        crowd = [world.caller() for _ in range(120)]
        until(lambda: world.instance.clients.count() == 44)
        until(lambda: world.count("registry.failures"))
        many = len(world.control.heard)
        caller = world.caller().send()
        ident, = world.interpreter.applied()
        world.interpreter.notice("AWAIT", ident, b"a call")
        until(lambda: world.interpreter.got("RESOLVE"))
        world.control.listen()
        until(lambda: len(world.control.heard) > many)
        world.interpreter.end(ident, b"served")
        assert caller.answer().body == b"served" and crowd[0].closed()


# Repeats

def test_a_repeat_across_a_reload_joins_the_run():
    with World(Interpreter(auto=False)) as world:
        first = world.caller().send("booking", b"x", **TOKEN)
        ident, = world.interpreter.applied()
        world.given["ledger"] = world.given["control"]
        world.instance.reload(world.config(None))
        first.sock.close()
        until(lambda: world.count("rpc.gone") == 1)
        repeat = world.caller().send("booking", b"x", **TOKEN)
        until(lambda: world.count("rpc.read") == 2)
        world.interpreter.end(ident, b"booked")
        assert repeat.answer().body == b"booked" and len(world.interpreter.got("APPLY")) == 1


def test_a_method_whose_name_has_to_be_escaped_in_a_path():
    with World() as world:
        clients = world.instance.clients
        clients.methods["zone map"] = clients.methods["lookup"]
        assert world.caller().ask("zone%20map").status == 200
        assert world.interpreter.got("APPLY")[0]["method"] == "zone map"
        assert world.caller().ask("zone%2map").status == 404
