"""A client connection for tests, and a load generator that sends RPCs and counts their outcomes."""
from __future__ import annotations

import itertools
import random
import secrets
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from ..service.buffers import IncompleteMessageError, Stream
from ..service.http import HttpError, Response, encode_request, read_response
from .server import Address

REQUEST_NUMBERS = itertools.count(1)


class Caller:
    """One client connection. Each RPC gets a new request id unless one is given."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address)
        self.stream = Stream(self.sock, bytearray(1 << 14))
        self.request_id = ""

    def send(self, method: str = "lookup", body: bytes = b"", request_id: str | None = None,
             **fields: str | None) -> Caller:
        """Sends an RPC without waiting for its response.

        Args:
            fields: header fields, with underscores for hyphens; None omits a field that is sent by default
        """
        self.request_id = request_id or f"{next(REQUEST_NUMBERS):016x}"
        usual = {"X-Request-Id": self.request_id, "X-Request-Start": str(int(time.time() * 1000)), "X-Caller": "4",
                 "X-Timeout-Ms": "3000", "X-Memory-Kb": "10.5"}
        head = usual | {name.replace("_", "-"): value for name, value in fields.items()}
        self.sock.sendall(encode_request("POST", f"/svc/{method}", "service.internal",
                                        {name: value for name, value in head.items() if value is not None}, body))
        return self

    def receive(self) -> Response:
        """Reads the next response, which must arrive within 5 s."""
        return read_response(self.stream, time.monotonic() + 5)

    def request(self, method: str = "lookup", body: bytes = b"", request_id: str | None = None,
            **fields: str | None) -> Response:
        """Sends an RPC and reads its response."""
        return self.send(method, body, request_id, **fields).receive()

    def wait_closed(self) -> bool:
        """Waits up to 5 s and returns True once the peer has closed the connection, False if it sends more bytes.

        Raises:
            TimeoutError: neither happened in time.
        """
        self.sock.settimeout(5)
        return self.sock.recv(1) == b""


@dataclass(slots=True)
class MethodResults:
    """Results of one method's RPCs: the number sent, the count of each outcome, and latencies of successful RPCs."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Traffic:
    """RPCs of one method: total rate per second, spread evenly over `clients` connections."""

    method: str
    rate: float
    deadline_s: float
    keyed: bool = False
    clients: int = 8


class LoadGenerator:
    """Sends RPCs at random intervals (Poisson arrivals) with one thread per client, until stopped."""

    def __init__(self, address: Address, traffic: list[Traffic], seed: int = 1) -> None:
        self.address, self.traffic = address, traffic
        self.results = {one.method: MethodResults() for one in traffic}
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self._run_client, args=(one, seed * 1000 + number), daemon=True)
                        for one in traffic for number in range(one.clients)]

    def start(self) -> None:
        """Starts all clients."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stops all clients and waits up to 10 s for each to end its RPC."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(timeout=10)

    def _run_client(self, traffic: Traffic, seed: int) -> None:
        rng = random.Random(seed)
        caller: Caller | None = None
        while not self.stopped.wait(rng.expovariate(traffic.rate / traffic.clients)):
            started_at = time.monotonic()
            key = secrets.token_hex(16)
            try:
                if caller is None:
                    caller = Caller(self.address)
                response = caller.request(traffic.method, key.encode(),
                                          Idempotency_Key=key if traffic.keyed else None,
                                          X_Caller=str(seed % 10 ** 9),
                                          X_Timeout_Ms=str(int(traffic.deadline_s * 1000)))
                outcome = {200: "ok", 503: "pushed back", 500: "aborted"}.get(response.status,
                                                                              f"status {response.status}")
                if outcome == "ok" and response.body != b"ran " + key.encode():
                    outcome = "wrong result"
                if not response.keep_alive:
                    caller.sock.close()
                    caller = None
            except (OSError, IncompleteMessageError, HttpError) as error:
                outcome, caller = f"lost: {type(error).__name__}", None
            with self.lock:
                result = self.results[traffic.method]
                result.sent += 1
                result.outcomes[outcome] += 1
                if outcome == "ok":
                    result.latencies_s.append(time.monotonic() - started_at)
        if caller is not None:
            caller.sock.close()
