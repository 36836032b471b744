"""Messages between candidates and voters. `lease` is the name of the lease; a process may request several."""
from __future__ import annotations

from typing import NamedTuple

import msgspec

MOST_NAME = 64


class Who(NamedTuple):
    """Identity of one process: a process that restarts under the same name has another `birth`."""

    name: str
    birth: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Requests the promise that no smaller ballot is accepted. The sender never reuses a `request_id`."""

    number: int
    who: Who
    turn: int
    lease: str = ""
    generation: int = 0


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Requests the lease itself, or its renewal."""

    number: int
    who: Who
    turn: int
    lease: str = ""
    generation: int = 0


class Release(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Gives the lease back; its holder has stopped acting. There is no reply."""

    number: int
    who: Who
    lease: str = ""


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Answer of a voter.

    `request_id`: of the request; a reply to an earlier request counts from an earlier time and is ignored;
    `highest_ballot`: the greatest ballot that the voter has seen; `holder`: the process that holds the lease as far
    as the voter knows; `remaining`: time left of that grant in microseconds of the voter's clock.
    """

    turn: int
    good: bool
    known: int
    by: Who | None = None
    left: int = 0
    lease: str = ""


Question = Prepare | Propose | Release


def sane(message: Question | Reply) -> bool:
    """Returns whether the fields of a received message are within their bounds."""
    process = message.by if isinstance(message, Reply) else message.who
    numbers = [message.known, message.turn, message.left] if isinstance(message, Reply) else [message.number]
    if isinstance(message, Prepare | Propose):
        numbers += [message.turn, message.generation]
    return (len(message.lease) <= MOST_NAME and all(0 <= number < 1 << 62 for number in numbers)
            and (process is None or (len(process.name) <= MOST_NAME and 0 <= process.birth < 1 << 62)))
