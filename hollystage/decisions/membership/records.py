"""The records that members exchange about each other, and the rule that decides which of two records wins.

A record describes one process: its name, its address, whether it is believed to be alive, and the status that it
publishes about itself. Gossip and full syncs carry nothing but records.

Two records of a member are compared by a tuple (`Record.precedence`). A later boot wins over an earlier one,
whatever was reported about the earlier one; within a boot the higher incarnation wins, which only the process itself
raises; within an incarnation the worse belief wins. The result depends neither on the order in which records arrive
nor on repetitions.
"""
from __future__ import annotations

import re
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

import msgspec

MAX_GENERATIONS, MAX_EXTRA_BYTES = 8, 64  # numbers in a status; bytes of its `extra` field
match_name = re.compile(r"[A-Za-z0-9._-]{1,64}").fullmatch
match_address = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}").fullmatch  # a host name would need a DNS lookup
MAX_FIXED_BYTES = 80  # bytes of a record without its strings: numbers of up to nine bytes and headers


class Belief(IntEnum):
    """The believed state of a member, in the order of `Record.precedence`."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Stage(IntEnum):
    """The lifecycle stage that a process publishes about itself."""

    STARTING = 0
    COLD = 1
    SERVING = 2
    DRAINING = 3
    LEFT = 4


LIVING = (Belief.ALIVE, Belief.SUSPECT)


class MemberStatus(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The status that a process publishes about itself.

    `version`: grows with each change, within one boot. `plan`: the first 32 bits of the hash of its plan.
    `generations`: numbers that never decrease, by position. `age`: seconds since its statistics were learned; 0 if it
    learns them itself. `extra`: bounded data of leases and zones. `pressure`: 0 to 3, a level of the share of
    rejected RPCs. `machine`: fingerprint of the kind of machine.
    """

    version: int = 0
    stage: int = Stage.STARTING
    plan: int = 0
    generations: tuple[int, ...] = ()
    age: int = 0
    extra: bytes = b""
    pressure: int = 0
    machine: int = 0


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One process. `birth` is a random 62-bit number that distinguishes processes with equal name and boot number."""

    name: str
    zone: str
    address: str  # host:port at which peers reach it
    boot: int
    birth: int
    incarnation: int = 0
    belief: int = Belief.ALIVE
    status: MemberStatus = MemberStatus()

    @property
    def process(self) -> tuple[int, int]:
        """Orders the processes with the same name: the later one is greater."""
        return self.boot, self.birth

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """The greater one wins. LEFT wins over any incarnation, as the process itself publishes it."""
        left = self.belief == Belief.LEFT
        return self.boot, self.birth, (1 << 62) if left else self.incarnation, self.belief

    @property
    def living(self) -> bool:
        """Whether the member is believed to be alive, or is only suspected."""
        return self.belief <= Belief.SUSPECT

    def max_encoded_size(self) -> int:
        """Returns an upper bound of the bytes of the encoded record."""
        return MAX_FIXED_BYTES + len(self.name) + len(self.zone) + len(self.address) + len(self.status.extra) + (
            9 * len(self.status.generations))

    def is_valid(self) -> bool:
        """Returns whether all fields are within the bounds that every sender must observe."""
        status = self.status
        return (_valid_identity(self.name, self.zone, self.address) and 0 <= self.boot < 1 << 62
                and 0 <= self.birth < 1 << 62 and 0 <= self.incarnation < 1 << 61 and 0 <= self.belief <= 3
                and 0 <= status.version < 1 << 62 and 0 <= status.stage <= 4 and 0 <= status.plan < 1 << 32
                and 0 <= status.pressure <= 3 and 0 <= status.machine < 1 << 32
                and 0 <= status.age < 1 << 40 and len(status.extra) <= MAX_EXTRA_BYTES
                and len(status.generations) <= MAX_GENERATIONS
                and all(0 <= number < 1 << 62 for number in status.generations))


@lru_cache(maxsize=4096)
def _valid_identity(name: str, zone: str, address: str) -> bool:
    """Returns whether the strings are well-formed. Keeps any text of a modified peer out of logs and tables."""
    return bool(match_name(name) and (not zone or match_name(zone)) and match_address(address))


class Update(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record in transit and the member that reported it; for a suspicion, the member that got no answer."""

    record: Record
    reporter: str


class View(NamedTuple):
    """An immutable snapshot of one member's records, which is read without a lock.

    `fresh`: whether the view was confirmed by other members since the last pause of the process. `ousted`: whether a
    later process has its name.
    """

    taken_at: int
    me: Record
    others: dict[str, Record]
    fresh: bool
    ousted: bool

    def living(self) -> list[Record]:
        """Returns all members that are not lost or left, including this one, sorted by name."""
        live = [record for record in self.others.values() if record.living]
        return sorted([*live, self.me], key=lambda record: record.name)


def merge(old: Record, new: Record) -> Record:
    """Returns the record to keep: the belief with the higher precedence, and the status with the higher version.

    The record of a later process replaces that of an earlier one.

    >>> old = Record("a", "z", "h:1", 5, 1, 2, Belief.SUSPECT, MemberStatus(7, Stage.SERVING))
    >>> result = merge(old, Record("a", "z", "h:1", 5, 1, 2, Belief.ALIVE, MemberStatus(8, Stage.DRAINING)))
    >>> result.belief == Belief.SUSPECT, result.status.stage == Stage.DRAINING
    (True, True)
    >>> merge(old, Record("a", "z", "h:1", 4, 9, 99, Belief.LEFT)) is old
    True
    """
    if new.process < old.process:
        return old
    if new.process > old.process:
        return new
    status = new.status if new.status.version > old.status.version else old.status
    winner = new if new.precedence > old.precedence else old
    return winner if winner.status is status else msgspec.structs.replace(winner, status=status)
