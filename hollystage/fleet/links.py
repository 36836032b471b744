"""Sockets of the fleet: datagrams and streams on one address. Each socket has one owner; streams have deadlines."""
from __future__ import annotations

import contextlib
import socket
import struct
import time

Address = tuple[str, int]
STREAM_S = 3.0  # for all frames of one connection
QUEUE = 1 << 20  # requested from the kernel for datagrams that wait to be read
LENGTH = struct.Struct("!I")


class Cut(Exception):
    """The stream ended, exceeded its deadline, or carried a frame over the size limit."""


def address_of(text: str) -> Address:
    """Splits `host:port`.

    Raises:
        ValueError: the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class Links:
    """Owns the datagram socket and the stream listener, both bound to `bind` (host:port)."""

    def __init__(self, bind: str) -> None:
        self.bind = address_of(bind)
        self.datagrams: socket.socket
        self.listener: socket.socket
        self.limit: float | None = -1.0

    def open(self) -> None:
        """Opens both sockets.

        Raises:
            OSError: the address cannot be bound; no socket stays open.
        """
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE)
            datagrams.bind(self.bind)
            self.listener = socket.create_server(self.bind, backlog=16)
        except OSError:
            datagrams.close()
            raise
        self.datagrams = datagrams

    def hang_up(self) -> None:
        """Closes the listener only: the datagram socket is closed by the thread that reads it."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def send(self, address: str, data: bytes) -> bool:
        """Sends a datagram without blocking. False if the kernel did not take it: it is lost, as in the network."""
        try:
            return self.datagrams.sendto(data, socket.MSG_DONTWAIT, address_of(address)) == len(data)
        except (OSError, OverflowError, ValueError):
            return False

    def receive(self, wait_s: float) -> bytes | None:
        """The next datagram, None if none arrives in time. One of more than 2048 bytes is truncated."""
        try:
            if wait_s <= 0:
                return self.datagrams.recv(2048, socket.MSG_DONTWAIT)
            self.datagrams.settimeout(wait_s)
            return self.datagrams.recv(2048)
        except (TimeoutError, BlockingIOError):
            return None
        except ConnectionRefusedError:  # ICMP error for an earlier datagram whose receiver was not there
            return b""

    def accept(self) -> socket.socket:
        """The next inbound connection. Blocks.

        Raises:
            OSError: it could not be accepted, or the listener was closed.
        """
        return self.listener.accept()[0]

    def connect(self, address: str) -> Frames:
        """Connects from the bound host, so that address filters at the peer recognize this instance.

        Raises:
            OSError: the peer cannot be reached.
        """
        deadline = time.monotonic() + STREAM_S
        return Frames(socket.create_connection(address_of(address), 1.0, (self.bind[0], 0)), deadline)


class Frames:
    """A stream of frames, each a length of 4 bytes and the data. Whoever opens it closes it.

    All reads and writes must end before `deadline`, in seconds of `time.monotonic`.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self.sock, self.until = sock, deadline

    def send(self, data: bytes) -> None:
        """Sends one frame.

        Raises:
            StreamError, OSError: the stream ended or is too slow.
        """
        self._bound()
        self.sock.sendall(LENGTH.pack(len(data)) + data)

    def read(self, max_size: int) -> bytes:
        """The data of the next frame.

        Raises:
            StreamError, OSError: the stream ended or is too slow, or the frame is longer than `max_size` bytes.
        """
        (length,) = LENGTH.unpack(self._exactly(LENGTH.size))
        if length > max_size:
            raise Cut("frame exceeds the size limit")
        return self._exactly(length)

    def _exactly(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            self._bound()
            chunk = self.sock.recv(min(65536, size - len(data)))
            if not chunk:
                raise Cut("stream ended")
            data += chunk
        return bytes(data)

    def _bound(self) -> None:
        remaining = self.until - time.monotonic()
        if remaining <= 0:
            raise Cut("stream deadline exceeded")
        self.sock.settimeout(remaining)

    def close(self) -> None:
        self.sock.close()
