"""Tests that are known to fail for a fault that stands: passed over and printed where `.ci/run` names their list.

A line is `test, cause, issue`. More than MOST lines, a malformed one, or one that names no test, is an error: the
list hides nothing but what it says.
"""
from __future__ import annotations

import pathlib
from typing import NamedTuple

import pytest

MOST = 3  # lines


class Entry(NamedTuple):
    test: str
    cause: str
    issue: str


class Wrong(ValueError):
    """The list cannot be used."""


def read(path: pathlib.Path) -> list[Entry]:
    """
    Raises:
        Wrong: naming the line.
    """
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise Wrong(f"{path.name}: {len(lines)} lines, and {MOST} are allowed")
    entries = []
    for number, line in enumerate(lines, 1):
        test, *rest = (part.strip() for part in line.split(","))
        if len(rest) < 2 or not test or not all(rest):
            raise Wrong(f"{path.name}:{number}: not of the form `test, cause, issue`")
        entries.append(Entry(test, ", ".join(rest[:-1]), rest[-1]))
    return entries


class KnownRed:
    """A plugin of pytest for one list."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.entries: list[Entry] = []

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        try:
            self.entries = read(self.path)
        except Wrong as bad:
            raise pytest.UsageError(str(bad)) from bad
        for entry in self.entries:
            named = [item for item in items if entry.test in (item.nodeid, item.nodeid.partition("[")[0])]
            if not named:
                raise pytest.UsageError(f"{self.path.name}: there is no test {entry.test}")
            config.hook.pytest_deselected(items=named)
            items[:] = [item for item in items if item not in named]

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for entry in self.entries:
            terminalreporter.write_line(f"known red, passed over: {entry.test}: {entry.cause} (issue {entry.issue})")
