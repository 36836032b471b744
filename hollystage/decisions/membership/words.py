"""Messages between members, actions for the adapter, and events for the log."""
from __future__ import annotations

from typing import NamedTuple

import msgspec

from .records import News, Record


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an Ack of the member `name`, or of any process at the address if the name is empty."""

    seq: int
    name: str = ""


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reports that the member `name` answered; in a relayed Ack it is not the sender."""

    seq: int
    of: str


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe the member `name` on behalf of the sender."""

    seq: int
    name: str
    address: str


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reports that the member of an indirect probe did not answer in time; it shows that the helper is reachable."""

    seq: int


Word = Ping | Ack | Ask | Nack


class Opening(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """First message of a full sync: checksums of the sender's view, one for each bucket."""

    sums: list[int]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Second message: the buckets whose checksums differ, and the responder's records in them."""

    shelves: list[int]
    records: list[Record]


class Rest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Third message: the requester's records in these buckets."""

    records: list[Record]


class Send(NamedTuple):
    """Action: send a message with piggybacked updates as one datagram."""

    address: str
    word: Word
    news: list[News]


class Meet(NamedTuple):
    """Action: run a full sync with the process at the address."""

    address: str


class Event(NamedTuple):
    """A change worth a log line; `member` is the name of the member it is about."""

    at: int
    what: str
    who: str
    detail: str = ""
