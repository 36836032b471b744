"""The instance among the others: its agent, its state's folder, and what it says of itself.

Imported only where the plan asks for one of the two; whatever is wrong with them is told in one line, and serving
goes on.
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

PERIODS = 12  # questions about its parts in a lease's length


class Peers:
    """Owns the folder and the agent; either may be missing."""

    def __init__(self, config: Config, driver: Driver, link: Link, counters: Counters, log: Any) -> None:
        self.driver, self.link, self.counters, self.log = driver, link, counters, log
        self.clock = driving.clock
        self.plan = plan_mark(config.plan)
        self.served = False
        self.folder = self._folder(config)
        self.boot = boots.next_boot(self.folder, self.clock() // 1000, log)
        given, fleet = state(config), config.plan.one(sections.Fleet) if config.plan is not None else None
        # a seed that many share would let all of them draw the same moment
        self.seed = int(config.seed, 16) ^ crc32(config.name.encode())
        names = [profile.name for profile in config.settings.profiles]
        instances = fleet.instances if fleet is not None else int(config.settings.peers_total)
        self.steering = Steering(driver, names, instances, self.folder, given.every if given is not None else 0,
                                 self.boot, self.seed, self.clock, counters, log)
        terms = peering(config)
        self.agent = self.steering.agent = self._agent(config, terms) if terms is not None else None
        if self.agent is not None:
            self.agent.lenders["learned"] = self.steering.lend
            self._divide(config, self.agent)

    def _folder(self, config: Config) -> Folder | None:
        given = state(config)
        if given is None:
            return None
        try:
            return Folder(given.path, config.name)
        except Unusable as bad:
            self.log.error("serving goes on without stored state", why=str(bad))
            return None

    def _agent(self, config: Config, terms: Peering) -> Agent | None:
        try:
            key = read_key(terms.key_file)
        except Damaged as bad:
            self.log.error("serving goes on without peers", why=f"fleet.key: {bad}")
            return None
        of = dataclasses.replace(times(terms.period), expected=self.steering.instances)
        return Agent(config.name, terms.zone, terms.bind, terms.advertise, terms.peers, key, terms.cluster, of,
                     self.seed, self.boot, self.digest, self._keep, self.clock, self.counters, self.log)

    def _divide(self, config: Config, agent: Agent) -> None:
        """The budgets' talk, on the agent's sockets, and their bounds, through the steering."""
        given = budgeting(config)
        if given is None:
            return
        from ..decisions.budgets.office import Office
        from ..decisions.budgets.terms import Budget
        from ..decisions.leases.terms import Electorate, Terms
        from ..decisions.leases.words import Who
        from ..fleet.treasury import Treasury
        from .allotment import Allotment

        me, leases = agent.members.me, given.leases
        of = Terms(leases.length, leases.drift)
        office = Office(
            Who(me.name, me.birth),
            [Budget(one.name, one.whole, one.floor, one.most or 1, one.use or 1, one.kept) for one in given.budgets],
            of, leases.length // PERIODS, Electorate(tuple(leases.voters), tuple(leases.before), leases.generation),
            of, self.seed, self.clock(), self.boot)
        agent.tenant = treasury = Treasury(office, self.clock)
        if given.calls:
            self.steering.allot(Allotment(treasury, given.calls))

    def tasks(self) -> list[Callable[[], None]]:
        agent, tasks = self.agent, [self.steering.keep_forever]
        if agent is None:
            return tasks if self.folder is not None else []
        return [*tasks, agent.talk_forever, agent.listen_forever, agent.meet_forever]

    @property
    def view(self) -> View | None:
        """Read without a lock, as it was some moments ago; None without peers."""
        return self.agent.view if self.agent is not None else None

    def digest(self) -> Digest:
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
        """Peers remembered a greater one than our clock and our folder gave."""
        self.boot = self.steering.boot = boot
        if self.folder is not None:
            boots.keep(self.folder, boot, self.log)

    def replanned(self, plan: Plan | None) -> None:
        self.plan = plan_mark(plan)

    def figures(self) -> dict[str, float]:
        return self.steering.figures() | (self.agent.figures() if self.agent is not None else {})

    def leave(self) -> None:
        if self.agent is not None:
            self.agent.leave()

    def stop(self) -> None:
        self.steering.stopped = True
        if self.agent is not None:
            self.agent.stop()
        if self.folder is not None:
            self.folder.close()


def times(period: int) -> Terms:
    """All times of membership follow its period; a link's answer is awaited for three tenths of it."""
    usual = Terms()
    return Terms(period=period, timeout=period * usual.timeout // usual.period,
                 ask_lost=period * usual.ask_lost // usual.period)


def plan_mark(plan: Plan | None) -> int:
    """32 bits of what the plan means; 0 without one."""
    if plan is None:
        return 0
    rows = [[word, fields] for word, fields, _, _ in packed(plan)]
    return int.from_bytes(digest(msgspec.msgpack.encode(rows), None)[:4], "big")
