"""A member as the rig starts it: `hollystage serve`, with its history told, its clock bent and maybe a fault seeded.

    python -m hollystage.standins.fleet.member SPEC

SPEC is a JSON file: name, folder, plan, clock (a file with "rate jump_s", read again on SIGUSR2), break.
"""
from __future__ import annotations

import json
import runpy
import signal
import sys
import time
from typing import Any

from .history import History


class Bent:
    """The program's one clock, as the rig wants it; it never goes back within one process but by a jump."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.real = (time.time_ns() - time.monotonic_ns()) // 1000
        self.from_, self.at = time.monotonic_ns() // 1000, time.time_ns() // 1000
        self.rate, self.jump = 1.0, 0.0
        self.read()

    def __call__(self) -> int:
        return int(self.at + (time.monotonic_ns() // 1000 - self.from_) * self.rate)

    def read(self, *_: Any) -> None:
        with open(self.path) as file:
            rate, jump = map(float, file.read().split())
        now = self()
        self.from_, self.at = time.monotonic_ns() // 1000, int(now + (jump - self.jump) * 1e6)
        self.rate, self.jump = rate, jump


def _watch_coming_back(history: History) -> None:
    """What was believed after a start, what was kept for the next, and who was asked for what was lost."""
    from ...service.steering import Steering

    begin, keep, borrow = Steering.begin, Steering._keep, Steering._borrow

    def begun(self: Steering, control: Any, now: int) -> None:
        begin(self, control, now)
        history.write("sown", stored=self.stored is not None, used=self.used, age=self.age)

    def kept(self: Steering, *more: Any) -> None:
        before = self.counters.read().get("state.kept", 0)
        keep(self, *more)
        if self.counters.read().get("state.kept", 0) > before:
            history.write("kept")

    def borrowed(self: Steering, *more: Any) -> None:
        borrow(self, *more)
        history.write("borrowed", lenders=len(self.lent), taken=self.counters.read().get("state.borrowed", 0))
    for name, method in (("begin", begun), ("_keep", kept), ("_borrow", borrowed)):
        setattr(Steering, name, method)


def main() -> None:
    with open(sys.argv[1]) as file:
        spec = json.load(file)
    history = History(spec["folder"], spec["name"])
    from ...service import driver

    bent = Bent(spec["clock"])
    driver.clock = bent  # before anything else has taken it
    signal.signal(signal.SIGUSR2, bent.read)
    from ...decisions.membership.words import Event
    from ...fleet.agent import Agent

    told = Agent.tell

    def tell(self: Agent, event: Event) -> None:
        history.write("peer", event=event.what, about=event.who, detail=event.detail,
                      boot=self.members.me.boot, birth=self.members.me.birth)
        told(self, event)
    Agent.tell = tell  # type: ignore[method-assign]
    arrived = driver.Driver.arrived

    def read(self: driver.Driver, exchange: Any) -> str:
        history.write("read", rpc=exchange.ident)
        return arrived(self, exchange)
    driver.Driver.arrived = read  # type: ignore[method-assign]
    _watch_coming_back(history)
    if spec.get("break"):
        from .breaks import BREAKS
        BREAKS[spec["break"]]()
    history.write("started", broken=spec.get("break", ""))
    sys.argv = ["hollystage", "serve", "--plan", spec["plan"]]
    runpy.run_module("hollystage", run_name="__main__")


if __name__ == "__main__":
    main()
