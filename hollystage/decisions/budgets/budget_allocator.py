"""The allocator's accounts of one budget: what each process is charged, and what may still be granted.

A new allocator does not know what its predecessors granted. Units that no process has accounted for yet count as
granted, until the longest grant and the longest use after it have certainly ended. Units that a process reports in
a claim are accounted for from then on, and can be granted to others once that process gives them up.
"""
from __future__ import annotations

from ..leases.parameters import LeaseParameters
from .fair_shares import Demand, credible_need, max_min_shares
from .messages import ClaimRow
from .parameters import Budget, charge_duration

ProcessKey = tuple[str, int]  # name and birth of a process
MAX_ACCOUNTS = 10_000
IDLE_GRANT_DURATIONS = 3  # grant durations without a claim after which an account is dropped
MIN_DIVISION_INTERVAL_US = 20_000


class Account:
    """What one process is charged and what it needs, in units above its floor.

    `charge`: units that it may still use, until `expires_at`; `granted`: units of the last grant; `request_id`: of
    its last claim, -1 before the first.
    """

    __slots__ = ("request_id", "charge", "granted", "floor", "expires_at", "need", "weight", "requested_at")

    def __init__(self) -> None:
        self.request_id, self.charge, self.granted, self.floor, self.expires_at = -1, 0, 0, 0, 0
        self.need, self.weight, self.requested_at = 0, 1.0, 0


class BudgetAllocator:
    """Divides one budget and accounts for its units."""

    def __init__(self, budget: Budget, parameters: LeaseParameters, now: int) -> None:
        self.budget, self.parameters, self.charge_duration = budget, parameters, charge_duration(budget, parameters)
        self.recovering_until = now + self.charge_duration
        self.accounted_units = 0  # units granted by predecessors that processes have accounted for
        self.total_charge = 0  # sum of the charges of all accounts
        self.accounts: dict[ProcessKey, Account] = {}
        self.targets: dict[ProcessKey, int] = {}
        self.last_division_at = now - MIN_DIVISION_INTERVAL_US
        self.refused = 0

    def unaccounted(self, now: int) -> int:
        """Returns the units that predecessors may have granted and that no process has accounted for."""
        return max(0, self.budget.grantable - self.accounted_units) if now < self.recovering_until else 0

    def free(self, now: int) -> int:
        """Returns the units that may be granted.

        The result is negative after the total was reduced, or if processes reported more than there should be.
        """
        return self.budget.grantable - self.unaccounted(now) - self.total_charge

    def _charge(self, account: Account, units: int) -> None:
        self.total_charge += units - account.charge
        account.charge = units

    def handle_claim(self, process: ProcessKey, row: ClaimRow, request_id: int, now: int) -> int | None:
        """Returns the units that the process may use from now on, including its floor.

        Returns None for a claim that a later one has superseded, and if there is no room for another account.
        """
        account = self.accounts.get(process)
        if account is None:
            if len(self.accounts) >= MAX_ACCOUNTS and not self._drop_idle_accounts(now):
                self.refused += 1
                return None
            account = self.accounts[process] = Account()
            # only units granted to this process: others may report those that it still uses or has borrowed
            self.accounted_units += max(0, min(row.own, row.committed) - row.floor)
        elif request_id <= account.request_id:
            return None
        is_new = account.request_id < 0
        # the process ignores answers to earlier claims from now on, so units granted but not committed stay unused
        self._charge(account, max(0, row.committed - row.floor))
        account.request_id, account.floor, account.expires_at, account.requested_at = (
            request_id, row.floor, now + self.charge_duration, now)
        account.need = credible_need(max(0, row.need - row.floor), max(0, row.in_use - row.floor), account.granted,
                                     account.need)
        account.weight = max(1e-3, row.weight)
        self._update_targets(now)
        available = self.free(now) + account.charge
        target = self._initial_grant(account) if is_new else self.targets.get(process, 0)
        account.granted = max(0, min(target, available))
        self._charge(account, max(account.charge, account.granted))
        return account.granted + row.floor

    def _initial_grant(self, account: Account) -> int:
        """Returns the units for a new process, granted out of the reserve. Its next claims get a fair share."""
        return max(account.charge, min(max(1, account.need), max(1, self.budget.reserve)))

    def _update_targets(self, now: int) -> None:
        if now - self.last_division_at < MIN_DIVISION_INTERVAL_US:
            return
        self.last_division_at = now
        for account in self.accounts.values():
            if account.charge and now >= account.expires_at:
                self._charge(account, 0)  # the grant and the longest use after it have certainly ended
        active_since = now - self.parameters.duration
        self.targets = max_min_shares(self.budget.grantable - self.budget.reserve, (
            Demand(process, account.need, account.weight) for process, account in self.accounts.items()
            if account.requested_at >= active_since))

    def unsolicited_grants(self, now: int) -> list[tuple[ProcessKey, int, int]]:
        """Returns the grants to send without a new claim, as (process, request id, units including the floor).

        They reduce the units of processes that have more than their target, and grant free units to processes that
        lack units.
        """
        self._update_targets(now)
        grants: list[tuple[ProcessKey, int, int]] = []
        available = self.free(now)
        for process, target in self.targets.items():
            account = self.accounts[process]
            if now >= account.expires_at or target == account.granted:
                continue
            if target < account.granted:
                # a process that needs all its units is not reduced for the sake of a single unit
                if account.need < account.granted or target < account.granted - 1:
                    account.granted = target
                    grants.append((process, account.request_id, target + account.floor))
            elif account.granted < account.need:
                # `available` may be negative: a unit used by way of a loan is charged to both processes
                units = min(target, account.charge + available)
                if units > account.granted:
                    available -= max(0, units - account.charge)
                    self._charge(account, max(units, account.charge))
                    account.granted, account.expires_at = units, now + self.charge_duration
                    grants.append((process, account.request_id, units + account.floor))
        return grants

    def _drop_idle_accounts(self, now: int) -> bool:
        """Drops the accounts of processes that have not claimed for long and are charged nothing any more.

        Drops none while predecessors' grants may be unaccounted for: the next claim of a process whose account was
        dropped would account for the same units a second time.
        """
        if now < self.recovering_until:
            return False
        idle = [process for process, account in self.accounts.items() if now >= account.expires_at
                and now - account.requested_at > IDLE_GRANT_DURATIONS * self.parameters.duration]
        for process in idle:
            self._charge(self.accounts[process], 0)
            del self.accounts[process]
            self.targets.pop(process, None)
        return bool(idle)
