"""The timing parameters of leases and the set of voters.

Each clock runs at a rate between 1 - drift and 1 + drift of true time; nothing else is assumed about it. Leases and
grants of budgets are safe for the same reason, namely that the holder stops before the granter grants again:

    a holder acts for                  duration * (1 - drift) / (1 + drift) - margin   of its clock, from its request;
    a granter waits before regranting  duration                                        of its clock, from its reply.

In true time the first is at most duration / (1 + drift) and starts earlier; the second is at least that long and
starts later. Times are microseconds of each process's own clock.
"""
from __future__ import annotations

from typing import NamedTuple


class LeaseParameters(NamedTuple):
    """Timing of a lease or a grant.

    `duration`: of the lease, by the granter's clock; `drift`: the greatest deviation of a clock's rate from true
    time, as a fraction; `margin`: time that a holder needs to stop acting at the end of its lease.
    """

    duration: int = 5_000_000
    drift: float = 0.01
    margin: int = 50_000

    @property
    def holder_duration(self) -> int:
        """How long a holder may act, by its own clock and counted from its request."""
        return self.usable_duration(self.duration)

    def usable_duration(self, remaining: int) -> int:
        """Converts the remaining time of another clock to a safe duration of this clock, counted from the request.

        >>> LeaseParameters(drift=0.0, margin=0).usable_duration(1000)
        1000
        >>> LeaseParameters(drift=0.01, margin=0).usable_duration(1_000_000)
        980198
        """
        return int(remaining * (1 - self.drift) / (1 + self.drift)) - self.margin

    def safe_wait(self, span: int) -> int:
        """Returns how long to wait by this clock until `span` of true time has certainly passed."""
        return int(span * (1 + self.drift)) + 1


class VoterSet(NamedTuple):
    """The processes that vote on leases.

    A change of the set adds one voter or removes one, never both, so that majorities of the old and the new set
    intersect. While the previous set may still be in use (`previous` is not empty), majorities of both sets are
    needed. A voter rejects the requests of a candidate whose generation is older than its own or more than one ahead,
    so two changes never overlap. The operator must ensure that a further change begins only after every voter has
    applied the previous one.
    """

    voters: tuple[str, ...]
    previous: tuple[str, ...] = ()
    generation: int = 0

    @property
    def all_voters(self) -> tuple[str, ...]:
        """The voters of both sets, each once."""
        return tuple(dict.fromkeys((*self.voters, *self.previous)))

    def is_quorum(self, accepted_by: set[str]) -> bool:
        """Returns whether these voters are a majority of the set, and of the previous set if there is one.

        >>> VoterSet(("a", "b", "c", "d"), ("a", "b", "c"), 1).is_quorum({"a", "b"})
        False
        >>> VoterSet(("a", "b", "c")).is_quorum({"a", "b"})
        True
        """
        return all(2 * len(accepted_by.intersection(voters)) > len(voters)
                   for voters in (self.voters, self.previous) if voters)

    def excludes_quorum(self, rejected_by: set[str]) -> bool:
        """Returns whether the voters that have not rejected can no longer form a quorum."""
        return not self.is_quorum(set(self.all_voters) - rejected_by)


def differ_by_one_voter(before: tuple[str, ...], after: tuple[str, ...]) -> bool:
    """Returns whether exactly one voter was added or removed.

    >>> differ_by_one_voter(("a", "b", "c"), ("a", "b", "c", "d")), differ_by_one_voter(("a", "b"), ("a", "c"))
    (True, False)
    """
    return len(set(before) ^ set(after)) == 1
