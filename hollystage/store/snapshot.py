"""The snapshot file: the statistics that an instance learned, for use after a restart.

The state folder writes it atomically and checks its hash, format version and owner; this module checks its age.
"""
from __future__ import annotations

import msgspec

from ..decisions.recovery.recovery import LearnedState, age
from .folder import StateError, StateFolder

FORMAT_VERSION = 1


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a snapshot file.

    `written_ms`: Unix time in milliseconds; `instances`: how many were alive at that time; `generations`: numbers
    that never decrease, by name.
    """

    written_ms: int
    boot: int
    instances: int
    learned: LearnedState
    generations: dict[str, int] = {}


def write(folder: StateFolder, snapshot: Snapshot) -> int:
    """Replaces the stored snapshot and returns its size in bytes.

    Raises:
        StateError: it could not be written; the previous snapshot is unchanged.
    """
    body = msgspec.msgpack.encode(snapshot)
    folder.write("snapshot", FORMAT_VERSION, body)
    return len(body)


def read(folder: StateFolder, now_ms: int) -> tuple[Snapshot | None, float | None, str]:
    """The snapshot, its age in seconds, and a warning to be logged.

    The snapshot is None if there is none or it cannot be read. The age is None if there is no snapshot, or if its
    time is further in the future than clocks may differ. The warning is empty if there is nothing to report.
    """
    try:
        body = folder.read("snapshot", FORMAT_VERSION)
    except StateError as error:
        return None, None, f"{error}; starting without learned statistics"
    if body is None:
        return None, None, ""
    try:
        found = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        return None, None, f"state: the snapshot cannot be read: {error}; starting without learned statistics"
    age_s = age(found.written_ms, now_ms)
    if age_s is None:
        return found, None, "state: the snapshot was written later than the clock's time; its statistics are not used"
    return found, age_s, ""
