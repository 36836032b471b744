"""Values of a script other than numbers, quantities, strings, lists, tuples and dicts."""
from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from . import tree
from .diagnostics import Location


class Unknown:
    """The value of an expression with an error that was already reported.

    Every operation on it gives UNKNOWN again and reports nothing.
    """

    described = "nothing"


UNKNOWN = Unknown()


@dataclass(slots=True, eq=False)
class Function:
    """A function that a script defines; `module` is the file that defines it."""

    name: str
    node: tree.FunctionDefinition
    module: Any
    described: str = "a function"


@dataclass(slots=True, eq=False)
class Builtin:
    """A builtin function, or a method bound to its value."""

    name: str
    call: Callable[..., Any]
    described: str = "a function"


@dataclass(slots=True, eq=False)
class Record:
    """One entry, the result of a call like `method(...)`; other entries can refer to it."""

    section: str
    name: str
    fields: Mapping[str, Any]

    @property
    def described(self) -> str:
        """The entry as messages name it."""
        return f'the {self.section} "{self.name}"' if self.name else f"a {self.section}"


@dataclass(slots=True)
class ArgumentValue:
    """The value of one argument and where it is written."""

    value: Any
    location: Location


class SectionFunction(Protocol):
    """The function behind a section name like `method`; `positional` are the names of its positional arguments."""

    positional: tuple[str, ...]

    def enter(self, location: Location, arguments: dict[str, ArgumentValue]) -> Record:
        """Adds one entry with these arguments; `location` is that of the call."""
        ...
