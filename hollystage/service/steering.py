"""Supplies the decision module with information from outside: stored state, the fleet, RPCs before a restart.

The driver calls the manager under its lock. Files are written and peers are queried by a thread of its own, so that
no RPC waits for either.
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
LENDERS = 2  # peers whose statistics are needed to replace lost ones
FRESH_RUNS = 30.0  # after so many runs of its own, the instance needs no statistics of peers
EVER = 1 << 62


class Bounding(Protocol):
    """Applies the allocation of a budget to the call limit of the decision module."""

    def tick(self, control: Control, share: float, now: int) -> int: ...
    def bind(self, control: Control, now: int) -> int: ...


class Steering:
    """Restores learned statistics, bounds the calls and detects retries that an earlier process may have run.

    `configured_instances`: number of instances in the configuration; `snapshot_interval`: microseconds between two
    snapshots; `folder`: None if no state is stored.
    """

    def __init__(self, driver: Driver, method_names: list[str], configured_instances: int, folder: Folder | None,
                 snapshot_interval: int, boot: int, seed: int, clock: Callable[[], int], counters: Counters,
                 log: Any) -> None:
        self.driver, self.names, self.instances = driver, method_names, configured_instances
        self.folder, self.every, self.boot, self.clock = folder, snapshot_interval, boot, clock
        self.counters, self.log = counters, log
        self.agent: Agent | None = None
        self.turns, self.pressure, self.level = Turns(seed), Pressure(), 0
        self.born = clock()
        # protection against duplicate effects over a restart is offered only together with stored state
        self.doubt = Doubt(self.born) if folder is not None else None
        self.stored: Snapshot | None = None
        self.age: float | None = None
        self.harvested: Learned | None = None
        self.harvest_at = self.kept_at = self.born
        self.borrowed = self.stopped = False
        self.lent: dict[str, Learned] = {}  # by name of the peer, so that one that is asked twice counts once
        self.used: dict[str, float] = {}
        self.allotment: Bounding | None = None
        self.until = EVER  # from then on the limit must be updated before the next decision
        if folder is not None:
            self.stored, self.age, fault = snapshot.read(folder, self.born // 1000)
            if fault:
                log.warning("stored state is not used", why=fault)
        with driver.lock:
            driver.steer = self
            self.begin(driver.control, self.born)

    # Called with the driver's lock held

    def begin(self, control: Control, now: int) -> None:
        """Restores the stored statistics, weighted by their age, into a new decision module."""
        self.pilot = Pilot(control, now, self.instances, control.set.cold)
        if self.stored is not None:
            self.used = recovery.sow(control, self.names, self.stored.learned, self.age, now)

    def tick(self, control: Control, calls: int, now: int) -> None:
        """Updates the bounds of the calls and the pressure level; `calls`: downstream calls that ended so far."""
        bounds = self.pilot.bounds(self.view, calls, control.odd.mean(now), control.usual_call, now)
        if self.allotment is None:
            self.pilot.steer(control, bounds)
        else:
            # the allocation replaces the share by the configured number of instances, which could be smaller
            control.room_elsewhere = bounds.room_elsewhere
            ramp = self.pilot.ramp
            self.until = self.allotment.tick(control, ramp.share if ramp is not None else 1.0, now)
        self.level = self.pressure.level(control.turned.mean(now), now)
        if now >= self.harvest_at:
            self.harvest_at = now + self.every
            self.harvested = recovery.harvest(control, self.names, now)

    def bind(self, control: Control, now: int) -> None:
        """Applies the current allocation after the previous one expired, before the module decides anything."""
        if self.allotment is not None:
            self.until = self.allotment.bind(control, now)

    def allot(self, call_limiter: Bounding) -> None:
        """Bounds the calls by the allocation of a budget from now on."""
        with self.driver.lock:
            self.allotment, self.until = call_limiter, 0

    def doubted(self, exchange: Exchange, now: int) -> bool:
        """Returns whether a process before this one may have run the RPC."""
        rpc = exchange.rpc
        return self.doubt is not None and exchange.token is not None and self.doubt.may_have_run(
            rpc.method, exchange.token, rpc.further, now - rpc.waited)

    # Called without the driver's lock

    @property
    def view(self) -> View | None:
        """The latest membership view; None without peers."""
        return self.agent.view if self.agent is not None else None

    @property
    def learned_age(self) -> int:
        """Age in seconds of the statistics in use, published to peers; 0 from 10 s after the start."""
        just_started = self.clock() - self.born < 10_000_000
        return int(self.age) if just_started and self.age is not None and self.used else 0

    def keep_forever(self) -> None:
        """Writes snapshots, and fetches statistics from peers if none are stored, until stopped."""
        never_set = threading.Event()
        fetch_at = self.born + self.turns.wait("fetch", self.instances)
        while not self.stopped:
            never_set.wait(LOOK_S)
            now = self.clock()
            if self.folder is not None and self.harvested is not None and now - self.kept_at >= self.every:
                self.kept_at = now
                self._keep(self.folder, self.harvested, now)
            if not self.borrowed and self.stored is None and self.agent is not None and now >= fetch_at:
                fetch_at = now + 1_000_000
                self._borrow(self.agent, now)

    def _keep(self, folder: Folder, learned: Learned, now: int) -> None:
        """Writes a snapshot; a failure is logged and counted."""
        view = self.view
        living = len(view.living()) if view is not None else 1
        try:
            size = snapshot.write(folder, Snapshot(now // 1000, self.boot, living, learned))
        except Unusable as error:
            self.counters.add("state.not_kept")
            self.log.warning("snapshot not written; serving continues", why=str(error))
            return
        self.counters.add("state.kept")
        self.counters.add("state.bytes", size)

    def _borrow(self, agent: Agent, now: int) -> None:
        """Asks a few peers of the same zone and kind of machine, one by one, and restores what two agree on."""
        view, fingerprint = agent.view, recovery.machine_mark(self.driver.settings)
        candidates = recovery.lenders(view, fingerprint, self.lent)
        self.turns.chance.shuffle(candidates)
        for record in candidates[:LENDERS + 1]:
            reply = agent.request(record.address, Fetch("learned"))
            self.counters.add("state.asked")
            if isinstance(reply, Lent) and reply.body:
                try:
                    self.lent[record.name] = msgspec.msgpack.decode(reply.body, type=Learned)
                except msgspec.DecodeError:
                    self.counters.add("state.lent_garbage")
            if len(self.lent) >= LENDERS:
                break
        learned = recovery.agreed(list(self.lent.values()), fingerprint)
        with self.driver.lock:
            control = self.driver.control
            own_runs = sum(runs.count for runs in control.runs.values())
            if learned is not None and own_runs < FRESH_RUNS:
                recovery.sow(control, self.names, learned, 0.0, now)
                self.counters.add("state.borrowed")
            self.borrowed = learned is not None or own_runs >= FRESH_RUNS

    def lend(self) -> bytes:
        """Returns the encoded statistics of this instance for a peer that lost its own; empty if there are none."""
        return msgspec.msgpack.encode(self.harvested) if self.harvested is not None else b""

    def figures(self) -> dict[str, float]:
        """Returns gauges of the ramp, the pressure level and the promised retry times, for the log."""
        ramp = self.pilot.ramp
        values: dict[str, float] = {"comeback.calls": round(ramp.share, 3) if ramp is not None else 1.0,
                                   "comeback.level": self.level}
        calendar = self.driver.control.calendar
        if calendar is not None:
            values |= {"promises.told": calendar.told, "promises.kept": calendar.kept,
                       "promises.broken": calendar.broken, "promises.given": round(calendar.given, 3)}
        return values
