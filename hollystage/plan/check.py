"""What must hold between the entries of a plan: names that exist, routes that are reached, shares that add up."""
from __future__ import annotations

from collections.abc import Iterator
from fractions import Fraction
from statistics import median

from ..language.faults import Faults, Where, nearest
from ..language.units import TIME, Quantity, written
from . import fleetwide, sections
from .model import Plan
from .sections import Section

Places = list[tuple[Where, dict[str, Where]]]
APART = 50  # times the median of its fellows: a time of another order, most likely of another unit
REFERENCES = {"method": "method", "tenant": "tenant", "ledger": "ledger", "pool": "pool", "heir": "pool",
              "methods": "method"}


def check(plan: Plan, places: Places, broken: set[tuple[str, str]], unread: set[str], faults: Faults) -> None:
    """Adds all that is wrong to `faults`; `broken` are entries that exist but could not be read, `unread` words
    of statements that could not: what they would have brought is not called missing."""
    _Checker(plan, places, broken, unread, faults).run()


class _Checker:
    def __init__(self, plan: Plan, places: Places, broken: set[tuple[str, str]], unread: set[str],
                 faults: Faults) -> None:
        self.plan, self.faults, self.unread = plan, faults, unread
        self.rows = [(entry.value, *place) for entry, place in zip(plan.entries, places, strict=True)]
        self.names: dict[str, set[str]] = {}
        for value, _, _ in self.rows:
            self.names.setdefault(value.word, set()).add(value.title())
        for word, name in broken:
            self.names.setdefault(word, set()).add(name)
        self.used: set[tuple[str, str]] = set()

    def run(self) -> None:
        self._references()
        self._routes()
        self._shares()
        self._pools()
        self._times()
        self._whole()
        self._budgets()
        self._unused()

    def _tell(self, where: Where, what: str, fix: str, warn: bool = False) -> None:
        self.faults.add(where, what, fix, "warning" if warn else "error")

    def _of(self, kind: type[Section]) -> Iterator[tuple[Section, Where, dict[str, Where]]]:
        return (row for row in self.rows if isinstance(row[0], kind))

    def _references(self) -> None:
        """A plan that says nothing of methods or tenants leaves them to the platform's JSON."""
        for value, where, at in self.rows:
            for key, word in REFERENCES.items():
                named = getattr(value, key, None)
                if named is None or key == value.word:
                    continue
                for name in named if isinstance(named, list) else [named]:
                    known = self.names.get(word, set())
                    if word in ("method", "tenant") and not known:
                        continue
                    self.used.add((word, name))
                    if name not in known:
                        close = nearest(name, known)
                        self._tell(at.get(key, where), f'the {word} "{name}" does not exist',
                                   f'write "{close}"' if close else f'add {word}("{name}", ...)')

    def _routes(self) -> None:
        """The first that matches counts; linear in their number, whatever they say."""
        exact: dict[tuple[str | None, ...], tuple[sections.Route, Where]] = {}
        starts: dict[tuple[str | None, str | None], dict[str, Where]] = {}
        for value, where, at in self._of(sections.Route):
            assert isinstance(value, sections.Route)
            first = exact.get((value.method, value.tenant, value.object))
            place = at.get("object", at.get("method", at.get("tenant", where)))
            if first is not None:
                same = (first[0].pool, first[0].ledger) == (value.pool, value.ledger)
                self._tell(place, f"a route that says the same as that of {first[1].file}:{first[1].line}" if same
                           else f"a route that clashes with that of {first[1].file}:{first[1].line}: both match "
                           f"{value.title()}", "remove one")
                continue
            over = self._covered(value, starts)
            if over is not None:
                self._tell(place, f"a route that none can reach: that of {over.file}:{over.line} matches all of it",
                           "move it further up, or remove it")
            exact[value.method, value.tenant, value.object] = value, where
            start = "" if value.object is None else value.object
            if value.object is None or value.object.endswith("*"):
                starts.setdefault((value.method, value.tenant), {}).setdefault(start.rstrip("*"), where)

    @staticmethod
    def _covered(route: sections.Route, starts: dict[tuple[str | None, str | None], dict[str, Where]]
                 ) -> Where | None:
        start = (route.object or "").rstrip("*")
        for method in {route.method, None}:
            for tenant in {route.tenant, None}:
                known = starts.get((method, tenant))
                if known is None:
                    continue
                for length in range(len(start) + 1):
                    if start[:length] in known:
                        return known[start[:length]]
        return None

    def _shares(self) -> None:
        total, last = 0.0, None
        for value, where, at in self._of(sections.Pool):
            assert isinstance(value, sections.Pool)
            total, last = total + value.guaranteed, at.get("guaranteed", where)
        reserve = next(self._of(sections.Reserve), None)
        if reserve is not None and isinstance(reserve[0], sections.Reserve):
            total += reserve[0].running
            last = reserve[2].get("running", last or reserve[1])
        if total > 1 + 1e-9 and last is not None:
            self._tell(last, f"pools and reserve together have {round(total * 100, 3):g}% guaranteed",
                       "let them add up to 100% at most")

    def _pools(self) -> None:
        owner: dict[str, str] = {}
        heirs: dict[str, str] = {}
        for value, where, at in self._of(sections.Pool):
            assert isinstance(value, sections.Pool)
            for method in value.methods:
                if method in owner:
                    self._tell(at.get("methods", where), f'the method "{method}" is in the pool "{owner[method]}" '
                               "already", "name it in one pool")
                owner.setdefault(method, value.name)
            if value.heir is not None:
                heirs[value.name] = value.heir
        for value, where, at in self._of(sections.Pool):
            name, seen = value.title(), set()
            while name in heirs and name not in seen:
                seen.add(name)
                name = heirs[name]
            if name == value.title() and len(seen) > 1:
                self._tell(at.get("heir", where), f"pools that inherit from each other: {' -> '.join(sorted(seen))}",
                           "name an heir outside the circle")

    def _times(self) -> None:
        """Guards against 2100s among 2s: each alone is allowed, beside its fellows it is not."""
        for key in ("target", "deadline", "window"):
            rows = [(getattr(value, key), where, at) for value, where, at in self._of(sections.Method)
                    if getattr(value, key)]
            if len(rows) < 3:
                continue
            middle = median(amount for amount, _, _ in rows)
            for amount, where, at in rows:
                if amount > APART * middle or amount * APART < middle:
                    meant = next((factor for factor in (Fraction(1, 1000), Fraction(1000), Fraction(1, 60),
                                                        Fraction(60), Fraction(1, 10 ** 6), Fraction(10 ** 6))
                                  if middle / 10 <= amount * factor <= middle * 10), None)
                    fix = f"write {_time(amount * meant)}" if meant else "check its unit"
                    self._tell(at.get(key, where), f"a {key} of {_time(Fraction(amount))} among methods with "
                               f"{_time(Fraction(middle))}", fix)

    def _whole(self) -> None:
        """A plan that describes a machine describes all of it; one that does not adds to the platform's JSON."""
        words = ("machine", "rules", "method")
        there = [word for word in words if word in self.names]
        if there and len(there) < len(words):
            lacking = [word for word in words if word not in there]
            where = next((where for value, where, _ in self.rows if value.word in there), None)
            if where is not None and not self.unread.intersection(lacking):
                self._tell(where, f"{' and '.join(there)} without {' and '.join(lacking)}",
                           f"add {' and '.join(f'{word}(...)' for word in lacking)}")
        machine = next(self._of(sections.Machine), None)
        if machine is None or not isinstance(machine[0], sections.Machine):
            return
        for value, where, at in self._of(sections.Pool):
            if isinstance(value, sections.Pool) and value.ceiling * machine[0].cores < 1:
                self._tell(at.get("ceiling", where), f"a ceiling of less than one of {machine[0].cores} cores",
                           f"write {-(-100 // machine[0].cores)}% or more")

    def _budgets(self) -> None:
        """What is divided needs somebody to talk to, and floors that fit into the whole."""
        fleet = next((value for value, _, _ in self._of(sections.Fleet)), None)
        talks = isinstance(fleet, sections.Fleet) and fleet.bind is not None
        seen: dict[str, str] = {}
        for value, where, at in self._of(fleetwide.Budget):
            assert isinstance(value, fleetwide.Budget)
            if value.of in seen:
                self._tell(at.get("of", where), f'a second budget of {value.of}, beside "{seen[value.of]}"',
                           "remove one")
            seen.setdefault(value.of, value.name)
            if not talks and "fleet" not in self.unread:
                self._tell(where, "a budget of instances that do not talk", "add fleet(bind = ..., key = ...)")
            if "leases" not in self.names and "leases" not in self.unread:
                self._tell(where, "a budget that nobody divides", "add leases(voters = [...])")
            most = value.most or (fleet.instances if isinstance(fleet, sections.Fleet) else 1)
            if value.floor * most > value.whole:
                self._tell(at.get("floor", where), f"floors of {value.floor} for {most} instances are more than the "
                           f"whole of {value.whole}", f"write {value.whole // most}, or fewer with most = ...")
        for _, where, _ in self._of(fleetwide.Leases):
            if not seen and "budget" not in self.unread:
                self._tell(where, "voters with nothing to vote on", "add budget(...), or remove it", True)

    def _unused(self) -> None:
        if "route" in self.unread:
            return
        ledgers = [(value, where) for value, where, _ in self._of(sections.Ledger)]
        for value, where in ledgers[1:]:
            if ("ledger", value.title()) not in self.used:
                self._tell(where, f'no route leads to the ledger "{value.title()}"', "add one, or remove it", True)
        for value, where, _ in self._of(sections.Pool):
            if isinstance(value, sections.Pool) and not value.methods and ("pool", value.name) not in self.used:
                self._tell(where, f'nothing goes to the pool "{value.name}"', "give it methods or a route", True)


def _time(amount: Fraction) -> str:
    return written(Quantity(amount, TIME))
