"""The switchboard: a proxy process that forwards all datagrams and connections between the parties of a run.

Each party is reached at a proxy address, an address of the switchboard that stands for it. The sender is identified
by its own address (datagrams, streams between members) or by a port that only this sender knows (everything else).
`faults.Network` decides what happens to the bytes. A cut or held link accepts connections and transfers nothing, like
a firewall that drops packets. Bytes that a cut stopped are forwarded once it is healed, as TCP would retransmit them.
"""
from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush

import msgspec

from .faults import Fault, Net
from .history import History

CHUNK, BACKLOG = 65536, 1 << 18
RESEND_S = 0.2  # delay of a stream for each lost segment
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which close() sends RST


class Door(msgspec.Struct):
    """A proxy address and the party behind it. With an empty `source` the sender is identified by its address."""

    face: str
    target: str
    real: str
    source: str = ""
    datagrams: bool = False


class Wiring(msgspec.Struct):
    """Configuration of the switchboard process, read from a JSON file."""

    doors: list[Door]
    hosts: dict[str, str]  # name of a party by the host of its direct address
    seed: int
    folder: str = ""  # folder of the history; empty: none is written


class Order(msgspec.Struct, omit_defaults=True):
    """A JSON line on standard input: a link fault, or the name of a party that went down or came up."""

    fault: Fault | None = None
    down: str = ""
    up: str = ""


def place(text: str) -> tuple[str, int]:
    """Splits "host:port"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Pipe:
    """One direction of a connection: the bytes received and not yet forwarded, each chunk with its due time.

    `on_due` is called when a delayed chunk is due.
    """

    def __init__(self, board: Board, pair: tuple[str, str], source: socket.socket, sink: socket.socket,
                 turn: Callable[[], None]) -> None:
        self.board, self.pair, self.source, self.sink, self.turn = board, pair, source, sink, turn
        self.queue: deque[tuple[float, bytes]] = deque()  # due time and bytes; b"" is the end of the stream
        self.size, self.due = 0, 0.0
        self.ended = self.done = False

    def stopped(self) -> bool:
        """Whether the link transfers nothing at present."""
        link = self.board.net.links.get(self.pair)
        return link is not None and (link.cut or link.held)

    def fill(self) -> None:
        """Reads available bytes, unless the link is blocked or the queue is full, and computes their due time."""
        while not self.ended and self.size < BACKLOG and not self.stopped():
            try:
                data = self.source.recv(CHUNK)
            except BlockingIOError:
                return
            link, now = self.board.net.links.get(self.pair), time.monotonic()
            due = now
            if link is not None:
                rng = self.board.net.chance
                due += link.delay + link.jitter * rng.random()
                while link.lose and rng.random() < link.lose:
                    due += RESEND_S
                if link.cap:
                    link.busy = max(link.busy, now) + len(data) / link.cap
                    due += link.busy - now
            self.due = max(self.due, due)
            self.queue.append((self.due, data))
            self.size += len(data)
            self.ended = not data
            if self.due > now:
                self.board.at(self.due, self.turn)

    def drain(self) -> None:
        """Writes the chunks that are due, as far as the sink accepts them."""
        now = time.monotonic()
        while self.queue and self.queue[0][0] <= now and not self.stopped():
            due, data = self.queue[0]
            if not data:
                self.done = True
                self.queue.clear()
                with contextlib.suppress(OSError):
                    self.sink.shutdown(socket.SHUT_WR)
                return
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                return
            self.size -= sent
            if sent < len(data):
                self.queue[0] = due, data[sent:]
                return
            self.queue.popleft()


class Wire:
    """A connection through the switchboard, with a pipe for each direction."""

    def __init__(self, board: Board, source: str, target: str, near: socket.socket, far: socket.socket) -> None:
        self.board, self.near, self.far = board, near, far
        self.source, self.target, self.open = source, target, True
        self.pipes = (Pipe(board, (source, target), near, far, self.turn),
                      Pipe(board, (target, source), far, near, self.turn))

    def turn(self) -> None:
        """Transfers what is possible in both directions; closes the connection when both have ended."""
        if not self.open:
            return
        try:
            for pipe in self.pipes:
                pipe.fill()
                pipe.drain()
                pipe.fill()  # the queue may have been full before
        except OSError as error:
            self.end(error.errno not in (errno.EPIPE, errno.ENOTCONN))
            return
        if all(pipe.done for pipe in self.pipes):
            self.end(False)

    def end(self, reset: bool) -> None:
        """Closes both sockets; with `reset` the peers receive RST."""
        if not self.open:
            return
        self.open = False
        for sock in (self.near, self.far):
            self.board.wires.pop(sock.fileno(), None)
            if reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()


class Board:
    """The switchboard: one thread that serves all sockets, timers and commands with epoll."""

    def __init__(self, config: Wiring) -> None:
        self.net, self.hosts = Net(config.seed), config.hosts
        self.doors = config.doors
        self.parties = sorted({*config.hosts.values(), *(forward.target for forward in config.doors)})
        self.epoll = select.epoll()
        self.listeners: dict[int, tuple[socket.socket, Door]] = {}
        self.datagrams: dict[int, tuple[socket.socket, Door]] = {}
        self.wires: dict[int, Wire] = {}
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.line = b""
        self.history = History(config.folder, "switchboard") if config.folder else None
        self.passed: Counter[str] = Counter()  # datagrams by sender, in the current second
        for forward in self.doors:
            if forward.datagrams:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(place(forward.face))
                sock.setblocking(False)
                self.datagrams[sock.fileno()] = sock, forward
                self.epoll.register(sock, select.EPOLLIN)

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a time of the monotonic clock, in seconds."""
        self.count += 1
        heappush(self.timers, (when, self.count, callback))

    def _count(self) -> None:
        """Writes the number of datagrams by sender to the history, once a second."""
        if self.history is not None:
            self.history.write("datagrams", counts=dict(sorted(self.passed.items())))
        self.passed.clear()
        self.at(time.monotonic() + 1.0, self._count)

    def run(self) -> None:
        """Runs until standard input ends."""
        os.set_blocking(0, False)
        self._count()
        self.epoll.register(0, select.EPOLLIN)
        sys.stdout.write("ready\n")
        sys.stdout.flush()
        while True:
            wait = max(0.0, min(0.5, self.timers[0][0] - time.monotonic())) if self.timers else 0.5
            for number, _ in self.epoll.poll(wait):
                if number == 0:
                    if not self._orders():
                        return
                elif number in self.datagrams:
                    self._datagrams(*self.datagrams[number])
                elif number in self.listeners:
                    self._accept(*self.listeners[number])
                elif number in self.wires:
                    self.wires[number].turn()
            now = time.monotonic()
            while self.timers and self.timers[0][0] <= now:
                heappop(self.timers)[2]()

    def _orders(self) -> bool:
        """Applies the commands on standard input; returns False at its end."""
        data = os.read(0, 1 << 16)
        *lines, self.line = (self.line + data).split(b"\n")
        for line in lines:
            command = msgspec.json.decode(line, type=Order)
            if command.fault is not None:
                pairs = self.net.apply(command.fault, self.parties)
                for connection in list(set(self.wires.values())):
                    if command.fault.do == "reset" and (connection.source, connection.target) in pairs:
                        connection.end(True)
                    else:
                        connection.turn()
            if command.down:
                self._down(command.down)
            if command.up:
                self._up(command.up)
        return bool(data)

    def _up(self, target: str) -> None:
        """Opens the listeners of a party that came up."""
        open_forwards = {id(forward) for _, forward in self.listeners.values()}
        for forward in self.doors:
            if forward.target == target and not forward.datagrams and id(forward) not in open_forwards:
                sock = socket.create_server(place(forward.face), backlog=512)
                sock.setblocking(False)
                self.listeners[sock.fileno()] = sock, forward
                self.epoll.register(sock, select.EPOLLIN)

    def _down(self, target: str) -> None:
        """Closes the listeners of a party that went down, so that it refuses connections; lets open ones end."""
        for number, (sock, forward) in list(self.listeners.items()):
            if forward.target == target:
                del self.listeners[number]
                sock.close()
        for connection in list(set(self.wires.values())):
            if connection.target == target:
                connection.turn()

    def _accept(self, listener: socket.socket, forward: Door) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, address = listener.accept()
                source = forward.source or self.hosts.get(address[0], address[0])
                far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                connection = Wire(self, source, forward.target, near, far)
                for sock in (near, far):
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if far.connect_ex(place(forward.real)) not in (0, errno.EINPROGRESS):
                    connection.end(True)
                    continue
                for sock in (near, far):
                    self.wires[sock.fileno()] = connection
                    self.epoll.register(sock, select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET)

    def _datagrams(self, sock: socket.socket, forward: Door) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, address = sock.recvfrom(65536)
                pair = self.hosts.get(address[0], address[0]), forward.target
                now = time.monotonic()
                self.passed[pair[0]] += 1
                for delay, corrupted in self.net.fates(pair, len(data), now):
                    copy = data
                    if corrupted and data:
                        at = self.net.chance.randrange(len(data))
                        copy = data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1:]
                    if delay <= 0:
                        self._pass(sock, copy, forward.real)
                    else:
                        self.at(now + delay, lambda copy=copy: self._pass(sock, copy, forward.real))  # type: ignore[misc]

    @staticmethod
    def _pass(sock: socket.socket, data: bytes, direct_address: str) -> None:
        with contextlib.suppress(OSError):
            sock.sendto(data, place(direct_address))


def main() -> None:
    with open(sys.argv[1], "rb") as file:
        config = msgspec.json.decode(file.read(), type=Wiring)
    Board(config).run()


if __name__ == "__main__":
    main()
