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

from ..stalls import Stalls
from .news import Gazette
from .records import Belief, News, Record, merged
from .suspicion import Health, Suspicion, span
from .terms import Terms
from .words import Event, Meet, Ping, Send, Word

ROOM = 880  # bytes of a datagram for records; the rest is for headers, the message and the hash
CLAIMS = 4  # times that a process may raise its boot number between two cleanups of tombstones
EVENTS = 1_000  # further events are dropped until the pending ones are taken


class Held:
    """One process's records and timers; `me` is its own record, `configured_peers` the addresses from the plan."""

    def __init__(self, me: Record, configured_peers: Iterable[str], parameters: Terms, seed: int, now: int) -> None:
        self.me, self.terms, self.chance, self.now = me, parameters, random.Random(seed), now
        self.named = [address for address in configured_peers if address != me.address]
        self.records: dict[str, Record] = {}
        self.living: list[str] = []  # names of live members, in arbitrary order
        self.turns: list[str] = []  # names to probe in this round, the next one last
        self.suspects: dict[str, Suspicion] = {}
        self.gone: dict[str, int] = {}  # lost and left members, and since when
        self.places: dict[str, str] = {}  # of live members
        self.news = Gazette(parameters.spread)
        self.health = Health(parameters.worst)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.out: list[Send | Meet] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.stalls = Stalls(parameters.timeout // 2)
        self.mute_until = now  # no suspicions of others before this time
        self.unheard: set[str] | None = None  # live members not heard from since a pause; None if the view is fresh
        self.joined = self.ousted = self.stopped = self.catching = False
        self.changed = True  # since the view was last taken
        self.met_at = now - parameters.again
        self.claims = 0
        self.doubted: tuple[int, int] | None = None  # another process with our name that may still run
        self.seq = self.count = self.newcomers = 0

    # Records

    def _learn(self, new: Record, reporter: str, from_sync: bool = False) -> None:
        """Applies a record that a peer sent.

        `from_sync`: the record comes from a full sync, which can contain beliefs that gossip no longer spreads.
        """
        if new.name == self.me.name:
            self._of_me(new)
            return
        old = self.records.get(new.name)
        if old is None:
            if not new.living:
                return  # otherwise members would pass tombstones around for ever
            if len(self.records) >= self.terms.most:
                self.counts["full"] += 1
                return
            is_first = not self.living
            self.newcomers += 1
            self._hold(new)
            self._event("alive", new.name, new.address)
            if is_first and not from_sync:
                self._meet(new.address)
            if new.belief == Belief.SUSPECT:
                self._doubt(new, reporter)
            self.news.add(News(new, reporter))
            return
        if from_sync and new.belief == Belief.LOST and old.living and new.process == old.process:
            # the member may be alive: as a suspect it has time to refute this
            new = msgspec.structs.replace(new, belief=Belief.SUSPECT)
        winner = merged(old, new)
        if winner is old:
            if new.belief == Belief.SUSPECT and new.weight == old.weight:
                self._confirm(old, reporter)
            return
        self.newcomers += winner.process != old.process
        self._hold(winner)
        if winner.weight != old.weight:
            self._turned(old, winner, reporter)
        self.news.add(News(winner, reporter))

    def _turned(self, old: Record, new: Record, reporter: str) -> None:
        """Handles a changed belief about a member, or another process with its name."""
        name, other_process = new.name, new.process != old.process
        if new.belief != Belief.SUSPECT:
            self.suspects.pop(name, None)
        if other_process:
            self._event("boot", name, f"{old.boot} to {new.boot}")
        match new.belief:
            case Belief.ALIVE:
                if old.belief != Belief.ALIVE and not other_process:
                    self._event("refuted" if old.belief == Belief.SUSPECT else "back", name, f"by {reporter}")
                if not old.living and not other_process and self.now - self.met_at >= self.terms.again:
                    # a lost member is alive: a partition separated us from it, and most likely from others
                    self._meet(new.address)
            case Belief.SUSPECT:
                self._doubt(new, reporter)
            case Belief.LOST:
                self._event("lost", name, f"by {reporter}")
            case Belief.LEFT:
                self._event("left", name)

    def _hold(self, record: Record) -> None:
        """Stores a record and updates all tables by name and address. No other method changes them."""
        old = self.records.get(record.name)
        self.records[record.name] = record
        self.changed = True
        if record.living:
            self.gone.pop(record.name, None)
            self.places[record.address] = record.name
            if old is None or not old.living:
                self.living.append(record.name)
                # at a random place of this round, so that many new members are not all probed at the same time
                self.turns.insert(self.chance.randint(0, len(self.turns)), record.name)
        else:
            self.gone.setdefault(record.name, self.now)
            if self.places.get(record.address) == record.name:
                del self.places[record.address]
            if old is not None and old.living:
                self.living.remove(record.name)
                if self.unheard is not None:
                    self.unheard.discard(record.name)

    def _doubt(self, record: Record, reporter: str) -> None:
        """Starts the suspicion timeout of a member; starts it again for a suspicion of a higher incarnation."""
        min_time = span(self.terms.base, len(self.living) + 1, self.terms.period)
        suspicion = Suspicion(self.now, reporter, min_time, int(min_time * self.terms.stretch),
                              min(self.terms.confirmations, len(self.living) - 1))
        self.suspects[record.name] = suspicion
        self._event("suspect", record.name, f"by {reporter}")
        self._at(suspicion.until, self._time_over, record.name)

    def _confirm(self, record: Record, reporter: str) -> None:
        """Shortens the suspicion timeout: another member got no answer either."""
        suspicion = self.suspects.get(record.name)
        if suspicion is not None and suspicion.confirm(reporter):
            self.news.add(News(record, reporter))
            self._at(suspicion.until, self._time_over, record.name)

    def _time_over(self, name: str) -> None:
        """Timer: declares a suspect lost once its timeout has expired and this process may accuse others."""
        suspicion = self.suspects.get(name)
        if suspicion is None:
            return
        not_before = max(suspicion.until, self.mute_until)
        if self.now < not_before:
            if not_before > suspicion.until:
                self._at(not_before, self._time_over, name)
            return
        self._learn(msgspec.structs.replace(self.records[name], belief=Belief.LOST), self.me.name)

    def _of_me(self, reported: Record) -> None:
        """Handles a record with this process's name: refutes an accusation, or detects another process."""
        own = self.me
        if reported.process == own.process:
            if reported.belief not in (Belief.ALIVE, Belief.LEFT) and reported.incarnation >= own.incarnation:
                self.me = msgspec.structs.replace(own, incarnation=reported.incarnation + 1)
                self.health.note(1)
                self.counts["refuted"] += 1
                self._event("accused", own.name, Belief(reported.belief).name.lower())
                self._tell_of_me()
        elif reported.process > own.process:
            if reported.living and reported.address != own.address:
                if self.doubted != reported.process:
                    # the other process may be alive: ping it, and raise our boot number only if it does not answer
                    self.doubted = reported.process
                    self.seq += 1
                    self._send(reported.address, Ping(self.seq, own.name))
                    self._at(self.now + 3 * self.terms.period, self._outlive, reported.boot)
            else:
                self._outlive(reported.boot)

    def _outlive(self, boot: int) -> None:
        """Raises our boot number above the one that peers remember, which may be ahead of our clock."""
        if boot < self.me.boot or self.ousted:
            return
        self.doubted = None
        self.claims += 1
        if self.claims > CLAIMS:
            self.counts["claims_refused"] += 1
            return
        self.me = msgspec.structs.replace(self.me, boot=boot + 1, incarnation=0)
        self._event("raised", self.me.name, f"to boot {self.me.boot}")
        self._tell_of_me()

    def _twin(self, sender: Record) -> None:
        """Handles a message from another live process with the same name: the later process keeps the name."""
        self.counts["twin"] += 1
        if sender.process > self.me.process:
            self.ousted, self.changed = True, True
            self._event("ousted", self.me.name, f"the name is taken by a later process at {sender.address}")
            return
        if self.counts["twin"] == 1 or self.counts["twin"] % 100 == 0:
            self._event("twin", self.me.name, f"another process at {sender.address} has the same name")
        self.seq += 1
        self._send(sender.address, Ping(self.seq, self.me.name))  # so that it learns about this process

    def _tell_of_me(self) -> None:
        """Queues this process's own record for gossip."""
        self.changed = True
        self.news.add(News(self.me, self.me.name))

    # Output and timers

    def _send(self, address: str, message: Word, receiver: Record | None = None) -> None:
        """Queues a message together with gossip.

        `receiver`: our record of the receiver. If it is accused, that record is sent first, so that it can refute it.
        """
        first = News(receiver, self.me.name) if receiver is not None and receiver.belief != Belief.ALIVE else None
        suspicion = self.suspects.get(receiver.name) if receiver is not None else None
        if first is not None and suspicion is not None:
            first = News(first.record, suspicion.by[0])
        room = ROOM - self.me.size()
        self.out.append(Send(address, message, self.news.take(room, len(self.living) + 1, first)))

    def _meet(self, address: str) -> None:
        """Requests a full sync with the process at this address."""
        if not self.ousted:
            self.met_at = self.now
            self.out.append(Meet(address))

    @property
    def next_at(self) -> int:
        """The time of the next timer."""
        return self.timers[0][0] if self.timers else self.now + self.terms.period

    def _at(self, when: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Starts a timer."""
        self.count += 1
        heappush(self.timers, (when, self.count, callback, argument))

    def _refreshed(self) -> None:
        """Marks the view as fresh again after a pause of this process."""
        if self.unheard is not None:
            self.unheard, self.changed = None, True

    def _event(self, kind: str, member: str, detail: str = "") -> None:
        """Records an event for the log and counts it."""
        self.counts[f"event_{kind}"] += 1
        if len(self.events) < EVENTS:
            self.events.append(Event(self.now, kind, member, detail))
