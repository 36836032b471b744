"""Stand-ins for a ledger and a control plane that always work."""
from __future__ import annotations

import json
import time

from ..service.http import Request
from .server import Address, HttpServer, reply


class FixedLatencyLedger(HttpServer):
    """A ledger that answers every call after the same time, and counts the calls."""

    def __init__(self, latency_s: float = 0.005) -> None:
        self.latency_s, self.calls = latency_s, 0
        super().__init__()

    def handle_request(self, request: Request) -> bytes:
        """Answers one call."""
        time.sleep(self.latency_s)
        self.calls += 1
        return reply(200, b"posted")


class ControlPlane(HttpServer):
    """A control plane that keeps the last report of each instance, and lists the ready instances on GET."""

    REPORT_LIFETIME_S = 3.0

    def __init__(self, address: Address | None = None) -> None:
        self.reported: dict[str, str] = {}
        self.reported_at: dict[str, float] = {}
        super().__init__(address=address)

    def handle_request(self, request: Request) -> bytes:
        """Returns the list, or stores a report."""
        if request.verb == "GET":
            return reply(200, json.dumps(self.ready_instances()).encode())
        name = request.path.rpartition("/")[2]
        self.reported[name], self.reported_at[name] = json.loads(request.body)["condition"], time.monotonic()
        return reply(204)

    def ready_instances(self) -> list[str]:
        """Returns the names of instances that reported Ready within `REPORT_LIFETIME_S`."""
        now = time.monotonic()
        return sorted(name for name, condition in list(self.reported.items())
                      if condition == "Ready" and now - self.reported_at[name] < self.REPORT_LIFETIME_S)
