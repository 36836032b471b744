"""One client's connection, the stream read from it, and what the system tells of its other side."""
from __future__ import annotations

import contextlib
import select
import socket
import time

from .buffers import Stream
from .exchange import Exchange

CROSSING_S, CROSSING_STEP_S = 0.5, 0.01  # for the rest of a message that crosses our closing; between two looks
RESERVED = 12  # descriptors that neither clients nor calls may take: the listener, the link, reports, files


class Connection:
    """One client's connection; all but the socket is guarded by the lock of the table that it stands in."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.begun = self.idle_since = time.monotonic()  # the latter 0 while a message is read or answered
        self.proven = False  # a whole message was read on it
        self.hung_up = False  # by us: what crosses that is answered all the same
        self.resting = False  # it was idle when we hung up: a message that was on its way may still come whole
        self.closed = False  # by the caller
        self.exchange: Exchange | None = None


class CallerStream(Stream):
    """Reads on where we hung up while a message was on its way.

    Once the reading side is shut, a receipt no longer waits; what the other side sends arrives all the same.
    """

    def __init__(self, connection: Connection, buffer: bytearray) -> None:
        super().__init__(connection.sock, buffer)
        self.connection = connection

    def more(self, until: float | None) -> bool:
        if super().more(until):
            return True
        if self.empty() or not self.connection.resting:
            return False
        latest = time.monotonic() + CROSSING_S
        while time.monotonic() < (latest if until is None else min(latest, until)):
            time.sleep(CROSSING_STEP_S)
            if super().more(until):
                return True
        return False


def most_clients(sockets: int, calls: int) -> int:
    """How many connections clients may have of the process's descriptors, `calls` of which are for calls below.

    >>> most_clients(1024, 128), most_clients(32, 4)
    (704, 16)
    """
    return min(sockets * 11 // 16, sockets - calls - RESERVED)


def unread(sock: socket.socket) -> bool:
    """Whether bytes lie unread."""
    with contextlib.suppress(BlockingIOError):
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    return False


def closed_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has closed, whatever it sent before."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
