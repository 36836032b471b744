"""Messages between candidates and voters. `lease` is the name of the lease; a process may request several."""
from __future__ import annotations

from typing import NamedTuple

import msgspec

MAX_NAME_LENGTH = 64  # characters of the name of a lease or a process


class ProcessId(NamedTuple):
    """Identity of one process: a process that restarts under the same name has another `birth`."""

    name: str
    birth: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Requests the promise that no smaller ballot is accepted. The sender never reuses a `request_id`."""

    ballot: int
    candidate: ProcessId
    request_id: int
    lease: str = ""
    generation: int = 0


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Requests the lease itself, or its renewal."""

    ballot: int
    candidate: ProcessId
    request_id: int
    lease: str = ""
    generation: int = 0


class Release(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Gives the lease back; its holder has stopped acting. There is no reply."""

    ballot: int
    candidate: ProcessId
    lease: str = ""


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Answer of a voter.

    `request_id`: of the request. The lease counts from the time of the request, so the candidate ignores replies to
    earlier requests; `highest_ballot`: the greatest ballot that the voter has seen; `holder`: the process that holds
    the lease as far as the voter knows; `remaining`: time left of that grant in microseconds of the voter's clock.
    """

    request_id: int
    accepted: bool
    highest_ballot: int
    holder: ProcessId | None = None
    remaining: int = 0
    lease: str = ""


LeaseRequest = Prepare | Propose | Release


def is_valid(message: LeaseRequest | Reply) -> bool:
    """Returns whether the fields of a received message are within their bounds."""
    process = message.holder if isinstance(message, Reply) else message.candidate
    numbers = ([message.highest_ballot, message.request_id, message.remaining] if isinstance(message, Reply)
               else [message.ballot])
    if isinstance(message, Prepare | Propose):
        numbers += [message.request_id, message.generation]
    return (len(message.lease) <= MAX_NAME_LENGTH and all(0 <= number < 1 << 62 for number in numbers)
            and (process is None or (len(process.name) <= MAX_NAME_LENGTH and 0 <= process.birth < 1 << 62)))
