"""The allocator's accounts of one budget: what each process is charged, and what may still be granted.

A new allocator does not know what its predecessors granted. Units that no process has accounted for yet count as
granted, until the longest grant and the longest use after it have certainly ended. Units that a process reports are
known at once and can be granted to others.
"""
from __future__ import annotations

from ..leases.terms import Terms
from .division import Want, believed, divided
from .terms import Budget, after_use
from .words import Row

Who = tuple[str, int]  # name and birth of a process
ACCOUNTS = 10_000
GONE = 3  # grant durations without a claim after which an account is dropped
EVERY = 20_000


class Account:
    """What one process is charged and what it needs, in units beside its floor.

    `charge`: units that it may still use, until `expires_at`; `granted`: units of the last grant; `request_id`: of
    its last claim, -1 before the first.
    """

    __slots__ = ("request_id", "charge", "granted", "floor", "expires_at", "need", "weight", "requested_at")

    def __init__(self) -> None:
        self.turn, self.charge, self.given, self.floor, self.until = -1, 0, 0, 0, 0
        self.need, self.weight, self.asked_at = 0, 1.0, 0


class Purse:
    """Divides one budget and accounts for its units."""

    def __init__(self, budget: Budget, terms: Terms, now: int) -> None:
        self.budget, self.terms, self.charge_duration = budget, terms, after_use(budget, terms)
        self.blind_until = now + self.charge_duration
        self.reported = 0  # units granted by predecessors that processes have accounted for
        self.charged = 0  # sum of the charges of all accounts
        self.accounts: dict[Who, Account] = {}
        self.targets: dict[Who, int] = {}
        self.divided_at = now - EVERY
        self.refused = 0

    def unknown(self, now: int) -> int:
        """Returns the units that predecessors may have granted and that no process has accounted for."""
        return max(0, self.budget.divided - self.reported) if now < self.blind_until else 0

    def free(self, now: int) -> int:
        """Returns the units that may be granted.

        The result is negative after the total was reduced, or if processes reported more than there should be.
        """
        return self.budget.divided - self.unknown(now) - self.charged

    def _charge(self, account: Account, units: int) -> None:
        self.charged += units - account.charge
        account.charge = units

    def claimed(self, process: Who, row: Row, request_id: int, now: int) -> int | None:
        """Returns the units that the process may use from now on, including its floor.

        Returns None for a claim that a later one has superseded, and if there is no room for another account.
        """
        account = self.accounts.get(process)
        if account is None:
            if len(self.accounts) >= ACCOUNTS and not self._forget(now):
                self.refused += 1
                return None
            account = self.accounts[process] = Account()
            # only units granted to this process: units that it still uses or has borrowed may be reported by another
            self.reported += max(0, min(row.own, row.held) - row.floor)
        elif request_id <= account.turn:
            return None
        is_new = account.turn < 0
        # the process ignores answers to earlier claims from now on, so units granted but not committed stay unused
        self._charge(account, max(0, row.held - row.floor))
        account.turn, account.floor, account.until, account.asked_at = (
            request_id, row.floor, now + self.charge_duration, now)
        account.need = believed(max(0, row.need - row.floor), max(0, row.using - row.floor), account.given,
                                account.need)
        account.weight = max(1e-3, row.weight)
        self._divide(now)
        available = self.free(now) + account.charge
        target = self._first(account) if is_new else self.targets.get(process, 0)
        account.given = max(0, min(target, available))
        self._charge(account, max(account.charge, account.given))
        return account.given + row.floor

    def _first(self, account: Account) -> int:
        """Returns the units for a new process, granted out of the reserve. Its next claims get a fair share."""
        return max(account.charge, min(max(1, account.need), max(1, self.budget.spare)))

    def _divide(self, now: int) -> None:
        if now - self.divided_at < EVERY:
            return
        self.divided_at = now
        for account in self.accounts.values():
            if account.charge and now >= account.until:
                self._charge(account, 0)  # the grant and the longest use after it have certainly ended
        active_since = now - self.terms.length
        self.targets = divided(self.budget.divided - self.budget.spare, (
            Want(process, account.need, account.weight) for process, account in self.accounts.items()
            if account.asked_at >= active_since))

    def offers(self, now: int) -> list[tuple[Who, int, int]]:
        """Returns the grants to send without a new claim, as (process, request id, units including the floor).

        Grants that reduce come first, then grants out of the free units to processes that lack units.
        """
        self._divide(now)
        grants: list[tuple[Who, int, int]] = []
        available = self.free(now)
        for process, target in self.targets.items():
            account = self.accounts[process]
            if now >= account.until or target == account.given:
                continue
            if target < account.given:
                if account.need < account.given or target < account.given - 1:
                    account.given = target
                    grants.append((process, account.turn, target + account.floor))
            elif account.given < account.need:
                # `available` may be negative: units that are charged twice (used by way of a loan) exist only once
                units = min(target, account.charge + available)
                if units > account.given:
                    available -= max(0, units - account.charge)
                    self._charge(account, max(units, account.charge))
                    account.given, account.until = units, now + self.charge_duration
                    grants.append((process, account.turn, units + account.floor))
        return grants

    def _forget(self, now: int) -> bool:
        """Drops the accounts of processes that have not claimed for long and are charged nothing any more.

        Drops none while predecessors' grants may be unaccounted for: a process whose account was dropped would report
        its units a second time as a first report.
        """
        if now < self.blind_until:
            return False
        idle = [process for process, account in self.accounts.items()
                if now >= account.until and now - account.asked_at > GONE * self.terms.length]
        for process in idle:
            self._charge(self.accounts[process], 0)
            del self.accounts[process]
            self.targets.pop(process, None)
        return bool(idle)
