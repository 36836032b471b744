"""The link to the interpreter: sends commands and receives notices, and loses neither when the connection is lost.

The commands of a run are kept until a notice confirms that they were received. On a new connection the interpreter
first sends the notices that were missed. Then the link requests the gauges; their arrival shows that all missed
notices were read, and only then are the commands of the runs that are still open sent again. Thus a run that has
ended is never requested again. An interpreter that is still starting rejects the request for gauges, so they are
requested when its BANNER arrives.
"""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from queue import SimpleQueue
from typing import Any

import msgspec

from ..interface import Outcome
from .buffers import BufferPool, IncompleteMessageError, MessageTooLongError, Stream, set_socket_timeout
from .config import Address
from .counters import Counters
from .driver import Driver
from .notices import OUTCOME_OF_RESULT, InterpreterProtocolError, Notice, NoticeDecoder

CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S, RECONNECT_DELAY_S = 0.5, 3.0, 0.05


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
        self.unacknowledged: dict[str, list[bytes]] = {}
        self.smoke_tests: dict[str, SmokeTest] = {}
        self.send_queue: SimpleQueue[tuple[socket.socket, bytes]] = SimpleQueue()
        self.sock: socket.socket | None = None  # None while disconnected
        self.synced = self.stopped = False
        self.offset = self.connection_count = self.request_count = 0
        self.queued_lines = 0  # lines that the writer thread has yet to send; new lines must queue behind them
        self.address_changed = threading.Event()  # set when the address changes
        self.decoder = NoticeDecoder()

    # Commands

    def apply(self, request_id: str, method: str, payload: bytes) -> None:
        """Starts a run."""
        with self.lock:
            self.unacknowledged[request_id] = []
        self._send_run_command(request_id, {"cmd": "APPLY", "req": request_id, "method": method, "payload": payload})

    def halt(self, request_id: str) -> None:
        """Takes a run off the cores."""
        self._send_run_command(request_id, {"cmd": "BREAK", "req": request_id})

    def resolve(self, request_id: str, payload: bytes) -> None:
        """Resumes a run with the reply to its downstream call."""
        self._send_run_command(request_id, {"cmd": "RESOLVE", "req": request_id, "payload": payload})

    def stub(self, request_id: str, offset: int) -> None:
        """Resumes a run without its downstream call, which the notice at `offset` requested."""
        self._send_run_command(request_id, {"cmd": "STUB", "req": request_id, "offset": offset})

    def request_gauges(self) -> None:
        """Requests the gauges, unless the link is still synchronizing."""
        with self.lock:
            self.request_count += 1
            if self.synced:
                self._send({"cmd": "TOP", "token": f"top-{self.request_count}"})

    def run_smoke_test(self, timeout: float) -> bool:
        """Returns whether the interpreter executed a test command within `timeout` seconds."""
        smoke = SmokeTest()
        with self.lock:
            self.request_count += 1
            token = f"smoke-{self.request_count}"
            self.smoke_tests[token] = smoke
            if self.synced:
                self._send({"cmd": "SMOKE", "token": token})
        smoke.finished.wait(timeout)
        with self.lock:
            self.smoke_tests.pop(token, None)
        return smoke.passed

    def _send_run_command(self, request_id: str, command: dict[str, Any]) -> None:
        """Stores a command of an open run until it is confirmed, and sends it if the link is synchronized."""
        with self.lock:
            lines = self.unacknowledged.get(request_id)
            if lines is None:  # the run has ended
                return
            lines.append(self._encode(command))
            if self.synced:
                self._send_line(lines[-1])

    def _send(self, command: dict[str, Any]) -> None:
        self._send_line(self._encode(command))

    def _send_line(self, line: bytes) -> None:
        """Sends what the socket takes without blocking; the writer thread sends the rest."""
        if self.sock is None:
            return
        if not self.queued_lines:
            try:
                line = line[self.sock.send(line, socket.MSG_DONTWAIT):]
            except OSError:
                pass  # the buffer is full or the connection broken: the writer thread handles both
        if line:
            self.queued_lines += 1
            self.send_queue.put((self.sock, line))

    @staticmethod
    def _encode(command: dict[str, Any]) -> bytes:
        return msgspec.json.encode(command) + b"\n"

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
        """Reconnects at once if the address changed, and resynchronizes as after a lost connection."""
        with self.lock:
            if address != self.address:
                self.address = address
                self.address_changed.set()
                if self.sock is not None:
                    self._shut_down(self.sock)

    def stop(self) -> None:
        """Ends the connection and both threads."""
        with self.lock:
            self.stopped = True
            if self.sock is not None:
                self._shut_down(self.sock)
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
                self.connection_count += 1
                self.sock, self.synced, marker = sock, False, f"all-{self.connection_count}"
                self._send({"cmd": "CONNECT", "offset": self.offset})
            self.counters.add("interpreter.links")
            self._read_notices(Stream(sock, buffer), marker)
        except (OSError, IncompleteMessageError, MessageTooLongError, InterpreterProtocolError,
                msgspec.DecodeError) as error:
            if self.stopped:
                return
            self.counters.add("interpreter.broken")
            self.log.warning("interpreter connection lost", why=f"{type(error).__name__}: {error}")
        finally:
            with self.lock:
                self.sock, self.synced = None, False
            self._shut_down(sock)
            sock.close()
            self.pool.release(buffer)

    def _read_notices(self, stream: Stream, marker: str) -> None:
        """Reads notices until an exception ends the connection.

        `marker`: token of the request for gauges that follows the BANNER.
        """
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
            self._handle_notice(notice, marker)
            self.counters.add(f"interpreter.in.{notice.cmd}")

    def _handle_notice(self, notice: Notice, marker: str) -> None:
        match notice.cmd:
            case "VALUE":
                if notice.result not in OUTCOME_OF_RESULT:
                    raise InterpreterProtocolError(f"unknown result of a run: {notice.result!r}")
                with self.lock:
                    self.unacknowledged.pop(notice.req, None)
                duration = int(notice.elapsed_ms * 1000)
                self.driver.finished(notice.req, OUTCOME_OF_RESULT[notice.result], duration, notice.payload)
            case "AWAIT":
                with self.lock:
                    if notice.req in self.unacknowledged:
                        self.unacknowledged[notice.req] = []
                self.driver.at_call(notice.req, notice.offset, notice.payload)
            case "TOPS":
                self.driver.update_gauges(notice.load)
                if notice.token == marker:
                    self._resend_commands()
            case "BANNER":
                self.log.info("interpreter is up", start=notice.result, age_ms=notice.elapsed_ms)
                self.driver.interpreter_started(notice.result == "new", int(notice.elapsed_ms * 1000))
                with self.lock:
                    self._send({"cmd": "TOP", "token": marker})
            case "SMOKED":
                smoke = self.smoke_tests.get(notice.token)
                if smoke is not None:
                    smoke.passed = notice.result == "good"
                    smoke.finished.set()
            case "ERROR":
                self.log.warning("interpreter rejected a command", command=notice.result, rpc=notice.req)
                if notice.result == "APPLY":
                    with self.lock:
                        self.unacknowledged.pop(notice.req, None)
                    self.driver.finished(notice.req, Outcome.MOOT, 0, b"")
            case "TRACE":
                pass
            case _:
                raise InterpreterProtocolError(f"unknown notice {notice.cmd!r}")

    def _resend_commands(self) -> None:
        """Sends pending smoke tests and unacknowledged commands; all missed notices were read before."""
        with self.lock:
            self.synced = True
            for token in self.smoke_tests:
                self._send({"cmd": "SMOKE", "token": token})
            for lines in self.unacknowledged.values():
                for line in lines:
                    self._send_line(line)
