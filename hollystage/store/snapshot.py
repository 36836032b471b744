"""What an instance learned, as a file: whole or not there, checked, and told apart by owner, form and age."""
from __future__ import annotations

import msgspec

from ..decisions.comeback.recovery import Learned, age
from .folder import Folder, Unusable

FORM = 1


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """`written_ms`: Unix time; `instances`: that lived then; `generations`: numbers that never fall, by name."""

    written_ms: int
    boot: int
    instances: int
    learned: Learned
    generations: dict[str, int] = {}


def write(folder: Folder, snapshot: Snapshot) -> int:
    """Returns the size in bytes.

    Raises:
        Unusable: it could not be written; the one before is as it was.
    """
    body = msgspec.msgpack.encode(snapshot)
    folder.write("snapshot", FORM, body)
    return len(body)


def read(folder: Folder, now_ms: int) -> tuple[Snapshot | None, float | None, str]:
    """The snapshot, its age in seconds (None where the clock cannot tell), and what is to be told of it."""
    try:
        body = folder.read("snapshot", FORM)
    except Unusable as bad:
        return None, None, f"{bad}; begins as if nothing had been learned"
    if body is None:
        return None, None, ""
    try:
        found = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as bad:
        return None, None, f"state: the snapshot cannot be read: {bad}; begins as if nothing had been learned"
    old = age(found.written_ms, now_ms)
    if old is None:
        return found, None, "state: the snapshot is from a later time than the clock's: what it learned is not used"
    return found, old, ""
