"""Evaluates a script: deterministic, without I/O except load(), and with bounds on time, memory and depth.

An error ends the statement in which it occurs, not the run. The names that the statement would have defined become
UNKNOWN, and everything computed from UNKNOWN is UNKNOWN too, so that one error is not reported again as others.
"""
from __future__ import annotations

import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from fractions import Fraction
from typing import Any

from . import tree
from .builtins import FUNCTIONS, METHODS, Misused
from .faults import Faults, Where, nearest
from .names import Names
from .sources import ALL, FILES, Folder, Refused, resolved, text_of
from .syntax import Parser
from .tree import At, Node
from .units import Mismatch, Quantity, amount_of, arithmetic, describe, dimension_of
from .values import UNKNOWN, Builtin, Function, Given, Record, Section

STEPS = 600_000  # nodes evaluated in one run
CALLS, DEPTH = 16, 400  # nested function calls; nested expressions
ITEMS, TEXT = 200_000, 1 << 20  # elements of one list, tuple or dict; characters of one string
MADE = 5_000_000  # elements and characters of all values of one run
FRAMES = 6_000  # Python stack frames, enough for the deepest tree that the bounds above allow


class Stop(Exception):
    """An error of the script at a position of the current file."""

    def __init__(self, position: At, message: str, fix: str) -> None:
        super().__init__(message)
        self.at, self.what, self.fix = position, message, fix


class Exhausted(Exception):
    """The run has reached a limit on steps or memory; nothing more is evaluated."""


class _Return(Exception):
    """Leaves a function of the script with a value."""

    def __init__(self, value: Any) -> None:
        super().__init__()
        self.value = value


class _Break(Exception):
    """Leaves the innermost loop of the script."""
    pass


class _Continue(Exception):
    """Starts the next iteration of the innermost loop of the script."""
    pass


class Module:
    """One source file: its text and the names that it defines."""

    def __init__(self, name: str, text: str) -> None:
        self.name, self.text = name, text
        self.names: dict[str, Any] = {}
        self.private: set[str] = set()  # loaded from other files, and not exported to further ones


@contextmanager
def _room() -> Iterator[None]:
    """Raises Python's recursion limit, since the evaluator is recursive.

    The depth of the tree is bounded by the limits above, so Python's own limit is not needed as a guard.
    """
    before = sys.getrecursionlimit()
    sys.setrecursionlimit(max(before, FRAMES))
    try:
        yield
    finally:
        sys.setrecursionlimit(before)


class Program:
    """One evaluation of a root file and all files that it loads."""

    def __init__(self, folder: Folder, sections: Mapping[str, Section], faults: Faults) -> None:
        self.folder, self.sections, self.faults = folder, sections, faults
        self.modules: dict[str, Module | None] = {}  # by file name; None for a file that cannot be used
        self.loading: list[tuple[str, Where]] = []
        self.parser = Parser()
        self.steps = self.made = self.depth = self.bytes = 0
        self.calls: list[Function] = []
        self.module = Module("", "")  # the file whose statements are being evaluated
        self.locals: list[dict[str, Any]] = []
        self.given = {*FUNCTIONS, *sections, "load"}
        self.builtins: dict[str, Any] = {name: Builtin(name, call) for name, call in FUNCTIONS.items()}

    def run(self, name: str) -> None:
        """Evaluates the root file `name`. Errors go to `diagnostics`, entries to the section functions."""
        with _room():
            try:
                self._load(name, Where(name, 1, 1), is_root=True)
            except Exhausted:
                pass

    def line(self, location: Where) -> str | None:
        """The source line at a location, or None if there is none."""
        module = self.modules.get(location.file)
        lines = module.text.split("\n") if module else []
        return lines[location.line - 1].rstrip("\r") if 0 < location.line <= len(lines) else None

    # Files

    def _load(self, name: str, location: Where, is_root: bool = False) -> Module | None:
        if any(name == loading_name for loading_name, _ in self.loading):
            chain = [loading_name for loading_name, _ in self.loading]
            chain = [*chain[chain.index(name):], name]
            self.faults.add(location, f"files that load each other: {' -> '.join(chain)}",
                            "move the shared definitions into a separate file")
            return None
        if name in self.modules:
            return self.modules[name]
        self.modules[name] = None
        if len(self.modules) > FILES:
            self.faults.add(location, f"more than {FILES} files", "merge some of them")
            return None
        try:
            data = self.folder.read(name)
        except Refused as error:
            self.faults.add(location, str(error), error.fix)
            return None
        self.bytes += len(data)
        if self.bytes > ALL:
            self.faults.add(location, f"more than {ALL >> 20} MiB of source in total", "load fewer or smaller files")
            return None
        text = text_of(data, name, self.faults)
        if text is None:
            return None
        module = self.modules[name] = Module(name, text)
        statements, _ = self.parser.parse(text, name, self.faults)
        Names(name, self.given, is_root, self.faults).check(statements)
        self.loading.append((name, location))
        outer = self.module, self.locals
        self.module, self.locals = module, []
        try:
            self._block(statements)
        finally:
            self.loading.pop()
            self.module, self.locals = outer
        return module

    def _do_load(self, node: tree.Load) -> None:
        if self.locals or self.calls:
            raise Stop(node.at, "load() inside a block", "move it to the top level of the file")
        location = self._where(node.path_at)
        module = None
        try:
            module = self._load(resolved(node.path, self.module.name), location)
        except Refused as error:
            self.faults.add(location, str(error), error.fix)
        for target, source_name, position in node.names:
            value: Any = UNKNOWN
            if source_name.startswith("_"):
                self.faults.add(self._where(position), f"{source_name} is private to {node.path}",
                                "rename it there without the _")
            elif module is not None:
                if source_name in module.names and source_name not in module.private:
                    value = module.names[source_name]
                elif not self.faults.within(module.name):  # else an invalid statement there may define the name
                    close = nearest(source_name, [known for known in module.names
                                            if not known.startswith("_") and known not in module.private])
                    self.faults.add(self._where(position), f"{node.path} does not define {source_name}",
                                    f"write {close}" if close else "define it there")
            self.module.names[target.name] = value
            self.module.private.add(target.name)

    # Statements

    def _block(self, statements: list[Node]) -> None:
        for statement in statements:
            if self.calls:
                self._execute(statement)
                continue
            try:
                self._execute(statement)
            except Stop as error:
                self._tell(error)
                self._forget(statement)
            except _Return:
                self.faults.add(self._where(statement.at), "return outside a def", "remove it")

    def _forget(self, statement: Node) -> None:
        targets = statement.targets if isinstance(statement, tree.Assign) else []
        for target in targets:
            self._set(target.name, UNKNOWN)

    def _execute(self, node: Node) -> None:
        match node:
            case tree.Expression():
                self._value(node.value)
            case tree.Assign():
                value = self._value(node.value)
                if node.unpack:
                    self._unpack(node.targets, value, node.at)
                else:
                    self._set(node.targets[0].name, value)
            case tree.Augment():
                if self.calls:
                    value = self._apply("+", node.at, self._value(node.target), self._value(node.value))
                    self._set(node.target.name, value)
            case tree.Define():
                self._set(node.name.name, Function(node.name.name, node, self.module))
            case tree.Load():
                self._do_load(node)
            case tree.Return():
                raise _Return(None if node.value is None else self._value(node.value))
            case tree.Loop():
                self._loop(node)
            case tree.Branch():
                for test, body in node.branches:
                    is_true = self._true(test)
                    if is_true is UNKNOWN:
                        return
                    if is_true:
                        return self._block(body)
                self._block(node.otherwise)
            case tree.Stray():
                raise _Break if node.word == "break" else _Continue
            case _:
                pass

    def _loop(self, node: tree.Loop) -> None:
        for value in self._items(node.items):
            self._step(node.at)
            self._unpack(node.targets, value, node.at) if len(node.targets) > 1 else \
                self._set(node.targets[0].name, value)
            try:
                self._block(node.body)
            except _Break:
                break
            except _Continue:
                continue

    def _items(self, node: Node) -> Any:
        value = self._value(node)
        if value is UNKNOWN:
            return ()
        if not isinstance(value, list | tuple | dict):
            raise Stop(node.at, f"{describe(value)} cannot be iterated", "use a list, a dict or range()")
        return value

    def _unpack(self, targets: list[tree.Name], value: Any, position: At) -> None:
        if value is UNKNOWN:
            parts: Any = [UNKNOWN] * len(targets)
        elif not isinstance(value, list | tuple):
            raise Stop(position, f"{describe(value)} cannot be unpacked into {len(targets)} names",
                       "assign it to one name")
        elif len(value) != len(targets):
            raise Stop(position, f"{len(value)} values for {len(targets)} names", "use as many names as values")
        else:
            parts = value
        for target, part in zip(targets, parts, strict=True):
            self._set(target.name, part)

    def _set(self, name: str, value: Any) -> None:
        (self.locals[-1] if self.locals else self.module.names)[name] = value

    # Expressions

    def _value(self, node: Node) -> Any:
        self._step(node.at)
        self.depth += 1
        if self.depth > DEPTH:
            self.depth -= 1
            raise Stop(node.at, "an expression nested too deep", "assign its inner parts to names")
        try:
            return self._KINDS[type(node)](self, node)
        finally:
            self.depth -= 1

    def _step(self, position: At) -> None:
        self.steps += 1
        if self.steps > STEPS:
            self.faults.add(self._where(position), f"more than {STEPS} evaluation steps", "shorten the loops")
            raise Exhausted

    def _charge(self, position: At, value: Any) -> Any:
        """Bounds the size of a new value and of all values of the run.

        A loop that doubles a value in each iteration would otherwise exhaust the memory.
        """
        if isinstance(value, str):
            size, max_size, unit = len(value), TEXT, "characters"
        elif isinstance(value, list | tuple | dict):
            size, max_size, unit = len(value), ITEMS, "elements"
        else:
            return value
        if size > max_size:
            raise Stop(position, f"a value with more than {max_size} {unit}", "make it smaller")
        self.made += size
        if self.made > MADE:
            self.faults.add(self._where(position), f"values with more than {MADE} elements and characters in total",
                            "create fewer or smaller values")
            raise Exhausted
        return value

    def _literal(self, node: tree.Literal) -> Any:
        return node.value

    def _name(self, node: tree.Name) -> Any:
        name = node.name
        for scope in reversed(self.locals):
            if name in scope:
                return scope[name]
        if name in self.module.names:
            return self.module.names[name]
        if name in self.builtins:
            return self.builtins[name]
        if name in self.sections:
            return self.sections[name]
        if name == "load":
            raise Stop(node.at, "load() inside an expression", "move it to the top level of the file")
        # a name that is defined nowhere was reported by NameChecker
        if self.faults.mentions(self._where(node.at)):
            return UNKNOWN
        raise Stop(node.at, f"{name} is used before it is defined", "move its definition further up")

    def _list(self, node: tree.ListOf) -> Any:
        items = [self._value(item) for item in node.items]
        return self._charge(node.at, tuple(items) if node.is_tuple else items)

    def _key(self, node: Node) -> Any:
        key = self._value(node)
        if key is not UNKNOWN and not isinstance(key, str | int | Fraction | Quantity | bool):
            raise Stop(node.at, f"{describe(key)} cannot be a key", "use a string or a number")
        return key

    def _dict(self, node: tree.DictOf) -> Any:
        result: dict[Any, Any] = {}
        for key_node, value in node.pairs:
            key = self._key(key_node)
            if key in result and key is not UNKNOWN:
                raise Stop(key_node.at, f"duplicate key: {describe(key)}", "remove one")
            result[key] = self._value(value)
        return self._charge(node.at, result)

    def _comprehension(self, node: tree.Comprehension) -> Any:
        pairs: list[tuple[Any, Any]] = []
        self.locals.append({})
        try:
            self._clauses(node, 0, pairs)
        finally:
            self.locals.pop()
        return self._charge(node.at, dict(pairs) if node.key is not None else [value for _, value in pairs])

    def _clauses(self, node: tree.Comprehension, index: int, pairs: list[tuple[Any, Any]]) -> None:
        if index == len(node.clauses):
            key = self._key(node.key) if node.key is not None else None
            pairs.append((key, self._value(node.value)))
            if len(pairs) > ITEMS:
                raise Stop(node.at, f"a value with more than {ITEMS} elements", "make it smaller")
            return
        clause = node.clauses[index]
        if isinstance(clause, tree.Only):
            if self._true(clause.test) is True:
                self._clauses(node, index + 1, pairs)
            return
        for value in self._items(clause.items):
            self._step(clause.at)
            if len(clause.targets) > 1:
                self._unpack(clause.targets, value, clause.at)
            else:
                self.locals[-1][clause.targets[0].name] = value
            self._clauses(node, index + 1, pairs)

    def _true(self, node: Node) -> Any:
        value = self._value(node)
        if value is UNKNOWN or isinstance(value, bool):
            return value
        if value is None or isinstance(value, str | list | tuple | dict):
            return bool(value)
        if dimension_of(value) is not None:
            return amount_of(value) != 0
        return True

    def _choice(self, node: tree.Choice) -> Any:
        for test, value in node.branches:
            is_true = self._true(test)
            if is_true is UNKNOWN:
                return UNKNOWN
            if is_true:
                return self._value(value)
        return self._value(node.otherwise)

    def _logic(self, node: tree.Logic) -> Any:
        value: Any = UNKNOWN
        for part in node.parts:
            value = self._value(part)
            if value is UNKNOWN:
                return UNKNOWN
            if self._is_true(value) is node.is_any:
                return value
        return value

    def _is_true(self, value: Any) -> bool:
        return amount_of(value) != 0 if dimension_of(value) is not None else bool(value)

    def _negation(self, node: tree.Negation) -> Any:
        value = self._true(node.part)
        return UNKNOWN if value is UNKNOWN else value if node.times % 2 == 0 else not value

    def _compare(self, node: tree.Compare) -> Any:
        left, right, operator = self._value(node.left), self._value(node.right), node.sign
        if left is UNKNOWN or right is UNKNOWN:
            return UNKNOWN
        if operator in ("in", "not in"):
            if isinstance(right, str) and not isinstance(left, str) or not isinstance(
                    right, str | list | tuple | dict):
                raise Stop(node.at, f"{describe(left)} cannot be searched for in {describe(right)}", "use a list")
            try:
                return (left in right) is (operator == "in")
            except TypeError:
                raise Stop(node.at, f"{describe(left)} cannot be a key", "use a string or a number") from None
        left_dimension, right_dimension = dimension_of(left), dimension_of(right)
        if left_dimension is not None and right_dimension is not None and left_dimension is not right_dimension:
            try:
                arithmetic("-", left, right)
            except Mismatch as error:
                raise Stop(node.at, f"{describe(left)} {operator} {describe(right)} mixes units",
                           error.fix) from error
        if operator in ("==", "!="):
            return (left == right) is (operator == "==")
        if left_dimension is not None and right_dimension is not None:
            a, b = amount_of(left), amount_of(right)
        elif isinstance(left, str) and isinstance(right, str):
            return {"<": left < right, "<=": left <= right, ">": left > right, ">=": left >= right}[operator]
        else:
            raise Stop(node.at, f"{operator} is not defined for {describe(left)} and {describe(right)}",
                       "compare two numbers, two quantities or two strings")
        return {"<": a < b, "<=": a <= b, ">": a > b, ">=": a >= b}[operator]

    def _chain(self, node: tree.Chain) -> Any:
        value = self._value(node.first)
        for operator, position, part in node.rest:
            value = self._apply(operator, position, value, self._value(part))
        return value

    def _apply(self, operator: str, position: At, left: Any, right: Any) -> Any:
        self._step(position)
        if left is UNKNOWN or right is UNKNOWN:
            return UNKNOWN
        if operator == "+" and type(left) is type(right) and isinstance(left, str | list | tuple):
            return self._charge(position, self._fits(position, left, len(left) + len(right)) + right)
        if operator == "*":
            for count, sequence in ((left, right), (right, left)):
                if type(count) is int and isinstance(sequence, str | list):
                    self._fits(position, sequence, len(sequence) * max(0, count))
                    return self._charge(position, sequence * max(0, count))
        if operator == "+" and isinstance(left, str) != isinstance(right, str):
            raise Stop(position, f"+ is not defined for {describe(left)} and {describe(right)}",
                       "convert the other operand with str()")
        try:
            return arithmetic(operator, left, right)
        except Mismatch as error:
            raise Stop(position, str(error), error.fix) from error

    def _fits(self, position: At, value: Any, size: int) -> Any:
        """Checks the size of a result before it is created."""
        max_size, unit = (TEXT, "characters") if isinstance(value, str) else (ITEMS, "elements")
        if size > max_size:
            raise Stop(position, f"a value with more than {max_size} {unit}", "make it smaller")
        return value

    def _signed(self, node: tree.Signed) -> Any:
        value = self._value(node.part)
        if value is UNKNOWN:
            return value
        if dimension_of(value) is None:
            raise Stop(node.at, f"a sign is not defined for {describe(value)}", "use a number or quantity")
        return arithmetic("*", value, -1) if node.minus else value

    def _index(self, node: tree.Index) -> Any:
        value, key = self._value(node.of), self._value(node.key)
        if value is UNKNOWN or key is UNKNOWN:
            return UNKNOWN
        if isinstance(value, dict):
            try:
                return value[key]
            except (KeyError, TypeError):
                close = nearest(key, [k for k in value if isinstance(k, str)]) if isinstance(key, str) else None
                raise Stop(node.key.at, f"unknown key: {describe(key)}", f'write "{close}"' if close
                           else "use a key of the dict") from None
        if not isinstance(value, list | tuple | str):
            raise Stop(node.at, f"{describe(value)} cannot be indexed", "use a list or a dict")
        if type(key) is not int:
            raise Stop(node.key.at, f"{describe(key)} is not an index", "use a whole number")
        if not -len(value) <= key < len(value):
            raise Stop(node.key.at, f"index {key} is out of range for {len(value)} elements",
                       f"use 0 to {len(value) - 1}" if len(value) else "check whether it is empty")
        return value[key]

    def _attribute(self, node: tree.Attribute) -> Any:
        value = self._value(node.of)
        if value is UNKNOWN:
            return UNKNOWN
        if isinstance(value, Record):
            if node.name in value.fields:
                return value.fields[node.name]
            close = nearest(node.name, value.fields)
            raise Stop(node.at, f"{value.described} does not set {node.name}", f"write {close}" if close
                       else "set it there")
        methods = METHODS.get(type(value), {})
        if node.name not in methods:
            close = nearest(node.name, methods)
            raise Stop(node.at, f"{describe(value)} has no method {node.name}", f"write {close}" if close
                       else "see the table of functions in docs/configuration.md")
        return Builtin(node.name, lambda *arguments: methods[node.name](value, *arguments))

    def _call(self, node: tree.Call) -> Any:
        function = self._value(node.function)
        try:
            arguments = [(argument, self._value(argument.value)) for argument in node.arguments]
        except Stop:
            if isinstance(node.function, tree.Name):
                self.parser.unread.add(node.function.name)
            raise
        if function is UNKNOWN:
            return UNKNOWN
        if isinstance(function, Function):
            return self._call_function(node, function, arguments)
        if isinstance(function, Builtin):
            return self._call_builtin(node, function, arguments)
        if hasattr(function, "enter"):
            return self._enter(node, function, arguments)
        raise Stop(node.at, f"{describe(function)} is not a function", "remove the brackets")

    def _call_builtin(self, node: tree.Call, function: Builtin, arguments: list[tuple[tree.Argument, Any]]) -> Any:
        for argument, value in arguments:
            if argument.name:
                raise Stop(argument.at, f"{function.name}() has no keyword argument {argument.name}",
                           "pass the value without a name")
            if value is UNKNOWN:
                return UNKNOWN
        try:
            return self._charge(node.at, function.call(*(value for _, value in arguments)))
        except Misused as error:
            raise Stop(node.at, f"{function.name}(): {error}", error.fix) from error
        except Mismatch as error:
            raise Stop(node.at, str(error), error.fix) from error
        except TypeError:  # too few or too many arguments; the functions check everything else
            raise Stop(node.at, f"{function.name}() does not accept {len(arguments)} arguments",
                       "see the table of functions in docs/configuration.md") from None

    def _enter(self, node: tree.Call, section: Section, call_arguments: list[tuple[tree.Argument, Any]]) -> Any:
        values_by_name: dict[str, Given] = {}
        positional = list(section.positional)
        for argument, value in call_arguments:
            name = argument.name
            if not name:
                if not positional:
                    raise Stop(argument.at, "a positional argument that is not allowed here",
                               "write NAME = before it")
                name = positional.pop(0)
            if name not in values_by_name:
                values_by_name[name] = Given(value, self._where(argument.value.at if argument.name else argument.at))
        return section.enter(self._where(node.at), values_by_name)

    def _call_function(self, node: tree.Call, function: Function, arguments: list[tuple[tree.Argument, Any]]) -> Any:
        if any(function is other for other in self.calls):
            raise Stop(node.at, f"{function.name}() calls itself", "use a loop")
        if len(self.calls) >= CALLS:
            raise Stop(node.at, f"more than {CALLS} nested function calls", "nest fewer calls")
        bound = self._arguments(node, function, arguments)
        outer = self.module, self.locals
        self.module, self.locals = function.module, [bound]
        self.calls.append(function)
        try:
            for statement in function.node.body:
                self._execute(statement)
        except _Return as returned:
            return returned.value
        except Stop as error:
            # reported here, while the file of the function is current
            self._tell(error)
            return UNKNOWN
        finally:
            self.calls.pop()
            self.module, self.locals = outer
        return None

    def _arguments(self, node: tree.Call, function: Function, arguments: list[tuple[tree.Argument, Any]]
                   ) -> dict[str, Any]:
        parameters = function.node.parameters
        known = [name.name for name, _ in parameters]
        bound: dict[str, Any] = {}
        for index, (argument, value) in enumerate(arguments):
            name = argument.name or (known[index] if index < len(known) else "")
            if not name:
                raise Stop(argument.at, f"{function.name}() takes at most {len(known)} arguments", "remove this one")
            if name not in known:
                close = nearest(name, known)
                raise Stop(argument.at, f"{function.name}() has no parameter {name}",
                           f"write {close}" if close else "remove it")
            bound[name] = value
        for parameter, default in parameters:
            if parameter.name in bound:
                continue
            if default is None:
                raise Stop(node.at, f"{function.name}() is called without {parameter.name}",
                       f"add {parameter.name} = ...")
            outer = self.module, self.locals
            self.module, self.locals = function.module, []
            try:
                bound[parameter.name] = self._value(default)
            finally:
                self.module, self.locals = outer
        return bound

    # Messages

    def _where(self, position: At) -> Where:
        return Where(self.module.name, position.line, position.column)

    def _tell(self, error: Stop) -> None:
        self.faults.add(self._where(error.at), error.what, error.fix)

    _KINDS: dict[type[Node], Any] = {
        tree.Literal: _literal, tree.Name: _name, tree.ListOf: _list, tree.DictOf: _dict,
        tree.Comprehension: _comprehension, tree.Choice: _choice, tree.Logic: _logic, tree.Negation: _negation,
        tree.Compare: _compare, tree.Chain: _chain, tree.Signed: _signed, tree.Index: _index,
        tree.Attribute: _attribute, tree.Call: _call}
