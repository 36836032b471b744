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

from ..decisions.budgets import messages as budgets
from ..decisions.leases import messages as leases
from ..decisions.membership.messages import Ack, Nack, Ping, PingRequest, SyncPush, SyncRequest, SyncResponse
from ..decisions.membership.records import Record, Update

MAGIC, VERSION = b"hy", 1
HASH_BYTES = 16
HEADER_BYTES = len(MAGIC) + 1 + 4 + HASH_BYTES
MAX_DATAGRAM_BYTES = 1_200  # fits into one packet of any common network, including tunnels
MAX_FRAME_BYTES = 4 << 20
KEY_CONTEXT = "hollystage fleet 2026-12 "


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Reply to the envelope `counter`, which named a wrong session; the reply's own envelope gives the right one."""

    counter: int


class TableRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """An operator's request for the table `table`, or for an action of that name."""

    table: str = "members"
    request: bytes = b""


class TableReply(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Reply to a `TableRequest`; `body` is JSON that only the command line reads."""

    body: bytes


class FetchRequest(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """A peer's request for the data that the receiver provides under a name."""

    name: str


class FetchReply(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Reply to a `FetchRequest`: the data, empty if there is none. The provider defines its encoding."""

    body: bytes


# messages for the agent's message handler, which exists only if the plan has budgets
CoordinationMessage = (leases.Prepare | leases.Propose | leases.Release | leases.Reply
                       | budgets.Claim | budgets.Grants | budgets.Redirect | budgets.BorrowRequest | budgets.Loan)
Message = (Ping | Ack | PingRequest | Nack | SyncRequest | SyncResponse | SyncPush | Challenge | TableRequest
           | TableReply | FetchRequest | FetchReply | CoordinationMessage)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with what is needed to authenticate its sender and to detect replays.

    `session` is that of the sender, `receiver_session` that of the receiver as far as the sender knows it, or 0.
    `counter` grows with each envelope of the sender. `updates` are membership gossip.
    """

    session: int
    receiver_session: int
    counter: int
    sender: Record
    message: Message
    updates: list[Update] = []

    def is_valid(self) -> bool:
        """Whether all fields are within their bounds."""
        return (0 <= self.counter < 1 << 62 and self.sender.is_valid()
                and all(update.record.is_valid() and len(update.reporter) <= 64 for update in self.updates)
                and _is_valid(self.message))


def _is_valid(message: Message) -> bool:
    match message:
        case SyncRequest():
            return len(message.checksums) <= 256
        case SyncResponse():
            return len(message.buckets) <= 256 and all(record.is_valid() for record in message.records)
        case SyncPush():
            return all(record.is_valid() for record in message.records)
        case Ping() | PingRequest():
            return len(message.name) <= 64 and 0 <= message.seq < 1 << 62
        case Ack():
            return len(message.name) <= 64 and 0 <= message.seq < 1 << 62
        case leases.Prepare() | leases.Propose() | leases.Release() | leases.Reply():
            return leases.is_valid(message)
        case budgets.Claim() | budgets.Grants() | budgets.Redirect() | budgets.BorrowRequest() | budgets.Loan():
            return budgets.is_valid(message)
    return True


class DecodeFailure(Enum):
    """Why received bytes are not an envelope of this cluster. Such bytes are counted and otherwise ignored."""

    FOREIGN = "foreign"
    VERSION = "version"
    CLUSTER = "cluster"
    FORGED = "forged"
    OVERSIZED = "oversized"
    GARBAGE = "garbage"


class Codec:
    """Encodes, authenticates and decodes the envelopes of one cluster."""

    def __init__(self, key: bytes, cluster: str) -> None:
        self.key = blake3(key, derive_key_context=KEY_CONTEXT + cluster).digest()
        self.header = MAGIC + bytes([VERSION]) + blake3(cluster.encode()).digest()[:4]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)

    def pack(self, envelope: Envelope) -> bytes:
        """The envelope with its header."""
        body = self.encoder.encode(envelope)
        return self.header + blake3(body, key=self.key).digest(length=HASH_BYTES) + body

    def unpack(self, data: bytes, max_size: int = MAX_DATAGRAM_BYTES) -> Envelope | DecodeFailure:
        """The envelope, or why the bytes are not one. `max_size` is in bytes and includes the header."""
        if len(data) > max_size:
            return DecodeFailure.OVERSIZED
        if data[:2] != MAGIC or len(data) < HEADER_BYTES:
            return DecodeFailure.FOREIGN
        if data[2] != VERSION:
            return DecodeFailure.VERSION
        if data[:7] != self.header:
            return DecodeFailure.CLUSTER
        body = data[HEADER_BYTES:]
        if not hmac.compare_digest(blake3(body, key=self.key).digest(length=HASH_BYTES), data[7:HEADER_BYTES]):
            return DecodeFailure.FORGED
        try:
            envelope = self.decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return DecodeFailure.GARBAGE
        return envelope if envelope.is_valid() else DecodeFailure.GARBAGE
