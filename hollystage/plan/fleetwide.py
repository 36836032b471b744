"""The sections for what belongs to the whole fleet: who votes on who acts for all, and what is divided."""
from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta

from .sections import Count, Name, Section, Share, Time, Trouble, register

Voters = Annotated[list[Name], Meta(max_length=7, extra={"fix": "name 3, 5 or 7 instances"})]
Drift = Annotated[float, Meta(ge=0, le=0.2, extra={"unit": "share"})]
Units = Annotated[int, Meta(ge=0, le=1_000_000)]


class Leases(Section, frozen=True):
    """Who votes on who acts for the whole fleet, and for how long; clocks may run apart by `drift`.

    A change adds one voter or takes one away: `before` are those of the generation before.
    """

    word = "leases"
    voters: Voters
    before: Voters = []
    generation: Units = 0
    length: Annotated[int, Meta(ge=500_000, le=600_000_000, extra={"unit": "time"})] = 3_000_000
    drift: Drift = 0.01

    def troubles(self) -> Iterator[Trouble]:
        if not self.voters or len(set(self.voters)) < len(self.voters):
            yield "voters", "no voters, or one of them twice", "name 3, 5 or 7 instances"
        if self.before and len(set(self.before) ^ set(self.voters)) != 1:
            yield "before", "voters that differ by more than one", "change one at a time, each by a generation"
        if bool(self.before) != bool(self.generation):
            yield "generation", "a first generation with others before it, or a later one without", (
                "raise it by one and name those before, or leave out both")


class Budget(Section, frozen=True):
    """A quantity that belongs to the whole fleet: what all may have in use at once.

    `floor`: what each has with nobody to ask; `most`: instances that may be there at one time, those of a rolling
    deploy counted (all of `fleet` where it is not told); `use`: the longest that one use lasts below, also after our
    side gave up on it (the longest deadline where it is not told); `kept`: share kept back for who joins.
    """

    word, positional, many = "budget", ("name",), True
    name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$", extra={"fix": "use up to 32 letters and digits"})]
    whole: Count
    of: Literal["calls"] = "calls"
    floor: Units = 1
    most: Count | None = None
    use: Time | None = None
    kept: Share = 0.05


register(Leases, Budget)
