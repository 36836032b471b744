"""Builtin functions and methods of scripts. They have no side effects and depend only on their arguments."""
from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from functools import cmp_to_key
from typing import Any

from .units import amount_of, arithmetic, describe, dimension_of, format_amount

MAX_RANGE_ITEMS = 200_000  # elements of one range()
MAX_STRING_LENGTH = 1 << 20  # characters in the result of str(), replace(), join() and format()


class ArgumentError(ValueError):
    """A builtin does not accept one of its arguments.

    Attributes:
        fix: what the script can write instead.
    """

    def __init__(self, message: str, fix: str) -> None:
        super().__init__(message)
        self.fix = fix


def _require_int(value: Any) -> int:
    if type(value) is not int:
        raise ArgumentError(f"{describe(value)} is not a whole number", "use a whole number")
    return value


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise ArgumentError(f"{describe(value)} is not a string", "convert it with str()")
    return value


def _require_sequence(value: Any) -> list[Any]:
    if not isinstance(value, list | tuple | dict):
        raise ArgumentError(f"{describe(value)} is not a list", "use a list")
    return list(value)


def _range(first: Any, end: Any = None, step: Any = 1) -> list[int]:
    start, stop = (0, _require_int(first)) if end is None else (_require_int(first), _require_int(end))
    if _require_int(step) == 0:
        raise ArgumentError("a step of 0", "use 1 or more, or -1 or less")
    span = range(start, stop, step)
    if start != stop and abs(stop - start) // abs(step) > MAX_RANGE_ITEMS:
        raise ArgumentError(f"more than {MAX_RANGE_ITEMS} elements", "use a shorter range")
    return list(span)


def _len(value: Any) -> int:
    if not isinstance(value, str | list | tuple | dict):
        raise ArgumentError(f"{describe(value)} has no length", "use a list, a dict or a string")
    return len(value)


def _str(value: Any) -> str:
    """Converts any value to a string; strings are returned unchanged.

    >>> from .units import parse_quantity
    >>> _str(parse_quantity("2100ms")), _str([1, "a", None]), _str({"a": True})
    ('2.1s', '[1, "a", None]', '{"a": True}')
    """
    return value if isinstance(value, str) else _format_value(value, 0)


def _format_value(value: Any, depth: int) -> str:
    """A value as a script would write it; `depth` is its nesting level within the converted value."""
    if depth > 4:
        raise ArgumentError("a value nested deeper than 4 levels", "convert its parts one by one")
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if dimension_of(value) is not None:
        return format_amount(value)
    if isinstance(value, list | tuple):
        if len(value) > 1000:
            raise ArgumentError("a list with more than 1000 elements", "convert a part of it")
        body = _check_length(", ".join(_format_value(item, depth + 1) for item in value))
        return f"[{body}]" if isinstance(value, list) else f"({body})"
    if isinstance(value, dict):
        return "{" + _check_length(", ".join(f"{_format_value(key, depth + 1)}: {_format_value(item, depth + 1)}"
                                             for key, item in list(value.items())[:1000])) + "}"
    return describe(value)


def _check_length(text: str) -> str:
    """The text itself, unless it is too long."""
    if len(text) > MAX_STRING_LENGTH:
        raise ArgumentError(f"a string with more than {MAX_STRING_LENGTH} characters", "make it shorter")
    return text


def _int(value: Any) -> int:
    if isinstance(value, str) and value.strip().lstrip("-").isascii() and value.strip().lstrip("-").isdigit() \
            and len(value) <= 30:
        return int(value)
    if isinstance(value, int | Fraction):
        return int(value)
    raise ArgumentError(f"{describe(value)} is not a number", "use a number or a string of digits")


def _compare(left: Any, right: Any) -> int:
    if isinstance(left, str) and isinstance(right, str):
        return (left > right) - (left < right)
    difference = amount_of(arithmetic("-", left, right))
    return (difference > 0) - (difference < 0)


def _values_of(arguments: tuple[Any, ...]) -> list[Any]:
    """The arguments themselves, or the elements of a single argument."""
    values = _require_sequence(arguments[0]) if len(arguments) == 1 else list(arguments)
    if not values:
        raise ArgumentError("no values", "pass at least one value")
    return values


def _min(*values: Any) -> Any:
    return min(_values_of(values), key=cmp_to_key(_compare))


def _max(*values: Any) -> Any:
    return max(_values_of(values), key=cmp_to_key(_compare))


def _sorted(values: Any) -> list[Any]:
    return sorted(_require_sequence(values), key=cmp_to_key(_compare))


def _fail(message: Any) -> None:
    raise ArgumentError(_str(message)[:200], "change the values that the script checks")


def _enumerate(values: Any) -> list[Any]:
    return list(enumerate(_require_sequence(values)))


def _zip(*sequences: Any) -> list[Any]:
    return list(zip(*(_require_sequence(sequence) for sequence in sequences), strict=False))


def _reversed(values: Any) -> list[Any]:
    return _require_sequence(values)[::-1]


def _abs(value: Any) -> Any:
    if dimension_of(value) is None:
        raise ArgumentError(f"{describe(value)} is not a number or quantity", "use a number or quantity")
    return value if amount_of(value) >= 0 else arithmetic("*", value, -1)


def _round(value: Any) -> int:
    if not isinstance(value, int | Fraction):
        raise ArgumentError(f"{describe(value)} is not a number", "divide it by its unit first, like 1s / 1ms")
    return round(value)


FUNCTIONS: dict[str, Callable[..., Any]] = {
    "range": _range, "len": _len, "str": _str, "int": _int, "min": _min, "max": _max, "sorted": _sorted,
    "enumerate": _enumerate, "zip": _zip, "reversed": _reversed, "abs": _abs, "round": _round, "fail": _fail,
    "list": _require_sequence}


def _format(text: str, *values: Any) -> str:
    """Replaces each `{}` in `text` by one value.

    >>> _format("{}-{}", "a", 2)
    'a-2'
    """
    parts = text.split("{}")
    if len(parts) - 1 != len(values):
        raise ArgumentError(f"{len(parts) - 1} placeholders {{}} for {len(values)} values",
                            "pass one value for each placeholder")
    texts = [_str(value) for value in values]
    return _check_length("".join(part + value for part, value in zip(parts, [*texts, ""], strict=True)))


def _join(text: str, values: Any) -> str:
    parts = [_require_string(value) for value in _require_sequence(values)]
    if sum(map(len, parts)) + len(text) * len(parts) > MAX_STRING_LENGTH:
        raise ArgumentError(f"a string with more than {MAX_STRING_LENGTH} characters", "make it shorter")
    return text.join(parts)


def _split(text: str, separator: Any) -> list[str]:
    if not _require_string(separator):
        raise ArgumentError("an empty separator", "use a string of one character or more")
    return text.split(separator)


def _replace(text: str, old: Any, new: Any) -> str:
    if not _require_string(old):
        raise ArgumentError("an empty string to replace", "use a string of one character or more")
    if len(text) + text.count(old) * len(_require_string(new)) > MAX_STRING_LENGTH:
        raise ArgumentError(f"a string with more than {MAX_STRING_LENGTH} characters", "make it shorter")
    return text.replace(old, new)


METHODS: dict[type, dict[str, Callable[..., Any]]] = {
    str: {"format": _format, "join": _join, "split": _split, "replace": _replace,
          "startswith": lambda text, part: text.startswith(_require_string(part)),
          "endswith": lambda text, part: text.endswith(_require_string(part)),
          "upper": lambda text: text.upper(), "lower": lambda text: text.lower(),
          "strip": lambda text: text.strip()},
    dict: {"keys": lambda mapping: list(mapping), "values": lambda mapping: list(mapping.values()),
           "items": lambda mapping: list(mapping.items()),
           "get": lambda mapping, key, default=None: mapping.get(key, default) if isinstance(key, str | int)
           else default}}
