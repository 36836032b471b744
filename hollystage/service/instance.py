"""One service instance, assembled from its parts; other programs may embed it."""
from __future__ import annotations

import contextlib
import os
import resource
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ..settings import translate
from .buffers import BufferPool
from .clients import ClientConnections
from .config import Config, fleet_config, pool_config, promises_enabled, state_config
from .connection import max_client_connections
from .counters import Counters
from .driver import Driver, clock
from .health_reporter import HealthReporter
from .interpreter import InterpreterLink
from .ledger_client import LedgerClient
from .tenants import TenantDirectory
from .threads import CONNECTION_STACK_BYTES, start_thread

if TYPE_CHECKING:
    from .peers import Peers

KILL_MARGIN_S = 0.1  # time left between the end of the drain and the kill
MIN_DRAIN_S = 0.5  # minimum time for open RPCs if the drain signal was received late
ADDRESS_KEYS = ("vm", "ledger", "control")


class Instance:
    """Listener, driver, interpreter link, ledger client and health reports, and the optional peers.

    Raises:
        OSError: the listen address cannot be used.
    """

    def __init__(self, config: Config, log: Any) -> None:
        self.config, self.log = config, log
        self.counters, pool = Counters(), BufferPool()
        sockets = min(config.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        settings = translate(config.settings)
        settings.pooling, settings.call_limit = pool_config(config)
        settings.promises = promises_enabled(config)
        self.driver = Driver(settings, int(config.seed, 16), self.counters)
        self.link = InterpreterLink(config.address("vm"), self.driver, pool, self.counters, log)
        self.driver.interpreter = self.link
        calls = sockets // 8
        self.ledger = LedgerClient(config.ledger_address(), calls, pool, self.counters, log)
        self.health_reporter = HealthReporter(config.address("control"), config.name, self.driver, pool,
                                              self.counters, log)
        names = [profile.name for profile in config.settings.profiles]
        tenants = TenantDirectory([tenant.name for tenant in config.settings.tenants or []], settings.tenants,
                                  self.counters, log)
        self.clients = ClientConnections(
            config.address("listen"), names, tenants, self.driver, self.link, self.ledger,
            max_client_connections(sockets, calls, config.limits.memory_mb), pool, self.counters, log)
        self.peers = self._make_peers()
        if self.peers is not None:
            self.health_reporter.start_delay_us = self.peers.recovery.jitter.delay(
                "report", self.peers.recovery.configured_instances)

    def _make_peers(self) -> Peers | None:
        """Imports the packages for the fleet and for stored state only if the plan enables one of them."""
        if fleet_config(self.config) is None and state_config(self.config) is None:
            return None
        from .peers import Peers

        return Peers(self.config, self.driver, self.link, self.counters, self.log)

    def start(self) -> None:
        """Starts the threads and returns."""
        threading.stack_size(CONNECTION_STACK_BYTES)  # for the threads of later connections
        for task in (self.link.run_writer, self.link.run_reader, self.driver.run_timer,
                     self.clients.watch_connections, self.clients.accept_connections,
                     self.health_reporter.run_reports,
                     *(self.peers.tasks() if self.peers is not None else ())):
            start_thread(self._run_task, task, name=task.__qualname__)
        self.log.info("serving", listen=self.config.listen, max_connections=self.clients.max_connections)
        if self.config.overruled:
            self.log.info("JSON overrides keys of the plan", keys=self.config.overruled)
        if self.config.plan is not None and self.config.plan.sections_without_effect():
            self.log.warning("plan contains sections without effect in this version",
                             sections=self.config.plan.sections_without_effect())

    def reload(self, config: Config) -> None:
        """Applies new addresses, pools and the plan's fingerprint; logs changes that need a restart."""
        kept = [key for key in ("name", "listen", "settings", "stop_ms", "limits")
                if getattr(config, key) != getattr(self.config, key)]
        if fleet_config(config) != fleet_config(self.config):
            kept.append("fleet")
        if state_config(config) != state_config(self.config):
            kept.append("state")
        applied = [key for key in ADDRESS_KEYS if getattr(config, key) != getattr(self.config, key)]
        self.config.plan = config.plan
        # the methods of the JSON stay until a restart: a plan that names others was rejected when it was read
        pools, call_limit = pool_config(msgspec.structs.replace(config, settings=self.config.settings))
        if self.driver.update_pools(pools):
            applied.append("pools")
        if call_limit != self.driver.settings.call_limit:
            kept.append("limit")
        if self.peers is not None:
            self.peers.set_plan(config.plan)
        for key in ADDRESS_KEYS:
            setattr(self.config, key, getattr(config, key))
        self.link.set_address(config.address("vm"))
        self.ledger.set_address(config.ledger_address())
        self.health_reporter.set_address(config.address("control"))
        self.counters.add("instance.reloads")
        self.log.info("configuration read anew", taken=applied, kept_until_a_restart=kept)

    def _run_task(self, task: Callable[[], None]) -> None:
        """Runs a loop until it returns, and again after an exception, so that one fault does not stop the service."""
        with contextlib.suppress(AttributeError, OSError):  # Linux; threads of connections inherit the policy
            # with the default policy a thread that is woken preempts its waker, only to wait for the global
            # interpreter lock that the waker still holds: this cost a tenth of the CPU under heavy traffic
            os.sched_setscheduler(0, os.SCHED_BATCH, os.sched_param(0))
        while True:
            try:
                return task()
            except Exception:
                self.counters.add("instance.faults")
                self.log.exception("a task failed; restarting it", task=task.__qualname__)
                time.sleep(0.05)

    def drain(self, given_at: int | None = None) -> None:
        """Serves through the grace period, then accepts no new connections.

        Returns once all connections are closed, or shortly before the kill.

        `given_at`: time of the drain signal in microseconds of the driver's clock; None for now.
        """
        now, stop_s = clock(), self.config.stop_ms / 1000
        given_at = now if given_at is None else given_at
        begun = time.monotonic() - (now - given_at) / 1e6
        self.log.info("draining", stop_ms=self.config.stop_ms, heard_after_ms=(now - given_at) // 1000)
        self.driver.start_drain(int(stop_s * 1e6), given_at)
        deadline = max(begun + stop_s - KILL_MARGIN_S, time.monotonic() + MIN_DRAIN_S)
        grace = min(self.driver.settings.drain_grace / 1e6, stop_s - 5 * KILL_MARGIN_S)
        time.sleep(max(0.0, begun + grace - time.monotonic()))
        self.clients.close()
        while self.clients.count() and time.monotonic() < deadline:
            time.sleep(0.01)
        if self.peers is not None:
            self.peers.leave()
        self.log.info("drained", connections=self.clients.count(), **self.counters.read())

    def metrics(self) -> dict[str, float]:
        """Returns gauges of the driver and the peers, for the log."""
        return self.driver.metrics() | (self.peers.metrics() if self.peers is not None else {})

    def stop(self) -> None:
        """Ends all threads and connections at once, for programs that embed the instance."""
        self.driver.stopped = self.health_reporter.stopped = True
        self.clients.close()
        self.clients.stop()
        self.link.stop()
        if self.peers is not None:
            self.peers.stop()
        self.driver.health_changed.set()
