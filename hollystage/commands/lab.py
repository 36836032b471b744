"""The command group `hollystage lab`: runs fleets of real processes on this machine with injected faults."""
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

app = typer.Typer(no_args_is_help=True, help="Run fleets of processes with injected faults, and check the results.")
Members = Annotated[int, typer.Option("--members", min=1, max=60, help="Number of instances.")]
Seconds = Annotated[float, typer.Option("--seconds", min=1, max=3600, help="Length of the schedule.")]
Seed = Annotated[int, typer.Option("--seed", help="Seed for the schedule, the links and the traffic.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on standard output.")]
Break = Annotated[str, typer.Option("--break", help="Activate this seeded fault in every member; see docs/lab.md.")]
Report = Annotated[str, typer.Option("--report", help="Draw a timeline of every member into this PNG file.")]
Keep = Annotated[str, typer.Option("--keep", help="Keep histories and logs in this folder.")]


@app.callback()
def lab() -> None:
    """Run fleets of processes with injected faults, and check the results."""


@app.command()
def fleet(members: Members = 12, seconds: Seconds = 10.0, seed: Seed = 1,
          schedule: Annotated[str, typer.Option("--schedule", help="Run this schedule file.")] = "",
          scene: Annotated[str, typer.Option("--scene", help="Run the scene of this name; see docs/lab.md.")] = "",
          rate: Annotated[float, typer.Option("--rate", min=0.0, max=2000, help="RPCs per second; 0: the default.")]
          = 0.0,
          period: Annotated[int, typer.Option("--period", min=50, max=60_000, help="Probe period in milliseconds.")]
          = 500,
          settle: Annotated[float, typer.Option("--settle", min=1, max=600, help="Seconds for views to agree.")]
          = 40.0,
          shrink: Annotated[bool, typer.Option("--shrink", help="Reduce a failing schedule; takes many runs.")]
          = False, broken: Break = "", report: Report = "", keep: Keep = "", json: Json = False) -> None:
    """Start a fleet with stand-ins for its peers, inject faults, and check the recorded histories against the rules.

    Exits with code 0 if no rule was violated, with 1 if one was, and with 2 if the arguments cannot be used.
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
        _end(f"--break: unknown fault {broken!r}; known faults: {', '.join(BREAKS)}")
    if scene and scene not in SCENES:
        _end(f"--scene: unknown scene {scene!r}; known scenes: {', '.join(SCENES)}")
    if schedule:
        plan = read_schedule(schedule)
    else:
        plan = scene_of(scene, members, seed) if scene else drawn(seed, members, seconds)
    plan.load |= {"rate": rate} if rate else {}
    try:
        load = msgspec.convert(plan.load | {"period_ms": period, "settle_s": settle}, Load)
    except msgspec.ValidationError as error:
        _end(f"the load of the schedule is invalid: {error}")

    def check_rules(lines: list[Line]) -> list[Violation]:
        return rules(lines, load, across_lives=True) + membership(
            lines, CHATTER + chatter(load, plan.members)) + comeback(lines) + budgets(
            lines, load.whole)

    lines = play(plan, load, broken, keep)
    violations = check_rules(lines)
    if violations and shrink:
        def fails(faults: list[Fault]) -> bool:
            typer.echo(f"running {len(faults)} events ...", err=True)
            return bool(check_rules(play(msgspec.structs.replace(plan, faults=faults), load, broken, "")))
        plan.faults = fewest(plan.faults, fails)
    tell(plan, lines, violations, load, json, report)


def play(plan: Schedule, load: Any, broken: str, keep: str) -> list[Line]:
    """Runs a fleet under a schedule and returns the merged history; histories and logs stay in the folder `keep`."""
    from ..standins.fleet.rig import Rig

    if keep:
        if os.path.exists(keep) and os.listdir(keep):
            _end(f"--keep: {keep} is not empty")
        return Rig(plan, keep, load, broken).run()
    with tempfile.TemporaryDirectory(prefix="hollystage-lab-") as folder:
        return Rig(plan, folder, load, broken).run()


def tell(plan: Schedule, lines: list[Line], violations: list[Violation], load: Any, json: bool,
         report: str) -> NoReturn:
    """Prints the figures and violations of a run, stores a failing schedule, and ends the command."""
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
            {"violations": violations, "seed": plan.seed, "faults": plan.kinds(), "measured": figures})).decode())
    else:
        for name, value in figures.items():
            typer.echo(f"{name:20} {value}")
        for violation in violations[:20]:
            typer.echo(f"violated: {violation.rule}: {violation.who}: {violation.why}", err=True)
    if violations:
        with tempfile.NamedTemporaryFile("wb", prefix="schedule-", suffix=".json", delete=False) as file:
            file.write(msgspec.json.format(msgspec.json.encode(plan)))
        typer.echo(f"{len(violations)} violations; to run it again: hollystage lab fleet --schedule {file.name}",
                   err=True)
    sys.stdout.flush()
    raise typer.Exit(1 if violations else 0)


def read_schedule(path: str) -> Schedule:
    """Reads a schedule file; on errors, prints them and exits with code 2."""
    import msgspec

    from ..standins.fleet.faults import Schedule

    try:
        with open(path, "rb") as file:
            plan = msgspec.json.decode(file.read(), type=Schedule)
    except OSError as error:
        _end(f"--schedule: {path} cannot be read: {error.strerror}")
    except msgspec.DecodeError as error:
        _end(f"--schedule: {path}: {error}")
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
    """Prints an error and exits with code 2."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
