"""Formats scripts: four spaces of indentation, lines of up to 100 columns, trailing commas in expanded brackets.

The formatter works on tokens instead of the syntax tree. It adds and removes only trailing commas, spaces and
newlines, and changes only the kind of quotes, so it cannot change the meaning of a script. Comments are tokens too,
so none is lost.
"""
from __future__ import annotations

from dataclasses import dataclass, field

from .diagnostics import Diagnostics, ScriptError
from .layout import CLOSING, OPENING
from .syntax import Parser
from .tokens import Token

MAX_LINE_WIDTH, INDENT_WIDTH = 100, 4
# tokens that can end a value
VALUE_ENDS = {"NAME", "STRING", "NUMBER", "QUANTITY", "RPAR", "RSQB", "RBRACE", "TRUE", "FALSE", "NONE"}
CLAUSE_STARTS = {"FOR", "IF"}  # tokens that start a new line in a comprehension that is too long


@dataclass(slots=True)
class Element:
    """One element between commas, with its comments."""

    parts: list[Token | BracketGroup] = field(default_factory=list)
    comments_above: list[str] = field(default_factory=list)
    trailing_comment: str = ""


@dataclass(slots=True)
class BracketGroup:
    """A pair of brackets and its elements."""

    opening: Token
    closing: Token
    elements: list[Element]
    comments_below: list[str]  # comments after the last element
    trailing_comma: bool  # a comma follows the last element
    follows_value: bool  # the brackets hold arguments, parameters or an index

    @property
    def allows_trailing_comma(self) -> bool:
        """Whether a comma after the last element leaves the meaning unchanged."""
        if not self.elements or self.opening.type == "LSQB" and self.follows_value:
            return False
        tokens = [part for element in self.elements for part in element.parts]
        if any(isinstance(part, Token) and part.type == "FOR" for part in tokens):
            return False
        return self.opening.type != "LPAR" or self.follows_value or len(self.elements) > 1 or self.trailing_comma

    def has_comments(self) -> bool:
        """Whether there is a comment anywhere between the brackets."""
        if self.comments_below:
            return True
        return any(element.comments_above or element.trailing_comment or any(
            isinstance(part, BracketGroup) and part.has_comments() for part in element.parts)
            for element in self.elements)


def format_source(text: str, name: str) -> str:
    """Formats a script.

    Raises:
        ScriptError: the script cannot be parsed.

    >>> print(format_source("a=[1,2 , 3]#x\\nif a :\\n  b(c = -1 )", "a.star"), end="")
    a = [1, 2, 3]  # x
    if a:
        b(c = -1)
    """
    diagnostics = Diagnostics()
    _, scan = Parser().parse(text, name, diagnostics)
    if diagnostics.errors():
        raise ScriptError(diagnostics.all())
    return "\n".join(_Formatter(scan.tokens).format_lines())


class _Formatter:
    """Formats the logical lines of a file one by one and tracks the block that each belongs to."""

    def __init__(self, tokens: list[Token]) -> None:
        self.tokens, self.index = tokens, 0
        self.output: list[str] = []
        self.block_columns = [1]  # start columns of the open blocks in the source
        self.opens_block = False  # the last line ended with a colon
        self.pending_comments: list[Token] = []  # comments above the next line, whose block is not known yet

    def format_lines(self) -> list[str]:
        """All lines of the formatted file; the last is empty."""
        blank, start = 0, True
        while self.index < len(self.tokens):
            token = self.tokens[self.index]
            if token.type == "NEWLINE":
                blank += token.text.count("\n")
                self.index += 1
            elif token.type == "COMMENT":
                self.pending_comments.append(token)
                if blank > 1 and not start:
                    self._insert_gap(len(self.pending_comments) - 1)
                blank, start = 0, False
                self.index += 1
            else:
                gap = blank > 1 and not start
                self._update_blocks(token.column)
                if gap:
                    self._append_blank_line()
                blank, start = 0, False
                self._format_line()
        self._update_blocks(1)
        self.output.append("")
        return self.output if len(self.output) > 1 else [""]

    def _insert_gap(self, index: int) -> None:
        """Marks a blank line between the pending comments."""
        self.pending_comments.insert(index, Token("NEWLINE", "", 0, 0))

    def _append_blank_line(self) -> None:
        if self.output and self.output[-1]:
            self.output.append("")

    def _update_blocks(self, column: int) -> None:
        """Opens and closes blocks for a line that starts at `column`, and emits the comments above it."""
        deepest = list(self.block_columns)
        if self.opens_block and column > self.block_columns[-1]:
            self.block_columns.append(column)
            deepest = self.block_columns
        self.opens_block = False
        while column < self.block_columns[-1]:
            self.block_columns.pop()
        for comment in self.pending_comments:
            if comment.type == "NEWLINE":
                self._append_blank_line()
                continue
            # a comment belongs to the block of the line below it, or ends a block that is closed here
            level = max((index for index, start in enumerate(deepest) if start <= comment.column), default=0)
            level = max(level, len(self.block_columns) - 1) if comment.column >= column else level
            self.output.append(" " * (INDENT_WIDTH * level) + _format_comment(comment))
        self.pending_comments = []

    def _format_line(self) -> None:
        """Formats the logical line at the current token."""
        indent = INDENT_WIDTH * (len(self.block_columns) - 1)
        element, trailing_comment = Element(), ""
        last_token = self.tokens[self.index]
        while self.index < len(self.tokens):
            token = self.tokens[self.index]
            if token.type == "NEWLINE":
                break
            if token.type == "COMMENT":
                trailing_comment = _format_comment(token)
                self.index += 1
                break
            if token.type in OPENING:
                element.parts.append(self._read_group(element.parts))
            else:
                element.parts.append(token)
                self.index += 1
            last_token = token
        self.opens_block = last_token.type == "COLON"
        # a trailing comment does not count towards the line width
        rows = _wrap(element.parts, indent, 0)
        if trailing_comment:
            rows[-1] += f"  {trailing_comment}"
        self.output += [" " * indent + rows[0], *rows[1:]]

    def _read_group(self, before: list[Token | BracketGroup]) -> BracketGroup:
        """Reads the brackets at the current token; `before` are the parts of the element that precede them."""
        opening = self.tokens[self.index]
        self.index += 1
        previous = before[-1] if before else None
        follows_value = isinstance(previous, BracketGroup) or isinstance(previous, Token) \
            and previous.type in VALUE_ENDS
        group = BracketGroup(opening, opening, [], [], False, follows_value)
        element, line = Element(), opening.line
        # comments on their own lines; the next token decides which element they belong to
        pending_comments: list[str] = []
        while True:
            token = self.tokens[self.index]
            if token.type in CLOSING:
                group.closing = token
                self.index += 1
                break
            if token.type not in ("NEWLINE", "COMMENT", "COMMA"):
                element.comments_above += pending_comments
                pending_comments = []
            if token.type in OPENING:
                element.parts.append(self._read_group(element.parts))
                line = self.tokens[self.index - 1].line
                continue
            self.index += 1
            if token.type == "NEWLINE":
                continue
            if token.type == "COMMENT":
                owner = element if element.parts else group.elements[-1] if group.elements else None
                if token.line == line and owner is not None and not owner.trailing_comment:
                    owner.trailing_comment = _format_comment(token)
                else:
                    pending_comments.append(_format_comment(token))
            elif token.type == "COMMA":
                group.elements.append(element)
                element, group.trailing_comma = Element(), True
            else:
                element.parts.append(token)
            line = token.line
        if element.parts:
            group.elements.append(element)
            group.trailing_comma = False
        group.comments_below = pending_comments
        return group


def _format_comment(token: Token) -> str:
    text = token.text.rstrip()
    return text if text.startswith(("# ", "#!")) or set(text) == {"#"} else f"# {text[1:].lstrip()}"


def _format_token(token: Token) -> str:
    text = token.text
    if token.type == "STRING" and text[0] == "'" and '"' not in text and "\\" not in text:
        return f'"{text[1:-1]}"'
    return text


def _is_adjacent(before: Token | BracketGroup, part: Token | BracketGroup, unary: bool) -> bool:
    """Whether there is no space between two neighbours; `unary`: the first is a unary plus or minus."""
    if isinstance(part, BracketGroup):
        return part.follows_value or unary
    if part.type in ("COMMA", "COLON"):
        return True
    if isinstance(before, Token):
        if before.text == "." or unary:
            return True
    return part.text == "."


def _format_flat(parts: list[Token | BracketGroup]) -> str:
    """The parts on one line."""
    pieces: list[str] = []
    before: Token | BracketGroup | None = None
    unary = False
    for part in parts:
        if before is not None and not _is_adjacent(before, part, unary):
            pieces.append(" ")
        pieces.append(_format_flat_group(part) if isinstance(part, BracketGroup) else _format_token(part))
        value_before = isinstance(before, BracketGroup) or before is not None and before.type in VALUE_ENDS
        unary = isinstance(part, Token) and part.type in ("MINUS", "PLUS") and not value_before
        before = part
    return "".join(pieces)


def _format_flat_group(group: BracketGroup) -> str:
    inside = ", ".join(_format_flat(element.parts) for element in group.elements)
    single = group.opening.type == "LPAR" and not group.follows_value and len(group.elements) == 1 \
        and group.trailing_comma
    return f"{group.opening.text}{inside}{',' if single else ''}{group.closing.text}"


def _wrap(parts: list[Token | BracketGroup], indent: int, tail: int) -> list[str]:
    """The lines of one logical line or element; the first without its indentation.

    `tail` is the number of characters that will follow the last line. Brackets are expanded until all lines fit.
    """
    groups = [part for part in parts if isinstance(part, BracketGroup)]
    expanded = {id(group) for group in groups if group.has_comments()}
    while True:
        rows = _format_rows(parts, indent, expanded)
        longest = max(len(rows[0]) + indent, *(len(row) for row in rows)) + tail
        candidates = [group for group in groups if id(group) not in expanded and group.elements]
        if longest <= MAX_LINE_WIDTH or not candidates:
            return rows
        # expand the group with the longest text first: usually the arguments of the call
        expanded.add(id(max(candidates, key=lambda group: len(_format_flat_group(group)))))


def _format_rows(parts: list[Token | BracketGroup], indent: int, expanded: set[int]) -> list[str]:
    """The lines of the parts, with the groups whose ids are in `expanded` spread over several lines."""
    rows = [""]
    run: list[Token | BracketGroup] = []  # parts that go on the same line

    def flush() -> None:
        rows[-1] += _format_flat(run)

    for part in parts:
        if not isinstance(part, BracketGroup) or id(part) not in expanded:
            run.append(part)
            continue
        # an empty group with the opening bracket, so that the space before it is chosen as usual
        run.append(BracketGroup(part.opening, Token("EMPTY", "", 0, 0), [], [], False, part.follows_value))
        flush()
        run = []
        rows += _format_expanded(part, indent + INDENT_WIDTH)
        rows.append(" " * indent + part.closing.text)
        run = [Token("RPAR", "", 0, 0)]  # stands for the closing bracket: a value ends here
    flush()
    return rows


def _format_expanded(group: BracketGroup, indent: int) -> list[str]:
    """The lines between the brackets of an expanded group, one element per line."""
    rows: list[str] = []
    pad = " " * indent
    for index, element in enumerate(group.elements):
        rows += [pad + comment for comment in element.comments_above]
        last = index == len(group.elements) - 1
        comma = "," if not last or group.allows_trailing_comma else ""
        lines = _format_element(element.parts, indent, len(comma))
        lines[-1] += comma + (f"  {element.trailing_comment}" if element.trailing_comment else "")
        rows += lines
    return rows + [pad + comment for comment in group.comments_below]


def _format_element(parts: list[Token | BracketGroup], indent: int, tail: int) -> list[str]:
    """The lines of one element; a comprehension gets one line per clause."""
    starts = [index for index, part in enumerate(parts) if isinstance(part, Token) and part.type == "FOR"]
    pad = " " * indent
    if not starts:
        rows = _wrap(parts, indent, tail)
        return [pad + rows[0], *rows[1:]]
    cuts = [0, *(index for index, part in enumerate(parts) if index >= starts[0] and isinstance(part, Token)
                 and part.type in CLAUSE_STARTS), len(parts)]
    lines: list[str] = []
    for start, end in zip(cuts, cuts[1:], strict=False):
        rows = _wrap(parts[start:end], indent, tail)
        lines += [pad + rows[0], *rows[1:]]
    return lines
