"""Splits a script into top-level statements, each a list of tokens for the parser.

Newlines inside brackets and of blank lines are dropped; _INDENT and _DEDENT are added. Errors in characters, strings,
brackets and indentation are reported here, once, and reading continues with the next statement.
"""
from __future__ import annotations

from typing import NamedTuple

from .faults import Faults, Where
from .tokens import Token, tokens
from .units import meant

BRACKETS, BLOCKS = 50, 12  # nested brackets and blocks; bounds the recursion over the syntax tree
OPENING = {"LPAR": "RPAR", "LSQB": "RSQB", "LBRACE": "RBRACE"}
CLOSING = {"RPAR": "(", "RSQB": "[", "RBRACE": "{"}
STARTS = {"NAME", "DEF", "FOR", "IF", "PASS", "RETURN"}
Tokens = list[Token]


class Statement(NamedTuple):
    """A top-level statement.

    `tokens` are terminals of the grammar and end with a newline. `is_valid` is False if errors were found, so that
    the statement must not be parsed.
    """

    tokens: Tokens
    good: bool


class Scan(NamedTuple):
    """The result of scan()."""

    statements: list[Statement]
    tokens: Tokens  # all tokens including comments, for the formatter


def scan(text: str, file: str, diagnostics: Faults) -> Scan:
    """Splits a text into tokens and statements. Lexical and layout errors are added to `diagnostics`."""
    all_tokens = tokens(text)
    code = [token for token in all_tokens if token.type != "COMMENT"]
    return Scan(_Layout(file, diagnostics, code).statements(), all_tokens)


class _Layout:
    """Reads the statements of one file, line by line, and checks brackets and indentation."""

    def __init__(self, file: str, diagnostics: Faults, tokens: Tokens) -> None:
        self.file, self.faults, self.tokens = file, diagnostics, tokens
        self.found: list[tuple[Token, str, str]] = []  # token, message, fix; of the current statement

    def fault(self, token: Token, message: str, fix: str) -> None:
        self.found.append((token, message, fix))

    def _tell(self) -> None:
        """Reports the errors of the current statement.

        If a string is not terminated, only that is reported: the string contains the rest of its line, so further
        errors may be consequences.
        """
        open_strings = [row for row in self.found if row[0].type in ("OPEN_STRING", "LONG_STRING")]
        for token, message, fix in open_strings[:1] or self.found:
            self.faults.add(Where(self.file, token.line, token.column), message, fix)
        self.found = []

    def statements(self) -> list[Statement]:
        """Reads all statements of the file and reports their errors."""
        statements: list[Statement] = []
        index, end = 0, len(self.tokens)
        while index < end:
            if self.tokens[index].type == "NEWLINE":
                index += 1
                continue
            index = self._statement(index, statements)
            self._tell()
        return statements

    def _statement(self, index: int, statements: list[Statement]) -> int:
        """Reads one statement from the token at `index`; returns the index of the next statement."""
        output: Tokens = []
        is_valid, levels = True, [0]
        first = self.tokens[index]
        if first.column > 1:
            self.fault(first, "unexpected indentation of a top-level statement", "start it in column 1")
            is_valid = False
        while index < len(self.tokens):
            index, line_is_valid = self._line(index, output)
            is_valid &= line_is_valid
            # the logical line is complete; the next one decides whether the statement continues
            while index < len(self.tokens) and self.tokens[index].type == "NEWLINE":
                index += 1
            self._newline(output)
            opens_block = len(output) > 1 and output[-2].type == "COLON"
            if index >= len(self.tokens):
                if opens_block:
                    self.fault(output[-2], "an empty block", "indent its lines by four spaces")
                    is_valid = False
                break
            following = self.tokens[index]
            column = following.column - 1
            if column == 0 and following.type not in ("ELIF", "ELSE"):
                if opens_block:
                    self.fault(output[-2], "an empty block", "indent its lines by four spaces")
                    is_valid = False
                break
            if opens_block:
                if column <= levels[-1]:
                    self.fault(following, "an empty block", "indent its lines by four spaces")
                    is_valid = False
                elif len(levels) > BLOCKS:
                    if is_valid:
                        self.fault(following, f"blocks nested deeper than {BLOCKS}",
                                   "move the inner blocks into a def")
                    is_valid = False
                else:
                    levels.append(column)
                    output.append(Token("_INDENT", "", following.line, following.column))
            elif column > levels[-1]:
                if is_valid and self._header(output):
                    self.fault(output[-1], "missing ':' at the end of a line that starts a block", "add ':'")
                elif is_valid:
                    self.fault(following, "indented more than the other lines of its block",
                               f"start it in column {levels[-1] + 1}")
                is_valid = False
            while column < levels[-1]:
                levels.pop()
                output.append(Token("_DEDENT", "", following.line, following.column))
                if column > levels[-1]:
                    self.fault(following, "indentation that matches no enclosing block",
                               f"start it in column {levels[-1] + 1}")
                    is_valid = False
                    break
        self._newline(output)
        if output:
            output += [Token("_DEDENT", "", output[-1].line, output[-1].column)] * (len(levels) - 1)
            statements.append(Statement(output, is_valid))
        return index

    @staticmethod
    def _header(output: Tokens) -> bool:
        """Whether the last line starts with a keyword that opens a block."""
        start = len(output) - 1
        while start > 0 and output[start - 1].type not in ("_NEWLINE", "_INDENT", "_DEDENT"):
            start -= 1
        return output[start].type in ("IF", "ELIF", "ELSE", "FOR", "DEF")

    @staticmethod
    def _newline(output: Tokens) -> None:
        if output and output[-1].type not in ("_NEWLINE", "_DEDENT"):
            output.append(Token("_NEWLINE", "\n", output[-1].line, output[-1].column + len(output[-1].text)))

    def _line(self, index: int, output: Tokens) -> tuple[int, bool]:
        """Reads a logical line, up to the newline outside all brackets; returns its end and whether it is valid."""
        opened: Tokens = []
        is_valid, start, too_deep = True, len(output), False
        while index < len(self.tokens):
            token = self.tokens[index]
            if token.type == "NEWLINE":
                if not opened:
                    return index, is_valid
                index += 1
                # if a new statement starts while a bracket is open, the closing bracket was probably forgotten
                if index < len(self.tokens) and self._starts_anew(index) \
                        and not self._closes_later(index, len(opened)):
                    self.fault(opened[-1], f"'{opened[-1]}' is never closed", f"add '{self._mate(opened[-1])}'")
                    return index, False
                continue
            index += 1
            if token.type in OPENING:
                opened.append(token)
                if len(opened) > BRACKETS:
                    if not too_deep:
                        self.fault(token, f"brackets nested deeper than {BRACKETS}",
                                   "assign the inner parts to names")
                    too_deep, is_valid = True, False
            elif token.type in CLOSING:
                if not opened:
                    self.fault(token, f"'{token}' without an opening bracket", "remove it")
                    is_valid = False
                    continue
                if OPENING[opened[-1].type] != token.type:
                    self.fault(token, f"'{token}' does not match '{opened[-1]}' in line {opened[-1].line}",
                               f"write '{self._mate(opened[-1])}'")
                    is_valid = False
                opened.pop()
            elif not self._known(token):
                is_valid = False
                continue
            if not too_deep:
                output.append(token)
        if opened:
            self.fault(opened[-1], f"'{opened[-1]}' is never closed", f"add '{self._mate(opened[-1])}'")
            is_valid = False
        if len(output) == start:
            is_valid = False
        return index, is_valid

    @staticmethod
    def _mate(token: Token) -> str:
        return {"(": ")", "[": "]", "{": "}"}[str(token)]

    def _starts_anew(self, index: int) -> bool:
        token = self.tokens[index]
        if token.column > 1 or token.type not in STARTS:
            return False
        if token.type != "NAME":
            return True
        return index + 1 < len(self.tokens) and self.tokens[index + 1].type in ("LPAR", "EQUAL")

    def _closes_later(self, index: int, depth: int) -> bool:
        """Whether `depth` open brackets are closed before the next line that starts a statement."""
        first = index
        while index < len(self.tokens):
            token = self.tokens[index]
            if token.type in OPENING:
                depth += 1
            elif token.type in CLOSING:
                depth -= 1
                if depth == 0:
                    return True
            elif token.type == "NEWLINE" and index + 1 < len(self.tokens) and index > first \
                    and self._starts_anew(index + 1):
                return False
            index += 1
        return False

    def _known(self, token: Token) -> bool:
        """Whether a statement may contain the token; reports an error if not."""
        text = token.text
        match token.type:
            case "STRANGE":
                if (token.column, text) == (1, "\ufeff"):
                    return True
                name = "a tab" if text == "\t" else "a NUL byte" if text == "\0" else f"the character {text!r}"
                self.fault(token, f"{name} outside a string", "remove it")
            case "OPEN_STRING":
                self.fault(token, "a string that is not closed on its line", f"close it with {text[0]}")
            case "LONG_STRING":
                self.fault(token, "a string over several lines", "join one-line strings with +")
            case "SEMICOLON":
                self.fault(token, "';' between statements", "write each statement on its own line")
            case "BACKSLASH":
                self.fault(token, "'\\' at the end of a line", "put the expression in brackets")
            case "RESERVED":
                self.fault(token, f"'{text}' is not part of the language", _instead(text))
            case "BAD_NUMBER":
                self._bad_number(token, text)
            case _:
                return True
        return False

    def _bad_number(self, token: Token, text: str) -> None:
        suggestion = meant(text)
        if suggestion is not None:
            self.fault(token, f"'{text}' has a unit that the language does not know", f"write {suggestion}")
        elif text.lstrip("0123456789.") and not text.startswith("0x"):
            self.fault(token, f"'{text}' has a unit that the language does not know",
                       "use us, ms, s, min, h, B, KiB, MiB, GiB, /s, /min, /h or %")
        else:
            self.fault(token, f"'{text}' is not a number", "write decimal digits with at most one point")


def _instead(word: str) -> str:
    """The fix for a Python keyword that scripts do not support."""
    return {"while": "use for over a list or range()", "import": 'use load("file.star", "NAME")',
            "from": 'use load("file.star", "NAME")', "lambda": "use def", "is": "use =="}.get(
                word, "remove it")
