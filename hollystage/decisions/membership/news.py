"""The queue of gossip: each update is sent a bounded number of times, the least often sent first."""
from __future__ import annotations

from math import ceil, log2

from .records import News


class Gazette:
    """The latest update about each member; an update that was sent often enough is dropped.

    As in SWIM, an update is sent `retransmit_factor` times the binary logarithm of the number of members. It then
    reaches all members with high probability, even if a few datagrams are lost. Updates are grouped by how often they
    were sent, so that the cost of selecting a few does not grow with the length of the queue.
    """

    def __init__(self, retransmit_factor: int) -> None:
        self.spread = retransmit_factor
        self.told: list[dict[str, News]] = [{}]  # index: how often they were sent
        self.at: dict[str, int] = {}  # how often the update about a member was sent

    def __len__(self) -> int:
        return len(self.at)

    def limit(self, members: int) -> int:
        """Returns how often an update is sent in a fleet of this size."""
        return self.spread * ceil(log2(members + 1))

    def add(self, update: News) -> None:
        """Adds an update; it replaces an earlier one about the same member."""
        name = update.record.name
        self.drop(name)
        self.told[0][name] = update
        self.at[name] = 0

    def drop(self, name: str) -> None:
        """Removes the update about a member, if there is one."""
        sent = self.at.pop(name, None)
        if sent is not None:
            del self.told[sent][name]

    def take(self, room: int, members: int, first: News | None = None) -> list[News]:
        """Selects updates that fit into `room` bytes. `first` precedes them; sending it is not counted."""
        chosen: list[News] = []
        skipped_name = ""
        if first is not None:
            room -= cost(first)
            chosen.append(first)
            skipped_name = first.record.name
        limit, counted = self.limit(members), []
        for sent, updates in enumerate(self.told):
            for name, update in updates.items():
                if name == skipped_name:
                    continue
                if cost(update) > room:
                    break
                room -= cost(update)
                chosen.append(update)
                counted.append((sent, name, update))
            else:
                continue
            break
        for sent, name, update in counted:
            del self.told[sent][name]
            if sent + 1 >= limit:
                del self.at[name]
                continue
            if sent + 1 == len(self.told):
                self.told.append({})
            self.told[sent + 1][name] = update
            self.at[name] = sent + 1
        return chosen


def cost(update: News) -> int:
    """Returns an upper bound of the bytes of the encoded update."""
    return update.record.size() + len(update.by) + 4
