"""Static check of names before evaluation: undefined, duplicate and unused names.

The bodies of functions are checked even if the functions are never called.
"""
from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from . import tree
from .diagnostics import Diagnostics, Location, nearest
from .tree import Node, Position


@dataclass(slots=True)
class Scope:
    """The names of a file, a function or a comprehension, with the position of each first definition."""

    outer: Scope | None = None
    defined: dict[str, Position] = field(default_factory=dict)
    used: set[str] = field(default_factory=set)

    def use(self, name: str) -> bool:
        """Marks a name as used in the innermost scope that defines it; returns whether there is one."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.defined:
                scope.used.add(name)
                return True
            scope = scope.outer
        return False

    def visible_names(self) -> Iterable[str]:
        """The names of this scope and all outer ones."""
        scope: Scope | None = self
        while scope is not None:
            yield from scope.defined
            scope = scope.outer


class NameChecker:
    """Checks one file; `predefined` are the names of builtins and sections."""

    def __init__(self, file: str, predefined: Iterable[str], is_root: bool, diagnostics: Diagnostics) -> None:
        self.file, self.predefined_names, self.is_root, self.diagnostics = file, set(predefined), is_root, diagnostics
        self.file_scope = Scope()
        self.loop_variables: set[str] = set()  # variables of top-level loops, which later loops may reuse

    def check(self, statements: list[Node]) -> None:
        """Checks all statements of the file; unused names and unused imports give warnings."""
        top = self.file_scope
        for statement in statements:
            self._declare(statement, top, True)
        for statement in statements:
            self._check_statement(statement, top)
        loaded = {name.name for node in statements if isinstance(node, tree.Load) for name, _, _ in node.names}
        for name, position in top.defined.items():
            if name in top.used or name in self.loop_variables or name.startswith("_") and name not in loaded:
                continue
            if name in loaded:
                self._report(position, f"{name} is loaded but never used", "remove it from load()", warn=True)
            elif self.is_root:
                self._report(position, f"{name} is never used", "use it, or remove it", warn=True)

    def exported(self) -> list[str]:
        """The names that other files may load."""
        return [name for name in self.file_scope.defined if not name.startswith("_")]

    # Definitions

    def _declare(self, node: Node, scope: Scope, top: bool) -> None:
        """Adds the names that a statement defines to `scope`; `top` is True at the top level of the file."""
        match node:
            case tree.Assign():
                for target in node.targets:
                    self._define(target, scope, top)
            case tree.AugmentedAssign() if not top:
                self._define(node.target, scope, False)
            case tree.FunctionDefinition():
                self._define(node.name, scope, top)
            case tree.Load():
                for name, _, _ in node.names:
                    self._define(name, scope, top)
            case tree.ForLoop():
                for target in node.targets:
                    if top and (target.name in self.loop_variables or target.name not in scope.defined):
                        self.loop_variables.add(target.name)
                        scope.defined.setdefault(target.name, target.position)
                    else:
                        self._define(target, scope, top)
                for inner in node.body:
                    self._declare(inner, scope, top)
            case tree.IfStatement():
                before = dict(scope.defined)
                for body in (*(body for _, body in node.branches), node.otherwise):
                    # every branch may define the same name
                    scope.defined, defined_before = dict(before), scope.defined
                    for inner in body:
                        self._declare(inner, scope, top)
                    scope.defined = defined_before | scope.defined
            case _:
                pass

    def _define(self, target: tree.Name, scope: Scope, top: bool) -> None:
        name = target.name
        if name in self.predefined_names:
            self._report(target.position, f"{name} is a reserved name", "choose another name")
            return
        if top and name in scope.defined:
            self._report(target.position, f"{name} is already defined in line {scope.defined[name].line}",
                         "choose another name")
        scope.defined.setdefault(name, target.position)

    # Uses

    def _check_statement(self, node: Node, scope: Scope) -> None:
        match node:
            case tree.Assign() | tree.ExpressionStatement():
                self._check_expression(node.value, scope)
            case tree.AugmentedAssign():
                self._check_expression(node.target, scope)
                self._check_expression(node.value, scope)
                if scope is self.file_scope:
                    self._report(node.position, "+= outside a def",
                                 f"write NAME = {node.target.name} + ... with a new name")
            case tree.Return():
                if node.value is not None:
                    self._check_expression(node.value, scope)
            case tree.FunctionDefinition():
                inner = Scope(scope)
                for name, default in node.parameters:
                    if default is not None:
                        self._check_expression(default, scope)
                    if name.name in inner.defined:
                        self._report(name.position, f"duplicate parameter {name.name}", "rename one")
                    inner.defined.setdefault(name.name, name.position)
                parameters = set(inner.defined)
                for statement in node.body:
                    self._declare(statement, inner, False)
                for statement in node.body:
                    self._check_statement(statement, inner)
                for local, position in inner.defined.items():
                    if local not in inner.used and local not in parameters and not local.startswith("_"):
                        self._report(position, f"{local} is never used", "use it, or remove it", warn=True)
            case tree.ForLoop():
                self._check_expression(node.items, scope)
                for statement in node.body:
                    self._check_statement(statement, scope)
            case tree.IfStatement():
                for test, body in node.branches:
                    self._check_expression(test, scope)
                    for statement in body:
                        self._check_statement(statement, scope)
                for statement in node.otherwise:
                    self._check_statement(statement, scope)
            case _:
                pass

    def _check_expression(self, node: Node, scope: Scope) -> None:
        match node:
            case tree.Name():
                if not scope.use(node.name) and node.name not in self.predefined_names:
                    close = nearest(node.name, [*scope.visible_names(), *self.predefined_names])
                    self._report(node.position, f"{node.name} is not defined",
                                 f"write {close}" if close else "define it, or load it")
            case tree.ListLiteral():
                for item in node.items:
                    self._check_expression(item, scope)
            case tree.DictLiteral():
                for pair in node.pairs:
                    for part in pair:
                        self._check_expression(part, scope)
            case tree.Comprehension():
                inner = Scope(scope)
                for clause in node.clauses:
                    if isinstance(clause, tree.ForClause):
                        self._check_expression(clause.items, inner)
                        inner.defined |= {target.name: target.position for target in clause.targets}
                    else:
                        self._check_expression(clause.test, inner)
                if node.key is not None:
                    self._check_expression(node.key, inner)
                self._check_expression(node.value, inner)
            case tree.Conditional():
                for pair in node.branches:
                    for part in pair:
                        self._check_expression(part, scope)
                self._check_expression(node.otherwise, scope)
            case tree.BoolOperation():
                for part in node.parts:
                    self._check_expression(part, scope)
            case tree.Negation() | tree.UnaryOperation():
                self._check_expression(node.part, scope)
            case tree.Comparison():
                self._check_expression(node.left, scope)
                self._check_expression(node.right, scope)
            case tree.OperatorChain():
                self._check_expression(node.first, scope)
                for _, _, part in node.rest:
                    self._check_expression(part, scope)
            case tree.Call():
                self._check_expression(node.function, scope)
                seen: set[str] = set()
                for argument in node.arguments:
                    if argument.name and argument.name in seen:
                        self._report(argument.position, f"the argument {argument.name} is repeated", "remove one")
                    seen.add(argument.name)
                    self._check_expression(argument.value, scope)
            case tree.Index():
                self._check_expression(node.value, scope)
                self._check_expression(node.key, scope)
            case tree.Attribute():
                self._check_expression(node.value, scope)
            case _:
                pass

    def _report(self, position: Position, message: str, fix: str, warn: bool = False) -> None:
        self.diagnostics.add(Location(self.file, *position), message, fix, "warning" if warn else "error")
