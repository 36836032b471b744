"""Checks of fleet-wide budgets in histories of the rig, and measurements of them.

The ledger itself counts the units in use: its open calls.
"""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from ...service.peers import CLAIMS_PER_LEASE
from .check import SECOND, Violation
from .history import Line
from .rig import Load


def check_budgets(lines: list[Line], total: int) -> list[Violation]:
    """Checks that the units in use never exceed the total, also while members are killed, paused or partitioned."""
    return list(_check_total(lines, total)) if total else []


def allocator_datagram_rate(load: Load, members: int) -> float:
    """Returns the datagrams per second that an allocator may send beyond MAX_DATAGRAMS_PER_S: 1.5 for each claim."""
    return 1.5 * members * CLAIMS_PER_LEASE / (load.lease_ms / 1000) if load.whole else 0.0


def _check_total(lines: list[Line], total: int) -> Iterable[Violation]:
    """The ledgers never have more open calls than the budget has units."""
    for line in lines:
        if line["what"] == "load" and line["peak"] > total:
            yield Violation("never more than the whole", line["who"], line["t"], f"{line['peak']} of {total} in use")


def budget_metrics(lines: list[Line], total: int) -> dict[str, Any]:
    """Measures the units in use: `used`, the mean; `peak`, the maximum; `least`, the mean of the lowest second."""
    start = next((line["t"] for line in lines if line["what"] == "schedule"), 0)
    stop = next((line["t"] for line in lines if line["what"] == "healed"), lines[-1]["t"] if lines else 0)
    open_calls: dict[int, list[int]] = defaultdict(list)
    peak = 0
    for line in lines:
        if line["what"] == "load" and start <= line["t"] < stop:
            open_calls[(line["t"] - start) // SECOND].append(line["held"])
            peak = max(peak, line["peak"])
    means = [sum(row) / len(row) for row in open_calls.values()]
    return {"whole": total, "peak": peak, "used": round(sum(means) / max(1, len(means)), 2),
            "least": round(min(means, default=0.0), 2)}
