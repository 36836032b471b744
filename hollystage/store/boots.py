"""Boot numbers: each start of an instance has a greater one, whatever its clock says.

Written before it is used. Where nothing can be kept the clock alone speaks, and peers who remember a greater one
make the process raise its own (`decisions/membership`).
"""
from __future__ import annotations

from typing import Any

from .folder import Folder, Unusable

FORM = 1


def next_boot(folder: Folder | None, clock_ms: int, log: Any) -> int:
    """The greatest of the clock and what is stored plus one."""
    boot = max(1, clock_ms)
    if folder is None:
        return boot
    try:
        stored = folder.read("boot", FORM)
        if stored is not None and stored.isdigit() and len(stored) <= 18:
            boot = max(boot, int(stored) + 1)
    except Unusable as bad:
        log.warning("the stored boot number is not believed", why=str(bad))
    keep(folder, boot, log)
    return boot


def keep(folder: Folder, boot: int, log: Any) -> None:
    try:
        folder.write("boot", FORM, str(boot).encode())
    except Unusable as bad:
        log.warning("the boot number is not kept", why=str(bad))
