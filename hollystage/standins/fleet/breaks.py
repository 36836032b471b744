"""Faults to seed into a member"s decisions, each by its name, so that every checker can be shown to catch one.

Only the rig"s entry point knows of them; the product holds no switch for any.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...decisions.membership.members import Members
from ...decisions.membership.records import Record


def _put(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


def _no_refutation() -> None:
    """A member that is accused says nothing."""
    def of_me(self: Members, said: Record) -> None:
        if said.process > self.me.process:
            self._outlive(said.boot)
    _put(Members, "_of_me", of_me)


def _older_boot() -> None:
    """What was said of an older boot counts over a newer one, if it is worse."""
    def weight(self: Record) -> tuple[int, int, int, int]:
        return 0, 0, self.incarnation, self.belief
    _put(Record, "process", property(lambda self: (0, 0)))
    _put(Record, "weight", property(weight))


def _accuse_asleep() -> None:
    """One that slept itself goes on as if nothing were, and looks at its timers before it reads what came."""
    def wake(self: Members, now: int) -> None:
        self.now = max(self.now, now)
        self.stalls.due = 0
    heard = Members.heard

    def late(self: Members, sender: Record, word: Any, news: Any, now: int) -> None:
        self.tick(now)
        heard(self, sender, word, news, now)
    _put(Members, "_wake", wake)
    _put(Members, "heard", late)


def _never_ask_lost() -> None:
    """Who is held for lost is never asked again."""
    def ask(self: Members, _: None) -> None:
        pass
    _put(Members, "_ask_lost", ask)


def _babble() -> None:
    """News is told for ever, and every datagram is answered with another."""
    from ...decisions.membership.news import Gazette

    _put(Gazette, "limit", lambda self, members: 1 << 30)
    heard = Members.heard

    def more(self: Members, sender: Record, word: Any, news: Any, now: int) -> None:
        heard(self, sender, word, news, now)
        from ...decisions.membership.words import Ping
        for name in self._some(2):
            self.seq += 1
            if self.seq % 3:
                self._send(self.records[name].address, Ping(self.seq, name))
    _put(Members, "heard", more)


def _boot_falls() -> None:
    """A start takes any boot number."""
    from ...store import boots

    _put(boots, "next_boot", lambda folder, clock_ms, log: 1 + clock_ms % 7)
    _put(Members, "_outlive", lambda self, boot: None)


def _forget_tokens() -> None:
    """Repeats of tokened RPCs are not known."""
    from ...service.tokens import Tokens

    _put(Tokens, "earlier", lambda self, token: None)


def _push_back_what_ran() -> None:
    """Each twentieth result of a run is answered as a pushback."""
    from ...service import clients

    count = 0
    real: Any = clients.__dict__["write_response"]

    def lying(status: int, fields: dict[str, str], body: bytes, keep: bool) -> bytes:
        nonlocal count
        if status == 200 and body:
            count += 1
            if count % 20 == 0:
                return bytes(real(503, {}, b"", keep))
        return bytes(real(status, fields, body, keep))
    _put(clients, "write_response", lying)


def _swallow() -> None:
    """Each thirtieth result is never written."""
    from ...service import clients

    count = 0
    real: Any = clients.__dict__["write_response"]

    def quiet(status: int, fields: dict[str, str], body: bytes, keep: bool) -> bytes:
        nonlocal count
        count += status == 200
        return b"" if status == 200 and count % 30 == 0 else bytes(real(status, fields, body, keep))
    _put(clients, "write_response", quiet)


def _run_late() -> None:
    """Work is taken all through a drain."""
    from ...control import Control

    _put(Control, "leaving", lambda self, left, now: None)
    from ...service.clients import Clients
    _put(Clients, "close", lambda self: None)
    _put(Clients, "count", lambda self: 1)


def _hear_late() -> None:
    """A notice counts from when it is heard, and nothing waits for a look after a sleep."""
    from ...decisions.leaving.notice import Notice

    _put(Notice, "given", lambda self, now: now)
    _put(Notice, "in_doubt", lambda self, came: False)


def _hoard() -> None:
    """Three megabytes are kept for each RPC."""
    from ...service.driver import Driver

    kept: list[bytes] = []
    real = Driver.arrived

    def arrived(self: Driver, exchange: Any) -> str:
        kept.append(b"x" * (3 << 20))
        return real(self, exchange)
    _put(Driver, "arrived", arrived)


def _no_doubt() -> None:
    """After a start without its table every further try is run."""
    from ...decisions.comeback.recovery import Doubt

    _put(Doubt, "may_have_run", lambda *_: False)


def _doubt_pushes_back() -> None:
    """What may have run is pushed back, as if it had not."""
    from ...interface import Do
    from ...service.exchange import Exchange

    real = Exchange.post

    def post(self: Exchange, action: Any) -> None:
        new = action._replace(do=Do.PUSH_BACK, flag=True) if action.do is Do.ABORT else action
        real(self, new)
    _put(Exchange, "post", post)


def _recovery(name: str, value: Any) -> Callable[[], None]:
    def seed() -> None:
        from ...decisions.comeback import recovery
        from ...store import snapshot

        _put(recovery, name, value)
        if hasattr(snapshot, name):
            _put(snapshot, name, value)
    return seed


def _one_lender() -> None:
    """The first peer's word is taken."""
    from ...decisions.comeback import recovery
    from ...service import steering

    _put(recovery, "agreed", lambda lent, machine: lent[0] if lent else None)
    _put(steering, "LENDERS", 1)


def _never_keep() -> None:
    """A snapshot is written elsewhere than it is looked for."""
    from ...store import snapshot
    from ...store.folder import Folder

    def write(folder: Folder, what: Any) -> int:
        folder.write("snapshut", snapshot.FORM, b"lost")
        return 4
    _put(snapshot, "write", write)


def _promise_all() -> None:
    """Every caller is told the next slot, whatever was given away before."""
    from ...decisions.comeback.calendar import SLOT, Calendar

    def promise(self: Calendar, caller: int, method: int, now: int, latest: int) -> int:
        self.promises[caller, method] = now + SLOT
        return SLOT
    _put(Calendar, "promise", promise)


def _calls_unbound() -> None:
    """What is below is asked for twenty times an instance's share, and slow replies are no sign of anything."""
    from ...decisions.comeback.pilot import Pilot

    def steer(self: Pilot, control: Any, bounds: Any) -> None:
        control.below.bound(20 * self.most, 20 * self.most)
    _put(Pilot, "steer", steer)


def _knows_nothing() -> None:
    """A divider that begins takes nothing for given."""
    from ...decisions.budgets.purse import Purse

    _put(Purse, "unknown", lambda self, now: 0)


def _asked_back_is_free() -> None:
    """What is asked back counts as free before its holder has said so, and a part is charged no longer than asked."""
    from ...decisions.budgets.purse import Purse

    claimed = Purse.claimed

    def hasty(self: Purse, who: Any, row: Any, turn: int, now: int) -> int | None:
        part = claimed(self, who, row, turn, now)
        if part is not None:
            self._charge(self.accounts[who], min(self.accounts[who].given, row.using) // 2)
        return part
    _put(Purse, "claimed", hasty)


def _keeps_its_part() -> None:
    """A part does not end."""
    from ...decisions.budgets.holding import EVER, Holding

    def granted(self: Holding, part: int, asked_at: int) -> None:
        self.part, self.ends = max(self.part, part), EVER - 1
    _put(Holding, "granted", granted)


def _bounds_unheard() -> None:
    """The decision module is not told of its part."""
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


