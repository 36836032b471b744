"""The syntax tree of a script; `position` of a node is where messages about it point to."""
from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class Position(NamedTuple):
    """A position in a file; lines and columns count from 1."""

    line: int
    column: int


@dataclass(slots=True)
class Node:
    """Base of all nodes."""

    position: Position


@dataclass(slots=True)
class Name(Node):
    """A name that is read, or the target of an assignment."""

    name: str


@dataclass(slots=True)
class Literal(Node):
    """A string, number, quantity, True, False or None."""

    value: Any


@dataclass(slots=True)
class ListLiteral(Node):
    """A list or tuple display: `[a, b]` or `(a, b)`."""

    items: list[Node]
    is_tuple: bool = False


@dataclass(slots=True)
class DictLiteral(Node):
    """A dict display: `{a: b, c: d}`."""

    pairs: list[tuple[Node, Node]]


@dataclass(slots=True)
class ForClause(Node):
    """A clause `for a, b in items` of a comprehension."""

    targets: list[Name]
    items: Node


@dataclass(slots=True)
class IfClause(Node):
    """A clause `if test` of a comprehension."""

    test: Node


@dataclass(slots=True)
class Comprehension(Node):
    """A list comprehension, or a dict comprehension if there is a `key`."""

    key: Node | None
    value: Node
    clauses: list[ForClause | IfClause]


@dataclass(slots=True)
class Conditional(Node):
    """`a if b else c if d else e`: `branches` is [(b, a), (d, c)], `otherwise` is e."""

    branches: list[tuple[Node, Node]]
    otherwise: Node


@dataclass(slots=True)
class BoolOperation(Node):
    """Two or more operands joined by `or` (`is_any`) or by `and`."""

    is_any: bool
    parts: list[Node]


@dataclass(slots=True)
class Negation(Node):
    """`not` applied `count` times."""

    count: int
    part: Node


@dataclass(slots=True)
class Comparison(Node):
    """A comparison: == != < <= > >=, `in` or `not in`."""

    operator: str
    left: Node
    right: Node


@dataclass(slots=True)
class OperatorChain(Node):
    """Binary operators of equal precedence; `rest` holds (operator, position, operand) from left to right."""

    first: Node
    rest: list[tuple[str, Position, Node]]


@dataclass(slots=True)
class UnaryOperation(Node):
    """Unary plus and minus; `negates` if the number of minus signs is odd."""

    negates: bool
    part: Node


@dataclass(slots=True)
class Argument(Node):
    """An argument of a call; `name` is empty if it is positional."""

    name: str
    value: Node


@dataclass(slots=True)
class Call(Node):
    """`function(arguments)`."""

    function: Node
    arguments: list[Argument]


@dataclass(slots=True)
class Index(Node):
    """`value[key]`."""

    value: Node
    key: Node


@dataclass(slots=True)
class Attribute(Node):
    """`value.name`."""

    value: Node
    name: str


# Statements


@dataclass(slots=True)
class Assign(Node):
    """`a = value`, or `a, b = value` if `unpack`."""

    targets: list[Name]
    value: Node
    unpack: bool = False


@dataclass(slots=True)
class AugmentedAssign(Node):
    """`target += value`."""

    target: Name
    value: Node


@dataclass(slots=True)
class ExpressionStatement(Node):
    """An expression as a statement."""

    value: Node


@dataclass(slots=True)
class Return(Node):
    """`return` with an optional value."""

    value: Node | None


@dataclass(slots=True)
class Pass(Node):
    """`pass`."""
    pass


@dataclass(slots=True)
class LoopControl(Node):
    """`break` or `continue`; the grammar does not check that it is inside a loop."""

    keyword: str


@dataclass(slots=True)
class FunctionDefinition(Node):
    """`def name(parameters): body`; parameters are pairs of a name and an optional default."""

    name: Name
    parameters: list[tuple[Name, Node | None]]
    body: list[Node]


@dataclass(slots=True)
class ForLoop(Node):
    """`for targets in items: body`."""

    targets: list[Name]
    items: Node
    body: list[Node]


@dataclass(slots=True)
class IfStatement(Node):
    """`if`, `elif` and `else`; `branches` are pairs of a condition and its statements."""

    branches: list[tuple[Node, list[Node]]]
    otherwise: list[Node]


@dataclass(slots=True)
class Load(Node):
    """`load("other.star", "A", local = "B")`; `names` holds (local name, name in the other file, position)."""

    path: str
    path_position: Position
    names: list[tuple[Name, str, Position]]
