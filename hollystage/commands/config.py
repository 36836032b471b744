"""The command group `hollystage config`: checks, formats, compares, shows and builds plans."""
from __future__ import annotations

import os
import sys
import tempfile
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

if TYPE_CHECKING:
    from ..language.diagnostics import Diagnostic
    from ..plan.model import Plan
    from ..plan.read import ReadResult

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
    failed = bool(result.errors) or strict and bool(result.diagnostics)
    if json:
        _print_json({"usable": not result.errors,
                     "faults": [_diagnostic_fields(diagnostic) for diagnostic in result.diagnostics],
                     "left_out": result.left_out, "entries": len(result.plan.entries), "files": result.plan.files})
    else:
        _print_diagnostics(result)
        for section_name in result.plan.sections_without_effect():
            typer.echo(f"{file}: note: {section_name} is checked, but has no effect in this version", err=True)
        if not result.diagnostics:
            typer.echo(f"{file}: good, {len(result.plan.entries)} entries in {len(result.plan.files)} files")
    raise typer.Exit(1 if failed else 0)


@app.command()
def fmt(files: Annotated[list[str], typer.Argument(help="Files; - for standard input.")],
        check: Annotated[bool, typer.Option("--check", help="Write nothing; exit with 1 if a file would change.")]
        = False) -> None:
    """Format files in the standard layout. Comments and meaning are kept."""
    from ..language.diagnostics import Diagnostics, ScriptError
    from ..language.format import format_source
    from ..language.sources import decode_source

    exit_code = 0
    for file in files:
        try:
            data = sys.stdin.buffer.read() if file == "-" else _read_file(file)
            diagnostics = Diagnostics()
            text = decode_source(data, file, diagnostics)
            if text is None:
                raise ScriptError(diagnostics.all())
            new = format_source(text, file).encode()
        except ScriptError as error:
            for diagnostic in error.diagnostics:
                typer.echo(str(diagnostic), err=True)
            exit_code = 2
            continue
        if file == "-":
            sys.stdout.buffer.write(new)
        elif new != data:
            exit_code = max(exit_code, 1 if check else 0)
            typer.echo(f"{file}: {'would be reformatted' if check else 'reformatted'}")
            if not check:
                _write_atomically(file, new)
    raise typer.Exit(exit_code)


@app.command()
def diff(old: Path, new: Path, json: Json = False) -> None:
    """Print the differences in meaning between two plans, and whether SIGHUP applies them.

    Either plan may be compiled. Exits with code 0 if both mean the same, otherwise with 1.
    """
    from ..plan.compare import compare

    changes = compare(_load_plan(old), _load_plan(new))
    if json:
        _print_json([{"section": c.section, "name": c.name, "key": c.key, "before": c.before, "after": c.after,
                      "origin": c.origin, "live": c.reloadable} for c in changes])
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
    from ..plan.compare import to_script

    plan = _load_plan(file)
    if json:
        _print_json(plan.configuration())
    elif origins:
        for entry in plan.entries:
            typer.echo(f"{entry.origin}: {entry.value.section_name} {entry.value.title()}".rstrip())
    else:
        typer.echo(to_script(plan), nl=False)


@app.command()
def build(file: Path, output: Annotated[str, typer.Option("--output", "-o", help="The file to write.")],
          key: KeyFile = "") -> None:
    """Write a compiled plan, which `serve` reads without loading the language."""
    from .. import __version__
    from ..plan.compiled import UnusableFileError, dump, read_key

    try:
        data = dump(_load_plan(file), __version__, read_key(key) if key else None)
    except UnusableFileError as error:
        _fail(str(error))
    _write_atomically(output, data)
    typer.echo(f"{output}: {len(data)} bytes, {data.split(b' ')[2].decode()} digest "
               f"{data.split(b' ')[3][:16].decode()}...")


def _load_plan(path: str) -> Plan:
    """Reads a script or a compiled plan; on errors, prints them and exits with code 2.

    The key file of a compiled plan is named by the environment variable HOLLYSTAGE_PLAN_KEY.
    """
    from ..plan.compiled import UnusableFileError, is_compiled, parse
    from ..plan.read import read_file

    data = _read_file(path)
    if is_compiled(data):
        key = os.environ.get("HOLLYSTAGE_PLAN_KEY", "")
        from ..plan.compiled import read_key
        try:
            return parse(data, read_key(key) if key else None)
        except UnusableFileError as error:
            _fail(f"{path}: {error}")
    result = read_file(path)
    if result.errors:
        _print_diagnostics(result)
        raise typer.Exit(2)
    return result.plan


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        _fail(f"{path} cannot be read: {error.strerror}")


def _write_atomically(path: str, data: bytes) -> None:
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
        _fail(f"{path} cannot be written: {error.strerror}")


def _diagnostic_fields(diagnostic: Diagnostic) -> dict[str, object]:
    """The JSON object of a diagnostic; its keys are read by other tools."""
    return {"file": diagnostic.location.file, "line": diagnostic.location.line, "column": diagnostic.location.column,
            "grade": diagnostic.severity, "what": diagnostic.message, "fix": diagnostic.fix}


def _print_diagnostics(result: ReadResult) -> None:
    """Prints diagnostics to standard error: with colours on a terminal, otherwise as plain text."""
    from ..language.diagnostics import format_plain, source_excerpt

    if not result.diagnostics:
        return
    if sys.stderr.isatty():
        from rich.console import Console
        from rich.text import Text

        console = Console(stderr=True, highlight=False, soft_wrap=True)
        for diagnostic in result.diagnostics:
            console.print(Text.assemble((f"{diagnostic.location}: ", "bold"),
                                        ("warning: " if diagnostic.severity == "warning" else "", "yellow"),
                                        (diagnostic.message, "yellow" if diagnostic.severity == "warning" else "red"),
                                        "; fix: ", (diagnostic.fix, "green")))
            source = result.source_line(diagnostic.location)
            if source is not None and source.strip():
                console.print(Text(f"    {source_excerpt(source, diagnostic.location.column)}", "dim"))
    else:
        typer.echo(format_plain(result.diagnostics, result.source_line), err=True)
    errors = len(result.errors)
    typer.echo(f"{errors} errors, {len(result.diagnostics) - errors} warnings"
               + (f", {result.left_out} more left out" if result.left_out else ""), err=True)


def _print_json(value: object) -> None:
    import msgspec

    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _fail(message: str) -> NoReturn:
    """Prints an error and exits with code 2."""
    typer.echo(f"hollystage: {message}", err=True)
    raise typer.Exit(2)
