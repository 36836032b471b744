"""Client for an operator's requests to a running instance, authenticated with the fleet key."""
from __future__ import annotations

import secrets
import socket
import time

from ..decisions.membership.records import Record
from .codec import MAX_FRAME_BYTES, Challenge, Codec, DecodeFailure, Envelope, TableReply, TableRequest
from .sockets import STREAM_TIMEOUT_S, FramedStream, StreamError, parse_address

ASKER_NAME = "-"  # never the name of a member


class QueryError(Exception):
    """There was no valid reply; the message gives the reason."""


def ask(address: str, key: bytes, cluster: str, table: str, request: bytes = b"") -> bytes:
    """Requests a table of the instance at `address` (host:port) and returns it as JSON.

    Raises:
        QueryError: nothing can be reached there, or it has another key or cluster name.
    """
    codec, birth, session = Codec(key, cluster), secrets.randbits(62), 1 + secrets.randbits(60)
    sender = Record(ASKER_NAME, "", "0.0.0.0:0", 0, birth)
    try:
        sock = socket.create_connection(parse_address(address), 2.0)
        stream = FramedStream(sock, time.monotonic() + STREAM_TIMEOUT_S)
    except (OSError, ValueError, OverflowError) as error:
        raise QueryError(f"cannot connect ({error})") from error
    receiver_session = 0
    try:
        for counter in (1, 2):  # the first request names no session; the challenge gives the one for the second
            message = TableRequest(table, request)
            stream.send(codec.pack(Envelope(session, receiver_session, counter, sender, message)))
            reply = codec.unpack(stream.read(MAX_FRAME_BYTES), MAX_FRAME_BYTES)
            if isinstance(reply, DecodeFailure) or reply.receiver_session != session:
                raise QueryError("the reply is not authentic")
            if isinstance(reply.message, TableReply):
                return reply.message.body
            if not isinstance(reply.message, Challenge):
                break
            receiver_session = reply.session
    except (StreamError, OSError) as error:
        raise QueryError("the connection ended: another key, another cluster, or not an instance") from error
    finally:
        stream.close()
    raise QueryError("the instance sent no table")
