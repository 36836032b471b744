"""The subset of HTTP/1.1 that the service uses: parsing from a stream and encoding as bytes."""
from __future__ import annotations

import re
from typing import NamedTuple

from .buffers import MessageTooLongError, Stream

MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES = 8 * 1024, 2 * 1024, 8 * 1024
MAX_FIELDS = 100  # header fields of a message; parsed, a short one takes 30 times the memory of its bytes
# These expressions read bytes from outside while the interpreter lock is held, so each takes time in proportion to
# its input: repetitions are possessive ("++", "*+"), and no two that follow each other can take the same byte.
REQUEST_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++) ([\x21-\x7e]++) HTTP/1\.([01])\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*+)?\r\n")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++):([^\x00-\x08\x0a-\x1f\x7f]*+)\r\n")
FIELD_BLANKS = b" \t"  # around the value of a field, not part of it
FIELD_FORMATS = {name: re.compile(pattern, re.ASCII).fullmatch for name, pattern in {
    "x-request-id": r"[0-9A-Fa-f]{16}", "x-request-start": r"\d{1,15}", "x-caller": r"\d{1,9}",
    "x-memory-kb": r"\d{1,4}(\.\d{1,20})?", "x-timeout-ms": r"\d{1,9}", "x-retry": r"[01]",
    "x-rank": r"0(\.\d{1,20})?", "x-cost-ms": r"\d{1,9}(\.\d{1,20})?",
    "x-object": r"[\x21-\x7e]{1,128}", "idempotency-key": r"[\x21-\x7e]{1,128}",
}.items()}
REQUIRED_FIELDS = {"x-request-id", "x-request-start", "x-caller", "x-memory-kb"}
# a repeated one would be ambiguous
SINGLE_FIELDS = {"content-length", "host", "transfer-encoding", "x-tenant", *FIELD_FORMATS}
PERCENT_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           408: "Request Timeout", 411: "Length Required", 413: "Content Too Large",
           417: "Expectation Failed", 431: "Request Header Fields Too Large",
           500: "Internal Server Error", 503: "Service Unavailable"}


class HttpError(Exception):
    """A malformed or unacceptable message; `status` is the status code for the answer, if one is sent."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Request(NamedTuple):
    """A request; names of `fields` are in lower case."""

    verb: str
    path: str
    query: str
    fields: dict[str, str]
    body: bytes
    keep_alive: bool  # whether the connection may stay open


class Response(NamedTuple):
    """A response; names of `fields` are in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes
    keep_alive: bool


class RpcFields(NamedTuple):
    """The checked header fields of an RPC; None for an optional field that is absent."""

    request_id: str
    start_ms: int
    caller: int
    timeout_ms: int | None
    is_retry: bool
    memory_kb: float
    idempotency_key: str | None
    tenant: str | None
    cost_ms: float  # the caller's estimate of the work; 0 if none was given


def _parse_fields(head: bytes, position: int) -> dict[str, str]:
    fields: dict[str, str] = {}
    if head.count(b"\n", position) > MAX_FIELDS + 1:  # an empty line ends the head
        raise HttpError(431, "too many header fields")
    while position < len(head) - 2:
        match = FIELD.match(head, position)
        if match is None:
            raise HttpError(400, "a malformed header field")
        name, value = match[1].decode("ascii").lower(), match[2].strip(FIELD_BLANKS).decode("latin-1")
        if name in fields:
            if name in SINGLE_FIELDS:
                raise HttpError(400, f"repeated field {name}")
            value = f"{fields[name]}, {value}"
        fields[name] = value
        position = match.end()
    return fields


def _content_length(fields: dict[str, str], limit: int) -> int:
    if "transfer-encoding" in fields:
        raise HttpError(411, "a body without Content-Length")
    text = fields.get("content-length", "0")
    if not text.isascii() or not text.isdigit():
        raise HttpError(400, "a malformed Content-Length")
    if len(text.lstrip("0")) > 9 or int(text) > limit:
        raise HttpError(413, "the body exceeds the size limit")
    return int(text)


def _keeps_alive(minor_version: bytes, fields: dict[str, str]) -> bool:
    options = {option.strip() for option in fields.get("connection", "").lower().split(",")}
    return "close" not in options and (minor_version == b"1" or "keep-alive" in options)


def read_request(stream: Stream, deadline: float) -> Request:
    """Reads a request.

    Raises:
        HttpError: the request is malformed, too large or not supported.
        IncompleteMessageError: the connection ended within it.
        TimeoutError: the deadline passed.
    """
    try:
        head = stream.read_until(b"\r\n\r\n", MAX_HEAD_BYTES, deadline)
    except MessageTooLongError:
        raise HttpError(431, "the head exceeds the size limit") from None
    match = REQUEST_LINE.match(head)
    if match is None:
        raise HttpError(400, "a malformed request line")
    fields = _parse_fields(head, match.end())
    size = _content_length(fields, MAX_REQUEST_BODY_BYTES)
    if "expect" in fields:
        raise HttpError(417, "Expect is not supported")
    body = stream.read_exactly(size, deadline)
    path, _, query = match[2].decode("ascii").partition("?")
    return Request(match[1].decode("ascii"), path, query, fields, body, _keeps_alive(match[3], fields))


def read_response(stream: Stream, deadline: float) -> Response:
    """Reads a response; interim (1xx) responses are skipped.

    Raises:
        HttpError: the response is malformed or too large.
        IncompleteMessageError: the connection ended within it.
        TimeoutError: the deadline passed.
    """
    try:
        while True:
            head = stream.read_until(b"\r\n\r\n", MAX_HEAD_BYTES, deadline)
            match = STATUS_LINE.match(head)
            if match is None:
                raise HttpError(400, "a malformed status line")
            fields, status = _parse_fields(head, match.end()), int(match[2])
            if status >= 200:
                break
        no_body = status == 204 or "content-length" not in fields and "transfer-encoding" not in fields
        if no_body and status != 204:
            raise HttpError(411, "a response without Content-Length")
        body = b"" if no_body else stream.read_exactly(_content_length(fields, MAX_RESPONSE_BODY_BYTES), deadline)
    except MessageTooLongError:
        raise HttpError(431, "the head exceeds the size limit") from None
    return Response(status, fields, body, _keeps_alive(match[1], fields))


def parse_rpc_fields(fields: dict[str, str]) -> RpcFields:
    """Parses and checks the header fields of an RPC.

    >>> given = {"x-request-id": "9b1f03aa5c7e2d41", "x-request-start": "1764576000123", "x-caller": "4"}
    >>> parse_rpc_fields(given | {"x-memory-kb": "24.5", "x-retry": "1", "x-cost-ms": "507.12"})[2:]
    (4, None, True, 24.5, None, None, 507.12)
    >>> parse_rpc_fields(given | {"x-memory-kb": "2000"})
    Traceback (most recent call last):
    hollystage.service.http.HttpError: x-memory-kb is missing or malformed

    Raises:
        HttpError: status 400, naming the first field that is missing or malformed.
    """
    for name, matches in FIELD_FORMATS.items():
        text = fields.get(name)
        if name in REQUIRED_FIELDS if text is None else not matches(text):
            raise HttpError(400, f"{name} is missing or malformed")
    memory, timeout = float(fields["x-memory-kb"]), fields.get("x-timeout-ms")
    if not 0 < memory < 2000:
        raise HttpError(400, "x-memory-kb is missing or malformed")
    return RpcFields(fields["x-request-id"], int(fields["x-request-start"]), int(fields["x-caller"]),
                     None if timeout is None else int(timeout), fields.get("x-retry") == "1", memory,
                     fields.get("idempotency-key"), fields.get("x-tenant"), float(fields.get("x-cost-ms", 0)))


def percent_decode(text: str) -> str:
    """Decodes the percent-encoding of a path segment. Invalid escapes, and text that is not UTF-8, stay as they are.

    >>> (percent_decode("find"), percent_decode("zone%20map"), percent_decode("caf%C3%A9"), percent_decode("50%"),
    ...  percent_decode("%ff"), percent_decode("%2g"))
    ('find', 'zone map', 'café', '50%', '%ff', '%2g')
    """
    if "%" not in text:
        return text
    try:
        return PERCENT_ESCAPE.sub(lambda match: bytes.fromhex(match[1].decode()), text.encode()).decode()
    except UnicodeDecodeError:
        return text


def encode_response(status: int, fields: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
    """Encodes a response; adds Content-Length, and Connection: close unless the connection is kept open."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "\r\n"]).encode("ascii") + body


def encode_request(verb: str, path: str, host: str, fields: dict[str, str], body: bytes) -> bytes:
    """Encodes a request; adds Host and Content-Length."""
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "\r\n"]).encode("ascii") + body
