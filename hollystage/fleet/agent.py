"""This process among the others: the threads that talk, and the view that everybody else reads.

The view is replaced whole: who serves an RPC reads it and takes no lock of this package. All that is decided goes
through `Members` and `Doors`, under one lock that no RPC knows; nothing under it waits for a socket.
"""
from __future__ import annotations

import secrets
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from queue import Empty, Full, Queue
from typing import Any, Protocol

import msgspec

from ..decisions.membership.doors import Allowance, Doors, Verdict
from ..decisions.membership.members import Members
from ..decisions.membership.records import Belief, Digest, News, Record, Stage, View
from ..decisions.membership.terms import Terms
from ..decisions.membership.words import Ack, Answer, Ask, Event, Meet, Nack, Opening, Ping, Rest
from .codec import DATAGRAM, FRAME, Challenge, Codec, Envelope, Fetch, Guest, Lent, Refused, Show, Shown, Word
from .links import STREAM_S, Cut, Frames, Links

AT_ONCE = 64  # datagrams that are taken before what is due is looked at
LOOK = 50_000  # microseconds between looks at what this process is to say of itself, and at new timers
TURN = 600_000_000  # a door's life
KEPT, STREAMS = 64, 4  # datagrams that may yet be sent again behind another door; streams at once
AGAIN_S = 1.0  # between tries to bind the address
PROVOKED = 200.0  # challenges a second, at the most
EVER = 1 << 62
BAD = {"suspect", "lost", "twin", "ousted", "alone", "raised", "slept", "accused"}


class Tally(Protocol):
    def add(self, name: str, amount: int = 1) -> None: ...


class Tenant(Protocol):
    """Who talks over the same sockets beside membership. Called under the agent's lock: nothing in it waits."""

    next_at: int

    def heard(self, sender: Record, word: Guest) -> list[tuple[str, Guest]]: ...
    def tick(self, members: Members) -> list[tuple[str, Guest]]: ...
    def leave(self, members: Members) -> list[tuple[str, Guest]]: ...
    def shown(self, what: str) -> dict[str, Any] | None: ...
    def figures(self) -> dict[str, float]: ...


class Agent:
    """`digest` tells what this process says of itself; it is asked often and must not wait. `keep` is given a
    boot number that had to be raised, before others hear of it twice."""

    def __init__(self, name: str, zone: str, bind: str, advertise: str, named: list[str], key: bytes, cluster: str,
                 terms: Terms, seed: int, boot: int, digest: Callable[[], Digest], keep: Callable[[int], None],
                 clock: Callable[[], int], counters: Tally, log: Any) -> None:
        self.links, self.codec, self.clock, self.digest = Links(bind), Codec(key, cluster), clock, digest
        self.keep, self.boot = keep, boot
        self.counters, self.log, self.bind = counters, log, bind
        now = clock()
        me = Record(name, zone, advertise, boot, secrets.randbits(62))
        self.members = Members(me, named, terms, seed, now)
        self.doors, self.turned_at = Doors(1 + secrets.randbits(60)), now
        self.lock = threading.Lock()
        self.view: View = self.members.view(now)
        self.tenant: Tenant | None = None  # where the plan has budgets
        self.lenders: dict[str, Callable[[], bytes]] = {}  # of what others may fetch
        self.out: list[tuple[str, bytes]] = []  # made under the lock, sent outside of it
        self.sent: OrderedDict[int, tuple[str, Word, list[News]]] = OrderedDict()
        self.meets: Queue[str] = Queue(8)
        self.streams = threading.BoundedSemaphore(STREAMS)
        self.provoked = Allowance(PROVOKED, now)
        # other threads set timers too: one that waits longer than this would look like a stall
        self.look = min(LOOK, terms.timeout // 4)
        self.looked_at = now - LOOK
        self.opened, self.stopped = threading.Event(), False

    # The threads

    def talk_forever(self) -> None:
        """Datagrams in, what is due, datagrams out."""
        self._open()
        with self.lock:
            self.members.begin(self.clock())
        while not self.stopped:
            next_at = min(self.members.next_at, self.tenant.next_at if self.tenant is not None else EVER)
            data = self.links.receive(max(0.0, min(next_at - self.clock(), self.look)) / 1e6)
            with self.lock:
                now, taken = self.clock(), 0
                while data is not None:
                    self._take(data, now)
                    taken += 1
                    data = self.links.receive(0) if taken < AT_ONCE else None
                self._due(now)
                ready = self._ready(now)
            if self.members.me.boot != self.boot:
                self.boot = self.members.me.boot
                self.keep(self.boot)
            self._send(ready)
        if self.opened.is_set():
            self.links.datagrams.close()

    def listen_forever(self) -> None:
        self.opened.wait()
        while not self.stopped:
            try:
                sock = self.links.accept()
            except OSError:
                if not self.stopped:
                    time.sleep(0.05)
                continue
            if not self.streams.acquire(blocking=False):
                self.counters.add("fleet.streams_refused")
                sock.close()
                continue
            stream = Frames(sock, time.monotonic() + STREAM_S)
            threading.Thread(target=self._guarded, args=(stream,), daemon=True).start()

    def meet_forever(self) -> None:
        self.opened.wait()
        while not self.stopped:
            with suppress(Empty):
                self._meet(self.meets.get(timeout=1.0))

    def leave(self) -> None:
        """The last word to the others."""
        with self.lock:
            if self.tenant is not None:
                self._post(self.tenant.leave(self.members))
            self.members.leave(self.clock())
            ready = self._ready(self.clock())
        if self.opened.is_set():
            self._send(ready)

    def stop(self) -> None:
        self.stopped = True
        if self.opened.is_set():
            self.links.hang_up()
        self.opened.set()

    def figures(self) -> dict[str, float]:
        with self.lock:
            members = self.members
            return {"fleet.living": len(members.living), "fleet.suspects": len(members.suspects),
                    "fleet.gone": len(members.gone), "fleet.health": members.health.score,
                    **{f"fleet.{name}": count for name, count in sorted(members.counts.items())},
                    **(self.tenant.figures() if self.tenant is not None else {})}

    # Datagrams

    def _open(self) -> None:
        told = False
        while not self.stopped:
            try:
                self.links.open()
            except OSError as bad:
                if not told:
                    self.log.error("fleet.bind cannot be used; serving goes on without peers, it is tried again",
                                   bind=self.bind, why=bad.strerror)
                told = True
                self.counters.add("fleet.not_bound")
                time.sleep(AGAIN_S)
                continue
            self.opened.set()
            if self.stopped:
                self.links.hang_up()
            return

    def _take(self, data: bytes, now: int) -> None:
        """Whatever it is, it is counted; only what is whole, keyed and of this moment has another effect."""
        envelope, verdict = self._judged(data, DATAGRAM)
        if envelope is None:
            return
        if verdict is not Verdict.GOOD:
            if verdict is Verdict.UNBOUND and self.provoked.take(now):
                address = envelope.me.address
                self.out.append((address, self._pack(address, Challenge(envelope.count), [], envelope.door)))
            return
        match envelope.word:
            case Challenge():
                again = self.sent.pop(envelope.word.count, None)
                if again is not None:
                    self.doors.learn(again[0], envelope.door)
                    self.out.append((again[0], self._pack(*again)))
            case Opening() | Answer() | Rest() | Show() | Shown() | Fetch() | Lent():
                self.counters.add("fleet.refused.misplaced")
            case Ping() | Ack() | Ask() | Nack():
                self.members.heard(envelope.me, envelope.word, envelope.news, now)
            case word if self.tenant is not None:
                self._post(self.tenant.heard(envelope.me, word))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _post(self, words: list[tuple[str, Guest]]) -> None:
        """What a tenant says, on its way; kept for a while, should the other side's door be another."""
        for address, word in words:
            self._sent(address, word, [])

    def _sent(self, address: str, word: Word, news: list[News]) -> None:
        self.out.append((address, self._pack(address, word, news)))
        self.sent[self.doors.count] = address, word, news
        if len(self.sent) > KEPT:
            self.sent.popitem(last=False)

    def _judged(self, data: bytes, most: int) -> tuple[Envelope | None, Verdict | None]:
        """Under the lock. No envelope where the bytes are none; believed only where the verdict is good."""
        envelope = self.codec.unpack(data, most)
        if isinstance(envelope, Refused):
            self.counters.add(f"fleet.refused.{envelope.value}")
            return None, None
        verdict = self.doors.admit(envelope.me.birth, envelope.count, envelope.to)
        if verdict is Verdict.GOOD:
            self.doors.learn(envelope.me.address, envelope.door)
            self.counters.add("fleet.in")
        else:
            self.counters.add(f"fleet.refused.{verdict.value}")
        return envelope, verdict

    def _pack(self, address: str, word: Word, news: list[News], to: int | None = None) -> bytes:
        return self.codec.pack(Envelope(self.doors.door, self.doors.toward(address) if to is None else to,
                                        self.doors.next(), self.members.me, word, news))

    def _due(self, now: int) -> None:
        if now - self.looked_at >= LOOK:
            self.looked_at = now
            self.members.say(self.digest(), now)
            if now - self.turned_at >= TURN:
                self.turned_at = now
                self.doors.turn(1 + secrets.randbits(60))
        if now >= self.members.next_at:
            self.members.tick(now)
        if self.tenant is not None:
            self._post(self.tenant.tick(self.members))

    def _ready(self, now: int) -> list[tuple[str, bytes]]:
        """Under the lock: what is to be sent outside of it. Events and the view go out here."""
        for action in self.members.take():
            if isinstance(action, Meet):
                with suppress(Full):
                    self.meets.put_nowait(action.address)
                continue
            self._sent(*action)
        if self.members.changed:
            self.view = self.members.view(now)
        for event in self.members.happened():
            self.tell(event)
        ready, self.out = self.out, []
        return ready

    def tell(self, event: Event) -> None:
        level = self.log.warning if event.what in BAD else self.log.info
        level(f"peer {event.what}", who=event.who, **({"detail": event.detail} if event.detail else {}))

    def _send(self, ready: list[tuple[str, bytes]]) -> None:
        for address, data in ready:
            self.counters.add("fleet.out" if self.links.send(address, data) else "fleet.not_sent")

    # Streams

    def _guarded(self, stream: Frames) -> None:
        try:
            self._serve(stream)
        except (Cut, OSError):
            self.counters.add("fleet.streams_cut")
        finally:
            stream.close()
            self.streams.release()

    def _serve(self, stream: Frames) -> None:
        envelope = self._frame(stream, True)
        if envelope is None:
            return
        match envelope.word:
            case Opening():
                with self.lock:
                    answer = self.members.answering(envelope.word, self.clock())
                self._reply(stream, envelope, answer)
                rest = self._frame(stream, False)
                if rest is not None and isinstance(rest.word, Rest):
                    with self.lock:
                        self.members.rested(rest.word, self.clock())
                        ready = self._ready(self.clock())
                    self._send(ready)
                    self.counters.add("fleet.exchanges")
            case Show():
                self._reply(stream, envelope, Shown(self.shown(envelope.word.what)))
            case Fetch():
                lend = self.lenders.get(envelope.word.what)
                self._reply(stream, envelope, Lent(lend() if lend is not None else b""))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _meet(self, address: str) -> None:
        """A full exchange with whoever is there; counted if none came about."""
        try:
            stream = self.links.connect(address)
        except (OSError, OverflowError):
            stream = None
        done = False
        if stream is not None:
            try:
                done = self._exchange(stream, address)
            except (Cut, OSError):
                self.counters.add("fleet.streams_cut")
            finally:
                stream.close()
        with self.lock:
            if not done:
                self.members.missed(address, self.clock())
            ready = self._ready(self.clock())
        self._send(ready)

    def _exchange(self, stream: Frames, address: str) -> bool:
        reply = self._asked(stream, address, self.members.opening)
        if reply is None or not isinstance(reply.word, Answer):
            return False
        with self.lock:
            rest = self.members.answered(reply.word, self.clock())
            data = self._pack(address, rest, [], reply.door)
        stream.send(data)
        return True

    def _asked(self, stream: Frames, address: str, word: Callable[[], Word]) -> Envelope | None:
        """The other side's answer; the first try may name the wrong door, and is told the right one."""
        for _ in range(2):
            with self.lock:
                data = self._pack(address, word(), [])
            stream.send(data)
            reply = self._frame(stream, False)
            if reply is None or not isinstance(reply.word, Challenge):
                return reply
            with self.lock:
                self.doors.learn(address, reply.door)
        return None

    def request(self, address: str, word: Word) -> Word | None:
        """One question to one peer, by the thread that needs the answer; None where none comes in time."""
        try:
            stream = self.links.connect(address)
        except (OSError, OverflowError):
            return None
        try:
            reply = self._asked(stream, address, lambda: word)
            return reply.word if reply is not None else None
        except (Cut, OSError):
            self.counters.add("fleet.streams_cut")
            return None
        finally:
            stream.close()

    def _frame(self, stream: Frames, challenge: bool) -> Envelope | None:
        """The next frame; with `challenge` one that names no door of ours is told it, and has one more try."""
        while True:
            data = stream.read(FRAME)
            with self.lock:
                envelope, verdict = self._judged(data, FRAME)
            if envelope is None or verdict is Verdict.GOOD:
                return envelope
            if verdict is not Verdict.UNBOUND or not challenge:
                return None
            self._reply(stream, envelope, Challenge(envelope.count))
            challenge = False

    def _reply(self, stream: Frames, asked: Envelope, word: Word) -> None:
        with self.lock:
            data = self._pack("", word, [], asked.door)
        stream.send(data)

    def shown(self, what: str) -> bytes:
        """What this process holds, for an operator; JSON."""
        view, now = self.view, self.clock()
        if what != "members":
            with self.lock:
                table = self.tenant.shown(what) if self.tenant is not None else None
            if table is not None:
                return msgspec.json.encode(table)
            return msgspec.json.encode({"fault": f"no table is called {what!r}"})
        rows = [{"name": record.name, "zone": record.zone, "address": record.address, "boot": record.boot,
                 "incarnation": record.incarnation, "belief": Belief(record.belief).name.lower(),
                 "stage": Stage(record.digest.stage).name.lower(), "plan": f"{record.digest.plan:08x}",
                 "generations": record.digest.generations, "age_s": record.digest.age}
                for record in sorted([view.me, *view.others.values()], key=lambda record: record.name)]
        return msgspec.json.encode({"me": view.me.name, "fresh": view.fresh, "ousted": view.ousted,
                                    "view_age_ms": max(0, now - view.at) // 1000, "members": rows})
