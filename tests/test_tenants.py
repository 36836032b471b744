"""Tenants and cost hints on sockets: the header fields that carry them, and quotas as a floor under overload."""
import threading
import time
from urllib.parse import quote

import pytest
from helpers import SETTINGS, Interpreter, ServiceHarness, wait_until
from test_service import RPC

from hollystage.service.tenants import TenantDirectory
from hollystage.standins.interpreter import SimulatedInterpreter

TENANTS = [{"Name": "walk-up", "QuotaPerS": 10.0}, {"Name": "Agents & Co", "QuotaPerS": 10.0},
           {"Name": "Café 50%", "QuotaPerS": 10.0}]


def with_tenants(interpreter, **changes):
    return ServiceHarness(interpreter, settings=SETTINGS | {"Tenants": TENANTS} | changes)


@pytest.mark.parametrize("fields, tenant, hint, counter", [
    (b"X-Tenant: walk-up", 0, 0, None), (b"x-tenant:  Agents & Co  ", 1, 0, None),
    (b"X-Tenant: Agents%20%26%20Co", 1, 0, None), ("X-Tenant: Café 50%".encode(), 2, 0, None),
    ("X-Tenant: Café 50%".encode("latin-1"), 2, 0, None), (b"X-Tenant: Caf%C3%A9%2050%25", 2, 0, None),
    (b"X-Cost-Ms: 507.12", None, 507_120, "rpc.no_tenant"), (b"X-Tenant: walk-up\r\nX-Cost-Ms: 0", 0, 0, None),
    (b"X-Tenant: nobody", None, 0, "rpc.unknown_tenant"), (b"X-Tenant:", None, 0, "rpc.unknown_tenant"),
    (b"X-Tenant: " + b"y" * 7000, None, 0, "rpc.unknown_tenant"),
    (b"X-Tenant: WALK-UP\r\nX-Cost-Ms: 999999999", None, 40_000_000, "rpc.unknown_tenant")])
def test_tenant_and_hint_of_valid_header_fields(fields, tenant, hint, counter):
    with with_tenants(Interpreter(auto=False)) as harness:
        now = b"%d" % (time.time() * 1000)
        request = RPC.replace(b"1764576000123", now).replace(b"X-Caller: 4", b"X-Caller: 4\r\n" + fields)
        caller = harness.caller()
        caller.sock.sendall(request)
        harness.interpreter.await_runs()
        driver = harness.instance.driver
        exchange, = driver.exchanges.values()
        assert exchange.rpc.tenant is (None if tenant is None else driver.settings.tenants[tenant])
        assert exchange.rpc.work_hint == hint
        counts = {name: harness.count(name) for name in ("rpc.no_tenant", "rpc.unknown_tenant")}
        assert {name for name, count in counts.items() if count} == ({counter} if counter else set())


@pytest.mark.parametrize("fields, status", [
    (b"X-Tenant: walk-up\r\nX-Tenant: walk-up", 400), (b"X-Cost-Ms: 1\r\nX-Cost-Ms: 2", 400),
    (b"X-Tenant: walk\x00up", 400), (b"X-Tenant: " + b"y" * 9000, 431), (b"X-Cost-Ms: " + b"1" * 9000, 431),
    (b"X-Cost-Ms:", 400), (b"X-Cost-Ms: 1000000000", 400), (b"X-Cost-Ms: -1", 400), (b"X-Cost-Ms: nan", 400),
    (b"X-Cost-Ms: 1e3", 400), (b"X-Cost-Ms: \xd9\xa1", 400)])
def test_rejects_repeated_malformed_and_oversized_header_fields(fields, status):
    with with_tenants(Interpreter()) as harness:
        caller = harness.caller()
        caller.sock.sendall(RPC.replace(b"X-Caller: 4", b"X-Caller: 4\r\n" + fields))
        assert caller.receive().status == status and caller.wait_closed()
        assert harness.count(f"clients.bad.{status}") == 1 and not harness.interpreter.commands("APPLY")
        assert harness.caller().request(X_Tenant="walk-up", X_Cost_Ms="3").status == 200


@pytest.mark.parametrize("banner_first", [True, False])
def test_unknown_tenants_use_no_memory_and_are_ignored_without_tenants_in_the_settings(banner_first):
    interpreter = Interpreter(banner="")  # sent below: the module is replaced at a BANNER that precedes the first RPC
    with with_tenants(interpreter) as harness:
        caller, driver = harness.caller(), harness.instance.driver
        first_control = driver.control
        wait_until(lambda: interpreter.commands("CONNECT"))
        if banner_first:
            interpreter.send_banner("old")
            wait_until(lambda: driver.control is not first_control)
        else:
            threading.Timer(0.1, interpreter.send_banner, ["old"]).start()
        for number in range(200):
            assert caller.request(X_Tenant=f"nobody-{number}").status == 200
        assert (driver.control is first_control) is not banner_first
        assert len(driver.control.clients) == 1
        assert len(harness.instance.clients.tenants.tenant_by_name) == len(TENANTS)
        assert harness.count("rpc.unknown_tenant") == 200
    assert TenantDirectory([], [], None, None).find("anybody") is None


class TenantTraffic:
    """Sends RPCs of one tenant at a fixed rate over several connections; counts those answered in time."""

    def __init__(self, harness, name, rate, connections):
        self.harness, self.name, self.interval = harness, name, connections / rate
        self.sent = self.served = 0
        self.lock, self.stopped = threading.Lock(), threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number / rate,)) for number in range(connections)]

    def run(self, offset):
        caller, next_at = self.harness.caller(), time.monotonic() + offset
        while not self.stopped.wait(max(0.0, next_at - time.monotonic())):
            started_at, next_at = time.monotonic(), max(next_at + self.interval, time.monotonic())
            status = caller.request(X_Tenant=quote(self.name), X_Timeout_Ms="1000").status
            with self.lock:
                self.sent += 1
                self.served += status == 200 and time.monotonic() - started_at <= LATENCY_TARGET_S


LATENCY_TARGET_S = 0.6
WARM_UP_S = 5.0  # the module averages the rates of its clients over about 4 s
MEASURED_S = 6.0
OVERLOAD_PROFILE = SETTINGS["Profiles"][0] | {"PromiseUs": 1e6 * LATENCY_TARGET_S, "GiveUpUs": 1e6}


def served_shares(rates, warm_up_s):
    """Plays traffic of these rates (RPCs a second by tenant) and returns the share served in time by tenant."""
    interpreter = SimulatedInterpreter(2, {"lookup": 0.04})  # 50 runs a second
    with with_tenants(interpreter, Profiles=[OVERLOAD_PROFILE], OverShareWorth=0.1) as harness:
        wait_until(lambda: harness.instance.link.synced)
        traffic = [TenantTraffic(harness, name, rate, connections=max(4, int(rate / 2)))
                   for name, rate in rates.items()]
        for thread in (threads := [thread for one in traffic for thread in one.threads]):
            thread.start()
        time.sleep(warm_up_s)
        before = [(one.sent, one.served) for one in traffic]
        time.sleep(MEASURED_S)
        after = [(one.sent, one.served) for one in traffic]
        for one in traffic:
            one.stopped.set()
        for thread in threads:
            thread.join()
    return {one.name: (served - served_before) / (sent - sent_before)
            for one, (sent_before, served_before), (sent, served) in zip(traffic, before, after, strict=True)}


def test_tenant_at_ten_times_its_quota_takes_little_from_the_others():
    """Each other tenant keeps nine tenths of what it gets without that tenant."""
    within = {"walk-up": 10.0, "Agents & Co": 10.0}
    alone = served_shares(within, warm_up_s=0.5)  # the capacity is more than twice what they send
    beside = served_shares(within | {"Café 50%": 100.0}, WARM_UP_S)
    for name in within:
        assert beside[name] >= 0.9 * alone[name] > 0.5, (alone, beside)
