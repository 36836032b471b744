"""Fleet simulation: the decision code of membership for thousands of members, in virtual time on a simulated network.

A seed determines the whole history. Messages are passed on as objects; the keyed hash and its counters, which belong
to the sockets, are not simulated.
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
WIRE, STREAM = (200, 800), 2_000  # delay of a datagram (minimum, maximum) and of one step of a sync
HEAD = 90  # bytes of a datagram in addition to its records


class Node:
    """A simulated process: the state of its membership, and whether it runs."""

    __slots__ = ("name", "zone", "address", "members", "next_tick_at", "paused_until", "backlog", "boot_count", "up",
                 "events")

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.members: Members
        self.next_tick_at = -1
        self.paused_until = 0  # microseconds of the virtual clock
        self.backlog: list[Callable[[], None]] = []
        self.boot_count, self.up = 0, False
        self.events: list[tuple[int, str, str]] = []


class Twin:
    """A fleet on one virtual clock.

    `members_class`: the product's class, or a subclass with a seeded fault. `converged`: all members know each other
    at the start. `configured_peer_count`: how many of the first members are configured as peers.
    """

    def __init__(self, count: int, seed: int, terms: Terms | None = None, zones: int = 3, named: int = 3,
                 known: bool = False, kind: type[Members] = Members) -> None:
        self.clock, self.terms, self.kind = Clock(SECOND), terms or Terms(), kind
        self.chance, self.net = random.Random(seed), Net(seed + 1)
        self.seed = seed
        self.messages = self.bytes = self.streams = self.stream_bytes = 0
        self.trace = blake2b(digest_size=16)
        self.events: list[tuple[int, str, str, str, str]] = []  # time, observer, kind, member, detail
        self.wrong: Counter[str] = Counter()  # suspicions and losses of members that run
        self.nodes = {f"m{n}": Node(f"m{n}", f"z{n % zones}", f"10.0.{n // 250}.{n % 250}:7000")
                      for n in range(count)}
        self.by_address = {node.address: node for node in self.nodes.values()}
        self.named = [node.address for node in list(self.nodes.values())[:named]]
        records = [self._boot(node) for node in self.nodes.values()]
        if known:
            for node in self.nodes.values():
                self._know(node.members, records)

    def _know(self, members: Members, records: list[Record]) -> None:
        """Sets the state after a long time without faults: all members are known and no updates are pending."""
        members.records = {record.name: record for record in records if record.name != members.me.name}
        members.living = list(members.records)
        members.places = {record.address: record.name for record in members.records.values()}
        members.joined = True

    def _boot(self, node: Node) -> Record:
        """Starts a process of a node; returns its record."""
        node.boot_count += 1
        node.up, node.paused_until, node.backlog, node.next_tick_at = True, 0, [], -1
        birth = self.chance.getrandbits(60)
        me = Record(node.name, node.zone, node.address, self.clock.now // 1000 + node.boot_count, birth, 0, 0,
                    Digest(1, Stage.SERVING))
        node.members = self.kind(me, self.named, self.terms, self.chance.getrandbits(60), self.clock.now)
        self.settle(node)
        return me

    # Faults of schedules

    def at(self, second: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a second of the simulation."""
        self.clock.at(SECOND + int(second * SECOND), callback)

    def play(self, faults: list[Fault]) -> None:
        """Schedules faults from now on. All members share one clock here, so clock faults have no effect."""
        for fault in faults:
            self.clock.at(self.clock.now + int(fault.at * SECOND), partial(self.apply, fault))

    def apply(self, fault: Fault) -> None:
        """Applies a fault now."""
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

    def pause(self, node: Node, duration: int) -> None:
        """Suspends a process for some microseconds."""
        node.paused_until = max(node.paused_until, self.clock.now + duration)
        self.clock.at(node.paused_until, lambda: self._rouse(node))

    def _rouse(self, node: Node) -> None:
        if self.clock.now < node.paused_until or not node.up:
            return
        backlog, node.backlog = node.backlog, []
        for deliver in backlog[:2000]:  # capacity of a socket's receive buffer
            deliver()
        self._tick(node)

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.clock.run(self.clock.now + int(seconds * SECOND))

    # Time and messages

    def _tick(self, node: Node) -> None:
        if not node.up or self.clock.now < node.paused_until:
            return
        node.members.tick(self.clock.now)
        self.settle(node)

    def settle(self, node: Node) -> None:
        """Performs the actions of a member, records its events and schedules its next timer."""
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
        if node.next_tick_at < now or due < node.next_tick_at:
            node.next_tick_at = due

            def tick() -> None:
                if node.members is members and node.next_tick_at == due:
                    node.next_tick_at = -1
                    self._tick(node)
            self.clock.at(due, tick)

    def _send(self, node: Node, action: Send) -> None:
        size = HEAD + node.members.me.size() + sum(update.record.size() for update in action.news)
        self.messages += 1
        self.bytes += size
        target = self.by_address.get(action.address)
        if target is None:
            return
        me, message, updates = node.members.me, action.word, action.news
        for delay, corrupted in self.net.fates((node.name, target.name), size, self.clock.now / SECOND):
            if not corrupted:
                self.clock.at(self.clock.now + int(delay * SECOND) + self.chance.randint(*WIRE),
                              lambda: self._arrive(target, me, message, updates))

    def _arrive(self, node: Node, sender: Record, message: Word, updates: list[News]) -> None:
        if not node.up:
            return
        if self.clock.now < node.paused_until:
            node.backlog.append(lambda: self._arrive(node, sender, message, updates))
            return
        node.members.heard(sender, message, updates, self.clock.now)
        self.settle(node)

    def _meet(self, node: Node, action: Meet) -> None:
        """Simulates a sync: three steps of a stream; each needs both directions of the link and both processes."""
        target = self.by_address.get(action.address)
        members = node.members
        self.streams += 1

        def failed() -> None:
            if node.members is members and node.up:
                members.missed(action.address, self.clock.now)

        def step(proceed: Callable[[], None], other: Node) -> None:
            if (target is None or not other.up or self.clock.now < other.paused_until or node.members is not members
                    or any((link := self.net.links.get(pair)) and (link.cut or link.held)
                           for pair in ((node.name, target.name), (target.name, node.name)))):
                failed()
                return
            proceed()

        def send_request() -> None:
            assert target is not None
            request = members.opening()
            self.clock.at(self.clock.now + STREAM, lambda: step(lambda: respond(request), target))

        def respond(request: Opening) -> None:
            assert target is not None
            response = target.members.answering(request, self.clock.now)
            self.stream_bytes += 600 + sum(record.size() for record in response.records)
            self.settle(target)
            self.clock.at(self.clock.now + STREAM, lambda: step(lambda: handle_response(response), node))

        def handle_response(response: Answer) -> None:
            assert target is not None
            push = members.answered(response, self.clock.now)
            self.stream_bytes += 50 + sum(record.size() for record in push.records)
            self.settle(node)
            self.clock.at(self.clock.now + STREAM, lambda: step(lambda: handle_push(push), target))

        def handle_push(push: Rest) -> None:
            assert target is not None
            target.members.rested(push, self.clock.now)
            self.settle(target)

        step(send_request, node)

    # Views

    def agree(self, among: list[str] | None = None) -> bool:
        """Whether all running members hold exactly each other to be living."""
        names = among or [name for name, node in self.nodes.items() if node.up]
        processes = {name: self.nodes[name].members.me.process for name in names}
        for name in names:
            members = self.nodes[name].members
            if len(members.living) != len(processes) - 1:
                return False
            for other in members.living:
                if processes.get(other) != members.records[other].process:
                    return False
        return True

    def until_agreed(self, most: float, step: float = 0.1) -> float | None:
        """Runs until all views agree; returns the virtual seconds, or None after `timeout` seconds."""
        start = self.clock.now
        while self.clock.now - start < most * SECOND:
            if self.agree():
                return (self.clock.now - start) / SECOND
            self.run(step)
        return None
