"""The side of the clients: the listener, a thread a connection, an RPC's life, the watch for closes."""
from __future__ import annotations

import contextlib
import ctypes
import errno
import select
import socket
import struct
import threading
import time
from queue import Empty
from typing import Any

from ..interface import Do, Kind, Outcome, Rpc
from .buffers import Broken, Pool, Stream, bound
from .config import Address
from .connection import CallerStream, Connection, closed_by_peer, unread
from .counters import Counters
from .driver import Driver, clock
from .exchange import Ended, Exchange, Gone, Word
from .http import Bad, Request, plain, read_request, rpc_fields, write_response
from .interpreter import Link
from .ledger import Ledger

FIRST_S = 1.5  # from a connection's start to the end of its first message: silence and dribble end here
SETTLE_S, FLOOD = 0.3, 0.25  # a new connection is not closed for room before; share of the table
SLOW_S = 2.0  # from the first byte of a later message to its last
TAKE_S = 5.0  # for an answer to be taken
AHEAD_MS, BEHIND_MS = 5_000, 30_000  # an RPC's start off the clock; the latter past its deadline
PATIENT = 10  # deadlines that a caller may say it waits
DEEP_S = 1.0  # for the interpreter to show that work gets done
OVERDUE_S = 1.0  # past an RPC's due time: the module must have answered long before
TAKEN_S = 2.0
LINGER_S = 0.5  # for the other side to close after its last answer
SPENT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # an accept that fails for want of room
SWEEP_S, AGAIN_S = 0.1, 0.01
HANDED_OVER_S = 0.5  # for the accepting thread to end, or descriptors to come free, once the listener closes
BACKLOG = 512
ATTACH_FILTER = 26  # Linux; Python has no name for it

Answer = tuple[int, dict[str, str], bytes]


class Clients:
    """Owns the listener and every connection taken from it."""

    def __init__(self, address: Address, names: list[str], driver: Driver, link: Link, ledger: Ledger,
                 most: int, pool: Pool, counters: Counters, log: Any) -> None:
        self.driver, self.link, self.ledger, self.pool = driver, link, ledger, pool
        self.counters, self.log = counters, log
        self.methods = dict(zip(names, driver.settings.methods, strict=True))
        self.lock = threading.Lock()
        self.connections: dict[int, Connection] = {}
        self.most, self.room = most, threading.Semaphore(most)
        self.closing = self.stopped = False
        self.acceptor: threading.Thread | None = None  # may hold a connection that is not in the table yet
        self.epoll = select.epoll()
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bind(address)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is accepted inherits it
        self.listener.listen(BACKLOG)

    def _bind(self, address: Address) -> None:
        """Guards a start in haste: a predecessor that was killed may hold the address a moment longer."""
        until = time.monotonic() + TAKEN_S
        while True:
            try:
                return self.listener.bind(address)
            except OSError as bad:
                if bad.errno != errno.EADDRINUSE or time.monotonic() > until:
                    self.listener.close()
                    raise
                time.sleep(SWEEP_S)

    def accept_forever(self) -> None:
        self.acceptor = threading.current_thread()
        while not self.closing:
            if not self.room.acquire(blocking=False):
                self._make_room()
                if not self.room.acquire(timeout=SWEEP_S):
                    continue
            try:
                sock, _ = self.listener.accept()
            except OSError as bad:
                self.room.release()
                if not self.closing:
                    self._not_accepted(bad)
                continue
            self._begin(sock)

    def _not_accepted(self, bad: OSError) -> None:
        self.counters.add("clients.not_accepted")
        if bad.errno in SPENT:
            self.log.warning("no connection could be accepted", why=str(bad))
            self._make_room()
            time.sleep(AGAIN_S)

    def _begin(self, sock: socket.socket) -> None:
        """Gives the connection to a thread of its own, which ends it."""
        connection = Connection(sock)
        with self.lock:
            self.connections[sock.fileno()] = connection
        self.counters.add("clients.connections")
        try:
            threading.Thread(target=self._connection, args=(connection,), daemon=True).start()
        except (RuntimeError, MemoryError) as bad:  # no thread is to be had
            self.log.error("no thread for a connection", why=str(bad))
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        """The one place where a connection is closed and its place in the table given back."""
        with self.lock:
            self.connections.pop(connection.sock.fileno(), None)
            connection.sock.close()
        self.room.release()

    def _make_room(self) -> None:
        """Where all that may be open are: closes the oldest that never said anything, else the one idle longest,
        else the oldest in the middle of its first message. What has just connected is spared: its RPC is most
        likely on the way. Where much has just connected no known one is closed: a flood would else push out all
        of them."""
        with self.lock:
            new = [c for c in self.connections.values() if not c.proven and not c.hung_up]
            old = [c for c in new if time.monotonic() - c.begun > SETTLE_S]
            silent = [c for c in old if c.idle_since]
            if not silent and len(new) < FLOOD * self.most:
                silent = [c for c in self.connections.values() if c.proven and c.idle_since]
            if silent:
                self._hang_up(min(silent, key=lambda connection: connection.idle_since))
            elif old:
                self._hang_up(min(old, key=lambda connection: connection.begun))

    def _hang_up(self, connection: Connection) -> None:
        # reading side only: an RPC that crosses this close is read all the same, and answered
        connection.hung_up, connection.resting, connection.idle_since = True, connection.idle_since > 0, 0.0
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RD)

    def count(self) -> int:
        with self.lock:
            return len(self.connections)

    def close(self) -> None:
        """No new connections; those that wait to be accepted are served, idle ones closed."""
        self.closing = True
        with contextlib.suppress(OSError):
            # guards against a connection that the kernel takes between the last accept and the close, which
            # would reset it with an RPC on it: what comes now is dropped, and refused when it comes again
            drop = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
            self.listener.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER,
                                     struct.pack("HP", 1, ctypes.addressof(drop)))
        with contextlib.suppress(OSError):
            self.listener.setblocking(False)
            self._accept_waiting(time.monotonic() + HANDED_OVER_S)
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        if self.acceptor is not None:
            # guards a connection that was taken and is not in the table yet: whoever drains counts the table
            self.acceptor.join(HANDED_OVER_S)

    def _accept_waiting(self, until: float) -> None:
        """Takes what waits to be accepted; idle connections end meanwhile, so that descriptors come free.

        Raises:
            OSError: nothing waits any more, or there is no room for it in time.
        """
        while True:
            try:
                self._begin(self.listener.accept()[0])
            except OSError as bad:
                if bad.errno not in SPENT or time.monotonic() > until:
                    raise
                time.sleep(AGAIN_S)

    def stop(self) -> None:
        """Ends every connection, whatever is open on it."""
        self.stopped = True
        with self.lock:
            for connection in self.connections.values():
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)

    def watch_forever(self) -> None:
        """Tells of callers that close while their RPC is open; closes connections past the idle limit."""
        swept = 0.0
        while not self.stopped:
            events = self.epoll.poll(SWEEP_S)
            for number, _ in events:
                with self.lock:
                    connection = self.connections.get(number)
                    # the number may be another connection's by now; our own hanging up looks like a close
                    if connection is None or connection.hung_up or not closed_by_peer(connection.sock):
                        continue
                    connection.closed, exchange = True, connection.exchange
                if exchange is not None:
                    self.driver.gone(exchange)
            now = time.monotonic()
            if now - swept >= SWEEP_S:
                swept = now
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        limit = self.driver.idle / 1e6
        with self.lock:
            for connection in self.connections.values():
                if connection.idle_since and (self.closing or limit and now - connection.idle_since > limit):
                    self.counters.add("clients.idle_closed")
                    self._hang_up(connection)

    # One connection

    def _connection(self, connection: Connection) -> None:
        try:
            buffer = self.pool.take()
        except MemoryError:
            return self._end(connection)
        sock = connection.sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            bound(sock, socket.SO_SNDTIMEO, TAKE_S)
            self.epoll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLET)  # until its close
            stream = CallerStream(connection, buffer)
            until: float | None = connection.begun + FIRST_S
            while stream.more(until) if stream.empty() else True:
                connection.idle_since = 0.0
                if not self._message(connection, stream, until or time.monotonic() + SLOW_S):
                    self._linger(connection, stream)
                    break
                until, connection.idle_since = None, time.monotonic()
        except TimeoutError:
            self.counters.add("clients.silent")
        except OSError:
            self.counters.add("clients.broken")
        except Exception:
            self.counters.add("clients.crashed")
            self.log.exception("a connection's thread failed")
        finally:
            self.pool.give_back(buffer)
            self._end(connection)

    def _linger(self, connection: Connection, stream: Stream) -> None:
        """Guards the last answer against the reset that a close with unread input sends."""
        connection.sock.shutdown(socket.SHUT_WR)
        until = time.monotonic() + LINGER_S
        stream.drop()
        while stream.more(until):
            stream.drop()

    def _message(self, connection: Connection, stream: Stream, until: float) -> bool:
        """Reads and answers one message; whether the connection stays open."""
        keep = False
        try:
            request = read_request(stream, until)
            keep, connection.proven = request.keep, True
            answer = self._answer(connection, request)
        except Bad as bad:
            keep, answer = False, (bad.status, {}, b"")
            self.counters.add(f"clients.bad.{bad.status}")
            self.log.warning("bad message from a client", status=bad.status, why=str(bad))
        except Broken:
            self.counters.add("clients.stopped_half_way")
            answer = (400, {}, b"")  # owed where only the sending side was closed
        except TimeoutError:
            self.counters.add("clients.slow")
            answer = (408, {}, b"")
        except OSError:
            raise  # reset: nobody is there to be answered
        except Exception:
            # whatever is wrong here, the RPC gets its answer
            self.counters.add("clients.crashed")
            self.log.exception("an RPC's thread failed")
            keep, answer = False, (500, {}, b"")
        if answer is None:
            return False
        # what a caller sent behind it, and is here already, is owed an answer too: by the last the connection ends
        if self.closing:
            keep = keep and (not stream.empty() or unread(connection.sock))
        else:
            keep = keep and not connection.hung_up
        status, fields, body = answer
        said = self.driver.said
        if said is not None:
            fields["X-Load-Signal"] = f"{said:.4f}"
        connection.sock.sendall(write_response(status, fields, body, keep))
        self.counters.add(f"clients.answers.{status}")
        return keep

    def _answer(self, connection: Connection, request: Request) -> Answer | None:
        if request.path == "/status/live":
            if request.verb != "GET":
                raise Bad(405, "health checks are asked by GET")
            return self._health("deep=1" in request.query.split("&"))
        prefix, _, name = request.path.rpartition("/")
        name = plain(name)
        if prefix != "/svc" or name not in self.methods:
            raise Bad(404, "an unknown path or method")
        if request.verb != "POST":
            raise Bad(405, "RPCs come by POST")
        return self._rpc(connection, request, name)

    def _health(self, deep: bool) -> Answer:
        self.counters.add("clients.checks")
        healthy = self.driver.healthy
        return (200 if healthy and (not deep or self.link.smoke(DEEP_S)) else 503), {}, b""

    # One RPC, from top to bottom

    def _rpc(self, connection: Connection, request: Request, name: str) -> Answer | None:
        given, method = rpc_fields(request.fields), self.methods[name]
        if method.kind is Kind.TOKENED and given.token is None:
            raise Bad(400, "idempotency-key is missing")
        waited, deadline_ms = time.time_ns() // 1000 - given.start_ms * 1000, method.deadline // 1000
        if not -AHEAD_MS <= waited // 1000 <= deadline_ms + BEHIND_MS:
            raise Bad(400, "x-request-start is far off")  # guards what the module learns of unread times
        if given.timeout_ms is not None and given.timeout_ms > PATIENT * deadline_ms:
            raise Bad(400, "x-timeout-ms is out of range")
        waited = max(0, waited)
        patience = max(1, given.timeout_ms * 1000 - waited) if given.timeout_ms is not None else 0
        rpc = Rpc(method, given.caller, None, given.memory_kb, patience, waited, given.further)
        token = (name, given.token) if method.kind is Kind.TOKENED and given.token else None
        exchange = Exchange(rpc, given.ident, token, request.body if token else b"")
        refused = self.driver.arrived(exchange)
        if refused:
            raise Bad(400, refused)
        self.counters.add("rpc.read")
        try:
            self._watch(connection, exchange)
            latest = (patience or method.deadline) / 1e6 + OVERDUE_S
            while True:
                word = _word(exchange, latest)
                if isinstance(word, Gone):
                    return None
                if isinstance(word, Ended):
                    good = word.outcome is Outcome.OK
                    self.counters.add("rpc.ok" if good else "rpc.aborted")
                    return (200, {}, word.result) if good else (500, {}, b"")
                match word.do:
                    case Do.PUSH_BACK:
                        self.counters.add("rpc.pushed_back")
                        fields = {"Retry-After-Ms": str(-(-word.span // 1000))} if word.span > 0 else {}
                        return 503, fields | ({"X-Dont-Retry": "1"} if word.flag else {}), b""
                    case Do.ABORT:
                        self.counters.add("rpc.aborted")
                        return 500, {}, b""
                    case Do.START:
                        self.link.apply(exchange.ident, name, request.body)
                        exchange.applied = True
                    case Do.CALL:
                        self._call(exchange, word.span)
                    case Do.SKIP:
                        self.link.stub(exchange.ident, exchange.at_call[0])
                    case Do.JOIN:
                        self.driver.join(exchange)
                    case Do.HALT:
                        self.link.halt(exchange.ident)
        except Empty:
            self.log.error("an RPC got no word in time", rpc=exchange.ident, place=rpc.place)
            return 500, {}, b""
        finally:
            self._unwatch(connection)
            self.driver.left(exchange)

    def _call(self, exchange: Exchange, span: int) -> None:
        begun = clock()
        outcome, reply = self.ledger.post(exchange.ident, span, exchange.at_call[1],
                                          lambda cancel: self.driver.calling(exchange, cancel))
        if self.driver.called(exchange, outcome, clock() - begun) and outcome is Outcome.OK:
            self.link.resolve(exchange.ident, reply)

    def _watch(self, connection: Connection, exchange: Exchange) -> None:
        with self.lock:
            connection.exchange = exchange
            closed = connection.closed  # behind the message, before it was read
        if closed:
            self.driver.gone(exchange)

    def _unwatch(self, connection: Connection) -> None:
        with self.lock:
            connection.exchange = None


def _word(exchange: Exchange, latest: float) -> Word:
    """
    Raises:
        Empty: none came, though the module had its turn.
    """
    try:
        return exchange.mailbox.get(timeout=latest)
    except Empty:
        # where the whole process was stopped for long, this wait ends before the module has looked at what is due
        return exchange.mailbox.get(timeout=OVERDUE_S)
