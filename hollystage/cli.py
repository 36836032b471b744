"""The command line: serving and checking a configuration; other commands are in the package `commands`."""
from __future__ import annotations

import os
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING, Annotated

import typer

from . import __version__
from .settings import ConfigError

if TYPE_CHECKING:
    from .service.instance import Instance

SIGNAL_WAIT_S, DRAIN_POLL_S = 3600, 0.01  # wait for a signal; interval of checks whether the drain has finished

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="Admission control and scheduling inside servers behind third-party load balancers.")
ConfigPath = Annotated[str, typer.Option("--config", envvar="PROXY_CONFIG", help="The platform's JSON file.")]
PlanPath = Annotated[str, typer.Option("--plan", envvar="HOLLYSTAGE_PLAN",
                                       help="A plan: a script, or the output of `config build`.")]
KeyPath = Annotated[str, typer.Option("--plan-key", envvar="HOLLYSTAGE_PLAN_KEY",
                                      help="The key file that the plan was built with.")]


@app.command()
def serve(config: ConfigPath = "", plan: PlanPath = "", plan_key: KeyPath = "") -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second SIGINT exits at once.

    Keys of the platform's JSON take precedence over those of a plan.
    SIGHUP reloads both and applies the pools and the addresses of interpreter, ledger and control plane.
    SIGUSR1 logs the counters.
    """
    entered = time.monotonic()
    from .decisions.draining.drain_notice import DrainNotice
    from .service.config import load
    from .service.driver import clock
    from .service.instance import Instance
    from .service.log import setup
    from .service.threads import start_thread

    # the driver sends SIGURG to have pending signals checked after the process was suspended
    watched = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP, signal.SIGURG}
    signal.pthread_sigmask(signal.SIG_BLOCK, watched)
    # the parent may have set SIGHUP to be ignored, since an early one would end the process by default; none is lost,
    # since the files are read after this line
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        settings = load(config, plan, plan_key)
        log = setup(settings.name)
        instance = Instance(settings, log)
    except ConfigError as error:
        _fail(str(error))
    except OSError as error:
        _fail(f"listen: {settings.listen} cannot be used: {error.strerror}")
    # a drain signal sent during the start is received only from here on
    notice = DrainNotice(instance.driver.settings.drain_grace, clock() - int((time.monotonic() - entered) * 1e6))
    instance.driver.drain_notice = notice
    signal_thread = threading.get_ident()
    instance.driver.check_signals = lambda: signal.pthread_kill(signal_thread, signal.SIGURG)
    instance.start()
    reload_requested = threading.Event()
    # files are read by another thread, so that a drain signal is received even while a read blocks
    start_thread(_run_reloads, reload_requested, instance, config, plan, plan_key)
    drain: threading.Thread | None = None
    polling = True  # the next wait only checks for a pending signal
    while drain is None or drain.is_alive():  # addresses may change during a drain too
        waited_from = clock()
        match signal.sigtimedwait(watched, DRAIN_POLL_S if drain else 0 if polling else SIGNAL_WAIT_S):
            case None:
                if polling:
                    notice.confirm_no_notice(waited_from)
                polling = False
            case (signal.SIGURG, *_):
                polling = True
            case (signal.SIGUSR1, *_):
                log.info("counters", **instance.counters.read(), **instance.metrics())
            case (signal.SIGHUP, *_):
                reload_requested.set()
            case (signal.SIGTERM | signal.SIGINT, *_) if drain is None:
                signal.signal(signal.SIGINT, signal.SIG_DFL)
                signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGINT})
                watched.discard(signal.SIGINT)
                drain = threading.Thread(target=instance.drain, args=(notice.given_at(clock()),), daemon=True)
                drain.start()
            case _:
                # Python 3.11: if the process is suspended past the time-out, sigtimedwait reports a signal that
                # nobody sent
                polling = polling or drain is None
    sys.stderr.flush()
    os._exit(0)  # does not wait for threads that block on sockets


def _run_reloads(reload_requested: threading.Event, instance: Instance, *paths: str) -> None:
    """Reloads the configuration at each request."""
    while reload_requested.wait():
        reload_requested.clear()
        try:
            _reload(instance, *paths)
        except Exception:
            instance.log.exception("reloading the configuration failed")


def _reload(instance: Instance, *paths: str) -> None:
    """Reloads the configuration. An invalid file changes nothing and must not end the process."""
    from .service.config import load

    try:
        instance.reload(load(*paths))
    except ConfigError as error:
        instance.log.error("new configuration rejected", why=str(error))
    except MemoryError:
        instance.log.error("new configuration rejected", why="not enough memory to read it")


@app.command("check-config")
def check_config(config: ConfigPath = "", plan: PlanPath = "", plan_key: KeyPath = "") -> None:
    """Check a configuration as at a start or SIGHUP and report whether it can be used."""
    from .service.config import check_files, load

    try:
        loaded = load(config, plan, plan_key)
        check_files(loaded)
        typer.echo(f"{loaded.name}: good")
    except ConfigError as error:
        _fail(str(error))


@app.command("version")
def print_version() -> None:
    """Print the version."""
    typer.echo(__version__)


def _add_commands() -> None:
    """Adds the other commands. What they need beyond serving is imported only when they run."""
    from .commands import config, demo, fleet, lab

    app.add_typer(config.app, name="config")
    app.add_typer(fleet.app, name="fleet")
    app.add_typer(lab.app, name="lab")
    app.command("demo")(demo.demo)


_add_commands()


def _fail(message: str) -> None:
    """Prints the message and exits with code 2."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
