"""Base classes of the stand-ins: servers on loopback with one thread per connection."""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar

from ..service.buffers import IncompleteMessageError, Stream
from ..service.http import Request, encode_response, read_request

T = TypeVar("T")
Address = tuple[str, int]


def free_address() -> Address:
    """Returns an address at which no server listens at present."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        name = sock.getsockname()
        return name[0], name[1]


def wait_until(condition: Callable[[], T], timeout: float = 5.0) -> T:
    """Polls a condition until its value is true and returns the value.

    Args:
        timeout: seconds

    Raises:
        AssertionError: the condition did not become true in time.
    """
    end = time.monotonic() + timeout
    while not (value := condition()):
        if time.monotonic() > end:
            raise AssertionError("the condition did not become true in time")
        time.sleep(0.002)
    return value


class StandInServer:
    """A server that runs `serve` in a thread for each connection.

    `received` holds what subclasses record; `closed_connections` the last 100 connections that ended.
    """

    def __init__(self, listening: bool = True, address: Address | None = None) -> None:
        self.address = address or free_address()
        self.received: list[Any] = []
        self.connections: list[socket.socket] = []
        self.closed_connections: list[socket.socket] = []
        self.listener: socket.socket | None = None
        if listening:
            self.listen()

    def serve(self, sock: socket.socket) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError

    def listen(self) -> None:
        """Starts to accept connections at `address`."""
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept_connections, args=(self.listener,), daemon=True).start()

    def accept_connections(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.connections = [other for other in self.connections if other.fileno() >= 0]
                self.connections.append(sock)
                threading.Thread(target=self.serve_connection, args=(sock,), daemon=True).start()

    def serve_connection(self, sock: socket.socket) -> None:
        """Serves one connection, with errors of the connection suppressed."""
        with contextlib.suppress(OSError, IncompleteMessageError):
            self.serve(sock)
        self.closed_connections = [*self.closed_connections[-99:], sock]

    def drop_connections(self) -> None:
        """Shuts down all connections."""
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.connections = []

    def close(self) -> None:
        """Stops listening and shuts down all connections."""
        if self.listener is not None:
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        self.drop_connections()


class ScriptedHttpServer(StandInServer):
    """An HTTP server that records requests and sends `replies` in order, the last one for all further requests.

    None stands for no reply, b"" closes the connection.
    """

    def __init__(self, *replies: bytes | None, listening: bool = True) -> None:
        self.replies = list(replies)
        super().__init__(listening)

    def serve(self, sock: socket.socket) -> None:
        """Reads requests and sends the next reply to each."""
        stream = Stream(sock, bytearray(1 << 14))
        while True:
            self.received.append(read_request(stream, time.monotonic() + 20))
            data = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
            if data is not None:
                sock.sendall(data)
            if data == b"":
                sock.close()


class HttpServer(StandInServer):
    """An HTTP server whose subclasses make each reply in `handle_request`. Requests are not recorded."""

    def handle_request(self, request: Request) -> bytes:
        """Returns the whole response to a request."""
        raise NotImplementedError

    def serve(self, sock: socket.socket) -> None:
        """Answers the requests of one connection."""
        stream = Stream(sock, bytearray(1 << 14))
        with sock:
            while True:
                request = read_request(stream, time.monotonic() + 60)
                sock.sendall(self.handle_request(request))
                if not request.keep_alive:
                    return


def reply(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Encodes a response that keeps the connection open; header fields have underscores for hyphens."""
    return encode_response(status, {name.replace("_", "-"): value for name, value in fields.items()}, body, True)
