"""Hosts many instances that share nothing; ids of the wire are turned into objects here and back."""
from __future__ import annotations

import traceback
from collections import deque
from typing import Any

from ..control import Control
from ..interface import Action, Do, Outcome, Rpc
from ..settings import Faulty, read, translate
from .frames import Event, Malformed, Reply


class Instance:
    """One decision module with its own ids."""

    def __init__(self, number: int, seed: int, text: bytes, now: int) -> None:
        self.number = number
        try:
            self.settings = translate(read(text))
        except Faulty as bad:
            raise Malformed(str(bad)) from bad
        self.longest = max((m.deadline for m in self.settings.methods), default=0)
        self.control = Control(self.settings, seed, now)
        self.rpcs: dict[int, Rpc] = {}
        self.ids: dict[Rpc, int] = {}
        self.old: deque[tuple[int, int]] = deque()

    def rpc(self, now: int, fields: tuple[Any, ...]) -> None:
        ident, method, tenant, _subject, patience, hint, size, _rank, flags, caller, waited, earlier = fields
        if method >= len(self.settings.methods):
            raise Malformed(f"an RPC of unknown method {method}")
        rpc = Rpc(self.settings.methods[method], caller,
                  self.settings.tenants[tenant] if tenant < len(self.settings.tenants) else None,
                  size, patience, waited, bool(flags & 2), hint=hint if flags & 1 else 0)
        if earlier:
            rpc.earlier = self.rpcs.get(earlier) or Rpc(rpc.method, caller, None, 0.0, 0, ran=True)
        self.rpcs[ident], self.ids[rpc] = rpc, ident
        # kept until no repeat of it can still be named: its window, then the longest wait unread
        self.old.append((now + max(self.longest, rpc.method.window) + 2 * self.longest, ident))
        self.control.arrived(rpc, now)

    def known(self, ident: int) -> Rpc:
        if ident not in self.rpcs:
            raise Malformed(f"an event names an RPC that was never read: {ident}")
        return self.rpcs[ident]

    def tidy(self, now: int) -> None:
        while self.old and self.old[0][0] < now:
            ident = self.old.popleft()[1]
            rpc = self.rpcs[ident]
            if rpc.life is not None:  # work on hung cores may end long after its answer was given
                self.old.append((now + self.longest, ident))
                continue
            del self.rpcs[ident], self.ids[rpc]

    def write(self, action: Action, reply: Reply) -> None:
        number, ident = self.number, self.ids.get(action.rpc, 0) if action.rpc is not None else 0
        match action.do:
            case Do.START:
                reply.add("HQ", 3, number, ident)
            case Do.PUSH_BACK:
                reply.add("HQIB", 5, number, ident, action.span, action.flag)
            case Do.ABORT:
                reply.add("HQ", 13, number, ident)
            case Do.HALT:
                reply.add("HQ", 9, number, ident)
            case Do.CALL:
                reply.add("HQI", 7, number, ident, action.span)
            case Do.SKIP:
                reply.add("HQ", 12, number, ident)
            case Do.KEEP:
                reply.add("HQI", 4, number, ident, action.span)
            case Do.FORGET:
                reply.add("HQ", 15, number, ident)
            case Do.JOIN:
                reply.add("HQ", 2, number, ident)
            case Do.HEALTH:
                reply.add("HBB", 6, number, action.flag, True)
            case Do.SAY:
                reply.add("Hf", 10, number, action.value)
            case Do.TIMER:
                reply.add("HIQ", 14, number, action.span, 0)
            case Do.IDLE:
                reply.add("HI", 1, number, action.span)


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def batch(self, now: int, events: list[Event]) -> bytes:
        reply = Reply()
        touched: dict[int, Instance] = {}
        for name, number, *fields in events:
            if name == "stop":
                self.instances.pop(number, None)
                touched.pop(number, None)
                continue
            if name != "init" and number not in self.instances:
                raise Malformed(f"an event for instance {number}, which is not running")
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
        control = instance.control
        if name == "rpc":
            instance.rpc(now, tuple(fields))
        elif name in ("done", "called"):
            handler = control.finished if name == "done" else control.called
            try:
                outcome = Outcome(fields[1])
            except ValueError as bad:
                raise Malformed(f"unknown outcome {fields[1]}") from bad
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
