"""Compares two plans by meaning, and writes a plan as a script."""
from __future__ import annotations

from collections import Counter
from fractions import Fraction
from typing import Any

import msgspec

from ..language.units import Dimension, Quantity, format_amount
from .model import Entry, Plan
from .sections import Section


class Change(msgspec.Struct, frozen=True):
    """One difference between two plans.

    Attributes:
        section, name, key: what differs; `key` is empty where a whole entry was added or removed, and "order" where
            entries changed places.
        before, after: values as a script writes them; `before` is None for an added entry, `after` for a removed one.
        origin: "file:line:column" in the new plan, for a removed entry in the old one.
        reloadable: whether SIGHUP applies the change; otherwise it needs a restart.
    """

    section: str
    name: str
    key: str
    before: str | None
    after: str | None
    origin: str
    reloadable: bool

    def __str__(self) -> str:
        subject = f"{self.section} {self.name}".strip() + (f": {self.key}" if self.key else "")
        if self.before is None:
            change = f"{subject} is new" + (f" ({self.after})" if self.after else "")
        elif self.after is None:
            change = f"{subject} is removed" + (f" (was {self.before})" if self.before else "")
        else:
            change = f"{subject} was {self.before}, is {self.after}"
        return f"{self.origin}: {change}; {'SIGHUP applies it' if self.reloadable else 'needs a restart'}"


def compare(old: Plan, new: Plan) -> list[Change]:
    """Returns the changes in the order of the new plan, then the removed entries, then changes of order.

    The list is empty where both plans mean the same: 2s and 2000ms are equal, and so are a default and the same value
    written out.
    """
    before, after = _entries_by_key(old), _entries_by_key(new)
    changes: list[Change] = []
    for key, entry in after.items():
        old_entry = before.get(key)
        if old_entry is None:
            changes.append(Change(key[0], key[1], "", None, _summarize(entry.value), entry.origin,
                                  bool(entry.value.reloadable)))
        else:
            changes += _field_changes(key, old_entry, entry)
    for key, entry in before.items():
        if key not in after:
            changes.append(Change(key[0], key[1], "", _summarize(entry.value), None, entry.origin,
                                  bool(entry.value.reloadable)))
    changes += _order_changes(old, new, before, after)
    return changes


def _entries_by_key(plan: Plan) -> dict[tuple[str, str, int], Entry]:
    """Entries by section, title and position among the entries with the same section and title."""
    found: dict[tuple[str, str, int], Entry] = {}
    counts: Counter[tuple[str, str]] = Counter()
    for entry in plan.entries:
        name = entry.value.section_name, entry.value.title() if entry.value.allows_multiple else ""
        found[*name, counts[name]] = entry
        counts[name] += 1
    return found


def _field_changes(key: tuple[str, str, int], old: Entry, new: Entry) -> list[Change]:
    changes = []
    for field in new.value.__struct_fields__:
        before, after = getattr(old.value, field), getattr(new.value, field)
        if before != after:
            is_reloadable = "*" in new.value.reloadable or field in new.value.reloadable
            changes.append(Change(key[0], key[1], field, format_field(old.value, field),
                                  format_field(new.value, field), new.origins.get(field, new.origin), is_reloadable))
    return changes


def _order_changes(old: Plan, new: Plan, before: dict[tuple[str, str, int], Entry],
                   after: dict[tuple[str, str, int], Entry]) -> list[Change]:
    """Changes of order in the sections where order matters.

    Methods and tenants are numbered by it, the first matching route is used, and the first ledger and listener are
    the ones that the instance uses. One change for each section names the first entry that moved.
    """
    changes = []
    for section_name in ("method", "tenant", "route", "ledger", "listener"):
        old_order = [key for key in before if key[0] == section_name and key in after]
        new_order = [key for key in after if key[0] == section_name and key in before]
        first = next((b for a, b in zip(old_order, new_order, strict=True) if a != b), None)
        if first is not None:
            entry = after[first]
            changes.append(Change(section_name, first[1], "order", "further down", "further up", entry.origin,
                                  bool(entry.value.reloadable)))
    return changes


def format_field(value: Section, field: str) -> str:
    """Returns the value of one key as a script writes it."""
    from .read import section_keys  # imported here: it imports the language, which `serve` does not need

    return _format_value(getattr(value, field), str(section_keys(type(value))[field].type_hint))


def _format_value(value: Any, hint: str) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(item, hint) for item in value) + "]"
    if value is None or isinstance(value, bool):
        return str(value)
    if isinstance(value, str):
        return f'"{value}"'
    for unit in ("time", "size", "rate", "share"):
        if f"'unit': '{unit}'" in hint:
            return format_amount(Quantity(_to_fraction(value), Dimension(unit)))
    return format_amount(_to_fraction(value))


def _to_fraction(value: int | float) -> Fraction:
    return Fraction(value) if isinstance(value, int) else Fraction(repr(value))


def _summarize(value: Section) -> str:
    return ", ".join(f"{field} = {format_field(value, field)}" for field in value.__struct_fields__
                     if field != "name" and getattr(value, field) is not None)


def to_script(plan: Plan) -> str:
    """Returns a script that means the same as the plan, with every expression, loop and load evaluated.

    Keys that have their default value are left out.
    """
    from ..language.format import format_source

    rows = []
    for entry in plan.entries:
        value = entry.value
        arguments = []
        for field, default in zip(value.__struct_fields__[::-1],
                                  [*value.__struct_defaults__[::-1]] + [msgspec.NODEFAULT] * 99, strict=False):
            default_value = default() if callable(default) else default
            if hasattr(default, "factory"):
                default_value = default.factory()
            if default_value is msgspec.NODEFAULT or getattr(value, field) != default_value:
                name = "" if field in value.positional else f"{field} = "
                arguments.append(name + format_field(value, field))
        rows.append(f"{value.section_name}({', '.join(arguments[::-1])})")
    return format_source("\n".join(rows) + "\n", "plan") if rows else ""
