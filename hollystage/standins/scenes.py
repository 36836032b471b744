"""Simulations of one instance and its ledger under named faults, shared by tests and benchmarks."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..interface import Halt, LoadSignal, Method, Settings
from .ledger import LedgerModel, LedgerParameters
from .processor_sharing import VirtualClock
from .simulated_instance import SECOND, Demand, SimulatedInstance, idempotent_method, keyed_method

START_US = 10 * SECOND
FAULT_START_S, FAULT_DURATION_S = 15, 18


def make_settings(methods: list[Method], **changes: Any) -> Settings:
    """Returns the default settings of a simulated instance with some fields changed."""
    fields: dict[str, Any] = {
        "methods": methods, "cores": 6, "memory": 20_000.0, "run_factor": 8.0, "key_size": 6.0, "fall_multiple": 5.0,
        "drain_grace": 2 * SECOND, "halt": Halt.ABORT, "load_signal": LoadSignal.NONE, "max_retry_after": SECOND,
        "gauges": ["cores", "crowd"], "calls_out": 30.0, "linger": 200_000}
    return Settings(**(fields | changes))


class SceneSimulation:
    """One instance at `load` times the capacity of its cores and one ledger, under the faults of a scene.

    Args:
        scene: name in `SCENES`
        changes: fields of Settings that differ from the default
    """

    def __init__(self, scene: str, seed: int, load: float = 1.2, seconds: int = 55,
                 parameters: LedgerParameters | None = None, demands: list[Demand] | None = None,
                 **changes: Any) -> None:
        self.clock, self.seconds = VirtualClock(START_US), seconds
        self.ledger = LedgerModel(self.clock, parameters or LedgerParameters(), seed)
        self.demands = demands or default_demands(load)
        methods = [demand.method for demand in self.demands]
        self.instance = SimulatedInstance(self.clock, make_settings(methods, **changes), self.demands, self.ledger,
                                          seed)
        SCENES[scene](self)

    def call_at(self, second: float, function: Callable[[], None]) -> None:
        """Calls a function so many seconds after the start."""
        self.clock.call_at(START_US + int(second * SECOND), function)

    def run(self) -> SimulatedInstance:
        """Runs the whole scene and returns the instance."""
        self.clock.run(START_US + self.seconds * SECOND)
        return self.instance


def default_demands(load: float) -> list[Demand]:
    """Returns two lookups with a downstream call per hold without one. At load 1 they use all of six cores."""
    return [Demand(idempotent_method(), "lookup", 66 * load, 70_000, makes_calls=True),
            Demand(keyed_method(), "hold", 34 * load, 40_000)]


def _slow(scene: SceneSimulation) -> None:
    """The ledger takes 8 times as long for a while."""
    scene.call_at(FAULT_START_S, lambda: scene.ledger.set_slowdown(8))
    scene.call_at(FAULT_START_S + FAULT_DURATION_S, lambda: scene.ledger.set_slowdown(1))


def _dead(scene: SceneSimulation) -> None:
    """The ledger is down for a while."""
    scene.call_at(FAULT_START_S, lambda: scene.ledger.crash(FAULT_DURATION_S * SECOND))


def _lossy(scene: SceneSimulation) -> None:
    """The ledger loses a tenth of its replies."""
    scene.ledger.parameters.lost_reply_share = 0.1


def _one_class(scene: SceneSimulation) -> None:
    """The ledger takes 8 times as long for lookups for a while."""
    scene.call_at(FAULT_START_S, lambda: scene.ledger.set_slowdown(8, "lookup"))
    scene.call_at(FAULT_START_S + FAULT_DURATION_S, lambda: scene.ledger.set_slowdown(1, "lookup"))


def _waves(scene: SceneSimulation) -> None:
    """The ledger slows down and recovers ten times."""
    for cycle in range(10):
        scene.call_at(5 + 5 * cycle, lambda: scene.ledger.set_slowdown(8))
        scene.call_at(7.5 + 5 * cycle, lambda: scene.ledger.set_slowdown(1))


def _refusing(scene: SceneSimulation) -> None:
    """The ledger slows down and refuses calls when it is full."""
    scene.ledger.parameters.refuses_when_full = True
    _slow(scene)


def _drain(scene: SceneSimulation) -> None:
    """The instance drains while the ledger is slow."""
    _slow(scene)

    def drain() -> None:
        scene.instance.control.start_drain(3 * SECOND, scene.clock.now)
        scene.instance.stop_callers()
    scene.call_at(FAULT_START_S + 4, drain)


def _weak(scene: SceneSimulation) -> None:
    """The ledger has 3 of its 20 slots for a while."""
    def set_slots(count: int) -> None:
        scene.ledger.in_service.advance(scene.clock.now)
        scene.ledger.in_service.slots = count
        scene.ledger.set_slowdown(1)
    scene.call_at(FAULT_START_S, lambda: set_slots(3))
    scene.call_at(FAULT_START_S + FAULT_DURATION_S, lambda: set_slots(20))


SCENES: dict[str, Callable[[SceneSimulation], None]] = {
    "calm": lambda _: None, "slow": _slow, "dead": _dead, "lossy": _lossy, "one class": _one_class,
    "waves": _waves, "refusing": _refusing, "drain": _drain, "weak": _weak}
