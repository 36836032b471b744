"""The platform's JSON settings of a deployment: validated, then translated to the types of `interface`.

The bench adapter and the service share this module, so that an instance takes the same decisions in both. Unknown
keys are ignored.
"""
from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .interface import Halt, Kind, Method, Say, Settings, Tenant

KINDS = {"repeatable": Kind.IDEMPOTENT, "by_key": Kind.TOKENED, "once": Kind.NON_IDEMPOTENT}
GAUGES = {"cpu_busy": "cores", "runnable": "crowd", "mem_used": "memory", "sockets": "connections"}

MOST = 1e15  # upper bound of any number: thirty years in microseconds; with more, sums and squares would overflow
Amount = Annotated[float, msgspec.Meta(ge=0, le=MOST)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MOST)]


class Faulty(ValueError):
    """The settings or the configuration cannot be used; the message names the invalid key."""


class Part(msgspec.Struct, rename="pascal"):
    """Base of all objects of the settings; keys are the field names in Pascal case."""


class Profile(Part):
    """A method: whether it may repeat, its value, latency target, deadline and key window."""

    repeat: Literal["repeatable", "by_key", "once"]
    value: Amount
    promise_us: Positive
    give_up_us: Positive
    name: str = ""
    window_us: Amount = 0


class Domain(Part):
    """The machine of an instance and the dependency that its RPCs call."""

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
        # a share of calls exists for a shared dependency only: a tier of servers does not announce one
        if self.depends_on != "shared" and self.calls_out:
            raise ValueError(f"CallsOut: only a shared dependency has a share of calls, but DependsOn is "
                             f"{self.depends_on!r}")


class Rules(Part):
    """Limits of the machine: where throughput collapses, the grace of a drain, and the warm-up."""

    fall_multiple: Positive
    stop_sending_within_us: Amount
    cold_from: Amount = 1
    warm_after_us: Amount = 0


class Bounds(Part):
    """Whether rejections may advise when to retry, and the longest such advice."""

    retry_after: bool = False
    max_retry_after_us: Amount = 0


class Quota(Part):
    """Quota of one tenant, RPCs a second over all instances."""

    quota_per_s: Amount = 0


class Deployment(Part):
    """The complete settings object."""

    domain: Domain
    rules: Rules
    profiles: Annotated[list[Profile], msgspec.Meta(min_length=1)]
    limits: Bounds = msgspec.field(default_factory=Bounds)
    tenants: list[Quota] | None = None
    peers_total: Annotated[float, msgspec.Meta(ge=1, le=MOST)] = 1
    over_share_worth: Amount = 1
    worth_by: Literal["request", "work"] = "request"


def read(text: bytes) -> Deployment:
    """Decodes and validates the settings.

    Raises:
        ConfigError: the text is not JSON, or a value has the wrong type or lies outside its bounds.

    >>> read(b'{"Domain": {"Cores": "six"}}')
    Traceback (most recent call last):
    hollystage.settings.Faulty: settings cannot be read: Expected `float`, got `str` - at `$.Domain.Cores`
    """
    try:
        return msgspec.json.decode(text, type=Deployment)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Faulty(f"settings cannot be read: {error}") from error


def translate(raw: Deployment) -> Settings:
    """Settings of the decision module for a deployment; times become whole microseconds."""
    domain, rules, skip_shares = raw.domain, raw.rules, raw.domain.class_skip_worth
    methods = [
        Method(kind=KINDS[profile.repeat], criticality=profile.value, latency_target=int(profile.promise_us),
               deadline=int(profile.give_up_us), window=int(profile.window_us),
               skip_share=skip_shares[i] if i < len(skip_shares) else 0.0)
        for i, profile in enumerate(raw.profiles)
    ]
    return Settings(
        methods=methods, cores=int(domain.cores), memory=domain.ram_kb, run_factor=domain.run_factor,
        key_size=domain.key_kb, tenants=[Tenant(tenant.quota_per_s) for tenant in raw.tenants or []],
        peers=int(raw.peers_total), over_share=raw.over_share_worth, cold=domain.cold,
        cold_from=rules.cold_from, warm_after=int(rules.warm_after_us), fall_multiple=rules.fall_multiple,
        drain_grace=int(rules.stop_sending_within_us), halt=domain.halt, say=domain.say,
        calls_out=domain.calls_out, calls_over=int(domain.dep_window_us), linger=int(domain.stays_for_us),
        gauges=[GAUGES.get(name, name) for name in domain.gauges],
        longest_advice=int(raw.limits.max_retry_after_us) if raw.limits.retry_after else 0,
        longest_idle=int(domain.idle_us), by_work=raw.worth_by == "work", tier_below=domain.depends_on == "tier")
