"""Schedules drawn from a seed, schedules of named scenes, and minimization of a failing schedule."""
from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .faults import Fault, Schedule

FAULT_KINDS = ("kill", "restart", "pause", "cut", "half", "lose", "delay", "double", "reorder", "spoil", "cap",
               "reset", "drain", "clock")
TERM_DURING_PAUSE_SHARE = 0.4  # share of schedules with a SIGTERM during a pause


def random_schedule(seed: int, members: int = 12, seconds: float = 10.0,
                    kinds: tuple[str, ...] = FAULT_KINDS) -> Schedule:
    """Draws two to six faults at random times; each ends within the schedule or is healed at its end."""
    rng = random.Random(seed)
    names = [f"m{n}" for n in range(members)]
    faults: list[Fault] = []
    for _ in range(rng.randint(2, 6)):
        faults += _random_faults(rng.choice(kinds), rng, names, seconds)
    # a generator of its own: the faults above stay the same for a seed as before this kind was added
    term_rng = random.Random(f"{seed}: a notice in a pause")
    if {"pause", "drain"} <= set(kinds) and term_rng.random() < TERM_DURING_PAUSE_SHARE:
        faults += _term_during_pause(term_rng, names, seconds)
    faults.sort(key=lambda fault: fault.at)
    return Schedule(members, seconds, seed, faults)


def _term_during_pause(rng: random.Random, names: list[str], seconds: float) -> list[Fault]:
    """Draws a SIGTERM to a paused member, which cannot handle it before it resumes."""
    who, pause_at = [rng.choice(names)], round(rng.uniform(0.3, 0.5 * seconds), 2)
    term_at = round(pause_at + rng.uniform(0.05, 1.5), 2)
    resume_at = round(term_at + rng.uniform(0.05, 2.0), 2)
    return [Fault(pause_at, "pause", who, amount=round(resume_at - pause_at, 2)), Fault(term_at, "term", who),
            Fault(round(resume_at + 2.5, 2), "start", who)]


def _random_faults(kind: str, rng: random.Random, names: list[str], seconds: float) -> list[Fault]:
    """Draws one fault of a kind, with the event that ends it."""
    start = round(rng.uniform(0.2, 0.6 * seconds), 2)
    end = round(min(seconds, start + rng.uniform(0.5, 0.4 * seconds)), 2)
    chosen = rng.sample(names, rng.randint(1, max(1, len(names) // 3)))
    rest = [name for name in names if name not in chosen]
    match kind:
        case "kill" | "restart":
            restart = [Fault(end, "start", chosen, how=rng.choice(["kept", "emptied", "old", "damaged"]))]
            return [Fault(start, "kill", chosen), *(restart if kind == "restart" else [])]
        case "drain":
            return [Fault(start, "term", chosen[:1]), Fault(max(end, start + 2.5), "start", chosen[:1])]
        case "pause":
            return [Fault(start, "pause", chosen, amount=round(rng.uniform(0.2, 3.0), 2))]
        case "clock":
            return [Fault(start, "clock", chosen, amount=rng.choice([0.98, 1.02]), jitter=rng.choice([0.0, 1.5]))]
        case "reset":
            return [Fault(start, "reset", chosen, both=True)]
        case "cut":
            return [Fault(start, "cut", chosen, rest, both=rng.random() < 0.5),
                    Fault(end, "heal", chosen, rest, True)]
        case "half":
            half = rng.sample(names, len(names) // 2)
            other = [name for name in names if name not in half]
            return [Fault(start, "cut", half, other, both=True), Fault(end, "heal", half, other, True)]
        case "delay":
            fault = Fault(start, "delay", chosen, both=True, amount=round(rng.uniform(0.01, 0.2), 3),
                          jitter=round(rng.uniform(0, 0.2), 3))
        case "cap":
            fault = Fault(start, "cap", chosen, rest, both=True, amount=rng.choice([2_000.0, 20_000.0]))
        case "lose":
            fault = Fault(start, "lose", chosen, rest, both=True, amount=round(rng.uniform(0.05, 0.4), 2))
        case "double":
            fault = Fault(start, "double", chosen, rest, both=True, amount=0.3)
        case "reorder":
            fault = Fault(start, "reorder", chosen, rest, both=True, amount=0.3)
        case _:
            fault = Fault(start, "spoil", chosen, rest, both=True, amount=0.3)
    return [fault, Fault(end, "heal", fault.who, fault.to, True)]


def scene_schedule(name: str, members: int, seed: int = 1) -> Schedule:
    """Returns the schedule of a named scene, for tests, measurements and `hollystage lab fleet --scene`.

    Raises:
        KeyError: there is no scene of this name.
    """
    names = [f"m{n}" for n in range(members)]
    if name in RECOVERY_SCENES:
        changes = {"heeds": False, "tries": 1000} if name == "no limit to tries" else {}
        return Schedule(members, 24, seed, recovery_scene(name, names)[0], load=RECOVERY_LOAD | changes)
    if name in BUDGET_SCENES:
        return budget_scene(name, names, seed)
    quarter, three_quarters, half = names[3:3 + max(1, members // 4)], names[:members * 3 // 4], names[:members // 2]
    rest = [name for name in names if name not in half]
    lossy = Fault(0, "lose", names, names, amount=0.3)
    flapping = [Fault(1 + n, "cut" if n % 2 == 0 else "heal", names[:1], names[1:2], both=True) for n in range(10)]
    scenes: dict[str, tuple[float, list[Fault]]] = {
        "calm": (10, []),
        "three killed": (10, [Fault(1, "kill", quarter)]),
        "three killed, lossy": (18, [lossy, Fault(5, "kill", quarter)]),
        "nine restarted": (14, [Fault(1, "kill", three_quarters), Fault(1.5, "start", three_quarters)]),
        "nine restarted, state lost": (14, [
            Fault(1, "kill", three_quarters), Fault(1.5, "start", three_quarters, how="emptied")]),
        "half and half": (14, [Fault(1, "cut", half, rest, both=True), Fault(11, "heal", half, rest, both=True)]),
        "one way": (12, [Fault(1, "cut", names[1:2], names), Fault(9, "heal", names[1:2], names)]),
        "paused": (9, [Fault(1, "pause", names[4:5], amount=3.0)]),
        "many paused": (13, [Fault(0, "delay", names, names, amount=0.08, jitter=0.03), *(
            Fault(1 + 5 * n, "pause", names[n::2], amount=2.0) for n in range(2))]),
        "flapping": (13, flapping),
        "named down": (16, [Fault(1, "kill", names), Fault(2, "start", names[3:]), Fault(10, "start", names[:3])]),
        "resets": (10, [Fault(0.5 + 0.4 * n, "reset", ["clients"], names) for n in range(22)]),
        "drained": (9, [Fault(1, "term", names[2:4]), Fault(4, "start", names[2:4])]),
    }
    seconds, faults = scenes[name]
    return Schedule(members, seconds, seed, faults)


def recovery_scene(case: str, names: list[str]) -> tuple[list[Fault], int]:
    """Returns the faults of a recovery scene and the number of killed members, for real processes and simulations."""
    kill_count = len(names) * 3 // 4
    killed, third, half, rest = names[:kill_count], names[2::3], names[::2], names[1::2]

    def restart(who: list[str], at: float = 0.0, how: str = "") -> list[Fault]:
        return [Fault(at, "kill", who), Fault(at + 0.5, "start", who, how=how)]
    at_once = restart(killed)

    def clock(jump: float) -> list[Fault]:
        return [Fault(0, "kill", killed), Fault(0.1, "clock", killed, amount=1, jitter=jump),
                Fault(0.5, "start", killed)]
    cases: dict[str, tuple[list[Fault], int]] = {
        "nine at once": (at_once, kill_count),
        "all at once": (restart(names), len(names)),
        "one after another": ([f for n, name in enumerate(killed) for f in restart([name], 4.5 * n / kill_count)],
                              kill_count),
        "into a slow ledger": ([*at_once, Fault(0, "call", ["ledgers"], how='{"do": "slow", "factor": 8}'),
                                Fault(12, "call", ["ledgers"], how='{"do": "slow", "factor": 1}')], kill_count),
        "cut in two": ([*at_once, Fault(0, "cut", half, rest, both=True),
                        Fault(10, "heal", half, rest, both=True)], kill_count),
        "state lost": (restart(killed, how="emptied"), kill_count),
        "state lost by half": ([*restart(killed[::2], how="emptied"), *restart(killed[1::2])], kill_count),
        "state an hour old": (clock(3600.0), kill_count),
        "clocks back a day": (clock(-86_400.0), kill_count),
        "clocks on a day": (clock(86_400.0), kill_count),
        "a crash loop": ([*at_once, *(f for n in range(6) for f in restart(names[:1], 2.5 + 2.5 * n))], kill_count),
        "killed in the ramp": ([*at_once, *restart(killed[::2], 3.0)], kill_count),
        "a zone is slow": ([*at_once, Fault(0, "delay", third, both=True, amount=0.3)], kill_count),
        "no limit to tries": (at_once, kill_count),
        "another plan": (restart(killed, how="replanned"), kill_count),
        "a survivor paused": ([*at_once, Fault(0.2, "pause", names[-1:], amount=3.0)], kill_count),
        "killed again and again": ([f for n in range(6) for f in restart(killed, 0.1 + 3.0 * n)], kill_count),
    }
    return cases[case]


def budget_scene(case: str, names: list[str], seed: int) -> Schedule:
    """Returns the schedule of a budget scene.

    One member has half of the demand, and the total demand leaves few units of the budget unused.
    """
    first, voters, kill_count = names[0], names[:3], len(names) * 3 // 4
    half, rest = names[::2], names[1::2]

    def prefer(at: float, name: str) -> Fault:
        return Fault(at, "call", ["clients"], how=f'{{"do": "favour", "name": "{name}", "share": 0.5}}')
    first_preference = prefer(0, names[-1])
    one_by_one = list(zip((1.0, 4.0, 7.0), voters, strict=False))  # the allocator is one of them
    cases: dict[str, list[Fault]] = {
        "budgets": [],
        "budgets, need jumps": [prefer(1.0 + n, name) for n, name in enumerate((names * 12)[:11])],
        "budgets, nine killed": [Fault(2, "kill", names[:kill_count]), Fault(7, "start", names[:kill_count])],
        "budgets, six replaced": [f for n, name in enumerate(names[:len(names) * 6 // 10]) for f in (
            Fault(1 + n, "term", [name]), Fault(3 + n, "start", [name]))],
        "budgets, cut in two": [Fault(1, "cut", half, rest, both=True), Fault(9, "heal", half, rest, both=True)],
        "budgets, divider killed": [f for at, name in one_by_one for f in (
            Fault(at, "kill", [name]), Fault(at + 1.5, "start", [name], how="emptied"))],
        "budgets, divider paused": [Fault(at, "pause", [name], amount=2.5) for at, name in one_by_one],
        "budgets, lossy": [Fault(0, kind, names, names, amount=0.3) for kind in ("lose", "double", "reorder")],
        "budgets, one way": [Fault(1, "cut", [first], names[1:]), Fault(6, "cut", names[2:], names[1:2])],
        "budgets, clocks apart": [Fault(0, "clock", [name], amount=0.99 if n % 2 else 1.01)
                                  for n, name in enumerate(names)],
        "budgets, all paused in turn": [Fault(0.5 + n, "pause", [name], amount=2.0) for n, name in enumerate(names)],
        "budgets, fewer units than members": [Fault(3, "kill", names[2:4]), Fault(6, "start", names[2:4])],
        "budgets, state lost": [Fault(2, "kill", names), Fault(2.5, "start", names, how="emptied")],
    }
    is_small = "fewer" in case
    total = max(2, len(names) // 2) if is_small else 2 * len(names) + 8
    load = BUDGET_LOAD | {"whole": total, "floor": int(not is_small), "calls_out": float(total)}
    return Schedule(len(names), 13, seed, [first_preference, *cases[case]], load=load)


BUDGET_SCENES = (
    "budgets", "budgets, need jumps", "budgets, nine killed", "budgets, six replaced", "budgets, cut in two",
    "budgets, divider killed", "budgets, divider paused", "budgets, lossy", "budgets, one way",
    "budgets, clocks apart", "budgets, all paused in turn", "budgets, fewer units than members",
    "budgets, state lost")

BUDGET_LOAD: dict[str, Any] = {  # 198 calls/s of 120 ms: about 24 in progress; 12 members share 32 units
    "ledger_slots": 500, "ledger_mean_ms": 120.0, "linger_ms": 1000, "rate": 300.0,
    "clients": 200, "work_s": 0.01, "warm_up_s": 4.0}

RECOVERY_SCENES = (
    "nine at once", "all at once", "one after another", "into a slow ledger", "cut in two", "state lost",
    "state lost by half", "state an hour old", "clocks back a day", "clocks on a day", "a crash loop",
    "killed in the ramp", "a zone is slow", "no limit to tries", "another plan", "a survivor paused",
    "killed again and again")

RECOVERY_LOAD: dict[str, Any] = {  # 12 members at 80% of their warm capacity; 40% speed after a start, warm after 6 s
    "cores": 1, "work_s": 0.05, "cold": 0.4, "warm_s": 6.0, "rate": 190.0, "clients": 150, "warm_up_s": 8.0,
    "ledger_slots": 18, "ledger_mean_ms": 60.0, "calls_out": 18.0, "hold_deadline_ms": 5000}

SCENES = ("calm", "three killed", "three killed, lossy", "nine restarted", "nine restarted, state lost",
          "half and half", "one way", "paused", "many paused", "flapping", "named down", "resets", "drained",
          *RECOVERY_SCENES, *BUDGET_SCENES)


def minimize_faults(faults: list[Fault], fails: Callable[[list[Fault]], bool], max_runs: int = 40) -> list[Fault]:
    """Minimizes a failing list of faults by delta debugging (Zeller and Hildebrandt, 2002).

    Leaves out smaller and smaller parts as long as the rest still fails. `max_runs` bounds the calls of `fails`; the
    returned list fails also if they are used up.

    >>> bad = [Fault(at, "kill", ["m1"]) for at in range(9)]
    >>> [f.at for f in minimize_faults(bad, lambda left: {2.0, 7.0} <= {float(f.at) for f in left})]
    [2, 7]
    """
    parts = 2
    while len(faults) > 1 and max_runs > 0:
        size = -(-len(faults) // parts)
        for start in range(0, len(faults), size):
            rest = faults[:start] + faults[start + size:]
            max_runs -= 1
            if rest and fails(rest):
                faults, parts = rest, max(2, parts - 1)
                break
            if max_runs <= 0:
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), 2 * parts)
    return faults
