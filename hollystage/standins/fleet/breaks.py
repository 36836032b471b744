"""Faults to seed into a member"s decisions, each by its name, so that every checker can be shown to catch one.

Only the rig"s entry point knows of them; the product holds no switch for any.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...decisions.membership import Members
from ...decisions.records import Record


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
    from ...decisions.news import Gazette

    _put(Gazette, "limit", lambda self, members: 1 << 30)
    heard = Members.heard

    def more(self: Members, sender: Record, word: Any, news: Any, now: int) -> None:
        heard(self, sender, word, news, now)
        from ...decisions.membership import Ping
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


def _hoard() -> None:
    """Three megabytes are kept for each RPC."""
    from ...service.driver import Driver

    kept: list[bytes] = []
    real = Driver.arrived

    def arrived(self: Driver, exchange: Any) -> str:
        kept.append(b"x" * (3 << 20))
        return real(self, exchange)
    _put(Driver, "arrived", arrived)


BREAKS: dict[str, Callable[[], None]] = {
    "no-refutation": _no_refutation, "older-boot": _older_boot, "accuse-asleep": _accuse_asleep,
    "never-ask-lost": _never_ask_lost, "babble": _babble, "boot-falls": _boot_falls,
    "forget-tokens": _forget_tokens, "push-back-what-ran": _push_back_what_ran, "swallow": _swallow,
    "run-late": _run_late, "hoard": _hoard}


