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
from ...decisions.membership.messages import Message, Send, StartSync, SyncPush, SyncRequest, SyncResponse
from ...decisions.membership.parameters import Parameters
from ...decisions.membership.records import MemberStatus, Record, Stage, Update
from ..processor_sharing import VirtualClock
from .faults import Fault, Network

SECOND = 1_000_000
DATAGRAM_DELAY_US, STREAM_STEP_US = (200, 800), 2_000  # minimum and maximum; each step of a sync
HEADER_BYTES = 90  # bytes of a datagram in addition to its records


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


class FleetSimulation:
    """A fleet on one virtual clock.

    `members_class`: the product's class, or a subclass with a seeded fault. `converged`: all members know each other
    at the start. `configured_peer_count`: how many of the first members are configured as peers.
    """

    def __init__(self, count: int, seed: int, parameters: Parameters | None = None, zones: int = 3,
                 configured_peer_count: int = 3, converged: bool = False, members_class: type[Members] = Members,
                 ) -> None:
        self.clock, self.parameters, self.members_class = (
            VirtualClock(SECOND), parameters or Parameters(), members_class)
        self.rng, self.network = random.Random(seed), Network(seed + 1)
        self.seed = seed
        self.messages = self.bytes = self.streams = self.stream_bytes = 0
        self.trace = blake2b(digest_size=16)
        self.events: list[tuple[int, str, str, str, str]] = []  # time, observer, kind, member, detail
        self.false_accusations: Counter[str] = Counter()  # suspicions and losses of members that run
        self.nodes = {f"m{n}": Node(f"m{n}", f"z{n % zones}", f"10.0.{n // 250}.{n % 250}:7000")
                      for n in range(count)}
        self.node_by_address = {node.address: node for node in self.nodes.values()}
        self.configured_peers = [node.address for node in list(self.nodes.values())[:configured_peer_count]]
        records = [self._start_node(node) for node in self.nodes.values()]
        if converged:
            for node in self.nodes.values():
                self._fill_views(node.members, records)

    def _fill_views(self, members: Members, records: list[Record]) -> None:
        """Sets the state after a long time without faults: all members are known and no updates are pending."""
        members.records = {record.name: record for record in records if record.name != members.me.name}
        members.living = list(members.records)
        members.name_by_address = {record.address: record.name for record in members.records.values()}
        members.joined = True

    def _start_node(self, node: Node) -> Record:
        """Starts a process of a node; returns its record."""
        node.boot_count += 1
        node.up, node.paused_until, node.backlog, node.next_tick_at = True, 0, [], -1
        birth = self.rng.getrandbits(60)
        me = Record(node.name, node.zone, node.address, self.clock.now // 1000 + node.boot_count, birth, 0, 0,
                    MemberStatus(1, Stage.SERVING))
        node.members = self.members_class(me, self.configured_peers, self.parameters, self.rng.getrandbits(60),
                                          self.clock.now)
        self.process_actions(node)
        return me

    # Faults of schedules

    def call_at(self, second: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a second of the simulation."""
        self.clock.call_at(SECOND + int(second * SECOND), callback)

    def schedule_faults(self, faults: list[Fault]) -> None:
        """Schedules faults from now on. All members share one clock here, so clock faults have no effect."""
        for fault in faults:
            self.clock.call_at(self.clock.now + int(fault.at * SECOND), partial(self.apply, fault))

    def apply(self, fault: Fault) -> None:
        """Applies a fault now."""
        match fault.do:
            case "kill":
                for name in fault.who:
                    self.nodes[name].up = False
            case "start":
                for name in fault.who:
                    self._start_node(self.nodes[name])
            case "term":
                for name in fault.who:
                    node = self.nodes[name]
                    node.members.leave(self.clock.now)
                    self.process_actions(node)
                    node.up = False
            case "pause":
                for name in fault.who:
                    self.pause(self.nodes[name], int(fault.amount * SECOND))
            case "clock" | "call":
                pass
            case _:
                self.network.apply(fault, self.nodes)

    def pause(self, node: Node, duration: int) -> None:
        """Suspends a process for some microseconds."""
        node.paused_until = max(node.paused_until, self.clock.now + duration)
        self.clock.call_at(node.paused_until, lambda: self._resume(node))

    def _resume(self, node: Node) -> None:
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
        self.process_actions(node)

    def process_actions(self, node: Node) -> None:
        """Performs the actions of a member, records its events and schedules its next timer."""
        members, now = node.members, self.clock.now
        if members.events:
            for event in members.take_events():
                self.events.append((now, node.name, event.kind, event.member, event.detail))
                self.trace.update(f"{now} {node.name} {event.kind} {event.member} {event.detail}\n".encode())
                if event.kind in ("suspect", "lost") and self.nodes[event.member].up:
                    self.false_accusations[event.kind] += 1
        for action in members.take_actions():
            if isinstance(action, Send):
                self._send_datagram(node, action)
            else:
                self._sync(node, action)
        due = members.next_at
        if node.next_tick_at < now or due < node.next_tick_at:
            node.next_tick_at = due

            def tick() -> None:
                if node.members is members and node.next_tick_at == due:
                    node.next_tick_at = -1
                    self._tick(node)
            self.clock.call_at(due, tick)

    def _send_datagram(self, node: Node, action: Send) -> None:
        size = HEADER_BYTES + node.members.me.max_encoded_size() + sum(
            update.record.max_encoded_size() for update in action.updates)
        self.messages += 1
        self.bytes += size
        target = self.node_by_address.get(action.address)
        if target is None:
            return
        me, message, updates = node.members.me, action.message, action.updates
        for delay, corrupted in self.network.deliveries((node.name, target.name), size, self.clock.now / SECOND):
            if not corrupted:
                self.clock.call_at(self.clock.now + int(delay * SECOND) + self.rng.randint(*DATAGRAM_DELAY_US),
                                   lambda: self._deliver(target, me, message, updates))

    def _deliver(self, node: Node, sender: Record, message: Message, updates: list[Update]) -> None:
        if not node.up:
            return
        if self.clock.now < node.paused_until:
            node.backlog.append(lambda: self._deliver(node, sender, message, updates))
            return
        node.members.receive(sender, message, updates, self.clock.now)
        self.process_actions(node)

    def _sync(self, node: Node, action: StartSync) -> None:
        """Simulates a sync: three steps of a stream; each needs both directions of the link and both processes."""
        target = self.node_by_address.get(action.address)
        members = node.members
        self.streams += 1

        def failed() -> None:
            if node.members is members and node.up:
                members.sync_failed(action.address, self.clock.now)

        def step(proceed: Callable[[], None], other: Node) -> None:
            if (target is None or not other.up or self.clock.now < other.paused_until or node.members is not members
                    or any((link := self.network.links.get(pair)) and (link.cut or link.held)
                           for pair in ((node.name, target.name), (target.name, node.name)))):
                failed()
                return
            proceed()

        def send_request() -> None:
            assert target is not None
            request = members.make_sync_request()
            self.clock.call_at(self.clock.now + STREAM_STEP_US, lambda: step(lambda: respond(request), target))

        def respond(request: SyncRequest) -> None:
            assert target is not None
            response = target.members.handle_sync_request(request, self.clock.now)
            self.stream_bytes += 600 + sum(record.max_encoded_size() for record in response.records)
            self.process_actions(target)
            self.clock.call_at(self.clock.now + STREAM_STEP_US, lambda: step(lambda: handle_response(response), node))

        def handle_response(response: SyncResponse) -> None:
            assert target is not None
            push = members.handle_sync_response(response, self.clock.now)
            self.stream_bytes += 50 + sum(record.max_encoded_size() for record in push.records)
            self.process_actions(node)
            self.clock.call_at(self.clock.now + STREAM_STEP_US, lambda: step(lambda: handle_push(push), target))

        def handle_push(push: SyncPush) -> None:
            assert target is not None
            target.members.handle_sync_push(push, self.clock.now)
            self.process_actions(target)

        step(send_request, node)

    # Views

    def views_agree(self, among: list[str] | None = None) -> bool:
        """Whether each running member considers exactly the other running members to be alive."""
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

    def run_until_agreed(self, timeout: float, step: float = 0.1) -> float | None:
        """Runs until all views agree; returns the virtual seconds, or None after `timeout` seconds."""
        start = self.clock.now
        while self.clock.now - start < timeout * SECOND:
            if self.views_agree():
                return (self.clock.now - start) / SECOND
            self.run(step)
        return None
