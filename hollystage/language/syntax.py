"""Parses a script into a syntax tree, statement by statement, so that one run reports all syntax errors."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lark import Tree
from lark.exceptions import UnexpectedInput

from . import tree
from .diagnostics import Diagnostics, Location
from .layout import ScanResult, scan
from .tokens import Token, grammar
from .tree import Node, Position
from .units import UNITS, QuantityError, parse_number, parse_quantity

COMPARISON_TOKENS = {"EQ", "NE", "LE", "GE", "LT", "GT", "IN"}
MAX_SHAPES, MAX_SHAPE_TOKENS = 500, 400  # statement shapes in the cache; tokens of a cached shape
# tokens of one statement; tokens parsed in one run, without statements of cached shapes
MAX_STATEMENT_TOKENS, MAX_PARSED_TOKENS = 20_000, 100_000

ESCAPES = {"n": "\n", "t": "\t", "\\": "\\", '"': '"', "'": "'"}
TOKEN_DESCRIPTIONS = {
    "RPAR": "')'", "RSQB": "']'", "RBRACE": "'}'", "COMMA": "','", "COLON": "':'", "EQUAL": "'='",
    "_NEWLINE": "the end of the line", "IN": "'in'", "NAME": "a name", "LPAR": "'('", "ELSE": "'else'",
    "_INDENT": "an indented block", "RETURN": "a statement"}


class _ParseError(Exception):
    """A syntax error at a position of the current file."""

    def __init__(self, position: Position, message: str, fix: str) -> None:
        super().__init__(message)
        self.position, self.message, self.fix = position, message, fix


def _position(token: Token) -> Position:
    return Position(token.line, token.column)


def parse_string(token: Token) -> str:
    """The value of a string literal."""
    text = token.text[1:-1]
    if "\\" not in text:
        return text
    parts, chars = [], iter(text)
    for char in chars:
        if char == "\\":
            char = next(chars)
            if char not in ESCAPES:
                raise _ParseError(_position(token), f"'\\{char}' is not an escape sequence",
                                  r"write \\ for a backslash")
            char = ESCAPES[char]
        parts.append(char)
    return "".join(parts)


class _TreeBuilder:
    """Builds tree nodes. Each method has the name of a grammar rule or alias and takes the children of its match."""

    def start(self, parts: list[Any]) -> Any:
        return parts[0]

    # Expressions

    def name(self, parts: list[Any]) -> Node:
        return tree.Name(_position(parts[0]), str(parts[0]))

    def string(self, parts: list[Any]) -> Node:
        return tree.Literal(_position(parts[0]), parse_string(parts[0]))

    def number(self, parts: list[Any]) -> Node:
        return tree.Literal(_position(parts[0]), self._parse_amount(parse_number, parts[0]))

    def quantity(self, parts: list[Any]) -> Node:
        return tree.Literal(_position(parts[0]), self._parse_amount(parse_quantity, parts[0]))

    @staticmethod
    def _parse_amount(read: Any, token: Token) -> Any:
        try:
            return read(str(token))
        except QuantityError as error:
            raise _ParseError(_position(token), str(error), error.fix) from error

    def constant(self, parts: list[Any]) -> Node:
        return tree.Literal(_position(parts[0]), {"True": True, "False": False, "None": None}[str(parts[0])])

    def group(self, parts: list[Any]) -> Any:
        return parts[1]

    def empty_tuple(self, parts: list[Any]) -> Node:
        return tree.ListLiteral(_position(parts[0]), [], True)

    def tuple_(self, parts: list[Any]) -> Node:
        return tree.ListLiteral(parts[0].position, [part for part in parts if isinstance(part, Node)], True)

    def list_(self, parts: list[Any]) -> Node:
        return tree.ListLiteral(_position(parts[0]), [part for part in parts if isinstance(part, Node)])

    def list_of(self, parts: list[Any]) -> Node:
        return tree.Comprehension(_position(parts[0]), None, parts[1], parts[2])

    def pair(self, parts: list[Any]) -> Any:
        return (parts[0], parts[1])

    def dict_(self, parts: list[Any]) -> Node:
        return tree.DictLiteral(_position(parts[0]), [part for part in parts if type(part) is tuple])

    def dict_of(self, parts: list[Any]) -> Node:
        return tree.Comprehension(_position(parts[0]), parts[1][0], parts[1][1], parts[2])

    def targets(self, parts: list[Any]) -> Any:
        return [tree.Name(_position(token), str(token)) for token in parts]

    def each(self, parts: list[Any]) -> Node:
        return tree.ForClause(_position(parts[0]), parts[1], parts[-1])

    def only(self, parts: list[Any]) -> Node:
        return tree.IfClause(parts[0].position, parts[0])

    def clauses(self, parts: list[Any]) -> Any:
        return parts

    def choice(self, parts: list[Any]) -> Node:
        pairs = list(zip(parts[1::2], parts[0:-1:2], strict=True))
        return tree.Conditional(parts[0].position, pairs, parts[-1])

    def any_(self, parts: list[Any]) -> Node:
        return tree.BoolOperation(parts[0].position, True, parts)

    def all_(self, parts: list[Any]) -> Node:
        return tree.BoolOperation(parts[0].position, False, parts)

    def negation(self, parts: list[Any]) -> Node:
        return tree.Negation(_position(parts[0]), len(parts) - 1, parts[-1])

    def compared(self, parts: list[Any]) -> Any:
        return " ".join(str(part) for part in parts), _position(parts[0])

    def compare(self, parts: list[Any]) -> Node:
        return tree.Comparison(parts[1][1], parts[1][0], parts[0], parts[2])

    def chain(self, parts: list[Any]) -> Node:
        rest = [(str(operator), _position(operator), part)
                for operator, part in zip(parts[1::2], parts[2::2], strict=True)]
        return tree.OperatorChain(parts[0].position, parts[0], rest)

    def signed(self, parts: list[Any]) -> Node:
        minus = sum(token.type == "MINUS" for token in parts[:-1]) % 2 == 1
        return tree.UnaryOperation(_position(parts[0]), minus, parts[-1])

    def call(self, parts: list[Any]) -> Any:
        return lambda node: tree.Call(node.position, node, parts[1] or [])

    def index(self, parts: list[Any]) -> Any:
        return lambda node: tree.Index(node.position, node, parts[1])

    def attribute(self, parts: list[Any]) -> Any:
        return lambda node: tree.Attribute(_position(parts[0]), node, str(parts[0]))

    def postfix(self, parts: list[Any]) -> Any:
        node = parts[0]
        if len(parts) > 20:
            raise _ParseError(node.position, "more than 20 calls, indexes and attributes in a row",
                              "assign the intermediate values to names")
        for wrap in parts[1:]:
            node = wrap(node)
        return node

    def keyword(self, parts: list[Any]) -> Node:
        return tree.Argument(_position(parts[0]), str(parts[0]), parts[2])

    def bare_comprehension(self, parts: list[Any]) -> Node:
        raise _ParseError(parts[0].position, "a comprehension without brackets", "put it in [ ]")

    def arguments(self, parts: list[Any]) -> Any:
        return [part if isinstance(part, tree.Argument) else tree.Argument(part.position, "", part) for part in parts]

    # Statements

    def assign(self, parts: list[Any]) -> Node:
        left, value = parts[0], parts[2]
        names: list[tree.Name] = []
        for target in left.items if isinstance(left, tree.ListLiteral) and left.is_tuple else [left]:
            if not isinstance(target, tree.Name):
                raise _ParseError(target.position, "only names can be assigned to", "write NAME = value")
            names.append(target)
        return tree.Assign(left.position, names, value, isinstance(left, tree.ListLiteral))

    def augment(self, parts: list[Any]) -> Node:
        target = tree.Name(_position(parts[0]), str(parts[0]))
        return tree.AugmentedAssign(target.position, target, parts[2])

    def expression(self, parts: list[Any]) -> Node:
        node = parts[0]
        if isinstance(node, tree.Call) and isinstance(node.function, tree.Name) and node.function.name == "load":
            return self._build_load(node)
        return tree.ExpressionStatement(node.position, node)

    @staticmethod
    def _build_load(node: tree.Call) -> Node:
        strings = [argument.value for argument in node.arguments]
        for string in strings:
            if not isinstance(string, tree.Literal) or not isinstance(string.value, str):
                raise _ParseError(string.position, "load() accepts only string literals",
                                  'write load("file.star", "NAME")')
        if len(strings) < 2 or node.arguments[0].name:
            raise _ParseError(node.position, "load() needs a file and at least one name",
                              'write load("file.star", "NAME")')
        names = []
        for argument in node.arguments[1:]:
            source_name = argument.value.value  # type: ignore[attr-defined]
            names.append((tree.Name(argument.position, argument.name or source_name), source_name,
                          argument.value.position))
        return tree.Load(node.position, strings[0].value, strings[0].position, names)  # type: ignore[attr-defined]

    def return_(self, parts: list[Any]) -> Node:
        return tree.Return(_position(parts[0]), parts[1])

    def pass_(self, _: list[Any]) -> Node:
        return tree.Pass(Position(0, 0))

    def stray(self, parts: list[Any]) -> Node:
        return tree.LoopControl(_position(parts[0]), str(parts[0]))

    def parameter(self, parts: list[Any]) -> Any:
        return tree.Name(_position(parts[0]), str(parts[0])), parts[-1]

    def parameters(self, parts: list[Any]) -> Any:
        return parts

    def block(self, parts: list[Any]) -> Any:
        return [part for part in parts if isinstance(part, Node)]

    def define(self, parts: list[Any]) -> Node:
        parts = [part for part in parts if not (isinstance(part, Token) and part.type != "NAME")]
        name = tree.Name(_position(parts[0]), str(parts[0]))
        return tree.FunctionDefinition(name.position, name, parts[1] or [], parts[2])

    def loop(self, parts: list[Any]) -> Node:
        return tree.ForLoop(_position(parts[0]), parts[1], parts[2], parts[3])

    def branch(self, parts: list[Any]) -> Node:
        otherwise = parts[-1] or []
        branches = list(zip(parts[0:-1:2], parts[1:-1:2], strict=True))
        return tree.IfStatement(branches[0][0].position, branches, otherwise)


Shape = tuple[Callable[[list[Any]], Any], list[Any]] | int | None  # builder method and children, or index of a token


class Parser:
    """Parses files one after another, and caches the result by the shape of a statement.

    The shape is the sequence of token types, on which alone the parse depends. Of ten thousand routes of the same
    shape only the first is parsed; the others reuse its tree with their own tokens.
    """

    def __init__(self) -> None:
        self.builder = _TreeBuilder()
        self.shapes: dict[tuple[str, ...], Shape] = {}
        self.parsed_tokens = 0
        self.unparsed_names: set[str] = set()  # names in statements with errors

    def parse(self, text: str, file: str, diagnostics: Diagnostics) -> tuple[list[Node], ScanResult]:
        """Returns the valid statements and all tokens; adds the errors of each other statement to `diagnostics`."""
        result = scan(text, file, diagnostics)
        nodes = []
        for statement in result.statements:
            if statement.is_valid:
                try:
                    nodes.append(self._parse_statement(statement.tokens))
                    continue
                except UnexpectedInput as error:
                    _report_unexpected(error, statement.tokens, file, diagnostics)
                except _ParseError as error:
                    diagnostics.add(Location(file, *error.position), error.message, error.fix)
            self.unparsed_names.update(token.text for token in statement.tokens if token.type == "NAME")
        return nodes, result

    def _parse_statement(self, tokens: list[Token]) -> Node:
        """The node of a statement, from the cache of shapes if possible."""
        kinds = tuple(token.type for token in tokens)
        shape = self.shapes.get(kinds)
        if shape is None:
            self.parsed_tokens += len(tokens)
            if len(tokens) > MAX_STATEMENT_TOKENS:  # bounds the response time: parsing takes about 25 us per token
                raise _ParseError(_position(tokens[0]), f"a statement of more than {MAX_STATEMENT_TOKENS} tokens",
                                  "split it")
            if self.parsed_tokens > MAX_PARSED_TOKENS:
                raise _ParseError(_position(tokens[0]),
                                  f"more than {MAX_PARSED_TOKENS} tokens in statements of different forms",
                                  "write repeated statements in the same form, or use loops")
            parser = grammar().parse_interactive()
            result: Any = None
            for token in (*tokens, Token("$END", "", tokens[-1].line, tokens[-1].column)):
                result = parser.feed_token(token)  # type: ignore[arg-type]  # the parser uses only the type
            shape = self._make_shape(result, {id(token): index for index, token in enumerate(tokens)})
            if len(self.shapes) < MAX_SHAPES and len(kinds) <= MAX_SHAPE_TOKENS:
                self.shapes[kinds] = shape
        node: Node = _build_node(shape, tokens)
        return node

    def _make_shape(self, part: Any, indexes: dict[int, int]) -> Shape:
        """The shape of a parse tree; `indexes` are the token indexes by the ids of the tokens."""
        if isinstance(part, Tree):
            return getattr(self.builder, part.data), [self._make_shape(child, indexes) for child in part.children]
        return indexes[id(part)] if part is not None else None


def _build_node(shape: Shape, tokens: list[Token]) -> Any:
    """Builds the node of a shape from the tokens of a statement."""
    if isinstance(shape, tuple):
        return shape[0]([_build_node(part, tokens) for part in shape[1]])
    return tokens[shape] if shape is not None else None


def _report_unexpected(error: Any, tokens: list[Token], file: str, diagnostics: Diagnostics) -> None:
    """Reports an error of the parser, with the most specific message that fits."""
    token = error.token
    location = Location(file, token.line, token.column)
    before = next((one for one, other in zip(tokens, tokens[1:], strict=False) if other is token), None)
    expected = set(error.accepts or error.expected)
    if before is not None and before.type == "NUMBER" and token.text in UNITS:
        diagnostics.add(location, f"a space between {before} and its unit", f"write {before}{token}")
        return
    index = next((index for index, other in enumerate(tokens) if other is token), 0)
    if before is not None and before.type == "REMAINDER" and index > 1 and tokens[index - 2].type == "NUMBER":
        diagnostics.add(Location(file, before.line, before.column),
                        f"a space between {tokens[index - 2]} and its unit", f"write {tokens[index - 2]}%")
        return
    got = {"_NEWLINE": "end of line", "$END": "end of file", "_INDENT": "indented block",
           "_DEDENT": "end of block"}.get(token.type, f"'{token}'")
    if token.type == "EQUAL" and before is not None:
        diagnostics.add(location, "'=' in an expression", "write == to compare")
        return
    if token.type in ("ELSE", "ELIF") and before is None:
        diagnostics.add(location, f"{got} without a matching if", "indent it like its if")
        return
    if token.type in COMPARISON_TOKENS and "NUMBER" not in expected:
        diagnostics.add(location, "a chained comparison", "join two comparisons with and")
        return
    if expected <= {"IN", "COMMA"}:
        diagnostics.add(location, f"unexpected {got}", "'in' is expected here")
        return
    if "COMMA" in expected and token.type in ("NAME", "STRING", "NUMBER", "QUANTITY", "LSQB", "LBRACE", "TRUE",
                                               "FALSE", "NONE"):
        diagnostics.add(location, f"no comma before {got}", "add a comma")
        return
    for kind in ("COLON", "_INDENT", "IN", "ELSE", "EQUAL", "COMMA", "RPAR", "RSQB", "RBRACE", "NAME", "_NEWLINE"):
        if kind in expected and not ({"NUMBER", "STRING"} <= expected):
            diagnostics.add(location, f"unexpected {got}", f"{TOKEN_DESCRIPTIONS[kind]} is expected here")
            return
    diagnostics.add(location, f"unexpected {got}", "a value is expected here")
