"""What instances tell each other of one another: records, and which of two records counts.

A record is what is held of one process: who it is, where it is reached, whether it is believed to live, and the
digest that it says of itself. Everything that travels is made of records; nothing else is gossiped.

Who counts over whom is one comparison of tuples (`Record.weight`): a later boot over an earlier one, whatever was
said of the earlier; within a boot the greater incarnation, which only the process itself raises; within an
incarnation the worse news. So no order of arrival and no repeat changes what a member believes in the end.
"""
from __future__ import annotations

import re
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

import msgspec

MOST_GENERATIONS, MOST_EXTRA = 8, 64  # numbers of a digest; bytes that further parts may add to it
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}").fullmatch
PLACE = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}").fullmatch  # nobody waits for a name look-up
FIXED = 80  # bytes of a record beside its strings, at the most: numbers of up to nine bytes and their heads


class Belief(IntEnum):
    """What is held of a member; the order is that of `Record.weight`."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Stage(IntEnum):
    """Where a process is in its life, as it says itself."""

    STARTING = 0
    COLD = 1
    SERVING = 2
    DRAINING = 3
    LEFT = 4


LIVING = (Belief.ALIVE, Belief.SUSPECT)


class Digest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a process says of itself. `version` grows with each change and counts within one boot only.

    `plan`: the first 32 bits of its plan's digest; `generations`: numbers that never fall, by position;
    `age`: seconds since what it goes by was learned, 0 for what it learns itself; `extra`: what leases and
    zones add, bounded; `pressure`: 0 to 3, how much is pushed back; `machine`: a mark of its kind of machine.
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
    """One process. `birth` is a random number of 62 bits: two processes under one name and boot differ in it."""

    name: str
    zone: str
    address: str  # host:port, where others reach it
    boot: int
    birth: int
    incarnation: int = 0
    belief: int = Belief.ALIVE
    digest: Digest = Digest()

    @property
    def process(self) -> tuple[int, int]:
        """Orders the processes of one name: the greater is the later."""
        return self.boot, self.birth

    @property
    def weight(self) -> tuple[int, int, int, int]:
        """The greater counts. What left said so itself: no incarnation of it comes after that."""
        left = self.belief == Belief.LEFT
        return self.boot, self.birth, (1 << 62) if left else self.incarnation, self.belief

    @property
    def living(self) -> bool:
        return self.belief <= Belief.SUSPECT

    def size(self) -> int:
        """Bytes of the encoded record, never too few."""
        return FIXED + len(self.name) + len(self.zone) + len(self.address) + len(self.digest.extra) + (
            9 * len(self.digest.generations))

    def sane(self) -> bool:
        """Whether its fields are within their bounds, which its sender is to keep."""
        digest = self.digest
        return (_formed(self.name, self.zone, self.address) and 0 <= self.boot < 1 << 62
                and 0 <= self.birth < 1 << 62 and 0 <= self.incarnation < 1 << 61 and 0 <= self.belief <= 3
                and 0 <= digest.version < 1 << 62 and 0 <= digest.stage <= 4 and 0 <= digest.plan < 1 << 32
                and 0 <= digest.pressure <= 3 and 0 <= digest.machine < 1 << 32
                and 0 <= digest.age < 1 << 40 and len(digest.extra) <= MOST_EXTRA
                and len(digest.generations) <= MOST_GENERATIONS
                and all(0 <= number < 1 << 62 for number in digest.generations))


@lru_cache(maxsize=4096)
def _formed(name: str, zone: str, address: str) -> bool:
    """Guards logs and tables against what an altered program might call itself."""
    return bool(NAME(name) and (not zone or NAME(zone)) and PLACE(address))


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record on its way, and who vouches for it: of suspicions, who saw no answer."""

    record: Record
    by: str


class View(NamedTuple):
    """What one member holds of all, at one moment; never changed, so that it is read without a lock.

    `fresh`: whether it has heard of the others since it last slept; `ousted`: another process has its name.
    """

    at: int
    me: Record
    others: dict[str, Record]
    fresh: bool
    ousted: bool

    def living(self) -> list[Record]:
        """All that are not known to be gone, this one among them, by name."""
        found = [record for record in self.others.values() if record.living]
        return sorted([*found, self.me], key=lambda record: record.name)


def merged(old: Record, new: Record) -> Record:
    """What is held after `new` is heard: belief and digest each by their own order.

    >>> old = Record("a", "z", "h:1", 5, 1, 2, Belief.SUSPECT, Digest(7, Stage.SERVING))
    >>> at = merged(old, Record("a", "z", "h:1", 5, 1, 2, Belief.ALIVE, Digest(8, Stage.DRAINING)))
    >>> at.belief == Belief.SUSPECT, at.digest.stage == Stage.DRAINING
    (True, True)
    >>> merged(old, Record("a", "z", "h:1", 4, 9, 99, Belief.LEFT)) is old
    True
    """
    if new.process < old.process:
        return old
    if new.process > old.process:
        return new
    digest = new.digest if new.digest.version > old.digest.version else old.digest
    heavier = new if new.weight > old.weight else old
    return heavier if heavier.digest is digest else msgspec.structs.replace(heavier, digest=digest)
