import socket
import threading
import time

import pytest

from hollystage.service.buffers import SIZE, Broken, Pool, Stream
from hollystage.service.http import Bad, read_request, read_response, write_response

GOOD = (b"POST /svc/lookup?a=b HTTP/1.1\r\nHost: service.internal\r\nX-Caller:  4 \r\n"
        b"Content-Length: 5\r\n\r\na\0\r\nb")


def received(data, read, pieces=0, patience=1.0):
    """What `read` makes of bytes that come in pieces of that size and then end."""
    ours, theirs = socket.socketpair()
    stream = Stream(ours, bytearray(SIZE))

    def send():
        for at in range(0, len(data), pieces or len(data) or 1):
            theirs.sendall(data[at:at + (pieces or len(data))])
        theirs.shutdown(socket.SHUT_WR)

    thread = threading.Thread(target=send)
    thread.start()
    try:
        return read(stream, time.monotonic() + patience)
    finally:
        ours.close()
        thread.join()
        theirs.close()


@pytest.mark.parametrize("pieces", [0, 1, 7, 64])
def test_a_request_is_read_alike_however_it_is_split(pieces):
    request = received(GOOD, read_request, pieces)
    assert (request.verb, request.path, request.query, request.body, request.keep) == (
        "POST", "/svc/lookup", "a=b", b"a\0\r\nb", True)
    assert request.fields["x-caller"] == "4"


def test_requests_that_come_together_are_read_one_by_one():
    def both(stream, until):
        return read_request(stream, until), read_request(stream, until), stream.empty()
    first, second, rest = received(GOOD + GOOD.replace(b"a\0\r\nb", b"other"), both)
    assert (first.body, second.body, rest) == (b"a\0\r\nb", b"other", True)


@pytest.mark.parametrize("size", [1, 30, 60, len(GOOD) - 1])
def test_a_request_that_stops_half_way_is_broken(size):
    with pytest.raises(Broken):
        received(GOOD[:size], read_request)


def head(*lines, first=b"POST /svc/lookup HTTP/1.1"):
    return b"\r\n".join([first, *lines, b"", b""])


@pytest.mark.parametrize("data, status", [
    (head(first=b"POST /svc/lookup"), 400),
    (head(first=b"POST  /svc/lookup HTTP/1.1"), 400),
    (head(first=b"POST /svc/lookup HTTP/2.0"), 400),
    (head(first=b"POST /svc/\xff HTTP/1.1"), 400),
    (head(first=b"PRI * HTTP/2.0"), 400),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    (head(b"No colon"), 400),
    (head(b"Space before : x"), 400),
    (head(b"Host: a", b" folded: x"), 400),
    (head(b"X-Caller: a\0b"), 400),
    (head(b"X-Caller: 1", b"x-caller: 2"), 400),
    (head(b"Content-Length: 5", b"Content-Length: 5"), 400),
    (head(b"Content-Length: 5, 5"), 400),
    (head(b"Content-Length: -1"), 400),
    (head(b"Content-Length: +1"), 400),
    (head(b"Content-Length: 0x10"), 400),
    (head(b"Content-Length: \xb2"), 400),
    (head(b"Content-Length:"), 400),
    (head(b"Content-Length: 2049"), 413),
    (head(b"Content-Length: " + b"9" * 5000), 413),
    (head(b"Transfer-Encoding: chunked") + b"0\r\n\r\n", 411),
    (head(b"Content-Length: 3", b"Transfer-Encoding: chunked") + b"abc", 411),
    (head(b"Expect: 100-continue", b"Content-Length: 1"), 417),
    (head(b"X: " + b"a" * 9000), 431),
    (b"A" * 40_000, 431),
    (b"\r\n" * 9000, 400),
])
def test_malformed_requests_get_the_fitting_status(data, status):
    with pytest.raises(Bad) as bad:
        received(data, read_request)
    assert bad.value.status == status


@pytest.mark.parametrize("lines, minor, keep", [
    ([], b"1", True), ([b"Connection: close"], b"1", False), ([b"Connection: x, Close"], b"1", False),
    ([], b"0", False), ([b"Connection: keep-alive"], b"0", True),
])
def test_whether_a_connection_stays_open(lines, minor, keep):
    data = head(*lines, first=b"GET /status/live HTTP/1." + minor)
    assert received(data, read_request).keep == keep


def test_a_sender_that_is_too_slow_is_not_waited_for():
    ours, theirs = socket.socketpair()
    theirs.sendall(GOOD[:20])
    with pytest.raises(TimeoutError):
        read_request(Stream(ours, bytearray(SIZE)), time.monotonic() + 0.02)


@pytest.mark.parametrize("data, found", [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\r\n", (200, b"\r\n", True)),
    (b"HTTP/1.1 204 No Content\r\n\r\n", (204, b"", True)),
    (b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", (503, b"", False)),
    (write_response(500, {"A": "b"}, b"\0" * 4096, False), (500, b"\0" * 4096, False)),
])
def test_responses(data, found):
    for pieces in (0, 1):
        response = received(data, read_response, pieces)
        assert (response.status, response.body, response.keep) == found


@pytest.mark.parametrize("data, fault", [
    (b"HTTP/1.1 2x0 OK\r\n\r\n", Bad), (b"nonsense\r\n\r\n", Bad), (b"HTTP/1.1 200 OK\r\n\r\n", Bad),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n", Bad), (b"x" * 40_000, Bad),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", Broken), (b"HTTP/1.1 200", Broken), (b"", Broken),
])
def test_responses_that_cannot_be_used(data, fault):
    with pytest.raises(fault):
        received(data, read_response)


def test_buffers_are_used_again():
    pool = Pool()
    first = pool.take()
    other = pool.take()
    pool.give_back(first)
    assert other is not first and pool.take() is first and len(first) == SIZE
