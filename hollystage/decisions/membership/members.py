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

from ..turns import BUDGETS
from .probing import Probing
from .records import Belief, Digest, News, Record, Stage, View
from .terms import Terms
from .words import Ack, Answer, Ask, Event, Meet, Nack, Opening, Ping, Rest, Send, Word

FLOOD = 8  # pending updates above which a full sync is faster than gossip
SHELVES = 64  # parts of a view that are compared by checksum


class Members(Probing):
    """One process's view; `me` is its own record, `configured_peers` the addresses from the plan."""

    def __init__(self, me: Record, configured_peers: Iterable[str], parameters: Terms, seed: int, now: int) -> None:
        super().__init__(me, configured_peers, parameters, seed, now)
        for interval, callback in ((parameters.period, self._probe), (parameters.ask_lost, self._ask_lost),
                                   (self._exchange_span(), self._exchange),
                                   (parameters.tombstone // 8, self._forget)):
            self._at(now + int(interval * self.chance.random()) + 1, callback, None)
        max_delay = int(parameters.expected / BUDGETS["exchange"] * 1e6)
        self._at(now + (self.chance.randrange(max_delay) if max_delay else 0), self._join, 0)

    # Input

    def begin(self, now: int) -> None:
        """Starts the clock: the time between construction and the first tick does not count as a pause."""
        self.now, self.stalls.due = now, 0

    def tick(self, now: int) -> None:
        """Runs the timers that are due."""
        self._wake(now)
        while self.timers and self.timers[0][0] <= now and not self.stopped:
            _, _, callback, argument = heappop(self.timers)
            callback(argument)
        self.stalls.woke(now, max(0, self.next_at - now))

    def heard(self, sender: Record, message: Word, updates: Iterable[News], now: int) -> None:
        """Handles a datagram that is authenticated, not replayed, and whose fields are within their bounds."""
        self._wake(now)
        if self.stopped or self.ousted:
            return
        if sender.name == self.me.name:
            if sender.birth != self.me.birth:
                self._twin(sender)
            return
        known = self.records.get(sender.name)
        if known is not None and known.process > sender.process:
            # the sender was replaced by a later process and does not know it: ignore its updates, send it our record
            self.counts["older_boot"] += 1
            if isinstance(message, Ping):
                self._send(sender.address, Ack(message.seq, self.me.name), known)
            return
        before = self.newcomers
        self._learn(sender, sender.name)
        for update in updates:
            self._learn(update.record, update.by)
        if self.newcomers > before and len(self.news) > FLOOD:
            self._catch_up_soon()  # gossip would take long to spread so many updates
        match message:
            case Ping():
                if message.name in ("", self.me.name):
                    self._send(sender.address, Ack(message.seq, self.me.name), self.records.get(sender.name))
                else:
                    self.counts["misdirected"] += 1
            case Ack():
                self._acked(message)
            case Ask():
                self._asked(message, sender)
            case Nack():
                probe = self.probes.get(message.seq)
                if probe is not None:
                    probe.nacks += 1

    def say(self, status: Digest, now: int) -> None:
        """Publishes a new status of this process if it differs from the current one; sets its version."""
        self.now = now
        if msgspec.structs.replace(status, version=self.me.digest.version) != self.me.digest:
            self.me = msgspec.structs.replace(
                self.me, digest=msgspec.structs.replace(status, version=self.me.digest.version + 1))
            self._tell_of_me()

    def leave(self, now: int) -> None:
        """Announces to a few members that this process leaves; they gossip it. Afterwards nothing more is sent."""
        self.now = now
        if self.ousted or self.stopped:
            return
        status = msgspec.structs.replace(self.me.digest, stage=Stage.LEFT, version=self.me.digest.version + 1)
        self.me = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, belief=Belief.LEFT,
                                          digest=status)
        for name in self.chance.sample(self.living, min(len(self.living), 2 * self.terms.helpers)):
            self.seq += 1
            self._send(self.records[name].address, Ping(self.seq, name))
        self.stopped = True

    def view(self, now: int) -> View:
        """Returns a snapshot of all records."""
        self.changed = False
        return View(now, self.me, dict(self.records), self.unheard is None, self.ousted)

    def take(self) -> list[Send | Meet]:
        """Returns the pending actions and clears them."""
        actions, self.out = self.out, []
        return actions

    def happened(self) -> list[Event]:
        """Returns the pending events and clears them."""
        events, self.events = self.events, []
        return events

    # Full syncs: request, response and push

    def opening(self) -> Opening:
        """Returns the first message of a sync: the checksums of this process's view."""
        return Opening(self._sums())

    def answering(self, request: Opening, now: int) -> Answer:
        """Returns the records that the requester may lack: those in buckets whose checksums differ."""
        self.now = now
        own = self._sums()
        differing = [index for index, (a, b) in enumerate(zip(own, request.sums, strict=False)) if a != b]
        return Answer(differing, self._on(set(differing)))

    def answered(self, response: Answer, now: int) -> Rest:
        """Applies the records of the other side; returns this side's records as they were before."""
        self._wake(now)
        push = Rest(self._on(set(response.shelves)))
        self.rested(Rest(response.records), now)
        return push

    def rested(self, push: Rest, now: int) -> None:
        """Applies the records of the other side, which end the sync."""
        self._wake(now)
        if self.stopped or self.ousted:
            return
        before = self.newcomers
        for record in push.records:
            self._learn(record, record.name, True)
        self._refreshed()
        if self.newcomers > before:
            self._catch_up_soon()  # many members started, or were partitioned off, at the same time
        if not self.joined and self.living:
            self.joined = True
            self._event("joined", self.me.name, f"{len(self.living)} others")

    def missed(self, address: str, now: int) -> None:
        """Reports that a requested sync failed."""
        self.now = now
        self.counts["exchanges_failed"] += 1

    def _sums(self) -> list[int]:
        """Returns one checksum for each bucket, over the live members in it. Their order does not matter."""
        checksums = [0] * SHELVES
        for record in (self.me, *self.records.values()):
            if record.living:
                text = f"{record.name} {record.boot} {record.birth}".encode()
                checksums[crc32(record.name.encode()) % SHELVES] ^= crc32(text)
        return checksums

    def _on(self, buckets: set[int]) -> list[Record]:
        """Returns all records in these buckets."""
        return [record for record in (self.me, *self.records.values())
                if crc32(record.name.encode()) % SHELVES in buckets]

    # Joining, healing partitions, removing tombstones

    def _join(self, attempt: int) -> None:
        """Timer: requests a sync with one configured peer after the other, with backoff, until one has succeeded."""
        if self.joined or not self.named or self.ousted:
            return
        if attempt and attempt % len(self.named) == 0 and not self.living:
            self._event("alone", self.me.name, f"none of {len(self.named)} configured peers answers")
        if attempt % len(self.named) == 0:
            self.chance.shuffle(self.named)
        self._meet(self.named[attempt % len(self.named)])
        delay = min(self.terms.ask_lost, self.terms.timeout << min(attempt, 8))
        self._at(self.now + int(delay * (0.5 + self.chance.random())), self._join, attempt + 1)

    def _exchange_span(self) -> int:
        """Returns the mean time between syncs; it grows with the view, so that their bandwidth stays constant."""
        return max(self.terms.exchange, (len(self.living) + 1) * 100_000)

    def _exchange(self, _: None) -> None:
        """Timer: requests a sync with a random live member."""
        self._at(self.now + int(self._exchange_span() * (0.75 + 0.5 * self.chance.random())), self._exchange, None)
        if self.living:
            self._meet(self.records[self.chance.choice(self.living)].address)

    def _catch_up_soon(self) -> None:
        """Schedules a sync out of turn; gossip, with a few updates in each datagram, would take long."""
        if not self.catching:
            self.catching = True
            min_delay = max(self.terms.again, len(self.living) * 5_000)
            self._at(self.now + int(min_delay * (1 + self.chance.random())), self._catch_up, None)

    def _catch_up(self, _: None) -> None:
        """Timer: requests a sync with a random live member, out of turn."""
        self.catching = False
        if self.living:
            self._meet(self.records[self.chance.choice(self.living)].address)

    def _ask_lost(self, _: None) -> None:
        """Timer: pings one lost member, or one configured address where no live member is known."""
        self._at(self.now + int(self.terms.ask_lost * (0.5 + self.chance.random())), self._ask_lost, None)
        if self.ousted:
            return
        lost = [record for name in self.gone if (record := self.records[name]).belief == Belief.LOST]
        unknown = [address for address in self.named if address not in self.places]
        self.seq += 1
        index = self.chance.randrange(len(lost) + len(unknown)) if lost or unknown else -1
        if 0 <= index < len(lost):
            self._send(lost[index].address, Ping(self.seq), lost[index])
        elif index >= 0:
            self._send(unknown[index - len(lost)], Ping(self.seq))

    def _forget(self, _: None) -> None:
        """Timer: removes members that have been gone for the lifetime of a tombstone."""
        self._at(self.now + self.terms.tombstone // 8, self._forget, None)
        for name in [name for name, since in self.gone.items() if self.now - since >= self.terms.tombstone]:
            del self.gone[name], self.records[name]
            self.news.drop(name)
            self.changed = True
        self.claims = 0
