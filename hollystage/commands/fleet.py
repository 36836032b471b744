"""`hollystage fleet`: what a running instance holds of the others."""
from __future__ import annotations

from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(no_args_is_help=True, help="Ask a running instance what it holds of the others.")
Target = Annotated[str, typer.Argument(help="The `bind` address of an instance, like 10.0.0.1:7400.")]
KeyFile = Annotated[str, typer.Option("--key", envvar="HOLLYSTAGE_FLEET_KEY", help="The fleet's key file.")]
Cluster = Annotated[str, typer.Option("--cluster", help="The fleet's name.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on standard output.")]
COLOURS = {"alive": "green", "suspect": "yellow", "lost": "red", "left": "dim"}


@app.command()
def members(address: Target, key: KeyFile, cluster: Cluster = "hollystage", json: Json = False) -> None:
    """Print the view of one instance: who is there, since which boot, and what each says of itself.

    Ends with code 0 where the instance answered, else with 1.
    """
    found = ask(address, key, cluster, "members")
    if json:
        _json(found)
        return
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(title=f"as {found['me']} sees them, {found['view_age_ms']} ms ago", title_justify="left")
    for column in ("name", "zone", "address", "belief", "stage", "boot", "incarnation", "plan", "age"):
        table.add_column(column)
    for row in found["members"]:
        mark = " *" if row["name"] == found["me"] else ""
        table.add_row(row["name"] + mark, row["zone"], row["address"],
                      Text(row["belief"], COLOURS.get(row["belief"], "")), row["stage"], str(row["boot"]),
                      str(row["incarnation"]), row["plan"], f"{row['age_s']} s")
    Console(width=None if Console().is_terminal else 160).print(table)
    if not found["fresh"]:
        typer.echo("it has slept, and has not heard of most of them since")
    if found["ousted"]:
        typer.echo("another process has its name: it takes no part until it is started anew under its own")


def ask(address: str, key: str, cluster: str, what: str, **more: Any) -> dict[str, Any]:
    """One question to a running instance, over its stream."""
    import msgspec

    from ..fleet.ask import NoAnswer
    from ..fleet.ask import ask as asking
    from ..plan.compiled import Damaged, read_key

    try:
        found: dict[str, Any] = msgspec.json.decode(asking(address, read_key(key), cluster, what, **more))
    except Damaged as bad:
        _end(f"key: {bad}", 2)
    except NoAnswer as bad:
        _end(f"{address}: {bad}", 1)
    if "fault" in found:
        _end(f"{address}: {found['fault']}", 1)
    return found


def _json(value: object) -> None:
    import msgspec

    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _end(message: str, code: int) -> NoReturn:
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(code)
