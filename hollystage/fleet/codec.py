"""Datagrams and frames as bytes: a head, a keyed hash over all that follows, the words in msgpack.

    magic 2 | version 1 | cluster 4 | hash 16 | envelope

The hash is keyed by the key file and the cluster's name (blake3), so that a stranger's or an altered datagram is
dropped before anything is read of it. Whether it is of this moment is for `decisions/doors`.
"""
from __future__ import annotations

import hmac
from enum import Enum

import msgspec
from blake3 import blake3

from ..decisions.budgets import words as budgets
from ..decisions.leases import words as leases
from ..decisions.membership.records import News, Record
from ..decisions.membership.words import Ack, Answer, Ask, Nack, Opening, Ping, Rest

MAGIC, VERSION = b"hy", 1
HASH = 16
HEAD = len(MAGIC) + 1 + 4 + HASH
DATAGRAM = 1_200  # bytes: fits into one packet of any usual network, tunnels included
FRAME = 4 << 20
CONTEXT = "hollystage fleet 2026-12 "


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """What came under `count` names no door of this process; the envelope tells the door."""

    count: int


class Show(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """An operator asks for what this process holds, or for something to be done; `what` is the table."""

    what: str = "members"
    request: bytes = b""


class Shown(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """`body` is JSON, for the command line alone."""

    body: bytes


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Asks for what the receiver holds of something, by its name."""

    what: str


class Lent(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """What was asked for, in a form of its own; empty where there is nothing."""

    body: bytes


# what is not of membership: for whoever the plan puts there
Guest = (leases.Prepare | leases.Propose | leases.Release | leases.Reply
         | budgets.Claim | budgets.Parts | budgets.Elsewhere | budgets.Borrow | budgets.Loan)
Word = Ping | Ack | Ask | Nack | Opening | Answer | Rest | Challenge | Show | Shown | Fetch | Lent | Guest


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """`door` is the sender's, `to` the receiver's as the sender knows it; `count` grows with each envelope."""

    door: int
    to: int
    count: int
    me: Record
    word: Word
    news: list[News] = []

    def sane(self) -> bool:
        return (0 <= self.count < 1 << 62 and self.me.sane() and all(
            piece.record.sane() and len(piece.by) <= 64 for piece in self.news) and _sane(self.word))


def _sane(word: Word) -> bool:
    match word:
        case Opening():
            return len(word.sums) <= 256
        case Answer():
            return len(word.shelves) <= 256 and all(record.sane() for record in word.records)
        case Rest():
            return all(record.sane() for record in word.records)
        case Ping() | Ask():
            return len(word.name) <= 64 and 0 <= word.seq < 1 << 62
        case Ack():
            return len(word.of) <= 64 and 0 <= word.seq < 1 << 62
        case leases.Prepare() | leases.Propose() | leases.Release() | leases.Reply():
            return leases.sane(word)
        case budgets.Claim() | budgets.Parts() | budgets.Elsewhere() | budgets.Borrow() | budgets.Loan():
            return budgets.sane(word)
    return True


class Refused(Enum):
    """Why bytes are no envelope; counted, nothing else comes of them."""

    FOREIGN = "foreign"
    VERSION = "version"
    CLUSTER = "cluster"
    FORGED = "forged"
    OVERSIZED = "oversized"
    GARBAGE = "garbage"


class Codec:
    def __init__(self, key: bytes, cluster: str) -> None:
        self.key = blake3(key, derive_key_context=CONTEXT + cluster).digest()
        self.head = MAGIC + bytes([VERSION]) + blake3(cluster.encode()).digest()[:4]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)

    def pack(self, envelope: Envelope) -> bytes:
        body = self.encoder.encode(envelope)
        return self.head + blake3(body, key=self.key).digest(length=HASH) + body

    def unpack(self, data: bytes, most: int = DATAGRAM) -> Envelope | Refused:
        if len(data) > most:
            return Refused.OVERSIZED
        if data[:2] != MAGIC or len(data) < HEAD:
            return Refused.FOREIGN
        if data[2] != VERSION:
            return Refused.VERSION
        if data[:7] != self.head:
            return Refused.CLUSTER
        body = data[HEAD:]
        if not hmac.compare_digest(blake3(body, key=self.key).digest(length=HASH), data[7:HEAD]):
            return Refused.FORGED
        try:
            envelope = self.decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Refused.GARBAGE
        return envelope if envelope.sane() else Refused.GARBAGE
