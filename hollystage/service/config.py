"""The one place where configuration is read, checked and given defaults."""
from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..interface import Below, Pool, Pooling, Reserve
from ..plan import fleetwide, sections
from ..plan.model import Plan
from ..settings import Deployment, Faulty

Address = tuple[str, int]


def _is_host(text: str) -> bool:
    """
    >>> [_is_host(text) for text in ("127.0.0.1", "ledger.local", "", "a..b", "x" * 64)]
    [True, True, False, False, False]
    """
    try:
        return bool(text.encode("idna"))
    except UnicodeError:
        return False


class Limits(msgspec.Struct):
    """What the process itself may use."""

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=32)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=32)] = 1024


class Config(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    listen: str
    vm: str
    control: str
    ledger: str
    settings: Deployment
    seed: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,16}$")] = "0"
    stop_ms: Annotated[float, msgspec.Meta(gt=0)] = 3000
    limits: Limits = msgspec.field(default_factory=Limits)
    plan: Plan | None = None  # where one was named
    overruled: list[str] = []  # keys that plan and JSON both have: the JSON's count

    def address(self, key: str) -> Address:
        """
        >>> address = Config.address
        >>> class Given: listen, vm = "127.0.0.1:80", "somewhere"
        >>> address(Given, "listen")
        ('127.0.0.1', 80)
        >>> address(Given, "vm")
        Traceback (most recent call last):
        hollystage.settings.Faulty: vm: 'somewhere' is not an address like 127.0.0.1:6565
        """
        text = getattr(self, key)
        host, _, port = text.rpartition(":")
        if not _is_host(host) or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise Faulty(f"{key}: {text!r} is not an address like 127.0.0.1:6565")
        return host, int(port)


def parse(text: bytes, plan: Plan | None = None) -> Config:
    """The platform's JSON over what a plan says; the JSON's own keys win.

    Raises:
        Faulty: naming the key.
    """
    given = _decoded(text) if text else {}
    said = plan.configuration() if plan is not None else {}
    try:
        config = msgspec.convert(said | given, Config)
    except msgspec.ValidationError as bad:
        raise Faulty(f"configuration: {bad}") from bad
    for key in ("listen", "vm", "control", "ledger"):
        config.address(key)
    names = [profile.name for profile in config.settings.profiles]
    for at, name in enumerate(names):
        if not name or name in names[:at]:
            raise Faulty(f"settings.Profiles[{at}].Name: {name!r} is no name of its own")
    if plan is not None:
        config.plan, config.overruled = plan, sorted(key for key in said if key in given)
        for entry in plan.entries:
            named = [getattr(entry.value, "method", None), *getattr(entry.value, "methods", [])]
            for method in named:
                if method is not None and method not in names:
                    raise Faulty(f"plan: {entry.origin}: {entry.value.word} names the method {method!r}, "
                                 "which the settings lack")
    return config


def _decoded(text: bytes) -> dict[str, Any]:
    try:
        given = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as bad:
        raise Faulty(f"configuration is not JSON: {bad}") from bad
    if not isinstance(given, dict):
        raise Faulty("configuration: Expected `object`")
    return {key: value for key, value in given.items() if key not in ("plan", "overruled")}


def pooling(config: Config) -> tuple[Pooling | None, Below]:
    """What the plan says of pools, in the module's words; methods are numbered as the settings have them.

    A method in no pool goes to the last one. The limit is that of the ledger that the instance uses.
    """
    plan = config.plan
    if plan is None:
        return None, Below()
    limit = next(iter(plan.of(sections.Limit)), None)
    below = Below() if limit is None else Below(limit.policy, float(limit.least), float(limit.most))
    pools = plan.of(sections.Pool)
    if not pools:
        return None, below
    names = [pool.name for pool in pools]
    of = {method: names.index(pool.name) for pool in pools for method in pool.methods}
    for route in plan.of(sections.Route):
        # a route by tenant or object is for the fronts that tell them
        if route.pool is not None and route.method is not None and route.tenant is None and route.object is None:
            of.setdefault(route.method, names.index(route.pool))
    reserve = plan.one(sections.Reserve) or sections.Reserve()
    return Pooling(
        tuple(Pool(p.name, p.guaranteed, p.ceiling, p.lends, p.heir or "", p.retries, p.floor, p.limit or "")
              for p in pools),
        tuple(of.get(profile.name, len(pools) - 1) for profile in config.settings.profiles),
        Reserve(reserve.running, reserve.memory, reserve.calls)), below


class Peering(msgspec.Struct, frozen=True):
    """How this instance talks to the others; times in microseconds."""

    bind: str
    advertise: str
    peers: list[str]
    zone: str
    cluster: str
    key_file: str
    period: int


def peering(config: Config) -> Peering | None:
    """None where the plan does not switch it on: then nothing of the fleet's package is even imported."""
    given = config.plan.one(sections.Fleet) if config.plan is not None else None
    if given is None or given.bind is None or given.key is None:
        return None
    return Peering(given.bind, given.advertise or given.bind, given.peers, given.zone, given.cluster, given.key,
                   given.period)


class Budgeting(msgspec.Struct, frozen=True):
    """What is divided among the instances, and by whose leave; times in microseconds."""

    leases: fleetwide.Leases
    budgets: list[fleetwide.Budget]  # with all their defaults
    calls: str  # the one that bounds the calls below; empty for none


def budgeting(config: Config) -> Budgeting | None:
    """None where the plan has no budgets, or instances that do not talk: then nothing of them is imported."""
    plan = config.plan
    if plan is None or peering(config) is None:
        return None
    leases, budgets = plan.one(fleetwide.Leases), plan.of(fleetwide.Budget)
    if leases is None or not budgets:
        return None
    fleet = plan.one(sections.Fleet) or sections.Fleet()
    longest = int(max(profile.give_up_us for profile in config.settings.profiles)
                  + config.settings.domain.stays_for_us)
    return Budgeting(leases, [msgspec.structs.replace(
        given, most=given.most or fleet.instances, use=given.use or longest) for given in budgets],
        next((given.name for given in budgets if given.of == "calls"), ""))


def state(config: Config) -> sections.State | None:
    """Where what outlives the process is kept; None for nowhere, and then nothing of the store is imported."""
    return config.plan.one(sections.State) if config.plan is not None else None


def promises(config: Config) -> bool:
    given = config.plan.one(sections.Refusals) if config.plan is not None else None
    return given is not None and given.promises


def check_files(config: Config) -> None:
    """What a start would tell in its log and go on without.

    Raises:
        Faulty: the fleet's key cannot be used.
    """
    from ..plan.compiled import Damaged, read_key

    given = peering(config)
    if given is not None:
        try:
            read_key(given.key_file)
        except Damaged as bad:
            raise Faulty(f"fleet.key: {bad}") from bad


def load(path: str, plan_path: str = "", key_path: str = "") -> Config:
    """Reads the platform's JSON, a plan, or both.

    Raises:
        Faulty: with the key, or the plan's first fault with its file and line.
    """
    if not path and not plan_path:
        raise Faulty("PROXY_CONFIG: no configuration file is named")
    plan = load_plan(plan_path, key_path) if plan_path else None
    return parse(_content(path, "PROXY_CONFIG") if path else b"", plan)


def load_plan(path: str, key_path: str = "") -> Plan:
    """A script, or a compiled plan: for that the language is not even imported."""
    from ..plan.compiled import Damaged, is_compiled, read_key
    from ..plan.compiled import parse as parse_compiled

    try:
        data = _content(path, "plan", 64)
        if is_compiled(data):
            return parse_compiled(_content(path, "plan"), read_key(key_path) if key_path else None)
    except Damaged as bad:
        raise Faulty(f"plan: {path}: {bad}") from bad
    if key_path:
        raise Faulty(f"plan: {path}: a script has no keyed digest: build it, or name no key")
    from ..language.faults import Unusable
    from ..plan.read import load as load_script

    try:
        return load_script(path)
    except Unusable as bad:
        raise Faulty(f"plan: {bad}") from bad


def _content(path: str, key: str, most: int = -1) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(most)
    except OSError as bad:
        raise Faulty(f"{key}: {path} cannot be read: {bad.strerror}") from bad
