"""The log: one line an event on standard error, by structlog."""
from __future__ import annotations

import sys
import threading
import time
from typing import TextIO

import structlog
from structlog.typing import EventDict

EACH_S, BURST = 1.0, 5  # of one event, so many lines a second: guards the log against hostile input
ERRORS = 20  # the same for errors, each of which may be the only trace of a fault


class Bounded:
    """Drops what repeats too often, and says how many were dropped with the next line of its kind."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.seen: dict[str, tuple[float, int]] = {}

    def __call__(self, _: object, level: str, event: EventDict) -> EventDict:
        kind, now = str(event.get("event")), time.monotonic()
        with self.lock:
            since, count = self.seen.get(kind, (now, 0))
            most = ERRORS if level in ("error", "critical") else BURST
            if now - since > EACH_S:
                if count > most:
                    event["left_out"] = count - most
                since, count = now, 0
            self.seen[kind] = since, count + 1
        if count >= most:
            raise structlog.DropEvent
        return event


def setup(name: str, file: TextIO | None = sys.stderr) -> structlog.typing.FilteringBoundLogger:
    """`file` None for no log."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            Bounded(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"],
                                                bool_as_flag=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=structlog.WriteLoggerFactory(file=file) if file else structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=True)
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(instance=name)
    return log
