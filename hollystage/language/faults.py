"""Errors and warnings about a script: collecting, ordering and printing them."""
from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Literal

import msgspec

MOST = 1000  # in one run, so that a file with errors in every line does not flood a terminal or a log
LONGEST = 160  # characters of a source line in an excerpt

Grade = Literal["error", "warning"]


class Where(msgspec.Struct, frozen=True, order=True):
    """A position in a source file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Fault(msgspec.Struct, frozen=True, order=True):
    """An error or a warning. A script with an error cannot be used; one with warnings can.

    >>> print(Fault(Where("a.star", 3, 7), "a time is expected, not 830", "write 830ms"))
    a.star:3:7: a time is expected, not 830; fix: write 830ms
    """

    where: Where
    what: str
    fix: str
    grade: Grade = "error"

    def __str__(self) -> str:
        return f"{self.where}: {'warning: ' if self.grade == 'warning' else ''}{self.what}; fix: {self.fix}"


class Faults:
    """The diagnostics of one run, without duplicates.

    Attributes:
        left_out: number of diagnostics that were dropped because of MAX_DIAGNOSTICS.
    """

    def __init__(self) -> None:
        self._found: dict[Fault, None] = {}
        self._places: set[Where] = set()
        self.left_out = 0

    def add(self, location: Where, message: str, fix: str, severity: Grade = "error") -> None:
        """Adds a diagnostic, unless an equal one exists."""
        diagnostic = Fault(location, message, fix, severity)
        self._places.add(location)
        if diagnostic in self._found:
            return
        if len(self._found) >= MOST:
            self.left_out += 1
        else:
            self._found[diagnostic] = None

    def mentions(self, location: Where) -> bool:
        """Whether there is a diagnostic at this location."""
        return location in self._places

    def within(self, file: str) -> bool:
        """Whether there is an error in this file."""
        return any(diagnostic.where.file == file and diagnostic.grade == "error" for diagnostic in self._found)

    def all(self) -> list[Fault]:
        """All diagnostics by location."""
        return sorted(self._found)

    def errors(self) -> list[Fault]:
        """All errors by location."""
        return [diagnostic for diagnostic in self.all() if diagnostic.grade == "error"]

    def __len__(self) -> int:
        return len(self._found)


class Unusable(ValueError):
    """A script cannot be used; `diagnostics` are all of its errors and warnings."""

    def __init__(self, diagnostics: list[Fault]) -> None:
        self.faults = diagnostics
        errors = [diagnostic for diagnostic in diagnostics if diagnostic.grade == "error"] or diagnostics
        more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
        super().__init__(f"{errors[0]}{more}" if errors else "unusable")


def plain(diagnostics: Iterable[Fault], line_of: Callable[[Where], str | None]) -> str:
    """Text for pipes and logs: each diagnostic with its source line and a caret under the column."""
    rows = []
    for diagnostic in diagnostics:
        rows.append(str(diagnostic))
        source = line_of(diagnostic.where)
        if source is not None and source.strip():
            rows.append(f"    {clip(source, diagnostic.where.column)}")
    return "\n".join(rows)


def clip(source: str, column: int) -> str:
    """The part of a source line around the column, with a caret below; unprintable characters become `?`.

    >>> clip("target = 830", 10).split("\\n")
    ['target = 830', '             ^']
    """
    start = max(0, column - LONGEST // 2) if len(source) > LONGEST else 0
    part = "".join(char if char.isprintable() else "?" for char in source[start:start + LONGEST])
    return f"{part}\n    {' ' * (column - 1 - start)}^"


def shown(value: object) -> str:
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
