"""Starts threads with a stack of the size that they need."""
from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

CONNECTION_STACK_BYTES = 256 * 1024  # small, since there may be a thousand; such a thread decodes nothing nested
# for threads that decode JSON, MessagePack or scripts, whose decoders nest up to a thousand values on the stack; only
# the part that is used takes memory
DECODER_STACK_BYTES = 8 * 1024 * 1024
SIZE_LOCK = threading.Lock()  # the size is a setting of the whole process


def start_thread(target: Callable[..., Any], *arguments: Any, name: str = "",
                 stack_bytes: int = DECODER_STACK_BYTES) -> threading.Thread:
    """Starts a daemon thread and returns it. Other threads that start meanwhile may get the same stack size.

    Raises:
        RuntimeError: no thread can be started.
    """
    thread = threading.Thread(target=target, args=arguments, name=name or target.__qualname__, daemon=True)
    with SIZE_LOCK:
        previous = threading.stack_size(stack_bytes)
        try:
            thread.start()
        finally:
            threading.stack_size(previous)
    return thread
