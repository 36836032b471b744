"""Who is there: each instance's view of the others, by probes and gossip, without a coordinator.

After SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (see `suspicion`): in each period one member is probed, in
shuffled turns; where no answer comes others are asked to probe it; then it is a suspect, which it may refute by a
greater incarnation; what is new rides on the probes. Beside it, a full exchange at a join, now and then, and where
one that was held for lost answers again: the lost are asked too, rarely, which is how a partition heals.

No I/O and no clock: datagrams go in by `heard`, time passes by `tick`, what is to be sent lies in `out`, what
happened in `events`. Times are microseconds of one steady clock.
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

FLOOD = 8  # pieces of news beyond which a full exchange is quicker
SHELVES = 64  # parts of a view that are compared by their sums


class Members(Probing):
    """One process's view; `me` is its own record, `named` the addresses that the plan names."""

    def __init__(self, me: Record, named: Iterable[str], terms: Terms, seed: int, now: int) -> None:
        super().__init__(me, named, terms, seed, now)
        for span_, what in ((terms.period, self._probe), (terms.ask_lost, self._ask_lost),
                            (self._exchange_span(), self._exchange), (terms.tombstone // 8, self._forget)):
            self._at(now + int(span_ * self.chance.random()) + 1, what, None)
        turns = int(terms.expected / BUDGETS["exchange"] * 1e6)
        self._at(now + (self.chance.randrange(turns) if turns else 0), self._join, 0)

    # What the links tell

    def begin(self, now: int) -> None:
        """From now on time passes; what lay between the making of this and its first tick was no stall."""
        self.now, self.stalls.due = now, 0

    def tick(self, now: int) -> None:
        """Does what is due."""
        self._wake(now)
        while self.timers and self.timers[0][0] <= now and not self.stopped:
            _, _, what, about = heappop(self.timers)
            what(about)
        self.stalls.woke(now, max(0, self.next_at - now))

    def heard(self, sender: Record, word: Word, news: Iterable[News], now: int) -> None:
        """A datagram of this very moment, of a sender that has the key. Its fields are within their bounds."""
        self._wake(now)
        if self.stopped or self.ousted:
            return
        if sender.name == self.me.name:
            if sender.birth != self.me.birth:
                self._twin(sender)
            return
        known = self.records.get(sender.name)
        if known is not None and known.process > sender.process:
            # guards the view against a process that was replaced and does not know it; it is told
            self.counts["older_boot"] += 1
            if isinstance(word, Ping):
                self._send(sender.address, Ack(word.seq, self.me.name), known)
            return
        before = self.newcomers
        self._learn(sender, sender.name)
        for piece in news:
            self._learn(piece.record, piece.by)
        if self.newcomers > before and len(self.news) > FLOOD:
            self._catch_up_soon()  # more is new than datagrams carry soon
        match word:
            case Ping():
                if word.name in ("", self.me.name):
                    self._send(sender.address, Ack(word.seq, self.me.name), self.records.get(sender.name))
                else:
                    self.counts["misdirected"] += 1
            case Ack():
                self._acked(word)
            case Ask():
                self._asked(word, sender)
            case Nack():
                probe = self.probes.get(word.seq)
                if probe is not None:
                    probe.nacks += 1

    def say(self, digest: Digest, now: int) -> None:
        """What this process says of itself from now on; its version is set here."""
        self.now = now
        if msgspec.structs.replace(digest, version=self.me.digest.version) != self.me.digest:
            self.me = msgspec.structs.replace(
                self.me, digest=msgspec.structs.replace(digest, version=self.me.digest.version + 1))
            self._tell_of_me()

    def leave(self, now: int) -> None:
        """Says good-bye to a few, who tell the others."""
        self.now = now
        if self.ousted or self.stopped:
            return
        digest = msgspec.structs.replace(self.me.digest, stage=Stage.LEFT, version=self.me.digest.version + 1)
        self.me = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, belief=Belief.LEFT,
                                          digest=digest)
        for name in self.chance.sample(self.living, min(len(self.living), 2 * self.terms.helpers)):
            self.seq += 1
            self._send(self.records[name].address, Ping(self.seq, name))
        self.stopped = True

    def view(self, now: int) -> View:
        self.changed = False
        return View(now, self.me, dict(self.records), self.unheard is None, self.ousted)

    def take(self) -> list[Send | Meet]:
        out, self.out = self.out, []
        return out

    def happened(self) -> list[Event]:
        events, self.events = self.events, []
        return events

    # Full exchanges

    def opening(self) -> Opening:
        return Opening(self._sums())

    def answering(self, opening: Opening, now: int) -> Answer:
        """What the opener may lack. Shelves whose sums agree are left out."""
        self.now = now
        mine = self._sums()
        differ = [at for at, (a, b) in enumerate(zip(mine, opening.sums, strict=False)) if a != b]
        return Answer(differ, self._on(set(differ)))

    def answered(self, answer: Answer, now: int) -> Rest:
        """Takes what the other holds; what goes back is what was held before."""
        self._wake(now)
        rest = Rest(self._on(set(answer.shelves)))
        self.rested(Rest(answer.records), now)
        return rest

    def rested(self, rest: Rest, now: int) -> None:
        self._wake(now)
        if self.stopped or self.ousted:
            return
        before = self.newcomers
        for record in rest.records:
            self._learn(record, record.name, True)
        self._refreshed()
        if self.newcomers > before:
            self._catch_up_soon()  # many start or were cut off at once
        if not self.joined and self.living:
            self.joined = True
            self._event("joined", self.me.name, f"{len(self.living)} others")

    def missed(self, address: str, now: int) -> None:
        """The full exchange that was to be had did not come about."""
        self.now = now
        self.counts["exchanges_failed"] += 1

    def _sums(self) -> list[int]:
        sums = [0] * SHELVES
        for record in (self.me, *self.records.values()):
            if record.living:
                text = f"{record.name} {record.boot} {record.birth}".encode()
                sums[crc32(record.name.encode()) % SHELVES] ^= crc32(text)
        return sums

    def _on(self, shelves: set[int]) -> list[Record]:
        return [record for record in (self.me, *self.records.values())
                if crc32(record.name.encode()) % SHELVES in shelves]

    # Joining, healing, forgetting

    def _join(self, turn: int) -> None:
        """Until a full exchange came about the named ones are tried one after the other, ever more rarely."""
        if self.joined or not self.named or self.ousted:
            return
        if turn and turn % len(self.named) == 0 and not self.living:
            self._event("alone", self.me.name, f"none of {len(self.named)} named peers answers")
        if turn % len(self.named) == 0:
            self.chance.shuffle(self.named)
        self._meet(self.named[turn % len(self.named)])
        wait = min(self.terms.ask_lost, self.terms.timeout << min(turn, 8))
        self._at(self.now + int(wait * (0.5 + self.chance.random())), self._join, turn + 1)

    def _exchange_span(self) -> int:
        # a view that grows is exchanged as rarely as it is larger: what it takes a second stays the same
        return max(self.terms.exchange, (len(self.living) + 1) * 100_000)

    def _exchange(self, _: None) -> None:
        self._at(self.now + int(self._exchange_span() * (0.75 + 0.5 * self.chance.random())), self._exchange, None)
        if self.living:
            self._meet(self.records[self.chance.choice(self.living)].address)

    def _catch_up_soon(self) -> None:
        """News alone, some pieces a datagram, would take long."""
        if not self.catching:
            self.catching = True
            least = max(self.terms.again, len(self.living) * 5_000)
            self._at(self.now + int(least * (1 + self.chance.random())), self._catch_up, None)

    def _catch_up(self, _: None) -> None:
        self.catching = False
        if self.living:
            self._meet(self.records[self.chance.choice(self.living)].address)

    def _ask_lost(self, _: None) -> None:
        self._at(self.now + int(self.terms.ask_lost * (0.5 + self.chance.random())), self._ask_lost, None)
        if self.ousted:
            return
        asked = [record for name in self.gone if (record := self.records[name]).belief == Belief.LOST]
        unmet = [address for address in self.named if address not in self.places]
        self.seq += 1
        at = self.chance.randrange(len(asked) + len(unmet)) if asked or unmet else -1
        if 0 <= at < len(asked):
            self._send(asked[at].address, Ping(self.seq), asked[at])
        elif at >= 0:
            self._send(unmet[at - len(asked)], Ping(self.seq))

    def _forget(self, _: None) -> None:
        self._at(self.now + self.terms.tombstone // 8, self._forget, None)
        for name in [name for name, since in self.gone.items() if self.now - since >= self.terms.tombstone]:
            del self.gone[name], self.records[name]
            self.news.drop(name)
            self.changed = True
        self.claims = 0
