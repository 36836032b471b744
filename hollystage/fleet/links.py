"""The sockets of the fleet's talk: datagrams and streams on one address, each with one owner and bounded in time."""
from __future__ import annotations

import contextlib
import socket
import struct
import time

Address = tuple[str, int]
STREAM_S = 3.0  # for a whole exchange of frames
QUEUE = 1 << 20  # bytes of datagrams that may wait, asked of the kernel
LENGTH = struct.Struct("!I")


class Cut(Exception):
    """The stream ended, or would not within its time."""


def address_of(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Links:
    """Owns the datagram socket and the listener, both bound to `bind`."""

    def __init__(self, bind: str) -> None:
        self.bind = address_of(bind)
        self.datagrams: socket.socket
        self.listener: socket.socket
        self.limit: float | None = -1.0

    def open(self) -> None:
        """
        Raises:
            OSError: the address cannot be used; nothing is left open then.
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
        """No more streams; the datagram socket is closed by the thread that reads it."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def send(self, address: str, data: bytes) -> bool:
        """A datagram; what the kernel will not take is lost, as on the way."""
        try:
            return self.datagrams.sendto(data, socket.MSG_DONTWAIT, address_of(address)) == len(data)
        except (OSError, OverflowError, ValueError):
            return False

    def receive(self, wait_s: float) -> bytes | None:
        """The next datagram; None where none comes within the time. One over the size limit comes cut."""
        try:
            if wait_s <= 0:
                return self.datagrams.recv(2048, socket.MSG_DONTWAIT)
            self.datagrams.settimeout(wait_s)
            return self.datagrams.recv(2048)
        except (TimeoutError, BlockingIOError):
            return None
        except ConnectionRefusedError:  # word of an earlier datagram that found nobody
            return b""

    def accept(self) -> socket.socket:
        return self.listener.accept()[0]

    def connect(self, address: str) -> Frames:
        """From the bound host, so that the other side's filters know us.

        Raises:
            OSError: nobody is there.
        """
        until = time.monotonic() + STREAM_S
        return Frames(socket.create_connection(address_of(address), 1.0, (self.bind[0], 0)), until)


class Frames:
    """One stream: lengths and bytes, all of it within one time; closed by whoever opened it."""

    def __init__(self, sock: socket.socket, until: float) -> None:
        self.sock, self.until = sock, until

    def send(self, data: bytes) -> None:
        self._bound()
        self.sock.sendall(LENGTH.pack(len(data)) + data)

    def read(self, most: int) -> bytes:
        """
        Raises:
            Cut, OSError: it ended, is too slow, or is longer than `most`.
        """
        (length,) = LENGTH.unpack(self._exactly(LENGTH.size))
        if length > most:
            raise Cut("a frame over the limit")
        return self._exactly(length)

    def _exactly(self, size: int) -> bytes:
        parts = bytearray()
        while len(parts) < size:
            self._bound()
            part = self.sock.recv(min(65536, size - len(parts)))
            if not part:
                raise Cut("the stream ended")
            parts += part
        return bytes(parts)

    def _bound(self) -> None:
        left = self.until - time.monotonic()
        if left <= 0:
            raise Cut("the stream took too long")
        self.sock.settimeout(left)

    def close(self) -> None:
        self.sock.close()
