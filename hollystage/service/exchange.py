"""One RPC as its thread, the decision module and its run share it, and the events posted to that thread."""
from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from queue import SimpleQueue
from typing import NamedTuple

from ..interface import Action, Outcome, Rpc

IdempotencyKey = tuple[str, str]  # method name and value of Idempotency-Key


class RunResult(NamedTuple):
    """How a run, or the run that this RPC joined, ended, and its result."""

    outcome: Outcome
    result: bytes


class CallerDisconnected:
    """The caller closed its connection."""


CALLER_DISCONNECTED = CallerDisconnected()
ExchangeEvent = Action | RunResult | CallerDisconnected


class Exchange:
    """One RPC, shared by its thread, the decision module and its run."""

    __slots__ = ("rpc", "request_id", "idempotency_key", "body_digest", "earlier", "mailbox", "has_thread",
                 "run_requested", "run_ended", "pending_call", "cancel_call")

    def __init__(self, rpc: Rpc, request_id: str, key: IdempotencyKey | None, body: bytes) -> None:
        self.rpc, self.request_id, self.idempotency_key = rpc, request_id, key
        self.body_digest = blake2b(body, digest_size=16).digest() if key else b""
        self.earlier: Exchange | None = None
        self.mailbox: SimpleQueue[ExchangeEvent] = SimpleQueue()
        self.has_thread = True  # the thread that serves it has not finished
        self.run_requested = False  # APPLY was sent to the interpreter
        self.run_ended = False
        self.pending_call: tuple[int, bytes] = (0, b"")  # offset of the notice and payload of the downstream call
        self.cancel_call: Callable[[], None] | None = None  # cancels the downstream call that the thread is in

    @property
    def id_number(self) -> int:
        """The request id as a number, whatever the case of its digits."""
        return int(self.request_id, 16)

    @property
    def is_open(self) -> bool:
        """Whether the decision module still tracks the RPC."""
        return self.rpc.lifecycle is not None

    def post(self, event: ExchangeEvent) -> None:
        """Puts an event into the mailbox and cancels the downstream call that the thread is in."""
        self.mailbox.put(event)
        if self.cancel_call is not None:
            self.cancel_call()
