"""Draws a timeline of one lab run.

Each member has a row with its states and the answers to its RPCs. Faults are lines across all rows.
"""
from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  # the backend is set first, for machines without a display

if TYPE_CHECKING:
    from ..standins.fleet.history import Line

SECOND_US = 1_000_000
STATE_COLOURS = {"running": "#cfe8cf", "down": "#e8e8e8", "stopped": "#f5d58a"}
EVENT_MARKERS = {"lost": "v", "left": "v", "back": "^", "twin": "x", "ousted": "x"}
ANSWER_STYLES = {"ok": ("#2f7d32", 2), "pushed back": ("#1f4fd8", 4), "aborted": ("#c62828", 8)}


def draw(lines: list[Line], path: str) -> None:
    """Draws the history of a run into an image file.

    Below the rows of the members, a bar marks the times at which the views differ. The second plot shows the
    criticality that was asked for and served.
    """
    from ..standins.fleet.check import agreement_changes

    names = sorted({line["who"] for line in lines if line["what"] == "began"}, key=lambda name: int(name[1:]))
    start = next((line["t"] for line in lines if line["what"] == "schedule"), lines[0]["t"])
    last = (lines[-1]["t"] - start) / SECOND_US
    figure, (member_axes, criticality_axes) = pyplot.subplots(
        2, 1, figsize=(13, 2.5 + 0.4 * len(names)), sharex=True, height_ratios=[max(3, len(names)), 3],
        layout="constrained")
    row_of = {name: len(names) - n for n, name in enumerate(names)}
    for name in names:
        for begin, end, state in _state_spans(lines, name, start, last):
            member_axes.barh(row_of[name], end - begin, left=begin, height=0.8, color=STATE_COLOURS[state],
                             linewidth=0)
    _plot_answers(member_axes, lines, row_of, start)
    for line in lines:
        if line["what"] == "fault":
            time_s = (line["t"] - start) / SECOND_US
            member_axes.axvline(time_s, color="#444444", linewidth=0.8, linestyle=":")
            member_axes.text(time_s, len(names) + 0.7, line["do"], rotation=60, fontsize=7)
        elif line["what"] == "peer" and line["event"] in EVENT_MARKERS and line["t"] > start:
            member_axes.plot((line["t"] - start) / SECOND_US, row_of[line["who"]] + 0.33,
                             marker=EVENT_MARKERS[line["event"]], markersize=3, color="#8e24aa", linestyle="")
    agreements = [*agreement_changes(lines), (lines[-1]["t"], True)]
    for (begin, agreed), (end, _) in zip(agreements, agreements[1:], strict=False):
        if not agreed:
            member_axes.barh(0, (end - begin) / SECOND_US, left=(begin - start) / SECOND_US, height=0.5,
                             color="#c62828")
    member_axes.set_yticks([0, *row_of.values()], ["views differ", *row_of])
    member_axes.set_ylim(-0.6, len(names) + 2)
    _plot_criticality(criticality_axes, lines, start, last)
    criticality_axes.set_xlabel("seconds")
    criticality_axes.set_xlim(min(0.0, -2.0), last)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _state_spans(lines: list[Line], name: str, start: int, last: float) -> list[tuple[float, float, str]]:
    """The states of a member: (begin, end, state), in seconds after the time `start`."""
    spans: list[tuple[float, float, str]] = []
    state, since = "down", (lines[0]["t"] - start) / SECOND_US
    for line in lines:
        if line["who"] != name:
            continue
        new_state = {"up": "running", "ended": "down"}.get(line["what"], state)
        if line["what"] == "signal":
            awake = "running" if state == "stopped" else state
            new_state = {9: "down", 18: awake, 19: "stopped"}.get(line["number"], state)
        if new_state != state:
            now = (line["t"] - start) / SECOND_US
            spans.append((since, now, state))
            state, since = new_state, now
    return [*spans, (since, last, state)]


def _plot_answers(axes: Any, lines: list[Line], row_of: dict[str, int], start: int) -> None:
    """Plots a dot for each answer, in the row of the member that the attempt was sent to."""
    target = {line["rpc"]: line["to"] for line in lines if line["what"] == "try"}
    for answer, (colour, size) in ANSWER_STYLES.items():
        ends = [line for line in lines if line["what"] == "end" and line["word"] == answer and line["rpc"] in target]
        axes.scatter([(line["t"] - start) / SECOND_US for line in ends],
                     [row_of[target[line["rpc"]]] + 0.25 * ((line["t"] % 97) / 97 - 0.5) for line in ends],
                     s=size, color=colour, label=answer, linewidths=0)
    axes.legend(loc="lower right", fontsize=7, ncols=3)


def _plot_criticality(axes: Any, lines: list[Line], start: int, last: float) -> None:
    """Plots the criticality that was served within the latency target and that was asked for, by the second."""
    seconds = range(-2, int(last) + 1)
    served, asked = dict.fromkeys(seconds, 0.0), dict.fromkeys(seconds, 0.0)
    for line in lines:
        second = (line["t"] - start) // SECOND_US
        if line["what"] == "rpc" and second in asked:
            asked[second] += line["worth"]
            served[second] += line["worth"] if line["good"] else 0.0
    axes.step(list(asked), list(asked.values()), where="post", color="#9e9e9e", label="asked")
    axes.step(list(served), list(served.values()), where="post", color="#2f7d32", label="served within target")
    axes.set_ylabel("criticality per second")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
