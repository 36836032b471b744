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

from .faults import Fault, Network
from .history import History

RECEIVE_BYTES, MAX_QUEUED_BYTES = 65536, 1 << 18
RETRANSMISSION_DELAY_S = 0.2  # delay of a stream for each lost segment
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which close() sends RST


class Forward(msgspec.Struct, rename={"proxy_address": "face", "direct_address": "real"}):
    """A proxy address and the party behind it. With an empty `source` the sender is identified by its address."""

    proxy_address: str
    target: str
    direct_address: str
    source: str = ""
    datagrams: bool = False


class SwitchboardConfig(msgspec.Struct, rename={"forwards": "doors", "party_by_host": "hosts"}):
    """Configuration of the switchboard process, read from a JSON file."""

    forwards: list[Forward]
    party_by_host: dict[str, str]  # name of a party by the host of its direct address
    seed: int
    folder: str = ""  # folder of the history; empty: none is written


class Command(msgspec.Struct, omit_defaults=True):
    """A JSON line on standard input: a link fault, or the name of a party that went down or came up."""

    fault: Fault | None = None
    down: str = ""
    up: str = ""


def parse_address(text: str) -> tuple[str, int]:
    """Splits "host:port"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Pipe:
    """One direction of a connection: the bytes received and not yet forwarded, each chunk with its due time.

    `on_due` is called when a delayed chunk is due.
    """

    def __init__(self, switchboard: Switchboard, pair: tuple[str, str], source: socket.socket, sink: socket.socket,
                 on_due: Callable[[], None]) -> None:
        self.switchboard, self.pair, self.source, self.sink, self.on_due = switchboard, pair, source, sink, on_due
        self.queue: deque[tuple[float, bytes]] = deque()  # due time and bytes; b"" is the end of the stream
        self.queued_bytes, self.latest_due = 0, 0.0
        self.source_closed = self.finished = False

    def is_blocked(self) -> bool:
        """Whether the link transfers nothing at present."""
        link = self.switchboard.network.links.get(self.pair)
        return link is not None and (link.cut or link.held)

    def receive(self) -> None:
        """Reads available bytes, unless the link is blocked or the queue is full, and computes their due time."""
        while not self.source_closed and self.queued_bytes < MAX_QUEUED_BYTES and not self.is_blocked():
            try:
                data = self.source.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            link, now = self.switchboard.network.links.get(self.pair), time.monotonic()
            due = now
            if link is not None:
                rng = self.switchboard.network.rng
                due += link.delay + link.jitter * rng.random()
                while link.lose and rng.random() < link.lose:
                    due += RETRANSMISSION_DELAY_S
                if link.cap:
                    link.busy_until = max(link.busy_until, now) + len(data) / link.cap
                    due += link.busy_until - now
            self.latest_due = max(self.latest_due, due)
            self.queue.append((self.latest_due, data))
            self.queued_bytes += len(data)
            self.source_closed = not data
            if self.latest_due > now:
                self.switchboard.call_at(self.latest_due, self.on_due)

    def forward(self) -> None:
        """Writes the chunks that are due, as far as the sink accepts them."""
        now = time.monotonic()
        while self.queue and self.queue[0][0] <= now and not self.is_blocked():
            due, data = self.queue[0]
            if not data:
                self.finished = True
                self.queue.clear()
                with contextlib.suppress(OSError):
                    self.sink.shutdown(socket.SHUT_WR)
                return
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                return
            self.queued_bytes -= sent
            if sent < len(data):
                self.queue[0] = due, data[sent:]
                return
            self.queue.popleft()


class Connection:
    """A connection through the switchboard, with a pipe for each direction."""

    def __init__(self, switchboard: Switchboard, source: str, target: str, near: socket.socket, far: socket.socket,
                 ) -> None:
        self.switchboard, self.near, self.far = switchboard, near, far
        self.source, self.target, self.is_open = source, target, True
        self.pipes = (Pipe(switchboard, (source, target), near, far, self.transfer),
                      Pipe(switchboard, (target, source), far, near, self.transfer))

    def transfer(self) -> None:
        """Transfers what is possible in both directions; closes the connection when both have ended."""
        if not self.is_open:
            return
        try:
            for pipe in self.pipes:
                pipe.receive()
                pipe.forward()
                pipe.receive()  # the queue may have been full before
        except OSError as error:
            self.close(error.errno not in (errno.EPIPE, errno.ENOTCONN))
            return
        if all(pipe.finished for pipe in self.pipes):
            self.close(False)

    def close(self, reset: bool) -> None:
        """Closes both sockets; with `reset` the peers receive RST."""
        if not self.is_open:
            return
        self.is_open = False
        for sock in (self.near, self.far):
            self.switchboard.connections.pop(sock.fileno(), None)
            if reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()


class Switchboard:
    """The switchboard: one thread that serves all sockets, timers and commands with epoll."""

    def __init__(self, config: SwitchboardConfig) -> None:
        self.network, self.party_by_host = Network(config.seed), config.party_by_host
        self.forwards = config.forwards
        self.parties = sorted({*config.party_by_host.values(), *(forward.target for forward in config.forwards)})
        self.epoll = select.epoll()
        self.listeners: dict[int, tuple[socket.socket, Forward]] = {}
        self.datagram_sockets: dict[int, tuple[socket.socket, Forward]] = {}
        self.connections: dict[int, Connection] = {}
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_count = 0
        self.partial_line = b""
        self.history = History(config.folder, "switchboard") if config.folder else None
        self.datagram_counts: Counter[str] = Counter()  # datagrams by sender, in the current second
        for forward in self.forwards:
            if forward.datagrams:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(parse_address(forward.proxy_address))
                sock.setblocking(False)
                self.datagram_sockets[sock.fileno()] = sock, forward
                self.epoll.register(sock, select.EPOLLIN)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a time of the monotonic clock, in seconds."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, callback))

    def _write_datagram_counts(self) -> None:
        """Writes the number of datagrams by sender to the history, once a second."""
        if self.history is not None:
            self.history.write("datagrams", counts=dict(sorted(self.datagram_counts.items())))
        self.datagram_counts.clear()
        self.call_at(time.monotonic() + 1.0, self._write_datagram_counts)

    def run(self) -> None:
        """Runs until standard input ends."""
        os.set_blocking(0, False)
        self._write_datagram_counts()
        self.epoll.register(0, select.EPOLLIN)
        sys.stdout.write("ready\n")
        sys.stdout.flush()
        while True:
            wait = max(0.0, min(0.5, self.timers[0][0] - time.monotonic())) if self.timers else 0.5
            for number, _ in self.epoll.poll(wait):
                if number == 0:
                    if not self._read_commands():
                        return
                elif number in self.datagram_sockets:
                    self._forward_datagrams(*self.datagram_sockets[number])
                elif number in self.listeners:
                    self._accept_connections(*self.listeners[number])
                elif number in self.connections:
                    self.connections[number].transfer()
            now = time.monotonic()
            while self.timers and self.timers[0][0] <= now:
                heappop(self.timers)[2]()

    def _read_commands(self) -> bool:
        """Applies the commands on standard input; returns False at its end."""
        data = os.read(0, 1 << 16)
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            command = msgspec.json.decode(line, type=Command)
            if command.fault is not None:
                pairs = self.network.apply(command.fault, self.parties)
                for connection in list(set(self.connections.values())):
                    if command.fault.do == "reset" and (connection.source, connection.target) in pairs:
                        connection.close(True)
                    else:
                        connection.transfer()
            if command.down:
                self._stop_listening(command.down)
            if command.up:
                self._start_listening(command.up)
        return bool(data)

    def _start_listening(self, target: str) -> None:
        """Opens the listeners of a party that came up."""
        open_forwards = {id(forward) for _, forward in self.listeners.values()}
        for forward in self.forwards:
            if forward.target == target and not forward.datagrams and id(forward) not in open_forwards:
                sock = socket.create_server(parse_address(forward.proxy_address), backlog=512)
                sock.setblocking(False)
                self.listeners[sock.fileno()] = sock, forward
                self.epoll.register(sock, select.EPOLLIN)

    def _stop_listening(self, target: str) -> None:
        """Closes the listeners of a party that went down, so that it refuses connections; lets open ones end."""
        for number, (sock, forward) in list(self.listeners.items()):
            if forward.target == target:
                del self.listeners[number]
                sock.close()
        for connection in list(set(self.connections.values())):
            if connection.target == target:
                connection.transfer()

    def _accept_connections(self, listener: socket.socket, forward: Forward) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, address = listener.accept()
                source = forward.source or self.party_by_host.get(address[0], address[0])
                far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                connection = Connection(self, source, forward.target, near, far)
                for sock in (near, far):
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if far.connect_ex(parse_address(forward.direct_address)) not in (0, errno.EINPROGRESS):
                    connection.close(True)
                    continue
                for sock in (near, far):
                    self.connections[sock.fileno()] = connection
                    self.epoll.register(sock, select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET)

    def _forward_datagrams(self, sock: socket.socket, forward: Forward) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, address = sock.recvfrom(65536)
                pair = self.party_by_host.get(address[0], address[0]), forward.target
                now = time.monotonic()
                self.datagram_counts[pair[0]] += 1
                for delay, corrupted in self.network.deliveries(pair, len(data), now):
                    copy = data
                    if corrupted and data:
                        at = self.network.rng.randrange(len(data))
                        copy = data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1:]
                    if delay <= 0:
                        self._send_datagram(sock, copy, forward.direct_address)
                    else:
                        self.call_at(now + delay, lambda copy=copy: self._send_datagram(  # type: ignore[misc]
                            sock, copy, forward.direct_address))

    @staticmethod
    def _send_datagram(sock: socket.socket, data: bytes, direct_address: str) -> None:
        with contextlib.suppress(OSError):
            sock.sendto(data, parse_address(direct_address))


def main() -> None:
    """Reads the configuration file named on the command line and runs the switchboard."""
    with open(sys.argv[1], "rb") as file:
        config = msgspec.json.decode(file.read(), type=SwitchboardConfig)
    Switchboard(config).run()


if __name__ == "__main__":
    main()
