"""The voter side of leases: what a voter promised and granted, and until when by its own clock.

A voter's state is kept in memory only. A voter that starts without its state grants nothing for the longest lease
duration; whatever it had granted before has expired by then.
"""
from __future__ import annotations

from .messages import LeaseRequest, Prepare, ProcessId, Propose, Release, Reply
from .parameters import LeaseParameters, VoterSet

MAX_LEASES = 64  # leases that a voter keeps at once; only leases without a holder are evicted


class Voter:
    """The state of one lease at one voter.

    It accepts only ballots above `ballot_floor`, such as its boot number. `max_duration` is the longest duration that
    an earlier process of this voter may have granted, if it exceeds the current one.
    """

    def __init__(self, parameters: LeaseParameters, started_at: int, ballot_floor: int,
                 max_duration: int = 0) -> None:
        self.parameters = parameters
        # a lease granted by an earlier process of this voter may still be held
        self.blocked_until = started_at + max(max_duration, parameters.duration)
        self.highest_ballot = ballot_floor
        self.promised: tuple[int, ProcessId] | None = None
        self.granted: tuple[int, ProcessId] | None = None
        self.granted_until = 0

    def holder(self, now: int) -> ProcessId | None:
        """Returns the process whose grant has not expired, if there is one."""
        return self.granted[1] if self.granted is not None and now < self.granted_until else None

    def _reply(self, request_id: int, accepted: bool, now: int) -> Reply:
        holder = self.holder(now)
        return Reply(request_id, accepted, self.highest_ballot, holder,
                     self.granted_until - now if holder is not None else 0)

    def prepare(self, request: Prepare, now: int) -> Reply:
        """Promises to accept no smaller ballot. Each ballot is promised to one process only.

        While another process holds the lease nothing is promised: a candidate that reaches no majority must not
        prevent the holder from renewing.
        """
        if (now < self.blocked_until or request.ballot <= self.highest_ballot
                or self.holder(now) not in (None, request.candidate)):
            return self._reply(request.request_id, False, now)
        self.highest_ballot, self.promised = request.ballot, (request.ballot, request.candidate)
        return self._reply(request.request_id, True, now)

    def propose(self, request: Propose, now: int) -> Reply:
        """Grants the lease, or extends a grant to the same process under the same ballot."""
        proposal = (request.ballot, request.candidate)
        holder = self.holder(now)
        if (now < self.blocked_until or holder not in (None, request.candidate)
                or proposal not in (self.promised, self.granted) or request.ballot < self.highest_ballot):
            return self._reply(request.request_id, False, now)
        self.granted, self.granted_until = proposal, now + self.parameters.duration
        return self._reply(request.request_id, True, now)

    def release(self, request: Release) -> None:
        """Ends a grant whose holder has stopped acting, so that the next candidate need not wait for its expiry."""
        if self.granted == (request.ballot, request.candidate):
            self.granted, self.granted_until = None, 0


class VoterTable:
    """The leases that one process votes on, with their state at this voter, by lease name.

    A full table evicts a lease without a holder. Leases that are added later accept only ballots above the greatest
    ballot of those evicted.
    """

    def __init__(self, parameters: LeaseParameters, voter_set: VoterSet, started_at: int, ballot_floor: int) -> None:
        self.parameters, self.voter_set, self.started_at, self.ballot_floor = (
            parameters, voter_set, started_at, ballot_floor)
        self.voters: dict[str, Voter] = {}
        self.refused = 0

    def handle_request(self, request: LeaseRequest, now: int) -> Reply | None:
        """Handles the request of a candidate and returns the reply, or None if there is none."""
        if isinstance(request, Release):
            voter = self.voters.get(request.lease)
            if voter is not None:
                voter.release(request)
            return None
        if request.generation not in (self.voter_set.generation, self.voter_set.generation + 1):
            self.refused += 1
            return Reply(request.request_id, False, 0, lease=request.lease)
        voter = self._voter(request.lease, now)
        if voter is None:
            self.refused += 1
            return None
        reply = voter.propose(request, now) if isinstance(request, Propose) else voter.prepare(request, now)
        return Reply(reply.request_id, reply.accepted, reply.highest_ballot, reply.holder, reply.remaining,
                     request.lease)

    def _voter(self, lease: str, now: int) -> Voter | None:
        voter = self.voters.get(lease)
        if voter is None:
            if len(self.voters) >= MAX_LEASES and not self._evict_one(now):
                return None
            voter = self.voters[lease] = Voter(self.parameters, self.started_at, self.ballot_floor)
        return voter

    def _evict_one(self, now: int) -> bool:
        """Evicts one lease without a holder and returns whether there was one.

        Only its greatest ballot is kept, as `ballot_floor`. A lease that was promised but not granted may be evicted
        too: the proposal that may follow the promise is then rejected, which is safe.
        """
        for name, voter in self.voters.items():
            if voter.holder(now) is None and now >= voter.blocked_until:
                self.ballot_floor = max(self.ballot_floor, voter.highest_ballot)
                del self.voters[name]
                return True
        return False
