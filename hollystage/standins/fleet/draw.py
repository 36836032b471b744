"""Schedules drawn from a seed, and a failing one cut down to the fewest events that still fail."""
from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .faults import Fault, Schedule

KINDS = ("kill", "restart", "pause", "cut", "half", "lose", "delay", "double", "reorder", "spoil", "cap", "reset",
         "drain", "clock")
ASLEEP = 0.4  # share of schedules with a notice to leave that comes in a pause


def drawn(seed: int, members: int = 12, seconds: float = 10.0, kinds: tuple[str, ...] = KINDS) -> Schedule:
    """Two to six troubles at times of their own; each ends within the schedule, or is healed at its end."""
    chance = random.Random(seed)
    names = [f"m{n}" for n in range(members)]
    faults: list[Fault] = []
    for _ in range(chance.randint(2, 6)):
        faults += _trouble(chance.choice(kinds), chance, names, seconds)
    # from a source of its own: the rest of a seed's schedule stays what it was before this was drawn
    apart = random.Random(f"{seed}: a notice in a pause")
    if {"pause", "drain"} <= set(kinds) and apart.random() < ASLEEP:
        faults += _asleep(apart, names, seconds)
    faults.sort(key=lambda fault: fault.at)
    return Schedule(members, seconds, seed, faults)


def _asleep(chance: random.Random, names: list[str], seconds: float) -> list[Fault]:
    """A notice to leave that its member can't hear before it wakes."""
    who, at = [chance.choice(names)], round(chance.uniform(0.3, 0.5 * seconds), 2)
    told = round(at + chance.uniform(0.05, 1.5), 2)
    wakes = round(told + chance.uniform(0.05, 2.0), 2)
    return [Fault(at, "pause", who, amount=round(wakes - at, 2)), Fault(told, "term", who),
            Fault(round(wakes + 2.5, 2), "start", who)]


def _trouble(kind: str, chance: random.Random, names: list[str], seconds: float) -> list[Fault]:
    at = round(chance.uniform(0.2, 0.6 * seconds), 2)
    until = round(min(seconds, at + chance.uniform(0.5, 0.4 * seconds)), 2)
    some = chance.sample(names, chance.randint(1, max(1, len(names) // 3)))
    rest = [name for name in names if name not in some]
    match kind:
        case "kill" | "restart":
            again = [Fault(until, "start", some, how=chance.choice(["kept", "emptied", "old", "damaged"]))]
            return [Fault(at, "kill", some), *(again if kind == "restart" else [])]
        case "drain":
            return [Fault(at, "term", some[:1]), Fault(max(until, at + 2.5), "start", some[:1])]
        case "pause":
            return [Fault(at, "pause", some, amount=round(chance.uniform(0.2, 3.0), 2))]
        case "clock":
            return [Fault(at, "clock", some, amount=chance.choice([0.98, 1.02]), jitter=chance.choice([0.0, 1.5]))]
        case "reset":
            return [Fault(at, "reset", some, both=True)]
        case "cut":
            return [Fault(at, "cut", some, rest, both=chance.random() < 0.5), Fault(until, "heal", some, rest, True)]
        case "half":
            half = chance.sample(names, len(names) // 2)
            other = [name for name in names if name not in half]
            return [Fault(at, "cut", half, other, both=True), Fault(until, "heal", half, other, True)]
        case "delay":
            fault = Fault(at, "delay", some, both=True, amount=round(chance.uniform(0.01, 0.2), 3),
                          jitter=round(chance.uniform(0, 0.2), 3))
        case "cap":
            fault = Fault(at, "cap", some, rest, both=True, amount=chance.choice([2_000.0, 20_000.0]))
        case "lose":
            fault = Fault(at, "lose", some, rest, both=True, amount=round(chance.uniform(0.05, 0.4), 2))
        case "double":
            fault = Fault(at, "double", some, rest, both=True, amount=0.3)
        case "reorder":
            fault = Fault(at, "reorder", some, rest, both=True, amount=0.3)
        case _:
            fault = Fault(at, "spoil", some, rest, both=True, amount=0.3)
    return [fault, Fault(until, "heal", fault.who, fault.to, True)]


def scene(name: str, members: int, seed: int = 1) -> Schedule:
    """A trouble with a name; the same for tests, measurements and whoever wants to see one.

    Raises:
        KeyError: no scene is called so.
    """
    names = [f"m{n}" for n in range(members)]
    if name in HARD:
        heedless = {"heeds": False, "tries": 1000} if name == "no limit to tries" else {}
        return Schedule(members, 24, seed, hard(name, names)[0], load=HARD_LOAD | heedless)
    if name in SHARED:
        return shared(name, names, seed)
    quarter, most, half = names[3:3 + max(1, members // 4)], names[:members * 3 // 4], names[:members // 2]
    rest = [name for name in names if name not in half]
    lossy = Fault(0, "lose", names, names, amount=0.3)
    flaps = [Fault(1 + n, "cut" if n % 2 == 0 else "heal", names[:1], names[1:2], both=True) for n in range(10)]
    scenes: dict[str, tuple[float, list[Fault]]] = {
        "calm": (10, []),
        "three killed": (10, [Fault(1, "kill", quarter)]),
        "three killed, lossy": (18, [lossy, Fault(5, "kill", quarter)]),
        "nine restarted": (14, [Fault(1, "kill", most), Fault(1.5, "start", most)]),
        "nine restarted, state lost": (14, [Fault(1, "kill", most), Fault(1.5, "start", most, how="emptied")]),
        "half and half": (14, [Fault(1, "cut", half, rest, both=True), Fault(11, "heal", half, rest, both=True)]),
        "one way": (12, [Fault(1, "cut", names[1:2], names), Fault(9, "heal", names[1:2], names)]),
        "paused": (9, [Fault(1, "pause", names[4:5], amount=3.0)]),
        "many paused": (13, [Fault(0, "delay", names, names, amount=0.08, jitter=0.03), *(
            Fault(1 + 5 * n, "pause", names[n::2], amount=2.0) for n in range(2))]),
        "flapping": (13, flaps),
        "named down": (16, [Fault(1, "kill", names), Fault(2, "start", names[3:]), Fault(10, "start", names[:3])]),
        "resets": (10, [Fault(0.5 + 0.4 * n, "reset", ["clients"], names) for n in range(22)]),
        "drained": (9, [Fault(1, "term", names[2:4]), Fault(4, "start", names[2:4])]),
    }
    seconds, faults = scenes[name]
    return Schedule(members, seconds, seed, faults)


def hard(case: str, names: list[str]) -> tuple[list[Fault], int]:
    """A coming back, in the words of schedules, and how many are killed; the same for real processes and the twin."""
    many = len(names) * 3 // 4
    most, third, half, rest = names[:many], names[2::3], names[::2], names[1::2]

    def again(who: list[str], at: float = 0.0, how: str = "") -> list[Fault]:
        return [Fault(at, "kill", who), Fault(at + 0.5, "start", who, how=how)]
    at_once = again(most)

    def clock(by: float) -> list[Fault]:
        return [Fault(0, "kill", most), Fault(0.1, "clock", most, amount=1, jitter=by), Fault(0.5, "start", most)]
    cases: dict[str, tuple[list[Fault], int]] = {
        "nine at once": (at_once, many),
        "all at once": (again(names), len(names)),
        "one after another": ([f for n, name in enumerate(most) for f in again([name], 4.5 * n / many)], many),
        "into a slow ledger": ([*at_once, Fault(0, "call", ["ledgers"], how='{"do": "slow", "factor": 8}'),
                                Fault(12, "call", ["ledgers"], how='{"do": "slow", "factor": 1}')], many),
        "cut in two": ([*at_once, Fault(0, "cut", half, rest, both=True),
                        Fault(10, "heal", half, rest, both=True)], many),
        "state lost": (again(most, how="emptied"), many),
        "state lost by half": ([*again(most[::2], how="emptied"), *again(most[1::2])], many),
        "state an hour old": (clock(3600.0), many),
        "clocks back a day": (clock(-86_400.0), many),
        "clocks on a day": (clock(86_400.0), many),
        "a crash loop": ([*at_once, *(f for n in range(6) for f in again(names[:1], 2.5 + 2.5 * n))], many),
        "killed in the ramp": ([*at_once, *again(most[::2], 3.0)], many),
        "a zone is slow": ([*at_once, Fault(0, "delay", third, both=True, amount=0.3)], many),
        "no limit to tries": (at_once, many),
        "another plan": (again(most, how="replanned"), many),
        "a survivor paused": ([*at_once, Fault(0.2, "pause", names[-1:], amount=3.0)], many),
        "killed again and again": ([f for n in range(6) for f in again(most, 0.1 + 3.0 * n)], many),
    }
    return cases[case]


def shared(case: str, names: list[str], seed: int) -> Schedule:
    """A budget of calls under one trouble: `load` has the need of one member at half of all, and little to spare."""
    first, voters, many = names[0], names[:3], len(names) * 3 // 4
    half, rest = names[::2], names[1::2]

    def favour(at: float, name: str) -> Fault:
        return Fault(at, "call", ["clients"], how=f'{{"do": "favour", "name": "{name}", "share": 0.5}}')
    begin = favour(0, names[-1])
    one_by_one = list(zip((1.0, 4.0, 7.0), voters, strict=False))  # the divider is among them
    cases: dict[str, list[Fault]] = {
        "budgets": [],
        "budgets, need jumps": [favour(1.0 + n, name) for n, name in enumerate((names * 12)[:11])],
        "budgets, nine killed": [Fault(2, "kill", names[:many]), Fault(7, "start", names[:many])],
        "budgets, six replaced": [f for n, name in enumerate(names[:len(names) * 6 // 10]) for f in (
            Fault(1 + n, "term", [name]), Fault(3 + n, "start", [name]))],
        "budgets, cut in two": [Fault(1, "cut", half, rest, both=True), Fault(9, "heal", half, rest, both=True)],
        "budgets, divider killed": [f for at, name in one_by_one for f in (
            Fault(at, "kill", [name]), Fault(at + 1.5, "start", [name], how="emptied"))],
        "budgets, divider paused": [Fault(at, "pause", [name], amount=2.5) for at, name in one_by_one],
        "budgets, lossy": [Fault(0, word, names, names, amount=0.3) for word in ("lose", "double", "reorder")],
        "budgets, one way": [Fault(1, "cut", [first], names[1:]), Fault(6, "cut", names[2:], names[1:2])],
        "budgets, clocks apart": [Fault(0, "clock", [name], amount=0.99 if n % 2 else 1.01)
                                  for n, name in enumerate(names)],
        "budgets, all paused in turn": [Fault(0.5 + n, "pause", [name], amount=2.0) for n, name in enumerate(names)],
        "budgets, fewer units than members": [Fault(3, "kill", names[2:4]), Fault(6, "start", names[2:4])],
        "budgets, state lost": [Fault(2, "kill", names), Fault(2.5, "start", names, how="emptied")],
    }
    few = "fewer" in case
    whole = max(2, len(names) // 2) if few else 2 * len(names) + 8
    load = SHARED_LOAD | {"whole": whole, "floor": int(not few), "calls_out": float(whole)}
    return Schedule(len(names), 13, seed, [begin, *cases[case]], load=load)


SHARED = ("budgets", "budgets, need jumps", "budgets, nine killed", "budgets, six replaced", "budgets, cut in two",
          "budgets, divider killed", "budgets, divider paused", "budgets, lossy", "budgets, one way",
          "budgets, clocks apart", "budgets, all paused in turn", "budgets, fewer units than members",
          "budgets, state lost")

SHARED_LOAD: dict[str, Any] = {  # calls of 120 ms: what is asked for is a little more than the whole
    "ledger_slots": 500, "ledger_mean_ms": 120.0, "linger_ms": 1000, "rate": 300.0,
    "clients": 200, "work_s": 0.01, "warm_up_s": 4.0}

HARD = ("nine at once", "all at once", "one after another", "into a slow ledger", "cut in two", "state lost",
        "state lost by half", "state an hour old", "clocks back a day", "clocks on a day", "a crash loop",
        "killed in the ramp", "a zone is slow", "no limit to tries", "another plan", "a survivor paused",
        "killed again and again")

HARD_LOAD: dict[str, Any] = {  # 12 members at four fifths of what they can do warm; cold at 40%, warm after 6 s
    "cores": 1, "work_s": 0.05, "cold": 0.4, "warm_s": 6.0, "rate": 190.0, "clients": 150, "warm_up_s": 8.0,
    "ledger_slots": 18, "ledger_mean_ms": 60.0, "calls_out": 18.0, "hold_deadline_ms": 5000}

SCENES = ("calm", "three killed", "three killed, lossy", "nine restarted", "nine restarted, state lost",
          "half and half", "one way", "paused", "many paused", "flapping", "named down", "resets", "drained",
          *HARD, *SHARED)


def fewest(faults: list[Fault], fails: Callable[[list[Fault]], bool], most: int = 40) -> list[Fault]:
    """Delta debugging (Zeller and Hildebrandt, 2002): ever smaller parts are left out while it still fails.

    `most` plays at the most; what is left when they are used up still fails.

    >>> bad = [Fault(at, "kill", ["m1"]) for at in range(9)]
    >>> [f.at for f in fewest(bad, lambda left: {2.0, 7.0} <= {float(f.at) for f in left})]
    [2, 7]
    """
    parts = 2
    while len(faults) > 1 and most > 0:
        size = -(-len(faults) // parts)
        for at in range(0, len(faults), size):
            rest = faults[:at] + faults[at + size:]
            most -= 1
            if rest and fails(rest):
                faults, parts = rest, max(2, parts - 1)
                break
            if most <= 0:
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), 2 * parts)
    return faults
