"""Case 6: one bad client sends one request with a header line that cannot be read."""
from __future__ import annotations

import os
import socket
import threading
import time

from common import JACKSON, Address, Case, Stub, Traffic, instance_address, interpreter_of, run, wait_ready

from hollystage.standins.services import ControlPlane, FixedLatencyLedger

RATE = 12.0  # RPCs per second of the usual client stub, 60% of what the cores can do
BEFORE_S, AFTER_S = 5.0, 25.0
OWED_S = 3.0  # a bad client is owed a refusal, an error or a close within this time
LOST_SHARE = 0.003  # "break the rule from 3 in 1,000 on"
# 8,000 bytes, of which the field value consists of blanks and ends with a control character
BAD_REQUEST = b"POST /svc/rate-lookup HTTP/1.1\r\nHost: s\r\nX-Note:" + b" " * 7900 + b"\x01\r\n\r\n"


def bad_client(case: Case, address: Address, done: list[float]) -> None:
    """Sends one request, reads what it is sent, and notes when the instance has refused it or closed."""
    begun = time.monotonic()
    case.note("bad", sent=len(BAD_REQUEST))
    try:
        with socket.create_connection(address, 5) as sock:
            sock.sendall(BAD_REQUEST)
            sock.settimeout(AFTER_S)
            answer = sock.recv(4096)
    except OSError as error:
        answer = type(error).__name__.encode()
    done.append(time.monotonic() - begun)
    case.note("bad", answered=answer[:40], after_s=f"{done[0]:.3f}")


def main(case: Case) -> int:
    vm = interpreter_of(JACKSON)
    ledger, control, listen = FixedLatencyLedger(0.04), ControlPlane(), instance_address(0)
    process = case.start("n1", PROXY_CONFIG=case.configuration(
        JACKSON, "n1", listen, vm.address, control.address, ledger.address))
    wait_ready(listen)
    stub = Stub(case, listen, vm, 4, JACKSON.slack_s)
    traffic, begun, bad = Traffic(JACKSON, stub, RATE), time.monotonic(), False
    done: list[float] = []
    while (elapsed := time.monotonic() - begun) < BEFORE_S + AFTER_S:
        if elapsed >= BEFORE_S and not bad:
            bad = True
            if case.trouble:
                threading.Thread(target=bad_client, args=(case, listen, done), daemon=True).start()
        traffic.send_due(elapsed)
        time.sleep(0.005)
    answers = stub.wait()
    late = [answer for answer in answers if not answer.in_time]
    case.note("counts", sent=len(answers), late=len(late), alive=process.poll() is None,
              bad_client_s=[round(seconds, 1) for seconds in done])
    broken = [f"{a.body.decode()}: no final answer within {a.due_s:.2f} s; {a.status} {a.why} after {a.age_s:.2f} s"
              for a in late] if len(late) >= LOST_SHARE * len(answers) else []
    if case.trouble and (not done or done[0] > OWED_S):
        broken.append(f"the bad client had no refusal and no close within {OWED_S} s")
    return case.finish(broken, f"{len(answers)} sent, {len(late)} without a final answer in time")


if __name__ == "__main__":
    run(main, os.path.dirname(os.path.abspath(__file__)))
