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

from ..language.diagnostics import Diagnostic, Diagnostics, Location, ScriptError, nearest
from ..language.evaluate import Program
from ..language.sources import DiskFolder, SourceFolder
from ..language.units import (
    DIMENSION_LABELS,
    EXAMPLE_LITERALS,
    NUMBER,
    UNITS,
    Dimension,
    Quantity,
    QuantityError,
    amount_of,
    describe,
    dimension_of,
    format_amount,
    parse_quantity,
    suggest_quantity,
)
from ..language.values import UNKNOWN, ArgumentValue, Record
from .check import check
from .model import Entry, Plan
from .sections import SECTIONS, Section

MAX_ENTRIES = 200_000  # entries of one plan
# msgspec's message for a value out of bounds
BOUND_MESSAGE = re.compile(r"Expected `\w+` (>=|>|<=|<) ([-0-9.e+]+)")
BOUND_PHRASES = {">=": "at least", ">": "more than", "<=": "at most", "<": "less than"}


class _ConversionError(ValueError):
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
        self.name, self.required, self.type_hint = info.name, info.required, hint
        self.label = f"{section.section_name}.{info.name}"
        self.fix = ""  # suggestion for a value that does not match the pattern or length in the schema
        self.converter = self._make_converter(info.type)

    def convert(self, value: Any) -> Any:
        """Converts a value of a script.

        Raises:
            _ConversionError: it has another type or dimension, or is out of the bounds of the key.
        """
        converted = self.converter(value)
        try:
            return msgspec.convert(converted, self.type_hint)
        except msgspec.ValidationError as error:
            raise self._bounds_error(value, str(error)) from error

    def _make_converter(self, kind: Any, unit: Dimension = NUMBER) -> Callable[[Any], Any]:
        """Returns the function that converts values to the type `kind` of the schema."""
        match kind:
            case inspect.Metadata():
                extra = kind.extra or {}
                self.fix = extra.get("fix", self.fix)
                if "unit" in extra:
                    return self._make_converter(kind.type, Dimension(extra["unit"]))
                if "ref" in extra:
                    section_name = extra["ref"]
                    return lambda value: self._to_reference(value, section_name)
                return self._make_converter(kind.type)
            case inspect.UnionType():
                first = next(part for part in kind.types if not isinstance(part, inspect.NoneType))
                inner = self._make_converter(first)
                return lambda value: None if value is None else inner(value)
            case inspect.ListType():
                fix = self.fix or "put it in [ ]"
                item = self._make_converter(kind.item_type)
                return lambda value: [item(part) for part in self._to_list(value, fix)]
            case inspect.IntType():
                return lambda value: self._to_amount(value, unit, True)
            case inspect.FloatType():
                return lambda value: self._to_amount(value, unit, False)
            case inspect.BoolType():
                return self._to_bool
            case inspect.LiteralType():
                return lambda value: self._to_choice(value, kind.values)
            case inspect.StrType():
                return self._to_string
        raise TypeError(f"{self.label}: no conversion to {kind}")

    def _to_list(self, value: Any, fix: str) -> list[Any]:
        if not isinstance(value, list | tuple):
            raise _ConversionError(f"{self.label} is a list, not {describe(value)}", fix)
        return list(value)

    def _to_bool(self, value: Any) -> bool:
        if not isinstance(value, bool):
            raise _ConversionError(f"{self.label} is True or False, not {describe(value)}", "write True or False")
        return value

    def _to_string(self, value: Any) -> str:
        if not isinstance(value, str):
            raise _ConversionError(f"{self.label} is a string, not {describe(value)}", "put it in quotes")
        return value

    def _to_choice(self, value: Any, choices: Any) -> Any:
        if value not in choices or isinstance(value, bool):
            close = nearest(value, choices) if isinstance(value, str) else None
            listed = ", ".join(f'"{choice}"' for choice in choices)
            raise _ConversionError(f"{self.label} cannot be {describe(value)}",
                                   f'write "{close}"' if close else f"use one of {listed}")
        return value

    def _to_reference(self, value: Any, section_name: str) -> str:
        """The name of an entry of another section, given as a string or as the entry itself."""
        if isinstance(value, Record):
            if value.section != section_name:
                raise _ConversionError(f"{self.label} names a {section_name}, not {value.described}",
                                       f"name a {section_name}")
            return value.name
        if not isinstance(value, str):
            raise _ConversionError(f"{self.label} names a {section_name}, not {describe(value)}",
                                   f"name a {section_name}")
        return value

    def _to_amount(self, value: Any, unit: Dimension, is_whole: bool) -> int | float:
        dimension = dimension_of(value)
        if dimension is not unit:
            message = f"{self.label} is {DIMENSION_LABELS[unit]}, not {describe(value)}"
            if unit is NUMBER and dimension is not None:
                raise _ConversionError(message, "write it without a unit")
            raise _ConversionError(message, f"write {self._suggest_amount(value, unit)}")
        amount = amount_of(value)
        if not is_whole:
            return float(amount)
        if amount.denominator != 1:
            expected = {"time": "a multiple of 1us", "size": "a multiple of 1B"}.get(unit.value, "a whole number")
            raise _ConversionError(
                f"{self.label} is {expected}, not {format_amount(value)}",
                f"write {format_amount(_with_dimension_of(value, Fraction(max(1, round(amount)))))}")
        return amount.numerator

    def _suggest_amount(self, value: Any, unit: Dimension) -> str:
        """Suggests a literal: the quantity that a string holds, or the number with a unit of the right dimension.

        Of the units, the first one with which the number is within the bounds of the key is taken.
        """
        if isinstance(value, str):
            with suppress(QuantityError):
                if parse_quantity(value).dimension is unit:
                    return f"{value} without quotes"
        if dimension_of(value) is not NUMBER:
            return EXAMPLE_LITERALS[unit]
        if value == 0:
            return {"time": "0ms", "size": "0KiB", "rate": "0/s", "share": "0%"}[unit.value]
        likely = suggest_quantity(value, unit)
        for text in (likely, *(format_amount(value) + name for name, (dimension, _) in UNITS.items()
                               if dimension is unit)):
            with suppress(QuantityError, msgspec.ValidationError):
                msgspec.convert(float(parse_quantity(text).amount), self.type_hint, strict=False)
                return text
        return likely

    def _bounds_error(self, value: Any, message: str) -> _ConversionError:
        """The error for a value that msgspec rejected with `message`."""
        match = BOUND_MESSAGE.match(message)
        if match:
            bound = Fraction(match[2])
            text = format_amount(_with_dimension_of(value, bound)) if dimension_of(value) is not None else match[2]
            return _ConversionError(f"{self.label} is {BOUND_PHRASES[match[1]]} {text}, not {format_amount(value)}",
                                    f"write {text}" if "=" in match[1] else "make it "
                                    + ("more" if match[1] == ">" else "less"))
        if self.fix:
            return _ConversionError(f"{self.label} cannot be {describe(value)}", self.fix)
        return _ConversionError(f"{self.label} cannot be {describe(value)}", message)


def _with_dimension_of(value: Any, amount: Fraction) -> Any:
    """`amount` with the dimension of `value`."""
    if isinstance(value, Quantity):
        return Quantity(amount, value.dimension)
    return amount


@cache
def section_keys(section: type[Section]) -> dict[str, Key]:
    """The keys of a section by name."""
    info = inspect.type_info(section)
    assert isinstance(info, inspect.StructType)
    hints = get_type_hints(section, include_extras=True)
    return {field.name: Key(section, field, hints[field.name]) for field in info.fields}


class EntryFunction:
    """The function that scripts call to add an entry of one section, such as `method("a", ...)`.

    Implements the protocol `SectionFunction` of the language.
    """

    def __init__(self, section: type[Section], reader: PlanReader) -> None:
        self.section, self.reader = section, reader
        self.positional = section.positional
        self.described = f"the section {section.section_name}"
        self.keys = section_keys(section)

    def enter(self, location: Location, arguments: dict[str, ArgumentValue]) -> Record:
        """Converts the arguments of one call, reports every problem in them and adds the entry to the plan."""
        reader, section_name, fields = self.reader, self.section.section_name, {}
        is_valid = True
        for name, argument in arguments.items():
            key = self.keys.get(name)
            if key is None:
                close = nearest(name, self.keys)
                reader.report(argument.location, f"{section_name} has no {name}", f"write {close}" if close else
                              f"use one of {', '.join(self.keys)}")
                is_valid = False
            elif argument.value is UNKNOWN:  # the error that made it unknown is already reported
                is_valid = False
            else:
                try:
                    fields[name] = key.convert(argument.value)
                except _ConversionError as error:
                    reader.report(argument.location, str(error), error.fix)
                    is_valid = False
        for name, key in self.keys.items():
            if key.required and name not in arguments:
                reader.report(location, f"{section_name} lacks {name}", f"add {name} = {_example_value(key)}")
                is_valid = False
        title = fields.get("name", "")
        record = Record(section_name, title if isinstance(title, str) else "",
                        {name: argument.value for name, argument in arguments.items()})
        reader.add_entry(self.section, fields if is_valid else None, location, arguments, record)
        return record


def _example_value(key: Key) -> str:
    """A literal that a script can write for the key."""
    hint = str(key.type_hint)
    for unit in ("time", "size", "rate", "share"):
        if f"'unit': '{unit}'" in hint:
            return EXAMPLE_LITERALS[Dimension(unit)]
    if "Literal[" in hint:
        return f'"{key.type_hint.__args__[0]}"'
    return '"..."' if "str" in hint else "2"


class PlanReader:
    """Runs one script and collects the entries and diagnostics."""

    def __init__(self, folder: SourceFolder, root: str) -> None:
        self.diagnostics = Diagnostics()
        self.plan = Plan()
        self.unreadable: list[tuple[str, str]] = []  # section and name of entries that could not be converted
        self.first_locations: dict[tuple[str, str], Location] = {}  # section and name -> its first entry
        self.locations: list[tuple[Location, dict[str, Location]]] = []  # of each entry of the plan and of its keys
        self.limit_reported = False  # whether the limit on entries was reported
        self.program = Program(folder, {name: EntryFunction(kind, self) for name, kind in SECTIONS.items()},
                               self.diagnostics)
        self.root = root

    def report(self, location: Location, message: str, fix: str) -> None:
        """Reports an error."""
        self.diagnostics.add(location, message, fix)

    def add_entry(self, kind: type[Section], fields: dict[str, Any] | None, location: Location,
                  arguments: dict[str, ArgumentValue], record: Record) -> None:
        """Adds an entry to the plan. `fields` is None for an entry whose arguments could not be converted."""
        section_name = kind.section_name
        name = record.name if kind.allows_multiple and "name" in section_keys(kind) else ""
        if not kind.allows_multiple or name:
            first = self.first_locations.get((section_name, name))
            if first is not None:
                self.report(location, f'the {section_name}{f" {chr(34)}{name}{chr(34)}" if name else ""} is already '
                            f"defined at {first.file}:{first.line}",
                            "remove one" if not name else "choose another name")
                return
            self.first_locations[section_name, name] = location
        if len(self.plan.entries) >= MAX_ENTRIES:
            if not self.limit_reported:
                self.limit_reported = True
                self.report(location, f"more than {MAX_ENTRIES} entries", "use fewer entries")
            return
        if fields is None:
            self.unreadable.append((section_name, name))
            return
        value = kind(**fields)
        key_locations = {key: argument.location for key, argument in arguments.items()}
        for key, message, fix in value.problems():
            self.report(key_locations.get(key, location), message, fix)
        self.plan.entries.append(Entry(value, str(location),
                                       {key: str(written_at) for key, written_at in key_locations.items()}))
        self.locations.append((location, key_locations))

    def run(self) -> Plan:
        """Runs the script and the checks between entries, and returns the plan."""
        self.program.run(self.root)
        self.plan.files = list(self.program.modules)
        check(self.plan, self.locations, set(self.unreadable), self.program.parser.unparsed_names, self.diagnostics)
        return self.plan


class ReadResult:
    """A plan and all diagnostics. The plan is complete only if there are no errors.

    Attributes:
        diagnostics: errors and warnings, sorted by location.
        left_out: number of diagnostics beyond the limit on those that are kept.
        errors: the errors of `diagnostics`.
    """

    def __init__(self, reader: PlanReader) -> None:
        self.plan, self.diagnostics = reader.run(), reader.diagnostics.all()
        self.left_out = reader.diagnostics.left_out
        self.errors = [diagnostic for diagnostic in self.diagnostics if diagnostic.severity == "error"]
        self._source_line = reader.program.source_line

    def source_line(self, location: Location) -> str | None:
        """The source line of a location, or None if its file is not known."""
        return self._source_line(location)


def read(folder: SourceFolder, root: str) -> ReadResult:
    """Reads the script `root` of a folder. Errors in a script are in the result; none is raised."""
    return ReadResult(PlanReader(folder, root))


def read_file(path: str) -> ReadResult:
    """Reads a script from a file; the files that it loads are read from the same folder."""
    folder, name = os.path.split(path)
    return read(DiskFolder(folder or "."), name)


def load(path: str) -> Plan:
    """Reads a script from a file.

    Raises:
        ScriptError: with all diagnostics, if there is an error.
    """
    result = read_file(path)
    if result.errors:
        raise ScriptError(result.diagnostics)
    return result.plan


__all__ = ["Diagnostic", "ReadResult", "ScriptError", "load", "read", "read_file"]
