"""The folder of one instance's state: who holds it, and files that are written whole or not at all.

Each file has a head line, its kind, form and owner, and a hash of all that follows. It is written beside the old
one, synced and renamed: a kill at any moment leaves the old one or the new one. What cannot be believed is told in
one line and left alone, except that a later write takes its place.
"""
from __future__ import annotations

import contextlib
import fcntl
import os
import re

from blake3 import blake3

HEAD = re.compile(rb"hollystage-state ([a-z]+) (\d{1,9}) ([A-Za-z0-9._-]{1,64}) ([0-9a-f]{32})\n")
LARGEST = 16 << 20


class Unusable(Exception):
    """A file or folder that cannot be believed or used; the message says why, in one line."""


class Folder:
    """Held by one process; the lock goes with it."""

    def __init__(self, path: str, name: str) -> None:
        """
        Raises:
            Unusable: it cannot be made or opened, or another process holds it.
        """
        self.path, self.name = path, name
        try:
            os.makedirs(path, mode=0o700, exist_ok=True)
            self.lock = os.open(os.path.join(path, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as bad:
            raise Unusable(f"state.path: {path} cannot be used: {bad.strerror}") from bad
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as bad:
            holder = os.pread(self.lock, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(self.lock)
            raise Unusable(f"state.path: {path} is held by {holder}") from bad
        with contextlib.suppress(OSError):  # on a full disk the lock holds all the same
            os.ftruncate(self.lock, 0)
            os.pwrite(self.lock, f"{name}, process {os.getpid()}\n".encode(), 0)

    def write(self, kind: str, form: int, body: bytes) -> None:
        """
        Raises:
            Unusable: the disk is full, read-only or failing; the old file is as it was.
        """
        path = os.path.join(self.path, kind)
        data = b"hollystage-state %s %d %s %s\n" % (
            kind.encode(), form, self.name.encode(), _hash(kind, form, self.name, body)) + body
        try:
            number = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            try:
                view = memoryview(data)
                while view:
                    view = view[os.write(number, view):]
                os.fsync(number)
            finally:
                os.close(number)
            os.rename(path + ".new", path)
            folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as bad:
            raise Unusable(f"state.path: {path} cannot be written: {bad.strerror}") from bad

    def read(self, kind: str, form: int) -> bytes | None:
        """The body; None where there is no such file.

        Raises:
            Unusable: cut short, spoilt, of another instance or of a newer version.
        """
        path = os.path.join(self.path, kind)
        try:
            with open(path, "rb") as file:
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return None
        except OSError as bad:
            raise Unusable(f"state: {path} cannot be read: {bad.strerror}") from bad
        if not data:
            raise Unusable(f"state: {path} is empty")
        head = HEAD.match(data)
        if head is None or head[1] != kind.encode() or len(data) > LARGEST:
            raise Unusable(f"state: {path} is no state of this program")
        if int(head[2]) > form:
            raise Unusable(f"state: {path} is of form {int(head[2])}, this version reads up to {form}")
        body, owner = data[head.end():], head[3].decode()
        if head[4] != _hash(kind, int(head[2]), owner, body):
            raise Unusable(f"state: {path} is cut short or spoilt")
        if owner != self.name:
            raise Unusable(f"state: {path} is that of {owner}")
        return body

    def close(self) -> None:
        os.close(self.lock)


def _hash(kind: str, form: int, name: str, body: bytes) -> bytes:
    return blake3(f"{kind} {form} {name}\n".encode() + body).hexdigest(length=16).encode()
