"""Compiled plans: files that `config build` writes and `serve` reads without importing the language.

A file is a header line and a msgpack body. The header holds the format version, the kind of digest and the digest of
the body. A plain BLAKE3 digest detects damage; a keyed one also proves that a holder of the key built the file.
"""
from __future__ import annotations

import hmac
import os
import stat

import msgspec

from .model import Plan, from_rows, to_rows

FORMAT_VERSION, MAGIC = 2, b"hollystage-plan"
MAX_PLAN_BYTES = 64 << 20
MIN_KEY_BYTES = 32


class UnusableFileError(ValueError):
    """A compiled plan or a key file cannot be used; the message says why."""


class Body(msgspec.Struct):
    """The body of a compiled plan, encoded by field names; `rows` are those of `to_rows`."""

    built_by: str
    files: list[str]
    rows: list[tuple[str, dict[str, object], str, dict[str, str]]]


def read_key(path: str) -> bytes:
    """Reads a key file and derives a 32-byte key from its content.

    Raises:
        UnusableFileError: it cannot be read, is shorter than 32 bytes, or others than its owner can read it.
    """
    try:
        if stat.S_IMODE(os.stat(path).st_mode) & 0o077:
            raise UnusableFileError(f"{path} is accessible to users other than its owner: set its mode to 600")
        with open(path, "rb") as file:
            data = file.read(4096)
    except OSError as error:
        raise UnusableFileError(f"{path} cannot be read: {error.strerror}") from error
    if len(data) < MIN_KEY_BYTES:
        raise UnusableFileError(f"{path} is shorter than {MIN_KEY_BYTES} bytes")
    return digest(data, None)


def digest(data: bytes, key: bytes | None) -> bytes:
    """The BLAKE3 digest of `data`, keyed with `key` unless that is None."""
    from blake3 import blake3  # imported only where a plan or a key is read or built

    return blake3(data, key=key).digest() if key is not None else blake3(data).digest()


def dump(plan: Plan, version: str, key: bytes | None = None) -> bytes:
    """Encodes a plan, with a keyed digest if there is a key. `version` is that of the program which builds it."""
    body = msgspec.msgpack.encode(Body(version, plan.files, to_rows(plan)))
    kind = b"keyed" if key is not None else b"plain"
    return b"%s %d %s %s\n" % (MAGIC, FORMAT_VERSION, kind, digest(body, key).hex().encode()) + body


def is_compiled(data: bytes) -> bool:
    """Whether data starts like a compiled plan; 64 bytes are enough to tell."""
    return data.startswith(MAGIC + b" ")


def parse(data: bytes, key: bytes | None = None) -> Plan:
    """Decodes a compiled plan after its digest was verified.

    Raises:
        UnusableFileError: truncated, altered, of another format version, with a keyed digest although no key is
            given, or not built with the given key.
    """
    header, newline, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != 4 or fields[0] != MAGIC or not newline or not fields[1].isdigit():
        raise UnusableFileError("not a compiled plan: its header cannot be read")
    if int(fields[1]) != FORMAT_VERSION:
        raise UnusableFileError(f"a compiled plan of format {int(fields[1])}, this version reads format "
                                f"{FORMAT_VERSION}: build it again")
    if fields[2] not in (b"keyed", b"plain"):
        raise UnusableFileError("not a compiled plan: its header cannot be read")
    if fields[2] == b"keyed" and key is None:
        raise UnusableFileError("a compiled plan with a keyed digest: specify the key file")
    if fields[2] != b"keyed" and key is not None:
        raise UnusableFileError("a compiled plan without a keyed digest: build it with the key")
    if not hmac.compare_digest(digest(body, key if fields[2] == b"keyed" else None).hex().encode(), fields[3]):
        raise UnusableFileError("a compiled plan whose digest is wrong: truncated, altered or built with another key")
    try:
        content = msgspec.msgpack.decode(body, type=Body)
        return from_rows(content.rows, content.files)
    except (msgspec.DecodeError, ValueError) as error:
        raise UnusableFileError(f"a compiled plan that this version cannot use: {error}") from error
