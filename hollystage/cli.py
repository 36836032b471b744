"""The command line."""
from __future__ import annotations

import os
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING, Annotated

import typer

from . import __version__
from .settings import Faulty

if TYPE_CHECKING:
    from .service.instance import Instance

FOREVER_S, DRAIN_S = 3600, 0.01  # between looks at whether the drain is over

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="Admission and scheduling inside servers behind other people's balancers.")
ConfigPath = Annotated[str, typer.Option("--config", envvar="PROXY_CONFIG", help="The platform's JSON file.")]
PlanPath = Annotated[str, typer.Option("--plan", envvar="HOLLYSTAGE_PLAN",
                                       help="A plan: a script, or one that `config build` wrote.")]
KeyPath = Annotated[str, typer.Option("--plan-key", envvar="HOLLYSTAGE_PLAN_KEY",
                                      help="The key file with which the plan was built.")]


@app.command()
def serve(config: ConfigPath = "", plan: PlanPath = "", plan_key: KeyPath = "") -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second SIGINT ends at once.

    The keys of the platform's JSON go before those of a plan.
    SIGHUP reads both anew and takes the addresses of interpreter, ledger and control plane.
    SIGUSR1 logs the counters.
    """
    entered = time.monotonic()
    from .decisions.leaving.notice import Notice
    from .service.config import load
    from .service.driver import clock
    from .service.instance import Instance
    from .service.log import setup

    # SIGURG is our own, to look for a notice after a sleep
    watched = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP, signal.SIGURG}
    signal.pthread_sigmask(signal.SIG_BLOCK, watched)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)  # ignored until here, where the file is unread
    try:
        settings = load(config, plan, plan_key)
        log = setup(settings.name)
        instance = Instance(settings, log)
    except Faulty as bad:
        _fail(str(bad))
    except OSError as bad:
        _fail(f"listen: {settings.listen} cannot be used: {bad.strerror}")
    # a notice that came while this started is heard only now
    notice = Notice(instance.driver.settings.drain_grace, clock() - int((time.monotonic() - entered) * 1e6))
    instance.driver.notice = notice
    hearing = threading.get_ident()
    instance.driver.look = lambda: signal.pthread_kill(hearing, signal.SIGURG)
    instance.start()
    stale = threading.Event()
    # files are read on a thread of its own, so that a notice is heard in the middle of it
    threading.Thread(target=_reload_forever, args=(stale, instance, config, plan, plan_key), daemon=True).start()
    drain: threading.Thread | None = None
    looks = True  # whether a notice waits already is asked
    while drain is None or drain.is_alive():  # also in a drain the peers may move
        asked = clock()
        match signal.sigtimedwait(watched, DRAIN_S if drain else 0 if looks else FOREVER_S):
            case None:
                if looks:
                    notice.silent(asked)
                looks = False
            case (signal.SIGURG, *_):
                looks = True
            case (signal.SIGUSR1, *_):
                log.info("counters", **instance.counters.read(), **instance.figures())
            case (signal.SIGHUP, *_):
                stale.set()
            case (signal.SIGTERM | signal.SIGINT, *_) if drain is None:
                signal.signal(signal.SIGINT, signal.SIG_DFL)
                signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGINT})
                watched.discard(signal.SIGINT)
                drain = threading.Thread(target=instance.drain, args=(notice.given(clock()),), daemon=True)
                drain.start()
            case _:
                # Python 3.11: a wait that a pause interrupts past its time-out tells of a signal that nobody sent
                looks = looks or drain is None
    sys.stderr.flush()
    os._exit(0)  # threads that wait on sockets are not waited for


def _reload_forever(stale: threading.Event, instance: Instance, *paths: str) -> None:
    while stale.wait():
        stale.clear()
        try:
            _reload(instance, *paths)
        except Exception:
            instance.log.exception("the configuration could not be read anew")


def _reload(instance: Instance, *paths: str) -> None:
    """Nothing in a new file may end the process: a faulty one leaves all as it is."""
    from .service.config import load

    try:
        instance.reload(load(*paths))
    except Faulty as bad:
        instance.log.error("the new configuration is not taken", why=str(bad))
    except MemoryError:
        instance.log.error("the new configuration is not taken", why="no memory to read it")


@app.command("check-config")
def check_config(config: ConfigPath = "", plan: PlanPath = "", plan_key: KeyPath = "") -> None:
    """Read and check a configuration as a start and SIGHUP do, and say whether it can be used."""
    from .service.config import check_files, load

    try:
        found = load(config, plan, plan_key)
        check_files(found)
        typer.echo(f"{found.name}: good")
    except Faulty as bad:
        _fail(str(bad))


@app.command("version")
def print_version() -> None:
    """Print the version."""
    typer.echo(__version__)


def _add_commands() -> None:
    """Commands that import more than serving needs load it when they are run."""
    from .commands import config, demo, fleet, lab

    app.add_typer(config.app, name="config")
    app.add_typer(fleet.app, name="fleet")
    app.add_typer(lab.app, name="lab")
    app.command("demo")(demo.demo)


_add_commands()


def _fail(message: str) -> None:
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
