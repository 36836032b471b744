"""Buffers of one size, used again from a pool, and the stream that fills one from a socket."""
from __future__ import annotations

import socket
import struct
import threading
import time
from math import ceil

SPARE = 64  # buffers kept for the next; a crowd's are given back to the system
SIZE = 16 * 1024  # a head and a body of the largest message, or a line with the largest result


class Pool:
    """Owns the buffers; who takes one gives it back in the one place that ends its connection."""

    def __init__(self) -> None:
        self.free: list[bytearray] = []
        self.lock = threading.Lock()

    def take(self) -> bytearray:
        with self.lock:
            if self.free:
                return self.free.pop()
        return bytearray(SIZE)

    def give_back(self, buffer: bytearray) -> None:
        with self.lock:
            if len(self.free) < SPARE:
                self.free.append(buffer)


def bound(sock: socket.socket, option: int, span: float) -> None:
    """Bounds each receipt or each sending, of a connection too; 0 for none. By the kernel: with a time-out of
    Python's own every call asks poll first."""
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(span), int(span % 1 * 1e6)))


class TooLong(Exception):
    """What is looked for does not end within its limit."""


class Broken(Exception):
    """The other side ended the connection within a message."""


class Stream:
    """What one socket received and nobody has used yet; times are of the monotonic clock."""

    def __init__(self, sock: socket.socket, buffer: bytearray) -> None:
        self.sock, self.view, self.buffer = sock, memoryview(buffer), buffer
        self.start = self.end = 0
        self.limit = 0  # of the next receipt, in hundredths of a second; 0 for none

    def more(self, until: float | None) -> bool:
        """Receives what there is; False at the end of the stream."""
        if self.start:
            self.view[:self.end - self.start] = self.view[self.start:self.end]
            self.start, self.end = 0, self.end - self.start
        if self.end == len(self.view):
            raise TooLong
        limit = 0
        if until is not None:
            limit = ceil(100 * (until - time.monotonic()))
            if limit <= 0:
                raise TimeoutError
        if limit != self.limit:
            self.limit = limit
            bound(self.sock, socket.SO_RCVTIMEO, limit / 100)
        try:
            count = self.sock.recv_into(self.view[self.end:])
        except BlockingIOError:
            raise TimeoutError from None
        self.end += count
        return count > 0

    def empty(self) -> bool:
        return self.start == self.end

    def drop(self) -> None:
        """Forgets what was received and not used."""
        self.start = self.end = 0

    def upto(self, mark: bytes, limit: int, until: float | None) -> bytes:
        """All up to the mark and with it, of no more than `limit` bytes."""
        at = self.start
        while True:
            found = self.buffer.find(mark, at, min(self.end, self.start + limit))
            if found >= 0:
                return self._use(found + len(mark) - self.start)
            if self.end - self.start >= limit:
                raise TooLong
            looked = max(0, self.end - self.start - len(mark) + 1)
            if not self.more(until):
                raise Broken
            at = self.start + looked

    def past(self, mark: bytes, until: float) -> None:
        """Drops all up to the mark and with it, however much that is."""
        while (found := self.buffer.find(mark, self.start, self.end)) < 0:
            self.drop()
            if not self.more(until):
                raise Broken
        self.start = found + len(mark)

    def exactly(self, size: int, until: float | None) -> bytes:
        while self.end - self.start < size:
            if not self.more(until):
                raise Broken
        return self._use(size)

    def _use(self, size: int) -> bytes:
        taken = bytes(self.view[self.start:self.start + size])
        self.start += size
        return taken
