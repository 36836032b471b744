"""Commands of open runs that the interpreter has not confirmed, and what may be sent again after a lost connection.

A command that was written to a connection that then broke may have arrived or not. A later notice of its run proves
that it arrived; so does the reply to a request that was sent after it on the same connection, since the interpreter
reads a connection in order. Nothing proves that it did not arrive. A run that was started may end at any moment, and
a second START would start it again, whatever the last notice said. Hence, once its connection is lost:

- START of an RPC that may run twice is sent again. Any other START is sent again only once its RPC is over: then the
  interpreter starts nothing, and if the first START was lost, it reports that nothing was started.
- RESUME could be taken for the reply to the run's next downstream call. A SKIP of the same call, which names it,
  takes its place if the method allows that; else it is not sent again.
- SKIP and HALT are sent again: a SKIP names its call, and the RPC of a HALT is answered already.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

OVER_MARGIN = 1_000_000  # microseconds from the end of the caller's time until its RPC counts as over


class CommandKind(Enum):
    """What a command does to a run."""

    START = "start"
    RESUME = "resume"  # continues with the reply to its downstream call
    SKIP = "skip"  # continues without the downstream call that it names
    HALT = "halt"


class Delivery(Enum):
    """How far a command got. Confirmed commands are forgotten."""

    HELD = "held"  # not written, or may be written again
    WRITTEN = "written"  # to the present connection
    WITHHELD = "withheld"  # written to a lost connection, and not to be written again before its RPC is over


@dataclass(slots=True)
class Command:
    """One command of a run.

    Attributes:
        data: The encoded command.
        substitute: For RESUME, the encoded SKIP of the same call; empty if the call cannot be skipped.
        checkpoint: The last checkpoint before it was written.
    """

    kind: CommandKind
    data: bytes
    substitute: bytes = b""
    delivery: Delivery = Delivery.HELD
    checkpoint: int = 0


@dataclass(slots=True)
class PendingRun:
    """An open run and its unconfirmed commands, oldest first; `over_at`: when its RPC is over, microseconds."""

    may_repeat: bool
    over_at: int
    commands: list[Command] = field(default_factory=list)


class UncertainCommands(NamedTuple):
    """Numbers of commands that a lost connection may or may not have delivered, by what is done about them."""

    repeated: int
    skipped: int
    withheld: int


class PendingCommands:
    """The unconfirmed commands of all open runs, in the order in which the runs were started.

    >>> pending, start = PendingCommands(), Command(CommandKind.START, b"APPLY a")
    >>> pending.open_run("a", may_repeat=False, caller_waits_until=5_000_000)
    >>> pending.add("a", start), pending.sendable(now=0) == [start]
    (True, True)
    >>> pending.written(start)
    >>> pending.connection_lost()
    UncertainCommands(repeated=0, skipped=0, withheld=1)
    >>> [len(pending.sendable(now)) for now in (1_000_000, 6_000_000)]
    [0, 1]
    """

    def __init__(self) -> None:
        self.runs: dict[str, PendingRun] = {}
        self.last_checkpoint = 0

    def open_run(self, run_id: str, may_repeat: bool, caller_waits_until: int) -> None:
        """Registers a run. `may_repeat`: whether its RPC may run twice; `caller_waits_until`: microseconds."""
        self.runs[run_id] = PendingRun(may_repeat, caller_waits_until + OVER_MARGIN)

    def add(self, run_id: str, command: Command) -> bool:
        """Adds a command. Returns False if the run has ended, so that the command has no purpose."""
        run = self.runs.get(run_id)
        if run is not None:
            run.commands.append(command)
        return run is not None

    def run_ended(self, run_id: str) -> None:
        """The interpreter reported the end of a run, or that it was never started."""
        self.runs.pop(run_id, None)

    def run_at_call(self, run_id: str) -> None:
        """The interpreter reported that a run waits for a downstream call; this confirms all commands but HALT."""
        run = self.runs.get(run_id)
        if run is not None:
            run.commands = [command for command in run.commands if command.kind is CommandKind.HALT]

    def written(self, command: Command) -> None:
        """A command was written to the present connection, at least in part."""
        command.delivery, command.checkpoint = Delivery.WRITTEN, self.last_checkpoint

    def checkpoint(self) -> int:
        """Returns a number for all commands written so far, for a later confirm()."""
        self.last_checkpoint += 1
        return self.last_checkpoint

    def confirm(self, checkpoint: int) -> None:
        """The interpreter has read all that was written to the present connection before a checkpoint."""
        for run in self.runs.values():
            run.commands = [command for command in run.commands
                            if command.delivery is not Delivery.WRITTEN or command.checkpoint >= checkpoint]

    def connection_lost(self) -> UncertainCommands:
        """Decides what becomes of the commands that were written to the connection that was lost."""
        repeated = skipped = withheld = 0
        for run in self.runs.values():
            for command in run.commands:
                if command.delivery is not Delivery.WRITTEN:
                    continue
                command.delivery = Delivery.HELD
                if command.kind is CommandKind.RESUME and command.substitute:
                    command.kind, command.data = CommandKind.SKIP, command.substitute
                    skipped += 1
                elif command.kind is CommandKind.RESUME or command.kind is CommandKind.START and not run.may_repeat:
                    command.delivery = Delivery.WITHHELD
                    withheld += 1
                else:
                    repeated += 1
        return UncertainCommands(repeated, skipped, withheld)

    def sendable(self, now: int) -> list[Command]:
        """Returns the commands that may be written to the present connection, in order."""
        return [command for run in self.runs.values() for command in run.commands
                if command.delivery is Delivery.HELD
                or command.delivery is Delivery.WITHHELD and command.kind is CommandKind.START and now >= run.over_at]
