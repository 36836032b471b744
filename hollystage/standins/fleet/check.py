"""Checkers of the rig's histories, and measurements of a run.

The four rules cover all processes; further checks cover the guarantees of membership. Safety is checked without any
time tolerance where possible. Where a time is part of a rule its bound is generous, because the machine that runs the
rig is shared.
"""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from .history import Line
from .rig import Load

SECOND = 1_000_000
LATE_ANSWER_LIMIT_S = 1.0  # a later answer counts as none; generous, because many processes share few cores
DRAIN_TOLERANCE_S = 0.5  # an attempt sent this soon after the drain grace may have been in transit at its end
FAULT_MARGIN_S = 0.5  # a fault explains a connection that breaks this long before or after it
MAX_UNREAD_SHARE = 0.02  # share of all attempts that may fail before they were read
RESUME_GRACE_S = 0.4  # time after a pause in which a member must not suspect others
IDEMPOTENCY_WINDOW_S = 8.0  # window of car-hold in the rig's plan
MAX_DATAGRAMS_PER_S = 60.0  # for each member, averaged over the run
ALIVE_EVENTS, GONE_EVENTS = ("alive", "back", "boot"), ("lost", "left")


class Violation(msgspec.Struct):
    """A broken rule: its name, the party concerned, the time in microseconds and the reason."""

    rule: str
    who: str
    t: int
    why: str


class FaultIntervals:
    """Intervals [from, to] in microseconds in which a party was affected by faults."""

    def __init__(self) -> None:
        self.intervals: dict[str, list[tuple[int, int]]] = defaultdict(list)

    def add(self, name: str, start: int, end: int) -> None:
        self.intervals[name].append((start, end))

    def overlaps(self, name: str, start: int, end: int) -> bool:
        """Whether an interval of this party, widened by FAULT_MARGIN_S, overlaps the given one."""
        margin = int(FAULT_MARGIN_S * SECOND)
        return any(a - margin <= end and start <= b + margin for a, b in self.intervals[name])


def find_disturbances(lines: list[Line]) -> tuple[FaultIntervals, FaultIntervals]:
    """Returns when each member was down or paused, and when its links had faults."""
    down, links = FaultIntervals(), FaultIntervals()
    last = lines[-1]["t"] if lines else 0
    down_since: dict[str, int] = {}
    paused_since: dict[str, int] = {}
    faulty_since: dict[str, int] = {}
    for line in lines:
        who, t = line["who"], line["t"]
        match line["what"]:
            case "signal" if line["number"] in (9, 15):
                down_since.setdefault(who, t)  # a member that is killed before it is up again was down throughout
            case "ended":
                down_since.setdefault(who, t)
            case "up" if who in down_since:
                down.add(who, down_since.pop(who), t)
            case "signal" if line["number"] == 19:
                paused_since[who] = t
            case "signal" if line["number"] == 18 and who in paused_since:
                down.add(who, paused_since.pop(who), t)
            case "fault" if line["do"] in ("heal", "reset"):
                for name in [*line["names"], *line["to"]]:
                    links.add(name, faulty_since.pop(name, t), t)
            case "fault" if line["do"] in ("cut", "hold", "delay", "lose", "cap", "call"):
                for name in [*line["names"], *(line["to"] or ["clients"])]:
                    faulty_since.setdefault(name, t)
            case "healed":
                for name, since in faulty_since.items():
                    links.add(name, since, t)
                faulty_since.clear()
    for name, since in [*down_since.items(), *paused_since.items()]:
        down.add(name, since, last)
    for name, since in faulty_since.items():
        links.add(name, since, last)
    return down, links


def check_rules(lines: list[Line], load: Load, across_restarts: bool = False) -> list[Violation]:
    """Checks the four rules: no RPC is lost, none takes effect twice, drains are safe, no process fails.

    `across_restarts`: an RPC with an idempotency key runs once in its window even if the instance restarts.
    """
    down, links = find_disturbances(lines)
    violations: list[Violation] = []
    attempts = {line["rpc"]: line for line in lines if line["what"] == "try"}
    ends = {line["rpc"]: line for line in lines if line["what"] == "end"}
    runs: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if line["what"] == "run":
            runs[line["rpc"]].append(line)
    received = {line["rpc"] for line in lines if line["what"] in ("read", "run")}
    violations += _check_answers(attempts, ends, received, down, links)
    violations += _check_effects(attempts, ends, runs, lines, across_restarts)
    violations += _check_drains(attempts, runs, lines, load)
    violations += _check_failures(lines, load)
    return violations


def _check_answers(attempts: dict[str, Line], ends: dict[str, Line], received: set[str], down: FaultIntervals,
                   links: FaultIntervals) -> Iterable[Violation]:
    """Rule 1: no RPC is lost. A missing answer is explained by a link fault, kill or pause of the schedule.

    On an overloaded machine an attempt may reach the instance too late: the first message of a connection has a
    timeout of 1.5 s. Up to MAX_UNREAD_SHARE of the attempts may therefore fail before the instance read them.
    """
    unread: list[Violation] = []
    for request_id, line in attempts.items():
        end, target = ends.get(request_id), line["to"]
        outcome = end["word"] if end is not None else "no end"
        if outcome in ("ok", "pushed back", "aborted", "refused", "crossed"):
            continue
        ended = end["t"] if end is not None else line["t"] + int((line["wait"] + LATE_ANSWER_LIMIT_S) * SECOND)
        if outcome.startswith("late") and ended - line["t"] <= (line["wait"] + LATE_ANSWER_LIMIT_S) * SECOND:
            continue
        excused = down.overlaps(target, line["t"], ended) or any(
            links.overlaps(name, line["t"], ended) for name in (target, "clients", f"vm-{target}"))
        if outcome == "wrong" or not excused:
            violation = Violation("1 no RPC lost", target, line["t"], f"{request_id} ({line['method']}): {outcome}")
            if outcome != "wrong" and request_id not in received:
                unread.append(violation)
            else:
                yield violation
    if len(unread) > MAX_UNREAD_SHARE * len(attempts):
        yield from unread


def _check_effects(attempts: dict[str, Line], ends: dict[str, Line], runs: dict[str, list[Line]], lines: list[Line],
                   across_restarts: bool) -> Iterable[Violation]:
    """Rule 2: an RPC with an idempotency key runs once per window and instance; what ran is not rejected."""
    by_key: dict[tuple[str, str, int], list[Line]] = defaultdict(list)
    process: dict[str, int] = defaultdict(int)
    for line in lines:
        if line["what"] == "began" and not across_restarts:
            process[line["who"]] = line["life"]
        elif line["what"] == "run":
            sent = attempts.get(line["rpc"])
            if sent is not None and sent["tokened"]:
                by_key[line["who"], sent["key"], process[line["who"]]].append(line)
    for (who, key, _), ran in by_key.items():
        for first, second in zip(ran, ran[1:], strict=False):
            if second["t"] - first["t"] < IDEMPOTENCY_WINDOW_S * SECOND:
                yield Violation("2 no effect twice", who, second["t"], f"{key} ran twice")
    for request_id, ran in runs.items():
        sent, end = attempts.get(request_id), ends.get(request_id)
        if sent is not None and end is not None and sent["tokened"] and end["word"] == "pushed back":
            yield Violation("2 no effect twice", ran[0]["who"], end["t"], f"{request_id} ran and was rejected")


def _check_drains(attempts: dict[str, Line], runs: dict[str, list[Line]], lines: list[Line], load: Load
                  ) -> Iterable[Violation]:
    """Rule 3: no RPC sent after the drain grace runs, and the process ends in time."""
    terms = [line for line in lines if line["what"] == "signal" and line["number"] == 15]
    for term in terms:
        who, grace_end = term["who"], term["t"] + int((load.drain_grace_ms / 1000 + DRAIN_TOLERANCE_S) * SECOND)
        ended = next((line["t"] for line in lines if line["who"] == who and line["what"] == "ended"
                      and line["t"] > term["t"]), term["t"] + 60 * SECOND)
        for request_id, ran in runs.items():
            sent = attempts.get(request_id)
            if ran[0]["who"] == who and sent is not None and grace_end < sent["t"] < ended:
                yield Violation("3 safe drain", who, ran[0]["t"],
                                f"{request_id} was sent after the drain grace and ran")
        if ended - term["t"] > load.stop_ms * 1000 + 2 * SECOND:
            yield Violation("3 safe drain", who, term["t"], "it did not end in time")


def _check_failures(lines: list[Line], load: Load) -> Iterable[Violation]:
    """Rule 4: no process fails or exceeds its limits of memory and file descriptors."""
    signals: dict[str, set[int]] = defaultdict(set)
    over_limit: set[str] = set()
    starting: set[str] = set()  # not up yet: SIGTERM ends them directly, as their signal handlers are not installed
    for line in lines:
        who = line["who"]
        match line["what"]:
            case "signal":
                signals[who].add(line["number"])
            case "began":
                starting.add(who)
            case "up":
                starting.discard(who)
            case "ended" if line["code"] == -15 and 15 in signals[who] and who in starting:
                pass
            case "ended" if line["code"] != 0 and not (line["code"] == -9 and 9 in signals[who]):
                yield Violation("4 nothing falls over", who, line["t"], f"it ended with code {line['code']}")
            case "overstayed":
                yield Violation("3 safe drain", who, line["t"], "it had to be killed at the end of the run")
            case "outcry":
                yield Violation("4 nothing falls over", who, line["t"], f"its log contains {line['mark']!r}")
            case "proc" if who not in over_limit and (line["mb"] > load.memory_mb or line["fds"] > 512):
                over_limit.add(who)
                yield Violation("4 nothing falls over", who, line["t"],
                                f"it uses {line['mb']} MB and {line['fds']} file descriptors")


def check_membership(lines: list[Line], max_datagram_rate: float = MAX_DATAGRAMS_PER_S) -> list[Violation]:
    """Checks the guarantees of membership.

    Views agree in the end, boot numbers never decrease, a member does not suspect others right after a pause, and no
    member sends more than `max_datagram_rate` datagrams per second.
    """
    violations: list[Violation] = []
    settled = [line for line in lines if line["what"] == "settled"]
    running = settled[-1]["running"] if settled else []
    if settled and settled[-1]["seconds"] is None:
        violations.append(Violation("views agree", "all", settled[-1]["t"], "they differ after the settling time"))
    for line in lines:
        if line["what"] == "view" and sorted(line["members"] or ()) != sorted(running):
            reason = f"its view has {sorted(line['members'] or ())}"
            violations.append(Violation("views agree", line["who"], line["t"], reason))
    violations += _check_boots(lines)
    violations += _check_accusations(lines)
    violations += _check_datagram_rate(lines, max_datagram_rate)
    return violations


def _check_boots(lines: list[Line]) -> Iterable[Violation]:
    """A member's boot number never decreases, neither its own nor in the view of another member."""
    own_boot: dict[str, int] = defaultdict(int)
    seen_boot: dict[tuple[str, str], int] = defaultdict(int)
    for line in lines:
        if line["what"] == "started":
            for pair in [pair for pair in seen_boot if pair[0] == line["who"]]:
                del seen_boot[pair]
        if line["what"] != "peer":
            continue
        who = line["who"]
        if line["boot"] < own_boot[who] and line["event"] in ("joined", "raised"):
            yield Violation("boots never fall", who, line["t"], f"{own_boot[who]}, then {line['boot']}")
        if line["event"] in ("joined", "raised"):
            own_boot[who] = line["boot"]
        if line["event"] == "boot":
            old, _, new = line["detail"].partition(" to ")
            if int(new) < max(int(old), seen_boot[who, line["about"]]):
                yield Violation("boots never fall", who, line["t"], f"of {line['about']}: {line['detail']}")
            seen_boot[who, line["about"]] = int(new)


def _check_accusations(lines: list[Line]) -> Iterable[Violation]:
    """A member that was paused for over a second suspects no other within RESUME_GRACE_S."""
    paused_at: dict[str, int] = {}
    resumed_at: dict[str, int] = {}
    for line in lines:
        who, t = line["who"], line["t"]
        if line["what"] == "signal" and line["number"] == 19:
            paused_at[who] = t
        elif line["what"] == "signal" and line["number"] == 18 and t - paused_at.pop(who, t) > SECOND:
            resumed_at[who] = t
        elif (line["what"] == "peer" and line["event"] in ("suspect", "lost") and line["detail"] == f"by {who}"
              and t - resumed_at.get(who, 0) < RESUME_GRACE_S * SECOND):
            yield Violation("sleepers accuse nobody", who, t, f"it suspected {line['about']}")


def _check_datagram_rate(lines: list[Line], max_datagram_rate: float) -> Iterable[Violation]:
    """No member sends more datagrams per second than `max_datagram_rate`, averaged over the run."""
    sent: dict[str, int] = defaultdict(int)
    seconds = 0
    for line in lines:
        if line["what"] == "datagrams":
            seconds += 1
            for who, count in line["counts"].items():
                sent[who] += count
    for who, count in sent.items():
        if seconds and count / seconds > max_datagram_rate:
            yield Violation("few datagrams", who, lines[-1]["t"], f"{count / seconds:.0f} per second")


# Measurements

def agreement_changes(lines: list[Line]) -> list[tuple[int, bool]]:
    """Returns the times (microseconds) at which the views began (True) or ceased (False) to agree.

    Views agree if the view of every running, unpaused member contains exactly the running members.
    """
    view: dict[str, set[str]] = {}
    running: set[str] = set()
    paused: set[str] = set()
    changes: list[tuple[int, bool]] = []
    for line in lines:
        who = line["who"]
        match line["what"]:
            case "started":
                view[who] = set()
            case "up":
                running.add(who)
            case "signal" if line["number"] in (9, 15):
                running.discard(who)
                view.pop(who, None)
            case "signal" if line["number"] in (18, 19):
                (paused.add if line["number"] == 19 else paused.discard)(who)
            case "peer" if who in view and line["event"] in ALIVE_EVENTS:
                view[who].add(line["about"])
            case "peer" if who in view and line["event"] in GONE_EVENTS:
                view[who].discard(line["about"])
            case _:
                continue
        agreed = all(view.get(name, set()) | {name} == running for name in running - paused)
        if not changes or changes[-1][1] is not agreed:
            changes.append((line["t"], agreed))
    return changes


def agreement_delay(lines: list[Line], since: int) -> float | None:
    """Returns the seconds from `since` until the views began to agree for good; None if they disagree at the end."""
    changes = [change for change in agreement_changes(lines) if change[0] <= lines[-1]["t"]]
    settled = next((line["t"] for line in lines if line["what"] == "settled"), lines[-1]["t"])
    before = [change for change in changes if change[0] <= settled]
    if not before or not before[-1][1]:
        return None
    return max(0.0, (before[-1][0] - since) / SECOND)


def run_metrics(lines: list[Line], seconds: float) -> dict[str, Any]:
    """Returns the measurements of a run that `hollystage lab fleet` prints and benchmarks read.

    `seconds`: length of the schedule.
    """
    start = next((line["t"] for line in lines if line["what"] == "schedule"), 0)
    killed = {line["who"]: line["t"] for line in lines
              if line["what"] == "signal" and line["number"] == 9 and line["t"] > start}
    delays = sorted((line["t"] - killed[line["about"]]) / SECOND for line in lines
                     if line["what"] == "peer" and line["event"] == "lost" and line["about"] in killed
                     and line["t"] > killed[line["about"]])
    down, links = find_disturbances(lines)
    false_events = [line for line in lines if line["what"] == "peer" and line["event"] in ("suspect", "lost")
             and not down.overlaps(line["about"], line["t"], line["t"])]
    answers: dict[str, int] = defaultdict(int)
    for line in lines:
        if line["what"] == "end":
            answers[line["word"]] += 1
    rpcs = [line for line in lines if line["what"] == "rpc"]
    cpu: dict[str, float] = {}
    for line in lines:
        if line["what"] == "proc":
            cpu[line["who"]] = line["cpu"]
    datagrams = [sum(line["counts"].values()) for line in lines if line["what"] == "datagrams"]
    return {
        "joined_s": next((line["seconds"] for line in lines if line["what"] == "joined"), None),
        "known_s": {"median": quantile(delays, 0.5), "p99": quantile(delays, 0.99), "most": quantile(delays, 1.0),
                    "notices": len(delays)},
        "agreed_s": agreement_delay(lines, start),
        "settled_s": next((line["seconds"] for line in lines if line["what"] == "settled"), None),
        "wrong_suspicions": sum(line["event"] == "suspect" for line in false_events),
        "wrong_losses": sum(line["event"] == "lost" for line in false_events),
        "answers": dict(sorted(answers.items())), "rpcs": len(rpcs),
        "worth": round(sum(line["worth"] for line in rpcs if line["good"])
                       / max(1.0, sum(line["worth"] for line in rpcs)), 4),
        "tries_per_rpc": round(len([1 for line in lines if line["what"] == "try"]) / max(1, len(rpcs)), 3),
        "datagrams_a_second": round(sum(datagrams) / max(1, len(datagrams)), 1),
        "memory_mb": max((line["mb"] for line in lines if line["what"] == "proc"), default=0),
        "cpu_s": round(sum(cpu.values()), 2)}


def quantile(sorted_values: list[float], share: float) -> float | None:
    """Returns a quantile of sorted values, rounded to three places; None if there are none."""
    if not sorted_values:
        return None
    return round(sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))], 3)
