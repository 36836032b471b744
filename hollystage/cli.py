"""The command line."""
from __future__ import annotations

import os
import signal
import sys
from typing import Annotated

import typer

from . import __version__
from .settings import Faulty

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="Admission and scheduling inside servers behind other people's balancers.")
ConfigPath = Annotated[str, typer.Option("--config", envvar="PROXY_CONFIG", help="The configuration file.")]


@app.command()
def serve(config: ConfigPath = "") -> None:
    """Serve until SIGTERM or SIGINT, then drain. SIGUSR1 logs the counters; a second SIGINT ends at once."""
    from .service.config import load
    from .service.instance import Instance
    from .service.log import setup

    watched = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}
    signal.pthread_sigmask(signal.SIG_BLOCK, watched)
    try:
        settings = load(config)
        log = setup(settings.name)
        instance = Instance(settings, log)
    except Faulty as bad:
        _fail(str(bad))
    except OSError as bad:
        _fail(f"listen: {settings.listen} cannot be used: {bad.strerror}")
    instance.start()
    while signal.sigwait(watched) == signal.SIGUSR1:
        log.info("counters", **instance.counters.read())
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGINT})
    instance.drain()
    sys.stderr.flush()
    os._exit(0)  # threads that wait on sockets are not waited for


@app.command("check-config")
def check_config(config: ConfigPath = "") -> None:
    """Read and check a configuration, and say whether it can be used."""
    from .service.config import load

    try:
        typer.echo(f"{load(config).name}: good")
    except Faulty as bad:
        _fail(str(bad))


@app.command("version")
def print_version() -> None:
    """Print the version."""
    typer.echo(__version__)


def _fail(message: str) -> None:
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
