"""What a history must not show of a budget, and what is measured of one: the ledger itself counts what is in use."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from ...service.peers import PERIODS
from .check import SECOND, Violation
from .history import Line
from .rig import Load


def budgets(lines: list[Line], whole: int) -> list[Violation]:
    """Never more in use than the whole, whoever died, slept or was cut off."""
    return list(_over(lines, whole)) if whole else []


def chatter(load: Load, members: int) -> float:
    """Datagrams a second that whoever divides may say beside the usual: an answer and a half to each question."""
    return 1.5 * members * PERIODS / (load.lease_ms / 1000) if load.whole else 0.0


def _over(lines: list[Line], whole: int) -> Iterable[Violation]:
    for line in lines:
        if line["what"] == "load" and line["peak"] > whole:
            yield Violation("never more than the whole", line["who"], line["t"], f"{line['peak']} of {whole} in use")


def figures(lines: list[Line], whole: int) -> dict[str, Any]:
    """`used`: in the mean, of what is in use; `peak`: the most; `least`: the second with the fewest."""
    begun = next((line["t"] for line in lines if line["what"] == "schedule"), 0)
    stop = next((line["t"] for line in lines if line["what"] == "healed"), lines[-1]["t"] if lines else 0)
    held: dict[int, list[int]] = defaultdict(list)
    peak = 0
    for line in lines:
        if line["what"] == "load" and begun <= line["t"] < stop:
            held[(line["t"] - begun) // SECOND].append(line["held"])
            peak = max(peak, line["peak"])
    means = [sum(row) / len(row) for row in held.values()]
    return {"whole": whole, "peak": peak, "used": round(sum(means) / max(1, len(means)), 2),
            "least": round(min(means, default=0.0), 2)}
