"""The command group `hollystage config`: checks, formats, compares, shows and builds plans."""
from __future__ import annotations

import os
import sys
import tempfile
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

if TYPE_CHECKING:
    from ..language.faults import Fault
    from ..plan.model import Plan
    from ..plan.read import Result

app = typer.Typer(no_args_is_help=True, help="Check, format, compare, show and build plans.")
Path = Annotated[str, typer.Argument(help="The root file of a plan.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on standard output.")]
KeyFile = Annotated[str, typer.Option("--key", help="A key file: 32 bytes or more, readable by its owner alone.")]


@app.command()
def check(file: Path, json: Json = False,
          strict: Annotated[bool, typer.Option("--strict", help="Warnings fail too.")] = False) -> None:
    """Read a plan as `serve` does and report all errors and warnings.

    Exits with code 0 if the plan can be used, otherwise with 1.
    """
    from ..plan.read import read_file

    result = read_file(file)
    failed = bool(result.errors) or strict and bool(result.faults)
    if json:
        _json({"usable": not result.errors, "faults": [_row(diagnostic) for diagnostic in result.faults],
               "left_out": result.left_out, "entries": len(result.plan.entries), "files": result.plan.files})
    else:
        _report(result)
        for section_name in result.plan.idle():
            typer.echo(f"{file}: note: {section_name} is checked, but has no effect in this version", err=True)
        if not result.faults:
            typer.echo(f"{file}: good, {len(result.plan.entries)} entries in {len(result.plan.files)} files")
    raise typer.Exit(1 if failed else 0)


@app.command()
def fmt(files: Annotated[list[str], typer.Argument(help="Files; - for standard input.")],
        check: Annotated[bool, typer.Option("--check", help="Write nothing; exit with 1 if a file would change.")]
        = False) -> None:
    """Format files in the standard layout. Comments and meaning are kept."""
    from ..language.faults import Faults, Unusable
    from ..language.format import formatted
    from ..language.sources import text_of

    exit_code = 0
    for file in files:
        try:
            data = sys.stdin.buffer.read() if file == "-" else _read(file)
            diagnostics = Faults()
            text = text_of(data, file, diagnostics)
            if text is None:
                raise Unusable(diagnostics.all())
            new = formatted(text, file).encode()
        except Unusable as error:
            for diagnostic in error.faults:
                typer.echo(str(diagnostic), err=True)
            exit_code = 2
            continue
        if file == "-":
            sys.stdout.buffer.write(new)
        elif new != data:
            exit_code = max(exit_code, 1 if check else 0)
            typer.echo(f"{file}: {'would be reformatted' if check else 'reformatted'}")
            if not check:
                _replace(file, new)
    raise typer.Exit(exit_code)


@app.command()
def diff(old: Path, new: Path, json: Json = False) -> None:
    """Print the differences in meaning between two plans, and whether SIGHUP applies them.

    Either plan may be compiled. Exits with code 0 if both mean the same, otherwise with 1.
    """
    from ..plan.compare import compare

    changes = compare(_plan(old), _plan(new))
    if json:
        _json([{"section": c.section, "name": c.name, "key": c.key, "before": c.before, "after": c.after,
                "origin": c.origin, "live": c.live} for c in changes])
    else:
        for change in changes:
            typer.echo(str(change))
        if not changes:
            typer.echo("no differences in meaning")
    raise typer.Exit(1 if changes else 0)


@app.command()
def show(file: Path, json: Json = False,
         origins: Annotated[bool, typer.Option("--origins", help="Print the origin of each entry.")] = False) -> None:
    """Print a plan with all loops, loads and expressions evaluated; with --json in the platform's keys."""
    from ..plan.compare import script

    plan = _plan(file)
    if json:
        _json(plan.configuration())
    elif origins:
        for entry in plan.entries:
            typer.echo(f"{entry.origin}: {entry.value.word} {entry.value.title()}".rstrip())
    else:
        typer.echo(script(plan), nl=False)


@app.command()
def build(file: Path, output: Annotated[str, typer.Option("--output", "-o", help="The file to write.")],
          key: KeyFile = "") -> None:
    """Write a compiled plan, which `serve` reads without loading the language."""
    from .. import __version__
    from ..plan.compiled import Damaged, dump, read_key

    try:
        data = dump(_plan(file), __version__, read_key(key) if key else None)
    except Damaged as error:
        _end(str(error))
    _replace(output, data)
    typer.echo(f"{output}: {len(data)} bytes, {data.split(b' ')[2].decode()} digest "
               f"{data.split(b' ')[3][:16].decode()}...")


def _plan(path: str) -> Plan:
    """Reads a script or a compiled plan; on errors, prints them and exits with code 2.

    The key file of a compiled plan is named by the environment variable HOLLYSTAGE_PLAN_KEY.
    """
    from ..plan.compiled import Damaged, is_compiled, parse
    from ..plan.read import read_file

    data = _read(path)
    if is_compiled(data):
        key = os.environ.get("HOLLYSTAGE_PLAN_KEY", "")
        from ..plan.compiled import read_key
        try:
            return parse(data, read_key(key) if key else None)
        except Damaged as error:
            _end(f"{path}: {error}")
    result = read_file(path)
    if result.errors:
        _report(result)
        raise typer.Exit(2)
    return result.plan


def _read(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        _end(f"{path} cannot be read: {error.strerror}")


def _replace(path: str, data: bytes) -> None:
    """Replaces a file atomically: readers see either the old content or the new one, never a part.

    The mode of an existing file is kept; a new one gets 644.
    """
    try:
        with tempfile.NamedTemporaryFile(dir=os.path.dirname(path) or ".", delete=False) as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        if os.path.exists(path):
            os.chmod(file.name, os.stat(path).st_mode & 0o777)
        else:
            os.chmod(file.name, 0o644)
        os.replace(file.name, path)
    except OSError as error:
        _end(f"{path} cannot be written: {error.strerror}")


def _row(diagnostic: Fault) -> dict[str, object]:
    """The JSON object of a diagnostic; its keys are read by other tools."""
    return {"file": diagnostic.where.file, "line": diagnostic.where.line, "column": diagnostic.where.column,
            "grade": diagnostic.grade, "what": diagnostic.what, "fix": diagnostic.fix}


def _report(result: Result) -> None:
    """Prints diagnostics to standard error: with colours on a terminal, otherwise as plain text."""
    from ..language.faults import clip, plain

    if not result.faults:
        return
    if sys.stderr.isatty():
        from rich.console import Console
        from rich.text import Text

        console = Console(stderr=True, highlight=False, soft_wrap=True)
        for diagnostic in result.faults:
            console.print(Text.assemble((f"{diagnostic.where}: ", "bold"),
                                        ("warning: " if diagnostic.grade == "warning" else "", "yellow"),
                                        (diagnostic.what, "yellow" if diagnostic.grade == "warning" else "red"),
                                        "; fix: ", (diagnostic.fix, "green")))
            source = result.line(diagnostic.where)
            if source is not None and source.strip():
                console.print(Text(f"    {clip(source, diagnostic.where.column)}", "dim"))
    else:
        typer.echo(plain(result.faults, result.line), err=True)
    errors = len(result.errors)
    typer.echo(f"{errors} errors, {len(result.faults) - errors} warnings"
               + (f", {result.left_out} more left out" if result.left_out else ""), err=True)


def _json(value: object) -> None:
    import msgspec

    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _end(message: str) -> NoReturn:
    """Prints an error and exits with code 2."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
