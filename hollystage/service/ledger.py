"""Calls below, each on a connection of its own.

A kept connection would save about 0.1 ms of CPU a call. The other side may close or forget it while idle,
which leaves open whether a call on it ran, and a surplus answer may reach it at any time, to be taken for the
next call's.
"""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from ..interface import Outcome
from .buffers import Broken, Pool, Stream, bound
from .config import Address
from .counters import Counters
from .http import Bad, Response, read_response, write_request

REFUSED_S = 0.02  # no sooner is it asked again
LATE_S = 0.02  # the ledger's own word on the time-out is waited for so long

Begin = Callable[[Callable[[], None] | None], bool]  # names what gives the call up; False where it is void


class Ledger:
    """Owns the connections; a call makes one and closes it in one place."""

    def __init__(self, address: Address, most: int, pool: Pool, counters: Counters, log: Any) -> None:
        self.address, self.pool, self.counters, self.log = address, pool, counters, log
        self.room = threading.BoundedSemaphore(most)

    def move(self, address: Address) -> None:
        self.address = address

    def post(self, ident: str, limit_us: int, body: bytes, begin: Begin) -> tuple[Outcome, bytes]:
        until = time.monotonic() + limit_us / 1e6 + LATE_S
        if not self.room.acquire(blocking=False):
            return self._count(Outcome.FULL), b""  # more than the descriptors allow
        address = self.address
        try:
            sock, buffer = socket.socket(socket.AF_INET, socket.SOCK_STREAM), self.pool.take()
        except (OSError, MemoryError):  # no descriptor, or no room: nothing was sent
            self.room.release()
            return self._count(Outcome.FULL), b""
        try:
            if not begin(lambda: _give_up(sock)):
                return self._count(Outcome.CANCELLED), b""
            if not self._connect(sock, address, until):
                return self._count(Outcome.CONNECT_FAILED), b""
            headers = {"X-Txn-Ref": ident, "X-Limit-Ms": str(max(1, limit_us // 1000)), "Connection": "close"}
            sock.sendall(write_request("POST", "/post", f"{address[0]}:{address[1]}", headers, body))
            reply = read_response(Stream(sock, buffer), until)
            return self._count(self._meaning(reply)), reply.body
        except (TimeoutError, BlockingIOError):
            return self._count(Outcome.TIMEOUT), b""
        except Bad as bad:
            self.log.warning("ledger reply cannot be read", why=str(bad))
            self.counters.add("ledger.garbage")
            return self._count(Outcome.RESET), b""
        except (OSError, Broken):
            return self._count(Outcome.RESET), b""
        finally:
            begin(None)  # from here on nobody gives this socket up
            self.pool.give_back(buffer)
            sock.close()
            self.room.release()

    def _connect(self, sock: socket.socket, address: Address, until: float) -> bool:
        """A connection that never came about proves that no call ran."""
        try:
            bound(sock, socket.SO_SNDTIMEO, max(0.001, until - time.monotonic()))
            sock.connect(address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # guards the core against an RPC that asks a ledger that is down again and again
            time.sleep(max(0.0, min(REFUSED_S, until - time.monotonic())))
            return False
        self.counters.add("ledger.connections")
        return True

    def _meaning(self, reply: Response) -> Outcome:
        untouched = reply.fields.get("x-untouched") == "1"
        if reply.status == 503 and untouched:
            return Outcome.FULL
        if reply.status == 409 and untouched:
            return Outcome.MOOT
        return {200: Outcome.OK, 504: Outcome.TIMEOUT}.get(reply.status, Outcome.ERROR)

    def _count(self, outcome: Outcome) -> Outcome:
        self.counters.add(f"ledger.{outcome.name.lower()}")
        return outcome


def _give_up(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
