"""Encoding of datagrams and frames: a header with a keyed hash, followed by the envelope in MessagePack.

    magic 2 | version 1 | cluster 4 | hash 16 | envelope      (sizes in bytes)

The hash is blake3 of the encoded envelope, keyed with the key file and the cluster name. Forged or altered data is
therefore dropped before any of it is decoded. Replays are detected in `decisions/membership/replay`.
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
DATAGRAM = 1_200  # fits into one packet of any common network, including tunnels
FRAME = 4 << 20
CONTEXT = "hollystage fleet 2026-12 "


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Reply to the envelope `counter`, which named another session; the envelope of the reply gives the right one."""

    count: int


class Show(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """An operator's request to show something, or to do something; `table` names it."""

    what: str = "members"
    request: bytes = b""


class Shown(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Reply to a `TableRequest`; `body` is JSON that only the command line reads."""

    body: bytes


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Request for the data that the receiver provides under a name."""

    what: str


class Lent(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Reply to a `FetchRequest`: the data in an encoding of its own, empty if there is none."""

    body: bytes


# messages for the agent's message handler, which exists only if the plan has budgets
Guest = (leases.Prepare | leases.Propose | leases.Release | leases.Reply
         | budgets.Claim | budgets.Parts | budgets.Elsewhere | budgets.Borrow | budgets.Loan)
Word = Ping | Ack | Ask | Nack | Opening | Answer | Rest | Challenge | Show | Shown | Fetch | Lent | Guest


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with what is needed to authenticate its sender and to detect replays.

    `session` is that of the sender, `receiver_session` that of the receiver as far as the sender knows it, or 0.
    `counter` grows with each envelope of the sender. `updates` are membership gossip.
    """

    door: int
    to: int
    count: int
    me: Record
    word: Word
    news: list[News] = []

    def sane(self) -> bool:
        """Whether all fields are within their bounds."""
        return (0 <= self.count < 1 << 62 and self.me.sane() and all(
            update.record.sane() and len(update.by) <= 64 for update in self.news) and _sane(self.word))


def _sane(message: Word) -> bool:
    match message:
        case Opening():
            return len(message.sums) <= 256
        case Answer():
            return len(message.shelves) <= 256 and all(record.sane() for record in message.records)
        case Rest():
            return all(record.sane() for record in message.records)
        case Ping() | Ask():
            return len(message.name) <= 64 and 0 <= message.seq < 1 << 62
        case Ack():
            return len(message.of) <= 64 and 0 <= message.seq < 1 << 62
        case leases.Prepare() | leases.Propose() | leases.Release() | leases.Reply():
            return leases.sane(message)
        case budgets.Claim() | budgets.Parts() | budgets.Elsewhere() | budgets.Borrow() | budgets.Loan():
            return budgets.sane(message)
    return True


class Refused(Enum):
    """Why received bytes are not an envelope of this cluster; they are counted and otherwise ignored."""

    FOREIGN = "foreign"
    VERSION = "version"
    CLUSTER = "cluster"
    FORGED = "forged"
    OVERSIZED = "oversized"
    GARBAGE = "garbage"


class Codec:
    """Encodes, authenticates and decodes the envelopes of one cluster."""

    def __init__(self, key: bytes, cluster: str) -> None:
        self.key = blake3(key, derive_key_context=CONTEXT + cluster).digest()
        self.head = MAGIC + bytes([VERSION]) + blake3(cluster.encode()).digest()[:4]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)

    def pack(self, envelope: Envelope) -> bytes:
        """The envelope with its header."""
        body = self.encoder.encode(envelope)
        return self.head + blake3(body, key=self.key).digest(length=HASH) + body

    def unpack(self, data: bytes, max_size: int = DATAGRAM) -> Envelope | Refused:
        """The envelope, or why the bytes are not one. `max_size` is in bytes and includes the header."""
        if len(data) > max_size:
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
