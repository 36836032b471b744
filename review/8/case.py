"""Case 8: the ledger refuses connections for some seconds while the plan has pools and a reserve."""
from __future__ import annotations

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "6"))

from common import NAIROBI, Case, Stub, Traffic, instance_address, interpreter_of, run, wait_ready  # noqa: E402

from hollystage.standins.services import ControlPlane, FixedLatencyLedger  # noqa: E402

# as examples/pools.star: adds pools and a reserve for the methods of the platform's JSON
PLAN = """pool("maps", methods = ["map-extract"], guaranteed = 30%, heir = "sales")
pool("sales", methods = ["route-plan", "licence-buy"], guaranteed = 30%)
reserve(running = 5%, memory = 5%, calls = 5%)
"""
RATE = 12.0  # RPCs per second, 60% of what the cores can do
QUIET_S, DOWN_S, AFTER_S = 6.0, 14.0, 10.0
LOST_SHARE = 0.003  # "break the rule from 3 in 1,000 on"


def main(case: Case) -> int:
    vm = interpreter_of(NAIROBI)
    ledger, control, listen = FixedLatencyLedger(0.04), ControlPlane(), instance_address(0)
    process = case.start("n1", HOLLYSTAGE_PLAN=case.path("plan.star", PLAN), PROXY_CONFIG=case.configuration(
        NAIROBI, "n1", listen, vm.address, control.address, ledger.address))
    wait_ready(listen)
    stub = Stub(case, listen, vm, 4, NAIROBI.slack_s)
    traffic, begun, down = Traffic(NAIROBI, stub, RATE), time.monotonic(), False
    while (elapsed := time.monotonic() - begun) < QUIET_S + DOWN_S + AFTER_S:
        if case.trouble and down is not (QUIET_S <= elapsed < QUIET_S + DOWN_S):
            down = not down
            case.note("ledger", up=not down)
            if down:
                ledger.close()
            else:
                ledger.listen()
        traffic.send_due(elapsed)
        time.sleep(0.005)
    answers = stub.wait()
    late = [answer for answer in answers if not answer.in_time]
    for body, times in sorted(vm.run_counts.items()):
        case.note("ran", body=body.decode(), times=times)
    case.note("counts", sent=len(answers), late=len(late), alive=process.poll() is None)
    broken = [f"{a.body.decode()}: no final answer within {a.due_s:.2f} s; {a.status} {a.why} after {a.age_s:.2f} s"
              for a in late] if len(late) >= LOST_SHARE * len(answers) else []
    if process.poll() is not None:
        broken.insert(0, f"the instance ended with code {process.returncode}")
    by_method = {method: sum(a.method == method for a in late) for method in NAIROBI.methods}
    return case.finish(broken, f"{len(answers)} sent, without a final answer in time: {by_method}")


if __name__ == "__main__":
    run(main, HERE)
