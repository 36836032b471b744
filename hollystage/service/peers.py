"""The optional parts of an instance that deal with the fleet and with stored state.

Imported only if the plan enables one of the two. A fault in their configuration is logged in one line, and the
instance serves without the part.
"""
from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any
from zlib import crc32

import msgspec

from ..decisions.comeback.recovery import machine_mark
from ..decisions.membership.records import Digest, Stage, View
from ..decisions.membership.terms import Terms
from ..fleet.agent import Agent
from ..plan import sections
from ..plan.compiled import Damaged, digest, read_key
from ..plan.model import Plan, packed
from ..store import boots
from ..store.folder import Folder, Unusable
from . import driver as driving
from .config import Config, Peering, budgeting, peering, state
from .counters import Counters
from .driver import Driver
from .interpreter import Link
from .steering import Steering

PERIODS = 12  # claims for budgets during the duration of one lease


class Peers:
    """Owns the state folder, the membership agent and the recovery manager; folder and agent may be None."""

    def __init__(self, config: Config, driver: Driver, link: Link, counters: Counters, log: Any) -> None:
        self.driver, self.link, self.counters, self.log = driver, link, counters, log
        self.clock = driving.clock
        self.plan = plan_mark(config.plan)
        self.served = False
        self.folder = self._folder(config)
        self.boot = boots.next_boot(self.folder, self.clock() // 1000, log)
        stored, fleet = state(config), config.plan.one(sections.Fleet) if config.plan is not None else None
        # instances that share a configured seed must not draw the same start times
        self.seed = int(config.seed, 16) ^ crc32(config.name.encode())
        names = [profile.name for profile in config.settings.profiles]
        instances = fleet.instances if fleet is not None else int(config.settings.peers_total)
        self.steering = Steering(driver, names, instances, self.folder, stored.every if stored is not None else 0,
                                 self.boot, self.seed, self.clock, counters, log)
        settings = peering(config)
        self.agent = self.steering.agent = self._agent(config, settings) if settings is not None else None
        if self.agent is not None:
            self.agent.lenders["learned"] = self.steering.lend
            self._divide(config, self.agent)

    def _folder(self, config: Config) -> Folder | None:
        """Opens the state folder; None if there is none or it cannot be used."""
        stored = state(config)
        if stored is None:
            return None
        try:
            return Folder(stored.path, config.name)
        except Unusable as error:
            self.log.error("serving goes on without stored state", why=str(error))
            return None

    def _agent(self, config: Config, settings: Peering) -> Agent | None:
        """Returns the membership agent; None if the fleet's key cannot be used."""
        try:
            key = read_key(settings.key_file)
        except Damaged as error:
            self.log.error("serving goes on without peers", why=f"fleet.key: {error}")
            return None
        parameters = dataclasses.replace(times(settings.period), expected=self.steering.instances)
        return Agent(config.name, settings.zone, settings.bind, settings.advertise, settings.peers, key,
                     settings.cluster, parameters, self.seed, self.boot, self.digest, self._keep, self.clock,
                     self.counters, self.log)

    def _divide(self, config: Config, agent: Agent) -> None:
        """Joins the budgets. Their messages use the agent's sockets; the recovery manager applies the limit."""
        settings = budgeting(config)
        if settings is None:
            return
        from ..decisions.budgets.office import Office
        from ..decisions.budgets.terms import Budget
        from ..decisions.leases.terms import Electorate, Terms
        from ..decisions.leases.words import Who
        from ..fleet.treasury import Treasury
        from .allotment import Allotment

        me, leases = agent.members.me, settings.leases
        parameters = Terms(leases.length, leases.drift)
        participant = Office(
            Who(me.name, me.birth),
            [Budget(budget.name, budget.whole, budget.floor, budget.most or 1, budget.use or 1, budget.kept)
             for budget in settings.budgets],
            parameters, leases.length // PERIODS,
            Electorate(tuple(leases.voters), tuple(leases.before), leases.generation),
            parameters, self.seed, self.clock(), self.boot)
        agent.tenant = endpoint = Treasury(participant, self.clock)
        if settings.calls:
            self.steering.allot(Allotment(endpoint, settings.calls))

    def tasks(self) -> list[Callable[[], None]]:
        """Returns the loops to run, each in a thread of its own."""
        agent, tasks = self.agent, [self.steering.keep_forever]
        if agent is None:
            return tasks if self.folder is not None else []
        return [*tasks, agent.talk_forever, agent.listen_forever, agent.meet_forever]

    @property
    def view(self) -> View | None:
        """The latest membership view, read without a lock; None without peers."""
        return self.agent.view if self.agent is not None else None

    def digest(self) -> Digest:
        """Returns the status that this instance publishes to its peers."""
        steering = self.steering
        return Digest(stage=self._stage(), plan=self.plan, age=steering.learned_age, pressure=steering.level,
                      machine=machine_mark(self.driver.settings))

    def _stage(self) -> Stage:
        settings, control = self.driver.settings, self.driver.control
        if self.driver.leaving:
            return Stage.DRAINING
        self.served = self.served or self.link.synced
        if not self.served:
            return Stage.STARTING
        return Stage.COLD if settings.cold and self.clock() - control.born < settings.warm_after else Stage.SERVING

    def _keep(self, boot: int) -> None:
        """Stores a raised boot number: peers know a greater one than the clock and the folder yielded."""
        self.boot = self.steering.boot = boot
        if self.folder is not None:
            boots.keep(self.folder, boot, self.log)

    def replanned(self, plan: Plan | None) -> None:
        """Publishes the fingerprint of a plan that was reloaded."""
        self.plan = plan_mark(plan)

    def figures(self) -> dict[str, float]:
        """Returns gauges of recovery and membership, for the log."""
        return self.steering.figures() | (self.agent.figures() if self.agent is not None else {})

    def leave(self) -> None:
        """Announces to the peers that this instance leaves."""
        if self.agent is not None:
            self.agent.leave()

    def stop(self) -> None:
        """Ends the threads and closes the state folder."""
        self.steering.stopped = True
        if self.agent is not None:
            self.agent.stop()
        if self.folder is not None:
            self.folder.close()


def times(period: int) -> Terms:
    """Scales the default membership times to a probe period; the ack timeout stays three tenths of it."""
    default = Terms()
    return Terms(period=period, timeout=period * default.timeout // default.period,
                 ask_lost=period * default.ask_lost // default.period)


def plan_mark(plan: Plan | None) -> int:
    """Returns a 32-bit hash of the meaning of the plan, without the places of its entries; 0 without a plan."""
    if plan is None:
        return 0
    rows = [[section, fields] for section, fields, _, _ in packed(plan)]
    return int.from_bytes(digest(msgspec.msgpack.encode(rows), None)[:4], "big")
