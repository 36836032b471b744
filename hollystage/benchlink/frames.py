"""Frame codec: bytes of the wire to plain tuples and back."""
from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

Event = tuple[Any, ...]  # its name, then its fields
EVENT_SIZE, ACTION_SIZE, LARGEST = 56, 16, 1 << 30
EVENTS: dict[int, tuple[str, struct.Struct]] = {
    1: ("called", struct.Struct(">HQHI")),
    2: ("timer", struct.Struct(">HQB4f")),
    3: ("gone", struct.Struct(">HQ")),
    4: ("leaving", struct.Struct(">HI")),
    5: ("init", struct.Struct(">HQII")),
    6: ("at_call", struct.Struct(">HQ")),
    7: ("stop", struct.Struct(">H")),
    8: ("rpc", struct.Struct(">HQBHQIIffBHIQ")),
    9: ("done", struct.Struct(">HQHI")),
}


class Malformed(Exception):
    """What came in is not a frame of this wire."""


def read_batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yield (clock, events) until the input ends between two frames."""
    while head := stream.read(4):
        if len(head) < 4:
            raise Malformed("input ends inside a frame's length")
        (length,) = struct.unpack(">I", head)
        if not 12 <= length <= LARGEST:
            raise Malformed(f"a frame cannot be {length} bytes long")
        body = stream.read(length)
        if len(body) < length:
            raise Malformed(f"input ends inside a frame: {len(body)} of {length} bytes")
        yield decode(body)


def decode(body: bytes) -> tuple[int, list[Event]]:
    count, now = struct.unpack_from(">IQ", body)
    tail = 12 + count * EVENT_SIZE
    if tail > len(body):
        raise Malformed(f"{count} events do not fit a frame of {len(body)} bytes")
    events = []
    for at in range(12, tail, EVENT_SIZE):
        known = EVENTS.get(body[at])
        if known is None:
            raise Malformed(f"unknown event code {body[at]}")
        name, form = known
        fields = form.unpack_from(body, at + 1)
        if name == "init":
            inst, seed, start, size = fields
            if tail + start + size > len(body):
                raise Malformed("settings reach past the end of the frame")
            fields = (inst, seed, body[tail + start:tail + start + size])
        events.append((name, *fields))
    return now, events


class Reply:
    """Collects the actions of one batch.

    >>> Reply().encode().hex()
    '0000000400000000'
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = b""

    def add(self, form: str, code: int, *fields: int | float) -> None:
        self.records.append(struct.pack(">B" + form, code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_text(self, code: int, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.add("HII", code, instance, len(self.tail), len(data))
        self.tail += data

    def encode(self) -> bytes:
        body = b"".join(self.records) + self.tail
        return struct.pack(">II", len(body) + 4, len(self.records)) + body
