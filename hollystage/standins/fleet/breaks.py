"""Seeded faults: named defects that are put into a member, to show that each checker of the rig reports one.

Only the rig's entry point for members applies them, by replacing attributes; the product has no switch for any.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...decisions.membership.members import Members
from ...decisions.membership.records import Record


def _put(owner: Any, name: str, value: Any) -> None:
    """Replaces an attribute of a class or module."""
    setattr(owner, name, value)


def _no_refutation() -> None:
    """A member that is suspected does not refute it."""
    def handle_own_record(self: Members, record: Record) -> None:
        if record.process > self.me.process:
            self._outlive(record.boot)
    _put(Members, "_of_me", handle_own_record)


def _older_boot() -> None:
    """Boot numbers of records are not compared, so a record of an older boot wins if its belief is worse."""
    def precedence(self: Record) -> tuple[int, int, int, int]:
        return 0, 0, self.incarnation, self.belief
    _put(Record, "process", property(lambda self: (0, 0)))
    _put(Record, "weight", property(precedence))


def _accuse_asleep() -> None:
    """A member does not notice that it was suspended, and runs its timers before it reads queued messages."""
    def check_stall(self: Members, now: int) -> None:
        self.now = max(self.now, now)
        self.stalls.due = 0
    receive = Members.heard

    def tick_first(self: Members, sender: Record, message: Any, updates: Any, now: int) -> None:
        self.tick(now)
        receive(self, sender, message, updates, now)
    _put(Members, "_wake", check_stall)
    _put(Members, "heard", tick_first)


def _never_ask_lost() -> None:
    """Lost members are never probed again."""
    def do_nothing(self: Members, _: None) -> None:
        pass
    _put(Members, "_ask_lost", do_nothing)


def _babble() -> None:
    """Updates are retransmitted without limit, and every datagram causes pings to other members."""
    from ...decisions.membership.news import Gazette

    _put(Gazette, "limit", lambda self, members: 1 << 30)
    receive = Members.heard

    def answer_all(self: Members, sender: Record, message: Any, updates: Any, now: int) -> None:
        receive(self, sender, message, updates, now)
        from ...decisions.membership.words import Ping
        for name in self._some(2):
            self.seq += 1
            if self.seq % 3:
                self._send(self.records[name].address, Ping(self.seq, name))
    _put(Members, "heard", answer_all)


def _boot_falls() -> None:
    """A start takes an arbitrary boot number, and the boot number is never raised."""
    from ...store import boots

    _put(boots, "next_boot", lambda folder, clock_ms, log: 1 + clock_ms % 7)
    _put(Members, "_outlive", lambda self, boot: None)


def _forget_tokens() -> None:
    """A repeated RPC is not recognized by its idempotency key."""
    from ...service.tokens import Tokens

    _put(Tokens, "earlier", lambda self, key: None)


def _push_back_what_ran() -> None:
    """Every twentieth result of a run is answered as a rejection."""
    from ...service import clients

    count = 0
    encode: Any = clients.__dict__["write_response"]

    def reject_some(status: int, fields: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
        nonlocal count
        if status == 200 and body:
            count += 1
            if count % 20 == 0:
                return bytes(encode(503, {}, b"", keep_alive))
        return bytes(encode(status, fields, body, keep_alive))
    _put(clients, "write_response", reject_some)


def _swallow() -> None:
    """Every thirtieth result is not sent."""
    from ...service import clients

    count = 0
    encode: Any = clients.__dict__["write_response"]

    def drop_some(status: int, fields: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
        nonlocal count
        count += status == 200
        return b"" if status == 200 and count % 30 == 0 else bytes(encode(status, fields, body, keep_alive))
    _put(clients, "write_response", drop_some)


def _run_late() -> None:
    """RPCs are accepted during the whole drain."""
    from ...control import Control

    _put(Control, "leaving", lambda self, remaining, now: None)
    from ...service.clients import Clients
    _put(Clients, "close", lambda self: None)
    _put(Clients, "count", lambda self: 1)


def _hear_late() -> None:
    """The drain notice counts from its delivery, and no RPC waits for a signal check after a suspension."""
    from ...decisions.leaving.notice import Notice

    _put(Notice, "given", lambda self, now: now)
    _put(Notice, "in_doubt", lambda self, received_at: False)


def _hoard() -> None:
    """Three megabytes are leaked for each RPC."""
    from ...service.driver import Driver

    leaked: list[bytes] = []
    receive = Driver.arrived

    def arrived(self: Driver, exchange: Any) -> str:
        leaked.append(b"x" * (3 << 20))
        return receive(self, exchange)
    _put(Driver, "arrived", arrived)


def _no_doubt() -> None:
    """After a start without the idempotency table, every retry is run."""
    from ...decisions.comeback.recovery import Doubt

    _put(Doubt, "may_have_run", lambda *_: False)


def _doubt_pushes_back() -> None:
    """An RPC that may have run is rejected, as if it had not run."""
    from ...interface import Do
    from ...service.exchange import Exchange

    original = Exchange.post

    def post(self: Exchange, action: Any) -> None:
        changed = action._replace(do=Do.PUSH_BACK, flag=True) if action.do is Do.ABORT else action
        original(self, changed)
    _put(Exchange, "post", post)


def _recovery(name: str, value: Any) -> Callable[[], None]:
    """Returns a seeded fault that replaces a name in the module recovery, and in snapshot if that imports it."""
    def seed() -> None:
        from ...decisions.comeback import recovery
        from ...store import snapshot

        _put(recovery, name, value)
        if hasattr(snapshot, name):
            _put(snapshot, name, value)
    return seed


def _one_lender() -> None:
    """The statistics of the first peer are used without those of a second one."""
    from ...decisions.comeback import recovery
    from ...service import steering

    _put(recovery, "agreed", lambda fetched, machine: fetched[0] if fetched else None)
    _put(steering, "LENDERS", 1)


def _never_keep() -> None:
    """A snapshot is written under a name under which it is not read."""
    from ...store import snapshot
    from ...store.folder import Folder

    def write(folder: Folder, snapshot_to_write: Any) -> int:
        folder.write("snapshut", snapshot.FORM, b"lost")
        return 4
    _put(snapshot, "write", write)


def _promise_all() -> None:
    """Every caller is promised the next slot, however many were promised it before."""
    from ...decisions.comeback.calendar import SLOT, Calendar

    def promise(self: Calendar, caller: int, method: int, now: int, latest: int) -> int:
        self.promises[caller, method] = now + SLOT
        return SLOT
    _put(Calendar, "promise", promise)


def _calls_unbound() -> None:
    """The call limit is twenty times the instance's share, and slow replies do not lower it."""
    from ...decisions.comeback.pilot import Pilot

    def apply(self: Pilot, control: Any, bounds: Any) -> None:
        control.below.bound(20 * self.most, 20 * self.most)
    _put(Pilot, "steer", apply)


def _knows_nothing() -> None:
    """A new allocator assumes that its predecessors granted nothing."""
    from ...decisions.budgets.purse import Purse

    _put(Purse, "unknown", lambda self, now: 0)


def _asked_back_is_free() -> None:
    """Units asked back count as free before their holder confirms it; only half of the units in use are charged."""
    from ...decisions.budgets.purse import Purse

    handle_claim = Purse.claimed

    def free_early(self: Purse, process: Any, row: Any, request_id: int, now: int) -> int | None:
        units = handle_claim(self, process, row, request_id, now)
        if units is not None:
            self._charge(self.accounts[process], min(self.accounts[process].given, row.using) // 2)
        return units
    _put(Purse, "claimed", free_early)


def _keeps_its_part() -> None:
    """A grant does not expire."""
    from ...decisions.budgets.holding import EVER, Holding

    def apply_grant(self: Holding, units: int, requested_at: int) -> None:
        self.part, self.ends = max(self.part, units), EVER - 1
    _put(Holding, "granted", apply_grant)


def _bounds_unheard() -> None:
    """The decision module does not get the limit of its allocation."""
    from ...service.allotment import Allotment

    _put(Allotment, "bind", lambda self, control, now: 1 << 62)


BREAKS: dict[str, Callable[[], None]] = {
    "no-doubt": _no_doubt, "doubt-pushes-back": _doubt_pushes_back, "one-lender": _one_lender,
    "any-age": _recovery("age", lambda written_ms, now_ms: 0.0),
    "any-weight": _recovery("weight", lambda kind, age_s: 1.0),
    "from-the-future": _recovery("age", lambda written_ms, now_ms: max(0.0, (now_ms - written_ms) / 1000)),
    "any-machine": _recovery("machine_mark", lambda settings: 7),
    "never-keep": _never_keep, "promise-all": _promise_all, "calls-unbound": _calls_unbound,
    "no-refutation": _no_refutation, "older-boot": _older_boot, "accuse-asleep": _accuse_asleep,
    "never-ask-lost": _never_ask_lost, "babble": _babble, "boot-falls": _boot_falls,
    "forget-tokens": _forget_tokens, "push-back-what-ran": _push_back_what_ran, "swallow": _swallow,
    "knows-nothing": _knows_nothing, "asked-back-is-free": _asked_back_is_free, "keeps-its-part": _keeps_its_part,
    "bounds-unheard": _bounds_unheard, "run-late": _run_late, "hear-late": _hear_late, "hoard": _hoard}


