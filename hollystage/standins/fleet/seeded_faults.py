"""Seeded faults: named defects that are put into a member, to show that each checker of the rig reports one.

Only the rig's entry point for members applies them, by replacing attributes; the product has no switch for any.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...decisions.membership.members import Members
from ...decisions.membership.records import Record


def _replace(owner: Any, name: str, value: Any) -> None:
    """Replaces an attribute of a class or module."""
    setattr(owner, name, value)


def _no_refutation() -> None:
    """A member that is suspected does not refute it."""
    def handle_own_record(self: Members, record: Record) -> None:
        if record.process > self.me.process:
            self._raise_boot(record.boot)
    _replace(Members, "_handle_own_record", handle_own_record)


def _prefer_older_boot() -> None:
    """Boot numbers of records are not compared, so a record of an older boot wins if its belief is worse."""
    def precedence(self: Record) -> tuple[int, int, int, int]:
        return 0, 0, self.incarnation, self.belief
    _replace(Record, "process", property(lambda self: (0, 0)))
    _replace(Record, "precedence", property(precedence))


def _accuse_after_pause() -> None:
    """A member does not notice that it was suspended, and runs its timers before it reads queued messages."""
    def check_stall(self: Members, now: int) -> None:
        self.now = max(self.now, now)
        self.stall_detector.due = 0
    receive = Members.receive

    def tick_first(self: Members, sender: Record, message: Any, updates: Any, now: int) -> None:
        self.tick(now)
        receive(self, sender, message, updates, now)
    _replace(Members, "_check_stall", check_stall)
    _replace(Members, "receive", tick_first)


def _never_probe_lost() -> None:
    """Lost members are never probed again."""
    def do_nothing(self: Members, _: None) -> None:
        pass
    _replace(Members, "_probe_lost", do_nothing)


def _flood_datagrams() -> None:
    """Updates are retransmitted without limit, and every datagram causes pings to other members."""
    from ...decisions.membership.gossip import UpdateQueue

    _replace(UpdateQueue, "max_transmissions", lambda self, members: 1 << 30)
    receive = Members.receive

    def answer_all(self: Members, sender: Record, message: Any, updates: Any, now: int) -> None:
        receive(self, sender, message, updates, now)
        from ...decisions.membership.messages import Ping
        for name in self._sample(2):
            self.seq += 1
            if self.seq % 3:
                self._send(self.records[name].address, Ping(self.seq, name))
    _replace(Members, "receive", answer_all)


def _decrease_boot() -> None:
    """A start takes an arbitrary boot number, and the boot number is never raised."""
    from ...store import boots

    _replace(boots, "next_boot", lambda folder, clock_ms, log: 1 + clock_ms % 7)
    _replace(Members, "_raise_boot", lambda self, boot: None)


def _forget_idempotency_keys() -> None:
    """A repeated RPC is not recognized by its idempotency key."""
    from ...service.idempotency import IdempotencyTable

    _replace(IdempotencyTable, "find", lambda self, key: None)


def _reject_after_run() -> None:
    """Every twentieth result of a run is answered as a rejection."""
    from ...service import clients

    count = 0
    encode: Any = clients.__dict__["encode_response"]

    def reject_some(status: int, fields: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
        nonlocal count
        if status == 200 and body:
            count += 1
            if count % 20 == 0:
                return bytes(encode(503, {}, b"", keep_alive))
        return bytes(encode(status, fields, body, keep_alive))
    _replace(clients, "encode_response", reject_some)


def _drop_answers() -> None:
    """Every thirtieth result is not sent."""
    from ...service import clients

    count = 0
    encode: Any = clients.__dict__["encode_response"]

    def drop_some(status: int, fields: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
        nonlocal count
        count += status == 200
        return b"" if status == 200 and count % 30 == 0 else bytes(encode(status, fields, body, keep_alive))
    _replace(clients, "encode_response", drop_some)


def _run_during_drain() -> None:
    """RPCs are accepted during the whole drain."""
    from ...control import Control

    _replace(Control, "start_drain", lambda self, remaining, now: None)
    from ...service.clients import ClientConnections
    _replace(ClientConnections, "close", lambda self: None)
    _replace(ClientConnections, "count", lambda self: 1)


def _ignore_late_notice() -> None:
    """The drain notice counts from its delivery, and no RPC waits for a signal check after a suspension."""
    from ...decisions.draining.drain_notice import DrainNotice

    _replace(DrainNotice, "given_at", lambda self, now: now)
    _replace(DrainNotice, "in_doubt", lambda self, received_at: False)


def _leak_memory() -> None:
    """Three megabytes are leaked for each RPC."""
    from ...service.driver import Driver

    leaked: list[bytes] = []
    receive = Driver.arrived

    def arrived(self: Driver, exchange: Any) -> str:
        leaked.append(b"x" * (3 << 20))
        return receive(self, exchange)
    _replace(Driver, "arrived", arrived)


def _no_restart_guard() -> None:
    """After a start without the idempotency table, every retry is run."""
    from ...decisions.recovery.recovery import RestartGuard

    _replace(RestartGuard, "may_have_run", lambda *_: False)


def _restart_guard_rejects() -> None:
    """An RPC that may have run is rejected, as if it had not run."""
    from ...interface import ActionKind
    from ...service.exchange import Exchange

    original = Exchange.post

    def post(self: Exchange, action: Any) -> None:
        changed = action._replace(kind=ActionKind.REJECT, flag=True) if action.kind is ActionKind.ABORT else action
        original(self, changed)
    _replace(Exchange, "post", post)


def _replace_in_recovery(name: str, value: Any) -> Callable[[], None]:
    """Returns a seeded fault that replaces a name in the module recovery, and in snapshot if that imports it."""
    def seed() -> None:
        from ...decisions.recovery import recovery
        from ...store import snapshot

        _replace(recovery, name, value)
        if hasattr(snapshot, name):
            _replace(snapshot, name, value)
    return seed


def _trust_one_peer() -> None:
    """The statistics of the first peer are used without those of a second one."""
    from ...decisions.recovery import recovery
    from ...service import recovery_manager

    _replace(recovery, "merge_learned", lambda fetched, machine: fetched[0] if fetched else None)
    _replace(recovery_manager, "REQUIRED_PEERS", 1)


def _never_write_snapshot() -> None:
    """A snapshot is written under a name under which it is not read."""
    from ...store import snapshot
    from ...store.folder import StateFolder

    def write(folder: StateFolder, snapshot_to_write: Any) -> int:
        folder.write("snapshut", snapshot.FORMAT_VERSION, b"lost")
        return 4
    _replace(snapshot, "write", write)


def _promise_all() -> None:
    """Every caller is promised the next slot, however many were promised it before."""
    from ...decisions.recovery.retry_calendar import SLOT_WIDTH, RetryCalendar

    def promise(self: RetryCalendar, caller: int, method: int, now: int, latest: int) -> int:
        self.promises[caller, method] = now + SLOT_WIDTH
        return SLOT_WIDTH
    _replace(RetryCalendar, "promise", promise)


def _unlimited_calls() -> None:
    """The call limit is twenty times the instance's share, and slow replies do not lower it."""
    from ...decisions.recovery.ramp import RampController

    def apply(self: RampController, control: Any, bounds: Any) -> None:
        control.call_limit.set_bounds(20 * self.max_calls, 20 * self.max_calls)
    _replace(RampController, "apply", apply)


def _forget_predecessors() -> None:
    """A new allocator assumes that its predecessors granted nothing."""
    from ...decisions.budgets.budget_allocator import BudgetAllocator

    _replace(BudgetAllocator, "unaccounted", lambda self, now: 0)


def _free_before_confirmation() -> None:
    """Units asked back count as free before their holder confirms it; only half of the units in use are charged."""
    from ...decisions.budgets.budget_allocator import BudgetAllocator

    handle_claim = BudgetAllocator.handle_claim

    def free_early(self: BudgetAllocator, process: Any, row: Any, request_id: int, now: int) -> int | None:
        units = handle_claim(self, process, row, request_id, now)
        if units is not None:
            self._charge(self.accounts[process], min(self.accounts[process].granted, row.in_use) // 2)
        return units
    _replace(BudgetAllocator, "handle_claim", free_early)


def _keep_expired_grant() -> None:
    """A grant does not expire."""
    from ...decisions.budgets.allocation import FOREVER, Allocation

    def apply_grant(self: Allocation, units: int, requested_at: int) -> None:
        self.granted_units, self.granted_until = max(self.granted_units, units), FOREVER - 1
    _replace(Allocation, "apply_grant", apply_grant)


def _ignore_allocation() -> None:
    """The decision module does not get the limit of its allocation."""
    from ...service.budget_limiter import BudgetLimiter

    _replace(BudgetLimiter, "update_limit", lambda self, control, now: 1 << 62)


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "no-doubt": _no_restart_guard, "doubt-pushes-back": _restart_guard_rejects, "one-lender": _trust_one_peer,
    "any-age": _replace_in_recovery("age", lambda written_ms, now_ms: 0.0),
    "any-weight": _replace_in_recovery("weight", lambda kind, age_s: 1.0),
    "from-the-future": _replace_in_recovery("age", lambda written_ms, now_ms: max(0.0, (now_ms - written_ms) / 1000)),
    "any-machine": _replace_in_recovery("machine_fingerprint", lambda settings: 7),
    "never-keep": _never_write_snapshot, "promise-all": _promise_all, "calls-unbound": _unlimited_calls,
    "no-refutation": _no_refutation, "older-boot": _prefer_older_boot, "accuse-asleep": _accuse_after_pause,
    "never-ask-lost": _never_probe_lost, "babble": _flood_datagrams, "boot-falls": _decrease_boot,
    "forget-tokens": _forget_idempotency_keys, "push-back-what-ran": _reject_after_run, "swallow": _drop_answers,
    "knows-nothing": _forget_predecessors, "asked-back-is-free": _free_before_confirmation,
    "keeps-its-part": _keep_expired_grant, "bounds-unheard": _ignore_allocation, "run-late": _run_during_drain,
    "hear-late": _ignore_late_notice, "hoard": _leak_memory}
