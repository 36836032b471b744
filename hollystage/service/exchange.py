"""One RPC between the thread that serves it, the module and its run; and the words that reach that thread."""
from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from queue import SimpleQueue
from typing import NamedTuple

from ..interface import Action, Outcome, Rpc

Token = tuple[str, str]  # method and key


class Ended(NamedTuple):
    """The end of a run, or of what joined one."""

    outcome: Outcome
    result: bytes


class Gone:
    """The caller has closed."""


GONE = Gone()
Word = Action | Ended | Gone


class Exchange:
    """One RPC, between the thread that serves it, the module and its run."""

    __slots__ = ("rpc", "ident", "token", "digest", "earlier", "mailbox", "served", "applied", "ended",
                 "at_call", "cancel")

    def __init__(self, rpc: Rpc, ident: str, token: Token | None, body: bytes) -> None:
        self.rpc, self.ident, self.token = rpc, ident, token
        self.digest = blake2b(body, digest_size=16).digest() if token else b""
        self.earlier: Exchange | None = None
        self.mailbox: SimpleQueue[Word] = SimpleQueue()
        self.served = True  # its thread is still there
        self.applied = False  # its run was asked for
        self.ended = False  # its run is over
        self.at_call: tuple[int, bytes] = (0, b"")
        self.cancel: Callable[[], None] | None = None  # gives up the call below that the thread is in

    @property
    def open(self) -> bool:
        return self.rpc.life is not None

    def post(self, word: Word) -> None:
        self.mailbox.put(word)
        if self.cancel is not None:
            self.cancel()
