"""What is yet to be told: each piece a bounded number of times, the least told first."""
from __future__ import annotations

from math import ceil, log2

from .records import News


class Gazette:
    """One piece a member, the latest; what is told often enough is dropped.

    A piece goes out `spread` times the binary logarithm of the members, as SWIM has it: that infects all with
    high probability, whatever a few losses do. Pieces are kept by how often they were told, so that choosing a
    few costs no more where thousands wait.
    """

    def __init__(self, spread: int) -> None:
        self.spread = spread
        self.told: list[dict[str, News]] = [{}]  # by the number of times
        self.at: dict[str, int] = {}  # the number of times of a member's piece

    def __len__(self) -> int:
        return len(self.at)

    def limit(self, members: int) -> int:
        return self.spread * ceil(log2(members + 1))

    def add(self, piece: News) -> None:
        name = piece.record.name
        self.drop(name)
        self.told[0][name] = piece
        self.at[name] = 0

    def drop(self, name: str) -> None:
        times = self.at.pop(name, None)
        if times is not None:
            del self.told[times][name]

    def take(self, room: int, members: int, first: News | None = None) -> list[News]:
        """Pieces that fit into `room` bytes; `first` goes before them and counts as told to nobody."""
        chosen: list[News] = []
        skip = ""
        if first is not None:
            room -= cost(first)
            chosen.append(first)
            skip = first.record.name
        limit, moves = self.limit(members), []
        for times, pieces in enumerate(self.told):
            for name, piece in pieces.items():
                if name == skip:
                    continue
                if cost(piece) > room:
                    break
                room -= cost(piece)
                chosen.append(piece)
                moves.append((times, name, piece))
            else:
                continue
            break
        for times, name, piece in moves:
            del self.told[times][name]
            if times + 1 >= limit:
                del self.at[name]
                continue
            if times + 1 == len(self.told):
                self.told.append({})
            self.told[times + 1][name] = piece
            self.at[name] = times + 1
        return chosen


def cost(piece: News) -> int:
    """Bytes of an encoded piece, never too few."""
    return piece.record.size() + len(piece.by) + 4
