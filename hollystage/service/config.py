"""The one place where configuration is read, checked and given defaults."""
from __future__ import annotations

from typing import Annotated

import msgspec

from ..settings import Deployment, Faulty

Address = tuple[str, int]


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
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise Faulty(f"{key}: {text!r} is not an address like 127.0.0.1:6565")
        return host, int(port)


def parse(text: bytes) -> Config:
    try:
        config = msgspec.json.decode(text, type=Config)
    except msgspec.ValidationError as bad:
        raise Faulty(f"configuration: {bad}") from bad
    except msgspec.DecodeError as bad:
        raise Faulty(f"configuration is not JSON: {bad}") from bad
    for key in ("listen", "vm", "control", "ledger"):
        config.address(key)
    names = [profile.name for profile in config.settings.profiles]
    for at, name in enumerate(names):
        if not name or name in names[:at]:
            raise Faulty(f"settings.Profiles[{at}].Name: {name!r} is no name of its own")
    return config


def load(path: str) -> Config:
    if not path:
        raise Faulty("PROXY_CONFIG: no configuration file is named")
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as bad:
        raise Faulty(f"PROXY_CONFIG: {path} cannot be read: {bad.strerror}") from bad
