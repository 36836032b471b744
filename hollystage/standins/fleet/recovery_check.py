"""Checks of recovery after restarts in histories of the rig, and measurements of it."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from ...decisions.recovery.recovery import LEARNED_KINDS
from .check import IDEMPOTENCY_WINDOW_S, SECOND, Violation, find_disturbances
from .history import Line

MIN_KEPT_SHARE, MIN_PROMISES = 0.9, 40  # smallest share of kept promises; fewer promises than this are not judged
AGE_TOLERANCE_S = 4.0  # seconds between the export of a snapshot and its history entry, plus the length of a start
FULL_SERVICE_SHARE, AVERAGING_SPAN_S = 0.95, 5  # full service: share of the earlier rate, averaged over this span


def check_recovery(lines: list[Line]) -> list[Violation]:
    """Applies all checks of recovery to the lines of a history."""
    return [*_check_beliefs(lines), *_check_fetched(lines), *_check_rejections(lines), *_check_promises(lines),
            *_check_ledger(lines)]


def _check_beliefs(lines: list[Line]) -> Iterable[Violation]:
    """A start restores nothing that was lost, and weights old statistics no higher than their age allows."""
    written_at: dict[str, int] = {}
    copied_at: dict[str, int] = {}
    state_of: dict[str, str] = {}
    clock_offset: dict[str, float] = defaultdict(float)
    written_offset: dict[str, float] = defaultdict(float)  # offset of the clock that dated the snapshot, seconds
    for line in lines:
        who, t = line["who"], line["t"]
        match line["what"]:
            case "saved":
                copied_at[who] = t
            case "kept":
                written_at[who], written_offset[who] = t, clock_offset[who]
            case "fault" if line["do"] == "clock":
                for name in line["names"]:
                    clock_offset[name] = line.get("jitter", 0.0)
            case "state":
                state_of[who] = line["how"]
                if line["how"] in ("emptied", "damaged", "old"):
                    written_at.pop(who, None)
            case "sown":
                used, state = line["used"], state_of.get(who, "")
                if state in ("emptied", "damaged") and used:
                    yield Violation("no stale belief", who, t, f"its state was {state}, but it restored {used}")
                if state == "replanned" and "costs" in used:
                    yield Violation("no stale belief", who, t, "it restored costs measured on another machine")
                if state in ("", "kept") and who in written_at and not line["stored"]:
                    yield Violation("what was kept is there", who, t, "it did not find its snapshot")
                written = written_at.get(who, copied_at.get(who) if state == "old" else None)
                if written is None:
                    continue
                age_s = (t - written) / SECOND + clock_offset[who] - written_offset[who]
                for kind, weight in used.items():
                    max_weight = 0.5 ** (max(0.0, age_s - AGE_TOLERANCE_S) / LEARNED_KINDS[kind].half_life) \
                        if LEARNED_KINDS[kind].half_life else 0.0
                    if weight > max_weight + 0.01 or age_s < -5 - AGE_TOLERANCE_S:
                        yield Violation("no stale belief", who, t,
                                        f"{kind} has weight {weight:.2f} at an age of {age_s:.0f} s")


def _check_fetched(lines: list[Line]) -> Iterable[Violation]:
    """Statistics of other instances are used only if at least two peers sent theirs."""
    for line in lines:
        if line["what"] == "borrowed" and line["taken"] and line["lenders"] < 2:
            yield Violation("several are asked", line["who"], line["t"], "it accepted the statistics of one peer")


def _check_rejections(lines: list[Line]) -> Iterable[Violation]:
    """A retry of an RPC that an earlier process ran is not rejected: a rejection means that the RPC has not run."""
    ran: dict[tuple[str, str], tuple[int, int]] = {}
    process: dict[str, int] = defaultdict(int)
    may_have_run: dict[str, str] = {}
    attempts: dict[str, Line] = {}
    for line in lines:
        match line["what"]:
            case "began":
                process[line["who"]] = line["life"]
            case "try":
                attempts[line["rpc"]] = line
                at, ran_in = ran.get((line["to"], line["key"]), (0, 0))
                if (line["tokened"] and at and ran_in < process[line["to"]]
                        and line["t"] - at < (IDEMPOTENCY_WINDOW_S - 3) * SECOND):
                    may_have_run[line["rpc"]] = line["to"]
            case "run" if line["rpc"] in attempts:
                ran[line["who"], attempts[line["rpc"]]["key"]] = line["t"], process[line["who"]]
            case "end" if line["rpc"] in may_have_run and line["word"] == "pushed back":
                yield Violation("2 no effect twice", may_have_run[line["rpc"]], line["t"],
                                f"{line['rpc']} ran in an earlier process and was rejected")


def count_promises(lines: list[Line]) -> tuple[int, int]:
    """Counts callers that came back at their promised time, and those of them that were served.

    Leaves out those whose instance was down or whose links had faults.
    """
    down, links = find_disturbances(lines)
    attempts = {line["rpc"]: line for line in lines if line["what"] == "try" and line.get("came")}
    served = returned = 0
    for line in lines:
        if line["what"] == "end" and line["rpc"] in attempts:
            sent = attempts[line["rpc"]]
            start = sent["t"] - SECOND
            if not down.overlaps(sent["to"], start, line["t"]) and not links.overlaps(sent["to"], start, line["t"]):
                returned, served = returned + 1, served + (line["word"] == "ok")
    return returned, served


def _check_promises(lines: list[Line]) -> Iterable[Violation]:
    """Most callers that come back at their promised time are served."""
    returned, served = count_promises(lines)
    if returned >= MIN_PROMISES and served < MIN_KEPT_SHARE * returned:
        yield Violation("times to come back are kept", "all", lines[-1]["t"], f"{served} of {returned} were served")


def _check_ledger(lines: list[Line]) -> Iterable[Violation]:
    """A ledger fails only if a fault of the schedule makes it fail."""
    ordered = any(line["what"] == "fault" and '"die"' in line.get("how", "") for line in lines)
    failure = next((line for line in lines if line["what"] == "load" and line["deaths"]), None)
    if failure is not None and not ordered:
        yield Violation("the ledger survives", failure["who"], failure["t"],
                        f"it failed with {failure['held']} calls")


def recovery_metrics(lines: list[Line], before_s: float) -> dict[str, Any]:
    """Measures time to full service from the start of the schedule, and the service lost until then.

    Service is counted as the criticality that is served within the latency target; the base is its rate in the
    `before_s` seconds before the schedule, without the first of them.
    """
    start = next((line["t"] for line in lines if line["what"] == "schedule"), 0)
    stop = next((line["t"] for line in lines if line["what"] == "stopped"), lines[-1]["t"])
    worth: dict[int, float] = defaultdict(float)
    calls = rpcs = 0
    for line in lines:
        second = (line["t"] - start) // SECOND
        if line["what"] == "rpc":
            rpcs += line["t"] > start
            if line["good"]:
                worth[second] += line["worth"]
        calls += line["what"] == "call" and line["t"] > start
    base = sum(worth[-s] for s in range(1, int(before_s))) / max(1, int(before_s) - 1)
    seconds = (stop - start) // SECOND
    means = [sum(worth[s + k] for k in range(AVERAGING_SPAN_S)) / AVERAGING_SPAN_S / max(1e-9, base)
             for s in range(seconds - AVERAGING_SPAN_S)]
    full_at = next((s for s, mean in enumerate(means) if mean >= FULL_SERVICE_SHARE), None)
    returned, served = count_promises(lines)
    open_calls = [line["held"] for line in lines if line["what"] == "load" and line["t"] > start]
    aborted = [line["t"] for line in lines if line["what"] == "rpc" and line["end"] != "ok" and line["t"] < stop]
    last = max(aborted, default=start)
    return {"before": round(base, 1), "full_s": full_at,
            "lost_s": round(seconds - sum(worth[s] for s in range(seconds)) / max(1e-9, base), 2),
            "again_s": sum(mean < 0.9 for mean in means[full_at:]) if full_at is not None else None,
            "ledger_peak": max(open_calls, default=0), "calls_per_rpc": round(calls / max(1, rpcs), 3),
            "last_unserved_s": round((last - start) / SECOND, 1), "told": returned, "kept": served,
            "kept_share": round(served / returned, 3) if returned else None}
