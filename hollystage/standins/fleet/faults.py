"""Faults, schedules of them, and their effect on messages between two parties.

The switchboard (real sockets) and the fleet simulation (virtual time) share this model of links and faults.
"""
from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

LINK_FAULTS = ("cut", "delay", "lose", "double", "reorder", "spoil", "cap", "hold", "reset", "heal")
PARTY_FAULTS = ("kill", "pause", "term", "start", "clock", "call")
FaultKind = Literal["cut", "delay", "lose", "double", "reorder", "spoil", "cap", "hold", "reset", "heal",
             "kill", "pause", "term", "start", "clock", "call"]


class Fault(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One event of a schedule.

    `at`: seconds from the start of the schedule. Link faults act on the links from each of `who` to each of `to` (all
    other parties if it is empty), with `both` also in the other direction. `amount`: seconds (delay: the minimum;
    pause), a probability (lose, double, reorder, spoil), bytes per second (cap), a rate (clock). `jitter`: additional
    seconds (delay), seconds by which the clock jumps (clock). `how`: the state at a start (kept, emptied, old,
    damaged, replanned), or the JSON command to a stand-in (call).
    """

    at: Annotated[float, msgspec.Meta(ge=0, le=3600)]
    do: FaultKind
    who: list[str]
    to: list[str] = []
    both: bool = False
    amount: float = 0.0
    jitter: float = 0.0
    how: str = ""


class Schedule(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The faults of one run, read from a file or drawn from a seed; enough to repeat the run.

    `load`: fields of the rig's `Load` that differ from their defaults.
    """

    members: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 12
    seconds: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 10.0
    seed: int = 1
    faults: list[Fault] = []
    zones: Annotated[int, msgspec.Meta(ge=1, le=20)] = 3
    load: dict[str, bool | int | float | str] = {}

    def unknown_party(self) -> str:
        """Returns the first name that is no party of this schedule, or an empty string."""
        parties = {f"m{n}" for n in range(self.members)} | {f"z{n}" for n in range(self.zones)}
        parties |= {f"vm-{name}" for name in parties} | {f"ledger-{name}" for name in parties}
        parties |= {"all", "clients", "control", "ledgers", "interpreters"}
        return next((name for fault in self.faults for name in (*fault.who, *fault.to) if name not in parties), "")

    def fault_counts(self) -> dict[str, int]:
        """Returns the number of faults of each kind."""
        counts: dict[str, int] = {}
        for fault in self.faults:
            counts[fault.do] = counts.get(fault.do, 0) + 1
        return dict(sorted(counts.items()))


class Link(msgspec.Struct):
    """State of the link from one party to another; the numbers are those of `Fault`."""

    cut: bool = False
    held: bool = False  # connections stay open and transfer nothing
    delay: float = 0.0
    jitter: float = 0.0
    lose: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    spoil: float = 0.0
    cap: float = 0.0
    busy_until: float = 0.0  # time until which bytes sent earlier occupy the capped link, seconds


class Network:
    """The links with faults, by ordered pair of parties; all other links deliver at once."""

    def __init__(self, seed: int) -> None:
        self.links: dict[tuple[str, str], Link] = {}
        self.rng = random.Random(seed)

    def apply(self, fault: Fault, parties: Iterable[str]) -> list[tuple[str, str]]:
        """Applies a link fault; returns the affected pairs."""
        all_parties = list(parties)
        pairs = [(a, b) for a in fault.who for b in (fault.to or all_parties) if a != b]
        if fault.both:
            pairs += [(b, a) for a, b in pairs]
        for pair in pairs:
            if fault.do == "heal":
                self.links.pop(pair, None)
                continue
            link = self.links.setdefault(pair, Link())
            match fault.do:
                case "cut":
                    link.cut = True
                case "hold":
                    link.held = True
                case "delay":
                    link.delay, link.jitter = fault.amount, fault.jitter
                case "lose" | "double" | "reorder" | "spoil" | "cap":
                    setattr(link, fault.do, fault.amount)
        return pairs

    def deliveries(self, pair: tuple[str, str], size: int, now: float) -> list[tuple[float, bool]]:
        """Returns, for each delivered copy of a datagram, the delay in seconds and whether it is corrupted."""
        link = self.links.get(pair)
        if link is None:
            return [(0.0, False)]
        rng = self.rng
        if link.cut or link.held or link.lose and rng.random() < link.lose:
            return []
        delay = link.delay + link.jitter * rng.random()
        if link.cap:
            link.busy_until = max(link.busy_until, now) + size / link.cap
            delay += link.busy_until - now
            if link.busy_until - now > 1.0:  # queue of one second, as in a router; the rest is dropped
                link.busy_until -= size / link.cap
                return []
        if link.reorder and rng.random() < link.reorder:
            delay += 0.005 + 0.05 * rng.random()
        copies = [(delay, bool(link.spoil) and rng.random() < link.spoil)]
        if link.double and rng.random() < link.double:
            copies.append((delay + 0.02 * rng.random(), False))
        return copies
