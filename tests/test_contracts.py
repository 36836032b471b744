"""Contracts of transports and stores: every implementation fulfils them, and broken implementations are detected."""
import errno
import os
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Protocol

import msgspec
import pytest

from hollystage.fleet.sockets import FramedStream, PeerSockets, StreamError
from hollystage.standins.fleet.faults import Fault, Network
from hollystage.standins.fleet.switchboard import Command, Forward, SwitchboardConfig
from hollystage.standins.processor_sharing import VirtualClock
from hollystage.store.folder import StateError, StateFolder
from hollystage.store.memory import MemoryStore


def unused_address(host):
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


# Transports


class Transport(Protocol):
    """A transport with its guarantees: whether messages arrive in order, without duplicates, and all of them.

    `max_size` is the size of the largest message in bytes.
    """

    ordered: bool
    no_duplicates: bool
    reliable: bool
    max_size: int

    def transfer(self, messages: list[bytes]) -> list[bytes]:
        """Sends the messages one after the other; returns those that arrive within a bounded time."""

    def close(self) -> None: ...


def check_transport(transport, seed=1):
    """Checks the guarantees, that each message arrives complete or not at all, and that none exceeds the limit."""
    rng = random.Random(seed)
    sizes = [0, 1, 2, 255, 256, 900, min(transport.max_size, 60_000)]
    messages = [bytes([n]) + rng.randbytes(size) for n, size in enumerate(sizes)][:-1]
    messages += [bytes([40 + n]) + rng.randbytes(rng.randrange(1, 900)) for n in range(20)]
    received = transport.transfer(messages)
    assert all(message in messages for message in received), "a message arrived that was not sent, or was altered"
    if transport.no_duplicates:
        assert len(set(received)) == len(received), "a message arrived twice"
    if transport.ordered:
        positions = [messages.index(message) for message in received]
        assert positions == sorted(positions), "messages arrived out of order"
    if transport.reliable:
        assert set(received) == set(messages), "a message is missing"
    assert len(received) <= 2 * len(messages) and received
    oversized = bytes(transport.max_size + 1)
    assert oversized not in transport.transfer([oversized, messages[0]]), "an oversized message arrived"
    received = transport.transfer(messages[:5])
    assert set(received) <= set(messages) and (set(received) == set(messages[:5]) or not transport.reliable)


class DatagramTransport:
    """Datagrams of `PeerSockets`. They guarantee nothing; the loopback interface loses and reorders none."""

    ordered, no_duplicates, reliable, max_size = True, True, True, 2_047

    def __init__(self):
        self.near, self.far = (PeerSockets(unused_address(host)) for host in ("127.0.9.1", "127.0.9.2"))
        self.near.open()
        self.far.open()
        self.far_address = "{}:{}".format(*self.far.bind)

    def transfer(self, messages):
        received = []
        for message in messages:
            self.near.send(self.far_address, message)
            data = self.far.receive(1.0)
            # a datagram that fills the whole read buffer may have been truncated
            if data is not None and len(data) <= self.max_size:
                received.append(data)
        return received

    def close(self):
        for sockets in (self.near, self.far):
            sockets.close_listener()
            sockets.datagram_socket.close()


class StreamTransport(DatagramTransport):
    """Frames on a stream between two `PeerSockets`."""

    max_size = 4_096

    def transfer(self, messages):
        sender = self.near.connect(self.far_address)
        receiver = FramedStream(self.far.accept(), time.monotonic() + 3.0)
        received = []
        try:
            for message in messages:
                sender.send(message)
                received.append(receiver.read(self.max_size))
        except (StreamError, OSError):
            pass  # an oversized message ends the stream
        finally:
            sender.close()
            receiver.close()
        return received


class VirtualTransport:
    """The simulated network, without or with faults."""

    max_size = 10 ** 6

    def __init__(self, *faults, ordered=False, no_duplicates=False, reliable=True):
        self.ordered, self.no_duplicates, self.reliable = ordered, no_duplicates, reliable
        self.net, self.clock = Network(7), VirtualClock(1_000_000)
        for fault in faults:
            self.net.apply(fault, ["a", "b"])

    def transfer(self, messages):
        received = []
        for message in messages:
            if len(message) > self.max_size:
                continue
            for delay, corrupt in self.net.deliveries(("a", "b"), len(message), self.clock.now / 1e6):
                if not corrupt:  # the receiver drops corrupt messages, whose keyed hash is wrong
                    self.clock.call_at(self.clock.now + 300 + int(delay * 1e6),
                                       lambda arrived=message: received.append(arrived))
            self.clock.run(self.clock.now + 1_000)
        self.clock.run(self.clock.now + 2_000_000)
        return received

    def close(self):
        pass


class SwitchboardTransport(DatagramTransport):
    """The fault-injecting switchboard of the test rig, a separate process between two parties."""

    max_size = 1_400

    def __init__(self, folder, *faults, ordered=False, no_duplicates=False, reliable=True):
        super().__init__()
        self.ordered, self.no_duplicates, self.reliable = ordered, no_duplicates, reliable
        address = unused_address("127.0.9.3")
        spec = folder / "wiring.json"
        forwards = [Forward(address, "far", self.far_address, "", True)]
        spec.write_bytes(msgspec.json.encode(SwitchboardConfig(forwards, {"127.0.9.1": "near"}, 3)))
        self.process = subprocess.Popen([sys.executable, "-m", "hollystage.standins.fleet.switchboard", str(spec)],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self.process.stdout.readline() == b"ready\n"
        for fault in faults:
            self.process.stdin.write(msgspec.json.encode(Command(fault)) + b"\n")
        self.process.stdin.flush()
        time.sleep(0.2)
        self.far_address = address

    def transfer(self, messages):
        for message in messages:
            self.near.send(self.far_address, message)
            time.sleep(0.002)
        received, timeouts = [], 0
        while timeouts < 4 and len(received) < 200:
            data = self.far.receive(0.1)
            timeouts = timeouts + 1 if data is None else 0
            # oversized datagrams arrive truncated; corrupt ones are dropped here, as a receiver would by the hash
            if data is not None and len(data) <= self.max_size and data in messages:
                received.append(data)
        return received

    def close(self):
        self.process.stdin.close()
        self.process.wait(5)
        self.process.stdout.close()
        super().close()


def virtual_fault(do, amount):
    return Fault(0, do, ["a"], ["b"], amount=amount)


def switchboard_fault(do, amount):
    return Fault(0, do, ["near"], ["far"], amount=amount)


TRANSPORTS = {
    "datagrams": lambda _: DatagramTransport(), "streams": lambda _: StreamTransport(),
    "switchboard": lambda folder: SwitchboardTransport(folder, ordered=True, no_duplicates=True),
    "switchboard, lossy": lambda folder: SwitchboardTransport(
        folder, switchboard_fault("lose", 0.4), ordered=True, no_duplicates=True, reliable=False),
    "switchboard, doubled": lambda folder: SwitchboardTransport(folder, switchboard_fault("double", 0.5)),
    "switchboard, reordered": lambda folder: SwitchboardTransport(
        folder, switchboard_fault("reorder", 0.5), no_duplicates=True),
    "switchboard, spoilt": lambda folder: SwitchboardTransport(
        folder, switchboard_fault("spoil", 0.3), ordered=True, no_duplicates=True, reliable=False),
    "virtual": lambda _: VirtualTransport(ordered=True, no_duplicates=True),
    "virtual, lossy": lambda _: VirtualTransport(
        virtual_fault("lose", 0.3), ordered=True, no_duplicates=True, reliable=False),
    "virtual, doubled": lambda _: VirtualTransport(virtual_fault("double", 0.5)),
    "virtual, reordered": lambda _: VirtualTransport(virtual_fault("reorder", 0.5), no_duplicates=True),
    "virtual, spoilt": lambda _: VirtualTransport(
        virtual_fault("spoil", 0.3), ordered=True, no_duplicates=True, reliable=False),
}


@pytest.mark.parametrize("name", TRANSPORTS)
def test_transport_fulfils_the_contract(name, tmp_path):
    transport = TRANSPORTS[name](tmp_path)
    try:
        check_transport(transport)
    finally:
        transport.close()


class TruncatingTransport(VirtualTransport):
    def transfer(self, messages):
        return [message[:-1] if len(message) == 256 else message for message in super().transfer(messages)]


class DuplicatingTransport(VirtualTransport):
    def transfer(self, messages):
        return [message for message in super().transfer(messages) for _ in range(2)]


class UnboundedTransport(VirtualTransport):
    def transfer(self, messages):
        self.max_size, max_size = 1 << 40, self.max_size
        received = super().transfer(messages)
        self.max_size = max_size
        return received


class ReversingTransport(VirtualTransport):
    def transfer(self, messages):
        return super().transfer(messages)[::-1]


class LosingTransport(VirtualTransport):
    def transfer(self, messages):
        return super().transfer(messages)[1:]


@pytest.mark.parametrize("kind", [TruncatingTransport, DuplicatingTransport, UnboundedTransport,
                                  ReversingTransport, LosingTransport])
def test_contract_detects_a_broken_transport(kind):
    with pytest.raises(AssertionError):
        check_transport(kind(ordered=True, no_duplicates=True))


# Stores


def check_store(store, reopen):
    """Checks that the last body of each kind can be read, also after reopening, and that a newer format is refused.

    `reopen` gives the state to a new store, as a restart does. Returns the new store.
    """
    assert store.read("boot", 1) is None
    for body in (b"", b"x" * 5, bytes(range(256)) * 40, b"last"):
        store.write("boot", 1, body)
        assert store.read("boot", 1) == body
    store.write("snapshot", 2, b"other")
    assert (store.read("boot", 1), store.read("snapshot", 3)) == (b"last", b"other")
    with pytest.raises(StateError):
        store.read("snapshot", 1)
    later = reopen(store)
    assert (later.read("boot", 1), later.read("snapshot", 2)) == (b"last", b"other")
    return later


def reopen_folder(store):
    path, name = store.path, store.name
    store.close()
    return StateFolder(path, name)


STORES = {"memory": (lambda path: MemoryStore("a"), lambda store: store),
          "folder": (lambda path: StateFolder(str(path), "a"), reopen_folder)}


@pytest.mark.parametrize("name", STORES)
def test_store_fulfils_the_contract(name, tmp_path):
    make, reopen = STORES[name]
    check_store(make(tmp_path / "state"), reopen).close()


def limit_writes(monkeypatch, capacity, number):
    """Limits the disk to `capacity` more bytes: the last write is partial, later ones fail with errno `number`."""
    remaining, write = [capacity], os.write

    def limited_write(file, data):
        if remaining[0] <= 0:
            raise OSError(number, os.strerror(number))
        written = write(file, bytes(data[:remaining[0]]))
        remaining[0] -= written
        return written
    monkeypatch.setattr(os, "write", limited_write)


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
@pytest.mark.parametrize("capacity", [0, 1, 40, 90, 150])
def test_failed_write_leaves_the_last_confirmed_file(tmp_path, monkeypatch, number, capacity):
    store = StateFolder(str(tmp_path / "state"), "a")
    store.write("boot", 1, b"first")
    with monkeypatch.context() as patch:
        limit_writes(patch, capacity, number)
        with pytest.raises(StateError):
            store.write("boot", 1, b"y" * 200)
    assert store.read("boot", 1) == b"first"
    store.write("boot", 1, b"third")
    assert reopen_folder(store).read("boot", 1) == b"third"


WRITER = """import sys
from hollystage.store.folder import StateFolder
store = StateFolder(sys.argv[1], "a")
n = 0
while True:
    n += 1
    store.write("boot", 1, str(n).encode() + b" " * (n * 37 % 5000))
    print(n, flush=True)
"""


def kill_while_writing(path, after):
    """Kills a process after `after` confirmed writes; returns the last confirmed number and the stored one."""
    process = subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
    confirmed = 0
    while confirmed < after:
        confirmed = int(process.stdout.readline())
    time.sleep(0.003 * (after % 7))
    process.send_signal(signal.SIGKILL)
    rest = process.stdout.read().split()
    process.wait(10)
    store = StateFolder(str(path), "a")
    stored = int(store.read("boot", 1))
    store.close()
    return int(rest[-1]) if rest else confirmed, stored


@pytest.mark.parametrize("after", [1, 9, 23, 60])
def test_confirmed_writes_survive_a_kill_and_no_partial_file_remains(tmp_path, after):
    confirmed, stored = kill_while_writing(tmp_path / "state", after)
    assert confirmed <= stored <= confirmed + 1


class InPlaceFolder(StateFolder):
    """Writes in place, so that a failing disk leaves a partial file."""

    def write(self, kind, version, body):
        path = os.path.join(self.path, kind)
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            os.write(file, body[:len(body) // 2])
            os.write(file, body[len(body) // 2:])
        except OSError as error:
            raise StateError("full") from error
        finally:
            os.close(file)


class DelayingStore(MemoryStore):
    """Confirms a write before it is stored."""

    def write(self, kind, version, body):
        pending = getattr(self, "pending", None)
        if pending is not None:
            super().write(*pending)
        self.pending = kind, version, body


class SingleEntryStore(MemoryStore):
    """Stores all kinds in one entry."""

    def write(self, kind, version, body):
        super().write("all", version, body)

    def read(self, kind, version):
        return super().read("all", version)


@pytest.mark.parametrize("store", [DelayingStore("a"), SingleEntryStore("a")])
def test_contract_detects_a_broken_store(store):
    with pytest.raises((AssertionError, StateError)):
        check_store(store, lambda store: store)


def test_failed_write_in_place_leaves_an_unreadable_file(tmp_path, monkeypatch):
    store = InPlaceFolder(str(tmp_path / "state"), "a")
    StateFolder.write(store, "boot", 1, b"first")
    limit_writes(monkeypatch, 100, errno.ENOSPC)
    with pytest.raises(StateError):
        store.write("boot", 1, b"y" * 200)
    with pytest.raises(StateError):
        store.read("boot", 1)
