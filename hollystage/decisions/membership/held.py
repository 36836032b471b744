"""What a process holds of the others, and of itself: which record counts, who is doubted, who is gone.

A part of `Members`; what is sent and when others are asked is decided in `probing` and `members`.
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

ROOM = 880  # bytes of a datagram for records; the rest is for heads and the hash
CLAIMS = 4  # times that a process raises its boot over what is said under its name, in a row
EVENTS = 1_000  # kept until they are taken


class Held:
    """One process's view and its timers; `me` is its own record, `named` the addresses that the plan names."""

    def __init__(self, me: Record, named: Iterable[str], terms: Terms, seed: int, now: int) -> None:
        self.me, self.terms, self.chance, self.now = me, terms, random.Random(seed), now
        self.named = [address for address in named if address != me.address]
        self.records: dict[str, Record] = {}
        self.living: list[str] = []  # names, in no order that means anything
        self.turns: list[str] = []  # to be probed, the last first
        self.suspects: dict[str, Suspicion] = {}
        self.gone: dict[str, int] = {}  # since when, of those that are lost or left
        self.places: dict[str, str] = {}  # the living's names by their addresses
        self.news = Gazette(terms.spread)
        self.health = Health(terms.worst)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.out: list[Send | Meet] = []
        self.events: list[Event] = []
        self.counts: Counter[str] = Counter()
        self.stalls = Stalls(terms.timeout // 2)
        self.mute_until = now  # accuses nobody before
        self.unheard: set[str] | None = None  # since it slept; None where its beliefs are fresh
        self.joined = self.ousted = self.stopped = self.catching = False
        self.changed = True  # the view, since it was last taken
        self.met_at = now - terms.again
        self.claims = 0
        self.doubted: tuple[int, int] | None = None  # a process of our name that may be alive elsewhere
        self.seq = self.count = self.newcomers = 0

    # What is held

    def _learn(self, new: Record, by: str, met: bool = False) -> None:
        """`met`: told in a full exchange, where an old belief may come up that nobody would gossip any more."""
        if new.name == self.me.name:
            self._of_me(new)
            return
        old = self.records.get(new.name)
        if old is None:
            if not new.living:
                return  # guards against the gone being handed round for ever
            if len(self.records) >= self.terms.most:
                self.counts["full"] += 1
                return
            first = not self.living
            self.newcomers += 1
            self._hold(new)
            self._event("alive", new.name, new.address)
            if first and not met:
                self._meet(new.address)
            if new.belief == Belief.SUSPECT:
                self._doubt(new, by)
            self.news.add(News(new, by))
            return
        if met and new.belief == Belief.LOST and old.living and new.process == old.process:
            # it may well live: it is given the time to say so
            new = msgspec.structs.replace(new, belief=Belief.SUSPECT)
        now_held = merged(old, new)
        if now_held is old:
            if new.belief == Belief.SUSPECT and new.weight == old.weight:
                self._confirm(old, by)
            return
        self.newcomers += now_held.process != old.process
        self._hold(now_held)
        if now_held.weight != old.weight:
            self._turned(old, now_held, by)
        self.news.add(News(now_held, by))

    def _turned(self, old: Record, new: Record, by: str) -> None:
        """What follows from another belief about a member, or from another process under its name."""
        name, another = new.name, new.process != old.process
        if new.belief != Belief.SUSPECT:
            self.suspects.pop(name, None)
        if another:
            self._event("boot", name, f"{old.boot} to {new.boot}")
        match new.belief:
            case Belief.ALIVE:
                if old.belief != Belief.ALIVE and not another:
                    self._event("refuted" if old.belief == Belief.SUSPECT else "back", name, f"by {by}")
                if not old.living and not another and self.now - self.met_at >= self.terms.again:
                    # one that was held for lost and lives: we were cut from it, and most likely from others
                    self._meet(new.address)
            case Belief.SUSPECT:
                self._doubt(new, by)
            case Belief.LOST:
                self._event("lost", name, f"by {by}")
            case Belief.LEFT:
                self._event("left", name)

    def _hold(self, record: Record) -> None:
        """The one place where a record is held and its name is put where living or gone ones are."""
        old = self.records.get(record.name)
        self.records[record.name] = record
        self.changed = True
        if record.living:
            self.gone.pop(record.name, None)
            self.places[record.address] = record.name
            if old is None or not old.living:
                self.living.append(record.name)
                # at a random place of this round: else many newcomers are all probed at once
                self.turns.insert(self.chance.randint(0, len(self.turns)), record.name)
        else:
            self.gone.setdefault(record.name, self.now)
            if self.places.get(record.address) == record.name:
                del self.places[record.address]
            if old is not None and old.living:
                self.living.remove(record.name)
                if self.unheard is not None:
                    self.unheard.discard(record.name)

    def _doubt(self, record: Record, by: str) -> None:
        """Its time begins, or begins anew with a greater incarnation."""
        least = span(self.terms.base, len(self.living) + 1, self.terms.period)
        doubt = Suspicion(self.now, by, least, int(least * self.terms.stretch),
                          min(self.terms.confirmations, len(self.living) - 1))
        self.suspects[record.name] = doubt
        self._event("suspect", record.name, f"by {by}")
        self._at(doubt.until, self._time_over, record.name)

    def _confirm(self, record: Record, by: str) -> None:
        """A further member saw no answer either: the suspect's time is shorter."""
        doubt = self.suspects.get(record.name)
        if doubt is not None and doubt.confirm(by):
            self.news.add(News(record, by))
            self._at(doubt.until, self._time_over, record.name)

    def _time_over(self, name: str) -> None:
        doubt = self.suspects.get(name)
        if doubt is None:
            return
        until = max(doubt.until, self.mute_until)
        if self.now < until:
            if until > doubt.until:
                self._at(until, self._time_over, name)
            return
        self._learn(msgspec.structs.replace(self.records[name], belief=Belief.LOST), self.me.name)

    def _of_me(self, said: Record) -> None:
        """What others hold of our name: refuted, or that of another process."""
        mine = self.me
        if said.process == mine.process:
            if said.belief not in (Belief.ALIVE, Belief.LEFT) and said.incarnation >= mine.incarnation:
                self.me = msgspec.structs.replace(mine, incarnation=said.incarnation + 1)
                self.health.note(1)
                self.counts["refuted"] += 1
                self._event("accused", mine.name, Belief(said.belief).name.lower())
                self._tell_of_me()
        elif said.process > mine.process:
            if said.living and said.address != mine.address:
                if self.doubted != said.process:
                    # it may be alive: it is asked itself, and only silence lets us go before it
                    self.doubted = said.process
                    self.seq += 1
                    self._send(said.address, Ping(self.seq, mine.name))
                    self._at(self.now + 3 * self.terms.period, self._outlive, said.boot)
            else:
                self._outlive(said.boot)

    def _outlive(self, boot: int) -> None:
        """Goes before what is remembered of our name: peers may remember a boot that our clock does not reach."""
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
        """Another living process goes by our name: the later one keeps it."""
        self.counts["twin"] += 1
        if sender.process > self.me.process:
            self.ousted, self.changed = True, True
            self._event("ousted", self.me.name, f"another process at {sender.address} has the name since")
            return
        if self.counts["twin"] == 1 or self.counts["twin"] % 100 == 0:
            self._event("twin", self.me.name, f"another process at {sender.address} has the same name")
        self.seq += 1
        self._send(sender.address, Ping(self.seq, self.me.name))  # so that it hears of us

    def _tell_of_me(self) -> None:
        self.changed = True
        self.news.add(News(self.me, self.me.name))

    # Sending, time

    def _send(self, address: str, word: Word, about: Record | None = None) -> None:
        """`about`: what we hold of the receiver; where it is accused it hears so first, to refute it."""
        first = News(about, self.me.name) if about is not None and about.belief != Belief.ALIVE else None
        doubt = self.suspects.get(about.name) if about is not None else None
        if first is not None and doubt is not None:
            first = News(first.record, doubt.by[0])
        room = ROOM - self.me.size()
        self.out.append(Send(address, word, self.news.take(room, len(self.living) + 1, first)))

    def _meet(self, address: str) -> None:
        if not self.ousted:
            self.met_at = self.now
            self.out.append(Meet(address))

    @property
    def next_at(self) -> int:
        return self.timers[0][0] if self.timers else self.now + self.terms.period

    def _at(self, when: int, what: Callable[[Any], None], about: Any) -> None:
        self.count += 1
        heappush(self.timers, (when, self.count, what, about))

    def _refreshed(self) -> None:
        if self.unheard is not None:
            self.unheard, self.changed = None, True

    def _event(self, what: str, who: str, detail: str = "") -> None:
        self.counts[f"event_{what}"] += 1
        if len(self.events) < EVENTS:
            self.events.append(Event(self.now, what, who, detail))
