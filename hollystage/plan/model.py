"""A plan: its entries with their origins, its translation to the platform's JSON, and its form as plain data."""
from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from ..settings import GAUGE_NAMES, METHOD_KINDS
from . import sections
from .sections import SECTIONS, Section

S = TypeVar("S", bound=Section)
PLATFORM_METHOD_KINDS = {kind.value: platform_name for platform_name, kind in METHOD_KINDS.items()}
PLATFORM_GAUGE_NAMES = {plan_name: platform_name for platform_name, plan_name in GAUGE_NAMES.items()}


class Entry(msgspec.Struct, frozen=True):
    """One entry: its section with values, and where it was written.

    `origin` is "file:line:column"; `origins` is that of each key that the script sets.
    """

    value: Section
    origin: str
    origins: dict[str, str] = {}


class Plan(msgspec.Struct):
    """The configuration of an instance: entries in the order in which they were written."""

    entries: list[Entry] = []
    files: list[str] = []  # the script and the files that it loads, the script first

    def all_of(self, kind: type[S]) -> list[S]:
        """All entries of a section, in the order of the plan."""
        return [entry.value for entry in self.entries if isinstance(entry.value, kind)]

    def first_of(self, kind: type[S]) -> S | None:
        """The first entry of a section, or None."""
        found = self.all_of(kind)
        return found[0] if found else None

    def sections_without_effect(self) -> list[str]:
        """The names of sections in the plan that this version checks but does not use."""
        return sorted({entry.value.section_name for entry in self.entries if not entry.value.has_effect})

    def configuration(self) -> dict[str, Any]:
        """The plan in the keys of the platform's JSON, without keys that the plan does not set."""
        return {key: value for key, value in self._config_items() if value is not None}

    def _config_items(self) -> Iterator[tuple[str, Any]]:
        instance = self.first_of(sections.Instance)
        if instance is not None:
            yield "name", instance.name
            yield "seed", instance.seed
            yield "stop_ms", instance.stop / 1000
        listener, interpreter = self.first_of(sections.Listener), self.first_of(sections.Interpreter)
        control, ledger = self.first_of(sections.ControlPlane), self.first_of(sections.Ledger)
        yield "listen", listener and listener.address
        yield "vm", interpreter and interpreter.address
        yield "control", control and control.address
        yield "ledger", ledger and ledger.address
        process = self.first_of(sections.Process)
        if process is not None:
            yield "limits", {"cores": process.cores, "memory_mb": process.memory / (1 << 20),
                             "sockets": process.sockets}
        yield "settings", self.settings()

    def settings(self) -> dict[str, Any] | None:
        """The value of `settings` in the platform's JSON, or None if the plan does not describe the machine.

        `Deployment` (hollystage.settings) is its schema.
        """
        machine, rules, methods = (self.first_of(sections.Machine), self.first_of(sections.Rules),
                                   self.all_of(sections.Method))
        if machine is None or rules is None or not methods:
            return None
        refusals = self.first_of(sections.Refusals) or sections.Refusals()
        fleet = self.first_of(sections.Fleet) or sections.Fleet()
        tenants = self.all_of(sections.Tenant)
        return {
            "Domain": {
                "Cores": machine.cores, "RamKb": machine.memory / 1024, "RunFactor": machine.run_factor,
                "KeyKb": machine.key / 1024, "ClassSkipWorth": [m.skip_share for m in methods],
                "Cold": machine.cold, "Halt": machine.halt, "Say": machine.say, "CallsOut": machine.calls_out,
                "DependsOn": machine.below,
                "StaysForUs": machine.linger, "Gauges": [PLATFORM_GAUGE_NAMES[gauge] for gauge in machine.gauges],
                "IdleUs": machine.idle},
            "Rules": {
                "FallMultiple": rules.fall_multiple, "StopSendingWithinUs": rules.drain_grace,
                "ColdFrom": rules.cold_from, "WarmAfterUs": rules.warm_after},
            "Limits": {"RetryAfter": refusals.retry_after, "MaxRetryAfterUs": refusals.longest},
            "Profiles": [
                {"Name": m.name, "Repeat": PLATFORM_METHOD_KINDS[m.kind], "Value": m.criticality,
                 "PromiseUs": m.target, "GiveUpUs": m.deadline, "WindowUs": m.window} for m in methods],
            "Tenants": [{"Name": tenant.name, "QuotaPerS": tenant.quota or 0} for tenant in tenants] or None,
            "PeersTotal": fleet.instances, "OverShareWorth": fleet.over_share,
            "WorthBy": fleet.worth_by}


def to_rows(plan: Plan) -> list[Any]:
    """The plan as plain lists and dicts: (section name, values, origin, origins of the keys) for each entry."""
    return [[entry.value.section_name, msgspec.to_builtins(entry.value), entry.origin, entry.origins]
            for entry in plan.entries]


def from_rows(rows: Any, files: list[str]) -> Plan:
    """The plan from the rows of `to_rows`.

    Raises:
        ValueError: a section or a key is not known to this version, or a value is out of its bounds.
    """
    entries = []
    for section_name, fields, origin, origins in rows:
        if section_name not in SECTIONS:
            raise ValueError(f"the section {section_name!r} is not known to this version")
        entries.append(Entry(msgspec.convert(fields, SECTIONS[section_name]), origin, origins))
    return Plan(entries, files)
