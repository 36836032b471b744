"""One service instance, put together from its parts; other programs may embed it."""
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
MARGIN_S = 0.1  # before the kill
LAST_S = 0.5  # for what is open where the notice was heard too late for all of it
PEERS = ("vm", "ledger", "control")


class Instance:
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
        """Without a plan that asks for it, nothing of the talk between instances or of the store is loaded."""
        if peering(self.config) is None and state(self.config) is None:
            return None
        from .peers import Peers

        return Peers(self.config, self.driver, self.link, self.counters, self.log)

    def start(self) -> None:
        threading.stack_size(STACK)  # also of the connections' threads to come
        for task in (self.link.write_forever, self.link.read_forever, self.driver.tick_forever,
                     self.clients.watch_forever, self.clients.accept_forever, self.registry.report_forever,
                     *(self.peers.tasks() if self.peers is not None else ())):
            threading.Thread(target=self._go_on, args=(task,), name=task.__qualname__, daemon=True).start()
        self.log.info("serving", listen=self.config.listen)
        if self.config.overruled:
            self.log.info("keys of the plan that the JSON overrules", keys=self.config.overruled)
        if self.config.plan is not None and self.config.plan.idle():
            self.log.warning("sections of the plan without effect in this version",
                             sections=self.config.plan.idle())

    def reload(self, config: Config) -> None:
        """Takes the addresses of the peers; what cannot change while it serves is kept, and logged."""
        kept = [key for key in ("name", "listen", "settings", "stop_ms", "limits")
                if getattr(config, key) != getattr(self.config, key)]
        if peering(config) != peering(self.config):
            kept.append("fleet")
        if state(config) != state(self.config):
            kept.append("state")
        moved = [key for key in PEERS if getattr(config, key) != getattr(self.config, key)]
        self.config.plan = config.plan
        # the JSON's methods stay until a restart: a plan that names others was refused when it was read
        pools, below = pooling(msgspec.structs.replace(config, settings=self.config.settings))
        if self.driver.repool(pools):
            moved.append("pools")
        if below != self.driver.settings.below:
            kept.append("limit")
        if self.peers is not None:
            self.peers.replanned(config.plan)
        for key in PEERS:
            setattr(self.config, key, getattr(config, key))
        self.link.move(config.address("vm"))
        self.ledger.move(config.address("ledger"))
        self.registry.move(config.address("control"))
        self.counters.add("instance.reloads")
        self.log.info("configuration read anew", taken=moved, kept_until_a_restart=kept)

    def _go_on(self, task: Callable[[], None]) -> None:
        """A task returns once it is stopped; guards all it serves against a fault in the handling of one."""
        with contextlib.suppress(AttributeError, OSError):  # Linux; the connections' threads inherit it
            # guards against a thread that is woken and takes the core from its waker, only to wait for the
            # interpreter lock that this one still holds: a tenth of the CPU on a day of much traffic
            os.sched_setscheduler(0, os.SCHED_BATCH, os.sched_param(0))
        while True:
            try:
                return task()
            except Exception:
                self.counters.add("instance.faults")
                self.log.exception("a task failed and goes on", task=task.__qualname__)
                time.sleep(0.05)

    def drain(self, given: int | None = None) -> None:
        """Leaves: serves through the grace, then takes nothing new; returns once all is answered.

        `given`: when the notice was given, in microseconds of the driver's clock; now if not told.
        """
        now, left = clock(), self.config.stop_ms / 1000
        given = now if given is None else given
        begun = time.monotonic() - (now - given) / 1e6
        self.log.info("draining", stop_ms=self.config.stop_ms, heard_after_ms=(now - given) // 1000)
        self.driver.leave(int(left * 1e6), given)
        until = max(begun + left - MARGIN_S, time.monotonic() + LAST_S)
        grace = min(self.driver.settings.drain_grace / 1e6, left - 5 * MARGIN_S)
        time.sleep(max(0.0, begun + grace - time.monotonic()))
        self.clients.close()
        while self.clients.count() and time.monotonic() < until:
            time.sleep(0.01)
        if self.peers is not None:
            self.peers.leave()
        self.log.info("drained", connections=self.clients.count(), **self.counters.read())

    def figures(self) -> dict[str, float]:
        """What the parts believe, for the log."""
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
