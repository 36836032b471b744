"""The times and counts that membership goes by."""
from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in microseconds; counts."""

    period: int = 500_000  # one probe each
    timeout: int = 150_000  # for an answer, before others are asked
    helpers: int = 3  # that are asked
    base: float = 4.0  # periods of a suspect's least time, for ten members
    stretch: float = 3.0  # its most over its least
    confirmations: int = 3  # that bring it down to the least
    spread: int = 3  # a piece of news is told so many times the logarithm of the members
    worst: int = 8  # score of a process that trusts itself least
    ask_lost: int = 4_000_000  # one that is held for lost, or a named address, is asked so often
    exchange: int = 30_000_000  # between full exchanges, or a tenth of a second a member, if that is more
    again: int = 1_000_000  # between full exchanges out of turn
    tombstone: int = 1_800_000_000  # until one that is gone is forgotten
    most: int = 10_000  # members of a view
    expected: int = 0  # members that may start at once: their first exchanges are spread as `comeback.BUDGETS` says
