"""Splits a text into tokens, according to the terminals of the grammar.

All terminals are combined into one regular expression. The scanner of the parser library creates an object with eight
fields for each token, including spaces; it took two thirds of the time to check a plan with 10,000 routes.
"""
from __future__ import annotations

import re
from collections.abc import Iterator
from functools import cache
from importlib.resources import files
from typing import Any, NamedTuple

from lark import Lark
from lark.lark import PostLex
from lark.lexer import PatternStr

UNUSED_TERMINALS = ("NEWLINE", "BAD_NUMBER", "RESERVED", "LONG_STRING", "OPEN_STRING", "SEMICOLON", "BACKSLASH",
                    "STRANGE")


class Token(NamedTuple):
    """A token; `type` is the name of its terminal. Lines and columns count from 1."""

    type: str
    text: str
    line: int
    column: int

    def __str__(self) -> str:
        return self.text


class _KeepTerminals(PostLex):
    """Keeps Lark from dropping the terminals that no rule uses; layout.py needs them."""

    always_accept = UNUSED_TERMINALS

    def process(self, stream: Iterator[Any]) -> Iterator[Any]:
        return stream


@cache
def grammar() -> Lark:
    """The LALR parser of grammar.lark."""
    text = files(__package__).joinpath("grammar.lark").read_text("utf-8")
    return Lark(text, parser="lalr", lexer="basic", maybe_placeholders=True, postlex=_KeepTerminals())


@cache
def _scanner() -> tuple[re.Pattern[str], dict[str, str]]:
    """A regular expression that matches any token, and the terminals of keywords and operators by their text."""
    fixed_terminals: dict[str, str] = {}
    operators: list[str] = []
    patterns: list[tuple[int, str]] = []
    for terminal in grammar().terminals:
        if isinstance(terminal.pattern, PatternStr):
            fixed_terminals[terminal.pattern.value] = terminal.name
            if not terminal.pattern.value.isalpha():
                operators.append(re.escape(terminal.pattern.value))
        elif terminal.name != "SPACE":
            patterns.append((-terminal.priority, f"(?P<{terminal.name}>{terminal.pattern.to_regexp()})"))
    operators.sort(key=len, reverse=True)
    patterns.append((0, f"(?P<WORD>{'|'.join(operators)})"))
    return re.compile(f"[ \t]*(?:{'|'.join(pattern for _, pattern in sorted(patterns))})"), fixed_terminals


def tokenize(text: str) -> list[Token]:
    """Splits any text into tokens; only spaces and tabs between tokens are dropped.

    >>> [(token.type, token.text) for token in tokenize("a = 830ms # x")]
    [('NAME', 'a'), ('EQUAL', '='), ('QUANTITY', '830ms'), ('COMMENT', '# x')]
    """
    result: list[Token] = []
    add, (pattern, fixed_terminals) = result.append, _scanner()
    line, before = 1, -1  # `before`: index of the character before the current line; column = index - before
    for match in pattern.finditer(text):
        kind = match.lastgroup or ""
        value = match[kind]
        if kind == "NAME" or kind == "WORD":
            kind = fixed_terminals.get(value, kind)
        add(Token(kind, value, line, match.start(match.lastgroup or 0) - before))
        if kind == "NEWLINE":
            line, before = line + value.count("\n"), match.end() - len(value) + value.rindex("\n")
    return result
