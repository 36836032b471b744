"""Downstream calls to the ledger, each on its own connection.

A persistent connection would save about 0.1 ms of CPU per call. But the server may close or forget it while it is
idle, which leaves unknown whether a call on it ran, and a surplus response may arrive on it at any time and be taken
for the response to the next call.
"""
from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from ..interface import Outcome
from .buffers import BufferPool, IncompleteMessageError, Stream, set_socket_timeout
from .config import Address
from .counters import Counters
from .http import HttpError, Response, encode_request, read_response

CONNECT_FAILURE_DELAY_S = 0.02  # delay after a failed connection attempt
REPLY_GRACE_S = 0.02  # wait after the time limit, so that the ledger's response about its time-out can arrive

# registers the function that cancels the call, or None; returns False if the call must not be made
RegisterCancel = Callable[[Callable[[], None] | None], bool]


class LedgerClient:
    """Makes downstream calls; at most `max_calls` at a time, since each needs a descriptor.

    Without an address no call is made; each one counts as a failed connection.
    """

    def __init__(self, address: Address | None, max_calls: int, pool: BufferPool, counters: Counters,
                 log: Any) -> None:
        self.address, self.pool, self.counters, self.log = address, pool, counters, log
        self.slots = threading.BoundedSemaphore(max_calls)

    def set_address(self, address: Address | None) -> None:
        """Uses another address for later calls; None if there is no ledger."""
        self.address = address

    def post(self, request_id: str, limit_us: int, body: bytes, register: RegisterCancel) -> tuple[Outcome, bytes]:
        """Makes one call and returns its outcome and the body of the response.

        `limit_us`: time limit in microseconds. `register` receives the function that cancels the call, and None once
        the call can no longer be cancelled; if it returns False, the call is not made.
        """
        deadline = time.monotonic() + limit_us / 1e6 + REPLY_GRACE_S
        if not self.slots.acquire(blocking=False):
            return self._count(Outcome.FULL), b""  # the descriptors allow no more calls
        address = self.address
        try:
            sock, buffer = socket.socket(socket.AF_INET, socket.SOCK_STREAM), self.pool.acquire()
        except (OSError, MemoryError):  # no descriptor or no memory: nothing was sent
            self.slots.release()
            return self._count(Outcome.FULL), b""
        try:
            if not register(lambda: _cancel(sock)):
                return self._count(Outcome.CANCELLED), b""
            if address is None or not self._connect(sock, address, deadline):
                # while the ledger is down, an RPC that retries its call would otherwise use a whole core
                time.sleep(max(0.0, min(CONNECT_FAILURE_DELAY_S, deadline - time.monotonic())))
                return self._count(Outcome.CONNECT_FAILED), b""
            headers = {"X-Txn-Ref": request_id, "X-Limit-Ms": str(max(1, limit_us // 1000)), "Connection": "close"}
            sock.sendall(encode_request("POST", "/post", f"{address[0]}:{address[1]}", headers, body))
            reply = read_response(Stream(sock, buffer), deadline)
            return self._count(self._outcome_of(reply)), reply.body
        except (TimeoutError, BlockingIOError):
            return self._count(Outcome.TIMEOUT), b""
        except HttpError as error:
            self.log.warning("malformed response from the ledger", why=str(error))
            self.counters.add("ledger.garbage")
            return self._count(Outcome.RESET), b""
        except (OSError, IncompleteMessageError):
            return self._count(Outcome.RESET), b""
        finally:
            register(None)  # the socket is closed below and must not be shut down any more
            self.pool.release(buffer)
            sock.close()
            self.slots.release()

    def _connect(self, sock: socket.socket, address: Address, deadline: float) -> bool:
        """Returns whether the connection was established; if not, the call has certainly not run."""
        try:
            set_socket_timeout(sock, socket.SO_SNDTIMEO, max(0.001, deadline - time.monotonic()))
            sock.connect(address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            return False
        self.counters.add("ledger.connections")
        return True

    def _outcome_of(self, reply: Response) -> Outcome:
        """Maps a response to an outcome; X-Untouched states that the call had no effect."""
        untouched = reply.fields.get("x-untouched") == "1"
        if reply.status == 503 and untouched:
            return Outcome.FULL
        if reply.status == 409 and untouched:
            return Outcome.MOOT
        return {200: Outcome.OK, 504: Outcome.TIMEOUT}.get(reply.status, Outcome.ERROR)

    def _count(self, outcome: Outcome) -> Outcome:
        self.counters.add(f"ledger.{outcome.name.lower()}")
        return outcome


def _cancel(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
