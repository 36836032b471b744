"""The queue of gossip: each update is sent a bounded number of times, the least often sent first."""
from __future__ import annotations

from math import ceil, log2

from .records import Update


class UpdateQueue:
    """The latest update about each member; an update that was sent often enough is dropped.

    As in SWIM, an update is sent `retransmit_factor` times the binary logarithm of the number of members. It then
    reaches all members with high probability, even if a few datagrams are lost. Updates are grouped by how often they
    were sent, so that the cost of selecting a few does not grow with the length of the queue.
    """

    def __init__(self, retransmit_factor: int) -> None:
        self.retransmit_factor = retransmit_factor
        self.by_transmissions: list[dict[str, Update]] = [{}]  # by how often they were sent
        self.transmissions: dict[str, int] = {}  # how often the update about a member was sent

    def __len__(self) -> int:
        return len(self.transmissions)

    def max_transmissions(self, members: int) -> int:
        """Returns how often an update is sent in a fleet of this size."""
        return self.retransmit_factor * ceil(log2(members + 1))

    def add(self, update: Update) -> None:
        """Adds an update; it replaces an earlier one about the same member."""
        name = update.record.name
        self.drop(name)
        self.by_transmissions[0][name] = update
        self.transmissions[name] = 0

    def drop(self, name: str) -> None:
        """Removes the update about a member, if there is one."""
        sent = self.transmissions.pop(name, None)
        if sent is not None:
            del self.by_transmissions[sent][name]

    def take(self, max_bytes: int, members: int, first: Update | None = None) -> list[Update]:
        """Selects updates that fit into `max_bytes`. `first` precedes them; sending it is not counted."""
        chosen: list[Update] = []
        remaining = max_bytes
        skipped_name = ""
        if first is not None:
            remaining -= max_encoded_size(first)
            chosen.append(first)
            skipped_name = first.record.name
        limit, counted = self.max_transmissions(members), []
        for sent, updates in enumerate(self.by_transmissions):
            for name, update in updates.items():
                if name == skipped_name:
                    continue
                if max_encoded_size(update) > remaining:
                    break
                remaining -= max_encoded_size(update)
                chosen.append(update)
                counted.append((sent, name, update))
            else:
                continue
            break
        for sent, name, update in counted:
            del self.by_transmissions[sent][name]
            if sent + 1 >= limit:
                del self.transmissions[name]
                continue
            if sent + 1 == len(self.by_transmissions):
                self.by_transmissions.append({})
            self.by_transmissions[sent + 1][name] = update
            self.transmissions[name] = sent + 1
        return chosen


def max_encoded_size(update: Update) -> int:
    """Returns an upper bound of the bytes of the encoded update."""
    return update.record.max_encoded_size() + len(update.reporter) + 4
