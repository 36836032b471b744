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

from ..decisions.membership.members import Members
from ..decisions.membership.messages import (
    Ack,
    Event,
    Nack,
    Ping,
    PingRequest,
    StartSync,
    SyncPush,
    SyncRequest,
    SyncResponse,
)
from ..decisions.membership.parameters import Parameters
from ..decisions.membership.records import Belief, MemberStatus, Record, Stage, Update, View
from ..decisions.membership.replay import RateLimiter, ReplayGuard, Verdict
from .codec import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    Challenge,
    Codec,
    CoordinationMessage,
    DecodeFailure,
    Envelope,
    FetchReply,
    FetchRequest,
    Message,
    TableReply,
    TableRequest,
)
from .sockets import STREAM_TIMEOUT_S, FramedStream, PeerSockets, StreamError

DATAGRAM_BATCH = 64  # datagrams processed before due work is checked
POLL_INTERVAL_US = 50_000  # between updates of the published status; also limits the wait for a datagram
SESSION_LIFETIME_US = 600_000_000  # after this time the process takes a new session number
RESEND_BUFFER = 64  # sent datagrams kept for a resend under the session number that a challenge gives
MAX_STREAMS = 4  # concurrent inbound streams
BIND_RETRY_S = 1.0  # between attempts to bind the address
MAX_CHALLENGES_PER_S = 200.0  # bounds the replies that replayed datagrams can provoke
FOREVER = 1 << 62  # microseconds; a time that is never reached
WARNING_EVENTS = {"suspect", "lost", "twin", "ousted", "alone", "raised", "slept", "accused"}


class CounterSink(Protocol):
    """Increments named counters."""

    def add(self, name: str, amount: int = 1) -> None: ...


class MessageHandler(Protocol):
    """Handles the messages that share the agent's sockets with membership: those of leases and budgets.

    All methods are called under `Agent.lock` and must not block. The lists hold pairs of an address and a message to
    send to it. `next_at` is the time when `tick` is due, in microseconds.
    """

    next_at: int

    def receive(self, sender: Record, message: CoordinationMessage) -> list[tuple[str, CoordinationMessage]]: ...
    def tick(self, members: Members) -> list[tuple[str, CoordinationMessage]]: ...
    def leave(self, members: Members) -> list[tuple[str, CoordinationMessage]]: ...
    def table(self, name: str) -> dict[str, Any] | None: ...
    def metrics(self) -> dict[str, float]: ...


class Agent:
    """Exchanges membership, lease and budget messages with the other instances. Times are microseconds of `clock`.

    `read_status` returns what this process publishes about itself; it is called often and must not block.
    `save_boot` stores a boot number that had to be raised, before the datagram thread announces it.
    """

    def __init__(self, name: str, zone: str, bind: str, advertise: str, configured_peers: list[str], key: bytes,
                 cluster: str, parameters: Parameters, seed: int, boot: int, read_status: Callable[[], MemberStatus],
                 save_boot: Callable[[int], None], clock: Callable[[], int], counters: CounterSink, log: Any) -> None:
        self.sockets, self.codec, self.clock = PeerSockets(bind), Codec(key, cluster), clock
        self.read_status, self.save_boot, self.boot = read_status, save_boot, boot
        self.counters, self.log, self.bind = counters, log, bind
        now = clock()
        me = Record(name, zone, advertise, boot, secrets.randbits(62))
        self.members = Members(me, configured_peers, parameters, seed, now)
        self.replay_guard, self.session_rotated_at = ReplayGuard(1 + secrets.randbits(60)), now
        self.lock = threading.Lock()
        self.view: View = self.members.view(now)
        self.handler: MessageHandler | None = None  # set if the plan has budgets
        self.fetch_providers: dict[str, Callable[[], bytes]] = {}  # data that peers may fetch, by name
        self.outbox: list[tuple[str, bytes]] = []  # filled under the lock, sent without it
        # datagrams by envelope counter, for resends
        self.recently_sent: OrderedDict[int, tuple[str, Message, list[Update]]] = OrderedDict()
        self.sync_queue: Queue[str] = Queue(8)
        self.stream_slots = threading.BoundedSemaphore(MAX_STREAMS)
        self.challenge_limiter = RateLimiter(MAX_CHALLENGES_PER_S, now)
        # Other threads may set a timer while the datagram thread waits. A longer wait could delay that timer by more
        # than half the ack timeout, which membership takes for a pause of the process.
        self.poll_interval = min(POLL_INTERVAL_US, parameters.ack_timeout // 4)
        self.polled_at = now - POLL_INTERVAL_US
        self.sockets_open, self.stopped = threading.Event(), False

    # Threads

    def run_datagrams(self) -> None:
        """Receives datagrams, does the work that is due and sends datagrams, until the agent is stopped."""
        self._open_sockets()
        with self.lock:
            self.members.start(self.clock())
        while not self.stopped:
            next_at = min(self.members.next_at, self.handler.next_at if self.handler is not None else FOREVER)
            data = self.sockets.receive(max(0.0, min(next_at - self.clock(), self.poll_interval)) / 1e6)
            with self.lock:
                now, processed = self.clock(), 0
                while data is not None:
                    self._process_datagram(data, now)
                    processed += 1
                    data = self.sockets.receive(0) if processed < DATAGRAM_BATCH else None
                self._run_due(now)
                outgoing = self._take_outgoing(now)
            if self.members.me.boot != self.boot:
                self.boot = self.members.me.boot
                self.save_boot(self.boot)
            self._send(outgoing)
        if self.sockets_open.is_set():
            self.sockets.datagram_socket.close()

    def accept_streams(self) -> None:
        """Accepts streams and serves each in its own thread; closes those beyond `MAX_STREAMS` at once."""
        self.sockets_open.wait()
        while not self.stopped:
            try:
                sock = self.sockets.accept()
            except OSError:
                if not self.stopped:
                    time.sleep(0.05)
                continue
            if not self.stream_slots.acquire(blocking=False):
                self.counters.add("fleet.streams_refused")
                sock.close()
                continue
            stream = FramedStream(sock, time.monotonic() + STREAM_TIMEOUT_S)
            threading.Thread(target=self._handle_stream, args=(stream,), daemon=True).start()

    def run_syncs(self) -> None:
        """Runs the full syncs that the membership module requests, one after the other."""
        self.sockets_open.wait()
        while not self.stopped:
            with suppress(Empty):
                self._sync_with(self.sync_queue.get(timeout=1.0))

    def leave(self) -> None:
        """Announces to the peers that this process leaves the fleet."""
        with self.lock:
            if self.handler is not None:
                self._enqueue_all(self.handler.leave(self.members))
            self.members.leave(self.clock())
            outgoing = self._take_outgoing(self.clock())
        if self.sockets_open.is_set():
            self._send(outgoing)

    def stop(self) -> None:
        """Ends the threads and closes the listener."""
        self.stopped = True
        if self.sockets_open.is_set():
            self.sockets.close_listener()
        self.sockets_open.set()

    def metrics(self) -> dict[str, float]:
        """Gauges and counters of membership and of the message handler."""
        with self.lock:
            members = self.members
            return {"fleet.living": len(members.living), "fleet.suspects": len(members.suspects),
                    "fleet.gone": len(members.gone), "fleet.health": members.local_health.score,
                    **{f"fleet.{name}": count for name, count in sorted(members.counts.items())},
                    **(self.handler.metrics() if self.handler is not None else {})}

    # Datagrams

    def _open_sockets(self) -> None:
        """Opens the sockets; retries until that succeeds or the agent is stopped, and logs the first failure only."""
        reported = False
        while not self.stopped:
            try:
                self.sockets.open()
            except OSError as error:
                if not reported:
                    self.log.error("cannot bind the address fleet.bind; serving without peers, retrying",
                                   bind=self.bind, why=error.strerror)
                reported = True
                self.counters.add("fleet.not_bound")
                time.sleep(BIND_RETRY_S)
                continue
            self.sockets_open.set()
            if self.stopped:
                self.sockets.close_listener()
            return

    def _process_datagram(self, data: bytes, now: int) -> None:
        """Counts a datagram and handles it if it is well-formed, authentic and not replayed.

        A datagram that names a wrong session number is answered with a challenge, at a bounded rate.
        """
        envelope, verdict = self._decode_and_verify(data, MAX_DATAGRAM_BYTES)
        if envelope is None:
            return
        if verdict is not Verdict.GOOD:
            if verdict is Verdict.UNBOUND and self.challenge_limiter.try_acquire(now):
                address = envelope.sender.address
                self.outbox.append((address, self._pack(address, Challenge(envelope.counter), [], envelope.session)))
            return
        match envelope.message:
            case Challenge():
                rejected = self.recently_sent.pop(envelope.message.counter, None)
                if rejected is not None:
                    self.replay_guard.learn_session(rejected[0], envelope.session)
                    self.outbox.append((rejected[0], self._pack(*rejected)))
            case (SyncRequest() | SyncResponse() | SyncPush() | TableRequest() | TableReply() | FetchRequest()
                  | FetchReply()):
                self.counters.add("fleet.refused.misplaced")
            case Ping() | Ack() | PingRequest() | Nack():
                self.members.receive(envelope.sender, envelope.message, envelope.updates, now)
            case message if self.handler is not None:
                self._enqueue_all(self.handler.receive(envelope.sender, message))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _enqueue_all(self, messages: list[tuple[str, CoordinationMessage]]) -> None:
        """Enqueues the messages of the message handler, which carry no gossip."""
        for address, message in messages:
            self._enqueue(address, message, [])

    def _enqueue(self, address: str, message: Message, updates: list[Update]) -> None:
        """Enqueues a datagram, and keeps the message in case the receiver answers with a challenge."""
        self.outbox.append((address, self._pack(address, message, updates)))
        self.recently_sent[self.replay_guard.counter] = address, message, updates
        if len(self.recently_sent) > RESEND_BUFFER:
            self.recently_sent.popitem(last=False)

    def _decode_and_verify(self, data: bytes, max_size: int) -> tuple[Envelope | None, Verdict | None]:
        """Decodes and verifies received bytes. Called under the lock.

        The envelope is None if the bytes cannot be decoded; its content may be used only if the verdict is GOOD.
        """
        envelope = self.codec.unpack(data, max_size)
        if isinstance(envelope, DecodeFailure):
            self.counters.add(f"fleet.refused.{envelope.value}")
            return None, None
        verdict = self.replay_guard.admit(envelope.sender.birth, envelope.counter, envelope.receiver_session)
        if verdict is Verdict.GOOD:
            self.replay_guard.learn_session(envelope.sender.address, envelope.session)
            self.counters.add("fleet.in")
        else:
            self.counters.add(f"fleet.refused.{verdict.value}")
        return envelope, verdict

    def _pack(self, address: str, message: Message, updates: list[Update],
              receiver_session: int | None = None) -> bytes:
        guard = self.replay_guard
        return self.codec.pack(Envelope(
            guard.session, guard.session_of(address) if receiver_session is None else receiver_session,
            guard.next_counter(), self.members.me, message, updates))

    def _run_due(self, now: int) -> None:
        """Does the work that is due: the published status, the session number, and all timers."""
        if now - self.polled_at >= POLL_INTERVAL_US:
            self.polled_at = now
            self.members.set_status(self.read_status(), now)
            if now - self.session_rotated_at >= SESSION_LIFETIME_US:
                self.session_rotated_at = now
                self.replay_guard.rotate_session(1 + secrets.randbits(60))
        if now >= self.members.next_at:
            self.members.tick(now)
        if self.handler is not None:
            self._enqueue_all(self.handler.tick(self.members))

    def _take_outgoing(self, now: int) -> list[tuple[str, bytes]]:
        """Takes the datagrams to be sent after the lock is released. Called under the lock.

        Also queues requested syncs, publishes a changed view and logs events.
        """
        for action in self.members.take_actions():
            if isinstance(action, StartSync):
                with suppress(Full):
                    self.sync_queue.put_nowait(action.address)
                continue
            self._enqueue(*action)
        if self.members.view_changed:
            self.view = self.members.view(now)
        for event in self.members.take_events():
            self.log_event(event)
        outgoing, self.outbox = self.outbox, []
        return outgoing

    def log_event(self, event: Event) -> None:
        """Writes a membership event to the log."""
        log = self.log.warning if event.kind in WARNING_EVENTS else self.log.info
        log(f"peer {event.kind}", who=event.member, **({"detail": event.detail} if event.detail else {}))

    def _send(self, outgoing: list[tuple[str, bytes]]) -> None:
        for address, data in outgoing:
            self.counters.add("fleet.out" if self.sockets.send(address, data) else "fleet.not_sent")

    # Streams

    def _handle_stream(self, stream: FramedStream) -> None:
        """Serves an inbound stream, closes it and frees its slot."""
        try:
            self._serve_stream(stream)
        except (StreamError, OSError):
            self.counters.add("fleet.streams_cut")
        finally:
            stream.close()
            self.stream_slots.release()

    def _serve_stream(self, stream: FramedStream) -> None:
        """Answers the one request of an inbound stream."""
        envelope = self._read_envelope(stream, True)
        if envelope is None:
            return
        match envelope.message:
            case SyncRequest():
                with self.lock:
                    response = self.members.handle_sync_request(envelope.message, self.clock())
                self._reply(stream, envelope, response)
                push = self._read_envelope(stream, False)
                if push is not None and isinstance(push.message, SyncPush):
                    with self.lock:
                        self.members.handle_sync_push(push.message, self.clock())
                        outgoing = self._take_outgoing(self.clock())
                    self._send(outgoing)
                    self.counters.add("fleet.exchanges")
            case TableRequest():
                self._reply(stream, envelope, TableReply(self.table_json(envelope.message.table)))
            case FetchRequest():
                provider = self.fetch_providers.get(envelope.message.name)
                self._reply(stream, envelope, FetchReply(provider() if provider is not None else b""))
            case _:
                self.counters.add("fleet.refused.misplaced")

    def _sync_with(self, address: str) -> None:
        """Runs a full sync with the process at the address; a failed one is reported to membership."""
        try:
            stream = self.sockets.connect(address)
        except (OSError, OverflowError):
            stream = None
        succeeded = False
        if stream is not None:
            try:
                succeeded = self._run_sync(stream, address)
            except (StreamError, OSError):
                self.counters.add("fleet.streams_cut")
            finally:
                stream.close()
        with self.lock:
            if not succeeded:
                self.members.sync_failed(address, self.clock())
            outgoing = self._take_outgoing(self.clock())
        self._send(outgoing)

    def _run_sync(self, stream: FramedStream, address: str) -> bool:
        """Whether the peer answered the sync request; if so, its records are merged and ours are sent to it."""
        reply = self._round_trip(stream, address, self.members.make_sync_request)
        if reply is None or not isinstance(reply.message, SyncResponse):
            return False
        with self.lock:
            push = self.members.handle_sync_response(reply.message, self.clock())
            data = self._pack(address, push, [], reply.session)
        stream.send(data)
        return True

    def _round_trip(self, stream: FramedStream, address: str, make_message: Callable[[], Message]) -> Envelope | None:
        """The peer's reply. If the first attempt names a wrong session, the peer's challenge gives the right one."""
        for _ in range(2):
            with self.lock:
                data = self._pack(address, make_message(), [])
            stream.send(data)
            reply = self._read_envelope(stream, False)
            if reply is None or not isinstance(reply.message, Challenge):
                return reply
            with self.lock:
                self.replay_guard.learn_session(address, reply.session)
        return None

    def request(self, address: str, message: Message) -> Message | None:
        """Sends one request to a peer and returns its reply, None if there is none in time. Blocks the caller."""
        try:
            stream = self.sockets.connect(address)
        except (OSError, OverflowError):
            return None
        try:
            reply = self._round_trip(stream, address, lambda: message)
            return reply.message if reply is not None else None
        except (StreamError, OSError):
            self.counters.add("fleet.streams_cut")
            return None
        finally:
            stream.close()

    def _read_envelope(self, stream: FramedStream, challenge: bool) -> Envelope | None:
        """The next valid envelope of a stream, or None.

        With `challenge`, a sender that names a wrong session number gets a challenge and may send once more.
        """
        while True:
            data = stream.read(MAX_FRAME_BYTES)
            with self.lock:
                envelope, verdict = self._decode_and_verify(data, MAX_FRAME_BYTES)
            if envelope is None or verdict is Verdict.GOOD:
                return envelope
            if verdict is not Verdict.UNBOUND or not challenge:
                return None
            self._reply(stream, envelope, Challenge(envelope.counter))
            challenge = False

    def _reply(self, stream: FramedStream, request: Envelope, message: Message) -> None:
        with self.lock:
            data = self._pack("", message, [], request.session)
        stream.send(data)

    def table_json(self, name: str) -> bytes:
        """The table of that name as JSON, for an operator."""
        view, now = self.view, self.clock()
        if name != "members":
            with self.lock:
                table = self.handler.table(name) if self.handler is not None else None
            if table is not None:
                return msgspec.json.encode(table)
            return msgspec.json.encode({"fault": f"there is no table {name!r}"})
        rows = [{"name": record.name, "zone": record.zone, "address": record.address, "boot": record.boot,
                 "incarnation": record.incarnation, "belief": Belief(record.belief).name.lower(),
                 "stage": Stage(record.status.stage).name.lower(), "plan": f"{record.status.plan:08x}",
                 "generations": record.status.generations, "age_s": record.status.age}
                for record in sorted([view.me, *view.others.values()], key=lambda record: record.name)]
        return msgspec.json.encode({"me": view.me.name, "fresh": view.fresh, "ousted": view.ousted,
                                    "view_age_ms": max(0, now - view.taken_at) // 1000, "members": rows})
