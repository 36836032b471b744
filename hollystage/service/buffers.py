"""A pool of receive buffers of one size, and a stream that reads from a socket through one of them."""
from __future__ import annotations

import socket
import struct
import threading
import time
from math import ceil

MAX_FREE_BUFFERS = 64  # more buffers, as after a burst of connections, are returned to the system
# fits the head and body of the largest message, or an interpreter line with the largest result
BUFFER_BYTES = 16 * 1024


class BufferPool:
    """Buffers for reuse. A connection releases its buffer at the one place where the connection ends."""

    def __init__(self) -> None:
        self.free: list[bytearray] = []
        self.lock = threading.Lock()

    def acquire(self) -> bytearray:
        """Returns a free buffer, or a new one."""
        with self.lock:
            if self.free:
                return self.free.pop()
        return bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Returns a buffer to the pool."""
        with self.lock:
            if len(self.free) < MAX_FREE_BUFFERS:
                self.free.append(buffer)


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """Sets SO_RCVTIMEO or SO_SNDTIMEO, in seconds; 0 means no timeout. SO_SNDTIMEO also bounds connect().

    The kernel's timeout is used because with a timeout of Python's socket module every call polls first.
    """
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(seconds), int(seconds % 1 * 1e6)))


class MessageTooLongError(Exception):
    """The delimiter was not found within the size limit."""


class IncompleteMessageError(Exception):
    """The peer closed the connection within a message."""


class Stream:
    """Reads from one socket through a buffer. Deadlines are seconds of the monotonic clock; None means no limit."""

    def __init__(self, sock: socket.socket, buffer: bytearray) -> None:
        self.sock, self.view, self.buffer = sock, memoryview(buffer), buffer
        self.start = self.end = 0  # of the received bytes that have not been consumed
        self.timeout_cs = 0  # receive timeout set on the socket, in hundredths of a second; 0 means none

    def fill(self, deadline: float | None) -> bool:
        """Receives whatever is available; returns False at the end of the stream.

        Raises:
            MessageTooLongError: the buffer is full.
            TimeoutError: nothing arrived before the deadline.
        """
        if self.start:
            self.view[:self.end - self.start] = self.view[self.start:self.end]
            self.start, self.end = 0, self.end - self.start
        if self.end == len(self.view):
            raise MessageTooLongError
        timeout_cs = 0
        if deadline is not None:
            timeout_cs = ceil(100 * (deadline - time.monotonic()))
            if timeout_cs <= 0:
                raise TimeoutError
        if timeout_cs != self.timeout_cs:
            self.timeout_cs = timeout_cs
            set_socket_timeout(self.sock, socket.SO_RCVTIMEO, timeout_cs / 100)
        try:
            count = self.sock.recv_into(self.view[self.end:])
        except BlockingIOError:
            raise TimeoutError from None
        self.end += count
        return count > 0

    def is_empty(self) -> bool:
        """Whether all received bytes are consumed."""
        return self.start == self.end

    def discard(self) -> None:
        """Drops the received bytes that are not consumed."""
        self.start = self.end = 0

    def read_until(self, delimiter: bytes, limit: int, deadline: float | None) -> bytes:
        """Reads up to and including the delimiter, at most `limit` bytes.

        Raises:
            MessageTooLongError: the delimiter is not within the limit.
            IncompleteMessageError: the stream ended before it.
            TimeoutError: the deadline passed.
        """
        position = self.start
        while True:
            found = self.buffer.find(delimiter, position, min(self.end, self.start + limit))
            if found >= 0:
                return self._consume(found + len(delimiter) - self.start)
            if self.end - self.start >= limit:
                raise MessageTooLongError
            searched = max(0, self.end - self.start - len(delimiter) + 1)
            if not self.fill(deadline):
                raise IncompleteMessageError
            position = self.start + searched

    def skip_past(self, delimiter: bytes, deadline: float) -> None:
        """Drops everything up to and including the delimiter, however long it is.

        Raises:
            IncompleteMessageError: the stream ended before it.
            TimeoutError: the deadline passed.
        """
        while (found := self.buffer.find(delimiter, self.start, self.end)) < 0:
            self.discard()
            if not self.fill(deadline):
                raise IncompleteMessageError
        self.start = found + len(delimiter)

    def read_exactly(self, size: int, deadline: float | None) -> bytes:
        """Reads `size` bytes.

        Raises:
            IncompleteMessageError: the stream ended before that.
            TimeoutError: the deadline passed.
        """
        while self.end - self.start < size:
            if not self.fill(deadline):
                raise IncompleteMessageError
        return self._consume(size)

    def _consume(self, size: int) -> bytes:
        consumed = bytes(self.view[self.start:self.start + size])
        self.start += size
        return consumed
