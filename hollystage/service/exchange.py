"""One RPC between the thread that serves it, the decision module and its run, and the events for that thread."""
from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from queue import SimpleQueue
from typing import NamedTuple

from ..interface import Action, Outcome, Rpc

Token = tuple[str, str]  # method name and value of Idempotency-Key


class Ended(NamedTuple):
    """How a run, or the run that this RPC joined, ended, and its result."""

    outcome: Outcome
    result: bytes


class Gone:
    """The caller closed its connection."""


GONE = Gone()
Word = Action | Ended | Gone


class Exchange:
    """One RPC, shared by its thread, the decision module and its run."""

    __slots__ = ("rpc", "ident", "token", "digest", "earlier", "mailbox", "served", "applied", "ended",
                 "at_call", "cancel")

    def __init__(self, rpc: Rpc, request_id: str, key: Token | None, body: bytes) -> None:
        self.rpc, self.ident, self.token = rpc, request_id, key
        self.digest = blake2b(body, digest_size=16).digest() if key else b""
        self.earlier: Exchange | None = None
        self.mailbox: SimpleQueue[Word] = SimpleQueue()
        self.served = True  # the thread that serves it has not finished
        self.applied = False  # APPLY was sent to the interpreter
        self.ended = False  # the run has ended
        self.at_call: tuple[int, bytes] = (0, b"")  # offset of the notice and payload of the downstream call
        self.cancel: Callable[[], None] | None = None  # cancels the downstream call that the thread is in

    @property
    def open(self) -> bool:
        """Whether the decision module still tracks the RPC."""
        return self.rpc.life is not None

    def post(self, event: Word) -> None:
        """Puts an event into the mailbox and cancels the downstream call that the thread is in."""
        self.mailbox.put(event)
        if self.cancel is not None:
            self.cancel()
