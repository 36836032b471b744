"""Who is asked whether it lives, and what an answer or its lack means; a pause of our own is told from theirs."""
from __future__ import annotations

from typing import Any

import msgspec

from .held import Held
from .records import Belief, Record
from .terms import Terms
from .words import Ack, Ask, Nack, Ping


class Probe:
    __slots__ = ("name", "process", "asked", "nacks", "to")

    def __init__(self, name: str, process: tuple[int, int], to: str) -> None:
        self.name, self.process, self.to = name, process, to
        self.asked = self.nacks = 0


class Probing(Held):
    """The part of `Members` that asks and is asked."""

    def __init__(self, me: Record, named: Any, terms: Terms, seed: int, now: int) -> None:
        super().__init__(me, named, terms, seed, now)
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[str, int]] = {}  # whom an answer is due to, and its number there

    def _probe(self, _: None) -> None:
        self._at(self.now + self.health.stretch(self.terms.period), self._probe, None)
        if self.ousted:
            return
        target = self._next_turn()
        if target is None:
            return
        self.seq += 1
        self.probes[self.seq] = Probe(target.name, target.process, target.address)
        self._send(target.address, Ping(self.seq, target.name), target)
        self._at(self.now + self.health.stretch(self.terms.timeout), self._late, self.seq)
        self._at(self.now + self.health.stretch(self.terms.period) - 1, self._unanswered, self.seq)

    def _next_turn(self) -> Record | None:
        for _ in range(len(self.turns) + len(self.living) + 1):
            if not self.turns:
                if not self.living:
                    return None
                self.turns = list(self.living)
                self.chance.shuffle(self.turns)
            record = self.records.get(self.turns.pop())
            if record is not None and record.living:
                return record
        return None

    def _late(self, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None:
            return
        record = self.records.get(probe.name)
        self._send(probe.to, Ping(seq, probe.name), record)  # once more: a single datagram may have been lost
        others = [name for name in self._some(2 * self.terms.helpers + 1) if name != probe.name]
        # suspects last: what they do not answer would be laid to our own side
        others.sort(key=lambda name: name in self.suspects)
        for name in others[:self.terms.helpers]:
            probe.asked += 1
            self._send(self.records[name].address, Ask(seq, probe.name, probe.to))

    def _some(self, many: int) -> list[str]:
        return self.chance.sample(self.living, min(many, len(self.living)))

    def _unanswered(self, seq: int) -> None:
        probe = self.probes.pop(seq, None)
        if probe is None:
            return
        self.counts["probes_failed"] += 1
        # helpers that do not even say that they heard no answer: our own side may be the trouble
        self.health.note(probe.asked - probe.nacks if probe.asked else 1)
        record = self.records.get(probe.name)
        if record is None or record.process != probe.process or not record.living:
            return
        if self.now < self.mute_until:
            self.counts["muted"] += 1
            return
        if record.belief == Belief.SUSPECT:
            self._confirm(record, self.me.name)
        else:
            self._learn(msgspec.structs.replace(record, belief=Belief.SUSPECT), self.me.name)

    def _acked(self, word: Ack) -> None:
        probe = self.probes.get(word.seq)
        if probe is not None and probe.name == word.of:
            del self.probes[word.seq]
            self.health.note(-1)
            if self.unheard is not None:
                # an answer to what was asked since: what lay in the socket while it slept is no fresh word
                self.unheard.discard(word.of)
                if 2 * len(self.unheard) <= len(self.living):
                    self._refreshed()
        relay = self.relays.pop(word.seq, None)
        if relay is not None:
            self._send(relay[0], Ack(relay[1], word.of))

    def _asked(self, word: Ask, sender: Record) -> None:
        self.seq += 1
        self.relays[self.seq] = sender.address, word.seq
        self._send(word.address, Ping(self.seq, word.name), self.records.get(word.name))
        self._at(self.now + self.terms.timeout, self._not_relayed, self.seq)

    def _not_relayed(self, seq: int) -> None:
        relay = self.relays.pop(seq, None)
        if relay is not None:
            self._send(relay[0], Nack(relay[1]))

    def _wake(self, now: int) -> None:
        """Guards the others against what a process believes that slept itself: its unanswered probes tell of its
        own pause, and what it held is old. It accuses nobody until it has had time to hear of them."""
        late = self.stalls.woke(now, max(0, self.next_at - now))
        self.now = max(self.now, now)
        if not late:
            return
        self.counts["slept"] += 1
        self.health.note(1)
        self.probes.clear()
        self.relays.clear()
        self.mute_until = max(self.mute_until, now + 2 * self.terms.period + min(late, 4 * self.terms.period))
        if late >= self.terms.period:
            self._event("slept", self.me.name, f"{late // 1000} ms")
            self.unheard = set(self.living)
            self.changed = True
            if self.living and late >= 4 * self.terms.period and now - self.met_at >= self.terms.again:
                self._meet(self.records[self.chance.choice(self.living)].address)
