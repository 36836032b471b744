"""Codec of the bench's binary protocol: decodes frames to tuples and encodes replies. Integers are big-endian."""
from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

Event = tuple[Any, ...]  # name, number of the instance, other fields
EVENT_SIZE, ACTION_SIZE, MAX_FRAME_BYTES = 56, 16, 1 << 30  # bytes
EVENT_FORMATS: dict[int, tuple[str, struct.Struct]] = {
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


class FrameError(Exception):
    """The input is not a valid frame of this protocol."""


def read_batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yields (time, events) until the input ends between two frames.

    Raises:
        FrameError: the input is malformed.
    """
    while head := stream.read(4):
        if len(head) < 4:
            raise FrameError("input ends inside a frame's length")
        (length,) = struct.unpack(">I", head)
        if not 12 <= length <= MAX_FRAME_BYTES:
            raise FrameError(f"a frame cannot be {length} bytes long")
        body = stream.read(length)
        if len(body) < length:
            raise FrameError(f"input ends inside a frame: {len(body)} of {length} bytes")
        yield decode(body)


def decode(body: bytes) -> tuple[int, list[Event]]:
    """Decodes the body of a frame to its time and events.

    Raises:
        FrameError: the body is malformed.
    """
    count, now = struct.unpack_from(">IQ", body)
    tail = 12 + count * EVENT_SIZE
    if tail > len(body):
        raise FrameError(f"{count} events do not fit a frame of {len(body)} bytes")
    events = []
    for offset in range(12, tail, EVENT_SIZE):
        event_format = EVENT_FORMATS.get(body[offset])
        if event_format is None:
            raise FrameError(f"unknown event code {body[offset]}")
        name, layout = event_format
        fields = layout.unpack_from(body, offset + 1)
        if name == "init":
            instance, seed, start, size = fields
            if tail + start + size > len(body):
                raise FrameError("settings reach past the end of the frame")
            fields = (instance, seed, body[tail + start:tail + start + size])
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

    def add(self, layout: str, code: int, *fields: int | float) -> None:
        """Adds an action; `layout`: the struct format of the fields."""
        self.records.append(struct.pack(">B" + layout, code, *fields).ljust(ACTION_SIZE, b"\0"))

    def add_text(self, code: int, instance: int, text: str) -> None:
        """Adds an action whose text is stored after all records."""
        data = text.encode("utf-8", "replace")
        self.add("HII", code, instance, len(self.tail), len(data))
        self.tail += data

    def encode(self) -> bytes:
        """Returns the reply as a frame."""
        body = b"".join(self.records) + self.tail
        return struct.pack(">II", len(body) + 4, len(self.records)) + body
