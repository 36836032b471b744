"""The server side of the instance: the listener, one thread per connection, the handling of RPCs, close detection."""
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

FIRST_S = 1.5  # from a connection's start to the end of its first message: bounds silent and slow clients
# a connection is not evicted before this age; with this share of new connections no established one is evicted
SETTLE_S, FLOOD = 0.3, 0.25
SLOW_S = 2.0  # from the first byte of a later message to its last
TAKE_S = 5.0  # for the client to receive an answer
# accepted X-Request-Start: how far ahead of our clock, how far past the method's deadline
AHEAD_MS, BEHIND_MS = 5_000, 30_000
PATIENT = 10  # largest X-Timeout-Ms, in deadlines of the method
DEEP_S = 1.0  # for the interpreter to answer a deep health check
OVERDUE_S = 1.0  # past an RPC's due time; the decision module must have answered long before
TAKEN_S = 2.0  # how long the listen address may still be in use
LINGER_S = 0.5  # for the client to close after its last answer
SPENT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # accept() fails for lack of resources
SWEEP_S, AGAIN_S = 0.1, 0.01  # between checks for idle connections; between attempts to accept
HANDED_OVER_S = 0.5  # for the accepting thread to end, or for free descriptors, when the listener closes
BACKLOG = 512
ATTACH_FILTER = 26  # from Linux's asm/socket.h; Python does not define it

Answer = tuple[int, dict[str, str], bytes]  # status, header fields, body


class Clients:
    """Owns the listener and every accepted connection; a connection is served by a thread of its own."""

    def __init__(self, address: Address, names: list[str], driver: Driver, link: Link, ledger: Ledger,
                 max_connections: int, pool: Pool, counters: Counters, log: Any) -> None:
        self.driver, self.link, self.ledger, self.pool = driver, link, ledger, pool
        self.counters, self.log = counters, log
        self.methods = dict(zip(names, driver.settings.methods, strict=True))
        self.lock = threading.Lock()
        self.connections: dict[int, Connection] = {}
        self.most, self.room = max_connections, threading.Semaphore(max_connections)
        self.closing = self.stopped = False
        self.acceptor: threading.Thread | None = None  # may have accepted a connection that is not in the table yet
        self.epoll = select.epoll()
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bind(address)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted sockets inherit it
        self.listener.listen(BACKLOG)

    def _bind(self, address: Address) -> None:
        """Binds the listener; retries for a while, since a killed predecessor may still hold the address."""
        deadline = time.monotonic() + TAKEN_S
        while True:
            try:
                return self.listener.bind(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > deadline:
                    self.listener.close()
                    raise
                time.sleep(SWEEP_S)

    def accept_forever(self) -> None:
        """Accepts connections until `close`; at the limit it evicts one first."""
        self.acceptor = threading.current_thread()
        while not self.closing:
            if not self.room.acquire(blocking=False):
                self._make_room()
                if not self.room.acquire(timeout=SWEEP_S):
                    continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.room.release()
                if not self.closing:
                    self._not_accepted(error)
                continue
            self._begin(sock)

    def _not_accepted(self, error: OSError) -> None:
        self.counters.add("clients.not_accepted")
        if error.errno in SPENT:
            self.log.warning("cannot accept connections", why=str(error))
            self._make_room()
            time.sleep(AGAIN_S)

    def _begin(self, sock: socket.socket) -> None:
        """Starts the thread that serves the connection and finally closes it."""
        connection = Connection(sock)
        with self.lock:
            self.connections[sock.fileno()] = connection
        self.counters.add("clients.connections")
        try:
            threading.Thread(target=self._connection, args=(connection,), daemon=True).start()
        except (RuntimeError, MemoryError) as error:  # no thread can be started
            self.log.error("cannot start a thread for a connection", why=str(error))
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        """The only place that closes a connection and releases its slot in the table."""
        with self.lock:
            self.connections.pop(connection.sock.fileno(), None)
            connection.sock.close()
        self.room.release()

    def _make_room(self) -> None:
        """Closes a connection when the table is full.

        Chooses the oldest that has sent nothing, else the one that has been idle longest, else the oldest that is
        still sending its first message. Connections that were just opened are spared, since their RPC is probably in
        transit. While many connections are new, no established one is closed; a flood would otherwise evict them
        all.
        """
        with self.lock:
            new = [c for c in self.connections.values() if not c.proven and not c.hung_up]
            old = [c for c in new if time.monotonic() - c.begun > SETTLE_S]
            candidates = [c for c in old if c.idle_since]
            if not candidates and len(new) < FLOOD * self.most:
                candidates = [c for c in self.connections.values() if c.proven and c.idle_since]
            if candidates:
                self._hang_up(min(candidates, key=lambda connection: connection.idle_since))
            elif old:
                self._hang_up(min(old, key=lambda connection: connection.begun))

    def _hang_up(self, connection: Connection) -> None:
        # shuts the reading side only: an RPC that is in transit is still read and answered
        connection.hung_up, connection.resting, connection.idle_since = True, connection.idle_since > 0, 0.0
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RD)

    def count(self) -> int:
        """Returns the number of open connections."""
        with self.lock:
            return len(self.connections)

    def close(self) -> None:
        """Stops accepting. Connections that wait to be accepted are still served; idle ones are closed."""
        self.closing = True
        with contextlib.suppress(OSError):
            # a connection that the kernel completes between the last accept and the close would be reset with an
            # RPC on it; this filter drops new connection attempts, and their retransmission is refused
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
            # an accepted connection may not be in the table yet, and the drain waits for the table to be empty
            self.acceptor.join(HANDED_OVER_S)

    def _accept_waiting(self, deadline: float) -> None:
        """Accepts the connections that wait; idle connections are closed meanwhile, which frees descriptors.

        Raises:
            OSError: no connection waits any more, or no descriptor became free in time.
        """
        while True:
            try:
                self._begin(self.listener.accept()[0])
            except OSError as error:
                if error.errno not in SPENT or time.monotonic() > deadline:
                    raise
                time.sleep(AGAIN_S)

    def stop(self) -> None:
        """Shuts down every connection, even with open RPCs."""
        self.stopped = True
        with self.lock:
            for connection in self.connections.values():
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)

    def watch_forever(self) -> None:
        """Reports callers that close during an RPC to the driver, and closes idle connections."""
        checked_at = 0.0
        while not self.stopped:
            events = self.epoll.poll(SWEEP_S)
            for descriptor, _ in events:
                with self.lock:
                    connection = self.connections.get(descriptor)
                    # the descriptor may belong to another connection by now; our own shutdown looks like a close
                    if connection is None or connection.hung_up or not closed_by_peer(connection.sock):
                        continue
                    connection.closed, exchange = True, connection.exchange
                if exchange is not None:
                    self.driver.gone(exchange)
            now = time.monotonic()
            if now - checked_at >= SWEEP_S:
                checked_at = now
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Closes connections that exceed the idle limit, or all idle ones during shutdown."""
        limit = self.driver.idle / 1e6
        with self.lock:
            for connection in self.connections.values():
                if connection.idle_since and (self.closing or limit and now - connection.idle_since > limit):
                    self.counters.add("clients.idle_closed")
                    self._hang_up(connection)

    # Serving one connection

    def _connection(self, connection: Connection) -> None:
        try:
            buffer = self.pool.take()
        except MemoryError:
            return self._end(connection)
        sock = connection.sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            bound(sock, socket.SO_SNDTIMEO, TAKE_S)
            self.epoll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLET)  # removed when it is closed
            stream = CallerStream(connection, buffer)
            deadline: float | None = connection.begun + FIRST_S
            while stream.more(deadline) if stream.empty() else True:
                connection.idle_since = 0.0
                if not self._message(connection, stream, deadline or time.monotonic() + SLOW_S):
                    self._linger(connection, stream)
                    break
                deadline, connection.idle_since = None, time.monotonic()
        except TimeoutError:
            self.counters.add("clients.silent")
        except OSError:
            self.counters.add("clients.broken")
        except Exception:
            self.counters.add("clients.crashed")
            self.log.exception("connection thread failed")
        finally:
            self.pool.give_back(buffer)
            self._end(connection)

    def _linger(self, connection: Connection, stream: Stream) -> None:
        """Reads until the client closes: closing with unread input sends a reset, which may drop the last answer."""
        connection.sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_S
        stream.drop()
        while stream.more(deadline):
            stream.drop()

    def _message(self, connection: Connection, stream: Stream, deadline: float) -> bool:
        """Reads and answers one message; returns whether the connection stays open."""
        keep_alive = False
        try:
            request = read_request(stream, deadline)
            keep_alive, connection.proven = request.keep, True
            answer = self._answer(connection, request)
        except Bad as error:
            keep_alive, answer = False, (error.status, {}, b"")
            self.counters.add(f"clients.bad.{error.status}")
            self.log.warning("invalid message from a client", status=error.status, why=str(error))
        except Broken:
            self.counters.add("clients.stopped_half_way")
            answer = (400, {}, b"")  # the client may have closed only its sending side
        except TimeoutError:
            self.counters.add("clients.slow")
            answer = (408, {}, b"")
        except OSError:
            raise  # reset: no answer can be sent
        except Exception:
            # the RPC must be answered whatever fails here
            self.counters.add("clients.crashed")
            self.log.exception("RPC handling failed")
            keep_alive, answer = False, (500, {}, b"")
        if answer is None:
            return False
        # pipelined messages that have arrived must be answered too; the last answer closes the connection
        if self.closing:
            keep_alive = keep_alive and (not stream.empty() or unread(connection.sock))
        else:
            keep_alive = keep_alive and not connection.hung_up
        status, fields, body = answer
        load_signal = self.driver.said
        if load_signal is not None:
            fields["X-Load-Signal"] = f"{load_signal:.4f}"
        connection.sock.sendall(write_response(status, fields, body, keep_alive))
        self.counters.add(f"clients.answers.{status}")
        return keep_alive

    def _answer(self, connection: Connection, request: Request) -> Answer | None:
        if request.path == "/status/live":
            if request.verb != "GET":
                raise Bad(405, "health checks must use GET")
            return self._health("deep=1" in request.query.split("&"))
        prefix, _, name = request.path.rpartition("/")
        name = plain(name)
        if prefix != "/svc" or name not in self.methods:
            raise Bad(404, "unknown path or method")
        if request.verb != "POST":
            raise Bad(405, "RPCs must use POST")
        return self._rpc(connection, request, name)

    def _health(self, deep: bool) -> Answer:
        self.counters.add("clients.checks")
        healthy = self.driver.healthy
        return (200 if healthy and (not deep or self.link.smoke(DEEP_S)) else 503), {}, b""

    # Serving one RPC

    def _rpc(self, connection: Connection, request: Request, name: str) -> Answer | None:
        """Serves one RPC; returns its answer, or None if the caller disconnected.

        Raises:
            HttpError: the request is invalid.
        """
        given, method = rpc_fields(request.fields), self.methods[name]
        if method.kind is Kind.TOKENED and given.token is None:
            raise Bad(400, "idempotency-key is missing")
        unread_time, deadline_ms = time.time_ns() // 1000 - given.start_ms * 1000, method.deadline // 1000
        if not -AHEAD_MS <= unread_time // 1000 <= deadline_ms + BEHIND_MS:
            raise Bad(400, "x-request-start is out of range")  # it would distort the learned unread times
        if given.timeout_ms is not None and given.timeout_ms > PATIENT * deadline_ms:
            raise Bad(400, "x-timeout-ms is out of range")
        unread_time = max(0, unread_time)
        timeout = max(1, given.timeout_ms * 1000 - unread_time) if given.timeout_ms is not None else 0
        rpc = Rpc(method, given.caller, None, given.memory_kb, timeout, unread_time, given.further)
        key = (name, given.token) if method.kind is Kind.TOKENED and given.token else None
        exchange = Exchange(rpc, given.ident, key, request.body if key else b"")
        error = self.driver.arrived(exchange)
        if error:
            raise Bad(400, error)
        self.counters.add("rpc.read")
        try:
            self._watch(connection, exchange)
            event_timeout = (timeout or method.deadline) / 1e6 + OVERDUE_S
            while True:
                event = _word(exchange, event_timeout)
                if isinstance(event, Gone):
                    return None
                if isinstance(event, Ended):
                    succeeded = event.outcome is Outcome.OK
                    self.counters.add("rpc.ok" if succeeded else "rpc.aborted")
                    return (200, {}, event.result) if succeeded else (500, {}, b"")
                match event.do:
                    case Do.PUSH_BACK:
                        self.counters.add("rpc.pushed_back")
                        fields = {"Retry-After-Ms": str(-(-event.span // 1000))} if event.span > 0 else {}
                        return 503, fields | ({"X-Dont-Retry": "1"} if event.flag else {}), b""
                    case Do.ABORT:
                        self.counters.add("rpc.aborted")
                        return 500, {}, b""
                    case Do.START:
                        self.link.apply(exchange.ident, name, request.body)
                        exchange.applied = True
                    case Do.CALL:
                        self._call(exchange, event.span)
                    case Do.SKIP:
                        self.link.stub(exchange.ident, exchange.at_call[0])
                    case Do.JOIN:
                        self.driver.join(exchange)
                    case Do.HALT:
                        self.link.halt(exchange.ident)
        except Empty:
            self.log.error("no decision for an RPC in time", rpc=exchange.ident, place=rpc.place)
            return 500, {}, b""
        finally:
            self._unwatch(connection)
            self.driver.left(exchange)

    def _call(self, exchange: Exchange, limit_us: int) -> None:
        """Makes the downstream call that the run waits for and passes its reply to the run."""
        started_at = clock()
        outcome, reply = self.ledger.post(exchange.ident, limit_us, exchange.at_call[1],
                                          lambda cancel: self.driver.calling(exchange, cancel))
        if self.driver.called(exchange, outcome, clock() - started_at) and outcome is Outcome.OK:
            self.link.resolve(exchange.ident, reply)

    def _watch(self, connection: Connection, exchange: Exchange) -> None:
        """From now on a close of the connection is reported for this RPC."""
        with self.lock:
            connection.exchange = exchange
            closed = connection.closed  # after it sent the message, before we read it
        if closed:
            self.driver.gone(exchange)

    def _unwatch(self, connection: Connection) -> None:
        with self.lock:
            connection.exchange = None


def _word(exchange: Exchange, timeout: float) -> Word:
    """Waits up to `timeout` seconds for the next event of an RPC.

    Raises:
        Empty: no event came, though the decision module had time to act.
    """
    try:
        return exchange.mailbox.get(timeout=timeout)
    except Empty:
        # after a long suspension of the process this wait ends before the module has handled what is due
        return exchange.mailbox.get(timeout=OVERDUE_S)
