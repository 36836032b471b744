"""The control plane is down for long: serving, restarts, a drain and the reports, with real processes.

The intervals of reports are shortened in these processes, so that a few seconds contain as many failed reports as
minutes of an outage. Bounds of time are those of the product's own intervals.
"""
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
import structlog
from helpers import Interpreter, ScriptedHttpServer, ServiceHarness, reply, wait_until

from hollystage.service import health_reporter
from hollystage.service.buffers import BufferPool
from hollystage.service.counters import Counters
from hollystage.service.driver import clock
from hollystage.service.health_reporter import HealthReporter

FIRST_REPORT_LIMIT_S = health_reporter.RETRY_DELAY_S + health_reporter.REPORT_TIMEOUT_S
SERVE_WITH_SHORT_INTERVALS = """
import sys
from hollystage.service import health_reporter
health_reporter.REPORT_INTERVAL_S, health_reporter.RETRY_DELAY_S, health_reporter.REPORT_TIMEOUT_S = 0.08, 0.01, 0.3
from hollystage.cli import app
app(["serve", "--config", sys.argv[1]])
"""


class Service:
    """A service process and its stand-ins; several share a control plane."""

    def __init__(self, name, control, folder, auto=True):
        self.name, self.harness, self.path = name, ServiceHarness(Interpreter(auto), control=control, name=name), (
            folder / f"{name}.json")
        self.path.write_text(json.dumps(self.harness.json_config))
        self.start()

    def start(self):
        self.process = subprocess.Popen([sys.executable, "-c", SERVE_WITH_SHORT_INTERVALS, str(self.path)],
                                        stderr=subprocess.PIPE, text=True)

    def accepts(self):
        try:
            self.harness.caller().sock.close()
        except ConnectionRefusedError:
            return False
        return True

    def serves(self):
        caller = self.harness.caller()
        answer = caller.request()
        caller.sock.close()
        return answer.status == 200

    def resources(self):
        """Returns the numbers of file descriptors and threads."""
        status = open(f"/proc/{self.process.pid}/status").read()
        return len(os.listdir(f"/proc/{self.process.pid}/fd")), int(re.search(r"Threads:\s+(\d+)", status)[1])

    def has_at_most(self, descriptors, threads):
        now = self.resources()
        return now[0] <= descriptors and now[1] <= threads

    def close(self):
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        for stand_in in (self.harness.interpreter, self.harness.ledger):
            stand_in.close()


@pytest.fixture
def services(tmp_path):
    control = ScriptedHttpServer(reply(204))
    services = [Service(name, control, tmp_path, auto=name != "drained")
                for name in ("staying", "restarted", "drained")]
    yield services
    for service in services:
        service.close()
    control.close()


def reports(control, service, since=0):
    """Returns the states that a service has reported, from the report with the number `since` on."""
    return [json.loads(report.body)["condition"] for report in control.received[since:]
            if report.path.endswith(f"/{service.name}")]


def bound_socket(address):
    """Returns a socket that is bound to the address and does not listen; None if it is in use."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        return None
    return sock


def test_outage_of_discovery_with_a_restart_and_a_drain(services):
    staying, restarted, drained = services
    control = staying.harness.control
    wait_until(lambda: all(reports(control, service) for service in services), 20)
    wait_until(staying.serves)
    drained_rpc = drained.harness.caller().send("order", X_Timeout_Ms="30000")
    (request_id,) = drained.harness.interpreter.await_runs()
    descriptors, threads = staying.resources()

    control.close()  # connections are refused, and no other socket takes the port meanwhile
    reserved = wait_until(lambda: bound_socket(control.address))
    restarted.process.kill()
    restarted.process.wait()
    restarted.process.stderr.close()
    restarted.start()
    wait_until(restarted.accepts, 20)
    time.sleep(1)
    assert staying.serves() and restarted.serves()
    wait_until(lambda: staying.has_at_most(descriptors + 1, threads))

    control.replies, silent_since = [None], len(control.received)
    control.listen()  # connections are accepted and get no reply
    reserved.close()
    wait_until(lambda: len(reports(control, staying, silent_since)) >= 5, 20)
    drain_started = time.monotonic()
    drained.process.send_signal(signal.SIGTERM)
    drained.harness.interpreter.end(request_id, b"answered")
    assert drained_rpc.receive().body == b"answered"
    assert drained.process.wait(5) == 0 and time.monotonic() - drain_started < 1.5
    assert staying.serves() and restarted.serves()
    wait_until(lambda: staying.has_at_most(descriptors + 1, threads))

    control.replies, failing_since = [reply(500)], len(control.received)
    control.drop_connections()
    wait_until(lambda: len(reports(control, staying, failing_since)) >= 50, 20)
    assert staying.serves() and restarted.serves()
    wait_until(lambda: staying.has_at_most(descriptors + 1, threads))

    ended, control.replies = len(control.received), [reply(204)]
    wait_until(lambda: reports(control, staying, ended) and reports(control, restarted, ended), FIRST_REPORT_LIMIT_S)
    assert set(reports(control, staying, ended) + reports(control, restarted, ended)) == {"Ready"}
    assert not reports(control, drained, ended)
    time.sleep(0.3)
    staying.process.terminate()
    log = staying.process.communicate(timeout=5)[1]
    failures = int(re.search(r"registry.failures=(\d+)", log)[1])
    events = re.findall(r'event="(reports to the control plane fail|the control plane accepts reports again)"', log)
    assert log.count("control plane") == len(events) and failures >= 100
    # each outage has one line at its begin and one at its end, however many reports fail; a slow machine may add some
    assert all(first != second for first, second in zip(events, events[1:], strict=False)), events


def test_first_report_after_an_outage_has_the_current_state():
    with ServiceHarness(control=ScriptedHttpServer(None)) as harness:
        reporter, sent = harness.instance.health_reporter, []
        report = reporter._report
        reporter._report = lambda healthy: sent.append(healthy) or report(healthy)
        wait_until(lambda: len(sent) >= 2)
        harness.instance.driver.start_drain(60_000_000, clock())
        wait_until(lambda: not harness.instance.driver.healthy)
        in_progress = len(sent)
        wait_until(lambda: len(sent) >= in_progress + 3)  # the change of health is reported in vain
        harness.control.replies = [reply(204)]
        wait_until(lambda: harness.count("registry.reports") and len(sent) > in_progress + 1)
        assert not any(sent[in_progress + 1:])


def test_retries_of_instances_whose_reports_fail_together_are_spread(monkeypatch):
    """As when the control plane closes all connections: no tenth of the interval has over a third of the retries."""
    delays = []

    class OneWait:
        def clear(self):
            pass

        def wait(self, delay):
            delays.append(delay)
            reporter.stopped = True

    driver = SimpleNamespace(seed=7, healthy=True, health_changed=OneWait())
    for number in range(300):
        reporter = HealthReporter(("127.0.0.1", 1), f"n{number}", driver, BufferPool(), Counters(),
                                  structlog.get_logger())
        monkeypatch.setattr(reporter, "_report", lambda healthy: "refused")
        reporter.run_reports()
    tenth = health_reporter.RETRY_DELAY_S / 10
    assert len(delays) == 300 and 0 < min(delays) and max(delays) <= health_reporter.RETRY_DELAY_S
    assert all(sum(at <= delay < at + tenth for delay in delays) <= 100 for at in delays)
