"""The link to the interpreter: sends commands and receives notices, and survives the loss of its connection.

On a new connection the interpreter first sends the notices that were missed. Then the link requests the gauges;
their arrival shows that these notices were read, and only then are commands sent. An interpreter that is still
starting rejects the request for gauges, so they are requested when its BANNER arrives. `PendingCommands` decides
which commands that were written to an earlier connection are sent again.

If the address changes, commands are held and the gauges are requested once more on the old connection. Their arrival
shows that the interpreter has read all earlier commands, so that none is in doubt when the link connects to the new
address.
"""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from queue import SimpleQueue
from typing import Any

import msgspec

from ..decisions.recovery.pending_commands import Command, CommandKind, PendingCommands
from ..interface import Outcome
from .buffers import BufferPool, IncompleteMessageError, MessageTooLongError, Stream, set_socket_timeout
from .config import Address
from .counters import Counters
from .driver import Driver, clock
from .notices import OUTCOME_OF_RESULT, InterpreterProtocolError, Notice, NoticeDecoder

CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S, RECONNECT_DELAY_S = 0.5, 3.0, 0.05
HANDOVER_TIMEOUT_S = 0.5  # for the reply on the connection to the old address, which is closed after 1.5 s


class SmokeTest:
    """A smoke test that is waiting for the interpreter's reply."""

    def __init__(self) -> None:
        self.finished, self.passed = threading.Event(), False


class InterpreterLink:
    """The connection to the interpreter, reconnected when it is lost.

    Commands may be sent from any thread and do not block; only run_smoke_test() waits. One thread reads notices,
    another writes what the socket did not take at once.
    """

    def __init__(self, address: Address, driver: Driver, pool: BufferPool, counters: Counters, log: Any) -> None:
        self.address, self.driver, self.pool, self.counters, self.log = address, driver, pool, counters, log
        self.lock = threading.Lock()
        self.pending = PendingCommands()
        self.smoke_tests: dict[str, SmokeTest] = {}
        self.send_queue: SimpleQueue[tuple[socket.socket, bytes]] = SimpleQueue()
        self.sock: socket.socket | None = None  # None while disconnected
        self.synced = self.stopped = False
        self.offset = self.smoke_count = 0
        self.queued_lines = 0  # lines that the writer thread has yet to send; new lines must queue behind them
        self.address_changed = threading.Event()  # set when the address changes
        # tokens of the requests for gauges that end the synchronization and a handover; empty if there is none
        self.sync_token = self.handover_token = ""
        self.handover_deadline = 0.0  # time.monotonic() at which a handover ends without the reply
        self.decoder = NoticeDecoder()

    # Commands

    def apply(self, request_id: str, method: str, payload: bytes, may_repeat: bool, caller_waits_until: int) -> None:
        """Starts a run.

        `may_repeat`: whether the RPC may run twice; `caller_waits_until`: when its caller gives up, microseconds.
        """
        with self.lock:
            self.pending.open_run(request_id, may_repeat, caller_waits_until)
        self._send_run_command(request_id, CommandKind.START, {
            "cmd": "APPLY", "req": request_id, "method": method, "payload": payload})

    def halt(self, request_id: str) -> None:
        """Takes a run off the cores."""
        self._send_run_command(request_id, CommandKind.HALT, {"cmd": "BREAK", "req": request_id})

    def resolve(self, request_id: str, offset: int, payload: bytes, may_skip: bool) -> None:
        """Resumes a run with the reply to its downstream call, which the notice at `offset` requested.

        `may_skip`: whether the run may go on without that call.
        """
        self._send_run_command(request_id, CommandKind.RESUME,
                               {"cmd": "RESOLVE", "req": request_id, "payload": payload},
                               _stub(request_id, offset) if may_skip else None)

    def stub(self, request_id: str, offset: int) -> None:
        """Resumes a run without its downstream call, which the notice at `offset` requested."""
        self._send_run_command(request_id, CommandKind.SKIP, _stub(request_id, offset))

    def request_gauges(self) -> None:
        """Requests the gauges, unless the link is still synchronizing; called at each tick."""
        with self.lock:
            if self.handover_token and time.monotonic() > self.handover_deadline:
                self.counters.add("interpreter.handovers_timed_out")
                self._drop_connection()
            if self.synced:
                self._send_pending()  # commands of RPCs that are over by now
                self._send_gauge_request()

    def run_smoke_test(self, timeout: float) -> bool:
        """Returns whether the interpreter executed a test command within `timeout` seconds."""
        smoke = SmokeTest()
        with self.lock:
            self.smoke_count += 1
            token = f"smoke-{self.smoke_count}"
            self.smoke_tests[token] = smoke
            if self.synced:
                self._send({"cmd": "SMOKE", "token": token})
        smoke.finished.wait(timeout)
        with self.lock:
            self.smoke_tests.pop(token, None)
        return smoke.passed

    def _send_run_command(self, request_id: str, kind: CommandKind, command: dict[str, Any],
                          substitute: dict[str, Any] | None = None) -> None:
        """Stores a command of an open run until it is confirmed, and sends it if the link is synchronized."""
        pending = Command(kind, _encode(command), _encode(substitute) if substitute else b"")
        with self.lock:
            if self.pending.add(request_id, pending) and self.synced:
                self._send_run_line(pending)

    def _send_pending(self) -> None:
        for command in self.pending.sendable(clock()):
            self._send_run_line(command)

    def _send_run_line(self, command: Command) -> None:
        if self._send_line(command.data):
            self.pending.written(command)

    def _send_gauge_request(self) -> str:
        """Requests the gauges and returns the token of the reply, which confirms the commands written before."""
        token = f"top-{self.pending.checkpoint()}"
        self._send({"cmd": "TOP", "token": token})
        return token

    def _send(self, command: dict[str, Any]) -> None:
        self._send_line(_encode(command))

    def _send_line(self, line: bytes) -> bool:
        """Sends what the socket takes without blocking; the writer thread sends the rest.

        Returns False if the connection is broken and certainly delivered no part of the line.
        """
        if self.sock is None:
            return False
        if not self.queued_lines:
            try:
                line = line[self.sock.send(line, socket.MSG_DONTWAIT):]
            except BlockingIOError:
                pass  # the buffer is full
            except OSError:
                self._shut_down(self.sock)  # the reader thread owns the socket and closes it
                return False
        if line:
            self.queued_lines += 1
            self.send_queue.put((self.sock, line))
        return True

    # Threads

    def run_writer(self) -> None:
        """Sends queued lines until the link is stopped."""
        while not self.stopped:
            sock, line = self.send_queue.get()
            try:
                sock.sendall(line)
            except OSError:
                self._shut_down(sock)  # the reader thread owns the socket and closes it
            with self.lock:
                self.queued_lines -= 1

    def run_reader(self) -> None:
        """Connects, reads notices and reconnects until the link is stopped."""
        while not self.stopped:
            self._run_connection()
            self.address_changed.wait(RECONNECT_DELAY_S)
            self.address_changed.clear()

    def set_address(self, address: Address) -> None:
        """If the address changed, connects to the new one once the interpreter has read all commands."""
        with self.lock:
            if address != self.address:
                self.address = address
                self.address_changed.set()
                if self.synced:
                    self.synced, self.handover_token = False, self._send_gauge_request()
                    self.handover_deadline = time.monotonic() + HANDOVER_TIMEOUT_S
                elif not self.handover_token:
                    self._drop_connection()

    def _drop_connection(self) -> None:
        """Ends the connection, if there is one; the reader thread owns the socket and closes it."""
        self.handover_token = ""
        if self.sock is not None:
            self._shut_down(self.sock)

    def stop(self) -> None:
        """Ends the connection and both threads."""
        with self.lock:
            self.stopped = True
            self._drop_connection()
            if self.sock is not None:
                self.queued_lines += 1
                self.send_queue.put((self.sock, b""))  # wakes the writer thread

    @staticmethod
    def _shut_down(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def _run_connection(self) -> None:
        """Connects and reads notices until the connection ends; returns if it cannot be established."""
        address = self.address
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            self.counters.add("interpreter.unreachable")
            return
        buffer = self.pool.acquire()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
            set_socket_timeout(sock, socket.SO_SNDTIMEO, SILENCE_TIMEOUT_S)
            with self.lock:
                if address != self.address:  # it changed while connecting
                    return
                self.sock = sock
                self._send({"cmd": "CONNECT", "offset": self.offset})
            self.counters.add("interpreter.links")
            self._read_notices(Stream(sock, buffer))
            self.counters.add("interpreter.handovers")
            self.log.info("interpreter has read all commands before the change of its address")
        except (OSError, IncompleteMessageError, MessageTooLongError, InterpreterProtocolError,
                msgspec.DecodeError) as error:
            if self.stopped:
                return
            self.counters.add("interpreter.broken")
            self.log.warning("interpreter connection lost", why=f"{type(error).__name__}: {error}")
        finally:
            self._connection_ended()
            self._shut_down(sock)
            sock.close()
            self.pool.release(buffer)

    def _connection_ended(self) -> None:
        """Lets no more commands be written, and counts those of which nobody knows whether they arrived."""
        with self.lock:
            self.sock, self.synced, self.sync_token, self.handover_token = None, False, "", ""
            uncertain = self.pending.connection_lost()
        if not any(uncertain):
            return
        self.log.info("commands of the ended interpreter connection may be lost", **uncertain._asdict())
        for action, number in uncertain._asdict().items():
            self.counters.add(f"interpreter.uncertain.{action}", number)

    def _read_notices(self, stream: Stream) -> None:
        """Reads notices until a handover completes or an exception ends the connection."""
        greeted = False
        while True:
            # the gauges are requested before each tick, so silence means a dead connection; before the BANNER there
            # is no deadline, since the interpreter may still be starting
            deadline = time.monotonic() + SILENCE_TIMEOUT_S if greeted else None
            try:
                line = stream.read_until(b"\n", len(stream.buffer), deadline)
            except MessageTooLongError:
                # can only be a TRACE; it is skipped, since a new connection would deliver it again
                stream.skip_past(b"\n", time.monotonic() + SILENCE_TIMEOUT_S)
                self.counters.add("interpreter.too_long")
                continue
            notice = self.decoder.decode(line)
            greeted = greeted or notice.cmd == "BANNER"
            if notice.offset:
                if notice.offset <= self.offset:
                    continue
                self.offset = notice.offset
            self._handle_notice(notice)
            self.counters.add(f"interpreter.in.{notice.cmd}")
            if notice.cmd == "TOPS" and notice.token == self.handover_token:
                return

    def _handle_notice(self, notice: Notice) -> None:
        match notice.cmd:
            case "VALUE":
                if notice.result not in OUTCOME_OF_RESULT:
                    raise InterpreterProtocolError(f"unknown result of a run: {notice.result!r}")
                with self.lock:
                    self.pending.run_ended(notice.req)
                duration = int(notice.elapsed_ms * 1000)
                self.driver.finished(notice.req, OUTCOME_OF_RESULT[notice.result], duration, notice.payload)
            case "AWAIT":
                with self.lock:
                    self.pending.run_at_call(notice.req)
                self.driver.at_call(notice.req, notice.offset, notice.payload)
            case "TOPS":
                self.driver.update_gauges(notice.load)
                with self.lock:
                    self._confirm(notice.token)
            case "BANNER":
                self.log.info("interpreter is up", start=notice.result, age_ms=notice.elapsed_ms)
                self.driver.interpreter_started(notice.result == "new", int(notice.elapsed_ms * 1000))
                with self.lock:
                    self.sync_token = self._send_gauge_request()
            case "SMOKED":
                smoke = self.smoke_tests.get(notice.token)
                if smoke is not None:
                    smoke.passed = notice.result == "good"
                    smoke.finished.set()
            case "ERROR":
                self.log.warning("interpreter rejected a command", command=notice.result, rpc=notice.req)
                if notice.result == "APPLY":
                    with self.lock:
                        self.pending.run_ended(notice.req)
                    self.driver.finished(notice.req, Outcome.MOOT, 0, b"")
            case "TRACE":
                pass
            case _:
                raise InterpreterProtocolError(f"unknown notice {notice.cmd!r}")

    def _confirm(self, token: str) -> None:
        """The reply to a request for gauges arrived: the interpreter has read what was written before the request."""
        number = token.removeprefix("top-")
        if number.isascii() and number.isdigit():
            self.pending.confirm(int(number))
        if token == self.sync_token:  # all missed notices were read before
            self.synced, self.sync_token = True, ""
            for smoke_token in self.smoke_tests:
                self._send({"cmd": "SMOKE", "token": smoke_token})
            self._send_pending()


def _encode(command: dict[str, Any]) -> bytes:
    return msgspec.json.encode(command) + b"\n"


def _stub(request_id: str, offset: int) -> dict[str, Any]:
    return {"cmd": "STUB", "req": request_id, "offset": offset}
