"""Supplies the decision module with information from outside: stored state, peers, RPCs from before a restart.

The driver calls the manager under its lock. Files are written and peers are queried by a thread of its own, so that
no RPC waits for either.
"""
from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..control import Control
from ..decisions.jitter import StartJitter
from ..decisions.membership.records import View
from ..decisions.recovery import recovery
from ..decisions.recovery.ramp import PressureLevel, RampController
from ..decisions.recovery.recovery import LearnedState, RestartGuard
from ..fleet.agent import Agent
from ..fleet.codec import FetchReply, FetchRequest
from ..store import snapshot
from ..store.folder import StateError, StateFolder
from ..store.snapshot import Snapshot
from .counters import Counters
from .driver import Driver
from .exchange import Exchange

POLL_INTERVAL_S = 0.5
REQUIRED_PEERS = 2  # peers whose statistics are needed to replace lost ones
MAX_OWN_RUNS = 30.0  # after so many runs of its own, the instance needs no statistics of peers
FOREVER = 1 << 62  # microseconds; later than any time of the clock


class CallLimiter(Protocol):
    """Applies the allocation of a budget to the call limit of the decision module."""

    def tick(self, control: Control, share: float, now: int) -> int: ...
    def update_limit(self, control: Control, now: int) -> int: ...


class RecoveryManager:
    """Restores learned statistics, bounds the calls and detects retries that an earlier process may have run.

    `configured_instances`: number of instances in the configuration; `snapshot_interval`: microseconds between two
    snapshots; `folder`: None if no state is stored.
    """

    def __init__(self, driver: Driver, method_names: list[str], configured_instances: int, folder: StateFolder | None,
                 snapshot_interval: int, boot: int, seed: int, clock: Callable[[], int], counters: Counters,
                 log: Any) -> None:
        self.driver, self.method_names, self.configured_instances = driver, method_names, configured_instances
        self.folder, self.snapshot_interval, self.boot, self.clock = folder, snapshot_interval, boot, clock
        self.counters, self.log = counters, log
        self.agent: Agent | None = None
        self.jitter, self.pressure, self.pressure_level = StartJitter(seed), PressureLevel(), 0
        self.started_at = clock()
        # protection against duplicate effects over a restart is offered only together with stored state
        self.restart_guard = RestartGuard(self.started_at) if folder is not None else None
        self.stored: Snapshot | None = None
        self.stored_age_s: float | None = None
        self.exported: LearnedState | None = None
        self.next_export_at = self.written_at = self.started_at
        self.fetch_done = self.stopped = False
        self.fetched: dict[str, LearnedState] = {}  # by name of the peer, so that one that is asked twice counts once
        self.restored_weights: dict[str, float] = {}
        self.call_limiter: CallLimiter | None = None
        self.limit_expires_at = FOREVER  # from then on the limit must be updated before the next decision
        if folder is not None:
            self.stored, self.stored_age_s, fault = snapshot.read(folder, self.started_at // 1000)
            if fault:
                log.warning("stored state is not used", why=fault)
        with driver.lock:
            driver.recovery = self
            self.initialize(driver.control, self.started_at)

    # Called with the driver's lock held

    def initialize(self, control: Control, now: int) -> None:
        """Restores the stored statistics, weighted by their age, into a new decision module."""
        self.ramp_controller = RampController(control, now, self.configured_instances, control.settings.cold)
        if self.call_limiter is not None:
            self.limit_expires_at = 0  # the allocation was applied to the module before this one
        if self.stored is not None:
            self.restored_weights = recovery.restore_learned(control, self.method_names, self.stored.learned,
                                                             self.stored_age_s, now)

    def tick(self, control: Control, calls: int, now: int) -> None:
        """Updates the bounds of the calls and the pressure level; `calls`: downstream calls that ended so far."""
        bounds = self.ramp_controller.bounds(
            self.view, calls, control.slow_or_lost_replies.mean(now), control.typical_call, now)
        if self.call_limiter is None:
            self.ramp_controller.apply(control, bounds)
        else:
            # the allocation replaces the share by the configured number of instances, which could allow fewer calls
            control.capacity_elsewhere = bounds.capacity_elsewhere
            ramp = self.ramp_controller.ramp
            self.limit_expires_at = self.call_limiter.tick(control, ramp.share if ramp is not None else 1.0, now)
        self.pressure_level = self.pressure.update(control.rejections.mean(now), now)
        if now >= self.next_export_at:
            self.next_export_at = now + self.snapshot_interval
            self.exported = recovery.export_learned(control, self.method_names, now)

    def update_limit(self, control: Control, now: int) -> None:
        """Applies the current allocation after the previous one expired, before the module decides anything."""
        if self.call_limiter is not None:
            self.limit_expires_at = self.call_limiter.update_limit(control, now)

    def set_call_limiter(self, call_limiter: CallLimiter) -> None:
        """Bounds the calls by the allocation of a budget from now on."""
        with self.driver.lock:
            self.call_limiter, self.limit_expires_at = call_limiter, 0

    def may_have_run(self, exchange: Exchange, now: int) -> bool:
        """Returns whether a process before this one may have run the RPC."""
        rpc = exchange.rpc
        return (self.restart_guard is not None and exchange.idempotency_key is not None
                and self.restart_guard.may_have_run(rpc.method, exchange.idempotency_key, rpc.is_retry,
                                                    now - rpc.unread_time))

    # Called without the driver's lock

    @property
    def view(self) -> View | None:
        """The latest membership view; None without peers."""
        return self.agent.view if self.agent is not None else None

    @property
    def learned_age_s(self) -> int:
        """Age in seconds of the statistics in use, published to peers; 0 from 10 s after the start."""
        just_started = self.clock() - self.started_at < 10_000_000
        return (int(self.stored_age_s) if just_started and self.stored_age_s is not None and self.restored_weights
                else 0)

    def run_state_tasks(self) -> None:
        """Writes snapshots, and fetches statistics from peers if none are stored, until stopped."""
        never_set = threading.Event()
        fetch_at = self.started_at + self.jitter.delay("fetch", self.configured_instances)
        while not self.stopped:
            never_set.wait(POLL_INTERVAL_S)
            now = self.clock()
            if (self.folder is not None and self.exported is not None
                    and now - self.written_at >= self.snapshot_interval):
                self.written_at = now
                self._write_snapshot(self.folder, self.exported, now)
            if not self.fetch_done and self.stored is None and self.agent is not None and now >= fetch_at:
                fetch_at = now + 1_000_000
                self._fetch_from_peers(self.agent, now)

    def _write_snapshot(self, folder: StateFolder, learned: LearnedState, now: int) -> None:
        """Writes a snapshot; a failure is logged and counted."""
        view = self.view
        living = len(view.living()) if view is not None else 1
        try:
            size = snapshot.write(folder, Snapshot(now // 1000, self.boot, living, learned))
        except StateError as error:
            self.counters.add("state.not_kept")
            self.log.warning("snapshot not written; serving continues", why=str(error))
            return
        self.counters.add("state.kept")
        self.counters.add("state.bytes", size)

    def _fetch_from_peers(self, agent: Agent, now: int) -> None:
        """Asks a few peers of the same zone and kind of machine, one by one; restores the medians of two or more."""
        view, fingerprint = agent.view, recovery.machine_fingerprint(self.driver.settings)
        candidates = recovery.peers_to_ask(view, fingerprint, self.fetched)
        self.jitter.random.shuffle(candidates)
        for record in candidates[:REQUIRED_PEERS + 1]:
            reply = agent.request(record.address, FetchRequest("learned"))
            self.counters.add("state.asked")
            if isinstance(reply, FetchReply) and reply.body:
                try:
                    self.fetched[record.name] = msgspec.msgpack.decode(reply.body, type=LearnedState)
                except msgspec.DecodeError:
                    self.counters.add("state.lent_garbage")
            if len(self.fetched) >= REQUIRED_PEERS:
                break
        learned = recovery.merge_learned(list(self.fetched.values()), fingerprint)
        with self.driver.lock:
            control = self.driver.control
            own_runs = sum(runs.count for runs in control.run_times.values())
            if learned is not None and own_runs < MAX_OWN_RUNS:
                recovery.restore_learned(control, self.method_names, learned, 0.0, now)
                self.counters.add("state.borrowed")
            self.fetch_done = learned is not None or own_runs >= MAX_OWN_RUNS

    def encode_learned(self) -> bytes:
        """Returns the encoded statistics of this instance for a peer that lost its own; empty if there are none."""
        return msgspec.msgpack.encode(self.exported) if self.exported is not None else b""

    def metrics(self) -> dict[str, float]:
        """Returns gauges of the ramp, the pressure level and the promised retry times, for the log."""
        ramp = self.ramp_controller.ramp
        values: dict[str, float] = {"comeback.calls": round(ramp.share, 3) if ramp is not None else 1.0,
                                   "comeback.level": self.pressure_level}
        calendar = self.driver.control.calendar
        if calendar is not None:
            values |= {"promises.told": calendar.issued, "promises.kept": calendar.kept,
                       "promises.broken": calendar.broken, "promises.given": round(calendar.promised_share, 3)}
        return values
