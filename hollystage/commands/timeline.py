"""A picture of one run: a row a member, its states and its RPCs; the faults across all."""
from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  # the backend comes first: there may be no screen

if TYPE_CHECKING:
    from ..standins.fleet.history import Line

SECOND = 1_000_000
COLOURS = {"running": "#cfe8cf", "down": "#e8e8e8", "stopped": "#f5d58a"}
MARKS = {"lost": "v", "left": "v", "back": "^", "twin": "x", "ousted": "x"}
DOTS = {"ok": ("#2f7d32", 2), "pushed back": ("#1f4fd8", 4), "aborted": ("#c62828", 8)}


def draw(lines: list[Line], path: str) -> None:
    from ..standins.fleet.check import agreement

    names = sorted({line["who"] for line in lines if line["what"] == "began"}, key=lambda name: int(name[1:]))
    zero = next((line["t"] for line in lines if line["what"] == "schedule"), lines[0]["t"])
    last = (lines[-1]["t"] - zero) / SECOND
    figure, (rows, worth) = pyplot.subplots(2, 1, figsize=(13, 2.5 + 0.4 * len(names)), sharex=True,
                                            height_ratios=[max(3, len(names)), 3], layout="constrained")
    at = {name: len(names) - n for n, name in enumerate(names)}
    for name in names:
        for begun, end, state in _states(lines, name, zero, last):
            rows.barh(at[name], end - begun, left=begun, height=0.8, color=COLOURS[state], linewidth=0)
    _rpcs(rows, lines, at, zero)
    for line in lines:
        if line["what"] == "fault":
            when = (line["t"] - zero) / SECOND
            rows.axvline(when, color="#444444", linewidth=0.8, linestyle=":")
            rows.text(when, len(names) + 0.7, line["do"], rotation=60, fontsize=7)
        elif line["what"] == "peer" and line["event"] in MARKS and line["t"] > zero:
            rows.plot((line["t"] - zero) / SECOND, at[line["who"]] + 0.33, marker=MARKS[line["event"]], markersize=3,
                      color="#8e24aa", linestyle="")
    turns = [*agreement(lines), (lines[-1]["t"], True)]
    for (begun, good), (end, _) in zip(turns, turns[1:], strict=False):
        if not good:
            rows.barh(0, (end - begun) / SECOND, left=(begun - zero) / SECOND, height=0.5, color="#c62828")
    rows.set_yticks([0, *at.values()], ["views differ", *at])
    rows.set_ylim(-0.6, len(names) + 2)
    _worth(worth, lines, zero, last)
    worth.set_xlabel("seconds")
    worth.set_xlim(min(0.0, -2.0), last)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _states(lines: list[Line], name: str, zero: int, last: float) -> list[tuple[float, float, str]]:
    found: list[tuple[float, float, str]] = []
    state, since = "down", (lines[0]["t"] - zero) / SECOND
    for line in lines:
        if line["who"] != name:
            continue
        new = {"up": "running", "ended": "down"}.get(line["what"], state)
        if line["what"] == "signal":
            awake = "running" if state == "stopped" else state
            new = {9: "down", 18: awake, 19: "stopped"}.get(line["number"], state)
        if new != state:
            now = (line["t"] - zero) / SECOND
            found.append((since, now, state))
            state, since = new, now
    return [*found, (since, last, state)]


def _rpcs(axes: Any, lines: list[Line], at: dict[str, int], zero: int) -> None:
    target = {line["rpc"]: line["to"] for line in lines if line["what"] == "try"}
    for word, (colour, size) in DOTS.items():
        ends = [line for line in lines if line["what"] == "end" and line["word"] == word and line["rpc"] in target]
        axes.scatter([(line["t"] - zero) / SECOND for line in ends],
                     [at[target[line["rpc"]]] + 0.25 * ((line["t"] % 97) / 97 - 0.5) for line in ends],
                     s=size, color=colour, label=word, linewidths=0)
    axes.legend(loc="lower right", fontsize=7, ncols=3)


def _worth(axes: Any, lines: list[Line], zero: int, last: float) -> None:
    """Criticality served within target and asked for, by the second."""
    seconds = range(-2, int(last) + 1)
    good, asked = dict.fromkeys(seconds, 0.0), dict.fromkeys(seconds, 0.0)
    for line in lines:
        second = (line["t"] - zero) // SECOND
        if line["what"] == "rpc" and second in asked:
            asked[second] += line["worth"]
            good[second] += line["worth"] if line["good"] else 0.0
    axes.step(list(asked), list(asked.values()), where="post", color="#9e9e9e", label="asked")
    axes.step(list(good), list(good.values()), where="post", color="#2f7d32", label="served within target")
    axes.set_ylabel("criticality a second")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
