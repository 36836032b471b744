"""Formats scripts: four spaces of indentation, lines of up to 100 columns, trailing commas in expanded brackets.

The formatter works on tokens instead of the syntax tree. It adds and removes only trailing commas, spaces and
newlines, and changes only the kind of quotes, so it cannot change the meaning of a script. Comments are tokens too,
so none is lost.
"""
from __future__ import annotations

from dataclasses import dataclass, field

from .faults import Faults, Unusable
from .layout import CLOSING, OPENING
from .syntax import Parser
from .tokens import Token

WIDTH, STEP = 100, 4
# tokens that can end a value
ENDS = {"NAME", "STRING", "NUMBER", "QUANTITY", "RPAR", "RSQB", "RBRACE", "TRUE", "FALSE", "NONE"}
SPLITS = {"FOR", "IF"}  # tokens that start a new line in a comprehension that is too long


@dataclass(slots=True)
class Element:
    """One element between commas, with its comments."""

    parts: list[Token | Group] = field(default_factory=list)
    above: list[str] = field(default_factory=list)
    behind: str = ""


@dataclass(slots=True)
class Group:
    """A pair of brackets and its elements."""

    opening: Token
    closing: Token
    elements: list[Element]
    below: list[str]  # comments after the last element
    comma: bool  # a comma follows the last element
    calls: bool  # the brackets hold arguments, parameters or an index

    @property
    def open_end(self) -> bool:
        """Whether a comma after the last element leaves the meaning unchanged."""
        if not self.elements or self.opening.type == "LSQB" and self.calls:
            return False
        tokens = [part for element in self.elements for part in element.parts]
        if any(isinstance(part, Token) and part.type == "FOR" for part in tokens):
            return False
        return self.opening.type != "LPAR" or self.calls or len(self.elements) > 1 or self.comma

    def commented(self) -> bool:
        """Whether there is a comment anywhere between the brackets."""
        if self.below:
            return True
        return any(element.above or element.behind or any(
            isinstance(part, Group) and part.commented() for part in element.parts) for element in self.elements)


def formatted(text: str, name: str) -> str:
    """Formats a script.

    Raises:
        ScriptError: the script cannot be parsed.

    >>> print(formatted("a=[1,2 , 3]#x\\nif a :\\n  b(c = -1 )", "a.star"), end="")
    a = [1, 2, 3]  # x
    if a:
        b(c = -1)
    """
    faults = Faults()
    _, scan = Parser().parse(text, name, faults)
    if faults.errors():
        raise Unusable(faults.all())
    return "\n".join(_Lines(scan.tokens).lines())


class _Lines:
    """Formats the logical lines of a file one by one and tracks the block that each belongs to."""

    def __init__(self, tokens: list[Token]) -> None:
        self.tokens, self.at = tokens, 0
        self.out: list[str] = []
        self.columns = [1]  # start columns of the open blocks in the source
        self.opens = False  # the last line ended with a colon
        self.loose: list[Token] = []  # comments above the next line, whose block is not known yet

    def lines(self) -> list[str]:
        """All lines of the formatted file; the last is empty."""
        blank, start = 0, True
        while self.at < len(self.tokens):
            token = self.tokens[self.at]
            if token.type == "NEWLINE":
                blank += token.text.count("\n")
                self.at += 1
            elif token.type == "COMMENT":
                self.loose.append(token)
                if blank > 1 and not start:
                    self._gap(len(self.loose) - 1)
                blank, start = 0, False
                self.at += 1
            else:
                gap = blank > 1 and not start
                self._settle(token.column)
                if gap:
                    self._blank()
                blank, start = 0, False
                self._line()
        self._settle(1)
        self.out.append("")
        return self.out if len(self.out) > 1 else [""]

    def _gap(self, position: int) -> None:
        """Marks a blank line between the pending comments."""
        self.loose.insert(position, Token("NEWLINE", "", 0, 0))

    def _blank(self) -> None:
        if self.out and self.out[-1]:
            self.out.append("")

    def _settle(self, column: int) -> None:
        """Opens and closes blocks for a line that starts at `column`, and emits the comments above it."""
        deepest = list(self.columns)
        if self.opens and column > self.columns[-1]:
            self.columns.append(column)
            deepest = self.columns
        self.opens = False
        while column < self.columns[-1]:
            self.columns.pop()
        for comment in self.loose:
            if comment.type == "NEWLINE":
                self._blank()
                continue
            # a comment belongs to the block of the line below it, or ends a block that is closed here
            level = max((index for index, start in enumerate(deepest) if start <= comment.column), default=0)
            level = max(level, len(self.columns) - 1) if comment.column >= column else level
            self.out.append(" " * (STEP * level) + _comment(comment))
        self.loose = []

    def _line(self) -> None:
        """Formats the logical line at the current token."""
        indent = STEP * (len(self.columns) - 1)
        element, trailing_comment = Element(), ""
        last = self.tokens[self.at]
        while self.at < len(self.tokens):
            token = self.tokens[self.at]
            if token.type == "NEWLINE":
                break
            if token.type == "COMMENT":
                trailing_comment = _comment(token)
                self.at += 1
                break
            if token.type in OPENING:
                element.parts.append(self._group(element.parts))
            else:
                element.parts.append(token)
                self.at += 1
            last = token
        self.opens = last.type == "COLON"
        # a trailing comment does not count towards the line width
        rows = _render(element.parts, indent, 0)
        if trailing_comment:
            rows[-1] += f"  {trailing_comment}"
        self.out += [" " * indent + rows[0], *rows[1:]]

    def _group(self, before: list[Token | Group]) -> Group:
        """Reads the brackets at the current token; `before` are the parts of the element that precede them."""
        opening = self.tokens[self.at]
        self.at += 1
        previous = before[-1] if before else None
        calls = isinstance(previous, Group) or isinstance(previous, Token) and previous.type in ENDS
        group = Group(opening, opening, [], [], False, calls)
        element, line = Element(), opening.line
        loose: list[str] = []  # comments on their own lines; the next token decides which element they belong to
        while True:
            token = self.tokens[self.at]
            if token.type in CLOSING:
                group.closing = token
                self.at += 1
                break
            if token.type not in ("NEWLINE", "COMMENT", "COMMA"):
                element.above += loose
                loose = []
            if token.type in OPENING:
                element.parts.append(self._group(element.parts))
                line = self.tokens[self.at - 1].line
                continue
            self.at += 1
            if token.type == "NEWLINE":
                continue
            if token.type == "COMMENT":
                owner = element if element.parts else group.elements[-1] if group.elements else None
                if token.line == line and owner is not None and not owner.behind:
                    owner.behind = _comment(token)
                else:
                    loose.append(_comment(token))
            elif token.type == "COMMA":
                group.elements.append(element)
                element, group.comma = Element(), True
            else:
                element.parts.append(token)
            line = token.line
        if element.parts:
            group.elements.append(element)
            group.comma = False
        group.below = loose
        return group


def _comment(token: Token) -> str:
    text = token.text.rstrip()
    return text if text.startswith(("# ", "#!")) or set(text) == {"#"} else f"# {text[1:].lstrip()}"


def _token(token: Token) -> str:
    text = token.text
    if token.type == "STRING" and text[0] == "'" and '"' not in text and "\\" not in text:
        return f'"{text[1:-1]}"'
    return text


def _glued(before: Token | Group, part: Token | Group, unary: bool) -> bool:
    """Whether there is no space between two neighbours; `unary`: the first is a unary plus or minus."""
    if isinstance(part, Group):
        return part.calls or unary
    if part.type in ("COMMA", "COLON"):
        return True
    if isinstance(before, Token):
        if before.text == "." or unary:
            return True
    return part.text == "."


def _flat(parts: list[Token | Group]) -> str:
    """The parts on one line."""
    pieces: list[str] = []
    before: Token | Group | None = None
    unary = False
    for part in parts:
        if before is not None and not _glued(before, part, unary):
            pieces.append(" ")
        pieces.append(_flat_group(part) if isinstance(part, Group) else _token(part))
        value_before = isinstance(before, Group) or before is not None and before.type in ENDS
        unary = isinstance(part, Token) and part.type in ("MINUS", "PLUS") and not value_before
        before = part
    return "".join(pieces)


def _flat_group(group: Group) -> str:
    inside = ", ".join(_flat(element.parts) for element in group.elements)
    single = group.opening.type == "LPAR" and not group.calls and len(group.elements) == 1 and group.comma
    return f"{group.opening.text}{inside}{',' if single else ''}{group.closing.text}"


def _render(parts: list[Token | Group], indent: int, tail: int) -> list[str]:
    """The lines of one logical line or element; the first without its indentation.

    `tail` is the number of characters that will follow the last line. Brackets are expanded until all lines fit.
    """
    groups = [part for part in parts if isinstance(part, Group)]
    expanded = {id(group) for group in groups if group.commented()}
    while True:
        rows = _laid(parts, indent, expanded)
        longest = max(len(rows[0]) + indent, *(len(row) for row in rows)) + tail
        rest = [group for group in groups if id(group) not in expanded and group.elements]
        if longest <= WIDTH or not rest:
            return rows
        # expand the group with the longest text first: usually the arguments of the call
        expanded.add(id(max(rest, key=lambda group: len(_flat_group(group)))))


def _laid(parts: list[Token | Group], indent: int, expanded: set[int]) -> list[str]:
    """The lines of the parts, with the groups whose ids are in `expanded` spread over several lines."""
    rows = [""]
    run: list[Token | Group] = []  # parts that go on the same line

    def flush() -> None:
        rows[-1] += _flat(run)

    for part in parts:
        if not isinstance(part, Group) or id(part) not in expanded:
            run.append(part)
            continue
        # an empty group with the opening bracket, so that the space before it is chosen as usual
        run.append(Group(part.opening, Token("EMPTY", "", 0, 0), [], [], False, part.calls))
        flush()
        run = []
        rows += _exploded(part, indent + STEP)
        rows.append(" " * indent + part.closing.text)
        run = [Token("RPAR", "", 0, 0)]  # stands for the closing bracket: a value ends here
    flush()
    return rows


def _exploded(group: Group, indent: int) -> list[str]:
    """The lines between the brackets of an expanded group, one element per line."""
    rows: list[str] = []
    pad = " " * indent
    for index, element in enumerate(group.elements):
        rows += [pad + comment for comment in element.above]
        last = index == len(group.elements) - 1
        comma = "," if not last or group.open_end else ""
        lines = _pieces(element.parts, indent, len(comma))
        lines[-1] += comma + (f"  {element.behind}" if element.behind else "")
        rows += lines
    return rows + [pad + comment for comment in group.below]


def _pieces(parts: list[Token | Group], indent: int, tail: int) -> list[str]:
    """The lines of one element; a comprehension gets one line per clause."""
    starts = [index for index, part in enumerate(parts) if isinstance(part, Token) and part.type == "FOR"]
    pad = " " * indent
    if not starts:
        rows = _render(parts, indent, tail)
        return [pad + rows[0], *rows[1:]]
    cuts = [0, *(index for index, part in enumerate(parts) if index >= starts[0] and isinstance(part, Token)
                 and part.type in SPLITS), len(parts)]
    lines: list[str] = []
    for start, end in zip(cuts, cuts[1:], strict=False):
        rows = _render(parts[start:end], indent, tail)
        lines += [pad + rows[0], *rows[1:]]
    return lines
