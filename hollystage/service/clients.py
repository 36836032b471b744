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

from ..decisions.message_rate import MessageRate
from ..interface import ActionKind, Method, MethodKind, Outcome, Rpc
from .buffers import BufferPool, IncompleteMessageError, Stream, set_socket_timeout
from .config import Address
from .connection import CallerStream, Connection, await_acknowledgement, closed_by_peer, has_unread_bytes
from .counters import Counters
from .driver import Driver, clock
from .exchange import CallerDisconnected, Exchange, ExchangeEvent, RunResult
from .http import HttpError, Request, RpcFields, encode_response, parse_rpc_fields, percent_decode, read_request
from .interpreter import InterpreterLink
from .ledger_client import LedgerClient
from .tenants import TenantDirectory

# from a connection's start to the end of its first message; closes silent and slow connections
FIRST_MESSAGE_TIMEOUT_S = 1.5
# age that a new connection reaches before it may be closed while it is idle or evicted; share of the table: with
# more new connections than this, no established one is evicted
MIN_CONNECTION_AGE_S, FLOOD_SHARE = 0.3, 0.25
MESSAGE_TIMEOUT_S = 2.0  # from the first byte of a later message to its last
SEND_TIMEOUT_S = 5.0  # for the client to receive an answer
# accepted X-Request-Start: how far ahead of our clock, how far past the method's deadline
MAX_CLOCK_AHEAD_MS, MAX_PAST_DEADLINE_MS = 5_000, 30_000
MAX_TIMEOUT_DEADLINES = 10  # largest X-Timeout-Ms, in deadlines of the method
# a larger X-Cost-Ms counts as this many deadlines of the method, so that one caller cannot distort the learned
# ratio of work to hints without bound
MAX_HINT_DEADLINES = 10
NO_TIME_LEFT = -1  # microseconds; a timeout of 0 would mean that it is unknown
DEEP_CHECK_TIMEOUT_S = 1.0  # for the interpreter to answer a deep health check
DECISION_TIMEOUT_S = 1.0  # past an RPC's due time; the decision module must have answered long before
BIND_TIMEOUT_S = 2.0  # how long the listen address may still be in use
LINGER_S = 0.5  # for the client to close after its last answer
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # accept() fails for lack of resources
SWEEP_INTERVAL_S, ACCEPT_RETRY_S = 0.1, 0.01  # between checks for idle connections; between attempts to accept
HANDOVER_TIMEOUT_S = 0.5  # for the accepting thread to end, or for free descriptors, when the listener closes
BACKLOG = 512  # connections that wait to be accepted
SO_ATTACH_FILTER = 26  # from Linux's asm/socket.h; Python does not define it

Answer = tuple[int, dict[str, str], bytes]  # status, header fields, body


class ClientConnections:
    """Owns the listener and every accepted connection; a connection is served by a thread of its own."""

    def __init__(self, address: Address, names: list[str], tenants: TenantDirectory, driver: Driver,
                 link: InterpreterLink, ledger: LedgerClient, max_connections: int, pool: BufferPool,
                 counters: Counters, log: Any) -> None:
        self.tenants, self.driver, self.link, self.ledger, self.pool = tenants, driver, link, ledger, pool
        self.counters, self.log = counters, log
        self.methods = dict(zip(names, driver.settings.methods, strict=True))
        self.lock = threading.Lock()
        self.connections: dict[int, Connection] = {}
        self.max_connections, self.connection_slots = max_connections, threading.Semaphore(max_connections)
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
        deadline = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                return self.listener.bind(address)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > deadline:
                    self.listener.close()
                    raise
                time.sleep(SWEEP_INTERVAL_S)

    def accept_connections(self) -> None:
        """Accepts connections until `close`; at the limit it evicts one first."""
        self.acceptor = threading.current_thread()
        while not self.closing:
            if not self.connection_slots.acquire(blocking=False):
                self._evict_connection()
                if not self.connection_slots.acquire(timeout=SWEEP_INTERVAL_S):
                    continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.connection_slots.release()
                if not self.closing:
                    self._on_accept_error(error)
                continue
            self._start_connection(sock)

    def _on_accept_error(self, error: OSError) -> None:
        self.counters.add("clients.not_accepted")
        if error.errno in RESOURCE_ERRNOS:
            self.log.warning("cannot accept connections", why=str(error))
            self._evict_connection()
            time.sleep(ACCEPT_RETRY_S)

    def _start_connection(self, sock: socket.socket) -> None:
        """Starts the thread that serves the connection and finally closes it."""
        connection = Connection(sock)
        with self.lock:
            self.connections[sock.fileno()] = connection
        self.counters.add("clients.connections")
        try:
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()
        except (RuntimeError, MemoryError) as error:  # no thread can be started
            self.log.error("cannot start a thread for a connection", why=str(error))
            self._close_connection(connection)

    def _close_connection(self, connection: Connection) -> None:
        """The only place that closes a connection and releases its slot in the table."""
        with self.lock:
            self.connections.pop(connection.sock.fileno(), None)
            connection.sock.close()
        self.connection_slots.release()

    def _evict_connection(self) -> None:
        """Closes a connection when the table is full.

        Chooses the oldest that has sent nothing, else the one that has been idle longest, else the oldest that is
        still sending its first message. Connections that were just opened are spared, since their RPC is probably in
        transit. While many connections are new, no established one is closed; a flood would otherwise evict them
        all.
        """
        with self.lock:
            new = [c for c in self.connections.values() if not c.message_received and not c.reading_shut]
            old = [c for c in new if time.monotonic() - c.opened_at > MIN_CONNECTION_AGE_S]
            candidates = [c for c in old if c.idle_since]
            if not candidates and len(new) < FLOOD_SHARE * self.max_connections:
                candidates = [c for c in self.connections.values() if c.message_received and c.idle_since]
            if candidates:
                self._shut_reading(min(candidates, key=lambda connection: connection.idle_since))
            elif old:
                self._shut_reading(min(old, key=lambda connection: connection.opened_at))

    def _shut_reading(self, connection: Connection) -> None:
        # shuts the reading side only: an RPC that is in transit is still read and answered
        connection.reading_shut, connection.idle_at_shut, connection.idle_since = True, connection.idle_since > 0, 0.0
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
            self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                                     struct.pack("HP", 1, ctypes.addressof(drop)))
        with contextlib.suppress(OSError):
            self.listener.setblocking(False)
            self._accept_pending(time.monotonic() + HANDOVER_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        if self.acceptor is not None:
            # an accepted connection may not be in the table yet, and the drain waits for the table to be empty
            self.acceptor.join(HANDOVER_TIMEOUT_S)

    def _accept_pending(self, deadline: float) -> None:
        """Accepts the connections that wait; idle connections are closed meanwhile, which frees descriptors.

        Raises:
            OSError: no connection waits any more, or no descriptor became free in time.
        """
        while True:
            try:
                self._start_connection(self.listener.accept()[0])
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS or time.monotonic() > deadline:
                    raise
                time.sleep(ACCEPT_RETRY_S)

    def stop(self) -> None:
        """Shuts down every connection, even with open RPCs."""
        self.stopped = True
        with self.lock:
            for connection in self.connections.values():
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_RDWR)

    def watch_connections(self) -> None:
        """Reports callers that close during an RPC to the driver, and closes idle connections."""
        checked_at = 0.0
        while not self.stopped:
            events = self.epoll.poll(SWEEP_INTERVAL_S)
            for descriptor, _ in events:
                with self.lock:
                    connection = self.connections.get(descriptor)
                    # the descriptor may belong to another connection by now; our own shutdown looks like a close
                    if connection is None or connection.reading_shut or not closed_by_peer(connection.sock):
                        continue
                    connection.peer_closed, exchange = True, connection.exchange
                if exchange is not None:
                    self.driver.caller_disconnected(exchange)
            now = time.monotonic()
            if now - checked_at >= SWEEP_INTERVAL_S:
                checked_at = now
                self._close_idle(now)

    def _close_idle(self, now: float) -> None:
        """Closes connections that exceed the idle limit, or all idle ones during shutdown.

        Connections that were just opened are spared, since their first RPC is probably in transit.
        """
        limit = self.driver.idle_limit / 1e6
        first_limit = max(limit, MIN_CONNECTION_AGE_S)
        with self.lock:
            for connection in self.connections.values():
                max_idle = limit if connection.message_received else first_limit
                if connection.idle_since and (self.closing or limit and now - connection.idle_since > max_idle):
                    self.counters.add("clients.idle_closed")
                    self._shut_reading(connection)

    # Serving one connection

    def _serve_connection(self, connection: Connection) -> None:
        try:
            buffer = self.pool.acquire()
        except MemoryError:
            return self._close_connection(connection)
        sock = connection.sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_socket_timeout(sock, socket.SO_SNDTIMEO, SEND_TIMEOUT_S)
            self.epoll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLET)  # removed when it is closed
            stream = CallerStream(connection, buffer)
            message_rate = MessageRate(clock())
            deadline: float | None = connection.opened_at + FIRST_MESSAGE_TIMEOUT_S
            while stream.fill(deadline) if stream.is_empty() else True:
                self._set_idle_since(connection, 0.0)
                if not self._handle_message(connection, stream, deadline or time.monotonic() + MESSAGE_TIMEOUT_S):
                    self._linger(connection, stream)
                    break
                deadline = None
                self._pause_after_message(message_rate)
                self._set_idle_since(connection, time.monotonic())
            if connection.reading_shut:
                await_acknowledgement(sock, LINGER_S)
        except TimeoutError:
            self.counters.add("clients.silent")
        except OSError:
            self.counters.add("clients.broken")
        except Exception:
            self.counters.add("clients.crashed")
            self.log.exception("connection thread failed")
        finally:
            self.pool.release(buffer)
            self._close_connection(connection)

    def _pause_after_message(self, message_rate: MessageRate) -> None:
        """Lets the other threads run if this connection sends very fast; during a drain all is read at once."""
        delay = message_rate.delay_after_message(clock())
        if delay and not self.closing:
            self.counters.add("clients.paused")
            time.sleep(delay / 1e6)

    def _set_idle_since(self, connection: Connection, idle_since: float) -> None:
        # under the lock: a check that found the connection idle must shut it before it counts as busy
        with self.lock:
            connection.idle_since = idle_since

    def _linger(self, connection: Connection, stream: Stream) -> None:
        """Reads until the client closes: closing with unread input sends a reset, which may drop the last answer."""
        if connection.reading_shut:
            return  # a receive no longer blocks, and after SHUT_WR the kernel answers any input with a reset
        connection.sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_S
        stream.discard()
        while stream.fill(deadline):
            stream.discard()

    def _handle_message(self, connection: Connection, stream: Stream, deadline: float) -> bool:
        """Reads and answers one message; returns whether the connection stays open."""
        keep_alive = False
        try:
            request = read_request(stream, deadline)
            keep_alive, connection.message_received = request.keep_alive, True
            answer = self._handle_request(connection, request)
        except HttpError as error:
            keep_alive, answer = False, (error.status, {}, b"")
            self.counters.add(f"clients.bad.{error.status}")
            self.log.warning("invalid message from a client", status=error.status, why=str(error))
        except IncompleteMessageError:
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
            keep_alive = keep_alive and (not stream.is_empty() or has_unread_bytes(connection.sock))
        else:
            keep_alive = keep_alive and not connection.reading_shut
        status, fields, body = answer
        load_signal = self.driver.load_signal
        if load_signal is not None:
            fields["X-Load-Signal"] = f"{load_signal:.4f}"
        connection.sock.sendall(encode_response(status, fields, body, keep_alive))
        self.counters.add(f"clients.answers.{status}")
        return keep_alive

    def _handle_request(self, connection: Connection, request: Request) -> Answer | None:
        if request.path == "/status/live":
            if request.verb != "GET":
                raise HttpError(405, "health checks must use GET")
            return self._check_health("deep=1" in request.query.split("&"))
        prefix, _, name = request.path.rpartition("/")
        name = percent_decode(name)
        if prefix != "/svc" or name not in self.methods:
            raise HttpError(404, "unknown path or method")
        if request.verb != "POST":
            raise HttpError(405, "RPCs must use POST")
        return self._serve_rpc(connection, request, name)

    def _check_health(self, deep: bool) -> Answer:
        self.counters.add("clients.checks")
        healthy = self.driver.healthy
        return (200 if healthy and (not deep or self.link.run_smoke_test(DEEP_CHECK_TIMEOUT_S)) else 503), {}, b""

    # Serving one RPC

    def _serve_rpc(self, connection: Connection, request: Request, name: str) -> Answer | None:
        """Serves one RPC; returns its answer, or None if the caller disconnected.

        Raises:
            HttpError: the request is invalid.
        """
        header, method = parse_rpc_fields(request.fields), self.methods[name]
        if method.kind is MethodKind.KEYED and header.idempotency_key is None:
            raise HttpError(400, "idempotency-key is missing")
        unread_time, deadline_ms = time.time_ns() // 1000 - header.start_ms * 1000, method.deadline // 1000
        if not -MAX_CLOCK_AHEAD_MS <= unread_time // 1000 <= deadline_ms + MAX_PAST_DEADLINE_MS:
            raise HttpError(400, "x-request-start is out of range")  # it would distort the learned unread times
        if header.timeout_ms is not None and header.timeout_ms > MAX_TIMEOUT_DEADLINES * deadline_ms:
            raise HttpError(400, "x-timeout-ms is out of range")
        unread_time = max(0, unread_time)
        timeout = _time_left(header, unread_time)
        if self._is_closed_by_caller(connection):
            self.counters.add("rpc.gone")
            return None
        work_hint = min(round(header.cost_ms * 1000), MAX_HINT_DEADLINES * method.deadline)
        rpc = Rpc(method, header.caller, self.tenants.find(header.tenant), header.memory_kb, timeout, unread_time,
                  header.is_retry, work_hint=work_hint, kept_connection=connection.has_sent_rpc)
        connection.has_sent_rpc = True
        key = (name, header.idempotency_key) if method.kind is MethodKind.KEYED and header.idempotency_key else None
        exchange = Exchange(rpc, header.request_id, key, request.body if key else b"")
        error = self.driver.arrived(exchange)
        if error:
            raise HttpError(400, error)
        self.counters.add("rpc.read")
        try:
            self._attach_exchange(connection, exchange)
            event_timeout = max(0, timeout or method.deadline) / 1e6 + DECISION_TIMEOUT_S
            while True:
                event = _next_event(exchange, event_timeout)
                if isinstance(event, CallerDisconnected):
                    return None
                if isinstance(event, RunResult):
                    succeeded = event.outcome is Outcome.OK
                    self.counters.add("rpc.ok" if succeeded else "rpc.aborted")
                    return (200, {}, event.result) if succeeded else (500, {}, b"")
                match event.kind:
                    case ActionKind.REJECT:
                        self.counters.add("rpc.pushed_back")
                        fields = {"Retry-After-Ms": str(-(-event.duration // 1000))} if event.duration > 0 else {}
                        return 503, fields | ({"X-Dont-Retry": "1"} if event.flag else {}), b""
                    case ActionKind.ABORT:
                        self.counters.add("rpc.aborted")
                        return 500, {}, b""
                    case ActionKind.START:
                        self.link.apply(exchange.request_id, name, request.body,
                                        method.kind is MethodKind.IDEMPOTENT, _caller_waits_until(header, method))
                        exchange.run_requested = True
                    case ActionKind.CALL:
                        self._make_call(exchange, event.duration)
                    case ActionKind.SKIP:
                        self.link.stub(exchange.request_id, exchange.pending_call[0])
                    case ActionKind.JOIN:
                        self.driver.join(exchange)
                    case ActionKind.HALT:
                        self.link.halt(exchange.request_id)
        except Empty:
            self.log.error("no decision for an RPC in time", rpc=exchange.request_id, place=rpc.state)
            return 500, {}, b""
        finally:
            self._detach_exchange(connection)
            self.driver.release(exchange)

    def _make_call(self, exchange: Exchange, limit_us: int) -> None:
        """Makes the downstream call that the run waits for and passes its reply to the run."""
        started_at = clock()
        outcome, reply = self.ledger.post(exchange.request_id, limit_us, exchange.pending_call[1],
                                          lambda cancel: self.driver.register_cancel(exchange, cancel))
        if self.driver.call_finished(exchange, outcome, clock() - started_at) and outcome is Outcome.OK:
            self.link.resolve(exchange.request_id, exchange.pending_call[0], reply,
                              exchange.rpc.method.skip_share > 0)

    def _is_closed_by_caller(self, connection: Connection) -> bool:
        """Whether the caller has closed its side; asks the system, as the watching thread may not know it yet."""
        closed = closed_by_peer(connection.sock)
        with self.lock:
            return connection.peer_closed or closed and not connection.reading_shut  # our own shutdown looks the same

    def _attach_exchange(self, connection: Connection, exchange: Exchange) -> None:
        """From now on a close of the connection is reported for this RPC."""
        with self.lock:
            connection.exchange = exchange
            closed = connection.peer_closed  # after it sent the message, before we read it
        if closed:
            self.driver.caller_disconnected(exchange)

    def _detach_exchange(self, connection: Connection) -> None:
        with self.lock:
            connection.exchange = None


def _time_left(header: RpcFields, unread_time: int) -> int:
    """Returns how long the caller still waits, as `Rpc.timeout`; microseconds."""
    if header.timeout_ms is None:
        return 0  # unknown
    return header.timeout_ms * 1000 - unread_time or NO_TIME_LEFT


def _caller_waits_until(header: RpcFields, method: Method) -> int:
    """Returns when the caller gives up at the latest; Unix time in microseconds."""
    return header.start_ms * 1000 + (method.deadline if header.timeout_ms is None else header.timeout_ms * 1000)


def _next_event(exchange: Exchange, timeout: float) -> ExchangeEvent:
    """Waits up to `timeout` seconds for the next event of an RPC.

    Raises:
        Empty: no event came, though the decision module had time to act.
    """
    try:
        return exchange.mailbox.get(timeout=timeout)
    except Empty:
        # after a long suspension of the process this wait ends before the module has handled what is due
        return exchange.mailbox.get(timeout=DECISION_TIMEOUT_S)
