"""What an instance knows beside its own experience, brought to the module: stored state, peers, what may have run.

The driver asks under its lock; files and peers are spoken to by a thread of their own: no RPC waits for either.
"""
from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..control import Control
from ..decisions.comeback import recovery
from ..decisions.comeback.pilot import Pilot, Pressure
from ..decisions.comeback.recovery import Doubt, Learned
from ..decisions.membership.records import View
from ..decisions.turns import Turns
from ..fleet.agent import Agent
from ..fleet.codec import Fetch, Lent
from ..store import snapshot
from ..store.folder import Folder, Unusable
from ..store.snapshot import Snapshot
from .counters import Counters
from .driver import Driver
from .exchange import Exchange

LOOK_S = 0.5
LENDERS = 2  # peers that are asked for what was lost
FRESH_RUNS = 30.0  # own runs beyond which nothing lent is taken
EVER = 1 << 62


class Bounding(Protocol):
    """A budget's part, brought to the module."""

    def tick(self, control: Control, share: float, now: int) -> int: ...
    def bind(self, control: Control, now: int) -> int: ...


class Steering:
    """Tells the module larger or smaller bounds, and what it learned before; decides no RPC but those in doubt."""

    def __init__(self, driver: Driver, names: list[str], instances: int, folder: Folder | None, every: int, boot: int,
                 seed: int, clock: Callable[[], int], counters: Counters, log: Any) -> None:
        self.driver, self.names, self.instances = driver, names, instances
        self.folder, self.every, self.boot, self.clock = folder, every, boot, clock
        self.counters, self.log = counters, log
        self.agent: Agent | None = None
        self.turns, self.pressure, self.level = Turns(seed), Pressure(), 0
        self.born = clock()
        # only a store promises that no effect comes twice over a restart; without one all is as it was
        self.doubt = Doubt(self.born) if folder is not None else None
        self.stored: Snapshot | None = None
        self.age: float | None = None
        self.harvested: Learned | None = None
        self.harvest_at = self.kept_at = self.born
        self.borrowed = self.stopped = False
        self.lent: dict[str, Learned] = {}  # by the peer: one that is asked twice is still one
        self.used: dict[str, float] = {}
        self.allotment: Bounding | None = None
        self.until = EVER  # what the module goes by has to be told anew then, before it decides anything
        if folder is not None:
            self.stored, self.age, told = snapshot.read(folder, self.born // 1000)
            if told:
                log.warning("stored state is not used", why=told)
        with driver.lock:
            driver.steer = self
            self.begin(driver.control, self.born)

    # Under the driver's lock

    def begin(self, control: Control, now: int) -> None:
        """A fresh module: it is given what still counts."""
        self.pilot = Pilot(control, now, self.instances, control.set.cold)
        if self.stored is not None:
            self.used = recovery.sow(control, self.names, self.stored.learned, self.age, now)

    def tick(self, control: Control, calls: int, now: int) -> None:
        bounds = self.pilot.bounds(self.view, calls, control.odd.mean(now), control.usual_call, now)
        if self.allotment is None:
            self.pilot.steer(control, bounds)
        else:
            # its part in place of the share by the configured number, which would hold a greater part down
            control.room_elsewhere = bounds.room_elsewhere
            ramp = self.pilot.ramp
            self.until = self.allotment.tick(control, ramp.share if ramp is not None else 1.0, now)
        self.level = self.pressure.level(control.turned.mean(now), now)
        if now >= self.harvest_at:
            self.harvest_at = now + self.every
            self.harvested = recovery.harvest(control, self.names, now)

    def bind(self, control: Control, now: int) -> None:
        """A part has ended: the module hears of it before it decides."""
        if self.allotment is not None:
            self.until = self.allotment.bind(control, now)

    def allot(self, allotment: Bounding) -> None:
        with self.driver.lock:
            self.allotment, self.until = allotment, 0

    def doubted(self, exchange: Exchange, now: int) -> bool:
        rpc = exchange.rpc
        return self.doubt is not None and exchange.token is not None and self.doubt.may_have_run(
            rpc.method, exchange.token, rpc.further, now - rpc.waited)

    # Elsewhere

    @property
    def view(self) -> View | None:
        return self.agent.view if self.agent is not None else None

    @property
    def learned_age(self) -> int:
        """Seconds since what this instance goes by was learned, for others to see."""
        young = self.clock() - self.born < 10_000_000
        return int(self.age) if young and self.age is not None and self.used else 0

    def keep_forever(self) -> None:
        """Writes what was harvested, and asks peers for what was lost."""
        pause = threading.Event()
        ask_at = self.born + self.turns.wait("fetch", self.instances)
        while not self.stopped:
            pause.wait(LOOK_S)
            now = self.clock()
            if self.folder is not None and self.harvested is not None and now - self.kept_at >= self.every:
                self.kept_at = now
                self._keep(self.folder, self.harvested, now)
            if not self.borrowed and self.stored is None and self.agent is not None and now >= ask_at:
                ask_at = now + 1_000_000
                self._borrow(self.agent, now)

    def _keep(self, folder: Folder, learned: Learned, now: int) -> None:
        view = self.view
        living = len(view.living()) if view is not None else 1
        try:
            size = snapshot.write(folder, Snapshot(now // 1000, self.boot, living, learned))
        except Unusable as bad:
            self.counters.add("state.not_kept")
            self.log.warning("the snapshot is not kept; serving goes on", why=str(bad))
            return
        self.counters.add("state.kept")
        self.counters.add("state.bytes", size)

    def _borrow(self, agent: Agent, now: int) -> None:
        """A few of the same zone and kind of machine are asked, one after the other; what two agree on is taken."""
        view, mark = agent.view, recovery.machine_mark(self.driver.settings)
        near = recovery.lenders(view, mark, self.lent)
        self.turns.chance.shuffle(near)
        for record in near[:LENDERS + 1]:
            reply = agent.request(record.address, Fetch("learned"))
            self.counters.add("state.asked")
            if isinstance(reply, Lent) and reply.body:
                try:
                    self.lent[record.name] = msgspec.msgpack.decode(reply.body, type=Learned)
                except msgspec.DecodeError:
                    self.counters.add("state.lent_garbage")
            if len(self.lent) >= LENDERS:
                break
        learned = recovery.agreed(list(self.lent.values()), mark)
        with self.driver.lock:
            control = self.driver.control
            known = sum(runs.count for runs in control.runs.values())
            if learned is not None and known < FRESH_RUNS:
                recovery.sow(control, self.names, learned, 0.0, now)
                self.counters.add("state.borrowed")
            self.borrowed = learned is not None or known >= FRESH_RUNS

    def lend(self) -> bytes:
        """What this instance learned, for one that lost its own."""
        return msgspec.msgpack.encode(self.harvested) if self.harvested is not None else b""

    def figures(self) -> dict[str, float]:
        bounds = self.pilot.ramp
        found: dict[str, float] = {"comeback.calls": round(bounds.share, 3) if bounds is not None else 1.0,
                                   "comeback.level": self.level}
        calendar = self.driver.control.calendar
        if calendar is not None:
            found |= {"promises.told": calendar.told, "promises.kept": calendar.kept,
                      "promises.broken": calendar.broken, "promises.given": round(calendar.given, 3)}
        return found
