"""Calls below: one call at a time on a connection, connections kept while the other side keeps them."""
from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from ..interface import Outcome
from .buffers import Broken, Pool, Stream
from .config import Address
from .counters import Counters
from .http import Bad, Response, read_response, write_request

REFUSED_S = 0.02  # no sooner is it asked again
KEPT_S = 5.0  # the other side closes what was idle for 10 s
LATE_S = 0.02  # the ledger's own word on the time-out is waited for so long

Begin = Callable[[Callable[[], None] | None], bool]  # names what gives the call up; False where it is void


class Ledger:
    """Owns the connections; a call takes one and gives it back or closes it in one place."""

    def __init__(self, address: Address, most: int, pool: Pool, counters: Counters, log: Any) -> None:
        self.address, self.pool, self.counters, self.log = address, pool, counters, log
        self.host = f"{address[0]}:{address[1]}"
        self.lock = threading.Lock()
        self.idle: list[tuple[float, socket.socket]] = []
        self.room = threading.BoundedSemaphore(most)

    def post(self, ident: str, limit_us: int, body: bytes, begin: Begin) -> tuple[Outcome, bytes]:
        until = time.monotonic() + limit_us / 1e6 + LATE_S
        limit_ms = max(1, limit_us // 1000)
        if not self.room.acquire(blocking=False):
            return self._count(Outcome.FULL), b""  # more than the descriptors allow
        try:
            sock = self._kept()
            fresh = sock is None
            sock = sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:  # no descriptor: nothing was sent
            self.room.release()
            return self._count(Outcome.FULL), b""
        buffer, keep = self.pool.take(), False
        try:
            if not begin(lambda: _give_up(sock)):
                return self._count(Outcome.CANCELLED), b""
            if fresh:
                outcome = self._connect(sock, until)
                if outcome is not None:
                    return self._count(outcome), b""
            headers = {"X-Txn-Ref": ident, "X-Limit-Ms": str(limit_ms)}
            sock.settimeout(max(0.001, until - time.monotonic()))
            sock.sendall(write_request("POST", "/post", self.host, headers, body))
            stream = Stream(sock, buffer)
            reply = read_response(stream, until)
            keep = reply.keep and stream.empty()
            return self._count(self._meaning(reply)), reply.body
        except TimeoutError:
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
            if keep:
                with self.lock:
                    self.idle.append((time.monotonic(), sock))
            else:
                sock.close()
            self.room.release()

    def _connect(self, sock: socket.socket, until: float) -> Outcome | None:
        """A connection that never came about proves that no call ran."""
        try:
            sock.settimeout(max(0.001, until - time.monotonic()))
            sock.connect(self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # guards the core against an RPC that asks a ledger that is down again and again
            time.sleep(max(0.0, min(REFUSED_S, until - time.monotonic())))
            return Outcome.CONNECT_FAILED
        self.counters.add("ledger.connections")
        return None

    def _meaning(self, reply: Response) -> Outcome:
        untouched = reply.fields.get("x-untouched") == "1"
        if reply.status == 503 and untouched:
            return Outcome.FULL
        if reply.status == 409 and untouched:
            return Outcome.MOOT
        return {200: Outcome.OK, 504: Outcome.TIMEOUT}.get(reply.status, Outcome.ERROR)

    def _kept(self) -> socket.socket | None:
        while True:
            with self.lock:
                if not self.idle:
                    return None
                since, sock = self.idle.pop()
            if time.monotonic() - since < KEPT_S and not select.select([sock], [], [], 0)[0]:
                return sock
            sock.close()

    def tidy(self) -> None:
        """Closes what has been idle long, before the other side does."""
        with self.lock:
            old = [sock for since, sock in self.idle if time.monotonic() - since >= KEPT_S]
            self.idle = [(since, sock) for since, sock in self.idle if sock not in old]
        for sock in old:
            sock.close()

    def _count(self, outcome: Outcome) -> Outcome:
        self.counters.add(f"ledger.{outcome.name.lower()}")
        return outcome


def _give_up(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
