"""Contracts: what every transport and every store must keep, written once and run for each; each is shown to fail."""
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

from hollystage.fleet.links import Cut, Frames, Links
from hollystage.standins.fleet.faults import Fault, Net
from hollystage.standins.fleet.switchboard import Door, Order, Wiring
from hollystage.standins.sharing import Clock
from hollystage.store.folder import Folder, Unusable
from hollystage.store.memory import Memory


def free(host):
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


# Transports


class Transport(Protocol):
    """`ordered`, `once`: what it promises of the messages that arrive; `sure`: that they do; `most`: bytes of one."""

    ordered: bool
    once: bool
    sure: bool
    most: int

    def carry(self, messages: list[bytes]) -> list[bytes]:
        """Sends them one after the other; what arrived, within a bounded time."""

    def close(self) -> None: ...


def carried(transport, seed=1):
    """The contract. Whole or not at all, in number and order as promised, and none that is over the bound."""
    chance = random.Random(seed)
    sizes = [0, 1, 2, 255, 256, 900, min(transport.most, 60_000)]
    messages = [bytes([n]) + chance.randbytes(size) for n, size in enumerate(sizes)][:-1]
    messages += [bytes([40 + n]) + chance.randbytes(chance.randrange(1, 900)) for n in range(20)]
    found = transport.carry(messages)
    assert all(message in messages for message in found), "something arrived that was never sent whole"
    if transport.once:
        assert len(set(found)) == len(found), "something arrived twice"
    if transport.ordered:
        places = [messages.index(message) for message in found]
        assert places == sorted(places), "out of order"
    if transport.sure:
        assert set(found) == set(messages), "something is missing"
    assert len(found) <= 2 * len(messages) and found
    over = bytes(transport.most + 1)
    assert over not in transport.carry([over, messages[0]]), "more than the bound"
    again = transport.carry(messages[:5])
    assert set(again) <= set(messages) and (set(again) == set(messages[:5]) or not transport.sure)


class Loopback:
    """Datagrams of the links, which owe nothing."""

    ordered, once, sure, most = True, True, True, 2_047

    def __init__(self):
        self.near, self.far = (Links(free(host)) for host in ("127.0.9.1", "127.0.9.2"))
        self.near.open()
        self.far.open()
        self.to = "{}:{}".format(*self.far.bind)

    def carry(self, messages):
        found = []
        for message in messages:
            self.near.send(self.to, message)
            data = self.far.receive(1.0)
            # what fills the room that is read may have been cut
            if data is not None and len(data) <= self.most:
                found.append(data)
        return found

    def close(self):
        for links in (self.near, self.far):
            links.hang_up()
            links.datagrams.close()


class Streams(Loopback):
    """Frames on a stream of the links."""

    most = 4_096

    def carry(self, messages):
        there = self.near.connect(self.to)
        here = Frames(self.far.accept(), time.monotonic() + 3.0)
        found = []
        try:
            for message in messages:
                there.send(message)
                found.append(here.read(self.most))
        except (Cut, OSError):
            pass  # one over the bound ends the stream
        finally:
            there.close()
            here.close()
        return found


class Virtual:
    """The network of the twin, as it is or with a fault on it."""

    most = 10 ** 6

    def __init__(self, *faults, ordered=False, once=False, sure=True):
        self.ordered, self.once, self.sure = ordered, once, sure
        self.net, self.clock = Net(7), Clock(1_000_000)
        for fault in faults:
            self.net.apply(fault, ["a", "b"])

    def carry(self, messages):
        found = []
        for message in messages:
            if len(message) > self.most:
                continue
            for wait, spoilt in self.net.fates(("a", "b"), len(message), self.clock.now / 1e6):
                if not spoilt:  # the keyed hash of who receives it tells
                    self.clock.at(self.clock.now + 300 + int(wait * 1e6), lambda one=message: found.append(one))
            self.clock.run(self.clock.now + 1_000)
        self.clock.run(self.clock.now + 2_000_000)
        return found

    def close(self):
        pass


class Switched(Loopback):
    """The rig's switchboard, a process of its own, between two parties."""

    most = 1_400

    def __init__(self, folder, *faults, ordered=False, once=False, sure=True):
        super().__init__()
        self.ordered, self.once, self.sure = ordered, once, sure
        face = free("127.0.9.3")
        spec = folder / "wiring.json"
        doors = [Door(face, "far", self.to, "", True)]
        spec.write_bytes(msgspec.json.encode(Wiring(doors, {"127.0.9.1": "near"}, 3)))
        self.process = subprocess.Popen([sys.executable, "-m", "hollystage.standins.fleet.switchboard", str(spec)],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self.process.stdout.readline() == b"ready\n"
        for fault in faults:
            self.process.stdin.write(msgspec.json.encode(Order(fault)) + b"\n")
        self.process.stdin.flush()
        time.sleep(0.2)
        self.to = face

    def carry(self, messages):
        for message in messages:
            self.near.send(self.to, message)
            time.sleep(0.002)
        found, quiet = [], 0
        while quiet < 4 and len(found) < 200:
            data = self.far.receive(0.1)
            quiet = quiet + 1 if data is None else 0
            # one over the bound comes cut at what is read; what is spoilt is told by who receives it
            if data is not None and len(data) <= self.most and data in messages:
                found.append(data)
        return found

    def close(self):
        self.process.stdin.close()
        self.process.wait(5)
        self.process.stdout.close()
        super().close()


def link(do, amount):
    return Fault(0, do, ["a"], ["b"], amount=amount)


def wired(do, amount):
    return Fault(0, do, ["near"], ["far"], amount=amount)


TRANSPORTS = {
    "datagrams": lambda _: Loopback(), "streams": lambda _: Streams(),
    "switchboard": lambda folder: Switched(folder, ordered=True, once=True),
    "switchboard, lossy": lambda folder: Switched(folder, wired("lose", 0.4), ordered=True, once=True, sure=False),
    "switchboard, doubled": lambda folder: Switched(folder, wired("double", 0.5)),
    "switchboard, reordered": lambda folder: Switched(folder, wired("reorder", 0.5), once=True),
    "switchboard, spoilt": lambda folder: Switched(folder, wired("spoil", 0.3), ordered=True, once=True, sure=False),
    "virtual": lambda _: Virtual(ordered=True, once=True),
    "virtual, lossy": lambda _: Virtual(link("lose", 0.3), ordered=True, once=True, sure=False),
    "virtual, doubled": lambda _: Virtual(link("double", 0.5)),
    "virtual, reordered": lambda _: Virtual(link("reorder", 0.5), once=True),
    "virtual, spoilt": lambda _: Virtual(link("spoil", 0.3), ordered=True, once=True, sure=False),
}


@pytest.mark.parametrize("name", TRANSPORTS)
def test_every_transport_keeps_the_contract(name, tmp_path):
    transport = TRANSPORTS[name](tmp_path)
    try:
        carried(transport)
    finally:
        transport.close()


class Cutting(Virtual):
    def carry(self, messages):
        return [message[:-1] if len(message) == 256 else message for message in super().carry(messages)]


class Doubling(Virtual):
    def carry(self, messages):
        return [message for message in super().carry(messages) for _ in range(2)]


class Unbounded(Virtual):
    def carry(self, messages):
        self.most, kept = 1 << 40, self.most
        found = super().carry(messages)
        self.most = kept
        return found


class Swapping(Virtual):
    def carry(self, messages):
        return super().carry(messages)[::-1]


class Losing(Virtual):
    def carry(self, messages):
        return super().carry(messages)[1:]


@pytest.mark.parametrize("kind", [Cutting, Doubling, Unbounded, Swapping, Losing])
def test_a_transport_that_breaks_the_contract_is_found(kind):
    with pytest.raises(AssertionError):
        carried(kind(ordered=True, once=True))


# Stores


def kept(store, again):
    """The contract. What was written is there, the last of each kind, for a later holder too; each kind apart; a
    newer form is refused. `again` gives the store to a later holder."""
    assert store.read("boot", 1) is None
    for body in (b"", b"x" * 5, bytes(range(256)) * 40, b"last"):
        store.write("boot", 1, body)
        assert store.read("boot", 1) == body
    store.write("snapshot", 2, b"other")
    assert (store.read("boot", 1), store.read("snapshot", 3)) == (b"last", b"other")
    with pytest.raises(Unusable):
        store.read("snapshot", 1)
    later = again(store)
    assert (later.read("boot", 1), later.read("snapshot", 2)) == (b"last", b"other")
    return later


def reopened(store):
    path, name = store.path, store.name
    store.close()
    return Folder(path, name)


STORES = {"memory": (lambda path: Memory("a"), lambda store: store),
          "folder": (lambda path: Folder(str(path), "a"), reopened)}


@pytest.mark.parametrize("name", STORES)
def test_every_store_keeps_the_contract(name, tmp_path):
    make, again = STORES[name]
    kept(make(tmp_path / "state"), again).close()


def fails_after(monkeypatch, room, number):
    """The disk takes `room` more bytes, the last of them in part."""
    left, write = [room], os.write

    def some(file, data):
        if left[0] <= 0:
            raise OSError(number, os.strerror(number))
        taken = write(file, bytes(data[:left[0]]))
        left[0] -= taken
        return taken
    monkeypatch.setattr(os, "write", some)


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
@pytest.mark.parametrize("room", [0, 1, 40, 90, 150])
def test_a_disk_that_fails_leaves_the_last_confirmed_one(tmp_path, monkeypatch, number, room):
    store = Folder(str(tmp_path / "state"), "a")
    store.write("boot", 1, b"first")
    with monkeypatch.context() as broken:
        fails_after(broken, room, number)
        with pytest.raises(Unusable):
            store.write("boot", 1, b"y" * 200)
    assert store.read("boot", 1) == b"first"
    store.write("boot", 1, b"third")
    assert reopened(store).read("boot", 1) == b"third"


WRITER = """import sys
from hollystage.store.folder import Folder
store = Folder(sys.argv[1], "a")
n = 0
while True:
    n += 1
    store.write("boot", 1, str(n).encode() + b" " * (n * 37 % 5000))
    print(n, flush=True)
"""


def killed_in_the_middle(path, after):
    """What a process that is killed while it writes had confirmed, and what is found."""
    process = subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
    confirmed = 0
    while confirmed < after:
        confirmed = int(process.stdout.readline())
    time.sleep(0.003 * (after % 7))
    process.send_signal(signal.SIGKILL)
    rest = process.stdout.read().split()
    process.wait(10)
    store = Folder(str(path), "a")
    found = int(store.read("boot", 1))
    store.close()
    return int(rest[-1]) if rest else confirmed, found


@pytest.mark.parametrize("after", [1, 9, 23, 60])
def test_what_was_confirmed_is_there_after_a_kill_and_nothing_half(tmp_path, after):
    confirmed, found = killed_in_the_middle(tmp_path / "state", after)
    assert confirmed <= found <= confirmed + 1


class Half(Folder):
    """Written in place: a failing disk leaves half of it."""

    def write(self, kind, form, body):
        path = os.path.join(self.path, kind)
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            os.write(number, body[:len(body) // 2])
            os.write(number, body[len(body) // 2:])
        except OSError as bad:
            raise Unusable("full") from bad
        finally:
            os.close(number)


class Late(Memory):
    """Confirms before it keeps."""

    def write(self, kind, form, body):
        waiting = getattr(self, "waiting", None)
        if waiting is not None:
            super().write(*waiting)
        self.waiting = kind, form, body


class Mixed(Memory):
    """One place for all kinds."""

    def write(self, kind, form, body):
        super().write("all", form, body)

    def read(self, kind, form):
        return super().read("all", form)


@pytest.mark.parametrize("store", [Late("a"), Mixed("a")])
def test_a_store_that_breaks_the_contract_is_found(store):
    with pytest.raises((AssertionError, Unusable)):
        kept(store, lambda store: store)


def test_a_store_that_writes_in_place_is_found(tmp_path, monkeypatch):
    store = Half(str(tmp_path / "state"), "a")
    Folder.write(store, "boot", 1, b"first")
    fails_after(monkeypatch, 100, errno.ENOSPC)
    with pytest.raises(Unusable):
        store.write("boot", 1, b"y" * 200)
    with pytest.raises(Unusable):
        store.read("boot", 1)
