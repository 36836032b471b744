"""The candidate side of a lease: requests it, renews it, gives it back, and retries after a lost round.

The protocol follows PaxosLease (Trencseni, Gazso and Reinhardt, 2012), with Gray and Cheriton (1989) for leases
without synchronized clocks and Chubby (Burrows, 2006) for fencing: the target of an act rejects late acts of an
earlier holder by their smaller ballot. Times are microseconds of the process's own clock.
"""
from __future__ import annotations

import random

from .messages import LeaseRequest, Prepare, ProcessId, Propose, Release, Reply
from .parameters import LeaseParameters, VoterSet

MIN_BACKOFF_FRACTION, MAX_BACKOFF_FRACTION = 0.05, 0.25  # backoff after a failed round, in lease durations
RENEWAL_FRACTION = 0.4  # fraction of the holder duration after which the holder renews
ROUND_TIMEOUT_FRACTION = 0.15  # time that a round waits for replies, as a fraction of the lease duration


class Candidate:
    """One process that wants a lease or holds it.

    `tick` returns the requests to send, `receive` handles the replies. Ballots start above `ballot_floor`, such as
    the boot number, so that a fleet that lost all its state continues above the ballots that it used before.
    """

    def __init__(self, parameters: LeaseParameters, me: ProcessId, voter_set: VoterSet, seed: int, now: int,
                 ballot_floor: int, lease: str = "") -> None:
        self.parameters, self.me, self.voter_set, self.lease = parameters, me, voter_set, lease
        self.rng = random.Random(seed)
        self.highest_ballot = ballot_floor
        self.ballot = 0  # ballot of the lease held or of the current round
        self.phase = "idle"  # idle, preparing, proposing
        self.requested_at = self.request_id = self.holder_remaining = 0
        self.accepted_by: set[str] = set()
        self.rejected_by: set[str] = set()
        self.held_until = 0  # end of the lease held, by this process's clock
        self.next_at = now  # when the next round or renewal is due, or the current one times out
        self.wanted = True  # if false, the lease is released and not requested again
        self.gained = self.lost = 0  # times that the lease was acquired, and that it expired

    def holds_lease(self, now: int) -> bool:
        """Returns whether this process holds the lease."""
        return now < self.held_until

    def fencing_ballot(self, now: int, duration: int) -> int:
        """Returns the ballot to act under if an act of `duration` microseconds ends within the lease, else 0."""
        return self.ballot if now + duration < self.held_until else 0

    def on_fenced(self, ballot: int) -> None:
        """Gives up the lease because the target of an act reported a greater ballot.

        While the lease is held, this happens only if voters lost their state.
        """
        self.highest_ballot = max(self.highest_ballot, ballot)
        self.held_until = 0

    def tick(self, now: int) -> list[tuple[str, LeaseRequest]]:
        """Returns the requests that are due, as pairs of voter and request."""
        if not self.wanted:
            return self._release(now)
        if now < self.next_at:
            return []
        if self.holds_lease(now):
            return self._start_phase("proposing", now)  # renewal
        if self.held_until:
            self.lost += 1
            self.held_until = 0
        if self.phase != "idle":  # the round timed out without a quorum
            return self._back_off(now)
        self.highest_ballot += 1
        self.ballot = self.highest_ballot
        return self._start_phase("preparing", now)

    def _start_phase(self, phase: str, now: int) -> list[tuple[str, LeaseRequest]]:
        self.phase, self.requested_at, self.accepted_by, self.rejected_by, self.holder_remaining = (
            phase, now, set(), set(), 0)
        self.request_id += 1
        self.next_at = now + int(ROUND_TIMEOUT_FRACTION * self.parameters.duration)
        request_type = Prepare if phase == "preparing" else Propose
        return [(voter, request_type(self.ballot, self.me, self.request_id, self.lease, self.voter_set.generation))
                for voter in self.voter_set.all_voters]

    def _back_off(self, now: int) -> list[tuple[str, LeaseRequest]]:
        """Schedules the next round, and releases what a minority of voters granted in this one.

        It begins after a random backoff, and not before the known grant of another process may have ended.
        """
        proposed = self.phase == "proposing"
        self.phase = "idle"
        backoff = int(self.rng.uniform(MIN_BACKOFF_FRACTION, MAX_BACKOFF_FRACTION) * self.parameters.duration)
        self.next_at = now + max(backoff, min(self.holder_remaining, self.parameters.duration))
        return self._release_requests() if proposed else []

    def _release(self, now: int) -> list[tuple[str, LeaseRequest]]:
        if not self.holds_lease(now):
            return []
        self.held_until, self.phase = 0, "idle"  # the holder stops acting before it sends the release
        return self._release_requests()

    def _release_requests(self) -> list[tuple[str, LeaseRequest]]:
        return [(voter, Release(self.ballot, self.me, self.lease)) for voter in self.voter_set.all_voters]

    def receive(self, voter: str, reply: Reply, now: int) -> list[tuple[str, LeaseRequest]]:
        """Handles the reply of a voter and returns the requests that follow from it."""
        self.highest_ballot = max(self.highest_ballot, reply.highest_ballot)
        if reply.request_id != self.request_id or self.phase == "idle" or voter not in self.voter_set.all_voters:
            return []
        if reply.holder not in (None, self.me):
            # another process holds the lease: voters reject requests until its grant ends
            self.holder_remaining = max(self.holder_remaining, reply.remaining)
        (self.accepted_by if reply.accepted else self.rejected_by).add(voter)
        if self.voter_set.is_quorum(self.accepted_by):
            if self.phase == "preparing":
                return self._start_phase("proposing", now)
            if not self.holds_lease(now):
                self.gained += 1
            self.held_until = self.requested_at + self.parameters.holder_duration
            self.phase = "idle"
            self.next_at = self.requested_at + int(RENEWAL_FRACTION * self.parameters.holder_duration)
        elif self.voter_set.excludes_quorum(self.rejected_by) and not self.holds_lease(now):
            return self._back_off(now)
        return []
