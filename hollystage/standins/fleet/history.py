"""Histories: JSON lines that the processes of a run write, dated by the monotonic clock that they share."""
from __future__ import annotations

import json
import os
import threading
import time
from typing import Any

Line = dict[str, Any]  # t: microseconds; who: the party; what: the kind of entry; further keys by kind


class History:
    """The history file of one party. `write` may be called from several threads."""

    def __init__(self, folder: str, party: str) -> None:
        self.party, self.lock = party, threading.Lock()
        self.file = open(os.path.join(folder, f"{party}.jsonl"), "a", buffering=1)  # noqa: SIM115  # never closed

    def write(self, what: str, who: str = "", **more: Any) -> None:
        """Appends an entry; `who` is the party that it is about, by default the writer."""
        line = json.dumps({"t": time.monotonic_ns() // 1000, "who": who or self.party, "what": what} | more)
        with self.lock:
            self.file.write(line + "\n")


def read_histories(folder: str) -> list[Line]:
    """Returns the entries of all histories in a folder, by time; skips incomplete lines of killed processes."""
    lines: list[Line] = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".jsonl"):
            with open(os.path.join(folder, name)) as file:
                for text in file:
                    if text.endswith("\n"):
                        lines.append(json.loads(text))
    lines.sort(key=lambda line: line["t"])
    return lines
