"""The command group `hollystage fleet`: queries a running instance for its view of the fleet."""
from __future__ import annotations

from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(no_args_is_help=True, help="Query a running instance for its view of the fleet.")
InstanceAddress = Annotated[str, typer.Argument(help="The `bind` address of an instance, like 10.0.0.1:7400.")]
KeyFile = Annotated[str, typer.Option("--key", envvar="HOLLYSTAGE_FLEET_KEY", help="The fleet's key file.")]
Cluster = Annotated[str, typer.Option("--cluster", help="The fleet's name.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on standard output.")]
BELIEF_COLOURS = {"alive": "green", "suspect": "yellow", "lost": "red", "left": "dim"}


@app.command()
def members(address: InstanceAddress, key: KeyFile, cluster: Cluster = "hollystage", json: Json = False) -> None:
    """Print the members as one instance sees them: addresses, beliefs, boot numbers and the status each reports.

    Exits with code 0 if the instance answered, otherwise with 1.
    """
    found = query_instance(address, key, cluster, "members")
    if json:
        _print_json(found)
        return
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(title=f"members as seen by {found['me']}, {found['view_age_ms']} ms ago", title_justify="left")
    for column in ("name", "zone", "address", "belief", "stage", "boot", "incarnation", "plan", "age"):
        table.add_column(column)
    for row in found["members"]:
        mark = " *" if row["name"] == found["me"] else ""
        table.add_row(row["name"] + mark, row["zone"], row["address"],
                      Text(row["belief"], BELIEF_COLOURS.get(row["belief"], "")), row["stage"], str(row["boot"]),
                      str(row["incarnation"]), row["plan"], f"{row['age_s']} s")
    Console(width=None if Console().is_terminal else 160).print(table)
    if not found["fresh"]:
        typer.echo("the instance was suspended and has not heard from most members since")
    if found["ousted"]:
        typer.echo("another process has the same name: the instance is excluded until a restart under another name")


def query_instance(address: str, key: str, cluster: str, table_name: str, **options: Any) -> dict[str, Any]:
    """Queries a running instance for a table.

    On errors, prints them and exits with code 1, or with 2 if the key file cannot be used.
    """
    import msgspec

    from ..fleet.ask import QueryError
    from ..fleet.ask import ask as send_query
    from ..plan.compiled import UnusableFileError, read_key

    try:
        found: dict[str, Any] = msgspec.json.decode(
            send_query(address, read_key(key), cluster, table_name, **options))
    except UnusableFileError as error:
        _fail(f"key: {error}", 2)
    except QueryError as error:
        _fail(f"{address}: {error}", 1)
    if "fault" in found:
        _fail(f"{address}: {found['fault']}", 1)
    return found


def _print_json(value: object) -> None:
    import msgspec

    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _fail(message: str, code: int) -> NoReturn:
    """Prints an error and exits with `code`."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(code)
