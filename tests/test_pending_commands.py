"""Random schedules of commands, lost connections and ends of runs against a model of the interpreter."""
import random
from collections import Counter

import pytest

from hollystage.decisions.recovery.pending_commands import (
    OVER_MARGIN,
    Command,
    CommandKind,
    Delivery,
    PendingCommands,
)

CALLER_WAITS = 3_000_000  # microseconds


class Model:
    """The instance and the interpreter. Run n may repeat if n is odd, skips calls if n % 4 < 2, and makes n % 3."""

    def __init__(self, seed, pending):
        self.rng, self.pending, self.now, self.wire, self.next_run = random.Random(seed), pending, 0, [], 0
        self.notices, self.read, self.faults, self.replies = [], 0, [], []
        self.running, self.starts, self.begun_at = {}, Counter(), {}  # running: calls made, and whether it waits
        self.holding = False  # the instance writes no command

    def is_over(self, run):
        return self.now >= self.begun_at[run] + CALLER_WAITS

    def write(self, command):
        self.pending.written(command)
        self.wire.append((command.kind, *map(int, command.data.split())))

    def send(self, run, kind, call=0, **fields):
        command = Command(kind, b"%d %d" % (run, call), **fields)
        if self.pending.add(run, command) and not self.holding:
            self.write(command)

    def start(self):
        run, self.next_run = self.next_run, self.next_run + 1
        self.begun_at[run] = self.now
        self.pending.open_run(run, run % 2 == 1, self.now + CALLER_WAITS)
        self.send(run, CommandKind.START)

    def interpreter_reads(self):
        if not self.wire:
            return
        kind, run, call = self.wire.pop(0)
        if kind is None:
            return self.replies.append(run)
        calls, waits = self.running.get(run, (0, False))
        if kind is CommandKind.START and run not in self.running:
            if self.is_over(run):
                return self.notices.append((run, "gone", 0))
            self.running[run] = 0, False
            self.starts[run] += 1
            if run % 2 == 0 and self.starts[run] > 1:
                self.faults.append("second run")
        elif kind is CommandKind.HALT and run in self.running:
            self.end(run)
        elif waits and (kind is CommandKind.RESUME or kind is CommandKind.SKIP and call == calls):
            if call != calls:
                self.faults.append("wrong reply")
            self.running[run] = calls, False

    def end(self, run):
        del self.running[run]
        self.notices.append((run, "value", 0))

    def run_goes_on(self):
        run = self.rng.choice([run for run, (_, waits) in self.running.items() if not waits or self.is_over(run)]
                              or [None])
        if run is None:
            return
        calls, waits = self.running[run]
        if waits or calls == run % 3 or self.is_over(run):
            self.end(run)
        else:
            self.running[run] = calls + 1, True
            self.notices.append((run, "await", calls + 1))

    def instance_reads(self):
        if self.replies:
            self.pending.confirm(self.replies.pop(0))
        if self.read == len(self.notices):
            return
        run, notice, call = self.notices[self.read]
        self.read += 1
        if notice != "await":
            self.pending.run_ended(run)
        elif self.is_over(run):
            self.send(run, CommandKind.HALT)
        else:
            self.pending.run_at_call(run)
            self.send(run, CommandKind.RESUME, call, substitute=b"%d %d" % (run, call) if run % 4 < 2 else b"")

    def break_connection(self):
        self.wire.clear()
        self.replies.clear()
        self.pending.connection_lost()
        self.reconnect()

    def change_address(self):
        self.wire.append((None, self.pending.checkpoint(), 0))
        self.holding = True
        while self.wire:
            self.interpreter_reads()
        while self.replies:
            self.instance_reads()
        if any(self.pending.connection_lost()):
            self.faults.append("uncertain after the interpreter has read everything")
        self.reconnect()

    def reconnect(self):
        while self.read < len(self.notices):
            self.instance_reads()
        self.holding = False
        for _ in range(self.rng.randrange(4)):  # the interpreter goes on while the commands are on their way
            self.run_goes_on()
        self.tick()

    def tick(self):
        self.now += 100_000
        for command in self.pending.sendable(self.now):
            self.write(command)
        self.wire.append((None, self.pending.checkpoint(), 0))

    def play(self):
        """Returns the faults of one random schedule."""
        steps = [self.start, self.interpreter_reads, self.interpreter_reads, self.run_goes_on, self.instance_reads,
                 self.instance_reads, self.tick, self.break_connection, self.change_address]
        for _ in range(150):
            self.rng.choice(steps)()
        self.now += CALLER_WAITS + OVER_MARGIN
        for _ in range(400):
            for step in (self.tick, self.interpreter_reads, self.run_goes_on, self.instance_reads):
                step()
        return self.faults + (["run not settled"] if self.pending.runs or self.running else [])


class RepeatsEveryStart(PendingCommands):
    def open_run(self, run_id, may_repeat, caller_waits_until):
        super().open_run(run_id, True, caller_waits_until)


class RepeatsReplies(PendingCommands):
    def connection_lost(self):
        replies = [command for run in self.runs.values() for command in run.commands
                   if command.kind is CommandKind.RESUME]
        uncertain = super().connection_lost()
        for command in replies:
            command.kind, command.delivery = CommandKind.RESUME, Delivery.HELD
        return uncertain


class NeverSettles(PendingCommands):
    def sendable(self, now):
        return super().sendable(0)


class ConfirmsWhatFollows(PendingCommands):
    def confirm(self, checkpoint):
        super().confirm(checkpoint + 1000)


class ForgetsNothing(PendingCommands):
    def confirm(self, checkpoint):
        pass


@pytest.mark.parametrize("pending_class, fault", [
    (PendingCommands, None), (RepeatsEveryStart, "second run"), (RepeatsReplies, "wrong reply"),
    (NeverSettles, "run not settled"), (ConfirmsWhatFollows, "run not settled"),
    (ForgetsNothing, "uncertain after the interpreter has read everything")])
def test_commands_take_effect_once_and_every_run_is_settled(pending_class, fault):
    faults = {name for seed in range(150) for name in Model(seed, pending_class()).play()}
    assert faults == ({fault} if fault else set())
