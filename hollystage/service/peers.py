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

from ..decisions.membership.parameters import Parameters
from ..decisions.membership.records import MemberStatus, Stage, View
from ..decisions.recovery.recovery import machine_fingerprint
from ..fleet.agent import Agent
from ..plan import sections
from ..plan.compiled import UnusableFileError, digest, read_key
from ..plan.model import Plan, to_rows
from ..store import boots
from ..store.folder import StateError, StateFolder
from . import driver as driving
from .config import Config, FleetConfig, budget_config, fleet_config, state_config
from .counters import Counters
from .driver import Driver
from .interpreter import InterpreterLink
from .recovery_manager import RecoveryManager

CLAIMS_PER_LEASE = 12  # claims for the budgets per duration of a lease


class Peers:
    """Owns the state folder, the membership agent and the recovery manager; folder and agent may be None."""

    def __init__(self, config: Config, driver: Driver, link: InterpreterLink, counters: Counters, log: Any) -> None:
        self.driver, self.link, self.counters, self.log = driver, link, counters, log
        self.clock = driving.clock
        self.plan_fingerprint = plan_fingerprint(config.plan)
        self.has_served = False
        self.folder = self._open_folder(config)
        self.boot = boots.next_boot(self.folder, self.clock() // 1000, log)
        stored, fleet = (state_config(config),
                         config.plan.first_of(sections.Fleet) if config.plan is not None else None)
        # instances that share a configured seed must not draw the same random delays
        self.seed = int(config.seed, 16) ^ crc32(config.name.encode())
        names = [profile.name for profile in config.settings.profiles]
        instances = fleet.instances if fleet is not None else int(config.settings.peers_total)
        self.recovery = RecoveryManager(driver, names, instances, self.folder,
                                        stored.every if stored is not None else 0,
                                        self.boot, self.seed, self.clock, counters, log)
        settings = fleet_config(config)
        self.agent = self.recovery.agent = self._make_agent(config, settings) if settings is not None else None
        if self.agent is not None:
            self.agent.fetch_providers["learned"] = self.recovery.encode_learned
            self._join_budgets(config, self.agent)

    def _open_folder(self, config: Config) -> StateFolder | None:
        """Opens the state folder; None if there is none or it cannot be used."""
        stored = state_config(config)
        if stored is None:
            return None
        try:
            return StateFolder(stored.path, config.name)
        except StateError as error:
            self.log.error("serving goes on without stored state", why=str(error))
            return None

    def _make_agent(self, config: Config, settings: FleetConfig) -> Agent | None:
        """Returns the membership agent; None if the fleet's key cannot be used."""
        try:
            key = read_key(settings.key_file)
        except UnusableFileError as error:
            self.log.error("serving goes on without peers", why=f"fleet.key: {error}")
            return None
        parameters = dataclasses.replace(membership_parameters(settings.probe_period),
                                         expected_members=self.recovery.configured_instances)
        return Agent(config.name, settings.zone, settings.bind, settings.advertise, settings.peers, key,
                     settings.cluster, parameters, self.seed, self.boot, self.status, self._save_boot, self.clock,
                     self.counters, self.log)

    def _join_budgets(self, config: Config, agent: Agent) -> None:
        """Joins the budgets. Their messages use the agent's sockets; the recovery manager applies the limit."""
        settings = budget_config(config)
        if settings is None:
            return
        from ..decisions.budgets.parameters import Budget
        from ..decisions.budgets.participant import Participant
        from ..decisions.leases.messages import ProcessId
        from ..decisions.leases.parameters import LeaseParameters, VoterSet
        from ..fleet.budget_endpoint import BudgetEndpoint
        from .budget_limiter import BudgetLimiter

        me, leases = agent.members.me, settings.leases
        parameters = LeaseParameters(leases.length, leases.drift)
        participant = Participant(
            ProcessId(me.name, me.birth),
            [Budget(budget.name, budget.whole, budget.floor, budget.most or 1, budget.use or 1, budget.kept)
             for budget in settings.budgets],
            parameters, leases.length // CLAIMS_PER_LEASE,
            VoterSet(tuple(leases.voters), tuple(leases.before), leases.generation),
            parameters, self.seed, self.clock(), self.boot)
        agent.handler = endpoint = BudgetEndpoint(participant, self.clock)
        if settings.call_budget:
            self.recovery.set_call_limiter(BudgetLimiter(endpoint, settings.call_budget))

    def tasks(self) -> list[Callable[[], None]]:
        """Returns the loops to run, each in a thread of its own."""
        agent, tasks = self.agent, [self.recovery.run_state_tasks]
        if agent is None:
            return tasks if self.folder is not None else []
        return [*tasks, agent.run_datagrams, agent.accept_streams, agent.run_syncs]

    @property
    def view(self) -> View | None:
        """The latest membership view, read without a lock; None without peers."""
        return self.agent.view if self.agent is not None else None

    def status(self) -> MemberStatus:
        """Returns the status that this instance publishes to its peers."""
        recovery = self.recovery
        return MemberStatus(stage=self._stage(), plan=self.plan_fingerprint, age=recovery.learned_age_s,
                            pressure=recovery.pressure_level, machine=machine_fingerprint(self.driver.settings))

    def _stage(self) -> Stage:
        """Returns the lifecycle stage; STARTING until the interpreter link is synchronized for the first time."""
        settings, control = self.driver.settings, self.driver.control
        if self.driver.draining:
            return Stage.DRAINING
        self.has_served = self.has_served or self.link.synced
        if not self.has_served:
            return Stage.STARTING
        return (Stage.COLD if settings.cold and self.clock() - control.started_at < settings.warm_after
                else Stage.SERVING)

    def _save_boot(self, boot: int) -> None:
        """Stores a raised boot number; peers knew a greater one than the clock and the folder yielded."""
        self.boot = self.recovery.boot = boot
        if self.folder is not None:
            boots.write_boot(self.folder, boot, self.log)

    def set_plan(self, plan: Plan | None) -> None:
        """Publishes the fingerprint of a plan that was reloaded."""
        self.plan_fingerprint = plan_fingerprint(plan)

    def metrics(self) -> dict[str, float]:
        """Returns gauges of recovery and membership, for the log."""
        return self.recovery.metrics() | (self.agent.metrics() if self.agent is not None else {})

    def leave(self) -> None:
        """Announces to the peers that this instance leaves."""
        if self.agent is not None:
            self.agent.leave()

    def stop(self) -> None:
        """Ends the threads and closes the state folder."""
        self.recovery.stopped = True
        if self.agent is not None:
            self.agent.stop()
        if self.folder is not None:
            self.folder.close()


def membership_parameters(period: int) -> Parameters:
    """Scales the default membership times to a probe period; the ack timeout stays three tenths of it."""
    default = Parameters()
    return Parameters(probe_period=period, ack_timeout=period * default.ack_timeout // default.probe_period,
                      lost_probe_period=period * default.lost_probe_period // default.probe_period)


def plan_fingerprint(plan: Plan | None) -> int:
    """Returns a 32-bit hash of the meaning of the plan, without the source lines of its entries; 0 without a plan."""
    if plan is None:
        return 0
    rows = [[section, fields] for section, fields, _, _ in to_rows(plan)]
    return int.from_bytes(digest(msgspec.msgpack.encode(rows), None)[:4], "big")
