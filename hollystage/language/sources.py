"""Reads the root file of a script and the files that it loads from the same folder; scripts have no other I/O."""
from __future__ import annotations

import os
from typing import Protocol

from .diagnostics import Diagnostics, Location, nearest

# bytes of one file; bytes and number of all files of one run
MAX_SOURCE_BYTES, MAX_TOTAL_BYTES, MAX_FILES = 1 << 20, 8 << 20, 64


class SourceError(ValueError):
    """A file cannot be read or its name is not allowed.

    Attributes:
        fix: what to change.
    """

    def __init__(self, message: str, fix: str) -> None:
        super().__init__(message)
        self.fix = fix


class SourceFolder(Protocol):
    """Where files are read from; names are relative, with `/` as the separator."""

    def read(self, name: str) -> bytes:
        """The content of a file.

        Raises:
            SourceError: the file does not exist, cannot be read or is outside the folder.
        """
        ...


class DiskFolder:
    """The directory of the root file. Files are refused if their real path, with all links resolved, is outside.

    All parts of a plan are thus visible in one place.
    """

    def __init__(self, folder: str) -> None:
        self.root = os.path.realpath(folder)

    def read(self, name: str) -> bytes:
        """At most MAX_SOURCE_BYTES + 1 bytes of a file, enough to see that it is too large."""
        path = os.path.join(self.root, *name.split("/"))
        real = os.path.realpath(path)
        if os.path.commonpath([real, self.root]) != self.root:
            raise SourceError(f'"{name}" is a symbolic link out of the folder of the plan',
                              "copy the file into the folder")
        try:
            if os.path.isdir(real):
                raise SourceError(f'"{name}" is a folder', "name a file in it")
            with open(real, "rb") as file:
                return file.read(MAX_SOURCE_BYTES + 1)
        except FileNotFoundError:
            close = nearest(name, self._file_names())
            raise SourceError(f'"{name}" does not exist', f'write "{close}"' if close
                              else "create it, or remove the load()") from None
        except OSError as error:
            raise SourceError(f'"{name}" cannot be read: {error.strerror}', "check its permissions") from error

    def _file_names(self) -> list[str]:
        names: list[str] = []
        for folder, _, files in os.walk(self.root):
            names += [os.path.relpath(os.path.join(folder, file), self.root) for file in files]
            if len(names) > 1000:
                break
        return names


class MemoryFolder:
    """Files in memory, for tests and for programs that generate scripts."""

    def __init__(self, files: dict[str, bytes]) -> None:
        self.files = files

    def read(self, name: str) -> bytes:
        """The content of a file."""
        if name not in self.files:
            close = nearest(name, self.files)
            raise SourceError(f'"{name}" does not exist', f'write "{close}"' if close
                              else "create it, or remove the load()")
        return self.files[name]


def decode_source(data: bytes, name: str, diagnostics: Diagnostics) -> str | None:
    """Decodes a file as UTF-8; returns None and adds an error to `diagnostics` if it is too large or not UTF-8."""
    start = Location(name, 1, 1)
    if len(data) > MAX_SOURCE_BYTES:
        diagnostics.add(start, f"a file of more than {MAX_SOURCE_BYTES // 1024} KiB", "split it, or use loops")
        return None
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - (data.rfind(b"\n", 0, error.start) + 1) + 1
        diagnostics.add(Location(name, line, column), f"the byte 0x{data[error.start]:02x} is not UTF-8",
                        "save the file as UTF-8")
        return None
    return text.removeprefix("\ufeff")


def resolve_path(path: str, loader: str) -> str:
    """The name, relative to the folder, of a file that is loaded as `path` by the file `loader`.

    Raises:
        SourceError: the path is not valid or leads out of the folder.

    >>> resolve_path("../shared/units.star", "sites/a.star")
    'shared/units.star'
    >>> resolve_path("../units.star", "a.star")
    Traceback (most recent call last):
    hollystage.language.sources.SourceError: "../units.star" leads out of the folder of the plan
    """
    if not path or "\0" in path or "\\" in path:
        raise SourceError(f'"{path}" is not a valid file name', 'write load("file.star", "NAME")')
    if path.startswith("/"):
        raise SourceError(f'"{path}" is not relative', "use a path relative to the folder of this file")
    parts = loader.split("/")[:-1]
    for part in path.split("/"):
        if part == "..":
            if not parts:
                raise SourceError(f'"{path}" leads out of the folder of the plan', "move the file into the folder")
            parts.pop()
        elif part not in ("", "."):
            parts.append(part)
    return "/".join(parts)
