"""Clients that take all they can get, at the full extent of the limits: memory stays bounded, others are served."""
import resource
import time

import pytest
from helpers import Caller
from test_service import KEY, RPC, process  # noqa: F401 (a fixture)

MAX_CLIENTS = 704  # of 1,024 descriptors; see connection.max_client_connections
HALF_OF_THE_LIMIT_KB = 192 * 1024 // 2


@pytest.fixture
def many_descriptors():
    """Lets this process open a connection for each client of an instance."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard if hard < 4096 and hard != -1 else 4096, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def peak_memory_kb(started):
    """Returns the largest resident memory that a process has had."""
    status = dict(line.split(":", 1) for line in open(f"/proc/{started.pid}/status"))
    return int(status["VmHWM"].split()[0])


SHORT_FIELDS = b"".join(b"%03x:%02x\r\n" % (number, number % 256) for number in range(860))
LONG_FIELDS = b"".join(b"x-%02d:%s\r\n" % (number, b"%02d" % number * 34) for number in range(90))


def rpc_head(fields, method):
    """An RPC with these fields besides its own, and the length of the largest body, which is not sent."""
    head = RPC.split(b"\r\n\r\n")[0].replace(b"/svc/lookup", b"/svc/" + method)
    lines = [line for line in head.split(b"\r\n") if not line.startswith((b"Content-Length", b"X-Request-Start"))]
    lines += [b"X-Request-Start: %d" % (time.time() * 1000), b"Content-Length: 2048",
              b"Idempotency-Key: " + KEY["Idempotency_Key"].encode()]
    return b"\r\n".join(lines) + b"\r\n" + fields + b"\r\n"


@pytest.mark.parametrize("method", [b"lookup", b"booking", b"order"])
@pytest.mark.parametrize("fields, body", [(SHORT_FIELDS, b""), (LONG_FIELDS, b"x" * 1024)])
def test_heads_of_all_clients_in_one_instant_fit_into_memory(process, many_descriptors, fields, body, method):  # noqa: F811
    # guards against a process that passed its memory limit when all clients sent heads of very many short fields
    started, harness = process
    clients = [Caller(harness.listen) for _ in range(MAX_CLIENTS - 1)]
    for client in clients:
        client.sock.sendall(rpc_head(fields, method) + body)
    caller = harness.caller().send("order")
    harness.interpreter.end(harness.interpreter.await_runs()[0], b"served")
    assert caller.receive().body == b"served"
    # 408: its body did not come; 400: its connection was evicted meanwhile
    assert {client.receive().status for client in clients} <= {400, 408, 431}
    assert peak_memory_kb(started) < HALF_OF_THE_LIMIT_KB
