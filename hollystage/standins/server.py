"""A server on 127.0.0.1, a thread a connection; what the other stand-ins are made of."""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar

from ..service.buffers import Broken, Stream
from ..service.http import Request, read_request, write_response

T = TypeVar("T")
Address = tuple[str, int]


def free_address() -> Address:
    """An address that nobody listens at just now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        name = sock.getsockname()
        return name[0], name[1]


def until(true: Callable[[], T], patience: float = 5.0) -> T:
    """Waits, up to `patience` seconds, for what other threads bring about, and returns it.

    Raises:
        AssertionError: it never came about.
    """
    end = time.monotonic() + patience
    while not (value := true()):
        if time.monotonic() > end:
            raise AssertionError("it never came about")
        time.sleep(0.002)
    return value


class StandIn:
    """`serve` runs in a thread for each connection; `heard` keeps what came in."""

    def __init__(self, listening: bool = True, address: Address | None = None) -> None:
        self.address = address or free_address()
        self.heard: list[Any] = []
        self.open: list[socket.socket] = []
        self.ended: list[socket.socket] = []
        self.listener: socket.socket | None = None
        if listening:
            self.listen()

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def listen(self) -> None:
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.open = [other for other in self.open if other.fileno() >= 0]
                self.open.append(sock)
                threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def guarded(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, Broken):
            self.serve(sock)
        self.ended = [*self.ended[-99:], sock]

    def break_off(self) -> None:
        """Ends every connection."""
        for sock in self.open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.open = []

    def close(self) -> None:
        if self.listener is not None:
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        self.break_off()


class Answering(StandIn):
    """An HTTP server that gives `replies` in turn, the last one again and again; None for none, b"" closes."""

    def __init__(self, *replies: bytes | None, listening: bool = True) -> None:
        self.replies = list(replies)
        super().__init__(listening)

    def serve(self, sock: socket.socket) -> None:
        stream = Stream(sock, bytearray(1 << 14))
        while True:
            self.heard.append(read_request(stream, time.monotonic() + 20))
            given = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
            if given is not None:
                sock.sendall(given)
            if given == b"":
                sock.close()


class Http(StandIn):
    """An HTTP server whose `answer` makes each reply; keeps no message."""

    def answer(self, request: Request) -> bytes:
        raise NotImplementedError

    def serve(self, sock: socket.socket) -> None:
        stream = Stream(sock, bytearray(1 << 14))
        with sock:
            while True:
                request = read_request(stream, time.monotonic() + 60)
                sock.sendall(self.answer(request))
                if not request.keep:
                    return


def reply(status: int, body: bytes = b"", **fields: str) -> bytes:
    return write_response(status, {name.replace("_", "-"): value for name, value in fields.items()}, body, True)
