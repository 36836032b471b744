"""When an instance does what many would else do at once: its turn is drawn over a budget of the whole fleet."""
from __future__ import annotations

import random

# what the whole fleet may ask for a second while it comes back, whatever its size
BUDGETS = {"exchange": 200.0, "fetch": 50.0, "report": 400.0}


class Turns:
    """When this instance does what many would else do at once."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)

    def wait(self, what: str, contenders: int) -> int:
        """Microseconds: drawn evenly over the time that all contenders need at the fleet's budget.

        >>> turns = Turns(1)
        >>> all(0 <= turns.wait("report", 300) <= 750_000 for _ in range(100)), turns.wait("report", 1) <= 2500
        (True, True)
        """
        return int(self.chance.random() * max(1, contenders) / BUDGETS[what] * 1e6)
