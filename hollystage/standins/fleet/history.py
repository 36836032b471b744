"""What one party saw, as JSON lines with the machine's one monotonic clock; and the lines of all, in order."""
from __future__ import annotations

import json
import os
import threading
import time
from typing import Any

Line = dict[str, Any]  # t: microseconds, who: the party, what: the kind of line, and what belongs to it


class History:
    def __init__(self, folder: str, party: str) -> None:
        self.party, self.lock = party, threading.Lock()
        self.file = open(os.path.join(folder, f"{party}.jsonl"), "a", buffering=1)  # noqa: SIM115  # open for good

    def write(self, what: str, who: str = "", **more: Any) -> None:
        line = json.dumps({"t": time.monotonic_ns() // 1000, "who": who or self.party, "what": what} | more)
        with self.lock:
            self.file.write(line + "\n")


def read(folder: str) -> list[Line]:
    """A line that a kill cut short is left out."""
    lines: list[Line] = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".jsonl"):
            with open(os.path.join(folder, name)) as file:
                for text in file:
                    if text.endswith("\n"):
                        lines.append(json.loads(text))
    lines.sort(key=lambda line: line["t"])
    return lines
