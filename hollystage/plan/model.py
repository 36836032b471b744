"""A plan: its entries by section, each with the place it came from; and its form in the platform's words."""
from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from ..settings import GAUGES, KINDS
from . import sections
from .sections import SECTIONS, Section

S = TypeVar("S", bound=Section)
KIND_WORDS = {kind.value: word for word, kind in KINDS.items()}
GAUGE_WORDS = {ours: theirs for theirs, ours in GAUGES.items()}


class Entry(msgspec.Struct, frozen=True):
    """One entry; `origin` is "file:line:column", `origins` that of each key that was written."""

    value: Section
    origin: str
    origins: dict[str, str] = {}


class Plan(msgspec.Struct):
    """Entries in the order in which they were written."""

    entries: list[Entry] = []
    files: list[str] = []  # that it was made of, the root first

    def of(self, kind: type[S]) -> list[S]:
        return [entry.value for entry in self.entries if isinstance(entry.value, kind)]

    def one(self, kind: type[S]) -> S | None:
        found = self.of(kind)
        return found[0] if found else None

    def idle(self) -> list[str]:
        """The sections that stand in the plan and that this version does not go by."""
        return sorted({entry.value.word for entry in self.entries if not entry.value.acts})

    def configuration(self) -> dict[str, Any]:
        """What the plan says of the keys of the platform's JSON; only those that it says."""
        return {key: value for key, value in self._keys() if value is not None}

    def _keys(self) -> Iterator[tuple[str, Any]]:
        instance = self.one(sections.Instance)
        if instance is not None:
            yield "name", instance.name
            yield "seed", instance.seed
            yield "stop_ms", instance.stop / 1000
        listener, interpreter = self.one(sections.Listener), self.one(sections.Interpreter)
        control, ledger = self.one(sections.ControlPlane), self.one(sections.Ledger)
        yield "listen", listener and listener.address
        yield "vm", interpreter and interpreter.address
        yield "control", control and control.address
        yield "ledger", ledger and ledger.address
        process = self.one(sections.Process)
        if process is not None:
            yield "limits", {"cores": process.cores, "memory_mb": process.memory / (1 << 20),
                             "sockets": process.sockets}
        yield "settings", self.settings()

    def settings(self) -> dict[str, Any] | None:
        """The deployment as the platform's JSON has it; None where the plan says nothing of the machine."""
        machine, rules, methods = self.one(sections.Machine), self.one(sections.Rules), self.of(sections.Method)
        if machine is None or rules is None or not methods:
            return None
        refusals = self.one(sections.Refusals) or sections.Refusals()
        fleet = self.one(sections.Fleet) or sections.Fleet()
        tenants = self.of(sections.Tenant)
        return {
            "Domain": {
                "Cores": machine.cores, "RamKb": machine.memory / 1024, "RunFactor": machine.run_factor,
                "KeyKb": machine.key / 1024, "ClassSkipWorth": [m.skip_share for m in methods],
                "Cold": machine.cold, "Halt": machine.halt, "Say": machine.say, "CallsOut": machine.calls_out,
                "DependsOn": machine.below,
                "StaysForUs": machine.linger, "Gauges": [GAUGE_WORDS[gauge] for gauge in machine.gauges],
                "IdleUs": machine.idle},
            "Rules": {
                "FallMultiple": rules.fall_multiple, "StopSendingWithinUs": rules.drain_grace,
                "ColdFrom": rules.cold_from, "WarmAfterUs": rules.warm_after},
            "Limits": {"RetryAfter": refusals.retry_after, "MaxRetryAfterUs": refusals.longest},
            "Profiles": [
                {"Name": m.name, "Repeat": KIND_WORDS[m.kind], "Value": m.criticality, "PromiseUs": m.target,
                 "GiveUpUs": m.deadline, "WindowUs": m.window} for m in methods],
            "Tenants": [{"QuotaPerS": tenant.quota or 0} for tenant in tenants] or None,
            "PeersTotal": fleet.instances, "OverShareWorth": fleet.over_share,
            "WorthBy": fleet.worth_by}


def packed(plan: Plan) -> list[Any]:
    """The plan in plain lists and dicts; sections by their words."""
    return [[entry.value.word, msgspec.to_builtins(entry.value), entry.origin, entry.origins]
            for entry in plan.entries]


def unpacked(rows: Any, files: list[str]) -> Plan:
    """
    Raises:
        ValueError: a section or a key is not known here, or out of its bounds.
    """
    entries = []
    for word, fields, origin, origins in rows:
        if word not in SECTIONS:
            raise ValueError(f"the section {word!r} is not known to this version")
        entries.append(Entry(msgspec.convert(fields, SECTIONS[word]), origin, origins))
    return Plan(entries, files)
