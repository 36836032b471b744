"""The voter side of leases: what a voter promised and granted, and until when by its own clock.

A voter's state is kept in memory only. A voter that starts without its state grants nothing for the longest lease
duration; whatever it had granted before has expired by then.
"""
from __future__ import annotations

from .terms import Electorate, Terms
from .words import Prepare, Propose, Question, Release, Reply, Who

LEASES = 64  # leases that a voter keeps at once; leases without a holder are evicted first


class Voter:
    """The state of one lease at one voter.

    It accepts only ballots above `floor`, such as its boot number. `max_duration` is the longest duration that an
    earlier process of this voter may have granted, where it exceeds the current one.
    """

    def __init__(self, terms: Terms, started_at: int, floor: int, max_duration: int = 0) -> None:
        self.terms = terms
        # a lease granted by an earlier process of this voter may still be held
        self.silent_until = started_at + max(max_duration, terms.length)
        self.known = floor
        self.promised: tuple[int, Who] | None = None
        self.granted: tuple[int, Who] | None = None
        self.until = 0

    def holder(self, now: int) -> Who | None:
        """Returns the process whose grant has not expired, if there is one."""
        return self.granted[1] if self.granted is not None and now < self.until else None

    def _reply(self, request_id: int, accepted: bool, now: int) -> Reply:
        holder = self.holder(now)
        return Reply(request_id, accepted, self.known, holder, self.until - now if holder is not None else 0)

    def prepare(self, request: Prepare, now: int) -> Reply:
        """Promises to accept no smaller ballot. Each ballot is promised to one process only.

        While another process holds the lease nothing is promised: a candidate that reaches no majority must not
        prevent the holder from renewing.
        """
        if (now < self.silent_until or request.number <= self.known
                or self.holder(now) not in (None, request.who)):
            return self._reply(request.turn, False, now)
        self.known, self.promised = request.number, (request.number, request.who)
        return self._reply(request.turn, True, now)

    def propose(self, request: Propose, now: int) -> Reply:
        """Grants the lease, or extends a grant to the same process under the same ballot."""
        proposal = (request.number, request.who)
        holder = self.holder(now)
        if (now < self.silent_until or holder not in (None, request.who)
                or proposal not in (self.promised, self.granted) or request.number < self.known):
            return self._reply(request.turn, False, now)
        self.granted, self.until = proposal, now + self.terms.length
        return self._reply(request.turn, True, now)

    def release(self, request: Release) -> None:
        """Ends a grant whose holder has stopped acting, so that the next candidate need not wait for its expiry."""
        if self.granted == (request.number, request.who):
            self.granted, self.until = None, 0


class Booth:
    """The voters of all leases of one process, by lease name.

    A full table evicts a lease without a holder. Its greatest ballot is kept as the lower bound of all later leases.
    """

    def __init__(self, terms: Terms, electorate: Electorate, started_at: int, floor: int) -> None:
        self.terms, self.electorate, self.born, self.floor = terms, electorate, started_at, floor
        self.voters: dict[str, Voter] = {}
        self.refused = 0

    def asked(self, request: Question, now: int) -> Reply | None:
        """Handles the request of a candidate and returns the reply, or None if there is none."""
        if isinstance(request, Release):
            voter = self.voters.get(request.lease)
            if voter is not None:
                voter.release(request)
            return None
        if request.generation not in (self.electorate.generation, self.electorate.generation + 1):
            self.refused += 1
            return Reply(request.turn, False, 0, lease=request.lease)
        voter = self._voter(request.lease, now)
        if voter is None:
            self.refused += 1
            return None
        reply = voter.propose(request, now) if isinstance(request, Propose) else voter.prepare(request, now)
        return Reply(reply.turn, reply.good, reply.known, reply.by, reply.left, request.lease)

    def _voter(self, lease: str, now: int) -> Voter | None:
        voter = self.voters.get(lease)
        if voter is None:
            if len(self.voters) >= LEASES and not self._forget(now):
                return None
            voter = self.voters[lease] = Voter(self.terms, self.born, self.floor)
        return voter

    def _forget(self, now: int) -> bool:
        """Evicts one lease without a holder and returns whether there was one.

        Only its greatest ballot is kept, as the bound that the ballots of later leases must exceed. A promise without
        a grant is evicted too: the proposal that may follow it is then rejected, which is safe.
        """
        for name, voter in self.voters.items():
            if voter.holder(now) is None and now >= voter.silent_until:
                self.floor = max(self.floor, voter.known)
                del self.voters[name]
                return True
        return False
