"""The fleet agent of one process: its sockets and threads, and the membership view that other code reads.

`Agent.view` is replaced as a whole, so threads that serve RPCs read it without a lock. `Members` and `ReplayGuard`
make all decisions under `Agent.lock`. No thread that serves RPCs takes this lock, and no code that holds it blocks on
a socket.
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

AT_ONCE = 64  # datagrams processed before due work is checked
LOOK = 50_000  # between updates of the published status; upper bound of the wait for timers set by other threads
TURN = 600_000_000  # after this time the process takes a new session number
KEPT, STREAMS = 64, 4  # datagrams kept for a resend under another session number; concurrent inbound streams
AGAIN_S = 1.0  # between attempts to bind the address
PROVOKED = 200.0  # bounds the replies that replayed datagrams can provoke
EVER = 1 << 62  # a time that is never reached
BAD = {"suspect", "lost", "twin", "ousted", "alone", "raised", "slept", "accused"}


class Tally(Protocol):
    """Increments named counters."""

    def add(self, name: str, amount: int = 1) -> None: ...


class Tenant(Protocol):
    """Handles the messages that share the agent's sockets with membership: those of leases and budgets.

    All methods are called under `Agent.lock` and must not block. The lists hold pairs of an address and a message to
    send to it. `next_at` is the time when `tick` is due, in microseconds.
    """

    next_at: int

    def heard(self, sender: Record, word: Guest) -> list[tuple[str, Guest]]: ...
    def tick(self, members: Members) -> list[tuple[str, Guest]]: ...
    def leave(self, members: Members) -> list[tuple[str, Guest]]: ...
    def shown(self, what: str) -> dict[str, Any] | None: ...
    def figures(self) -> dict[str, float]: ...


class Agent:
    """Exchanges membership, lease and budget messages with the other instances. Times are microseconds of `clock`.

    `read_status` returns what this process publishes about itself; it is called often and must not block.
    `save_boot` stores a boot number that had to be raised, before the number is announced a second time.
    """

    def __init__(self, name: str, zone: str, bind: str, advertise: str, configured_peers: list[str], key: bytes,
                 cluster: str, parameters: Terms, seed: int, boot: int, read_status: Callable[[], Digest],
                 save_boot: Callable[[int], None], clock: Callable[[], int], counters: Tally, log: Any) -> None:
        self.links, self.codec, self.clock, self.digest = Links(bind), Codec(key, cluster), clock, read_status
        self.keep, self.boot = save_boot, boot
        self.counters, self.log, self.bind = counters, log, bind
        now = clock()
        me = Record(name, zone, advertise, boot, secrets.randbits(62))
        self.members = Members(me, configured_peers, parameters, seed, now)
        self.doors, self.turned_at = Doors(1 + secrets.randbits(60)), now
        self.lock = threading.Lock()
        self.view: View = self.members.view(now)
        self.tenant: Tenant | None = None  # set if the plan has budgets
        self.lenders: dict[str, Callable[[], bytes]] = {}  # functions that supply what peers may fetch, by name
        self.out: list[tuple[str, bytes]] = []  # filled under the lock, sent without it
        self.sent: OrderedDict[int, tuple[str, Word, list[News]]] = OrderedDict()  # by envelope counter, for resends
        self.meets: Queue[str] = Queue(8)
        self.streams = threading.BoundedSemaphore(STREAMS)
        self.provoked = Allowance(PROVOKED, now)
        # other threads set timers too: a longer wait for them would be taken for a stall of the process
        self.look = min(LOOK, parameters.timeout // 4)
        self.looked_at = now - LOOK
        self.opened, self.stopped = threading.Event(), False

    # Threads

    def talk_forever(self) -> None:
        """Receives datagrams, does the work that is due and sends datagrams, until the agent is stopped."""
        self._open()
        with self.lock:
            self.members.begin(self.clock())
        while not self.stopped:
            next_at = min(self.members.next_at, self.tenant.next_at if self.tenant is not None else EVER)
            data = self.links.receive(max(0.0, min(next_at - self.clock(), self.look)) / 1e6)
            with self.lock:
                now, processed = self.clock(), 0
                while data is not None:
                    self._take(data, now)
                    processed += 1
                    data = self.links.receive(0) if processed < AT_ONCE else None
                self._due(now)
                outgoing = self._ready(now)
            if self.members.me.boot != self.boot:
                self.boot = self.members.me.boot
                self.keep(self.boot)
            self._send(outgoing)
        if self.opened.is_set():
            self.links.datagrams.close()

    def listen_forever(self) -> None:
        """Accepts streams and serves each in its own thread; closes those beyond `MAX_STREAMS` at once."""
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
        """Runs the full syncs that the membership module requests, one after the other."""
        self.opened.wait()
        while not self.stopped:
            with suppress(Empty):
                self._meet(self.meets.get(timeout=1.0))

    def leave(self) -> None:
        """Announces to the peers that this process leaves the fleet."""
        with self.lock:
            if self.tenant is not None:
                self._post(self.tenant.leave(self.members))
            self.members.leave(self.clock())
            outgoing = self._ready(self.clock())
        if self.opened.is_set():
            self._send(outgoing)

    def stop(self) -> None:
        """Ends the threads and closes the listener."""
        self.stopped = True
        if self.opened.is_set():
            self.links.hang_up()
        self.opened.set()

    def figures(self) -> dict[str, float]:
        """Gauges and counters of membership and of the message handler."""
        with self.lock:
            members = self.members
            return {"fleet.living": len(members.living), "fleet.suspects": len(members.suspects),
                    "fleet.gone": len(members.gone), "fleet.health": members.health.score,
                    **{f"fleet.{name}": count for name, count in sorted(members.counts.items())},
                    **(self.tenant.figures() if self.tenant is not None else {})}

    # Datagrams

    def _open(self) -> None:
        """Opens the sockets; retries until that succeeds or the agent is stopped, and logs the first failure only."""
        reported = False
        while not self.stopped:
            try:
                self.links.open()
            except OSError as error:
                if not reported:
                    self.log.error("cannot bind the address fleet.bind; serving without peers, retrying",
                                   bind=self.bind, why=error.strerror)
                reported = True
                self.counters.add("fleet.not_bound")
                time.sleep(AGAIN_S)
                continue
            self.opened.set()
            if self.stopped:
                self.links.hang_up()
            return

    def _take(self, data: bytes, now: int) -> None:
        """Counts a datagram and handles it if it is well-formed, authentic and not replayed.

        A datagram that names another session of this process is answered with a challenge, at a bounded rate.
        """
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
                rejected = self.sent.pop(envelope.word.count, None)
                if rejected is not None:
                    self.doors.learn(rejected[0], envelope.door)
                    self.out.append((rejected[0], self._pack(*rejected)))
            case Opening() | Answer() | Rest() | Show() | Shown() | Fetch() | Lent():
                self.counters.add("fleet.refused.misplaced")
            case Ping() | Ack() | Ask() | Nack():
                self.members.heard(envelope.me, envelope.word, envelope.news, now)
            case message if self.tenant is not None:
                self._post(self.tenant.heard(envelope.me, message))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _post(self, messages: list[tuple[str, Guest]]) -> None:
        """Enqueues the messages of the message handler, which carry no gossip."""
        for address, message in messages:
            self._sent(address, message, [])

    def _sent(self, address: str, message: Word, updates: list[News]) -> None:
        """Enqueues a datagram and keeps it for a while: the receiver may answer that its session is another."""
        self.out.append((address, self._pack(address, message, updates)))
        self.sent[self.doors.count] = address, message, updates
        if len(self.sent) > KEPT:
            self.sent.popitem(last=False)

    def _judged(self, data: bytes, max_size: int) -> tuple[Envelope | None, Verdict | None]:
        """Decodes and verifies received bytes. Called under the lock.

        The envelope is None if the bytes cannot be decoded; its content may be used only if the verdict is GOOD.
        """
        envelope = self.codec.unpack(data, max_size)
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

    def _pack(self, address: str, message: Word, updates: list[News], receiver_session: int | None = None) -> bytes:
        return self.codec.pack(Envelope(
            self.doors.door, self.doors.toward(address) if receiver_session is None else receiver_session,
            self.doors.next(), self.members.me, message, updates))

    def _due(self, now: int) -> None:
        """Does the work that is due: the published status, the session number, and all timers."""
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
        """Takes the datagrams to be sent after the lock is released. Called under the lock.

        Also queues requested syncs, publishes a changed view and logs events.
        """
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
        outgoing, self.out = self.out, []
        return outgoing

    def tell(self, event: Event) -> None:
        """Writes a membership event to the log."""
        log = self.log.warning if event.what in BAD else self.log.info
        log(f"peer {event.what}", who=event.who, **({"detail": event.detail} if event.detail else {}))

    def _send(self, outgoing: list[tuple[str, bytes]]) -> None:
        for address, data in outgoing:
            self.counters.add("fleet.out" if self.links.send(address, data) else "fleet.not_sent")

    # Streams

    def _guarded(self, stream: Frames) -> None:
        """Serves an inbound stream, closes it and frees its slot."""
        try:
            self._serve(stream)
        except (Cut, OSError):
            self.counters.add("fleet.streams_cut")
        finally:
            stream.close()
            self.streams.release()

    def _serve(self, stream: Frames) -> None:
        """Answers the one request of an inbound stream."""
        envelope = self._frame(stream, True)
        if envelope is None:
            return
        match envelope.word:
            case Opening():
                with self.lock:
                    response = self.members.answering(envelope.word, self.clock())
                self._reply(stream, envelope, response)
                push = self._frame(stream, False)
                if push is not None and isinstance(push.word, Rest):
                    with self.lock:
                        self.members.rested(push.word, self.clock())
                        outgoing = self._ready(self.clock())
                    self._send(outgoing)
                    self.counters.add("fleet.exchanges")
            case Show():
                self._reply(stream, envelope, Shown(self.shown(envelope.word.what)))
            case Fetch():
                provider = self.lenders.get(envelope.word.what)
                self._reply(stream, envelope, Lent(provider() if provider is not None else b""))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _meet(self, address: str) -> None:
        """Runs a full sync with the process at the address; a failed one is reported to membership."""
        try:
            stream = self.links.connect(address)
        except (OSError, OverflowError):
            stream = None
        succeeded = False
        if stream is not None:
            try:
                succeeded = self._exchange(stream, address)
            except (Cut, OSError):
                self.counters.add("fleet.streams_cut")
            finally:
                stream.close()
        with self.lock:
            if not succeeded:
                self.members.missed(address, self.clock())
            outgoing = self._ready(self.clock())
        self._send(outgoing)

    def _exchange(self, stream: Frames, address: str) -> bool:
        """Whether the peer answered the sync request; if so, its records are merged and ours are sent to it."""
        reply = self._asked(stream, address, self.members.opening)
        if reply is None or not isinstance(reply.word, Answer):
            return False
        with self.lock:
            push = self.members.answered(reply.word, self.clock())
            data = self._pack(address, push, [], reply.door)
        stream.send(data)
        return True

    def _asked(self, stream: Frames, address: str, make_message: Callable[[], Word]) -> Envelope | None:
        """The peer's reply. If the first attempt names a wrong session, the peer's challenge gives the right one."""
        for _ in range(2):
            with self.lock:
                data = self._pack(address, make_message(), [])
            stream.send(data)
            reply = self._frame(stream, False)
            if reply is None or not isinstance(reply.word, Challenge):
                return reply
            with self.lock:
                self.doors.learn(address, reply.door)
        return None

    def request(self, address: str, message: Word) -> Word | None:
        """Sends one request to a peer and returns its reply, None if there is none in time. Blocks the caller."""
        try:
            stream = self.links.connect(address)
        except (OSError, OverflowError):
            return None
        try:
            reply = self._asked(stream, address, lambda: message)
            return reply.word if reply is not None else None
        except (Cut, OSError):
            self.counters.add("fleet.streams_cut")
            return None
        finally:
            stream.close()

    def _frame(self, stream: Frames, challenge: bool) -> Envelope | None:
        """The next valid envelope of a stream, or None.

        With `challenge`, a sender that names another session is answered with a challenge and may send once more.
        """
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

    def _reply(self, stream: Frames, request: Envelope, message: Word) -> None:
        with self.lock:
            data = self._pack("", message, [], request.door)
        stream.send(data)

    def shown(self, name: str) -> bytes:
        """The table of that name as JSON, for an operator."""
        view, now = self.view, self.clock()
        if name != "members":
            with self.lock:
                table = self.tenant.shown(name) if self.tenant is not None else None
            if table is not None:
                return msgspec.json.encode(table)
            return msgspec.json.encode({"fault": f"there is no table {name!r}"})
        rows = [{"name": record.name, "zone": record.zone, "address": record.address, "boot": record.boot,
                 "incarnation": record.incarnation, "belief": Belief(record.belief).name.lower(),
                 "stage": Stage(record.digest.stage).name.lower(), "plan": f"{record.digest.plan:08x}",
                 "generations": record.digest.generations, "age_s": record.digest.age}
                for record in sorted([view.me, *view.others.values()], key=lambda record: record.name)]
        return msgspec.json.encode({"me": view.me.name, "fresh": view.fresh, "ousted": view.ousted,
                                    "view_age_ms": max(0, now - view.at) // 1000, "members": rows})
