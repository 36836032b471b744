"""The membership state of one process: records of all members, suspicions, timers and pending output.

`MembershipState` decides which record of a member wins, who is suspected and who is gone. It is the base of
`FailureDetector` (`probing`) and `Members` (`members`), which decide what is sent and when members are probed.
"""
from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heappush
from typing import Any

import msgspec

from ..stall_detector import StallDetector
from .gossip import UpdateQueue
from .messages import Event, Message, Ping, Send, StartSync
from .parameters import Parameters
from .records import Belief, Record, Update, merge
from .suspicion import LocalHealth, Suspicion, min_suspicion_time

DATAGRAM_RECORD_BYTES = 880  # space for records in a datagram; the rest is for headers, the message and the hash
MAX_BOOT_RAISES = 4  # how often a process may raise its boot number between two removals of tombstones
MAX_EVENTS = 1_000  # pending events; further ones are dropped


class MembershipState:
    """One process's records and timers; `me` is its own record, `configured_peers` the addresses from the plan."""

    def __init__(self, me: Record, configured_peers: Iterable[str], parameters: Parameters, seed: int,
                 now: int) -> None:
        self.me, self.parameters, self.rng, self.now = me, parameters, random.Random(seed), now
        self.configured_peers = [address for address in configured_peers if address != me.address]
        self.records: dict[str, Record] = {}
        self.living: list[str] = []  # names of live members, in arbitrary order
        self.probe_queue: list[str] = []  # names to probe in this round, the next one last
        self.suspects: dict[str, Suspicion] = {}
        self.gone: dict[str, int] = {}  # lost and left members, and the time at which they became so
        self.name_by_address: dict[str, str] = {}  # of live members
        self.updates = UpdateQueue(parameters.retransmit_factor)
        self.local_health = LocalHealth(parameters.max_health_score)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.actions: list[Send | StartSync] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.stall_detector = StallDetector(parameters.ack_timeout // 2)
        self.mute_until = now  # this process accuses no member before this time
        self.unconfirmed: set[str] | None = None  # live members without an answer since a pause; None: view is fresh
        self.joined = self.ousted = self.stopped = self.sync_scheduled = False
        self.view_changed = True  # since the view was last taken
        self.last_sync_at = now - parameters.min_sync_interval
        self.boot_raises = 0
        self.possible_duplicate: tuple[int, int] | None = None  # another process with our name that may still run
        self.seq = self.timer_count = self.new_processes = 0

    # Records

    def _apply_record(self, new: Record, reporter: str, from_sync: bool = False) -> None:
        """Applies a record that a peer sent, or in which this process changed its belief about a member.

        `from_sync`: the record comes from a full sync, which can contain beliefs that gossip no longer spreads.
        """
        if new.name == self.me.name:
            self._handle_own_record(new)
            return
        old = self.records.get(new.name)
        if old is None:
            if not new.living:
                return  # otherwise members would pass tombstones around for ever
            if len(self.records) >= self.parameters.max_members:
                self.counts["full"] += 1
                return
            is_first = not self.living
            self.new_processes += 1
            self._store(new)
            self._record_event("alive", new.name, new.address)
            if is_first and not from_sync:
                self._start_sync(new.address)
            if new.belief == Belief.SUSPECT:
                self._start_suspicion(new, reporter)
            self.updates.add(Update(new, reporter))
            return
        if from_sync and new.belief == Belief.LOST and old.living and new.process == old.process:
            # the member may be alive: as a suspect it has time to refute this
            new = msgspec.structs.replace(new, belief=Belief.SUSPECT)
        winner = merge(old, new)
        if winner is old:
            if new.belief == Belief.SUSPECT and new.precedence == old.precedence:
                self._confirm_suspicion(old, reporter)
            return
        self.new_processes += winner.process != old.process
        self._store(winner)
        if winner.precedence != old.precedence:
            self._handle_change(old, winner, reporter)
        self.updates.add(Update(winner, reporter))

    def _handle_change(self, old: Record, new: Record, reporter: str) -> None:
        """Handles a changed belief about a member, or a new process with its name."""
        name, other_process = new.name, new.process != old.process
        if new.belief != Belief.SUSPECT:
            self.suspects.pop(name, None)
        if other_process:
            self._record_event("boot", name, f"{old.boot} to {new.boot}")
        match new.belief:
            case Belief.ALIVE:
                if old.belief != Belief.ALIVE and not other_process:
                    self._record_event("refuted" if old.belief == Belief.SUSPECT else "back", name, f"by {reporter}")
                sync_allowed = self.now - self.last_sync_at >= self.parameters.min_sync_interval
                if not old.living and not other_process and sync_allowed:
                    # a lost member is alive: a partition separated us from it, and most likely from others
                    self._start_sync(new.address)
            case Belief.SUSPECT:
                self._start_suspicion(new, reporter)
            case Belief.LOST:
                self._record_event("lost", name, f"by {reporter}")
            case Belief.LEFT:
                self._record_event("left", name)

    def _store(self, record: Record) -> None:
        """Stores a record and updates the tables of live and gone members. No other method adds to them."""
        old = self.records.get(record.name)
        self.records[record.name] = record
        self.view_changed = True
        if old is not None and self.name_by_address.get(old.address) == record.name:
            del self.name_by_address[old.address]
        if record.living:
            self.gone.pop(record.name, None)
            self.name_by_address[record.address] = record.name
            if old is None or not old.living:
                self.living.append(record.name)
                # at a random position of this round, so that many new members are not all probed at the same time
                self.probe_queue.insert(self.rng.randint(0, len(self.probe_queue)), record.name)
        else:
            self.gone.setdefault(record.name, self.now)
            if self.name_by_address.get(record.address) == record.name:
                del self.name_by_address[record.address]
            if old is not None and old.living:
                self.living.remove(record.name)
                if self.unconfirmed is not None:
                    self.unconfirmed.discard(record.name)

    def _start_suspicion(self, record: Record, reporter: str) -> None:
        """Starts the suspicion timeout of a member; a suspicion of a higher incarnation restarts it."""
        min_time = min_suspicion_time(self.parameters.suspicion_factor, len(self.living) + 1,
                                      self.parameters.probe_period)
        suspicion = Suspicion(self.now, reporter, min_time, int(min_time * self.parameters.max_suspicion_ratio),
                              min(self.parameters.confirmations, len(self.living) - 1))
        self.suspects[record.name] = suspicion
        self._record_event("suspect", record.name, f"by {reporter}")
        self._schedule(suspicion.expires_at, self._suspicion_expired, record.name)

    def _confirm_suspicion(self, record: Record, reporter: str) -> None:
        """Shortens the suspicion timeout: another member got no answer from the suspect either."""
        suspicion = self.suspects.get(record.name)
        if suspicion is not None and suspicion.confirm(reporter):
            self.updates.add(Update(record, reporter))
            self._schedule(suspicion.expires_at, self._suspicion_expired, record.name)

    def _suspicion_expired(self, name: str) -> None:
        """Timer: declares a suspect lost once its timeout has expired and `mute_until` has passed."""
        suspicion = self.suspects.get(name)
        if suspicion is None:
            return
        not_before = max(suspicion.expires_at, self.mute_until)
        if self.now < not_before:
            if not_before > suspicion.expires_at:
                self._schedule(not_before, self._suspicion_expired, name)
            return
        self._apply_record(msgspec.structs.replace(self.records[name], belief=Belief.LOST), self.me.name)

    def _handle_own_record(self, reported: Record) -> None:
        """Handles a record with this process's name: refutes an accusation, or detects another process."""
        own = self.me
        if reported.process == own.process:
            if reported.belief not in (Belief.ALIVE, Belief.LEFT) and reported.incarnation >= own.incarnation:
                self.me = msgspec.structs.replace(own, incarnation=reported.incarnation + 1)
                self.local_health.adjust(1)
                self.counts["refuted"] += 1
                self._record_event("accused", own.name, Belief(reported.belief).name.lower())
                self._announce_self()
        elif reported.process > own.process:
            if reported.living and reported.address != own.address:
                if self.possible_duplicate != reported.process:
                    # the other process may be alive: ping it, and raise our boot number only if it does not answer
                    self.possible_duplicate = reported.process
                    self.seq += 1
                    self._send(reported.address, Ping(self.seq, own.name))
                    self._schedule(self.now + 3 * self.parameters.probe_period, self._raise_boot, reported.boot)
            else:
                self._raise_boot(reported.boot)

    def _raise_boot(self, boot: int) -> None:
        """Raises our boot number above the one that peers remember; our clock, its source, may be behind."""
        if boot < self.me.boot or self.ousted:
            return
        self.possible_duplicate = None
        self.boot_raises += 1
        if self.boot_raises > MAX_BOOT_RAISES:
            self.counts["claims_refused"] += 1
            return
        self.me = msgspec.structs.replace(self.me, boot=boot + 1, incarnation=0)
        self._record_event("raised", self.me.name, f"to boot {self.me.boot}")
        self._announce_self()

    def _handle_duplicate(self, sender: Record) -> None:
        """Handles a message from another live process with the same name: the later process keeps the name."""
        self.counts["twin"] += 1
        if sender.process > self.me.process:
            self.ousted, self.view_changed = True, True
            self._record_event("ousted", self.me.name, f"the name is taken by a later process at {sender.address}")
            return
        if self.counts["twin"] == 1 or self.counts["twin"] % 100 == 0:
            self._record_event("twin", self.me.name, f"another process at {sender.address} has the same name")
        self.seq += 1
        self._send(sender.address, Ping(self.seq, self.me.name))  # so that it learns about this process

    def _announce_self(self) -> None:
        """Queues this process's own record for gossip."""
        self.view_changed = True
        self.updates.add(Update(self.me, self.me.name))

    # Output and timers

    def _send(self, address: str, message: Message, receiver: Record | None = None) -> None:
        """Queues a message together with gossip.

        `receiver`: our record of the receiver. If it is not ALIVE, it is sent first, so that the receiver can
        refute it.
        """
        first = Update(receiver, self.me.name) if receiver is not None and receiver.belief != Belief.ALIVE else None
        suspicion = self.suspects.get(receiver.name) if receiver is not None else None
        if first is not None and suspicion is not None:
            first = Update(first.record, suspicion.accusers[0])
        max_bytes = DATAGRAM_RECORD_BYTES - self.me.max_encoded_size()
        self.actions.append(Send(address, message, self.updates.take(max_bytes, len(self.living) + 1, first)))

    def _start_sync(self, address: str) -> None:
        """Requests a full sync with the process at this address."""
        if not self.ousted:
            self.last_sync_at = self.now
            self.actions.append(StartSync(address))

    @property
    def next_at(self) -> int:
        """The time of the next timer."""
        return self.timers[0][0] if self.timers else self.now + self.parameters.probe_period

    def _schedule(self, when: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Starts a timer."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, callback, argument))

    def _mark_fresh(self) -> None:
        """Marks the view as fresh again after a pause of this process."""
        if self.unconfirmed is not None:
            self.unconfirmed, self.view_changed = None, True

    def _record_event(self, kind: str, member: str, detail: str = "") -> None:
        """Records an event for the log and counts it."""
        self.counts[f"event_{kind}"] += 1
        if len(self.events) < MAX_EVENTS:
            self.events.append(Event(self.now, kind, member, detail))
