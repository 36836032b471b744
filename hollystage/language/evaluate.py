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
from .builtins import FUNCTIONS, METHODS, ArgumentError
from .diagnostics import Diagnostics, Location, nearest
from .names import NameChecker
from .sources import MAX_FILES, MAX_TOTAL_BYTES, SourceError, SourceFolder, decode_source, resolve_path
from .syntax import Parser
from .tree import Node, Position
from .units import Quantity, QuantityError, amount_of, arithmetic, describe, dimension_of
from .values import UNKNOWN, ArgumentValue, Builtin, Function, Record, SectionFunction

MAX_STEPS = 600_000  # nodes evaluated in one run
MAX_CALL_DEPTH, MAX_EXPRESSION_DEPTH = 16, 400  # nested function calls; nested expressions
MAX_ITEMS, MAX_STRING_LENGTH = 200_000, 1 << 20  # elements of one list, tuple or dict; characters of one string
MAX_TOTAL_SIZE = 5_000_000  # elements and characters of all values of one run
RECURSION_LIMIT = 6_000  # Python stack frames, enough for the deepest tree that the bounds above allow


class EvaluationError(Exception):
    """An error of the script at a position of the current file."""

    def __init__(self, position: Position, message: str, fix: str) -> None:
        super().__init__(message)
        self.position, self.message, self.fix = position, message, fix


class LimitExceededError(Exception):
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
        self.loaded_names: set[str] = set()  # loaded from other files, and not exported to further ones


@contextmanager
def _raised_recursion_limit() -> Iterator[None]:
    """Raises Python's recursion limit, since the evaluator is recursive.

    The depth of the tree is bounded by the limits above, so Python's own limit is not needed as a guard.
    """
    before = sys.getrecursionlimit()
    sys.setrecursionlimit(max(before, RECURSION_LIMIT))
    try:
        yield
    finally:
        sys.setrecursionlimit(before)


class Program:
    """One evaluation of a root file and all files that it loads."""

    def __init__(self, folder: SourceFolder, sections: Mapping[str, SectionFunction],
                 diagnostics: Diagnostics) -> None:
        self.folder, self.sections, self.diagnostics = folder, sections, diagnostics
        self.modules: dict[str, Module | None] = {}  # by file name; None for a file that cannot be used
        self.loading: list[tuple[str, Location]] = []
        self.parser = Parser()
        self.steps = self.total_size = self.depth = self.total_bytes = 0
        self.call_stack: list[Function] = []
        self.current_module = Module("", "")  # the file whose statements are being evaluated
        self.locals: list[dict[str, Any]] = []
        self.predefined_names = {*FUNCTIONS, *sections, "load"}
        self.builtins: dict[str, Any] = {name: Builtin(name, call) for name, call in FUNCTIONS.items()}

    def run(self, name: str) -> None:
        """Evaluates the root file `name`. Errors go to `diagnostics`, entries to the section functions."""
        with _raised_recursion_limit():
            try:
                self._load_module(name, Location(name, 1, 1), is_root=True)
            except LimitExceededError:
                pass

    def source_line(self, location: Location) -> str | None:
        """The source line at a location, or None if there is none."""
        module = self.modules.get(location.file)
        lines = module.text.split("\n") if module else []
        return lines[location.line - 1].rstrip("\r") if 0 < location.line <= len(lines) else None

    # Files

    def _load_module(self, name: str, location: Location, is_root: bool = False) -> Module | None:
        if any(name == loading_name for loading_name, _ in self.loading):
            chain = [loading_name for loading_name, _ in self.loading]
            chain = [*chain[chain.index(name):], name]
            self.diagnostics.add(location, f"files that load each other: {' -> '.join(chain)}",
                                 "move the shared definitions into a separate file")
            return None
        if name in self.modules:
            return self.modules[name]
        self.modules[name] = None
        if len(self.modules) > MAX_FILES:
            self.diagnostics.add(location, f"more than {MAX_FILES} files", "merge some of them")
            return None
        try:
            data = self.folder.read(name)
        except SourceError as error:
            self.diagnostics.add(location, str(error), error.fix)
            return None
        self.total_bytes += len(data)
        if self.total_bytes > MAX_TOTAL_BYTES:
            self.diagnostics.add(location, f"more than {MAX_TOTAL_BYTES >> 20} MiB of source in total",
                                 "load fewer or smaller files")
            return None
        text = decode_source(data, name, self.diagnostics)
        if text is None:
            return None
        module = self.modules[name] = Module(name, text)
        statements, _ = self.parser.parse(text, name, self.diagnostics)
        NameChecker(name, self.predefined_names, is_root, self.diagnostics).check(statements)
        self.loading.append((name, location))
        outer = self.current_module, self.locals
        self.current_module, self.locals = module, []
        try:
            self._execute_block(statements)
        finally:
            self.loading.pop()
            self.current_module, self.locals = outer
        return module

    def _execute_load(self, node: tree.Load) -> None:
        if self.locals or self.call_stack:
            raise EvaluationError(node.position, "load() inside a block", "move it to the top level of the file")
        location = self._location(node.path_position)
        module = None
        try:
            module = self._load_module(resolve_path(node.path, self.current_module.name), location)
        except SourceError as error:
            self.diagnostics.add(location, str(error), error.fix)
        for target, source_name, position in node.names:
            value: Any = UNKNOWN
            if source_name.startswith("_"):
                self.diagnostics.add(self._location(position), f"{source_name} is private to {node.path}",
                                     "rename it there without the _")
            elif module is not None:
                if source_name in module.names and source_name not in module.loaded_names:
                    value = module.names[source_name]
                elif not self.diagnostics.has_error_in(module.name):  # else an invalid statement may define the name
                    close = nearest(source_name, [known for known in module.names
                                                  if not known.startswith("_") and known not in module.loaded_names])
                    self.diagnostics.add(self._location(position), f"{node.path} does not define {source_name}",
                                         f"write {close}" if close else "define it there")
            self.current_module.names[target.name] = value
            self.current_module.loaded_names.add(target.name)

    # Statements

    def _execute_block(self, statements: list[Node]) -> None:
        for statement in statements:
            if self.call_stack:
                self._execute(statement)
                continue
            try:
                self._execute(statement)
            except EvaluationError as error:
                self._report(error)
                self._mark_unknown(statement)
            except _Return:
                self.diagnostics.add(self._location(statement.position), "return outside a def", "remove it")

    def _mark_unknown(self, statement: Node) -> None:
        targets = statement.targets if isinstance(statement, tree.Assign) else []
        for target in targets:
            self._assign(target.name, UNKNOWN)

    def _execute(self, node: Node) -> None:
        match node:
            case tree.ExpressionStatement():
                self._evaluate(node.value)
            case tree.Assign():
                value = self._evaluate(node.value)
                if node.unpack:
                    self._unpack(node.targets, value, node.position)
                else:
                    self._assign(node.targets[0].name, value)
            case tree.AugmentedAssign():
                if self.call_stack:
                    value = self._apply_operator("+", node.position, self._evaluate(node.target),
                                                 self._evaluate(node.value))
                    self._assign(node.target.name, value)
            case tree.FunctionDefinition():
                self._assign(node.name.name, Function(node.name.name, node, self.current_module))
            case tree.Load():
                self._execute_load(node)
            case tree.Return():
                raise _Return(None if node.value is None else self._evaluate(node.value))
            case tree.ForLoop():
                self._execute_loop(node)
            case tree.IfStatement():
                for test, body in node.branches:
                    is_true = self._truth_value(test)
                    if is_true is UNKNOWN:
                        return
                    if is_true:
                        return self._execute_block(body)
                self._execute_block(node.otherwise)
            case tree.LoopControl():
                raise _Break if node.keyword == "break" else _Continue
            case _:
                pass

    def _execute_loop(self, node: tree.ForLoop) -> None:
        for value in self._iterable(node.items):
            self._count_step(node.position)
            self._unpack(node.targets, value, node.position) if len(node.targets) > 1 else \
                self._assign(node.targets[0].name, value)
            try:
                self._execute_block(node.body)
            except _Break:
                break
            except _Continue:
                continue

    def _iterable(self, node: Node) -> Any:
        value = self._evaluate(node)
        if value is UNKNOWN:
            return ()
        if not isinstance(value, list | tuple | dict):
            raise EvaluationError(node.position, f"{describe(value)} cannot be iterated",
                                  "use a list, a dict or range()")
        return value

    def _unpack(self, targets: list[tree.Name], value: Any, position: Position) -> None:
        if value is UNKNOWN:
            parts: Any = [UNKNOWN] * len(targets)
        elif not isinstance(value, list | tuple):
            raise EvaluationError(position, f"{describe(value)} cannot be unpacked into {len(targets)} names",
                                  "assign it to one name")
        elif len(value) != len(targets):
            raise EvaluationError(position, f"{len(value)} values for {len(targets)} names",
                                  "use as many names as values")
        else:
            parts = value
        for target, part in zip(targets, parts, strict=True):
            self._assign(target.name, part)

    def _assign(self, name: str, value: Any) -> None:
        (self.locals[-1] if self.locals else self.current_module.names)[name] = value

    # Expressions

    def _evaluate(self, node: Node) -> Any:
        self._count_step(node.position)
        self.depth += 1
        if self.depth > MAX_EXPRESSION_DEPTH:
            self.depth -= 1
            raise EvaluationError(node.position, "an expression nested too deep", "assign its inner parts to names")
        try:
            return self._EVALUATORS[type(node)](self, node)
        finally:
            self.depth -= 1

    def _count_step(self, position: Position) -> None:
        self.steps += 1
        if self.steps > MAX_STEPS:
            self.diagnostics.add(self._location(position), f"more than {MAX_STEPS} evaluation steps",
                                 "shorten the loops")
            raise LimitExceededError

    def _check_size(self, position: Position, value: Any) -> Any:
        """Bounds the size of a new value and of all values of the run.

        A loop that doubles a value in each iteration would otherwise exhaust the memory.
        """
        if isinstance(value, str):
            size, max_size, unit = len(value), MAX_STRING_LENGTH, "characters"
        elif isinstance(value, list | tuple | dict):
            size, max_size, unit = len(value), MAX_ITEMS, "elements"
        else:
            return value
        if size > max_size:
            raise EvaluationError(position, f"a value with more than {max_size} {unit}", "make it smaller")
        self.total_size += size
        if self.total_size > MAX_TOTAL_SIZE:
            self.diagnostics.add(self._location(position),
                                 f"values with more than {MAX_TOTAL_SIZE} elements and characters in total",
                                 "create fewer or smaller values")
            raise LimitExceededError
        return value

    def _literal(self, node: tree.Literal) -> Any:
        return node.value

    def _name(self, node: tree.Name) -> Any:
        name = node.name
        for scope in reversed(self.locals):
            if name in scope:
                return scope[name]
        if name in self.current_module.names:
            return self.current_module.names[name]
        if name in self.builtins:
            return self.builtins[name]
        if name in self.sections:
            return self.sections[name]
        if name == "load":
            raise EvaluationError(node.position, "load() inside an expression",
                                  "move it to the top level of the file")
        # a name that is defined nowhere was reported by NameChecker
        if self.diagnostics.has_any_at(self._location(node.position)):
            return UNKNOWN
        raise EvaluationError(node.position, f"{name} is used before it is defined", "move its definition further up")

    def _list(self, node: tree.ListLiteral) -> Any:
        items = [self._evaluate(item) for item in node.items]
        return self._check_size(node.position, tuple(items) if node.is_tuple else items)

    def _key(self, node: Node) -> Any:
        key = self._evaluate(node)
        if key is not UNKNOWN and not isinstance(key, str | int | Fraction | Quantity | bool):
            raise EvaluationError(node.position, f"{describe(key)} cannot be a key", "use a string or a number")
        return key

    def _dict(self, node: tree.DictLiteral) -> Any:
        result: dict[Any, Any] = {}
        for key_node, value in node.pairs:
            key = self._key(key_node)
            if key in result and key is not UNKNOWN:
                raise EvaluationError(key_node.position, f"duplicate key: {describe(key)}", "remove one")
            result[key] = self._evaluate(value)
        return self._check_size(node.position, result)

    def _comprehension(self, node: tree.Comprehension) -> Any:
        pairs: list[tuple[Any, Any]] = []
        self.locals.append({})
        try:
            self._clauses(node, 0, pairs)
        finally:
            self.locals.pop()
        return self._check_size(node.position, dict(pairs) if node.key is not None else [value for _, value in pairs])

    def _clauses(self, node: tree.Comprehension, index: int, pairs: list[tuple[Any, Any]]) -> None:
        if index == len(node.clauses):
            key = self._key(node.key) if node.key is not None else None
            pairs.append((key, self._evaluate(node.value)))
            if len(pairs) > MAX_ITEMS:
                raise EvaluationError(node.position, f"a value with more than {MAX_ITEMS} elements",
                                      "make it smaller")
            return
        clause = node.clauses[index]
        if isinstance(clause, tree.IfClause):
            if self._truth_value(clause.test) is True:
                self._clauses(node, index + 1, pairs)
            return
        for value in self._iterable(clause.items):
            self._count_step(clause.position)
            if len(clause.targets) > 1:
                self._unpack(clause.targets, value, clause.position)
            else:
                self.locals[-1][clause.targets[0].name] = value
            self._clauses(node, index + 1, pairs)

    def _truth_value(self, node: Node) -> Any:
        value = self._evaluate(node)
        if value is UNKNOWN or isinstance(value, bool):
            return value
        if value is None or isinstance(value, str | list | tuple | dict):
            return bool(value)
        if dimension_of(value) is not None:
            return amount_of(value) != 0
        return True

    def _conditional(self, node: tree.Conditional) -> Any:
        for test, value in node.branches:
            is_true = self._truth_value(test)
            if is_true is UNKNOWN:
                return UNKNOWN
            if is_true:
                return self._evaluate(value)
        return self._evaluate(node.otherwise)

    def _bool_operation(self, node: tree.BoolOperation) -> Any:
        value: Any = UNKNOWN
        for part in node.parts:
            value = self._evaluate(part)
            if value is UNKNOWN:
                return UNKNOWN
            if self._is_truthy(value) is node.is_any:
                return value
        return value

    def _is_truthy(self, value: Any) -> bool:
        return amount_of(value) != 0 if dimension_of(value) is not None else bool(value)

    def _negation(self, node: tree.Negation) -> Any:
        value = self._truth_value(node.part)
        return UNKNOWN if value is UNKNOWN else value if node.count % 2 == 0 else not value

    def _comparison(self, node: tree.Comparison) -> Any:
        left, right, operator = self._evaluate(node.left), self._evaluate(node.right), node.operator
        if left is UNKNOWN or right is UNKNOWN:
            return UNKNOWN
        if operator in ("in", "not in"):
            if isinstance(right, str) and not isinstance(left, str) or not isinstance(
                    right, str | list | tuple | dict):
                raise EvaluationError(node.position, f"{describe(left)} cannot be searched for in {describe(right)}",
                                      "use a list")
            try:
                return (left in right) is (operator == "in")
            except TypeError:
                raise EvaluationError(node.position, f"{describe(left)} cannot be a key",
                                      "use a string or a number") from None
        left_dimension, right_dimension = dimension_of(left), dimension_of(right)
        if left_dimension is not None and right_dimension is not None and left_dimension is not right_dimension:
            try:
                arithmetic("-", left, right)
            except QuantityError as error:
                raise EvaluationError(node.position, f"{describe(left)} {operator} {describe(right)} mixes units",
                                      error.fix) from error
        if operator in ("==", "!="):
            return (left == right) is (operator == "==")
        if left_dimension is not None and right_dimension is not None:
            a, b = amount_of(left), amount_of(right)
        elif isinstance(left, str) and isinstance(right, str):
            return {"<": left < right, "<=": left <= right, ">": left > right, ">=": left >= right}[operator]
        else:
            raise EvaluationError(node.position, f"{describe(left)} {operator} {describe(right)} is not defined",
                                  "compare two numbers, two quantities or two strings")
        return {"<": a < b, "<=": a <= b, ">": a > b, ">=": a >= b}[operator]

    def _operator_chain(self, node: tree.OperatorChain) -> Any:
        value = self._evaluate(node.first)
        for operator, position, part in node.rest:
            value = self._apply_operator(operator, position, value, self._evaluate(part))
        return value

    def _apply_operator(self, operator: str, position: Position, left: Any, right: Any) -> Any:
        self._count_step(position)
        if left is UNKNOWN or right is UNKNOWN:
            return UNKNOWN
        if operator == "+" and type(left) is type(right) and isinstance(left, str | list | tuple):
            return self._check_size(position, self._check_result_size(position, left, len(left) + len(right)) + right)
        if operator == "*":
            for count, sequence in ((left, right), (right, left)):
                if type(count) is int and isinstance(sequence, str | list):
                    self._check_result_size(position, sequence, len(sequence) * max(0, count))
                    return self._check_size(position, sequence * max(0, count))
        if operator == "+" and isinstance(left, str) != isinstance(right, str):
            raise EvaluationError(position, f"{describe(left)} + {describe(right)} is not defined",
                                  "convert the other operand with str()")
        try:
            return arithmetic(operator, left, right)
        except QuantityError as error:
            raise EvaluationError(position, str(error), error.fix) from error

    def _check_result_size(self, position: Position, value: Any, size: int) -> Any:
        """Checks the size of a result before it is created."""
        max_size, unit = (MAX_STRING_LENGTH, "characters") if isinstance(value, str) else (MAX_ITEMS, "elements")
        if size > max_size:
            raise EvaluationError(position, f"a value with more than {max_size} {unit}", "make it smaller")
        return value

    def _unary_operation(self, node: tree.UnaryOperation) -> Any:
        value = self._evaluate(node.part)
        if value is UNKNOWN:
            return value
        if dimension_of(value) is None:
            raise EvaluationError(node.position, f"a sign is not defined for {describe(value)}",
                                  "use a number or quantity")
        return arithmetic("*", value, -1) if node.negates else value

    def _index(self, node: tree.Index) -> Any:
        value, key = self._evaluate(node.value), self._evaluate(node.key)
        if value is UNKNOWN or key is UNKNOWN:
            return UNKNOWN
        if isinstance(value, dict):
            try:
                return value[key]
            except (KeyError, TypeError):
                close = nearest(key, [k for k in value if isinstance(k, str)]) if isinstance(key, str) else None
                raise EvaluationError(node.key.position, f"unknown key: {describe(key)}",
                                      f'write "{close}"' if close else "use a key of the dict") from None
        if not isinstance(value, list | tuple | str):
            raise EvaluationError(node.position, f"{describe(value)} cannot be indexed", "use a list or a dict")
        if type(key) is not int:
            raise EvaluationError(node.key.position, f"{describe(key)} is not an index", "use a whole number")
        if not -len(value) <= key < len(value):
            raise EvaluationError(node.key.position, f"index {key} is out of range for {len(value)} elements",
                                  f"use 0 to {len(value) - 1}" if len(value) else "check whether it is empty")
        return value[key]

    def _attribute(self, node: tree.Attribute) -> Any:
        value = self._evaluate(node.value)
        if value is UNKNOWN:
            return UNKNOWN
        if isinstance(value, Record):
            if node.name in value.fields:
                return value.fields[node.name]
            close = nearest(node.name, value.fields)
            raise EvaluationError(node.position, f"{value.described} does not set {node.name}",
                                  f"write {close}" if close else "set it there")
        methods = METHODS.get(type(value), {})
        if node.name not in methods:
            close = nearest(node.name, methods)
            raise EvaluationError(node.position, f"{describe(value)} has no method {node.name}",
                                  f"write {close}" if close
                                  else "see the table of functions in docs/configuration.md")
        return Builtin(node.name, lambda *arguments: methods[node.name](value, *arguments))

    def _call(self, node: tree.Call) -> Any:
        function = self._evaluate(node.function)
        try:
            arguments = [(argument, self._evaluate(argument.value)) for argument in node.arguments]
        except EvaluationError:
            if isinstance(node.function, tree.Name):
                self.parser.unparsed_names.add(node.function.name)
            raise
        if function is UNKNOWN:
            return UNKNOWN
        if isinstance(function, Function):
            return self._call_function(node, function, arguments)
        if isinstance(function, Builtin):
            return self._call_builtin(node, function, arguments)
        if hasattr(function, "enter"):
            return self._call_section(node, function, arguments)
        raise EvaluationError(node.position, f"{describe(function)} is not a function", "remove the brackets")

    def _call_builtin(self, node: tree.Call, function: Builtin, arguments: list[tuple[tree.Argument, Any]]) -> Any:
        for argument, value in arguments:
            if argument.name:
                raise EvaluationError(argument.position, f"{function.name}() has no keyword argument {argument.name}",
                                      "pass the value without a name")
            if value is UNKNOWN:
                return UNKNOWN
        try:
            return self._check_size(node.position, function.call(*(value for _, value in arguments)))
        except ArgumentError as error:
            raise EvaluationError(node.position, f"{function.name}(): {error}", error.fix) from error
        except QuantityError as error:
            raise EvaluationError(node.position, str(error), error.fix) from error
        except TypeError:  # too few or too many arguments; the functions check everything else
            raise EvaluationError(node.position, f"{function.name}() does not accept {len(arguments)} arguments",
                                  "see the table of functions in docs/configuration.md") from None

    def _call_section(self, node: tree.Call, section: SectionFunction,
                      call_arguments: list[tuple[tree.Argument, Any]]) -> Any:
        values_by_name: dict[str, ArgumentValue] = {}
        positional = list(section.positional)
        for argument, value in call_arguments:
            name = argument.name
            if not name:
                if not positional:
                    raise EvaluationError(argument.position, "a positional argument that is not allowed here",
                                          "write NAME = before it")
                name = positional.pop(0)
            if name not in values_by_name:
                values_by_name[name] = ArgumentValue(value, self._location(
                    argument.value.position if argument.name else argument.position))
        return section.enter(self._location(node.position), values_by_name)

    def _call_function(self, node: tree.Call, function: Function, arguments: list[tuple[tree.Argument, Any]]) -> Any:
        if any(function is other for other in self.call_stack):
            raise EvaluationError(node.position, f"{function.name}() calls itself", "use a loop")
        if len(self.call_stack) >= MAX_CALL_DEPTH:
            raise EvaluationError(node.position, f"more than {MAX_CALL_DEPTH} nested function calls",
                                  "nest fewer calls")
        bound = self._bind_arguments(node, function, arguments)
        outer = self.current_module, self.locals
        self.current_module, self.locals = function.module, [bound]
        self.call_stack.append(function)
        try:
            for statement in function.node.body:
                self._execute(statement)
        except _Return as returned:
            return returned.value
        except EvaluationError as error:
            # reported here, while the file of the function is current
            self._report(error)
            return UNKNOWN
        finally:
            self.call_stack.pop()
            self.current_module, self.locals = outer
        return None

    def _bind_arguments(self, node: tree.Call, function: Function,
                        arguments: list[tuple[tree.Argument, Any]]) -> dict[str, Any]:
        parameters = function.node.parameters
        known = [name.name for name, _ in parameters]
        bound: dict[str, Any] = {}
        for index, (argument, value) in enumerate(arguments):
            name = argument.name or (known[index] if index < len(known) else "")
            if not name:
                raise EvaluationError(argument.position, f"{function.name}() takes at most {len(known)} arguments",
                                      "remove this one")
            if name not in known:
                close = nearest(name, known)
                raise EvaluationError(argument.position, f"{function.name}() has no parameter {name}",
                                      f"write {close}" if close else "remove it")
            bound[name] = value
        for parameter, default in parameters:
            if parameter.name in bound:
                continue
            if default is None:
                raise EvaluationError(node.position, f"{function.name}() is called without {parameter.name}",
                                      f"add {parameter.name} = ...")
            outer = self.current_module, self.locals
            self.current_module, self.locals = function.module, []
            try:
                bound[parameter.name] = self._evaluate(default)
            finally:
                self.current_module, self.locals = outer
        return bound

    # Messages

    def _location(self, position: Position) -> Location:
        return Location(self.current_module.name, position.line, position.column)

    def _report(self, error: EvaluationError) -> None:
        self.diagnostics.add(self._location(error.position), error.message, error.fix)

    _EVALUATORS: dict[type[Node], Any] = {
        tree.Literal: _literal, tree.Name: _name, tree.ListLiteral: _list, tree.DictLiteral: _dict,
        tree.Comprehension: _comprehension, tree.Conditional: _conditional, tree.BoolOperation: _bool_operation,
        tree.Negation: _negation, tree.Comparison: _comparison, tree.OperatorChain: _operator_chain,
        tree.UnaryOperation: _unary_operation, tree.Index: _index, tree.Attribute: _attribute, tree.Call: _call}
