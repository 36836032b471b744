"""A store without a disk, for tests and for programs that embed an instance and save its state themselves.

It fulfils the same contract as `StateFolder`; `tests/test_contracts.py` checks both.
"""
from __future__ import annotations

from .folder import MAX_FILE_BYTES, StateError


class MemoryStore:
    """State of the instance `name` in memory, by kind. It is lost when the embedding program drops this object."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.entries: dict[str, tuple[int, bytes]] = {}

    def write(self, kind: str, version: int, body: bytes) -> None:
        """Replaces the body of this kind; `version` is that of its format.

        Raises:
            StateError: the body is larger than a state file may be.
        """
        if len(body) > MAX_FILE_BYTES:
            raise StateError(f"state: {kind} is larger than {MAX_FILE_BYTES} bytes")
        self.entries[kind] = version, bytes(body)

    def read(self, kind: str, version: int) -> bytes | None:
        """The body of this kind, None if there is none. `version` is the newest readable format.

        Raises:
            StateError: the body is of a newer format.
        """
        found = self.entries.get(kind)
        if found is None:
            return None
        if found[0] > version:
            raise StateError(f"state: {kind} is of format {found[0]}, this version reads up to {version}")
        return found[1]

    def close(self) -> None:
        """Does nothing: there is no lock to release."""
        pass
