"""The definition of a budget, and the invariant that all allocations keep.

    sum over all processes of   units each may use  +  units still in use from ended allocations   <=   total

at every instant of true time. Three sums keep it, and no process compares its clock with another's:

    floors      floor * max_processes units are set aside: each process has its floor without a grant
    grants      the allocator's charges  <=  total - floor * max_processes   (`budget_allocator`)
    loans       a lender's own use + what it lent  <=  its allocation        (`allocation`)

A charge is reduced only in two cases: the process reported, in a claim that supersedes all earlier answers, that no
unit above the new charge is in use; or the grant and the longest use after it have certainly ended by the clock of
the allocator. The grant lasts `duration` from the answer, as in `leases.parameters`, and the longest use lasts
`max_use_duration` of true time after that. Counts are whole units, times are microseconds.
"""
from __future__ import annotations

from math import ceil
from typing import NamedTuple

from ..leases.parameters import LeaseParameters


class Budget(NamedTuple):
    """A number of units that all processes of the fleet share.

    `max_processes`: processes that may exist at one time, including the additional ones of a rolling deploy;
    `max_use_duration`: the longest that one use may last at the dependency, also after the caller gave up on it;
    `reserve_fraction`: fraction of the grantable units that is reserved for new processes.
    """

    name: str
    total: int
    floor: int = 1
    max_processes: int = 1
    max_use_duration: int = 2_000_000
    reserve_fraction: float = 0.05

    @property
    def grantable(self) -> int:
        """Units that are granted for a limited time, in addition to the floors."""
        return max(0, self.total - self.floor * self.max_processes)

    @property
    def reserve(self) -> int:
        """Units reserved for new processes, which then need not wait for other grants to end.

        >>> Budget("b", 40, 1, 12).reserve, Budget("b", 4, 0, 12).reserve
        (2, 1)
        >>> Budget("b", 3, 0, 3, reserve_fraction=0.0).reserve
        0
        """
        return min(self.grantable, ceil(self.reserve_fraction * self.grantable))


def charge_duration(budget: Budget, parameters: LeaseParameters) -> int:
    """Returns the time from an answer until its grant is certainly no longer in use, by the allocator's clock."""
    return parameters.duration + parameters.safe_wait(budget.max_use_duration)


def floor_delay(budget: Budget, parameters: LeaseParameters) -> int:
    """Returns the time from a process's start until it may use its floor.

    By then what an earlier process of the same name used or lent has certainly ended, by the new process's clock.
    """
    return parameters.safe_wait(parameters.duration) + parameters.safe_wait(budget.max_use_duration)
