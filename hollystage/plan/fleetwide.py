"""Sections that concern the whole fleet: the voters of leases, and the budgets that instances share."""
from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta

from .sections import Count, Name, Problem, Section, Share, Time, register

Voters = Annotated[list[Name], Meta(max_length=7, extra={"fix": "name 3, 5 or 7 instances"})]
Drift = Annotated[float, Meta(ge=0, le=0.2, extra={"unit": "share"})]
Units = Annotated[int, Meta(ge=0, le=1_000_000)]


class Leases(Section, frozen=True):
    """The voters of all leases, the duration of a lease (`length`), and how far clocks may drift apart (`drift`).

    A change adds one voter or removes one; `before` are the voters of the previous generation.
    """

    section_name = "leases"
    voters: Voters
    before: Voters = []
    generation: Units = 0
    length: Annotated[int, Meta(ge=500_000, le=600_000_000, extra={"unit": "time"})] = 3_000_000
    drift: Drift = 0.01

    def problems(self) -> Iterator[Problem]:
        if not self.voters or len(set(self.voters)) < len(self.voters):
            yield "voters", "no voters, or a voter listed twice", "name 3, 5 or 7 instances"
        if self.before and len(set(self.before) ^ set(self.voters)) != 1:
            yield "before", "voters that differ from before by more than one", (
                "add or remove one voter at a time, each in a generation of its own")
        if bool(self.before) != bool(self.generation):
            yield "generation", "only one of generation and before", (
                "increase generation by one and list the previous voters in before, or leave out both")


class Budget(Section, frozen=True):
    """A quantity that the whole fleet shares, such as concurrent calls to a dependency: `whole` units in use at once.

    Attributes:
        of: what the units are.
        floor: units that each instance may use without a grant.
        most: instances that may run at the same time, including those of a rolling deployment (default: the
            instances of `fleet`).
        use: longest time in microseconds that one use lasts at the dependency, including the time after this side
            gave up on it (default: the longest deadline, plus the time that abandoned calls linger).
        kept: share of the units that is kept back for instances that join.
    """

    section_name, positional, allows_multiple = "budget", ("name",), True
    name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$", extra={"fix": "use up to 32 letters and digits"})]
    whole: Count
    of: Literal["calls"] = "calls"
    floor: Units = 1
    most: Count | None = None
    use: Time | None = None
    kept: Share = 0.05


register(Leases, Budget)
