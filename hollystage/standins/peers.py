"""The ledger and the control plane as they are on a good day."""
from __future__ import annotations

import json
import time

from ..service.http import Request
from .server import Address, Http, reply


class SteadyLedger(Http):
    """Takes the same time (seconds) for every call; counts them."""

    def __init__(self, takes_s: float = 0.005) -> None:
        self.takes_s, self.calls = takes_s, 0
        super().__init__()

    def answer(self, request: Request) -> bytes:
        time.sleep(self.takes_s)
        self.calls += 1
        return reply(200, b"posted")


class ControlPlane(Http):
    """Remembers what each instance last reported."""

    LAPSES_S = 3.0

    def __init__(self, address: Address | None = None) -> None:
        self.reported: dict[str, str] = {}
        self.at: dict[str, float] = {}
        super().__init__(address=address)

    def answer(self, request: Request) -> bytes:
        if request.verb == "GET":
            return reply(200, json.dumps(self.listed()).encode())
        name = request.path.rpartition("/")[2]
        self.reported[name], self.at[name] = json.loads(request.body)["condition"], time.monotonic()
        return reply(204)

    def listed(self) -> list[str]:
        """Those that take work, as far as they reported lately."""
        now = time.monotonic()
        return sorted(name for name, condition in list(self.reported.items())
                      if condition == "Ready" and now - self.at[name] < self.LAPSES_S)
