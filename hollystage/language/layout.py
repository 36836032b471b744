"""Splits a script into top-level statements, each a list of tokens for the parser.

Newlines inside brackets and of blank lines are dropped; _INDENT and _DEDENT are added. Errors in characters, strings,
brackets and indentation are reported here, once, and reading continues with the next statement.
"""
from __future__ import annotations

from typing import NamedTuple

from .diagnostics import Diagnostics, Location
from .tokens import Token, tokenize
from .units import suggest_literal

MAX_BRACKET_DEPTH, MAX_BLOCK_DEPTH = 50, 12  # nested brackets and blocks; bounds the recursion over the syntax tree
OPENING = {"LPAR": "RPAR", "LSQB": "RSQB", "LBRACE": "RBRACE"}
CLOSING = {"RPAR": "(", "RSQB": "[", "RBRACE": "{"}
STATEMENT_STARTS = {"NAME", "DEF", "FOR", "IF", "PASS", "RETURN"}
Tokens = list[Token]


class Statement(NamedTuple):
    """A top-level statement.

    `tokens` are terminals of the grammar and end with a newline. `is_valid` is False if errors were found, so that
    the statement must not be parsed.
    """

    tokens: Tokens
    is_valid: bool


class ScanResult(NamedTuple):
    """The result of scan()."""

    statements: list[Statement]
    tokens: Tokens  # all tokens including comments, for the formatter


def scan(text: str, file: str, diagnostics: Diagnostics) -> ScanResult:
    """Splits a text into tokens and statements. Lexical and layout errors are added to `diagnostics`."""
    all_tokens = tokenize(text)
    code = [token for token in all_tokens if token.type != "COMMENT"]
    return ScanResult(_StatementReader(file, diagnostics, code).statements(), all_tokens)


class _StatementReader:
    """Reads the statements of one file, line by line, and checks brackets and indentation."""

    def __init__(self, file: str, diagnostics: Diagnostics, tokens: Tokens) -> None:
        self.file, self.diagnostics, self.tokens = file, diagnostics, tokens
        self.pending_errors: list[tuple[Token, str, str]] = []  # token, message, fix; of the current statement

    def add_error(self, token: Token, message: str, fix: str) -> None:
        self.pending_errors.append((token, message, fix))

    def _report_errors(self) -> None:
        """Reports the errors of the current statement.

        If a string is not terminated, only that is reported: the string contains the rest of its line, so further
        errors may be consequences.
        """
        open_strings = [row for row in self.pending_errors if row[0].type in ("OPEN_STRING", "LONG_STRING")]
        for token, message, fix in open_strings[:1] or self.pending_errors:
            self.diagnostics.add(Location(self.file, token.line, token.column), message, fix)
        self.pending_errors = []

    def statements(self) -> list[Statement]:
        """Reads all statements of the file and reports their errors."""
        statements: list[Statement] = []
        index, end = 0, len(self.tokens)
        while index < end:
            if self.tokens[index].type == "NEWLINE":
                index += 1
                continue
            index = self._read_statement(index, statements)
            self._report_errors()
        return statements

    def _read_statement(self, index: int, statements: list[Statement]) -> int:
        """Reads one statement from the token at `index`; returns the index of the next statement."""
        output: Tokens = []
        is_valid, levels = True, [0]
        first = self.tokens[index]
        if first.column > 1:
            self.add_error(first, "unexpected indentation of a top-level statement", "start it in column 1")
            is_valid = False
        while index < len(self.tokens):
            index, line_is_valid = self._read_line(index, output)
            is_valid &= line_is_valid
            # the logical line is complete; the next one decides whether the statement continues
            while index < len(self.tokens) and self.tokens[index].type == "NEWLINE":
                index += 1
            self._end_line(output)
            opens_block = len(output) > 1 and output[-2].type == "COLON"
            if index >= len(self.tokens):
                if opens_block:
                    self.add_error(output[-2], "an empty block", "indent its lines by four spaces")
                    is_valid = False
                break
            following = self.tokens[index]
            column = following.column - 1
            if column == 0 and following.type not in ("ELIF", "ELSE"):
                if opens_block:
                    self.add_error(output[-2], "an empty block", "indent its lines by four spaces")
                    is_valid = False
                break
            if opens_block:
                if column <= levels[-1]:
                    self.add_error(following, "an empty block", "indent its lines by four spaces")
                    is_valid = False
                elif len(levels) > MAX_BLOCK_DEPTH:
                    if is_valid:
                        self.add_error(following, f"blocks nested deeper than {MAX_BLOCK_DEPTH}",
                                       "move the inner blocks into a def")
                    is_valid = False
                else:
                    levels.append(column)
                    output.append(Token("_INDENT", "", following.line, following.column))
            elif column > levels[-1]:
                if is_valid and self._is_block_header(output):
                    self.add_error(output[-1], "missing ':' at the end of a line that starts a block", "add ':'")
                elif is_valid:
                    self.add_error(following, "indented more than the other lines of its block",
                                   f"start it in column {levels[-1] + 1}")
                is_valid = False
            while column < levels[-1]:
                levels.pop()
                output.append(Token("_DEDENT", "", following.line, following.column))
                if column > levels[-1]:
                    self.add_error(following, "indentation that matches no enclosing block",
                                   f"start it in column {levels[-1] + 1}")
                    is_valid = False
                    break
        self._end_line(output)
        if output:
            output += [Token("_DEDENT", "", output[-1].line, output[-1].column)] * (len(levels) - 1)
            statements.append(Statement(output, is_valid))
        return index

    @staticmethod
    def _is_block_header(output: Tokens) -> bool:
        """Whether the last line starts with a keyword that opens a block."""
        start = len(output) - 1
        while start > 0 and output[start - 1].type not in ("_NEWLINE", "_INDENT", "_DEDENT"):
            start -= 1
        return output[start].type in ("IF", "ELIF", "ELSE", "FOR", "DEF")

    @staticmethod
    def _end_line(output: Tokens) -> None:
        if output and output[-1].type not in ("_NEWLINE", "_DEDENT"):
            output.append(Token("_NEWLINE", "\n", output[-1].line, output[-1].column + len(output[-1].text)))

    def _read_line(self, index: int, output: Tokens) -> tuple[int, bool]:
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
                if index < len(self.tokens) and self._starts_statement(index) \
                        and not self._is_closed_later(index, len(opened)):
                    self.add_error(opened[-1], f"'{opened[-1]}' is never closed",
                                   f"add '{self._closing_bracket(opened[-1])}'")
                    return index, False
                continue
            index += 1
            if token.type in OPENING:
                opened.append(token)
                if len(opened) > MAX_BRACKET_DEPTH:
                    if not too_deep:
                        self.add_error(token, f"brackets nested deeper than {MAX_BRACKET_DEPTH}",
                                       "assign the inner parts to names")
                    too_deep, is_valid = True, False
            elif token.type in CLOSING:
                if not opened:
                    self.add_error(token, f"'{token}' without an opening bracket", "remove it")
                    is_valid = False
                    continue
                if OPENING[opened[-1].type] != token.type:
                    self.add_error(token, f"'{token}' does not match '{opened[-1]}' in line {opened[-1].line}",
                                   f"write '{self._closing_bracket(opened[-1])}'")
                    is_valid = False
                opened.pop()
            elif not self._check_token(token):
                is_valid = False
                continue
            if not too_deep:
                output.append(token)
        if opened:
            self.add_error(opened[-1], f"'{opened[-1]}' is never closed",
                           f"add '{self._closing_bracket(opened[-1])}'")
            is_valid = False
        if len(output) == start:
            is_valid = False
        return index, is_valid

    @staticmethod
    def _closing_bracket(token: Token) -> str:
        return {"(": ")", "[": "]", "{": "}"}[str(token)]

    def _starts_statement(self, index: int) -> bool:
        token = self.tokens[index]
        if token.column > 1 or token.type not in STATEMENT_STARTS:
            return False
        if token.type != "NAME":
            return True
        return index + 1 < len(self.tokens) and self.tokens[index + 1].type in ("LPAR", "EQUAL")

    def _is_closed_later(self, index: int, depth: int) -> bool:
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
                    and self._starts_statement(index + 1):
                return False
            index += 1
        return False

    def _check_token(self, token: Token) -> bool:
        """Whether a statement may contain the token; reports an error if not."""
        text = token.text
        match token.type:
            case "STRANGE":
                if (token.column, text) == (1, "\ufeff"):
                    return True
                name = "a tab" if text == "\t" else "a NUL byte" if text == "\0" else f"the character {text!r}"
                self.add_error(token, f"{name} outside a string", "remove it")
            case "OPEN_STRING":
                self.add_error(token, "a string that is not closed on its line", f"close it with {text[0]}")
            case "LONG_STRING":
                self.add_error(token, "a string over several lines", "join one-line strings with +")
            case "SEMICOLON":
                self.add_error(token, "';' between statements", "write each statement on its own line")
            case "BACKSLASH":
                self.add_error(token, "'\\' at the end of a line", "put the expression in brackets")
            case "RESERVED":
                self.add_error(token, f"'{text}' is not part of the language", _suggest_replacement(text))
            case "BAD_NUMBER":
                self._report_bad_number(token, text)
            case _:
                return True
        return False

    def _report_bad_number(self, token: Token, text: str) -> None:
        suggestion = suggest_literal(text)
        if suggestion is not None:
            self.add_error(token, f"'{text}' has a unit that the language does not know", f"write {suggestion}")
        elif text.lstrip("0123456789.") and not text.startswith("0x"):
            self.add_error(token, f"'{text}' has a unit that the language does not know",
                           "use us, ms, s, min, h, B, KiB, MiB, GiB, /s, /min, /h or %")
        else:
            self.add_error(token, f"'{text}' is not a number", "write decimal digits with at most one point")


def _suggest_replacement(word: str) -> str:
    """The fix for a Python keyword that scripts do not support."""
    return {"while": "use for over a list or range()", "import": 'use load("file.star", "NAME")',
            "from": 'use load("file.star", "NAME")', "lambda": "use def", "is": "use =="}.get(
                word, "remove it")
