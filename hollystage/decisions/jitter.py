"""Random start delays, which spread requests that many instances would otherwise send at the same time."""
from __future__ import annotations

import random

# requests per second that the whole fleet may send while it restarts, whatever its size
FLEET_RATES = {"exchange": 200.0, "fetch": 50.0, "report": 400.0}


class StartJitter:
    """Draws start delays from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def delay(self, operation: str, contenders: int) -> int:
        """Returns a delay in microseconds, uniform over the time that all contenders need at the fleet's rate.

        >>> jitter = StartJitter(1)
        >>> all(0 <= jitter.delay("report", 300) <= 750_000 for _ in range(100)), jitter.delay("report", 1) <= 2500
        (True, True)
        """
        return int(self.random.random() * max(1, contenders) / FLEET_RATES[operation] * 1e6)
