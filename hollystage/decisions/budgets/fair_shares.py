"""Weighted max-min division of a budget in whole units, and limits on the need that a process may claim.

The algorithm is progressive filling (Bertsekas and Gallager, "Data Networks", 1987, section 6.5): all shares grow in
proportion to their weights until each process has what it needs. Units left over are spread as headroom, so that a
process can serve a burst without another claim.
"""
from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_NEED_TO_USE_RATIO, UNPROVEN_UNITS = 2, 2  # credible need per unit in use; units that are credible without any use
STEADY_TOLERANCE = 0.1  # fraction by which a need may fall and still count as unchanged
NEED_DECAY = 0.7  # fraction of a falling need that is kept at each claim, so that a lull reduces it step by step


class Demand(NamedTuple):
    """The need of one process. Ties are broken by `process`, so that the same demands always give the same shares."""

    process: tuple[str, int]
    need: int
    weight: float


def max_min_shares(capacity: int, demands: Iterable[Demand]) -> dict[tuple[str, int], int]:
    """Divides `capacity` units. The shares never exceed it in sum; units beyond all needs are spread by need.

    >>> a, b, c = ("a", 1), ("b", 1), ("c", 1)
    >>> max_min_shares(10, [Demand(a, 2, 1.0), Demand(b, 9, 1.0), Demand(c, 9, 1.0)])
    {('a', 1): 2, ('b', 1): 4, ('c', 1): 4}
    >>> max_min_shares(9, [Demand(a, 9, 2.0), Demand(b, 9, 1.0)])
    {('a', 1): 6, ('b', 1): 3}
    >>> max_min_shares(10, [Demand(a, 0, 1.0), Demand(b, 2, 1.0)])
    {('a', 1): 2, ('b', 1): 8}
    """
    rows = sorted(demands, key=lambda demand: (
        demand.need / demand.weight if demand.weight > 0 else 0.0, demand.process))
    shares: dict[tuple[str, int], float] = {}
    remaining, weights = float(max(0, capacity)), sum(demand.weight for demand in rows)
    for demand in rows:
        level = remaining / weights if weights > 1e-12 else 0.0
        shares[demand.process] = units = min(float(demand.need), level * demand.weight)
        remaining -= units
        weights -= demand.weight
    if remaining > 1e-9 and rows:
        total = sum(demand.need + 1 for demand in rows)
        for demand in rows:
            shares[demand.process] += remaining * (demand.need + 1) / total
    return _round_to_units(max(0, capacity), shares)


def _round_to_units(capacity: int, shares: dict[tuple[str, int], float]) -> dict[tuple[str, int], int]:
    """Rounds shares to whole units by the largest remainder method."""
    rounded = {process: int(units + 1e-9) for process, units in shares.items()}
    unassigned = min(capacity, round(sum(shares.values()))) - sum(rounded.values())
    for process in sorted(
            shares, key=lambda process: (rounded[process] - shares[process], process))[:max(0, unassigned)]:
        rounded[process] += 1
    return dict(sorted(rounded.items()))


def credible_need(claimed: int, in_use: int, granted: int, previous: int) -> int:
    """Returns the need that a claim counts for.

    A process that claims everything gets no more than its use justifies; a small need counts without any use.
    `claimed`: the need that the process states; `in_use`: units that it reports as used, of which no more than
    `granted` or `UNPROVEN_UNITS` count, whichever is more; `previous`: the need that its last claim counted for.

    >>> credible_need(100, 0, 0, 0), credible_need(100, 4, 8, 0), credible_need(100, 40, 8, 0)
    (2, 10, 18)
    >>> credible_need(11, 9, 12, 10), credible_need(9, 9, 12, 10), credible_need(3, 3, 12, 10)
    (11, 10, 7)
    """
    need = min(claimed, MAX_NEED_TO_USE_RATIO * min(in_use, max(granted, UNPROVEN_UNITS)) + UNPROVEN_UNITS)
    if need >= previous:
        return need
    return previous if previous - need <= STEADY_TOLERANCE * previous else max(need, int(NEED_DECAY * previous))
