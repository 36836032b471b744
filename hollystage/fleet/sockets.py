"""Sockets of the fleet: datagrams and streams on one address. Each socket has one owner, each stream a deadline."""
from __future__ import annotations

import contextlib
import socket
import struct
import time

Address = tuple[str, int]
STREAM_TIMEOUT_S = 3.0  # for all frames of one connection
RECEIVE_BUFFER_BYTES = 1 << 20  # requested from the kernel for datagrams that wait to be read
LENGTH_PREFIX = struct.Struct("!I")


class StreamError(Exception):
    """The stream ended, exceeded its deadline, or carried a frame over the size limit."""


def parse_address(text: str) -> Address:
    """Splits `host:port`.

    Raises:
        ValueError: the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class PeerSockets:
    """Owns the datagram socket and the stream listener, both bound to `bind` (host:port)."""

    def __init__(self, bind: str) -> None:
        self.bind = parse_address(bind)
        self.datagram_socket: socket.socket
        self.listener: socket.socket
        self.limit: float | None = -1.0

    def open(self) -> None:
        """Opens both sockets.

        Raises:
            OSError: the address cannot be bound; no socket stays open.
        """
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            datagrams.bind(self.bind)
            self.listener = socket.create_server(self.bind, backlog=16)
        except OSError:
            datagrams.close()
            raise
        self.datagram_socket = datagrams

    def close_listener(self) -> None:
        """Closes the listener only: the datagram socket is closed by the thread that reads it."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def send(self, address: str, data: bytes) -> bool:
        """Sends a datagram without blocking. False if the kernel did not take it: it is lost, as in the network."""
        try:
            return self.datagram_socket.sendto(data, socket.MSG_DONTWAIT, parse_address(address)) == len(data)
        except (OSError, OverflowError, ValueError):
            return False

    def receive(self, wait_s: float) -> bytes | None:
        """The next datagram, None if none arrives in time. One of more than 2048 bytes is truncated."""
        try:
            if wait_s <= 0:
                return self.datagram_socket.recv(2048, socket.MSG_DONTWAIT)
            self.datagram_socket.settimeout(wait_s)
            return self.datagram_socket.recv(2048)
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

    def connect(self, address: str) -> FramedStream:
        """Connects from the bound host, so that address filters at the peer recognize this instance.

        Raises:
            OSError: the peer cannot be reached.
        """
        deadline = time.monotonic() + STREAM_TIMEOUT_S
        return FramedStream(socket.create_connection(parse_address(address), 1.0, (self.bind[0], 0)), deadline)


class FramedStream:
    """A stream of frames, each of which is a length of 4 bytes and the data. The code that opens it closes it.

    All reads and writes must end before `deadline`, in seconds of `time.monotonic`.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self.sock, self.deadline = sock, deadline

    def send(self, data: bytes) -> None:
        """Sends one frame.

        Raises:
            StreamError, OSError: the stream ended or is too slow.
        """
        self._apply_deadline()
        self.sock.sendall(LENGTH_PREFIX.pack(len(data)) + data)

    def read(self, max_size: int) -> bytes:
        """The data of the next frame.

        Raises:
            StreamError, OSError: the stream ended or is too slow, or the frame is longer than `max_size` bytes.
        """
        (length,) = LENGTH_PREFIX.unpack(self._read_exactly(LENGTH_PREFIX.size))
        if length > max_size:
            raise StreamError("frame exceeds the size limit")
        return self._read_exactly(length)

    def _read_exactly(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            self._apply_deadline()
            chunk = self.sock.recv(min(65536, size - len(data)))
            if not chunk:
                raise StreamError("stream ended")
            data += chunk
        return bytes(data)

    def _apply_deadline(self) -> None:
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise StreamError("stream deadline exceeded")
        self.sock.settimeout(remaining)

    def close(self) -> None:
        self.sock.close()
