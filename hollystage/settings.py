"""The settings of a deployment, in the wire's words: checked, then translated to the interface's types.

Both the bench adapter and the service read it here, so that an instance decides alike in both. Unknown keys
are skipped.
"""
from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .interface import Halt, Kind, Method, Say, Settings, Tenant

KINDS = {"repeatable": Kind.IDEMPOTENT, "by_key": Kind.TOKENED, "once": Kind.NON_IDEMPOTENT}
GAUGES = {"cpu_busy": "cores", "runnable": "crowd", "mem_used": "memory", "sockets": "connections"}

MOST = 1e15  # of any figure: thirty years in microseconds; beyond it sums and squares would overflow
Amount = Annotated[float, msgspec.Meta(ge=0, le=MOST)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MOST)]


class Faulty(ValueError):
    """The settings or the configuration cannot be used; the message names the faulty key."""


class Part(msgspec.Struct, rename="pascal"):
    """One object of the settings."""


class Profile(Part):
    repeat: Literal["repeatable", "by_key", "once"]
    value: Amount
    promise_us: Positive
    give_up_us: Positive
    name: str = ""
    window_us: Amount = 0


class Domain(Part):
    cores: Annotated[float, msgspec.Meta(ge=1, le=MOST)]
    ram_kb: Positive
    run_factor: Positive
    key_kb: Amount = 0
    class_skip_worth: list[Amount] = []
    cold: bool = False
    halt: Halt = Halt.NONE
    say: Say = Say.NONE
    calls_out: Amount = 0
    dep_window_us: Positive = 5_000_000
    depends_on: Literal["shared", "tier", "none"] = "shared"
    stays_for_us: Amount = 0
    gauges: list[str] = []
    idle_us: Amount = 0

    def __post_init__(self) -> None:
        # one shape or the other: a share of calls belongs to a shared dependency, a tier below tells none
        if self.depends_on != "shared" and self.calls_out:
            raise ValueError(f"CallsOut: a share of calls belongs to a shared dependency, and DependsOn is "
                             f"{self.depends_on!r}")


class Rules(Part):
    fall_multiple: Positive
    stop_sending_within_us: Amount
    cold_from: Amount = 1
    warm_after_us: Amount = 0


class Bounds(Part):
    retry_after: bool = False
    max_retry_after_us: Amount = 0


class Quota(Part):
    quota_per_s: Amount = 0


class Deployment(Part):
    """The whole object."""

    domain: Domain
    rules: Rules
    profiles: Annotated[list[Profile], msgspec.Meta(min_length=1)]
    limits: Bounds = msgspec.field(default_factory=Bounds)
    tenants: list[Quota] | None = None
    peers_total: Annotated[float, msgspec.Meta(ge=1, le=MOST)] = 1
    over_share_worth: Amount = 1
    worth_by: Literal["request", "work"] = "request"


def read(text: bytes) -> Deployment:
    """
    >>> read(b'{"Domain": {"Cores": "six"}}')
    Traceback (most recent call last):
    hollystage.settings.Faulty: settings cannot be read: Expected `float`, got `str` - at `$.Domain.Cores`
    """
    try:
        return msgspec.json.decode(text, type=Deployment)
    except (msgspec.DecodeError, RecursionError) as bad:
        raise Faulty(f"settings cannot be read: {bad}") from bad


def translate(raw: Deployment) -> Settings:
    facts, rules, skips = raw.domain, raw.rules, raw.domain.class_skip_worth
    methods = [
        Method(kind=KINDS[p.repeat], criticality=p.value, latency_target=int(p.promise_us),
               deadline=int(p.give_up_us), window=int(p.window_us),
               skip_share=skips[i] if i < len(skips) else 0.0)
        for i, p in enumerate(raw.profiles)
    ]
    return Settings(
        methods=methods, cores=int(facts.cores), memory=facts.ram_kb, run_factor=facts.run_factor,
        key_size=facts.key_kb, tenants=[Tenant(t.quota_per_s) for t in raw.tenants or []],
        peers=int(raw.peers_total), over_share=raw.over_share_worth, cold=facts.cold,
        cold_from=rules.cold_from, warm_after=int(rules.warm_after_us), fall_multiple=rules.fall_multiple,
        drain_grace=int(rules.stop_sending_within_us), halt=facts.halt, say=facts.say,
        calls_out=facts.calls_out, calls_over=int(facts.dep_window_us), linger=int(facts.stays_for_us),
        gauges=[GAUGES.get(name, name) for name in facts.gauges],
        longest_advice=int(raw.limits.max_retry_after_us) if raw.limits.retry_after else 0,
        longest_idle=int(facts.idle_us), by_work=raw.worth_by == "work", tier_below=facts.depends_on == "tier")
