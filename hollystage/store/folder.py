"""The state folder of one instance: locked by one process, with files that are replaced atomically.

Each file begins with a header line: kind, format version, owner, and a hash of these and the body. A file is written
under another name, synced and renamed, so that a kill at any moment leaves either the old file or the new one. A file
that fails a check is reported in one line and left as it is until the next write replaces it.
"""
from __future__ import annotations

import contextlib
import fcntl
import os
import re

from blake3 import blake3

HEADER = re.compile(rb"hollystage-state ([a-z]+) (\d{1,9}) ([A-Za-z0-9._-]{1,64}) ([0-9a-f]{32})\n")
MAX_FILE_BYTES = 16 << 20


class StateError(Exception):
    """A state file or folder cannot be trusted or used; the message gives the reason in one line."""


class StateFolder:
    """The state folder of the instance `name`. One process holds its lock, which the kernel releases when it ends."""

    def __init__(self, path: str, name: str) -> None:
        """Creates the folder if it does not exist, and locks it.

        Raises:
            StateError: the folder cannot be created or opened, or another process has locked it.
        """
        self.path, self.name = path, name
        try:
            os.makedirs(path, mode=0o700, exist_ok=True)
            self.lock = os.open(os.path.join(path, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StateError(f"state.path: {path} cannot be used: {error.strerror}") from error
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.pread(self.lock, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(self.lock)
            raise StateError(f"state.path: {path} is locked by {holder}") from error
        with contextlib.suppress(OSError):  # the lock is valid even if a full disk prevents writing its owner
            os.ftruncate(self.lock, 0)
            os.pwrite(self.lock, f"{name}, process {os.getpid()}\n".encode(), 0)

    def write(self, kind: str, version: int, body: bytes) -> None:
        """Replaces the file of this kind; `version` is that of the body's format.

        Raises:
            StateError: the disk is full, read-only or failing; the previous file is unchanged.
        """
        path = os.path.join(self.path, kind)
        data = b"hollystage-state %s %d %s %s\n" % (
            kind.encode(), version, self.name.encode(), _hash(kind, version, self.name, body)) + body
        try:
            file = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            try:
                view = memoryview(data)
                while view:
                    view = view[os.write(file, view):]
                os.fsync(file)
            finally:
                os.close(file)
            os.rename(path + ".new", path)
            folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            raise StateError(f"state.path: {path} cannot be written: {error.strerror}") from error

    def read(self, kind: str, version: int) -> bytes | None:
        """The body of the file of this kind, None if there is no file. `version` is the newest readable format.

        Raises:
            StateError: the file cannot be read, is truncated or corrupt, is of a newer format, or belongs to another
                instance.
        """
        path = os.path.join(self.path, kind)
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StateError(f"state: {path} cannot be read: {error.strerror}") from error
        if not data:
            raise StateError(f"state: {path} is empty")
        header = HEADER.match(data)
        if header is None or header[1] != kind.encode() or len(data) > MAX_FILE_BYTES:
            raise StateError(f"state: {path} is not a state file of this program")
        if int(header[2]) > version:
            raise StateError(f"state: {path} is of format {int(header[2])}, this version reads up to {version}")
        body, owner = data[header.end():], header[3].decode()
        if header[4] != _hash(kind, int(header[2]), owner, body):
            raise StateError(f"state: {path} is truncated or corrupt")
        if owner != self.name:
            raise StateError(f"state: {path} belongs to {owner}")
        return body

    def close(self) -> None:
        """Releases the lock."""
        os.close(self.lock)


def _hash(kind: str, version: int, name: str, body: bytes) -> bytes:
    return blake3(f"{kind} {version} {name}\n".encode() + body).hexdigest(length=16).encode()
