"""Without pools the decision module decides as recorded: compares a hash of all actions of each scene."""
import json
import pathlib

import pytest

from hollystage.interface import LoadSignal
from hollystage.standins.scenes import SCENES, SceneSimulation

RECORDED = json.loads((pathlib.Path(__file__).parent / "corpus" / "traces.json").read_text())
CHANGES = {"plain": {},
           "cold": {"cold": True, "cold_from": 0.4, "warm_after": 9_000_000, "load_signal": LoadSignal.THRESHOLD},
           "narrow": {"calls_out": 2.0, "memory": 2500.0, "load_signal": LoadSignal.WINDOW, "max_idle": 20_000_000},
           "wide": {"load": 2.5, "load_signal": LoadSignal.SHARE}}


def trace(scene, change):
    return SceneSimulation(scene, 7, **{"seconds": 24} | CHANGES[change]).run().trace_hash.hexdigest()


@pytest.mark.parametrize("name", RECORDED)
def test_actions_match_the_recorded_trace(name):
    scene, change = name.split("/")
    assert trace(scene, change) == RECORDED[name]


def test_trace_depends_on_the_seed_and_not_on_the_run():
    assert trace("slow", "plain") == trace("slow", "plain")
    one, other = (SceneSimulation("slow", seed, seconds=20).run().trace_hash.hexdigest() for seed in (7, 8))
    assert one != other
    assert len(RECORDED) == len(SCENES) * len(CHANGES)
