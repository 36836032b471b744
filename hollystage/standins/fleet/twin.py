"""Thousands of members in virtual time: the decision code of membership on a simulated network.

One seed gives one history. What is told in a datagram is passed on as objects; the keyed hash and its counters,
which belong to the links, are not played.
"""
from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from hashlib import blake2b

from ...decisions.membership.members import Members
from ...decisions.membership.records import Digest, News, Record, Stage
from ...decisions.membership.terms import Terms
from ...decisions.membership.words import Answer, Meet, Opening, Rest, Send, Word
from ..sharing import Clock
from .faults import Fault, Net

SECOND = 1_000_000
WIRE, STREAM = (200, 800), 2_000  # microseconds that a datagram takes, and a turn of a stream
HEAD = 90  # bytes of a datagram beside its records


class Node:
    """One process: its members, and whether it runs."""

    __slots__ = ("name", "zone", "address", "members", "tick_at", "asleep", "backlog", "boots", "up", "said")

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.members: Members
        self.tick_at = -1
        self.asleep = 0  # until when
        self.backlog: list[Callable[[], None]] = []
        self.boots, self.up = 0, False
        self.said: list[tuple[int, str, str]] = []


class Twin:
    """A fleet on one clock. `kind` makes the members: the product's class, or one with a seeded fault."""

    def __init__(self, count: int, seed: int, terms: Terms | None = None, zones: int = 3, named: int = 3,
                 known: bool = False, kind: type[Members] = Members) -> None:
        self.clock, self.terms, self.kind = Clock(SECOND), terms or Terms(), kind
        self.chance, self.net = random.Random(seed), Net(seed + 1)
        self.seed = seed
        self.messages = self.bytes = self.streams = self.stream_bytes = 0
        self.trace = blake2b(digest_size=16)
        self.events: list[tuple[int, str, str, str, str]] = []  # when, who saw it, what, of whom, detail
        self.wrong: Counter[str] = Counter()  # accusations of members that run
        self.nodes = {f"m{n}": Node(f"m{n}", f"z{n % zones}", f"10.0.{n // 250}.{n % 250}:7000")
                      for n in range(count)}
        self.by_address = {node.address: node for node in self.nodes.values()}
        self.named = [node.address for node in list(self.nodes.values())[:named]]
        records = [self._boot(node) for node in self.nodes.values()]
        if known:
            for node in self.nodes.values():
                self._know(node.members, records)

    def _know(self, members: Members, records: list[Record]) -> None:
        """As after a long calm: everybody is known, and there is no news."""
        members.records = {record.name: record for record in records if record.name != members.me.name}
        members.living = list(members.records)
        members.places = {record.address: record.name for record in members.records.values()}
        members.joined = True

    def _boot(self, node: Node) -> Record:
        node.boots += 1
        node.up, node.asleep, node.backlog, node.tick_at = True, 0, [], -1
        birth = self.chance.getrandbits(60)
        me = Record(node.name, node.zone, node.address, self.clock.now // 1000 + node.boots, birth, 0, 0,
                    Digest(1, Stage.SERVING))
        node.members = self.kind(me, self.named, self.terms, self.chance.getrandbits(60), self.clock.now)
        self.settle(node)
        return me

    # Faults, in the words of schedules

    def at(self, second: float, what: Callable[[], None]) -> None:
        self.clock.at(SECOND + int(second * SECOND), what)

    def play(self, faults: list[Fault]) -> None:
        """A schedule that begins now; clocks are one here, so that words for clocks do nothing."""
        for fault in faults:
            self.clock.at(self.clock.now + int(fault.at * SECOND), partial(self.apply, fault))

    def apply(self, fault: Fault) -> None:
        match fault.do:
            case "kill":
                for name in fault.who:
                    self.nodes[name].up = False
            case "start":
                for name in fault.who:
                    self._boot(self.nodes[name])
            case "term":
                for name in fault.who:
                    node = self.nodes[name]
                    node.members.leave(self.clock.now)
                    self.settle(node)
                    node.up = False
            case "pause":
                for name in fault.who:
                    self.pause(self.nodes[name], int(fault.amount * SECOND))
            case "clock" | "call":
                pass
            case _:
                self.net.apply(fault, self.nodes)

    def pause(self, node: Node, span: int) -> None:
        node.asleep = max(node.asleep, self.clock.now + span)
        self.clock.at(node.asleep, lambda: self._rouse(node))

    def _rouse(self, node: Node) -> None:
        if self.clock.now < node.asleep or not node.up:
            return
        backlog, node.backlog = node.backlog, []
        for what in backlog[:2000]:  # as many as a socket's buffer holds
            what()
        self._tick(node)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + int(seconds * SECOND))

    # Time and messages

    def _tick(self, node: Node) -> None:
        if not node.up or self.clock.now < node.asleep:
            return
        node.members.tick(self.clock.now)
        self.settle(node)

    def settle(self, node: Node) -> None:
        members, now = node.members, self.clock.now
        if members.events:
            for event in members.happened():
                self.events.append((now, node.name, event.what, event.who, event.detail))
                self.trace.update(f"{now} {node.name} {event.what} {event.who} {event.detail}\n".encode())
                if event.what in ("suspect", "lost") and self.nodes[event.who].up:
                    self.wrong[event.what] += 1
        for action in members.take():
            if isinstance(action, Send):
                self._send(node, action)
            else:
                self._meet(node, action)
        due = members.next_at
        if node.tick_at < now or due < node.tick_at:
            node.tick_at = due

            def tick() -> None:
                if node.members is members and node.tick_at == due:
                    node.tick_at = -1
                    self._tick(node)
            self.clock.at(due, tick)

    def _send(self, node: Node, action: Send) -> None:
        size = HEAD + node.members.me.size() + sum(piece.record.size() for piece in action.news)
        self.messages += 1
        self.bytes += size
        target = self.by_address.get(action.address)
        if target is None:
            return
        me, word, news = node.members.me, action.word, action.news
        for wait, spoilt in self.net.fates((node.name, target.name), size, self.clock.now / SECOND):
            if not spoilt:
                self.clock.at(self.clock.now + int(wait * SECOND) + self.chance.randint(*WIRE),
                              lambda: self._arrive(target, me, word, news))

    def _arrive(self, node: Node, sender: Record, word: Word, news: list[News]) -> None:
        if not node.up:
            return
        if self.clock.now < node.asleep:
            node.backlog.append(lambda: self._arrive(node, sender, word, news))
            return
        node.members.heard(sender, word, news, self.clock.now)
        self.settle(node)

    def _meet(self, node: Node, action: Meet) -> None:
        """A full exchange: three turns of a stream, each of which needs both ways and both sides awake."""
        target = self.by_address.get(action.address)
        members = node.members
        self.streams += 1

        def failed() -> None:
            if node.members is members and node.up:
                members.missed(action.address, self.clock.now)

        def turn(what: Callable[[], None], other: Node) -> None:
            if target is None or not other.up or self.clock.now < other.asleep or node.members is not members or any(
                    (link := self.net.links.get(pair)) and (link.cut or link.held)
                    for pair in ((node.name, target.name), (target.name, node.name))):
                failed()
                return
            what()

        def open_() -> None:
            assert target is not None
            opening = members.opening()
            self.clock.at(self.clock.now + STREAM, lambda: turn(lambda: answer(opening), target))

        def answer(opening: Opening) -> None:
            assert target is not None
            given = target.members.answering(opening, self.clock.now)
            self.stream_bytes += 600 + sum(record.size() for record in given.records)
            self.settle(target)
            self.clock.at(self.clock.now + STREAM, lambda: turn(lambda: take(given), node))

        def take(given: Answer) -> None:
            assert target is not None
            rest = members.answered(given, self.clock.now)
            self.stream_bytes += 50 + sum(record.size() for record in rest.records)
            self.settle(node)
            self.clock.at(self.clock.now + STREAM, lambda: turn(lambda: end(rest), target))

        def end(rest: Rest) -> None:
            assert target is not None
            target.members.rested(rest, self.clock.now)
            self.settle(target)

        turn(open_, node)

    # What the judge sees

    def agree(self, among: list[str] | None = None) -> bool:
        """Whether all that run hold the same: themselves, and nobody else."""
        names = among or [name for name, node in self.nodes.items() if node.up]
        truth = {name: self.nodes[name].members.me.process for name in names}
        for name in names:
            members = self.nodes[name].members
            if len(members.living) != len(truth) - 1:
                return False
            for other in members.living:
                if truth.get(other) != members.records[other].process:
                    return False
        return True

    def until_agreed(self, most: float, step: float = 0.1) -> float | None:
        """Seconds until all views agree; None where they do not within `most`."""
        begun = self.clock.now
        while self.clock.now - begun < most * SECOND:
            if self.agree():
                return (self.clock.now - begun) / SECOND
            self.run(step)
        return None
