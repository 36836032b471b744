"""Client for an operator's requests to a running instance, authenticated with the fleet key."""
from __future__ import annotations

import secrets
import socket
import time

from ..decisions.membership.records import Record
from .codec import FRAME, Challenge, Codec, Envelope, Refused, Show, Shown
from .links import STREAM_S, Cut, Frames, address_of

ASKER = "-"  # never the name of a member


class NoAnswer(Exception):
    """There was no valid reply; the message gives the reason."""


def ask(address: str, key: bytes, cluster: str, table: str, request: bytes = b"") -> bytes:
    """Requests a table of the instance at `address` (host:port) and returns it as JSON.

    Raises:
        QueryError: nothing can be reached there, or it has another key or cluster name.
    """
    codec, birth, session = Codec(key, cluster), secrets.randbits(62), 1 + secrets.randbits(60)
    sender = Record(ASKER, "", "0.0.0.0:0", 0, birth)
    try:
        stream = Frames(socket.create_connection(address_of(address), 2.0), time.monotonic() + STREAM_S)
    except (OSError, ValueError, OverflowError) as error:
        raise NoAnswer(f"cannot connect ({error})") from error
    receiver_session = 0
    try:
        for counter in (1, 2):  # the first request names no session; the challenge gives the one for the second
            stream.send(codec.pack(Envelope(session, receiver_session, counter, sender, Show(table, request))))
            reply = codec.unpack(stream.read(FRAME), FRAME)
            if isinstance(reply, Refused) or reply.to != session:
                raise NoAnswer("the reply is not authentic")
            if isinstance(reply.word, Shown):
                return reply.word.body
            if not isinstance(reply.word, Challenge):
                break
            receiver_session = reply.door
    except (Cut, OSError) as error:
        raise NoAnswer("the connection ended: another key, another cluster, or not an instance") from error
    finally:
        stream.close()
    raise NoAnswer("the instance sent no table")
