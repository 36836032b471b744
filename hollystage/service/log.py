"""The log: one logfmt line per event on standard error, written by structlog."""
from __future__ import annotations

import sys
import threading
import time
from typing import TextIO

import structlog
from structlog.typing import EventDict

RATE_WINDOW_S, MAX_LINES = 1.0, 5  # lines of one event per window: hostile input must not flood the log
MAX_ERROR_LINES = 20  # higher for errors, since each may be the only trace of a fault


class RateLimiter:
    """A structlog processor that limits the lines of an event; the first one after a window has the dropped count."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.windows: dict[str, tuple[float, int]] = {}

    def __call__(self, _: object, level: str, event: EventDict) -> EventDict:
        name, now = str(event.get("event")), time.monotonic()
        with self.lock:
            since, count = self.windows.get(name, (now, 0))
            max_lines = MAX_ERROR_LINES if level in ("error", "critical") else MAX_LINES
            if now - since > RATE_WINDOW_S:
                if count > max_lines:
                    event["left_out"] = count - max_lines
                since, count = now, 0
            self.windows[name] = since, count + 1
        if count >= max_lines:
            raise structlog.DropEvent
        return event


def setup(name: str, file: TextIO | None = sys.stderr) -> structlog.typing.FilteringBoundLogger:
    """Configures structlog and returns a logger bound to the instance's name; `file` None turns the log off."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            RateLimiter(),
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
