"""Quantities with units: literals, arithmetic with dimensions, and suggestions for wrong or missing units.

Amounts are exact fractions, in microseconds, bytes, events per second, or as a share of 1: `2.1s` is exactly
2,100,000 us.
"""
from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from fractions import Fraction
from typing import Any

MAX_DIGITS = 60  # of a numerator or denominator; bounds numbers that a script squares in a loop


class Dimension(Enum):
    """The kind of an amount; a number without a unit has the dimension NUMBER."""

    NUMBER = "number"
    TIME = "time"
    SIZE = "size"
    RATE = "rate"
    SHARE = "share"


TIME, SIZE, RATE, SHARE, NUMBER = (Dimension.TIME, Dimension.SIZE, Dimension.RATE, Dimension.SHARE,
                                   Dimension.NUMBER)
UNITS: dict[str, tuple[Dimension, Fraction]] = {
    "us": (TIME, Fraction(1)), "ms": (TIME, Fraction(1000)), "s": (TIME, Fraction(10 ** 6)),
    "min": (TIME, Fraction(60 * 10 ** 6)), "h": (TIME, Fraction(3600 * 10 ** 6)),
    "B": (SIZE, Fraction(1)), "KiB": (SIZE, Fraction(2 ** 10)), "MiB": (SIZE, Fraction(2 ** 20)),
    "GiB": (SIZE, Fraction(2 ** 30)),
    "/s": (RATE, Fraction(1)), "/min": (RATE, Fraction(1, 60)), "/h": (RATE, Fraction(1, 3600)),
    "%": (SHARE, Fraction(1, 100)),
}
# whether format_amount() writes the unit after a number with decimals (1) or only after a whole number (0)
ALLOWS_DECIMALS = {"us": 1, "ms": 1, "s": 1, "min": 0, "h": 0, "B": 1, "KiB": 1, "MiB": 1, "GiB": 1, "/s": 1,
                   "/min": 0, "/h": 0, "%": 1}
EXAMPLE_LITERALS = {TIME: "830ms", SIZE: "24KiB", RATE: "190/s", SHARE: "30%", NUMBER: "2"}
DIMENSION_LABELS = {TIME: "a time", SIZE: "a size", RATE: "a rate", SHARE: "a share", NUMBER: "a number"}
# common wrong spellings of units, for suggestions
UNIT_MISSPELLINGS = {
    "us": ("usec", "micros", "microseconds"), "ms": ("msec", "msecs", "millis", "milliseconds", "Ms", "MS"),
    "s": ("sec", "secs", "second", "seconds", "S"), "min": ("m", "mins", "minute", "minutes"),
    "h": ("hr", "hrs", "hour", "hours", "H"), "B": ("b", "byte", "bytes"),
    "KiB": ("k", "K", "kb", "KB", "kB", "kib", "Ki"), "MiB": ("M", "mb", "MB", "mB", "mib", "Mi"),
    "GiB": ("g", "G", "gb", "GB", "gB", "gib", "Gi"), "%": ("pct", "percent")}


class QuantityError(ValueError):
    """A literal or an operation on quantities has no valid result.

    Attributes:
        fix: what to change, if possible with the literal that was probably meant.
    """

    def __init__(self, message: str, fix: str) -> None:
        super().__init__(message)
        self.fix = fix


@dataclass(frozen=True, slots=True)
class Quantity:
    """An amount with a dimension other than NUMBER, in the base unit of the dimension."""

    amount: Fraction
    dimension: Dimension

    def __str__(self) -> str:
        return format_amount(self)

    __repr__ = __str__


Amount = int | Fraction | Quantity


def parse_quantity(text: str) -> Quantity:
    """Parses a literal with a unit.

    >>> [parse_quantity(text).amount for text in ("2.1s", "30%", "24KiB", "6/min")]
    [Fraction(2100000, 1), Fraction(3, 10), Fraction(24576, 1), Fraction(1, 10)]
    """
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(.+)", text)
    if match is None or match[2] not in UNITS:
        raise QuantityError(f"{text} has an unknown unit", f"write {suggest_literal(text) or EXAMPLE_LITERALS[TIME]}")
    dimension, factor = UNITS[match[2]]
    return Quantity(check_digits(Fraction(match[1]) * factor), dimension)


def parse_number(text: str) -> int | Fraction:
    """Parses a literal without a unit."""
    return int_if_whole(check_digits(Fraction(text)))


def int_if_whole(value: Fraction) -> int | Fraction:
    """The value as an int if it is a whole number, else unchanged."""
    return value.numerator if value.denominator == 1 else value


def check_digits(value: Fraction) -> Fraction:
    """The value itself; raises QuantityError if it has more than MAX_DIGITS digits."""
    if max(abs(value.numerator), value.denominator) >= 10 ** MAX_DIGITS:
        raise QuantityError(f"a number of more than {MAX_DIGITS} digits", "use smaller or less precise numbers")
    return value


def suggest_literal(text: str) -> str | None:
    """The literal that was probably meant by a number with an unknown unit, or None.

    >>> suggest_literal("830msec"), suggest_literal("24KB"), suggest_literal("5parsecs")
    ('830ms', '24KiB', None)
    """
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z%]+)", text)
    if match:
        for unit, misspellings in UNIT_MISSPELLINGS.items():
            if match[2] in misspellings or match[2] == unit:
                return match[1] + unit
    return None


def dimension_of(value: Any) -> Dimension | None:
    """The dimension of a number or quantity; None for other values, also for True and False."""
    if isinstance(value, Quantity):
        return value.dimension
    if isinstance(value, int | Fraction) and not isinstance(value, bool):
        return NUMBER
    return None


def amount_of(value: Amount) -> Fraction:
    """The amount in the base unit of its dimension."""
    return value.amount if isinstance(value, Quantity) else Fraction(value)


def make_amount(amount: Fraction, dimension: Dimension) -> Amount:
    """A number or quantity from an amount in the base unit of the dimension."""
    check_digits(amount)
    return int_if_whole(amount) if dimension is NUMBER else Quantity(amount, dimension)


def format_amount(value: Amount) -> str:
    """The shortest literal for exactly this amount, or a quotient if no literal is exact.

    >>> [format_amount(parse_quantity(text)) for text in ("2100ms", "0.5s", "2048KiB", "0.3%", "60min", "90s")]
    ['2.1s', '500ms', '2MiB', '0.3%', '1h', '90s']
    >>> format_amount(Quantity(Fraction(1, 3), RATE))
    '20/min'
    >>> format_amount(Fraction(1, 3)), format_amount(Quantity(Fraction(1, 3), TIME))
    ('1 / 3', '1us / 3')
    """
    if not isinstance(value, Quantity):
        text = _exact_decimal(Fraction(value))
        return text if text is not None else f"{Fraction(value).numerator} / {Fraction(value).denominator}"
    best: str | None = None
    for unit, (dimension, factor) in UNITS.items():
        if dimension is not value.dimension:
            continue
        text = _exact_decimal(value.amount / factor)
        if text is None or "." in text and not ALLOWS_DECIMALS[unit]:
            continue
        if unit in ("min", "h") and value.amount < factor:
            continue
        if best is None or _complexity(text + unit) < _complexity(best):
            best = text + unit
    if best is not None:
        return best
    base = {TIME: "us", SIZE: "B", RATE: "/s", SHARE: "%"}[value.dimension]
    amount = value.amount / UNITS[base][1]
    return f"{amount.numerator}{base} / {amount.denominator}"


def _complexity(text: str) -> tuple[bool, int, bool]:
    """Sort key of a literal: prefers no leading zero, then few digits, then whole numbers."""
    number, = re.findall(r"^-?[0-9.]+", text)
    return number.startswith("0.") or number.startswith("-0."), len(number), "." in number


def _exact_decimal(value: Fraction) -> str | None:
    """The value as an exact decimal number, or None if that needs more than 12 places."""
    cofactor = value.denominator
    for prime in (2, 5):
        while cofactor % prime == 0:
            cofactor //= prime
    if cofactor != 1:
        return None
    places = 0
    while (value * 10 ** places).denominator != 1:
        places += 1
        if places > 12:
            return None
    digits = str(abs(value.numerator * 10 ** places // value.denominator)).rjust(places + 1, "0")
    text = f"{digits[:-places]}.{digits[-places:]}" if places else digits
    return f"-{text}" if value < 0 else text


def suggest_quantity(value: int | Fraction, dimension: Dimension) -> str:
    """The literal that was probably meant by a number without a unit, chosen by its size.

    `dimension` is the dimension that is required.
    """
    text = format_amount(value)
    if dimension is TIME:
        return f"{text}{'ms' if value >= 50 else 's'}"
    if dimension is SIZE:
        return f"{text}{'KiB' if value < 10 ** 6 else 'B'}"
    if dimension is SHARE:
        return f"{format_amount(int_if_whole(Fraction(value) * 100))}%" if 0 < value <= 1 else f"{text}%"
    return f"{text}/s" if dimension is RATE else text


def describe(value: Any) -> str:
    """A value as messages name it.

    >>> describe(parse_quantity("2s")), describe(3), describe("a"), describe(None), describe([1])
    ('the time 2s', 'the number 3', 'the string "a"', 'None', 'a list')
    """
    dimension = dimension_of(value)
    if dimension is not None:
        return f"the {dimension.value} {format_amount(value)}"
    if isinstance(value, str):
        text = value if len(value) <= 40 else value[:37] + "..."
        return f'the string "{text}"'
    if value is None or isinstance(value, bool):
        return str(value)
    for kind, text in ((list, "a list"), (tuple, "a tuple"), (dict, "a dict")):
        if isinstance(value, kind):
            return text
    return str(getattr(value, "described", "a function"))


def arithmetic(operator: str, left: Any, right: Any) -> Amount:
    """Computes `left operator right`.

    Raises:
        QuantityError: the dimensions do not allow the operation, or a division by zero.

    >>> arithmetic("+", parse_quantity("2s"), parse_quantity("30ms"))
    2030ms
    >>> arithmetic("/", parse_quantity("1s"), parse_quantity("250ms"))
    4
    >>> arithmetic("*", parse_quantity("190/s"), parse_quantity("2s"))
    380
    >>> arithmetic("*", parse_quantity("30%"), parse_quantity("1s"))
    300ms
    """
    left_dimension, right_dimension = dimension_of(left), dimension_of(right)
    if left_dimension is None or right_dimension is None:
        raise QuantityError(f"{describe(left)} {operator} {describe(right)} is not defined",
                            "use numbers, quantities, or two values of one type")
    a, b = amount_of(left), amount_of(right)
    if operator in ("/", "//", "%") and b == 0:
        raise QuantityError("a division by zero", "use a divisor other than 0")
    if operator in ("+", "-"):
        if left_dimension is not right_dimension:
            raise _mixed_units_error(operator, left, right)
        return make_amount(a + b if operator == "+" else a - b, left_dimension)
    if operator == "*":
        if {left_dimension, right_dimension} == {TIME, RATE}:
            return make_amount(a * b / 10 ** 6, NUMBER)  # times are in microseconds, rates per second
        if NUMBER in (left_dimension, right_dimension):
            return make_amount(a * b, right_dimension if left_dimension is NUMBER else left_dimension)
        if SHARE in (left_dimension, right_dimension):
            return make_amount(a * b, right_dimension if left_dimension is SHARE else left_dimension)
    elif operator == "/":
        if left_dimension is right_dimension:
            return make_amount(a / b, NUMBER)
        if right_dimension in (NUMBER, SHARE):
            return make_amount(a / b, left_dimension)
        if left_dimension is NUMBER and right_dimension in (TIME, RATE):
            return make_amount(a * 10 ** 6 / b, RATE if right_dimension is TIME else TIME)
    elif left_dimension is right_dimension:
        return make_amount(Fraction(a // b), NUMBER) if operator == "//" \
            else make_amount(a - b * (a // b), left_dimension)
    raise QuantityError(f"the result of {describe(left)} {operator} {describe(right)} has no valid unit",
                        "check both operands")


def _mixed_units_error(operator: str, left: Any, right: Any) -> QuantityError:
    """If one operand is a number without a unit, the fix suggests the unit that is probably missing."""
    for number_without_unit, quantity in ((left, right), (right, left)):
        if dimension_of(number_without_unit) is NUMBER:
            suggestion = suggest_quantity(number_without_unit, quantity.dimension)
            return QuantityError(f"{describe(left)} {operator} {describe(right)} mixes units",
                                 f"write {suggestion} for {format_amount(number_without_unit)}")
    return QuantityError(f"{describe(left)} {operator} {describe(right)} mixes units",
                         "use quantities of the same kind")
