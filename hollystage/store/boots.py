"""Boot numbers: each start of an instance gets a greater number than the one before, even if the clock was set back.

A number is stored before it is used. Without a store it comes from the clock alone; if peers remember a greater
number under the same name, the process raises its own (`decisions/membership`).
"""
from __future__ import annotations

from typing import Any

from .folder import StateError, StateFolder

FORMAT_VERSION = 1


def next_boot(folder: StateFolder | None, clock_ms: int, log: Any) -> int:
    """The greater of the clock and the stored number plus one. It is stored if there is a folder.

    A failing store is only logged and does not prevent the start.
    """
    boot = max(1, clock_ms)
    if folder is None:
        return boot
    try:
        stored = folder.read("boot", FORMAT_VERSION)
        if stored is not None and stored.isdigit() and len(stored) <= 18:
            boot = max(boot, int(stored) + 1)
    except StateError as error:
        log.warning("stored boot number ignored", why=str(error))
    write_boot(folder, boot, log)
    return boot


def write_boot(folder: StateFolder, boot: int, log: Any) -> None:
    """Stores the boot number; a failure is only logged."""
    try:
        folder.write("boot", FORMAT_VERSION, str(boot).encode())
    except StateError as error:
        log.warning("boot number not stored", why=str(error))
