"""Messages between members, actions for the adapter, and events for the log."""
from __future__ import annotations

from typing import NamedTuple

import msgspec

from .records import Record, Update


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an Ack of the member `name`, or of any process at the address if the name is empty."""

    seq: int
    name: str = ""


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reports that the member `name` answered; in a relayed Ack it is not the sender."""

    seq: int
    name: str


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe the member `name` on behalf of the sender."""

    seq: int
    name: str
    address: str


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reports that the target of an indirect probe did not answer in time; it shows that the helper is reachable."""

    seq: int


Message = Ping | Ack | PingRequest | Nack


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """First message of a full sync: checksums of the sender's view, one for each bucket."""

    checksums: list[int]


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Second message: the buckets whose checksums differ, and the responder's records in them."""

    buckets: list[int]
    records: list[Record]


class SyncPush(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Third message: the requester's records in these buckets."""

    records: list[Record]


class Send(NamedTuple):
    """Action: send a message with piggybacked updates as one datagram."""

    address: str
    message: Message
    updates: list[Update]


class StartSync(NamedTuple):
    """Action: run a full sync with the process at the address."""

    address: str


class Event(NamedTuple):
    """A change worth a log line; `member` is the name of the member it is about."""

    at: int
    kind: str
    member: str
    detail: str = ""
