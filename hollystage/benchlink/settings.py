"""Translates the wire's settings, in its words, to the interface's; unknown keys are skipped."""
from __future__ import annotations

import json
from typing import Any

from ..interface import Halt, Kind, Method, Say, Settings, Tenant
from .frames import Malformed

KINDS = {"repeatable": Kind.IDEMPOTENT, "by_key": Kind.TOKENED, "once": Kind.NON_IDEMPOTENT}
GAUGES = {"cpu_busy": "cores", "runnable": "crowd", "mem_used": "memory", "sockets": "connections"}


def translate(text: bytes) -> Settings:
    try:
        return _settings(json.loads(text))
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as bad:
        raise Malformed(f"settings cannot be read: {type(bad).__name__}: {bad}") from bad


def _at(values: list[Any], place: int, default: Any) -> Any:
    return values[place] if place < len(values) else default


def _settings(raw: dict[str, Any]) -> Settings:
    facts, rules, limits = raw["Domain"], raw["Rules"], raw.get("Limits", {})
    skips = facts.get("ClassSkipWorth", [])
    methods = [
        Method(kind=KINDS[p["Repeat"]], criticality=float(p["Value"]), latency_target=int(p["PromiseUs"]),
               deadline=int(p["GiveUpUs"]), window=int(p.get("WindowUs", 0)),
               skip_share=float(_at(skips, i, 0.0)))
        for i, p in enumerate(raw["Profiles"])
    ]
    return Settings(
        methods=methods, cores=int(facts["Cores"]), memory=float(facts["RamKb"]),
        run_factor=float(facts["RunFactor"]), key_size=float(facts.get("KeyKb", 0)),
        tenants=[Tenant(float(t.get("QuotaPerS", 0))) for t in raw.get("Tenants") or []],
        peers=int(raw.get("PeersTotal", 1)),
        over_share=float(raw.get("OverShareWorth", 1)), cold=bool(facts.get("Cold", False)),
        cold_from=float(rules.get("ColdFrom", 1)), warm_after=int(rules.get("WarmAfterUs", 0)),
        fall_multiple=float(rules["FallMultiple"]), drain_grace=int(rules["StopSendingWithinUs"]),
        halt=Halt(facts.get("Halt", "none")), say=Say(facts.get("Say", "none")),
        calls_out=float(facts.get("CallsOut", 0)), linger=int(facts.get("StaysForUs", 0)),
        gauges=[GAUGES.get(name, name) for name in facts.get("Gauges", [])],
        longest_advice=int(limits.get("MaxRetryAfterUs", 0)) if limits.get("RetryAfter") else 0,
        longest_idle=int(facts.get("IdleUs", 0)))
