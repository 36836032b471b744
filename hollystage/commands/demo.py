"""The command `hollystage demo`: runs an instance with stand-ins and sends it RPCs over sockets for some seconds."""
from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from ..standins.caller import MethodResults


def demo(plan: Annotated[str, typer.Argument(help="The plan to run; its addresses are replaced.")] =
         "examples/counter.star",
         seconds: Annotated[float, typer.Option(min=0.5, max=600, help="How long to send RPCs.")] = 6.0,
         rate: Annotated[float, typer.Option(min=1, max=2000, help="RPCs per second over all methods.")] = 120.0,
         seed: Annotated[int, typer.Option(help="Seed for arrivals and run times.")] = 1,
         log: Annotated[bool, typer.Option("--log", help="Show the instance's log.")] = False) -> None:
    """Start an instance with stand-ins for its peers, send it RPCs, drain it and print how they were answered.

    Exits with code 0 if every RPC got a complete answer and none ran twice, otherwise with 1.
    """
    from ..service.config import load
    from ..service.instance import Instance
    from ..service.log import setup
    from ..settings import ConfigError
    from ..standins.caller import LoadGenerator, Traffic
    from ..standins.interpreter import SimulatedInterpreter
    from ..standins.server import free_address
    from ..standins.services import ControlPlane, FixedLatencyLedger

    try:
        config = load("", plan)
    except ConfigError as error:
        typer.echo(f"hollystage: {error}", err=True)
        raise typer.Exit(2) from error
    profiles = config.settings.profiles
    calls = [profile.name for profile, skip in zip(
        profiles, config.settings.domain.class_skip_worth, strict=False) if skip > 0]
    # run time of an RPC with which the rate uses seven tenths of the cores
    work_s = 0.7 * config.settings.domain.cores / rate
    interpreter = SimulatedInterpreter(int(config.settings.domain.cores),
                                       {p.name: work_s for p in profiles}, frozenset(calls), seed)
    ledger, control, listen = FixedLatencyLedger(), ControlPlane(), free_address()
    config.listen = f"{listen[0]}:{listen[1]}"
    for key, stand_in in (("vm", interpreter), ("ledger", ledger), ("control", control)):
        setattr(config, key, f"{stand_in.address[0]}:{stand_in.address[1]}")
    instance = Instance(config, setup(config.name, sys.stderr if log else None))
    instance.start()
    traffic = [Traffic(p.name, rate / len(profiles), p.give_up_us / 1e6, p.repeat == "by_key") for p in profiles]
    load_tool = LoadGenerator(listen, traffic, seed)
    typer.echo(f"{plan}: {len(profiles)} methods on {int(config.settings.domain.cores)} cores, {rate:g} RPCs/s "
               f"to {config.listen} for {seconds:g} s")
    started_at = time.monotonic()
    load_tool.start()
    while (elapsed := time.monotonic() - started_at) < seconds:
        time.sleep(min(0.25, max(0.01, seconds - elapsed)))
        counts = instance.counters.read()
        _show_progress(f"{min(elapsed, seconds):5.1f} s  {counts.get('rpc.read', 0)} read, "
                       f"{counts.get('rpc.ok', 0)} ok, "
                       f"{counts.get('rpc.pushed_back', 0)} rejected, {ledger.calls} calls")
    load_tool.stop()
    _show_progress("draining")
    instance.drain()
    reported = control.reported.get(config.name, "nothing")
    instance.stop()
    _show_progress("")
    lost = _print_table(load_tool.results, {p.name: p.promise_us / 1e6 for p in profiles})
    ran_twice = sum(count > 1 for count in interpreter.run_counts.values())
    typer.echo(f"last report to the control plane: {reported}; run twice: {ran_twice}; without an answer: {lost}")
    for stand_in in (interpreter, ledger, control):
        stand_in.close()
    raise typer.Exit(1 if lost or ran_twice else 0)


def _show_progress(text: str) -> None:
    """Replaces the last line of a terminal; prints nothing elsewhere."""
    if sys.stderr.isatty():
        sys.stderr.write(f"\r\x1b[K{text}")
        sys.stderr.flush()


def _print_table(results: dict[str, MethodResults], targets: dict[str, float]) -> int:
    """Prints a table with one row per method; returns the number of RPCs without a complete answer.

    `targets` are the latency targets in seconds.
    """
    lost = 0
    typer.echo(f"{'method':16} {'sent':>6} {'ok':>6} {'rejected':>12} {'aborted':>8} {'in target':>10} "
               f"{'median':>9} {'p99':>9}")
    for method, result in results.items():
        latencies = sorted(result.latencies_s)
        in_target = sum(latency <= targets[method] for latency in latencies) / max(1, result.sent)
        median, p99 = ((latencies[len(latencies) // 2], latencies[len(latencies) * 99 // 100]) if latencies
                       else (0.0, 0.0))
        answers = result.outcomes
        lost += result.sent - answers["ok"] - answers["pushed back"] - answers["aborted"]
        typer.echo(f"{method:16} {result.sent:6} {answers['ok']:6} {answers['pushed back']:12} "
                   f"{answers['aborted']:8} {in_target:10.1%} {median * 1000:6.0f} ms {p99 * 1000:6.0f} ms")
    return lost
