"""What members say to each other, and what they ask of their links."""
from __future__ import annotations

from typing import NamedTuple

import msgspec

from .records import News, Record


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks `name`, or whoever is there, for an Ack."""

    seq: int
    name: str = ""


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """`of` has answered; the sender of a relayed one is another."""

    seq: int
    of: str


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe `name` for the sender."""

    seq: int
    name: str
    address: str


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The one that was asked for did not answer in time, but its asker was heard."""

    seq: int


Word = Ping | Ack | Ask | Nack


class Opening(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The first word of a full exchange: the sums of what its sender holds."""

    sums: list[int]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """What the other holds on the shelves that differ."""

    shelves: list[int]
    records: list[Record]


class Rest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """What the first one holds there."""

    records: list[Record]


class Send(NamedTuple):
    address: str
    word: Word
    news: list[News]


class Meet(NamedTuple):
    """A full exchange is to be had with whoever is at the address."""

    address: str


class Event(NamedTuple):
    """Something worth a line; `who` is the member it is about."""

    at: int
    what: str
    who: str
    detail: str = ""
