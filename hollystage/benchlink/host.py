"""Hosts many independent instances of the decision module and maps RPC ids of the protocol to objects and back."""
from __future__ import annotations

import traceback
from collections import deque
from typing import Any

from ..control import Control
from ..interface import Action, ActionKind, Outcome, Rpc
from ..settings import ConfigError, read, translate
from .frames import Event, FrameError, Reply


class HostedInstance:
    """One decision module and the RPCs that the protocol may still refer to."""

    def __init__(self, number: int, seed: int, text: bytes, now: int) -> None:
        self.number = number
        try:
            self.settings = translate(read(text))
        except ConfigError as error:
            raise FrameError(str(error)) from error
        self.max_deadline = max((m.deadline for m in self.settings.methods), default=0)
        self.control = Control(self.settings, seed, now)
        self.rpcs: dict[int, Rpc] = {}
        self.ids: dict[Rpc, int] = {}
        self.expiries: deque[tuple[int, int]] = deque()

    def receive_rpc(self, now: int, fields: tuple[Any, ...]) -> None:
        """Creates the RPC of an event and passes it to the decision module."""
        (rpc_id, method, tenant, _subject, timeout, work_hint, size, _rank, flags, caller, unread_time,
         earlier) = fields
        if method >= len(self.settings.methods):
            raise FrameError(f"RPC of unknown method {method}")
        rpc = Rpc(self.settings.methods[method], caller,
                  self.settings.tenants[tenant] if tenant < len(self.settings.tenants) else None,
                  size, timeout, unread_time, bool(flags & 2), work_hint=work_hint if flags & 1 else 0)
        if earlier:
            rpc.earlier = self.rpcs.get(earlier) or Rpc(rpc.method, caller, None, 0.0, 0, ran=True)
        self.rpcs[rpc_id], self.ids[rpc] = rpc, rpc_id
        # kept until no repeat can refer to it: for its window and the longest time for which a repeat may be unread
        self.expiries.append((now + max(self.max_deadline, rpc.method.window) + 2 * self.max_deadline, rpc_id))
        self.control.arrived(rpc, now)

    def find_rpc(self, rpc_id: int) -> Rpc:
        """Returns the RPC with an id.

        Raises:
            FrameError: there is none.
        """
        if rpc_id not in self.rpcs:
            raise FrameError(f"event for an RPC that was never read: {rpc_id}")
        return self.rpcs[rpc_id]

    def remove_expired(self, now: int) -> None:
        """Forgets RPCs that no event can refer to any more."""
        while self.expiries and self.expiries[0][0] < now:
            rpc_id = self.expiries.popleft()[1]
            rpc = self.rpcs[rpc_id]
            if rpc.lifecycle is not None:  # a run that hangs may end long after the RPC was answered
                self.expiries.append((now + self.max_deadline, rpc_id))
                continue
            del self.rpcs[rpc_id], self.ids[rpc]

    def encode_action(self, action: Action, reply: Reply) -> None:
        """Adds an action of the decision module to a reply."""
        number, rpc_id = self.number, self.ids.get(action.rpc, 0) if action.rpc is not None else 0
        match action.kind:
            case ActionKind.START:
                reply.add("HQ", 3, number, rpc_id)
            case ActionKind.REJECT:
                reply.add("HQIB", 5, number, rpc_id, action.duration, action.flag)
            case ActionKind.ABORT:
                reply.add("HQ", 13, number, rpc_id)
            case ActionKind.HALT:
                reply.add("HQ", 9, number, rpc_id)
            case ActionKind.CALL:
                reply.add("HQI", 7, number, rpc_id, action.duration)
            case ActionKind.SKIP:
                reply.add("HQ", 12, number, rpc_id)
            case ActionKind.KEEP:
                reply.add("HQI", 4, number, rpc_id, action.duration)
            case ActionKind.FORGET:
                reply.add("HQ", 15, number, rpc_id)
            case ActionKind.JOIN:
                reply.add("HQ", 2, number, rpc_id)
            case ActionKind.HEALTH:
                reply.add("HBB", 6, number, action.flag, True)
            case ActionKind.LOAD_SIGNAL:
                reply.add("Hf", 10, number, action.value)
            case ActionKind.TIMER:
                reply.add("HIQ", 14, number, action.duration, 0)
            case ActionKind.IDLE_LIMIT:
                reply.add("HI", 1, number, action.duration)


class Host:
    """All instances of one process."""

    def __init__(self) -> None:
        self.instances: dict[int, HostedInstance] = {}

    def handle_batch(self, now: int, events: list[Event]) -> bytes:
        """Handles the events of one frame and returns the encoded reply.

        An exception in a decision module ends the batch; the reply then reports the traceback.

        Raises:
            FrameError: an event refers to something unknown.
        """
        reply = Reply()
        touched: dict[int, HostedInstance] = {}
        for name, number, *fields in events:
            if name == "stop":
                self.instances.pop(number, None)
                touched.pop(number, None)
                continue
            if name != "init" and number not in self.instances:
                raise FrameError(f"event for instance {number}, which is not running")
            try:
                if name == "init":
                    self.instances[number] = HostedInstance(number, fields[0], fields[1], now)
                instance = touched[number] = self.instances[number]
                self.dispatch_event(instance, name, now, fields)
            except FrameError:
                raise
            except Exception:
                reply.add_text(8, number, traceback.format_exc(limit=-4))
                return reply.encode()
        for number, instance in touched.items():
            try:
                for action in instance.control.decide(now):
                    instance.encode_action(action, reply)
            except Exception:
                reply.add_text(8, number, traceback.format_exc(limit=-4))
                return reply.encode()
            instance.remove_expired(now)
        return reply.encode()

    @staticmethod
    def dispatch_event(instance: HostedInstance, name: str, now: int, fields: list[Any]) -> None:
        """Passes one event to the decision module."""
        control = instance.control
        if name == "rpc":
            instance.receive_rpc(now, tuple(fields))
        elif name in ("done", "called"):
            handler = control.finished if name == "done" else control.call_finished
            try:
                outcome = Outcome(fields[1])
            except ValueError as error:
                raise FrameError(f"unknown outcome {fields[1]}") from error
            handler(instance.find_rpc(fields[0]), outcome, fields[2], now)
        elif name == "at_call":
            control.at_call(instance.find_rpc(fields[0]), now)
        elif name == "gone":
            control.caller_disconnected(instance.find_rpc(fields[0]), now)
        elif name == "leaving":
            control.start_drain(fields[0], now)
        elif name == "timer":
            values = fields[2:2 + min(fields[1], 4)]
            control.tick(dict(zip(instance.settings.gauges, values, strict=False)), now)
