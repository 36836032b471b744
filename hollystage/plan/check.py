"""Checks between the entries of a plan: references, unreachable routes, sums of shares, implausible times."""
from __future__ import annotations

from collections.abc import Iterator
from fractions import Fraction
from statistics import median

from ..language.diagnostics import Diagnostics, Location, nearest
from ..language.units import TIME, Quantity, format_amount
from . import fleetwide, sections
from .model import Plan
from .sections import Section

EntryLocations = list[tuple[Location, dict[str, Location]]]  # of each entry: its own location, and that of each key
MAX_RATIO_TO_MEDIAN = 50  # a time beyond this factor was most likely written in another unit
# key -> the section whose entries it names
REFERENCED_SECTIONS = {"method": "method", "tenant": "tenant", "ledger": "ledger", "pool": "pool", "heir": "pool",
                       "methods": "method"}


def check(plan: Plan, locations: EntryLocations, unreadable: set[tuple[str, str]], unparsed_names: set[str],
          diagnostics: Diagnostics) -> None:
    """Adds every problem between the entries of the plan to `diagnostics`.

    Args:
        locations: of the entries of the plan, in their order.
        unreadable: section and name of entries that exist in the script but could not be converted. References to
            them are valid.
        unparsed_names: names in statements that could not be parsed. What these statements may have defined is not
            reported as missing.
    """
    _Checker(plan, locations, unreadable, unparsed_names, diagnostics).run()


class _Checker:
    """One check of one plan."""

    def __init__(self, plan: Plan, locations: EntryLocations, unreadable: set[tuple[str, str]],
                 unparsed_names: set[str], diagnostics: Diagnostics) -> None:
        self.plan, self.diagnostics, self.unparsed_names = plan, diagnostics, unparsed_names
        self.rows = [(entry.value, *location) for entry, location in zip(plan.entries, locations, strict=True)]
        self.names: dict[str, set[str]] = {}  # section -> names of its entries
        for section, _, _ in self.rows:
            self.names.setdefault(section.section_name, set()).add(section.title())
        for section_name, name in unreadable:
            self.names.setdefault(section_name, set()).add(name)
        self.referenced: set[tuple[str, str]] = set()  # section and name of what an entry refers to

    def run(self) -> None:
        self._check_references()
        self._check_routes()
        self._check_shares()
        self._check_pools()
        self._check_times()
        self._check_completeness()
        self._check_budgets()
        self._check_unused()

    def _report(self, location: Location, message: str, fix: str, is_warning: bool = False) -> None:
        self.diagnostics.add(location, message, fix, "warning" if is_warning else "error")

    def _rows_of(self, kind: type[Section]) -> Iterator[tuple[Section, Location, dict[str, Location]]]:
        return (row for row in self.rows if isinstance(row[0], kind))

    def _check_references(self) -> None:
        """Reports references to entries that do not exist.

        A plan without any method (or tenant) leaves them to the platform's JSON, so references to them are not
        checked here.
        """
        for section, location, key_locations in self.rows:
            for key, target in REFERENCED_SECTIONS.items():
                reference = getattr(section, key, None)
                if reference is None or key == section.section_name:
                    continue
                for name in reference if isinstance(reference, list) else [reference]:
                    known = self.names.get(target, set())
                    if target in ("method", "tenant") and not known:
                        continue
                    self.referenced.add((target, name))
                    if name not in known:
                        close = nearest(name, known)
                        self._report(key_locations.get(key, location), f'the {target} "{name}" does not exist',
                                     f'write "{close}"' if close else f'add {target}("{name}", ...)')

    def _check_routes(self) -> None:
        """Reports duplicate, conflicting and unreachable routes: the first route that matches an RPC is used.

        Takes time linear in the number of routes, whatever they match.
        """
        exact: dict[tuple[str | None, ...], tuple[sections.Route, Location]] = {}
        prefixes: dict[tuple[str | None, str | None], dict[str, Location]] = {}
        for section, location, key_locations in self._rows_of(sections.Route):
            assert isinstance(section, sections.Route)
            first = exact.get((section.method, section.tenant, section.object))
            place = key_locations.get("object", key_locations.get("method", key_locations.get("tenant", location)))
            if first is not None:
                same = (first[0].pool, first[0].ledger) == (section.pool, section.ledger)
                self._report(place, f"a duplicate of the route at {first[1].file}:{first[1].line}" if same
                             else f"a route that conflicts with the one at {first[1].file}:{first[1].line}: both "
                             f"match {section.title()}", "remove one")
                continue
            covering = self._find_covering_route(section, prefixes)
            if covering is not None:
                self._report(place, f"an unreachable route: the one at {covering.file}:{covering.line} covers it",
                             "move it above that route, or remove it")
            exact[section.method, section.tenant, section.object] = section, location
            prefix = "" if section.object is None else section.object
            if section.object is None or section.object.endswith("*"):
                prefixes.setdefault((section.method, section.tenant), {}).setdefault(prefix.rstrip("*"), location)

    @staticmethod
    def _find_covering_route(route: sections.Route,
                             prefixes: dict[tuple[str | None, str | None], dict[str, Location]]) -> Location | None:
        """Location of an earlier route that matches everything that `route` matches, or None."""
        prefix = (route.object or "").rstrip("*")
        for method in {route.method, None}:
            for tenant in {route.tenant, None}:
                known = prefixes.get((method, tenant))
                if known is None:
                    continue
                for length in range(len(prefix) + 1):
                    if prefix[:length] in known:
                        return known[prefix[:length]]
        return None

    def _check_shares(self) -> None:
        """The guaranteed shares of all pools and the reserve must not exceed the whole."""
        total, last = 0.0, None
        for section, location, key_locations in self._rows_of(sections.Pool):
            assert isinstance(section, sections.Pool)
            total, last = total + section.guaranteed, key_locations.get("guaranteed", location)
        reserve = next(self._rows_of(sections.Reserve), None)
        if reserve is not None and isinstance(reserve[0], sections.Reserve):
            total += reserve[0].running
            last = reserve[2].get("running", last or reserve[1])
        if total > 1 + 1e-9 and last is not None:
            self._report(last, f"pools and reserve guarantee {round(total * 100, 3):g}% in total",
                         "reduce them to 100% or less in total")

    def _check_pools(self) -> None:
        """Reports methods that are in two pools, and pools whose heirs form a cycle."""
        owner: dict[str, str] = {}
        heirs: dict[str, str] = {}
        for section, location, key_locations in self._rows_of(sections.Pool):
            assert isinstance(section, sections.Pool)
            for method in section.methods:
                if method in owner:
                    self._report(key_locations.get("methods", location), f'the method "{method}" is already in the '
                                 f'pool "{owner[method]}"', "list it in one pool only")
                owner.setdefault(method, section.name)
            if section.heir is not None:
                heirs[section.name] = section.heir
        for section, location, key_locations in self._rows_of(sections.Pool):
            name, seen = section.title(), set()
            while name in heirs and name not in seen:
                seen.add(name)
                name = heirs[name]
            if name == section.title() and len(seen) > 1:
                self._report(key_locations.get("heir", location), f"a cycle of heirs: {' -> '.join(sorted(seen))}",
                             "name an heir outside the cycle")

    def _check_times(self) -> None:
        """Reports times far from the median of their key over all methods.

        A deadline of 2100s is within the bounds of the key. Among methods with deadlines of a few seconds it is most
        likely a mistake for 2.1s.
        """
        for key in ("target", "deadline", "window"):
            rows = [(getattr(section, key), location, key_locations)
                    for section, location, key_locations in self._rows_of(sections.Method) if getattr(section, key)]
            if len(rows) < 3:
                continue
            middle = median(amount for amount, _, _ in rows)
            for amount, location, key_locations in rows:
                if amount > MAX_RATIO_TO_MEDIAN * middle or amount * MAX_RATIO_TO_MEDIAN < middle:
                    likely = next((factor for factor in (Fraction(1, 1000), Fraction(1000), Fraction(1, 60),
                                                         Fraction(60), Fraction(1, 10 ** 6), Fraction(10 ** 6))
                                   if middle / 10 <= amount * factor <= middle * 10), None)
                    fix = f"write {_format_time(amount * likely)}" if likely else "check its unit"
                    self._report(key_locations.get(key, location),
                                 f"a {key} of {_format_time(Fraction(amount))}, while the median over all methods is "
                                 f"{_format_time(Fraction(middle))}", fix)

    def _check_completeness(self) -> None:
        """Checks that machine, rules and methods come together, and that every ceiling allows at least one core.

        A plan that describes a machine describes it completely. A plan with none of the three adds to the settings in
        the platform's JSON.
        """
        required = ("machine", "rules", "method")
        present = [name for name in required if name in self.names]
        if present and len(present) < len(required):
            missing = [name for name in required if name not in present]
            location = next((location for section, location, _ in self.rows if section.section_name in present), None)
            if location is not None and not self.unparsed_names.intersection(missing):
                self._report(location, f"{' and '.join(present)} without {' and '.join(missing)}",
                             f"add {' and '.join(f'{name}(...)' for name in missing)}")
        machine = next(self._rows_of(sections.Machine), None)
        if machine is None or not isinstance(machine[0], sections.Machine):
            return
        for section, location, key_locations in self._rows_of(sections.Pool):
            if isinstance(section, sections.Pool) and section.ceiling * machine[0].cores < 1:
                self._report(key_locations.get("ceiling", location),
                             f"a ceiling of less than one of {machine[0].cores} cores",
                             f"write {-(-100 // machine[0].cores)}% or more")

    def _check_budgets(self) -> None:
        """A budget needs a fleet whose instances communicate, leases, and floors that fit into its total."""
        fleet = next((section for section, _, _ in self._rows_of(sections.Fleet)), None)
        communicates = isinstance(fleet, sections.Fleet) and fleet.bind is not None
        seen: dict[str, str] = {}
        for section, location, key_locations in self._rows_of(fleetwide.Budget):
            assert isinstance(section, fleetwide.Budget)
            if section.of in seen:
                self._report(key_locations.get("of", location),
                             f'a second budget of {section.of}; the first one is "{seen[section.of]}"', "remove one")
            seen.setdefault(section.of, section.name)
            if not communicates and "fleet" not in self.unparsed_names:
                self._report(location, "a budget for instances that do not communicate",
                             "add fleet(bind = ..., key = ...)")
            if "leases" not in self.names and "leases" not in self.unparsed_names:
                self._report(location, "a budget without leases: no instance may allocate it",
                             "add leases(voters = [...])")
            max_instances = section.most or (fleet.instances if isinstance(fleet, sections.Fleet) else 1)
            if section.floor * max_instances > section.whole:
                self._report(key_locations.get("floor", location), f"floors of {section.floor} for {max_instances} "
                             f"instances exceed the whole of {section.whole}",
                             f"write {section.whole // max_instances}, or a lower most")
        for _, location, _ in self._rows_of(fleetwide.Leases):
            if not seen and "budget" not in self.unparsed_names:
                self._report(location, "leases without a budget", "add budget(...), or remove it", True)

    def _check_unused(self) -> None:
        """Warns of ledgers and pools that receive nothing. The first ledger is the default and needs no route."""
        if "route" in self.unparsed_names:
            return
        ledgers = [(section, location) for section, location, _ in self._rows_of(sections.Ledger)]
        for section, location in ledgers[1:]:
            if ("ledger", section.title()) not in self.referenced:
                self._report(location, f'no route leads to the ledger "{section.title()}"',
                             "add a route, or remove the ledger", True)
        for section, location, _ in self._rows_of(sections.Pool):
            if (isinstance(section, sections.Pool) and not section.methods
                    and ("pool", section.name) not in self.referenced):
                self._report(location, f'the pool "{section.name}" receives no RPCs', "add methods or a route", True)


def _format_time(amount: Fraction) -> str:
    return format_amount(Quantity(amount, TIME))
