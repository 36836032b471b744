"""What a folder keeps, without a disk: for programs that embed an instance and keep its state themselves, and for
tests. It keeps the folder's contract, which `tests/test_contracts.py` runs for both."""
from __future__ import annotations

from .folder import LARGEST, Unusable


class Memory:
    """Ends with its process, or lives as long as whoever embeds the instance holds it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.kept: dict[str, tuple[int, bytes]] = {}

    def write(self, kind: str, form: int, body: bytes) -> None:
        """
        Raises:
            Unusable: it is larger than any state.
        """
        if len(body) > LARGEST:
            raise Unusable(f"state: {kind} is larger than {LARGEST} bytes")
        self.kept[kind] = form, bytes(body)

    def read(self, kind: str, form: int) -> bytes | None:
        """
        Raises:
            Unusable: of a newer version.
        """
        found = self.kept.get(kind)
        if found is None:
            return None
        if found[0] > form:
            raise Unusable(f"state: {kind} is of form {found[0]}, this version reads up to {form}")
        return found[1]

    def close(self) -> None:
        pass
