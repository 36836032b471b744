"""The switchboard: a process between all others, through which every datagram and connection goes.

Each party is reached at a face, an address of the switchboard's that stands for it. Who sends is known by the
sender's own address (datagrams, streams between members) or by the port that only it was told (all else). What
befalls the bytes is for `faults.Net`. A cut or held link takes connections and carries nothing, as behind a
firewall that drops; what a cut held back goes on when it is healed, as TCP would send it again.
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
RESEND_S = 0.2  # what a lost segment costs a stream
RESET = struct.pack("ii", 1, 0)


class Door(msgspec.Struct):
    """A face to listen at. `source` empty: known by the address it comes from."""

    face: str
    target: str
    real: str
    source: str = ""
    datagrams: bool = False


class Wiring(msgspec.Struct):
    doors: list[Door]
    hosts: dict[str, str]  # a party's name by its own host
    seed: int
    folder: str = ""  # of the history


class Order(msgspec.Struct, omit_defaults=True):
    """A line on standard input: a fault of links, or a party that went down or came up."""

    fault: Fault | None = None
    down: str = ""
    up: str = ""


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Pipe:
    """One direction of a connection: what was read, when it may go on, and what the other side did not take."""

    def __init__(self, board: Board, pair: tuple[str, str], source: socket.socket, sink: socket.socket,
                 turn: Callable[[], None]) -> None:
        self.board, self.pair, self.source, self.sink, self.turn = board, pair, source, sink, turn
        self.queue: deque[tuple[float, bytes]] = deque()  # b"" for the end
        self.size, self.due = 0, 0.0
        self.ended = self.done = False

    def stopped(self) -> bool:
        link = self.board.net.links.get(self.pair)
        return link is not None and (link.cut or link.held)

    def fill(self) -> None:
        """Reads what there is, while the link carries anything and the queue has room."""
        while not self.ended and self.size < BACKLOG and not self.stopped():
            try:
                data = self.source.recv(CHUNK)
            except BlockingIOError:
                return
            link, now = self.board.net.links.get(self.pair), time.monotonic()
            due = now
            if link is not None:
                chance = self.board.net.chance
                due += link.delay + link.jitter * chance.random()
                while link.lose and chance.random() < link.lose:
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
    """A connection through the switchboard; both pipes, and the one place where it ends."""

    def __init__(self, board: Board, source: str, target: str, near: socket.socket, far: socket.socket) -> None:
        self.board, self.near, self.far = board, near, far
        self.source, self.target, self.open = source, target, True
        self.pipes = (Pipe(board, (source, target), near, far, self.turn),
                      Pipe(board, (target, source), far, near, self.turn))

    def turn(self) -> None:
        if not self.open:
            return
        try:
            for pipe in self.pipes:
                pipe.fill()
                pipe.drain()
                pipe.fill()  # it may have been full before
        except OSError as bad:
            self.end(bad.errno not in (errno.EPIPE, errno.ENOTCONN))
            return
        if all(pipe.done for pipe in self.pipes):
            self.end(False)

    def end(self, reset: bool) -> None:
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
    def __init__(self, wiring: Wiring) -> None:
        self.net, self.hosts = Net(wiring.seed), wiring.hosts
        self.doors = wiring.doors
        self.parties = sorted({*wiring.hosts.values(), *(door.target for door in wiring.doors)})
        self.epoll = select.epoll()
        self.listeners: dict[int, tuple[socket.socket, Door]] = {}
        self.datagrams: dict[int, tuple[socket.socket, Door]] = {}
        self.wires: dict[int, Wire] = {}
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.line = b""
        self.history = History(wiring.folder, "switchboard") if wiring.folder else None
        self.passed: Counter[str] = Counter()  # datagrams by their sender, within a second
        for door in self.doors:
            if door.datagrams:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(place(door.face))
                sock.setblocking(False)
                self.datagrams[sock.fileno()] = sock, door
                self.epoll.register(sock, select.EPOLLIN)

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.timers, (when, self.count, what))

    def _count(self) -> None:
        if self.history is not None:
            self.history.write("datagrams", counts=dict(sorted(self.passed.items())))
        self.passed.clear()
        self.at(time.monotonic() + 1.0, self._count)

    def run(self) -> None:
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
        data = os.read(0, 1 << 16)
        *lines, self.line = (self.line + data).split(b"\n")
        for line in lines:
            order = msgspec.json.decode(line, type=Order)
            if order.fault is not None:
                pairs = self.net.apply(order.fault, self.parties)
                for wire in list(set(self.wires.values())):
                    if order.fault.do == "reset" and (wire.source, wire.target) in pairs:
                        wire.end(True)
                    else:
                        wire.turn()
            if order.down:
                self._down(order.down)
            if order.up:
                self._up(order.up)
        return bool(data)

    def _up(self, target: str) -> None:
        there = {id(door) for _, door in self.listeners.values()}
        for door in self.doors:
            if door.target == target and not door.datagrams and id(door) not in there:
                sock = socket.create_server(place(door.face), backlog=512)
                sock.setblocking(False)
                self.listeners[sock.fileno()] = sock, door
                self.epoll.register(sock, select.EPOLLIN)

    def _down(self, target: str) -> None:
        """What is gone refuses connections, and those that were open break."""
        for number, (sock, door) in list(self.listeners.items()):
            if door.target == target:
                del self.listeners[number]
                sock.close()
        for wire in list(set(self.wires.values())):
            if wire.target == target:
                wire.turn()

    def _accept(self, listener: socket.socket, door: Door) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, address = listener.accept()
                source = door.source or self.hosts.get(address[0], address[0])
                far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                wire = Wire(self, source, door.target, near, far)
                for sock in (near, far):
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if far.connect_ex(place(door.real)) not in (0, errno.EINPROGRESS):
                    wire.end(True)
                    continue
                for sock in (near, far):
                    self.wires[sock.fileno()] = wire
                    self.epoll.register(sock, select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET)

    def _datagrams(self, sock: socket.socket, door: Door) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, address = sock.recvfrom(65536)
                pair = self.hosts.get(address[0], address[0]), door.target
                now = time.monotonic()
                self.passed[pair[0]] += 1
                for wait, spoilt in self.net.fates(pair, len(data), now):
                    copy = data
                    if spoilt and data:
                        at = self.net.chance.randrange(len(data))
                        copy = data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1:]
                    if wait <= 0:
                        self._pass(sock, copy, door.real)
                    else:
                        self.at(now + wait, lambda copy=copy: self._pass(sock, copy, door.real))  # type: ignore[misc]

    @staticmethod
    def _pass(sock: socket.socket, data: bytes, real: str) -> None:
        with contextlib.suppress(OSError):
            sock.sendto(data, place(real))


def main() -> None:
    with open(sys.argv[1], "rb") as file:
        wiring = msgspec.json.decode(file.read(), type=Wiring)
    Board(wiring).run()


if __name__ == "__main__":
    main()
