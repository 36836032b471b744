"""Hosts many independent instances of the decision module and maps RPC ids of the protocol to objects."""
from __future__ import annotations

import traceback
from collections import deque
from typing import Any

from ..control import Control
from ..interface import Action, Do, Outcome, Rpc
from ..settings import Faulty, read, translate
from .frames import Event, Malformed, Reply


class Instance:
    """One decision module and the RPCs that the protocol may still refer to."""

    def __init__(self, number: int, seed: int, text: bytes, now: int) -> None:
        self.number = number
        try:
            self.settings = translate(read(text))
        except Faulty as error:
            raise Malformed(str(error)) from error
        self.longest = max((m.deadline for m in self.settings.methods), default=0)
        self.control = Control(self.settings, seed, now)
        self.rpcs: dict[int, Rpc] = {}
        self.ids: dict[Rpc, int] = {}
        self.old: deque[tuple[int, int]] = deque()

    def rpc(self, now: int, fields: tuple[Any, ...]) -> None:
        """Creates the RPC of an event and passes it to the decision module."""
        (rpc_id, method, tenant, _subject, timeout, work_hint, size, _rank, flags, caller, unread_time,
         earlier) = fields
        if method >= len(self.settings.methods):
            raise Malformed(f"RPC of unknown method {method}")
        rpc = Rpc(self.settings.methods[method], caller,
                  self.settings.tenants[tenant] if tenant < len(self.settings.tenants) else None,
                  size, timeout, unread_time, bool(flags & 2), hint=work_hint if flags & 1 else 0)
        if earlier:
            rpc.earlier = self.rpcs.get(earlier) or Rpc(rpc.method, caller, None, 0.0, 0, ran=True)
        self.rpcs[rpc_id], self.ids[rpc] = rpc, rpc_id
        # kept until no repeat can refer to it: for its window and the longest time that a repeat may lie unread
        self.old.append((now + max(self.longest, rpc.method.window) + 2 * self.longest, rpc_id))
        self.control.arrived(rpc, now)

    def known(self, rpc_id: int) -> Rpc:
        """Returns the RPC with an id.

        Raises:
            FrameError: there is none.
        """
        if rpc_id not in self.rpcs:
            raise Malformed(f"event for an RPC that was never read: {rpc_id}")
        return self.rpcs[rpc_id]

    def tidy(self, now: int) -> None:
        """Forgets RPCs that no event can refer to any more."""
        while self.old and self.old[0][0] < now:
            rpc_id = self.old.popleft()[1]
            rpc = self.rpcs[rpc_id]
            if rpc.life is not None:  # work on hung cores may end long after the RPC was answered
                self.old.append((now + self.longest, rpc_id))
                continue
            del self.rpcs[rpc_id], self.ids[rpc]

    def write(self, action: Action, reply: Reply) -> None:
        """Adds an action of the decision module to a reply."""
        number, rpc_id = self.number, self.ids.get(action.rpc, 0) if action.rpc is not None else 0
        match action.do:
            case Do.START:
                reply.add("HQ", 3, number, rpc_id)
            case Do.PUSH_BACK:
                reply.add("HQIB", 5, number, rpc_id, action.span, action.flag)
            case Do.ABORT:
                reply.add("HQ", 13, number, rpc_id)
            case Do.HALT:
                reply.add("HQ", 9, number, rpc_id)
            case Do.CALL:
                reply.add("HQI", 7, number, rpc_id, action.span)
            case Do.SKIP:
                reply.add("HQ", 12, number, rpc_id)
            case Do.KEEP:
                reply.add("HQI", 4, number, rpc_id, action.span)
            case Do.FORGET:
                reply.add("HQ", 15, number, rpc_id)
            case Do.JOIN:
                reply.add("HQ", 2, number, rpc_id)
            case Do.HEALTH:
                reply.add("HBB", 6, number, action.flag, True)
            case Do.SAY:
                reply.add("Hf", 10, number, action.value)
            case Do.TIMER:
                reply.add("HIQ", 14, number, action.span, 0)
            case Do.IDLE:
                reply.add("HI", 1, number, action.span)


class Host:
    """All instances of one process."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def batch(self, now: int, events: list[Event]) -> bytes:
        """Handles the events of one frame and returns the encoded reply.

        An exception in a decision module ends the batch; the reply then reports the traceback.

        Raises:
            FrameError: an event refers to something unknown.
        """
        reply = Reply()
        touched: dict[int, Instance] = {}
        for name, number, *fields in events:
            if name == "stop":
                self.instances.pop(number, None)
                touched.pop(number, None)
                continue
            if name != "init" and number not in self.instances:
                raise Malformed(f"event for instance {number}, which is not running")
            try:
                if name == "init":
                    self.instances[number] = Instance(number, fields[0], fields[1], now)
                instance = touched[number] = self.instances[number]
                self.deliver(instance, name, now, fields)
            except Malformed:
                raise
            except Exception:
                reply.add_text(8, number, traceback.format_exc(limit=-4))
                return reply.encode()
        for number, instance in touched.items():
            try:
                for action in instance.control.decide(now):
                    instance.write(action, reply)
            except Exception:
                reply.add_text(8, number, traceback.format_exc(limit=-4))
                return reply.encode()
            instance.tidy(now)
        return reply.encode()

    @staticmethod
    def deliver(instance: Instance, name: str, now: int, fields: list[Any]) -> None:
        """Passes one event to the decision module."""
        control = instance.control
        if name == "rpc":
            instance.rpc(now, tuple(fields))
        elif name in ("done", "called"):
            handler = control.finished if name == "done" else control.called
            try:
                outcome = Outcome(fields[1])
            except ValueError as error:
                raise Malformed(f"unknown outcome {fields[1]}") from error
            handler(instance.known(fields[0]), outcome, fields[2], now)
        elif name == "at_call":
            control.at_call(instance.known(fields[0]), now)
        elif name == "gone":
            control.gone(instance.known(fields[0]), now)
        elif name == "leaving":
            control.leaving(fields[0], now)
        elif name == "timer":
            values = fields[2:2 + min(fields[1], 4)]
            control.tick(dict(zip(instance.settings.gauges, values, strict=False)), now)
