"""`hollystage lab`: fleets of real processes on this machine, faults between them, and what came of it."""
from __future__ import annotations

import os
import sys
import tempfile
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import typer

if TYPE_CHECKING:
    from ..standins.fleet.check import Violation
    from ..standins.fleet.faults import Fault, Schedule
    from ..standins.fleet.history import Line

app = typer.Typer(no_args_is_help=True, help="Fleets of real processes, faults between them, and what came of it.")
Members = Annotated[int, typer.Option("--members", min=1, max=60, help="Processes of the program.")]
Seconds = Annotated[float, typer.Option("--seconds", min=1, max=3600, help="How long the schedule is.")]
Seed = Annotated[int, typer.Option("--seed", help="For the schedule, the links and the traffic.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on standard output.")]
Break = Annotated[str, typer.Option("--break", help="Seed this fault into every member; see docs/lab.md.")]
Report = Annotated[str, typer.Option("--report", help="Draw a timeline of every member into this PNG file.")]
Keep = Annotated[str, typer.Option("--keep", help="Keep histories and logs in this folder.")]


@app.callback()
def lab() -> None:
    """Fleets of real processes, faults between them, and what came of it."""


@app.command()
def fleet(members: Members = 12, seconds: Seconds = 10.0, seed: Seed = 1,
          schedule: Annotated[str, typer.Option("--schedule", help="Play this file instead of a drawn one.")] = "",
          scene: Annotated[str, typer.Option("--scene", help="Play a trouble by its name; see docs/lab.md.")] = "",
          rate: Annotated[float, typer.Option("--rate", min=0.0, max=2000, help="RPCs a second in all; 0: as usual.")]
          = 0.0,
          period: Annotated[int, typer.Option("--period", min=50, max=60_000, help="Of membership, milliseconds.")]
          = 500,
          settle: Annotated[float, typer.Option("--settle", min=1, max=600, help="Seconds for views to agree.")]
          = 40.0,
          shrink: Annotated[bool, typer.Option("--shrink", help="Cut a failing schedule down; takes many plays.")]
          = False, broken: Break = "", report: Report = "", keep: Keep = "", json: Json = False) -> None:
    """Start a fleet among stand-ins, let faults befall it, and judge what everybody saw.

    Ends with code 0 where nothing was violated, 1 where something was, 2 where the call cannot be used.
    """
    import msgspec

    from ..standins.fleet.aftermath import comeback
    from ..standins.fleet.breaks import BREAKS
    from ..standins.fleet.check import CHATTER, membership, rules
    from ..standins.fleet.draw import SCENES, drawn, fewest
    from ..standins.fleet.draw import scene as scene_of
    from ..standins.fleet.rig import Load
    from ..standins.fleet.sums import budgets, chatter

    if broken and broken not in BREAKS:
        _end(f"--break: no fault is called {broken!r}; there are {', '.join(BREAKS)}")
    if scene and scene not in SCENES:
        _end(f"--scene: no scene is called {scene!r}; there are {', '.join(SCENES)}")
    if schedule:
        plan = read_schedule(schedule)
    else:
        plan = scene_of(scene, members, seed) if scene else drawn(seed, members, seconds)
    plan.load |= {"rate": rate} if rate else {}
    try:
        load = msgspec.convert(plan.load | {"period_ms": period, "settle_s": settle}, Load)
    except msgspec.ValidationError as bad:
        _end(f"the schedule's load cannot be used: {bad}")

    def judge(lines: list[Line]) -> list[Violation]:
        return rules(lines, load, across_lives=True) + membership(
            lines, CHATTER + chatter(load, plan.members)) + comeback(lines) + budgets(
            lines, load.whole)

    lines = play(plan, load, broken, keep)
    found = judge(lines)
    if found and shrink:
        def fails(faults: list[Fault]) -> bool:
            typer.echo(f"playing {len(faults)} events ...", err=True)
            return bool(judge(play(msgspec.structs.replace(plan, faults=faults), load, broken, "")))
        plan.faults = fewest(plan.faults, fails)
    tell(plan, lines, found, load, json, report)


def play(plan: Schedule, load: Any, broken: str, keep: str) -> list[Line]:
    from ..standins.fleet.rig import Rig

    if keep:
        if os.path.exists(keep) and os.listdir(keep):
            _end(f"--keep: {keep} is not empty")
        return Rig(plan, keep, load, broken).run()
    with tempfile.TemporaryDirectory(prefix="hollystage-lab-") as folder:
        return Rig(plan, folder, load, broken).run()


def tell(plan: Schedule, lines: list[Line], found: list[Violation], load: Any, json: bool, report: str) -> NoReturn:
    """Prints what came of it, and ends the command."""
    import msgspec

    from ..standins.fleet import aftermath, sums
    from ..standins.fleet.check import measured

    if report:
        _draw(lines, report)
    figures = measured(lines, plan.seconds) | {"comeback": aftermath.figures(lines, load.warm_up_s)}
    if load.whole:
        figures["budget"] = sums.figures(lines, load.whole)
    if json:
        typer.echo(msgspec.json.format(msgspec.json.encode(
            {"violations": found, "seed": plan.seed, "faults": plan.kinds(), "measured": figures})).decode())
    else:
        for name, value in figures.items():
            typer.echo(f"{name:20} {value}")
        for violation in found[:20]:
            typer.echo(f"violated: {violation.rule}: {violation.who}: {violation.why}", err=True)
    if found:
        with tempfile.NamedTemporaryFile("wb", prefix="schedule-", suffix=".json", delete=False) as file:
            file.write(msgspec.json.format(msgspec.json.encode(plan)))
        typer.echo(f"{len(found)} violations; to play it again: hollystage lab fleet --schedule {file.name}",
                   err=True)
    sys.stdout.flush()
    raise typer.Exit(1 if found else 0)


def read_schedule(path: str) -> Schedule:
    import msgspec

    from ..standins.fleet.faults import Schedule

    try:
        with open(path, "rb") as file:
            plan = msgspec.json.decode(file.read(), type=Schedule)
    except OSError as bad:
        _end(f"--schedule: {path} cannot be read: {bad.strerror}")
    except msgspec.DecodeError as bad:
        _end(f"--schedule: {path}: {bad}")
    unknown = plan.unknown()
    if unknown:
        _end(f"--schedule: {path}: no party is called {unknown!r}")
    return plan


def _draw(lines: list[Line], path: str) -> None:
    try:
        from .timeline import draw
    except ImportError:
        _end("--report needs matplotlib: pip install 'hollystage[lab]'")
    draw(lines, path)


def _end(message: str) -> NoReturn:
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
