"""Who should have how much: weighted max-min over what each could use, in whole units; and how far a word is
believed.

Progressive filling (Bertsekas and Gallager, "Data Networks", 1987, 6.5): all grow in proportion to their weights
until each has what it needs. What is left over then is spread as room to grow, so that a burst needs no question.
"""
from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

SHOWN, FIRST = 2, 2  # times what it used that a process may need; units that need no showing
STILL = 0.1  # share by which a need may fall while it counts as still
FADES = 0.7  # of a need that falls is kept a question: a lull gives no units away at once


class Want(NamedTuple):
    """`who` orders those that are alike, so that the same wants are divided the same way."""

    who: tuple[str, int]
    need: int
    weight: float


def divided(room: int, wants: Iterable[Want]) -> dict[tuple[str, int], int]:
    """Never more than `room` in all; what exceeds all needs is spread by them.

    >>> a, b, c = ("a", 1), ("b", 1), ("c", 1)
    >>> divided(10, [Want(a, 2, 1.0), Want(b, 9, 1.0), Want(c, 9, 1.0)])
    {('a', 1): 2, ('b', 1): 4, ('c', 1): 4}
    >>> divided(9, [Want(a, 9, 2.0), Want(b, 9, 1.0)])
    {('a', 1): 6, ('b', 1): 3}
    >>> divided(10, [Want(a, 0, 1.0), Want(b, 2, 1.0)])
    {('a', 1): 2, ('b', 1): 8}
    """
    rows = sorted(wants, key=lambda want: (want.need / want.weight if want.weight > 0 else 0.0, want.who))
    exact: dict[tuple[str, int], float] = {}
    left, weights = float(max(0, room)), sum(want.weight for want in rows)
    for want in rows:
        level = left / weights if weights > 1e-12 else 0.0
        exact[want.who] = given = min(float(want.need), level * want.weight)
        left -= given
        weights -= want.weight
    if left > 1e-9 and rows:
        total = sum(want.need + 1 for want in rows)
        for want in rows:
            exact[want.who] += left * (want.need + 1) / total
    return _whole(max(0, room), exact)


def _whole(room: int, exact: dict[tuple[str, int], float]) -> dict[tuple[str, int], int]:
    """Whole units by the largest remainders."""
    found = {who: int(units + 1e-9) for who, units in exact.items()}
    spare = min(room, round(sum(exact.values()))) - sum(found.values())
    for who in sorted(exact, key=lambda who: (found[who] - exact[who], who))[:max(0, spare)]:
        found[who] += 1
    return dict(sorted(found.items()))


def believed(said: int, used: int, given: int, before: int) -> int:
    """What a need counts for. `used`: what the asker says it uses, no more than it was `given`; `before`: what its
    need counted for so far.

    One that asks for everything gets no more than it can show; a small need needs no showing.

    >>> believed(100, 0, 0, 0), believed(100, 4, 8, 0), believed(100, 40, 8, 0)
    (2, 10, 18)
    >>> believed(11, 9, 12, 10), believed(9, 9, 12, 10), believed(3, 3, 12, 10)
    (11, 10, 7)
    """
    need = min(said, SHOWN * min(used, max(given, FIRST)) + FIRST)
    if need >= before:
        return need
    return before if before - need <= STILL * before else max(need, int(FADES * before))
