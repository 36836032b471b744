"""A compiled plan: what `config build` writes and `serve` reads without the language in memory.

A head line with the form's version and the kind of digest, the digest of the body, the body in msgpack. A plain
digest tells damage; a keyed one tells whether someone who has the key built it.
"""
from __future__ import annotations

import hmac
import os
import stat

import msgspec

from .model import Plan, packed, unpacked

FORM, MAGIC = 2, b"hollystage-plan"
LARGEST = 64 << 20
KEY_SIZE = 32


class Damaged(ValueError):
    """A file that is no compiled plan that can be used; the message says why."""


class Body(msgspec.Struct):
    built_by: str
    files: list[str]
    rows: list[tuple[str, dict[str, object], str, dict[str, str]]]


def read_key(path: str) -> bytes:
    """A key file: at least 32 bytes, readable by its owner alone.

    Raises:
        Damaged: it cannot be used.
    """
    try:
        if stat.S_IMODE(os.stat(path).st_mode) & 0o077:
            raise Damaged(f"{path} can be read by others than its owner: set its mode to 600")
        with open(path, "rb") as file:
            data = file.read(4096)
    except OSError as bad:
        raise Damaged(f"{path} cannot be read: {bad.strerror}") from bad
    if len(data) < KEY_SIZE:
        raise Damaged(f"{path} is shorter than {KEY_SIZE} bytes")
    return digest(data, None)


def digest(data: bytes, key: bytes | None) -> bytes:
    from blake3 import blake3  # only where a plan is read or built

    return blake3(data, key=key).digest() if key is not None else blake3(data).digest()


def dump(plan: Plan, version: str, key: bytes | None = None) -> bytes:
    body = msgspec.msgpack.encode(Body(version, plan.files, packed(plan)))
    kind = b"keyed" if key is not None else b"plain"
    return b"%s %d %s %s\n" % (MAGIC, FORM, kind, digest(body, key).hex().encode()) + body


def is_compiled(data: bytes) -> bool:
    return data.startswith(MAGIC + b" ")


def parse(data: bytes, key: bytes | None = None) -> Plan:
    """
    Raises:
        Damaged: cut short, altered, of another form or, with a key, not built with it.
    """
    head, newline, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 4 or words[0] != MAGIC or not newline or not words[1].isdigit():
        raise Damaged("no compiled plan: its head cannot be read")
    if int(words[1]) != FORM:
        raise Damaged(f"a compiled plan of form {int(words[1])}, this version reads form {FORM}: build it anew")
    if words[2] not in (b"keyed", b"plain"):
        raise Damaged("no compiled plan: its head cannot be read")
    if words[2] == b"keyed" and key is None:
        raise Damaged("a compiled plan with a keyed digest: name the key file")
    if words[2] != b"keyed" and key is not None:
        raise Damaged("a compiled plan without a keyed digest: build it with the key")
    if not hmac.compare_digest(digest(body, key if words[2] == b"keyed" else None).hex().encode(), words[3]):
        raise Damaged("a compiled plan whose digest is wrong: cut short, altered or built with another key")
    try:
        content = msgspec.msgpack.decode(body, type=Body)
        return unpacked(content.rows, content.files)
    except (msgspec.DecodeError, ValueError) as bad:
        raise Damaged(f"a compiled plan that this version cannot use: {bad}") from bad
