"""Messages between a process and the allocator, and between two processes directly.

One claim covers all budgets, so that its cost does not grow with their number.
"""
from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..leases.words import Question, Reply

MOST_ROWS, MOST_NAME, MOST_UNITS = 8, 32, 1 << 30


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One budget in a claim, in units.

    `committed`: the most that the process may use from now on without a further answer, including what it still
    uses and what it lent; `own`: its current grant or floor, without units that it only still uses or has borrowed;
    `floor`: the part of `own` that needs no grant; `need`: what it could use now; `weight`: criticality of the work
    that waits.
    """

    name: str
    held: int
    own: int
    floor: int
    using: int
    need: int
    weight: float


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Requests units of all budgets.

    `request_id`: never reused by a process; after a new claim the process accepts no answer to an earlier one.
    `epoch`: ballot of the allocator's lease as far as the claimant knows, 0 for none.
    """

    turn: int
    epoch: int
    rows: list[Row]


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """The units of one budget that a process may use, including its floor."""

    name: str
    part: int


class Parts(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """The answer to a claim, or a later message for the same claim with more units or fewer."""

    turn: int
    epoch: int
    rows: list[Piece]


class Elsewhere(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Names the allocator, as far as the sender knows; the name is empty if there is none."""

    turn: int
    allocator: str


class Borrow(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """Requests a loan of units from a peer."""

    turn: int
    name: str
    units: int


class Loan(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Lends units. `remaining` is its duration in microseconds of the lender's clock, from when the loan was sent."""

    turn: int
    name: str
    units: int
    left: int


Word = Claim | Parts | Elsewhere | Borrow | Loan


class Message(NamedTuple):
    """A message to send, with the name of the process that it is for."""

    to: str
    word: Word | Question | Reply


def sane(message: Word) -> bool:
    """Returns whether the fields of a received message are within their bounds."""
    if not 0 <= message.turn < 1 << 62:
        return False
    match message:
        case Claim():
            return len(message.rows) <= MOST_ROWS and 0 <= message.epoch < 1 << 62 and all(
                len(row.name) <= MOST_NAME and 0 <= row.weight < 1e9 and all(
                    0 <= units <= MOST_UNITS for units in (row.held, row.own, row.floor, row.using, row.need))
                for row in message.rows)
        case Parts():
            return len(message.rows) <= MOST_ROWS and 0 <= message.epoch < 1 << 62 and all(
                len(grant.name) <= MOST_NAME and 0 <= grant.part <= MOST_UNITS for grant in message.rows)
        case Elsewhere():
            return len(message.allocator) <= 64
        case Borrow():
            return len(message.name) <= MOST_NAME and 0 <= message.units <= MOST_UNITS
        case Loan():
            return (len(message.name) <= MOST_NAME and 0 <= message.units <= MOST_UNITS
                    and 0 <= message.left < 1 << 50)
