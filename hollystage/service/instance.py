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
from .buffers import Pool
from .clients import Clients
from .config import Config, peering, pooling, promises, state
from .connection import most_clients
from .counters import Counters
from .driver import Driver, clock
from .interpreter import Link
from .ledger import Ledger
from .registry import Registry

if TYPE_CHECKING:
    from .peers import Peers

STACK = 256 * 1024
MARGIN_S = 0.1  # time left between the end of the drain and the kill
LAST_S = 0.5  # minimum time for open RPCs if the drain signal was received late
PEERS = ("vm", "ledger", "control")


class Instance:
    """Listener, driver, interpreter link, ledger client and health reports, and the optional peers.

    Raises:
        OSError: the listen address cannot be used.
    """

    def __init__(self, config: Config, log: Any) -> None:
        self.config, self.log = config, log
        self.counters, pool = Counters(), Pool()
        sockets = min(config.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        settings = translate(config.settings)
        settings.pooling, settings.below = pooling(config)
        settings.promises = promises(config)
        self.driver = Driver(settings, int(config.seed, 16), self.counters)
        self.link = Link(config.address("vm"), self.driver, pool, self.counters, log)
        self.driver.engine = self.link
        calls = sockets // 8
        self.ledger = Ledger(config.address("ledger"), calls, pool, self.counters, log)
        self.registry = Registry(config.address("control"), config.name, self.driver, pool, self.counters,
                                 log)
        names = [profile.name for profile in config.settings.profiles]
        self.clients = Clients(config.address("listen"), names, self.driver, self.link, self.ledger,
                               most_clients(sockets, calls), pool, self.counters, log)
        self.peers = self._peers()
        if self.peers is not None:
            self.registry.hold_us = self.peers.steering.turns.wait("report", self.peers.steering.instances)

    def _peers(self) -> Peers | None:
        """Imports the packages for the fleet and for stored state only if the plan enables one of them."""
        if peering(self.config) is None and state(self.config) is None:
            return None
        from .peers import Peers

        return Peers(self.config, self.driver, self.link, self.counters, self.log)

    def start(self) -> None:
        """Starts the threads and returns."""
        threading.stack_size(STACK)  # also applies to the threads of later connections
        for task in (self.link.write_forever, self.link.read_forever, self.driver.tick_forever,
                     self.clients.watch_forever, self.clients.accept_forever, self.registry.report_forever,
                     *(self.peers.tasks() if self.peers is not None else ())):
            threading.Thread(target=self._go_on, args=(task,), name=task.__qualname__, daemon=True).start()
        self.log.info("serving", listen=self.config.listen)
        if self.config.overruled:
            self.log.info("JSON overrides keys of the plan", keys=self.config.overruled)
        if self.config.plan is not None and self.config.plan.idle():
            self.log.warning("plan contains sections without effect in this version",
                             sections=self.config.plan.idle())

    def reload(self, config: Config) -> None:
        """Applies new addresses, pools and the plan's fingerprint; logs changes that need a restart."""
        kept = [key for key in ("name", "listen", "settings", "stop_ms", "limits")
                if getattr(config, key) != getattr(self.config, key)]
        if peering(config) != peering(self.config):
            kept.append("fleet")
        if state(config) != state(self.config):
            kept.append("state")
        applied = [key for key in PEERS if getattr(config, key) != getattr(self.config, key)]
        self.config.plan = config.plan
        # the methods of the JSON stay until a restart: a plan that names others was rejected when it was read
        pools, call_limit = pooling(msgspec.structs.replace(config, settings=self.config.settings))
        if self.driver.repool(pools):
            applied.append("pools")
        if call_limit != self.driver.settings.below:
            kept.append("limit")
        if self.peers is not None:
            self.peers.replanned(config.plan)
        for key in PEERS:
            setattr(self.config, key, getattr(config, key))
        self.link.move(config.address("vm"))
        self.ledger.move(config.address("ledger"))
        self.registry.move(config.address("control"))
        self.counters.add("instance.reloads")
        self.log.info("configuration read anew", taken=applied, kept_until_a_restart=kept)

    def _go_on(self, task: Callable[[], None]) -> None:
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
        """Serves through the grace period, then accepts nothing new.

        Returns once all connections are closed, or shortly before the kill.

        `given_at`: time of the drain signal in microseconds of the driver's clock; None for now.
        """
        now, stop_s = clock(), self.config.stop_ms / 1000
        given_at = now if given_at is None else given_at
        begun = time.monotonic() - (now - given_at) / 1e6
        self.log.info("draining", stop_ms=self.config.stop_ms, heard_after_ms=(now - given_at) // 1000)
        self.driver.leave(int(stop_s * 1e6), given_at)
        deadline = max(begun + stop_s - MARGIN_S, time.monotonic() + LAST_S)
        grace = min(self.driver.settings.drain_grace / 1e6, stop_s - 5 * MARGIN_S)
        time.sleep(max(0.0, begun + grace - time.monotonic()))
        self.clients.close()
        while self.clients.count() and time.monotonic() < deadline:
            time.sleep(0.01)
        if self.peers is not None:
            self.peers.leave()
        self.log.info("drained", connections=self.clients.count(), **self.counters.read())

    def figures(self) -> dict[str, float]:
        """Returns gauges of the driver and the peers, for the log."""
        return self.driver.figures() | (self.peers.figures() if self.peers is not None else {})

    def stop(self) -> None:
        """Ends all threads and connections at once, for programs that embed the instance."""
        self.driver.stopped = self.registry.stopped = True
        self.clients.close()
        self.clients.stop()
        self.link.stop()
        if self.peers is not None:
            self.peers.stop()
        self.driver.changed.set()
