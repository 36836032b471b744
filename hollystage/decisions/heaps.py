"""Heaps whose entries may be out of date: these are removed together, before they are most of the heap."""
from __future__ import annotations

from collections.abc import Callable
from heapq import heapify
from typing import Any, TypeVar

EntryT = TypeVar("EntryT", bound=tuple[Any, ...])
MIN_OUTDATED = 64  # entries


def drop_outdated(heap: list[EntryT], needed: int, is_needed: Callable[[EntryT], bool]) -> None:
    """Removes the entries that are not needed if they may be more than half of the heap.

    Called before each push, this bounds the heap by twice the needed entries, at a constant mean cost of one push.

    `needed`: an upper bound of the number of needed entries.

    >>> heap = [(number, "") for number in range(100)]
    >>> drop_outdated(heap, 18, lambda entry: entry[0] % 25 == 0)
    >>> len(heap)
    100
    >>> drop_outdated(heap, 4, lambda entry: entry[0] % 25 == 0)
    >>> sorted(heap)
    [(0, ''), (25, ''), (50, ''), (75, '')]
    """
    if len(heap) > 2 * needed + MIN_OUTDATED:
        heap[:] = [entry for entry in heap if is_needed(entry)]
        heapify(heap)
