"""Validates a deployment's settings, which the platform sends as JSON, and translates them to `interface.Settings`.

The benchmark adapter and the service share this module, so that an instance takes the same decisions in both.
Unknown keys are ignored.
"""
from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .interface import Halt, LoadSignal, Method, MethodKind, Settings, Tenant

METHOD_KINDS = {"repeatable": MethodKind.IDEMPOTENT, "by_key": MethodKind.KEYED, "once": MethodKind.NON_IDEMPOTENT}
GAUGE_NAMES = {"cpu_busy": "cores", "runnable": "crowd", "mem_used": "memory", "sockets": "connections"}

# upper bound of all numbers: thirty years in microseconds; beyond it, sums and squares would overflow
MAX_NUMBER = 1e15
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]


class ConfigError(ValueError):
    """The settings or the configuration cannot be used; the message names the invalid key."""


class SettingsPart(msgspec.Struct, rename="pascal"):
    """Base of all objects of the settings; keys are the field names in Pascal case."""


class Profile(SettingsPart):
    """A method: whether it may run again, its value, latency target, deadline and the lifetime of its keys."""

    repeat: Literal["repeatable", "by_key", "once"]
    value: NonNegative
    promise_us: Positive
    give_up_us: Positive
    name: str = ""
    window_us: NonNegative = 0


class Domain(SettingsPart):
    """The machine of an instance and the dependency that its RPCs call."""

    cores: Annotated[float, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    ram_kb: Positive
    run_factor: Positive
    key_kb: NonNegative = 0
    class_skip_worth: list[NonNegative] = []
    cold: bool = False
    halt: Halt = Halt.NONE
    say: LoadSignal = LoadSignal.NONE
    calls_out: NonNegative = 0
    dep_window_us: Positive = 5_000_000
    depends_on: Literal["shared", "tier", "none"] = "shared"
    stays_for_us: NonNegative = 0
    gauges: list[str] = []
    idle_us: NonNegative = 0

    def __post_init__(self) -> None:
        # only a shared dependency announces a share of calls; a tier of servers limits its own load
        if self.depends_on != "shared" and self.calls_out:
            raise ValueError(f"CallsOut: only a shared dependency has a share of calls, but DependsOn is "
                             f"{self.depends_on!r}")


class Rules(SettingsPart):
    """The load at which throughput collapses, the grace period of a drain, and the warm-up."""

    fall_multiple: Positive
    stop_sending_within_us: NonNegative
    cold_from: NonNegative = 1
    warm_after_us: NonNegative = 0


class RetryAfterLimits(SettingsPart):
    """Whether rejections may advise when to retry, and the longest such advice."""

    retry_after: bool = False
    max_retry_after_us: NonNegative = 0


class TenantQuota(SettingsPart):
    """A tenant: its name in X-Tenant and its quota, RPCs a second over all instances."""

    name: str = ""
    quota_per_s: NonNegative = 0


class Deployment(SettingsPart):
    """The complete settings object."""

    domain: Domain
    rules: Rules
    profiles: Annotated[list[Profile], msgspec.Meta(min_length=1)]
    limits: RetryAfterLimits = msgspec.field(default_factory=RetryAfterLimits)
    tenants: list[TenantQuota] | None = None
    peers_total: Annotated[float, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 1
    over_share_worth: NonNegative = 1
    worth_by: Literal["request", "work"] = "request"


def read(text: bytes) -> Deployment:
    """Decodes and validates the settings.

    Raises:
        ConfigError: the text is not JSON, or a value has the wrong type or lies outside its bounds.

    >>> read(b'{"Domain": {"Cores": "six"}}')
    Traceback (most recent call last):
    hollystage.settings.ConfigError: settings cannot be read: Expected `float`, got `str` - at `$.Domain.Cores`
    """
    try:
        return msgspec.json.decode(text, type=Deployment)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"settings cannot be read: {error}") from error


def translate(raw: Deployment) -> Settings:
    """Settings of the decision module for a deployment; times become whole microseconds."""
    domain, rules, skip_shares = raw.domain, raw.rules, raw.domain.class_skip_worth
    methods = [
        Method(kind=METHOD_KINDS[profile.repeat], criticality=profile.value, latency_target=int(profile.promise_us),
               deadline=int(profile.give_up_us), window=int(profile.window_us),
               skip_share=skip_shares[i] if i < len(skip_shares) else 0.0)
        for i, profile in enumerate(raw.profiles)
    ]
    return Settings(
        methods=methods, cores=int(domain.cores), memory=domain.ram_kb, run_factor=domain.run_factor,
        key_size=domain.key_kb, tenants=[Tenant(tenant.quota_per_s) for tenant in raw.tenants or []],
        peers=int(raw.peers_total), over_quota_worth=raw.over_share_worth, cold=domain.cold,
        cold_from=rules.cold_from, warm_after=int(rules.warm_after_us), fall_multiple=rules.fall_multiple,
        drain_grace=int(rules.stop_sending_within_us), halt=domain.halt, load_signal=domain.say,
        calls_out=domain.calls_out, call_averaging_span=int(domain.dep_window_us), linger=int(domain.stays_for_us),
        gauges=[GAUGE_NAMES.get(name, name) for name in domain.gauges],
        max_retry_after=int(raw.limits.max_retry_after_us) if raw.limits.retry_after else 0,
        max_idle=int(domain.idle_us), criticality_per_work=raw.worth_by == "work",
        downstream_tier=domain.depends_on == "tier")
