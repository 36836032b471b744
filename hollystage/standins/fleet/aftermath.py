"""What a history must not show of a coming back, and what is measured of one."""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from ...decisions.comeback.recovery import KINDS
from .check import SECOND, WINDOW_S, Violation, troubles
from .history import Line

KEPT, MANY = 0.9, 40  # share of promised times that is kept; judged from so many on
SLACK_S = 4.0  # between a snapshot's harvest and its being told, and a start's length
FULL, SPAN = 0.95, 5  # full service: this share of before, in the mean of so many seconds


def comeback(lines: list[Line]) -> list[Violation]:
    return [*_beliefs(lines), *_lent(lines), *_doubts(lines), *_promises(lines), *_below(lines)]


def _beliefs(lines: list[Line]) -> Iterable[Violation]:
    """What a start takes of its stored state: nothing that was lost, no more of the old than is left."""
    kept: dict[str, int] = {}
    saved: dict[str, int] = {}
    how: dict[str, str] = {}
    jump: dict[str, float] = defaultdict(float)
    ahead: dict[str, float] = defaultdict(float)  # of the clock by which the snapshot was written
    for line in lines:
        who, t = line["who"], line["t"]
        match line["what"]:
            case "saved":
                saved[who] = t
            case "kept":
                kept[who], ahead[who] = t, jump[who]
            case "fault" if line["do"] == "clock":
                for name in line["names"]:
                    jump[name] = line.get("jitter", 0.0)
            case "state":
                how[who] = line["how"]
                if line["how"] in ("emptied", "damaged", "old"):
                    kept.pop(who, None)
            case "sown":
                used, state = line["used"], how.get(who, "")
                if state in ("emptied", "damaged") and used:
                    yield Violation("no stale belief", who, t, f"its state was {state}, and it believes {used}")
                if state == "replanned" and "costs" in used:
                    yield Violation("no stale belief", who, t, "costs of another machine count")
                if state in ("", "kept") and who in kept and not line["stored"]:
                    yield Violation("what was kept is there", who, t, "its snapshot was not found")
                since = kept.get(who, saved.get(who) if state == "old" else None)
                if since is None:
                    continue
                old = (t - since) / SECOND + jump[who] - ahead[who]
                for kind, weight in used.items():
                    most = 0.5 ** (max(0.0, old - SLACK_S) / KINDS[kind].half_life) if KINDS[kind].half_life else 0.0
                    if weight > most + 0.01 or old < -5 - SLACK_S:
                        yield Violation("no stale belief", who, t, f"{kind} counts {weight:.2f} at {old:.0f} s")


def _lent(lines: list[Line]) -> Iterable[Violation]:
    for line in lines:
        if line["what"] == "borrowed" and line["taken"] and line["lenders"] < 2:
            yield Violation("several are asked", line["who"], line["t"], "one peer's word was taken")


def _doubts(lines: list[Line]) -> Iterable[Violation]:
    """A further try of what an earlier life ran is not pushed back: that would say that it did not run."""
    ran: dict[tuple[str, str], tuple[int, int]] = {}
    life: dict[str, int] = defaultdict(int)
    doubtful: dict[str, str] = {}
    tries: dict[str, Line] = {}
    for line in lines:
        match line["what"]:
            case "began":
                life[line["who"]] = line["life"]
            case "try":
                tries[line["rpc"]] = line
                at, lived = ran.get((line["to"], line["key"]), (0, 0))
                if line["tokened"] and at and lived < life[line["to"]] and line["t"] - at < (WINDOW_S - 3) * SECOND:
                    doubtful[line["rpc"]] = line["to"]
            case "run" if line["rpc"] in tries:
                ran[line["who"], tries[line["rpc"]]["key"]] = line["t"], life[line["who"]]
            case "end" if line["rpc"] in doubtful and line["word"] == "pushed back":
                yield Violation("2 no effect twice", doubtful[line["rpc"]], line["t"],
                                f"{line['rpc']} ran in an earlier life and was pushed back")


def promises(lines: list[Line]) -> tuple[int, int]:
    """Of those that came back when they were told, to an instance that had not died: how many, how many served."""
    down, links = troubles(lines)
    came = {line["rpc"]: line for line in lines if line["what"] == "try" and line.get("came")}
    good = told = 0
    for line in lines:
        if line["what"] == "end" and line["rpc"] in came:
            sent = came[line["rpc"]]
            begun = sent["t"] - SECOND
            if not down.touch(sent["to"], begun, line["t"]) and not links.touch(sent["to"], begun, line["t"]):
                told, good = told + 1, good + (line["word"] == "ok")
    return told, good


def _promises(lines: list[Line]) -> Iterable[Violation]:
    told, good = promises(lines)
    if told >= MANY and good < KEPT * told:
        yield Violation("times to come back are kept", "all", lines[-1]["t"], f"{good} of {told}")


def _below(lines: list[Line]) -> Iterable[Violation]:
    ordered = any(line["what"] == "fault" and '"die"' in line.get("how", "") for line in lines)
    dead = next((line for line in lines if line["what"] == "load" and line["deaths"]), None)
    if dead is not None and not ordered:
        yield Violation("the ledger survives", dead["who"], dead["t"], f"it fell over with {dead['held']} calls")


def figures(lines: list[Line], before_s: float) -> dict[str, Any]:
    """Time to full service from the schedule's start, and what it cost; criticality served within target."""
    begun = next((line["t"] for line in lines if line["what"] == "schedule"), 0)
    stop = next((line["t"] for line in lines if line["what"] == "stopped"), lines[-1]["t"])
    worth: dict[int, float] = defaultdict(float)
    calls = rpcs = 0
    last = begun
    for line in lines:
        second = (line["t"] - begun) // SECOND
        if line["what"] == "rpc":
            rpcs += line["t"] > begun
            if line["good"]:
                worth[second] += line["worth"]
        calls += line["what"] == "call" and line["t"] > begun
    base = sum(worth[-s] for s in range(1, int(before_s))) / max(1, int(before_s) - 1)
    seconds = (stop - begun) // SECOND
    means = [sum(worth[s + k] for k in range(SPAN)) / SPAN / max(1e-9, base) for s in range(seconds - SPAN)]
    full = next((s for s, mean in enumerate(means) if mean >= FULL), None)
    told, good = promises(lines)
    held = [line["held"] for line in lines if line["what"] == "load" and line["t"] > begun]
    aborted = [line["t"] for line in lines if line["what"] == "rpc" and line["end"] != "ok" and line["t"] < stop]
    last = max(aborted, default=begun)
    return {"before": round(base, 1), "full_s": full,
            "lost_s": round(seconds - sum(worth[s] for s in range(seconds)) / max(1e-9, base), 2),
            "again_s": sum(mean < 0.9 for mean in means[full:]) if full is not None else None,
            "ledger_peak": max(held, default=0), "calls_per_rpc": round(calls / max(1, rpcs), 3),
            "last_unserved_s": round((last - begun) / SECOND, 1), "told": told, "kept": good,
            "kept_share": round(good / told, 3) if told else None}
