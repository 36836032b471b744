"""A pytest plugin that deselects and prints the tests that are listed as failing because of an open fault.

`.ci/run` names the list. A line is `test, cause, issue`. More than MAX_ENTRIES lines, a malformed line, or a line
that names no collected test is an error, so that the list cannot hide any other test.
"""
from __future__ import annotations

import pathlib
from typing import NamedTuple

import pytest

MAX_ENTRIES = 3  # lines


class Entry(NamedTuple):
    """One line of the list."""

    test: str
    cause: str
    issue: str


class KnownRedError(ValueError):
    """The list is malformed or too long."""


def read_list(path: pathlib.Path) -> list[Entry]:
    """Reads the list; a missing file is an empty list.

    Raises:
        KnownRedError: the list is malformed or too long; names the line.
    """
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise KnownRedError(f"{path.name}: {len(lines)} lines, at most {MAX_ENTRIES} are allowed")
    entries = []
    for number, line in enumerate(lines, 1):
        test, *rest = (part.strip() for part in line.split(","))
        if len(rest) < 2 or not test or not all(rest):
            raise KnownRedError(f"{path.name}:{number}: not of the form `test, cause, issue`")
        entries.append(Entry(test, ", ".join(rest[:-1]), rest[-1]))
    return entries


class KnownRedPlugin:
    """The pytest plugin for one list."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.entries: list[Entry] = []

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Deselects the listed tests.

        Raises:
            pytest.UsageError: the list cannot be used, or it names a test that was not collected.
        """
        try:
            self.entries = read_list(self.path)
        except KnownRedError as error:
            raise pytest.UsageError(str(error)) from error
        for entry in self.entries:
            listed = [item for item in items if entry.test in (item.nodeid, item.nodeid.partition("[")[0])]
            if not listed:
                raise pytest.UsageError(f"{self.path.name}: no test is named {entry.test}")
            config.hook.pytest_deselected(items=listed)
            items[:] = [item for item in items if item not in listed]

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints the listed tests."""
        for entry in self.entries:
            terminalreporter.write_line(f"known red, deselected: {entry.test}: {entry.cause} (issue {entry.issue})")
