"""Errors and warnings about a script: collecting, ordering and printing them."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Literal

import msgspec

MAX_DIAGNOSTICS = 1000  # in one run, so that a file with errors in every line does not flood a terminal or a log
MAX_EXCERPT_LENGTH = 160  # characters of a source line in an excerpt

Severity = Literal["error", "warning"]


class Location(msgspec.Struct, frozen=True, order=True):
    """A position in a source file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Diagnostic(msgspec.Struct, frozen=True, order=True):
    """An error or a warning. A script with an error cannot be used; one with warnings can.

    >>> print(Diagnostic(Location("a.star", 3, 7), "a time is expected, not 830", "write 830ms"))
    a.star:3:7: a time is expected, not 830; fix: write 830ms
    """

    location: Location
    message: str
    fix: str
    severity: Severity = "error"

    def __str__(self) -> str:
        return f"{self.location}: {'warning: ' if self.severity == 'warning' else ''}{self.message}; fix: {self.fix}"


class Diagnostics:
    """The diagnostics of one run, without duplicates.

    Attributes:
        left_out: number of diagnostics that were dropped because of MAX_DIAGNOSTICS.
    """

    def __init__(self) -> None:
        self._diagnostics: dict[Diagnostic, None] = {}
        self._locations: set[Location] = set()
        self.left_out = 0

    def add(self, location: Location, message: str, fix: str, severity: Severity = "error") -> None:
        """Adds a diagnostic, unless an equal one exists."""
        diagnostic = Diagnostic(location, message, fix, severity)
        self._locations.add(location)
        if diagnostic in self._diagnostics:
            return
        if len(self._diagnostics) >= MAX_DIAGNOSTICS:
            self.left_out += 1
        else:
            self._diagnostics[diagnostic] = None

    def has_any_at(self, location: Location) -> bool:
        """Whether there is a diagnostic at this location."""
        return location in self._locations

    def has_error_in(self, file: str) -> bool:
        """Whether there is an error in this file."""
        return any(diagnostic.location.file == file and diagnostic.severity == "error"
                   for diagnostic in self._diagnostics)

    def all(self) -> list[Diagnostic]:
        """All diagnostics by location."""
        return sorted(self._diagnostics)

    def errors(self) -> list[Diagnostic]:
        """All errors by location."""
        return [diagnostic for diagnostic in self.all() if diagnostic.severity == "error"]

    def __len__(self) -> int:
        return len(self._diagnostics)


class ScriptError(ValueError):
    """A script cannot be used; `diagnostics` are all of its errors and warnings."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        self.diagnostics = diagnostics
        errors = [diagnostic for diagnostic in diagnostics if diagnostic.severity == "error"] or diagnostics
        more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
        super().__init__(f"{errors[0]}{more}" if errors else "unusable")


def format_plain(diagnostics: Iterable[Diagnostic], line_of: Callable[[Location], str | None]) -> str:
    """Text for pipes and logs: each diagnostic with its source line and a caret under the column."""
    rows = []
    for diagnostic in diagnostics:
        rows.append(str(diagnostic))
        source = line_of(diagnostic.location)
        if source is not None and source.strip():
            rows.append(f"    {source_excerpt(source, diagnostic.location.column)}")
    return "\n".join(rows)


def source_excerpt(source: str, column: int) -> str:
    """The part of a source line around the column, with a caret below; unprintable characters become `?`.

    >>> source_excerpt("target = 830", 10).split("\\n")
    ['target = 830', '             ^']
    """
    start = max(0, column - MAX_EXCERPT_LENGTH // 2) if len(source) > MAX_EXCERPT_LENGTH else 0
    part = "".join(char if char.isprintable() else "?" for char in source[start:start + MAX_EXCERPT_LENGTH])
    return f"{part}\n    {' ' * (column - 1 - start)}^"


def format_value(value: object) -> str:
    """A value as a message quotes it, at most 60 characters long."""
    text = value if isinstance(value, str) else repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def nearest(word: str, known: Iterable[str]) -> str | None:
    """The known word that is most similar to `word`, or None if none is similar enough.

    >>> nearest("lookup", ["lookup", "booking"]), nearest("zebra", ["lookup", "booking"])
    ('lookup', None)
    """
    from difflib import get_close_matches  # imported only when there is an error to report

    close = get_close_matches(word[:80], list(known)[:5000], 1, 0.6)
    return close[0] if close else None
