"""Notices: the messages of the interpreter, and their decoding."""
from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from ..interface import Outcome

OUTCOME_OF_RESULT = {"good": Outcome.OK, "bad": Outcome.ERROR, "cut": Outcome.CANCELLED, "gone": Outcome.MOOT}


class Notice(msgspec.Struct):
    """One message of the interpreter, a JSON line; the fields that a kind of notice lacks keep their defaults."""

    cmd: str
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0
    req: str = ""
    result: str = ""
    elapsed_ms: Annotated[float, msgspec.Meta(ge=0, lt=1e12)] = 0
    payload: bytes = b""
    token: str = ""
    load: list[float] = []


class TraceNotice(msgspec.Struct):
    """A TRACE notice. It is ignored, whatever its other fields contain."""

    cmd: Literal["TRACE"]
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0


class InterpreterProtocolError(Exception):
    """The interpreter sent a line that is not a valid notice."""


class NoticeDecoder:
    """Decodes notices; not thread-safe."""

    def __init__(self) -> None:
        self.decoder = msgspec.json.Decoder(Notice)

    def decode(self, line: bytes) -> Notice:
        """Decodes a line; one that is valid only as a TRACE yields a TRACE notice with its offset.

        A line that is nested too deeply to be decoded yields one without an offset: no other notice is nested.

        Raises:
            msgspec.DecodeError: the line is no notice.
        """
        try:
            return self.decoder.decode(line)
        except msgspec.ValidationError:
            return Notice("TRACE", msgspec.json.decode(line, type=TraceNotice).offset)
        except RecursionError:
            return Notice("TRACE")
