"""Reads and checks the configuration and supplies its defaults."""
from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..interface import CallLimitConfig, Pool, PoolConfig, Reserve
from ..plan import fleetwide, sections
from ..plan.model import Plan
from ..settings import ConfigError, Deployment

Address = tuple[str, int]


def _is_host(text: str) -> bool:
    """Returns whether the text is a valid host name or IPv4 address.

    >>> [_is_host(text) for text in ("127.0.0.1", "ledger.local", "", "a..b", "x" * 64)]
    [True, True, False, False, False]
    """
    try:
        return bool(text.encode("idna"))
    except UnicodeError:
        return False


class ProcessLimits(msgspec.Struct):
    """Resource limits of this process."""

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=32)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=32)] = 1024


class Config(msgspec.Struct):
    """The configuration of an instance: the platform's JSON, over the values of a plan if there is one."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    listen: str
    vm: str
    control: str
    settings: Deployment
    ledger: str = ""  # required unless the settings state that there is no dependency
    seed: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,16}$")] = "0"
    stop_ms: Annotated[float, msgspec.Meta(gt=0)] = 3000
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)
    plan: Plan | None = None  # set by parse(), never read from the JSON
    overruled: list[str] = []  # keys that both plan and JSON set; those of the JSON apply

    def address(self, key: str) -> Address:
        """Returns the host and port of an address key.

        >>> address = Config.address
        >>> class Given: listen, vm = "127.0.0.1:80", "somewhere"
        >>> address(Given, "listen")
        ('127.0.0.1', 80)
        >>> address(Given, "vm")
        Traceback (most recent call last):
        hollystage.settings.ConfigError: vm: 'somewhere' is not an address like 127.0.0.1:6565
        """
        text = getattr(self, key)
        host, _, port = text.rpartition(":")
        if not _is_host(host) or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise ConfigError(f"{key}: {text!r} is not an address like 127.0.0.1:6565")
        return host, int(port)

    def ledger_address(self) -> Address | None:
        """Returns the address of the ledger; None if the deployment has none."""
        if not self.ledger and self.settings.domain.depends_on == "none":
            return None
        return self.address("ledger")


def parse(text: bytes, plan: Plan | None = None) -> Config:
    """Combines the platform's JSON with the values of a plan; keys of the JSON take precedence.

    Raises:
        ConfigError: the message names the key.
    """
    from_json = _decode(text) if text else {}
    from_plan = plan.configuration() if plan is not None else {}
    try:
        config = msgspec.convert(from_plan | from_json, Config)
    except msgspec.ValidationError as error:
        raise ConfigError(f"configuration: {error}") from error
    for key in ("listen", "vm", "control"):
        config.address(key)
    config.ledger_address()
    names = [profile.name for profile in config.settings.profiles]
    for index, name in enumerate(names):
        if not name or name in names[:index]:
            raise ConfigError(f"settings.Profiles[{index}].Name: {name!r} is empty or not unique")
    tenant_names = [tenant.name.strip(" \t") for tenant in config.settings.tenants or []]
    for index, name in enumerate(tenant_names):
        if name and name in tenant_names[:index]:
            raise ConfigError(f"settings.Tenants[{index}].Name: {name!r} is not unique")
    if plan is not None:
        config.plan, config.overruled = plan, sorted(key for key in from_plan if key in from_json)
        for entry in plan.entries:
            methods = [getattr(entry.value, "method", None), *getattr(entry.value, "methods", [])]
            for method in methods:
                if method is not None and method not in names:
                    raise ConfigError(f"plan: {entry.origin}: {entry.value.section_name} names the method "
                                      f"{method!r}, which the settings lack")
    return config


def _decode(text: bytes) -> dict[str, Any]:
    """Decodes the JSON object, without the keys that only parse() sets."""
    try:
        decoded = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"configuration is not JSON: {error}") from error
    if not isinstance(decoded, dict):
        raise ConfigError("configuration: Expected `object`")
    return {key: value for key, value in decoded.items() if key not in ("plan", "overruled")}


def pool_config(config: Config) -> tuple[PoolConfig | None, CallLimitConfig]:
    """Converts the pools and the call limit of the plan to the types of the decision module.

    Methods are numbered in the order of the settings. A method that no pool names belongs to the last pool. The call
    limit is that of the ledger that the instance uses.
    """
    plan = config.plan
    if plan is None:
        return None, CallLimitConfig()
    limit = next(iter(plan.all_of(sections.Limit)), None)
    call_limit = CallLimitConfig() if limit is None else CallLimitConfig(
        limit.policy, float(limit.least), float(limit.most))
    pools = plan.all_of(sections.Pool)
    if not pools:
        return None, call_limit
    names = [pool.name for pool in pools]
    pool_of_method = {method: names.index(pool.name) for pool in pools for method in pool.methods}
    for route in plan.all_of(sections.Route):
        # routes by tenant or object apply only in front ends that know them
        if route.pool is not None and route.method is not None and route.tenant is None and route.object is None:
            pool_of_method.setdefault(route.method, names.index(route.pool))
    reserve = plan.first_of(sections.Reserve) or sections.Reserve()
    return PoolConfig(
        tuple(Pool(p.name, p.guaranteed, p.ceiling, p.lends, p.heir or "", p.retries, p.floor, p.limit or "")
              for p in pools),
        tuple(pool_of_method.get(profile.name, len(pools) - 1) for profile in config.settings.profiles),
        Reserve(reserve.running, reserve.memory, reserve.calls)), call_limit


class FleetConfig(msgspec.Struct, frozen=True):
    """Settings of the communication between instances; times in microseconds."""

    bind: str
    advertise: str
    peers: list[str]
    zone: str
    cluster: str
    key_file: str
    probe_period: int


def fleet_config(config: Config) -> FleetConfig | None:
    """Returns None unless the plan enables communication; the package for the fleet is not even imported then."""
    fleet = config.plan.first_of(sections.Fleet) if config.plan is not None else None
    if fleet is None or fleet.bind is None or fleet.key is None:
        return None
    return FleetConfig(fleet.bind, fleet.advertise or fleet.bind, fleet.peers, fleet.zone, fleet.cluster, fleet.key,
                       fleet.period)


class BudgetConfig(msgspec.Struct, frozen=True):
    """The budgets of the fleet and the leases that their allocation needs; times in microseconds."""

    leases: fleetwide.Leases
    budgets: list[fleetwide.Budget]  # with defaults filled in
    call_budget: str  # name of the budget that bounds the downstream calls; empty for none


def budget_config(config: Config) -> BudgetConfig | None:
    """Returns None if the plan has no budgets or its instances do not communicate; nothing is imported then."""
    plan = config.plan
    if plan is None or fleet_config(config) is None:
        return None
    leases, budgets = plan.first_of(fleetwide.Leases), plan.all_of(fleetwide.Budget)
    if leases is None or not budgets:
        return None
    fleet = plan.first_of(sections.Fleet) or sections.Fleet()
    max_use = int(max(profile.give_up_us for profile in config.settings.profiles)
                  + config.settings.domain.stays_for_us)
    return BudgetConfig(leases, [msgspec.structs.replace(
        budget, most=budget.most or fleet.instances, use=budget.use or max_use) for budget in budgets],
        next((budget.name for budget in budgets if budget.of == "calls"), ""))


def state_config(config: Config) -> sections.State | None:
    """Returns the settings of the stored state; None if none is stored, and then the store is not imported."""
    return config.plan.first_of(sections.State) if config.plan is not None else None


def promises_enabled(config: Config) -> bool:
    """Returns whether the retry times given to callers reserve slots."""
    refusals = config.plan.first_of(sections.Refusals) if config.plan is not None else None
    return refusals is not None and refusals.promises


def check_files(config: Config) -> None:
    """Checks the files that a start would only log as faulty and then serve without.

    Raises:
        ConfigError: the fleet's key cannot be used.
    """
    from ..plan.compiled import UnusableFileError, read_key

    fleet = fleet_config(config)
    if fleet is not None:
        try:
            read_key(fleet.key_file)
        except UnusableFileError as error:
            raise ConfigError(f"fleet.key: {error}") from error


def load(path: str, plan_path: str = "", key_path: str = "") -> Config:
    """Reads the platform's JSON, a plan, or both.

    Raises:
        ConfigError: the message names the key, or the first fault of the plan with its file and line.
    """
    if not path and not plan_path:
        raise ConfigError("PROXY_CONFIG: no configuration file is given")
    plan = load_plan(plan_path, key_path) if plan_path else None
    return parse(_read_file(path, "PROXY_CONFIG") if path else b"", plan)


def load_plan(path: str, key_path: str = "") -> Plan:
    """Reads a plan: a script or a compiled plan, for which the script language is not even imported.

    Raises:
        ConfigError: the plan cannot be used.
    """
    from ..plan.compiled import UnusableFileError, is_compiled, read_key
    from ..plan.compiled import parse as parse_compiled

    try:
        data = _read_file(path, "plan", 64)
        if is_compiled(data):
            return parse_compiled(_read_file(path, "plan"), read_key(key_path) if key_path else None)
    except UnusableFileError as error:
        raise ConfigError(f"plan: {path}: {error}") from error
    if key_path:
        raise ConfigError(f"plan: {path}: a script has no keyed digest: build the plan, or omit the key")
    from ..language.diagnostics import ScriptError
    from ..plan.read import load as load_script

    try:
        return load_script(path)
    except ScriptError as error:
        raise ConfigError(f"plan: {error}") from error


def _read_file(path: str, key: str, max_size: int = -1) -> bytes:
    """Reads up to `max_size` bytes of a file, -1 for all; `key` names the setting in the error."""
    try:
        with open(path, "rb") as file:
            return file.read(max_size)
    except OSError as error:
        raise ConfigError(f"{key}: {path} cannot be read: {error.strerror}") from error
