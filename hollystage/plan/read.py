"""Reads a script to a plan: provides the section functions, converts their arguments and reports problems."""
from __future__ import annotations

import os
import re
from collections.abc import Callable
from contextlib import suppress
from fractions import Fraction
from functools import cache
from typing import Any, get_type_hints

import msgspec
from msgspec import inspect

from ..language.evaluate import Program
from ..language.faults import Fault, Faults, Unusable, Where, nearest
from ..language.sources import Disk, Folder
from ..language.units import (
    ARTICLE,
    EXAMPLE,
    NUMBER,
    UNITS,
    Dimension,
    Mismatch,
    Quantity,
    amount_of,
    describe,
    dimension_of,
    literal,
    with_unit,
    written,
)
from ..language.values import UNKNOWN, Given, Record
from .check import check
from .model import Entry, Plan
from .sections import SECTIONS, Section

MOST = 200_000  # entries of one plan
# msgspec's message for a value out of bounds
BOUND = re.compile(r"Expected `\w+` (>=|>|<=|<) ([-0-9.e+]+)")
WORDS = {">=": "at least", ">": "more than", "<=": "at most", "<": "less than"}


class _Wrong(ValueError):
    """A value cannot be converted to the type of its key.

    Attributes:
        fix: what the script can write instead.
    """

    def __init__(self, message: str, fix: str) -> None:
        super().__init__(message)
        self.fix = fix


class Key:
    """One key of a section: converts values of scripts to the type that the schema declares.

    The methods that convert to one kind of type (`_to_...`) raise _ConversionError for any other value.
    """

    def __init__(self, section: type[Section], info: inspect.Field, hint: Any) -> None:
        self.name, self.required, self.hint = info.name, info.required, hint
        self.label = f"{section.word}.{info.name}"
        self.fix = ""  # suggestion for a value that does not match the pattern or length in the schema
        self.read = self._reader(info.type)

    def convert(self, value: Any) -> Any:
        """Converts a value of a script.

        Raises:
            _ConversionError: it has another type or dimension, or is out of the bounds of the key.
        """
        converted = self.read(value)
        try:
            return msgspec.convert(converted, self.hint)
        except msgspec.ValidationError as error:
            raise self._out_of_bounds(value, str(error)) from error

    def _reader(self, kind: Any, unit: Dimension = NUMBER) -> Callable[[Any], Any]:
        """Returns the function that converts values to the type `kind` of the schema."""
        match kind:
            case inspect.Metadata():
                extra = kind.extra or {}
                self.fix = extra.get("fix", self.fix)
                if "unit" in extra:
                    return self._reader(kind.type, Dimension(extra["unit"]))
                if "ref" in extra:
                    section_name = extra["ref"]
                    return lambda value: self._reference(value, section_name)
                return self._reader(kind.type)
            case inspect.UnionType():
                first = next(part for part in kind.types if not isinstance(part, inspect.NoneType))
                inner = self._reader(first)
                return lambda value: None if value is None else inner(value)
            case inspect.ListType():
                fix = self.fix or "put it in [ ]"
                item = self._reader(kind.item_type)
                return lambda value: [item(part) for part in self._list(value, fix)]
            case inspect.IntType():
                return lambda value: self._amount(value, unit, True)
            case inspect.FloatType():
                return lambda value: self._amount(value, unit, False)
            case inspect.BoolType():
                return self._bool
            case inspect.LiteralType():
                return lambda value: self._one_of(value, kind.values)
            case inspect.StrType():
                return self._text
        raise TypeError(f"{self.label}: no conversion to {kind}")

    def _list(self, value: Any, fix: str) -> list[Any]:
        if not isinstance(value, list | tuple):
            raise _Wrong(f"{self.label} is a list, not {describe(value)}", fix)
        return list(value)

    def _bool(self, value: Any) -> bool:
        if not isinstance(value, bool):
            raise _Wrong(f"{self.label} is True or False, not {describe(value)}", "write True or False")
        return value

    def _text(self, value: Any) -> str:
        if not isinstance(value, str):
            raise _Wrong(f"{self.label} is a string, not {describe(value)}", "put it in quotes")
        return value

    def _one_of(self, value: Any, choices: Any) -> Any:
        if value not in choices or isinstance(value, bool):
            close = nearest(value, choices) if isinstance(value, str) else None
            listed = ", ".join(f'"{choice}"' for choice in choices)
            raise _Wrong(f"{self.label} cannot be {describe(value)}",
                         f'write "{close}"' if close else f"use one of {listed}")
        return value

    def _reference(self, value: Any, section_name: str) -> str:
        """The name of an entry of another section, given as a string or as the entry itself."""
        if isinstance(value, Record):
            if value.section != section_name:
                raise _Wrong(f"{self.label} names a {section_name}, not {value.described}", f"name a {section_name}")
            return value.name
        if not isinstance(value, str):
            raise _Wrong(f"{self.label} names a {section_name}, not {describe(value)}", f"name a {section_name}")
        return value

    def _amount(self, value: Any, unit: Dimension, is_whole: bool) -> int | float:
        dimension = dimension_of(value)
        if dimension is not unit:
            message = f"{self.label} is {ARTICLE[unit]}, not {describe(value)}"
            if unit is NUMBER and dimension is not None:
                raise _Wrong(message, "write it without a unit")
            raise _Wrong(message, f"write {self._meant(value, unit)}")
        amount = amount_of(value)
        if not is_whole:
            return float(amount)
        if amount.denominator != 1:
            expected = {"time": "a multiple of 1us", "size": "a multiple of 1B"}.get(unit.value, "a whole number")
            raise _Wrong(f"{self.label} is {expected}, not {written(value)}",
                         f"write {written(_like(value, Fraction(max(1, round(amount)))))}")
        return amount.numerator

    def _meant(self, value: Any, unit: Dimension) -> str:
        """Suggests a literal: the quantity that a string holds, or the number with a unit of the right dimension.

        Of the units, the first one with which the number is within the bounds of the key is taken.
        """
        if isinstance(value, str):
            with suppress(Mismatch):
                if literal(value).dimension is unit:
                    return f"{value} without quotes"
        if dimension_of(value) is not NUMBER:
            return EXAMPLE[unit]
        if value == 0:
            return {"time": "0ms", "size": "0KiB", "rate": "0/s", "share": "0%"}[unit.value]
        likely = with_unit(value, unit)
        for text in (likely, *(written(value) + name for name, (dimension, _) in UNITS.items() if dimension is unit)):
            with suppress(Mismatch, msgspec.ValidationError):
                msgspec.convert(float(literal(text).amount), self.hint, strict=False)
                return text
        return likely

    def _out_of_bounds(self, value: Any, message: str) -> _Wrong:
        """The error for a value that msgspec rejected with `message`."""
        match = BOUND.match(message)
        if match:
            bound = Fraction(match[2])
            text = written(_like(value, bound)) if dimension_of(value) is not None else match[2]
            return _Wrong(f"{self.label} is {WORDS[match[1]]} {text}, not {written(value)}",
                          f"write {text}" if "=" in match[1] else "make it "
                          + ("more" if match[1] == ">" else "less"))
        if self.fix:
            return _Wrong(f"{self.label} cannot be {describe(value)}", self.fix)
        return _Wrong(f"{self.label} cannot be {describe(value)}", message)


def _like(value: Any, amount: Fraction) -> Any:
    """`amount` with the dimension of `value`."""
    if isinstance(value, Quantity):
        return Quantity(amount, value.dimension)
    return amount


@cache
def keys(section: type[Section]) -> dict[str, Key]:
    """The keys of a section by name."""
    info = inspect.type_info(section)
    assert isinstance(info, inspect.StructType)
    hints = get_type_hints(section, include_extras=True)
    return {field.name: Key(section, field, hints[field.name]) for field in info.fields}


class Word:
    """The function that scripts call to add an entry of one section, such as `method("a", ...)`.

    Implements the protocol `SectionFunction` of the language.
    """

    def __init__(self, section: type[Section], reader: Reader) -> None:
        self.section, self.reader = section, reader
        self.positional = section.positional
        self.described = f"the section {section.word}"
        self.keys = keys(section)

    def enter(self, location: Where, arguments: dict[str, Given]) -> Record:
        """Converts the arguments of one call, reports every problem in them and adds the entry to the plan."""
        reader, section_name, fields = self.reader, self.section.word, {}
        is_valid = True
        for name, argument in arguments.items():
            key = self.keys.get(name)
            if key is None:
                close = nearest(name, self.keys)
                reader.tell(argument.where, f"{section_name} has no {name}", f"write {close}" if close else
                            f"use one of {', '.join(self.keys)}")
                is_valid = False
            elif argument.value is UNKNOWN:  # the error that made it unknown is already reported
                is_valid = False
            else:
                try:
                    fields[name] = key.convert(argument.value)
                except _Wrong as error:
                    reader.tell(argument.where, str(error), error.fix)
                    is_valid = False
        for name, key in self.keys.items():
            if key.required and name not in arguments:
                reader.tell(location, f"{section_name} lacks {name}", f"add {name} = {_example(key)}")
                is_valid = False
        title = fields.get("name", "")
        record = Record(section_name, title if isinstance(title, str) else "",
                        {name: argument.value for name, argument in arguments.items()})
        reader.enter(self.section, fields if is_valid else None, location, arguments, record)
        return record


def _example(key: Key) -> str:
    """A literal that a script can write for the key."""
    hint = str(key.hint)
    for unit in ("time", "size", "rate", "share"):
        if f"'unit': '{unit}'" in hint:
            return EXAMPLE[Dimension(unit)]
    if "Literal[" in hint:
        return f'"{key.hint.__args__[0]}"'
    return '"..."' if "str" in hint else "2"


class Reader:
    """Runs one script and collects the entries and diagnostics."""

    def __init__(self, folder: Folder, root: str) -> None:
        self.faults = Faults()
        self.plan = Plan()
        self.broken: list[tuple[str, str]] = []  # section and name of entries that could not be converted
        self.seen: dict[tuple[str, str], Where] = {}  # section and name -> where the entry was first written
        self.places: list[tuple[Where, dict[str, Where]]] = []  # of each entry of the plan and of its keys
        self.full = False  # whether the limit on entries was reported
        self.program = Program(folder, {name: Word(kind, self) for name, kind in SECTIONS.items()}, self.faults)
        self.root = root

    def tell(self, location: Where, message: str, fix: str) -> None:
        """Reports an error."""
        self.faults.add(location, message, fix)

    def enter(self, kind: type[Section], fields: dict[str, Any] | None, location: Where,
              arguments: dict[str, Given], record: Record) -> None:
        """Adds an entry to the plan. `fields` is None for an entry whose arguments could not be converted."""
        section_name = kind.word
        name = record.name if kind.many and "name" in keys(kind) else ""
        if not kind.many or name:
            first = self.seen.get((section_name, name))
            if first is not None:
                self.tell(location, f'the {section_name}{f" {chr(34)}{name}{chr(34)}" if name else ""} is already '
                          f"defined at {first.file}:{first.line}",
                          "remove one" if not name else "choose another name")
                return
            self.seen[section_name, name] = location
        if len(self.plan.entries) >= MOST:
            if not self.full:
                self.full = True
                self.tell(location, f"more than {MOST} entries", "use fewer entries")
            return
        if fields is None:
            self.broken.append((section_name, name))
            return
        value = kind(**fields)
        key_locations = {key: argument.where for key, argument in arguments.items()}
        for key, message, fix in value.troubles():
            self.tell(key_locations.get(key, location), message, fix)
        self.plan.entries.append(Entry(value, str(location),
                                       {key: str(written_at) for key, written_at in key_locations.items()}))
        self.places.append((location, key_locations))

    def run(self) -> Plan:
        """Runs the script and the checks between entries, and returns the plan."""
        self.program.run(self.root)
        self.plan.files = list(self.program.modules)
        check(self.plan, self.places, set(self.broken), self.program.parser.unread, self.faults)
        return self.plan


class Result:
    """A plan and all diagnostics. The plan is complete only if there are no errors.

    Attributes:
        diagnostics: errors and warnings, sorted by location.
        left_out: number of diagnostics beyond the limit on those that are kept.
        errors: the errors of `diagnostics`.
    """

    def __init__(self, reader: Reader) -> None:
        self.plan, self.faults = reader.run(), reader.faults.all()
        self.left_out = reader.faults.left_out
        self.errors = [diagnostic for diagnostic in self.faults if diagnostic.grade == "error"]
        self._line = reader.program.line

    def line(self, location: Where) -> str | None:
        """The source line of a location, or None if its file is not known."""
        return self._line(location)


def read(folder: Folder, root: str) -> Result:
    """Reads the script `root` of a folder. Errors in a script are in the result; none is raised."""
    return Result(Reader(folder, root))


def read_file(path: str) -> Result:
    """Reads a script from a file; the files that it loads are read from the same folder."""
    folder, name = os.path.split(path)
    return read(Disk(folder or "."), name)


def load(path: str) -> Plan:
    """Reads a script from a file.

    Raises:
        ScriptError: with all diagnostics, if there is an error.
    """
    result = read_file(path)
    if result.errors:
        raise Unusable(result.faults)
    return result.plan


__all__ = ["Fault", "Result", "Unusable", "load", "read", "read_file"]
