"""Membership of the fleet: each instance keeps a view of the others by probes and gossip, without a coordinator.

The protocol follows SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (see `suspicion`). In each period one member
is probed, in shuffled rounds. If it does not answer, helpers are asked to probe it; if they get no answer either, it
becomes a suspect, which it can refute with a higher incarnation. Updates are piggybacked on these datagrams.

In addition, whole views are synchronized (SyncRequest, SyncResponse, SyncPush): when a process joins, periodically,
after many changes, and when a lost member answers again. Lost members are still probed, at a low rate; that is how
the two sides of a partition find each other again.

The code does no I/O and reads no clock. Datagrams enter by `receive` and time passes by `tick`; the caller takes what
is to be sent by `take_actions`, and the events by `take_events`. Times are microseconds of one monotonic clock.
"""
from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop
from zlib import crc32

import msgspec

from ..jitter import FLEET_RATES
from .messages import (
    Ack,
    Event,
    Message,
    Nack,
    Ping,
    PingRequest,
    Send,
    StartSync,
    SyncPush,
    SyncRequest,
    SyncResponse,
)
from .parameters import Parameters
from .probing import FailureDetector
from .records import Belief, MemberStatus, Record, Stage, Update, View

SYNC_THRESHOLD = 8  # pending updates above which a full sync is faster than gossip
SYNC_BUCKETS = 64  # parts of a view that are compared by checksum


class Members(FailureDetector):
    """One process's view; `me` is its own record, `configured_peers` the addresses from the plan."""

    def __init__(self, me: Record, configured_peers: Iterable[str], parameters: Parameters, seed: int,
                 now: int) -> None:
        super().__init__(me, configured_peers, parameters, seed, now)
        for interval, callback in ((parameters.probe_period, self._probe),
                                   (parameters.lost_probe_period, self._probe_lost),
                                   (self._sync_interval(), self._periodic_sync),
                                   (parameters.tombstone_lifetime // 8, self._remove_tombstones)):
            self._schedule(now + int(interval * self.rng.random()) + 1, callback, None)
        max_delay = int(parameters.expected_members / FLEET_RATES["exchange"] * 1e6)
        self._schedule(now + (self.rng.randrange(max_delay) if max_delay else 0), self._join, 0)

    # Input

    def start(self, now: int) -> None:
        """Starts the clock, so that the time between construction and the first tick does not count as a pause."""
        self.now, self.stall_detector.due = now, 0

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""
        self._check_stall(now)
        while self.timers and self.timers[0][0] <= now and not self.stopped:
            _, _, callback, argument = heappop(self.timers)
            callback(argument)
        self.stall_detector.on_timer(now, max(0, self.next_at - now))

    def receive(self, sender: Record, message: Message, updates: Iterable[Update], now: int) -> None:
        """Handles a datagram that is authenticated, not replayed, and whose fields are within their bounds."""
        self._check_stall(now)
        if self.stopped or self.ousted:
            return
        if sender.name == self.me.name:
            if sender.birth != self.me.birth:
                self._handle_duplicate(sender)
            return
        known = self.records.get(sender.name)
        if known is not None and known.process > sender.process:
            # the sender does not know that a later process replaced it: ignore its updates, but answer its ping, as
            # it can learn about the later process from the updates in the answer
            self.counts["older_boot"] += 1
            if isinstance(message, Ping):
                self._send(sender.address, Ack(message.seq, self.me.name), known)
            return
        before = self.new_processes
        self._apply_record(sender, sender.name)
        for update in updates:
            self._apply_record(update.record, update.reporter)
        if self.new_processes > before and len(self.updates) > SYNC_THRESHOLD:
            self._schedule_early_sync()  # gossip would take long to spread so many updates
        match message:
            case Ping():
                if message.name in ("", self.me.name):
                    self._send(sender.address, Ack(message.seq, self.me.name), self.records.get(sender.name))
                else:
                    self.counts["misdirected"] += 1
            case Ack():
                self._handle_ack(message)
            case PingRequest():
                self._handle_ping_request(message, sender)
            case Nack():
                probe = self.probes.get(message.seq)
                if probe is not None:
                    probe.nacks += 1

    def set_status(self, status: MemberStatus, now: int) -> None:
        """Publishes a new status of this process, with the next version, if it differs from the current one."""
        self.now = now
        if msgspec.structs.replace(status, version=self.me.status.version) != self.me.status:
            self.me = msgspec.structs.replace(
                self.me, status=msgspec.structs.replace(status, version=self.me.status.version + 1))
            self._announce_self()

    def leave(self, now: int) -> None:
        """Announces to a few members that this process leaves; they gossip it. Afterwards nothing more is sent."""
        self.now = now
        if self.ousted or self.stopped:
            return
        status = msgspec.structs.replace(self.me.status, stage=Stage.LEFT, version=self.me.status.version + 1)
        self.me = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, belief=Belief.LEFT,
                                          status=status)
        for name in self.rng.sample(self.living, min(len(self.living), 2 * self.parameters.indirect_probes)):
            self.seq += 1
            self._send(self.records[name].address, Ping(self.seq, name))
        self.stopped = True

    def view(self, now: int) -> View:
        """Returns a snapshot of all records and clears `view_changed`."""
        self.view_changed = False
        return View(now, self.me, dict(self.records), self.unconfirmed is None, self.ousted)

    def take_actions(self) -> list[Send | StartSync]:
        """Returns the pending actions and clears them."""
        actions, self.actions = self.actions, []
        return actions

    def take_events(self) -> list[Event]:
        """Returns the pending events and clears them."""
        events, self.events = self.events, []
        return events

    # Full syncs: request, response and push

    def make_sync_request(self) -> SyncRequest:
        """Returns the first message of a sync: the checksums of this process's view."""
        return SyncRequest(self._checksums())

    def handle_sync_request(self, request: SyncRequest, now: int) -> SyncResponse:
        """Returns the records that the requester may lack: those in buckets whose checksums differ."""
        self.now = now
        own = self._checksums()
        differing = [index for index, (a, b) in enumerate(zip(own, request.checksums, strict=False)) if a != b]
        return SyncResponse(differing, self._records_in(set(differing)))

    def handle_sync_response(self, response: SyncResponse, now: int) -> SyncPush:
        """Applies the records of the other side; returns this side's records as they were before."""
        self._check_stall(now)
        push = SyncPush(self._records_in(set(response.buckets)))
        self.handle_sync_push(SyncPush(response.records), now)
        return push

    def handle_sync_push(self, push: SyncPush, now: int) -> None:
        """Applies the records of the other side, which end the sync."""
        self._check_stall(now)
        if self.stopped or self.ousted:
            return
        before = self.new_processes
        for record in push.records:
            self._apply_record(record, record.name, True)
        self._mark_fresh()
        if self.new_processes > before:
            self._schedule_early_sync()  # many members started, or a partition was healed
        if not self.joined and self.living:
            self.joined = True
            self._record_event("joined", self.me.name, f"{len(self.living)} others")

    def sync_failed(self, address: str, now: int) -> None:
        """Called when a sync that was requested by a StartSync failed."""
        self.now = now
        self.counts["exchanges_failed"] += 1

    def _checksums(self) -> list[int]:
        """Returns one checksum for each bucket, over its live members; their order does not matter."""
        checksums = [0] * SYNC_BUCKETS
        for record in (self.me, *self.records.values()):
            if record.living:
                text = f"{record.name} {record.boot} {record.birth}".encode()
                checksums[crc32(record.name.encode()) % SYNC_BUCKETS] ^= crc32(text)
        return checksums

    def _records_in(self, buckets: set[int]) -> list[Record]:
        """Returns all records in these buckets."""
        return [record for record in (self.me, *self.records.values())
                if crc32(record.name.encode()) % SYNC_BUCKETS in buckets]

    # Joining, healing partitions, removing tombstones

    def _join(self, attempt: int) -> None:
        """Timer: requests a sync with one configured peer after the other, with backoff, until one has succeeded."""
        if self.joined or not self.configured_peers or self.ousted:
            return
        if attempt and attempt % len(self.configured_peers) == 0 and not self.living:
            self._record_event("alone", self.me.name,
                               f"none of {len(self.configured_peers)} configured peers answers")
        if attempt % len(self.configured_peers) == 0:
            self.rng.shuffle(self.configured_peers)
        self._start_sync(self.configured_peers[attempt % len(self.configured_peers)])
        delay = min(self.parameters.lost_probe_period, self.parameters.ack_timeout << min(attempt, 8))
        self._schedule(self.now + int(delay * (0.5 + self.rng.random())), self._join, attempt + 1)

    def _sync_interval(self) -> int:
        """Returns the mean time between syncs; it grows with the view, so that their bandwidth stays constant."""
        return max(self.parameters.sync_period, (len(self.living) + 1) * 100_000)

    def _periodic_sync(self, _: None) -> None:
        """Timer: requests a sync with a random live member."""
        delay = int(self._sync_interval() * (0.75 + 0.5 * self.rng.random()))
        self._schedule(self.now + delay, self._periodic_sync, None)
        if self.living:
            self._start_sync(self.records[self.rng.choice(self.living)].address)

    def _schedule_early_sync(self) -> None:
        """Schedules a sync before the next periodic one, as gossip takes long with a few updates per datagram."""
        if not self.sync_scheduled:
            self.sync_scheduled = True
            min_delay = max(self.parameters.min_sync_interval, len(self.living) * 5_000)
            self._schedule(self.now + int(min_delay * (1 + self.rng.random())), self._early_sync, None)

    def _early_sync(self, _: None) -> None:
        """Timer: requests the early sync with a random live member."""
        self.sync_scheduled = False
        if self.living:
            self._start_sync(self.records[self.rng.choice(self.living)].address)

    def _probe_lost(self, _: None) -> None:
        """Timer: pings one lost member, or one configured address where no live member is known."""
        delay = int(self.parameters.lost_probe_period * (0.5 + self.rng.random()))
        self._schedule(self.now + delay, self._probe_lost, None)
        if self.ousted:
            return
        lost = [record for name in self.gone if (record := self.records[name]).belief == Belief.LOST]
        unknown = [address for address in self.configured_peers if address not in self.name_by_address]
        self.seq += 1
        index = self.rng.randrange(len(lost) + len(unknown)) if lost or unknown else -1
        if 0 <= index < len(lost):
            self._send(lost[index].address, Ping(self.seq), lost[index])
        elif index >= 0:
            self._send(unknown[index - len(lost)], Ping(self.seq))

    def _remove_tombstones(self, _: None) -> None:
        """Timer: removes members that have been lost or left for `tombstone_lifetime`, and resets `boot_raises`."""
        self._schedule(self.now + self.parameters.tombstone_lifetime // 8, self._remove_tombstones, None)
        for name in [name for name, since in self.gone.items()
                     if self.now - since >= self.parameters.tombstone_lifetime]:
            del self.gone[name], self.records[name]
            self.updates.drop(name)
            self.view_changed = True
        self.boot_raises = 0
