"""From a script to a plan: the words of the sections, each argument checked at its place."""
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
BOUND = re.compile(r"Expected `\w+` (>=|>|<=|<) ([-0-9.e+]+)")
WORDS = {">=": "at least", ">": "more than", "<=": "at most", "<": "less than"}


class _Wrong(ValueError):
    def __init__(self, what: str, fix: str) -> None:
        super().__init__(what)
        self.fix = fix


class Key:
    """One key of a section: turns what a script gives into what the schema holds."""

    def __init__(self, section: type[Section], info: inspect.Field, hint: Any) -> None:
        self.name, self.required, self.hint = info.name, info.required, hint
        self.label = f"{section.word}.{info.name}"
        self.fix = ""  # of what does not fit its form
        self.read = self._reader(info.type)

    def convert(self, value: Any) -> Any:
        made = self.read(value)
        try:
            return msgspec.convert(made, self.hint)
        except msgspec.ValidationError as bad:
            raise self._out_of_bounds(value, str(bad)) from bad

    def _reader(self, kind: Any, unit: Dimension = NUMBER) -> Callable[[Any], Any]:
        match kind:
            case inspect.Metadata():
                extra = kind.extra or {}
                self.fix = extra.get("fix", self.fix)
                if "unit" in extra:
                    return self._reader(kind.type, Dimension(extra["unit"]))
                if "ref" in extra:
                    word = extra["ref"]
                    return lambda value: self._reference(value, word)
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
        raise TypeError(f"{self.label}: no reader for {kind}")

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

    def _one_of(self, value: Any, known: Any) -> Any:
        if value not in known or isinstance(value, bool):
            close = nearest(value, known) if isinstance(value, str) else None
            listed = ", ".join(f'"{word}"' for word in known)
            raise _Wrong(f"{self.label} cannot be {describe(value)}",
                         f'write "{close}"' if close else f"use one of {listed}")
        return value

    def _reference(self, value: Any, word: str) -> str:
        if isinstance(value, Record):
            if value.section != word:
                raise _Wrong(f"{self.label} names a {word}, not {value.described}", f"name a {word}")
            return value.name
        if not isinstance(value, str):
            raise _Wrong(f"{self.label} names a {word}, not {describe(value)}", f"name a {word}")
        return value

    def _amount(self, value: Any, unit: Dimension, is_whole: bool) -> int | float:
        given = dimension_of(value)
        if given is not unit:
            what = f"{self.label} is {ARTICLE[unit]}, not {describe(value)}"
            if unit is NUMBER and given is not None:
                raise _Wrong(what, "write it without a unit")
            raise _Wrong(what, f"write {self._meant(value, unit)}")
        amount = amount_of(value)
        if not is_whole:
            return float(amount)
        if amount.denominator != 1:
            least = {"time": "1us", "size": "1B"}.get(unit.value, "1")
            raise _Wrong(f"{self.label} is counted in whole {least}, not {written(value)}",
                         f"write {written(_like(value, Fraction(max(1, round(amount)))))}")
        return amount.numerator

    def _meant(self, value: Any, unit: Dimension) -> str:
        """What was probably meant: the amount in a string, or the number with the first unit that fits the key."""
        if isinstance(value, str):
            with suppress(Mismatch):
                if literal(value).dimension is unit:
                    return f"{value} without quotes"
        if dimension_of(value) is not NUMBER:
            return EXAMPLE[unit]
        if value == 0:
            return {"time": "0ms", "size": "0KiB", "rate": "0/s", "share": "0%"}[unit.value]
        likely = with_unit(value, unit)
        for text in (likely, *(written(value) + name for name, (of, _) in UNITS.items() if of is unit)):
            with suppress(Mismatch, msgspec.ValidationError):
                msgspec.convert(float(literal(text).amount), self.hint, strict=False)
                return text
        return likely

    def _out_of_bounds(self, value: Any, message: str) -> _Wrong:
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
    if isinstance(value, Quantity):
        return Quantity(amount, value.dimension)
    return amount


@cache
def keys(section: type[Section]) -> dict[str, Key]:
    info = inspect.type_info(section)
    assert isinstance(info, inspect.StructType)
    hints = get_type_hints(section, include_extras=True)
    return {field.name: Key(section, field, hints[field.name]) for field in info.fields}


class Word:
    """What the script calls: `method("a", ...)` makes one entry."""

    def __init__(self, section: type[Section], reader: Reader) -> None:
        self.section, self.reader = section, reader
        self.positional = section.positional
        self.described = f"the word {section.word}"
        self.keys = keys(section)

    def enter(self, where: Where, given: dict[str, Given]) -> Record:
        reader, word, fields = self.reader, self.section.word, {}
        good = True
        for name, argument in given.items():
            key = self.keys.get(name)
            if key is None:
                close = nearest(name, self.keys)
                reader.tell(argument.where, f"{word} has no {name}", f"write {close}" if close else
                            f"use one of {', '.join(self.keys)}")
                good = False
            elif argument.value is UNKNOWN:
                good = False
            else:
                try:
                    fields[name] = key.convert(argument.value)
                except _Wrong as bad:
                    reader.tell(argument.where, str(bad), bad.fix)
                    good = False
        for name, key in self.keys.items():
            if key.required and name not in given:
                reader.tell(where, f"{word} lacks {name}", f"add {name} = {_example(key)}")
                good = False
        title = fields.get("name", "")
        record = Record(word, title if isinstance(title, str) else "",
                        {name: argument.value for name, argument in given.items()})
        reader.enter(self.section, fields if good else None, where, given, record)
        return record


def _example(key: Key) -> str:
    text = str(key.hint)
    for unit in ("time", "size", "rate", "share"):
        if f"'unit': '{unit}'" in text:
            return EXAMPLE[Dimension(unit)]
    if "Literal[" in text:
        return f'"{key.hint.__args__[0]}"'
    return '"..."' if "str" in text else "2"


class Reader:
    """Collects the entries of one run."""

    def __init__(self, folder: Folder, root: str) -> None:
        self.faults = Faults()
        self.plan = Plan()
        self.broken: list[tuple[str, str]] = []  # section and name of entries that could not be read
        self.seen: dict[tuple[str, str], Where] = {}
        self.places: list[tuple[Where, dict[str, Where]]] = []  # of the entries of the plan
        self.full = False
        self.program = Program(folder, {word: Word(kind, self) for word, kind in SECTIONS.items()}, self.faults)
        self.root = root

    def tell(self, where: Where, what: str, fix: str) -> None:
        self.faults.add(where, what, fix)

    def enter(self, kind: type[Section], fields: dict[str, Any] | None, where: Where, given: dict[str, Given],
              record: Record) -> None:
        word = kind.word
        name = record.name if kind.many and "name" in keys(kind) else ""
        if not kind.many or name:
            first = self.seen.get((word, name))
            if first is not None:
                self.tell(where, f'the {word}{f" {chr(34)}{name}{chr(34)}" if name else ""} is there from '
                          f"{first.file}:{first.line} already", "remove one" if not name else "choose another name")
                return
            self.seen[word, name] = where
        if len(self.plan.entries) >= MOST:
            if not self.full:
                self.full = True
                self.tell(where, f"more than {MOST} entries", "say more with fewer")
            return
        if fields is None:
            self.broken.append((word, name))
            return
        value = kind(**fields)
        places = {key: argument.where for key, argument in given.items()}
        for key, what, fix in value.troubles():
            self.tell(places.get(key, where), what, fix)
        self.plan.entries.append(Entry(value, str(where), {key: str(place) for key, place in places.items()}))
        self.places.append((where, places))

    def run(self) -> Plan:
        self.program.run(self.root)
        self.plan.files = list(self.program.modules)
        check(self.plan, self.places, set(self.broken), self.program.parser.unread, self.faults)
        return self.plan


class Result:
    """A plan and all that was found wrong; the plan is whole only where there are no errors."""

    def __init__(self, reader: Reader) -> None:
        self.plan, self.faults = reader.run(), reader.faults.all()
        self.left_out = reader.faults.left_out
        self.errors = [fault for fault in self.faults if fault.grade == "error"]
        self._line = reader.program.line

    def line(self, where: Where) -> str | None:
        return self._line(where)


def read(folder: Folder, root: str) -> Result:
    """Reads the script `root` of a folder; never raises for what a script holds."""
    return Result(Reader(folder, root))


def read_file(path: str) -> Result:
    folder, name = os.path.split(path)
    return read(Disk(folder or "."), name)


def load(path: str) -> Plan:
    """
    Raises:
        Unusable: with every fault found.
    """
    result = read_file(path)
    if result.errors:
        raise Unusable(result.faults)
    return result.plan


__all__ = ["Fault", "Result", "Unusable", "load", "read", "read_file"]
