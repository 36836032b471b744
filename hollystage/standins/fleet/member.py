"""A member as the rig starts it: `hollystage serve` with a history, an adjustable clock and possibly a seeded fault.

    python -m hollystage.standins.fleet.member SPEC

SPEC is a JSON file with the keys name, folder, plan, clock (path of a file that holds "rate offset_s", read again on
SIGUSR2) and break (name of a seeded fault, or empty).
"""
from __future__ import annotations

import json
import runpy
import signal
import sys
import time
from typing import Any

from .history import History


class AdjustableClock:
    """Replacement of the program's clock, with a rate and an offset that the rig changes while the process runs.

    The time is continuous when the rate changes; only a change of the offset makes it jump. Microseconds.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.base_monotonic, self.base_time = time.monotonic_ns() // 1000, time.time_ns() // 1000
        self.rate, self.jump = 1.0, 0.0
        self.reload()

    def __call__(self) -> int:
        return int(self.base_time + (time.monotonic_ns() // 1000 - self.base_monotonic) * self.rate)

    def reload(self, *_: Any) -> None:
        """Reads rate and offset from the file; also the handler of SIGUSR2."""
        with open(self.path) as file:
            rate, offset = map(float, file.read().split())
        now = self()
        self.base_monotonic, self.base_time = time.monotonic_ns() // 1000, int(now + (offset - self.jump) * 1e6)
        self.rate, self.jump = rate, offset


def _record_recovery(history: History) -> None:
    """Writes to the history what a start restored, each snapshot written, and each fetch from peers."""
    from ...service.recovery_manager import RecoveryManager

    initialize, write_snapshot, fetch = (
        RecoveryManager.initialize, RecoveryManager._write_snapshot, RecoveryManager._fetch_from_peers)

    def recorded_initialize(self: RecoveryManager, control: Any, now: int) -> None:
        initialize(self, control, now)
        history.write("sown", stored=self.stored is not None, used=self.restored_weights, age=self.stored_age_s)

    def recorded_write(self: RecoveryManager, *arguments: Any) -> None:
        before = self.counters.read().get("state.kept", 0)
        write_snapshot(self, *arguments)
        if self.counters.read().get("state.kept", 0) > before:
            history.write("kept")

    def recorded_fetch(self: RecoveryManager, *arguments: Any) -> None:
        fetch(self, *arguments)
        history.write("borrowed", lenders=len(self.fetched), taken=self.counters.read().get("state.borrowed", 0))
    for name, method in (("initialize", recorded_initialize), ("_write_snapshot", recorded_write),
                         ("_fetch_from_peers", recorded_fetch)):
        setattr(RecoveryManager, name, method)


def main() -> None:
    """Instruments the program, seeds the fault and runs `hollystage serve`."""
    with open(sys.argv[1]) as file:
        spec = json.load(file)
    history = History(spec["folder"], spec["name"])
    from ...service import driver

    clock = AdjustableClock(spec["clock"])
    driver.clock = clock  # before other modules import the clock
    signal.signal(signal.SIGUSR2, clock.reload)
    from ...decisions.membership.messages import Event
    from ...fleet.agent import Agent

    log_event = Agent.log_event

    def recorded_log_event(self: Agent, event: Event) -> None:
        history.write("peer", event=event.kind, about=event.member, detail=event.detail,
                      boot=self.members.me.boot, birth=self.members.me.birth)
        log_event(self, event)
    Agent.log_event = recorded_log_event  # type: ignore[method-assign]
    receive = driver.Driver.arrived

    def recorded_receive(self: driver.Driver, exchange: Any) -> str:
        history.write("read", rpc=exchange.request_id)
        return receive(self, exchange)
    driver.Driver.arrived = recorded_receive  # type: ignore[method-assign]
    _record_recovery(history)
    if spec.get("break"):
        from .seeded_faults import SEEDED_FAULTS
        SEEDED_FAULTS[spec["break"]]()
    history.write("started", broken=spec.get("break", ""))
    sys.argv = ["hollystage", "serve", "--plan", spec["plan"]]
    runpy.run_module("hollystage", run_name="__main__")


if __name__ == "__main__":
    main()
