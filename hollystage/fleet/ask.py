"""An operator's question to a running instance, by the fleet's key."""
from __future__ import annotations

import secrets
import socket
import time

from ..decisions.membership.records import Record
from .codec import FRAME, Challenge, Codec, Envelope, Refused, Show, Shown
from .links import STREAM_S, Cut, Frames, address_of

ASKER = "-"  # no member is called so


class NoAnswer(Exception):
    """Nobody answered, or not with our key; the message says which."""


def ask(address: str, key: bytes, cluster: str, what: str, request: bytes = b"") -> bytes:
    """
    Raises:
        NoAnswer: nobody is there, or it does not know our key or our cluster.
    """
    codec, birth, door = Codec(key, cluster), secrets.randbits(62), 1 + secrets.randbits(60)
    me = Record(ASKER, "", "0.0.0.0:0", 0, birth)
    try:
        stream = Frames(socket.create_connection(address_of(address), 2.0), time.monotonic() + STREAM_S)
    except (OSError, ValueError, OverflowError) as bad:
        raise NoAnswer(f"nobody answers ({bad})") from bad
    to = 0
    try:
        for count in (1, 2):  # the first names no door, and is told it
            stream.send(codec.pack(Envelope(door, to, count, me, Show(what, request))))
            reply = codec.unpack(stream.read(FRAME), FRAME)
            if isinstance(reply, Refused) or reply.to != door:
                raise NoAnswer("an answer that cannot be believed")
            if isinstance(reply.word, Shown):
                return reply.word.body
            if not isinstance(reply.word, Challenge):
                break
            to = reply.door
    except (Cut, OSError) as bad:
        raise NoAnswer("it ends the connection: another key, another cluster, or no instance") from bad
    finally:
        stream.close()
    raise NoAnswer("it gives no answer")
