"""State of a client connection, the stream that reads it, and checks of its socket."""
from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios
import time

from .buffers import Stream
from .exchange import Exchange

# wait for the rest of a message that was in transit when we shut the reading side; interval between two polls
PENDING_MESSAGE_S, PENDING_MESSAGE_POLL_S = 0.5, 0.01
RESERVED_DESCRIPTORS = 12  # descriptors kept for the listener, the interpreter link, reports and files
# memory of a process without connections; of a connection with a thread, its buffers and the largest message
PROCESS_MEMORY_MB, CONNECTION_MEMORY_KB = 48, 64
MIN_CONNECTIONS_BY_MEMORY = 16  # with less memory than this takes, an instance serves all the same
ACKNOWLEDGEMENT_POLL_MS = 5  # interval between two checks whether all output was acknowledged
C_INT = struct.Struct("i")


class Connection:
    """A client connection. All fields but the socket are guarded by the lock of the connection table."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.opened_at = self.idle_since = time.monotonic()  # idle_since is 0 while a message is handled
        self.message_received = False  # at least one whole message was read
        self.has_sent_rpc = False  # at least one valid RPC was read
        self.reading_shut = False  # by us; a message in transit is still answered
        self.idle_at_shut = False  # it was idle when we shut it: a message in transit may still be completed
        self.peer_closed = False  # the caller closed its side
        self.exchange: Exchange | None = None


class CallerStream(Stream):
    """Completes a message that was in transit when we shut the reading side of an idle connection.

    After SHUT_RD a receive no longer blocks, but data that the peer sends still arrives, so this stream polls.
    """

    def __init__(self, connection: Connection, buffer: bytearray) -> None:
        super().__init__(connection.sock, buffer)
        self.connection = connection

    def fill(self, deadline: float | None) -> bool:
        """Receives as `Stream.fill` does, and polls for the rest of a message after SHUT_RD."""
        if super().fill(deadline):
            return True
        if self.is_empty() or not self.connection.idle_at_shut:
            return False
        poll_deadline = time.monotonic() + PENDING_MESSAGE_S
        while time.monotonic() < (poll_deadline if deadline is None else min(poll_deadline, deadline)):
            time.sleep(PENDING_MESSAGE_POLL_S)
            if super().fill(deadline):
                return True
        return False


def max_client_connections(sockets: int, calls: int, memory_mb: float) -> int:
    """Returns the maximum number of client connections that the descriptors and the memory allow.

    `calls` of `sockets` descriptors are for downstream calls; `memory_mb` is the limit of the process.

    >>> [max_client_connections(*limits) for limits in ((1024, 128, 192), (32, 4, 192), (1024, 128, 64))]
    [704, 16, 256]
    """
    by_descriptors = min(sockets * 11 // 16, sockets - calls - RESERVED_DESCRIPTORS)
    by_memory = int((memory_mb - PROCESS_MEMORY_MB) * 1024 / CONNECTION_MEMORY_KB)
    return min(by_descriptors, max(MIN_CONNECTIONS_BY_MEMORY, by_memory))


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether the socket has unread bytes."""
    with contextlib.suppress(BlockingIOError):
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    return False


def closed_by_peer(sock: socket.socket) -> bool:
    """Whether the peer has closed its side, even if data that it sent before is unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def await_acknowledgement(sock: socket.socket, timeout: float) -> None:
    """Waits up to `timeout` seconds until the peer has acknowledged all that was sent, or has reset the connection.

    After that a reset by us, which the kernel sends when input arrives at a closed socket, drops no answer.
    """
    poll = select.poll()
    poll.register(sock, 0)  # reports a reset only
    deadline = time.monotonic() + timeout
    while _unacknowledged_bytes(sock) and time.monotonic() < deadline and not poll.poll(ACKNOWLEDGEMENT_POLL_MS):
        pass


def _unacknowledged_bytes(sock: socket.socket) -> int:
    count: int = C_INT.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(C_INT.size)))[0]
    return count
