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
SeededFault = Annotated[str, typer.Option("--break", help="Activate this seeded fault; see docs/lab.md.")]
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
          = False, broken: SeededFault = "", report: Report = "", keep: Keep = "", json: Json = False) -> None:
    """Start a fleet with stand-ins for its peers, inject faults, and check the recorded histories against the rules.

    Exits with code 0 if no rule was violated, with 1 if one was, and with 2 if the arguments cannot be used.
    """
    import msgspec

    from ..standins.fleet.budget_check import allocator_datagram_rate, check_budgets
    from ..standins.fleet.check import MAX_DATAGRAMS_PER_S, check_membership, check_rules
    from ..standins.fleet.recovery_check import check_recovery
    from ..standins.fleet.rig import Load
    from ..standins.fleet.schedules import SCENES, minimize_faults, random_schedule, scene_schedule
    from ..standins.fleet.seeded_faults import SEEDED_FAULTS

    if broken and broken not in SEEDED_FAULTS:
        _fail(f"--break: unknown fault {broken!r}; known faults: {', '.join(SEEDED_FAULTS)}")
    if scene and scene not in SCENES:
        _fail(f"--scene: unknown scene {scene!r}; known scenes: {', '.join(SCENES)}")
    if schedule:
        plan = read_schedule(schedule)
    else:
        plan = scene_schedule(scene, members, seed) if scene else random_schedule(seed, members, seconds)
    plan.load |= {"rate": rate} if rate else {}
    try:
        load = msgspec.convert(plan.load | {"period_ms": period, "settle_s": settle}, Load)
    except msgspec.ValidationError as error:
        _fail(f"the load of the schedule is invalid: {error}")

    def find_violations(lines: list[Line]) -> list[Violation]:
        return (check_rules(lines, load, across_restarts=True)
                + check_membership(lines, MAX_DATAGRAMS_PER_S + allocator_datagram_rate(load, plan.members))
                + check_recovery(lines) + check_budgets(lines, load.whole))

    lines = run_schedule(plan, load, broken, keep)
    violations = find_violations(lines)
    if violations and shrink:
        def fails(faults: list[Fault]) -> bool:
            typer.echo(f"running {len(faults)} events ...", err=True)
            return bool(find_violations(run_schedule(msgspec.structs.replace(plan, faults=faults), load, broken, "")))
        plan.faults = minimize_faults(plan.faults, fails)
    print_results(plan, lines, violations, load, json, report)


def run_schedule(plan: Schedule, load: Any, broken: str, keep: str) -> list[Line]:
    """Runs a fleet under a schedule and returns the merged history; histories and logs stay in the folder `keep`."""
    from ..standins.fleet.rig import Rig

    if keep:
        if os.path.exists(keep) and os.listdir(keep):
            _fail(f"--keep: {keep} is not empty")
        return Rig(plan, keep, load, broken).run()
    with tempfile.TemporaryDirectory(prefix="hollystage-lab-") as folder:
        return Rig(plan, folder, load, broken).run()


def print_results(plan: Schedule, lines: list[Line], violations: list[Violation], load: Any, json: bool,
                  report: str) -> NoReturn:
    """Prints the figures and violations of a run, stores a failing schedule, and ends the command."""
    import msgspec

    from ..standins.fleet import budget_check, recovery_check
    from ..standins.fleet.check import run_metrics

    if report:
        _draw_timeline(lines, report)
    figures = run_metrics(lines, plan.seconds) | {"comeback": recovery_check.recovery_metrics(lines, load.warm_up_s)}
    if load.whole:
        figures["budget"] = budget_check.budget_metrics(lines, load.whole)
    if json:
        typer.echo(msgspec.json.format(msgspec.json.encode(
            {"violations": violations, "seed": plan.seed, "faults": plan.fault_counts(),
             "measured": figures})).decode())
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
        _fail(f"--schedule: {path} cannot be read: {error.strerror}")
    except msgspec.DecodeError as error:
        _fail(f"--schedule: {path}: {error}")
    unknown = plan.unknown_party()
    if unknown:
        _fail(f"--schedule: {path}: no party is called {unknown!r}")
    return plan


def _draw_timeline(lines: list[Line], path: str) -> None:
    try:
        from .timeline import draw
    except ImportError:
        _fail("--report needs matplotlib: pip install 'hollystage[lab]'")
    draw(lines, path)


def _fail(message: str) -> NoReturn:
    """Prints an error and exits with code 2."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
