"""Simulations of one instance and its ledger under faults with a name, shared by tests and benchmarks."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..interface import Halt, Method, Say, Settings
from .ledger import LedgerModel, Terms
from .sharing import Clock
from .virtual import SECOND, Box, Demand, hold, lookup

START = 10 * SECOND
SLOW_FROM, SLOW_FOR = 15, 18  # seconds


def settings_of(methods: list[Method], **changes: Any) -> Settings:
    """Returns the default settings of a simulated instance with some fields changed."""
    fields: dict[str, Any] = {
        "methods": methods, "cores": 6, "memory": 20_000.0, "run_factor": 8.0, "key_size": 6.0, "fall_multiple": 5.0,
        "drain_grace": 2 * SECOND, "halt": Halt.ABORT, "say": Say.NONE, "longest_advice": SECOND,
        "gauges": ["cores", "crowd"], "calls_out": 30.0, "linger": 200_000}
    return Settings(**(fields | changes))


class Scene:
    """One instance at `load` times the capacity of its cores and one ledger, under the faults of a scene.

    Args:
        scene: name in `SCENES`
        changes: fields of Settings that differ from the default
    """

    def __init__(self, trouble: str, seed: int, load: float = 1.2, seconds: int = 55, terms: Terms | None = None,
                 demands: list[Demand] | None = None, **changes: Any) -> None:
        self.clock, self.seconds = Clock(START), seconds
        self.ledger = LedgerModel(self.clock, terms or Terms(), seed)
        self.demands = demands or usual(load)
        methods = [demand.method for demand in self.demands]
        self.box = Box(self.clock, settings_of(methods, **changes), self.demands, self.ledger, seed)
        TROUBLES[trouble](self)

    def at(self, second: float, function: Callable[[], None]) -> None:
        """Calls a function so many seconds after the start."""
        self.clock.at(START + int(second * SECOND), function)

    def run(self) -> Box:
        """Runs the whole scene and returns the instance."""
        self.clock.run(START + self.seconds * SECOND)
        return self.box


def usual(load: float) -> list[Demand]:
    """Returns two lookups with a downstream call per hold without one. At load 1 they use all of six cores."""
    return [Demand(lookup(), "lookup", 66 * load, 70_000, calls=True), Demand(hold(), "hold", 34 * load, 40_000)]


def _slow(scene: Scene) -> None:
    """The ledger takes 8 times as long for a while."""
    scene.at(SLOW_FROM, lambda: scene.ledger.slow(8))
    scene.at(SLOW_FROM + SLOW_FOR, lambda: scene.ledger.slow(1))


def _dead(scene: Scene) -> None:
    """The ledger is down for a while."""
    scene.at(SLOW_FROM, lambda: scene.ledger.die(SLOW_FOR * SECOND))


def _lossy(scene: Scene) -> None:
    """The ledger loses a tenth of its replies."""
    scene.ledger.terms.lost = 0.1


def _one_class(scene: Scene) -> None:
    """The ledger takes 8 times as long for lookups for a while."""
    scene.at(SLOW_FROM, lambda: scene.ledger.slow(8, "lookup"))
    scene.at(SLOW_FROM + SLOW_FOR, lambda: scene.ledger.slow(1, "lookup"))


def _waves(scene: Scene) -> None:
    """The ledger slows down and recovers ten times."""
    for cycle in range(10):
        scene.at(5 + 5 * cycle, lambda: scene.ledger.slow(8))
        scene.at(7.5 + 5 * cycle, lambda: scene.ledger.slow(1))


def _refusing(scene: Scene) -> None:
    """The ledger slows down and refuses calls when it is full."""
    scene.ledger.terms.refuses = True
    _slow(scene)


def _drain(scene: Scene) -> None:
    """The instance drains while the ledger is slow."""
    _slow(scene)

    def drain() -> None:
        scene.box.control.leaving(3 * SECOND, scene.clock.now)
        scene.box.leaving()
    scene.at(SLOW_FROM + 4, drain)


def _weak(scene: Scene) -> None:
    """The ledger has 3 of its 20 slots for a while."""
    def set_slots(count: int) -> None:
        scene.ledger.work.advance(scene.clock.now)
        scene.ledger.work.places = count
        scene.ledger.slow(1)
    scene.at(SLOW_FROM, lambda: set_slots(3))
    scene.at(SLOW_FROM + SLOW_FOR, lambda: set_slots(20))


TROUBLES: dict[str, Callable[[Scene], None]] = {
    "calm": lambda _: None, "slow": _slow, "dead": _dead, "lossy": _lossy, "one class": _one_class,
    "waves": _waves, "refusing": _refusing, "drain": _drain, "weak": _weak}
