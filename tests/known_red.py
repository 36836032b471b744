"""A pytest plugin that deselects and prints the tests that are listed as failing because of an open fault.

`.ci/run` names the list. A line is `command, seed, what was seen, issue`: the command is `pytest` and one test id,
the seed a whole number, or `-` where the test has none, and the issue a number. What was seen may contain commas.
More than MAX_ENTRIES lines, a malformed line, or a line that names no collected test is an error, so that the list
cannot hide any other test.
"""
from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

import pytest

MAX_ENTRIES = 3  # lines
# a test id has spaces and commas only in the brackets of its parameters
LINE = re.compile(r"pytest (?P<test>[^\s,\[]+::[^\s,\[]+(\[.+?\])?), "
                  r"(?P<seed>\d+|-), (?P<seen>[^\s,].*), (?P<issue>\d+)")


class Entry(NamedTuple):
    """One line of the list."""

    test: str
    seed: str
    seen: str
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
        match = LINE.fullmatch(line.strip())
        if match is None:
            raise KnownRedError(f"{path.name}:{number}: not of the form `pytest TEST_ID, SEED or -, WHAT WAS SEEN, "
                                "ISSUE NUMBER`")
        entries.append(Entry(**match.groupdict()))
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
        for test, seed, seen, issue in self.entries:
            terminalreporter.write_line(f"known red, deselected: pytest {test}, seed {seed}: {seen} (issue {issue})")
