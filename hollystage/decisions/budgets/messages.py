"""Messages between a process and the allocator, and between two processes directly.

One claim covers all budgets, so that its cost does not grow with their number.
"""
from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..leases.messages import LeaseRequest, Reply

MAX_ROWS, MAX_NAME_LENGTH, MAX_UNITS = 8, 32, 1 << 30  # budgets in a message, characters, units


class ClaimRow(msgspec.Struct, frozen=True, array_like=True):
    """One budget in a claim, in units.

    `committed`: the most that the process may use from now on without a further answer, including what it still
    uses and what it lent; `own`: its current grant or floor, without borrowed units and without units that are still
    in use after its grant was reduced; `floor`: the part of `own` that needs no grant; `need`: what it could use now;
    `weight`: criticality of the work that waits.
    """

    name: str
    committed: int
    own: int
    floor: int
    in_use: int
    need: int
    weight: float


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Requests units of all budgets.

    `request_id`: never reused by a process; after a new claim the process accepts no answer to an earlier one.
    `epoch`: ballot of the allocator's lease as far as the claimant knows, 0 for none.
    """

    request_id: int
    epoch: int
    rows: list[ClaimRow]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The units of one budget that a process may use, including its floor."""

    name: str
    units: int


class Grants(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """The answer to a claim, or a later message for the same claim with more units or fewer."""

    request_id: int
    epoch: int
    grants: list[Grant]


class Redirect(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Names the allocator, as far as the sender knows; the name is empty if there is none."""

    request_id: int
    allocator: str


class BorrowRequest(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """Requests a loan of units from a peer."""

    request_id: int
    name: str
    units: int


class Loan(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Lends units. `remaining` is its duration in microseconds of the lender's clock, from when the loan was sent."""

    request_id: int
    name: str
    units: int
    remaining: int


BudgetMessage = Claim | Grants | Redirect | BorrowRequest | Loan


class Outgoing(NamedTuple):
    """A message to send, with the name of the process that it is for."""

    recipient: str
    payload: BudgetMessage | LeaseRequest | Reply


def is_valid(message: BudgetMessage) -> bool:
    """Returns whether the fields of a received message are within their bounds."""
    if not 0 <= message.request_id < 1 << 62:
        return False
    match message:
        case Claim():
            return len(message.rows) <= MAX_ROWS and 0 <= message.epoch < 1 << 62 and all(
                len(row.name) <= MAX_NAME_LENGTH and 0 <= row.weight < 1e9 and all(
                    0 <= units <= MAX_UNITS for units in (row.committed, row.own, row.floor, row.in_use, row.need))
                for row in message.rows)
        case Grants():
            return len(message.grants) <= MAX_ROWS and 0 <= message.epoch < 1 << 62 and all(
                len(grant.name) <= MAX_NAME_LENGTH and 0 <= grant.units <= MAX_UNITS for grant in message.grants)
        case Redirect():
            return len(message.allocator) <= 64
        case BorrowRequest():
            return len(message.name) <= MAX_NAME_LENGTH and 0 <= message.units <= MAX_UNITS
        case Loan():
            return (len(message.name) <= MAX_NAME_LENGTH and 0 <= message.units <= MAX_UNITS
                    and 0 <= message.remaining < 1 << 50)
