"""Reports the health of the instance to the control plane, periodically and on change.

Serving does not depend on it: a control plane that fails or does not answer has no effect on RPCs.
"""
from __future__ import annotations

import random
import socket
import time
from typing import Any

from .buffers import BufferPool, IncompleteMessageError, Stream, set_socket_timeout
from .config import Address
from .counters import Counters
from .driver import Driver
from .http import HttpError, encode_request, read_response

REPORT_INTERVAL_S, RETRY_DELAY_S = 0.8, 0.2  # an entry of the control plane expires 3 s after the last report
MIN_RETRY_DELAY_SHARE = 0.5  # lower bound of the random delay before a retry, as a share of RETRY_DELAY_S
REPORT_TIMEOUT_S = 0.3  # short, since a change of health has to wait for the response to the previous report


class HealthReporter:
    """Reports the driver's health to the control plane, from a thread of its own."""

    def __init__(self, address: Address, name: str, driver: Driver, pool: BufferPool, counters: Counters,
                 log: Any) -> None:
        self.address, self.path, self.driver = address, f"/v2/endpoints/{name}", driver
        self.counters, self.log = counters, log
        self.buffer = pool.acquire()
        self.random = random.Random(f"{driver.seed} {name}")
        self.stopped = False
        self.failed_reports = 0  # since the last accepted report
        self.start_delay_us = 0  # delay before the first report, microseconds; spreads the reports of a mass start

    def run_reports(self) -> None:
        """Sends reports until stopped."""
        time.sleep(self.start_delay_us / 1e6)
        while not self.stopped:
            self.driver.health_changed.clear()
            fault = self._report(self.driver.healthy)
            self._record_result(fault)
            self.driver.health_changed.wait(self._retry_delay() if fault else REPORT_INTERVAL_S)

    def set_address(self, address: Address) -> None:
        """Reports to another address from now on."""
        if address != self.address:
            self.address = address
            self.driver.health_changed.set()  # reports at once, before the entry at the old address expires

    def _retry_delay(self) -> float:
        """Returns the seconds until the next attempt: random, since reports of many instances may fail at once."""
        return RETRY_DELAY_S * self.random.uniform(MIN_RETRY_DELAY_SHARE, 1.0)

    def _record_result(self, fault: str) -> None:
        """Counts a report; logs the first of several failures and the success that follows them."""
        self.counters.add("registry.failures" if fault else "registry.reports")
        if fault and not self.failed_reports:
            self.log.warning("reports to the control plane fail", why=fault)
        elif not fault and self.failed_reports:
            self.log.info("the control plane accepts reports again", failed=self.failed_reports)
        self.failed_reports = self.failed_reports + 1 if fault else 0

    def _report(self, healthy: bool) -> str:
        """Sends one report; returns an empty string if it was accepted, else the reason.

        Each report has its own connection, so that a late response to another cannot be taken for its own.
        """
        body = b'{"condition":"Ready"}' if healthy else b'{"condition":"NotReady"}'
        address, deadline = self.address, time.monotonic() + REPORT_TIMEOUT_S
        try:
            with socket.create_connection(address, REPORT_TIMEOUT_S) as sock:
                fields = {"Connection": "close"}
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                set_socket_timeout(sock, socket.SO_SNDTIMEO, REPORT_TIMEOUT_S)
                sock.sendall(encode_request("PUT", self.path, f"{address[0]}:{address[1]}", fields, body))
                reply = read_response(Stream(sock, self.buffer), deadline)
        except HttpError as error:
            return f"malformed response: {error}"
        except IncompleteMessageError:
            return "the connection was closed before the response"
        except OSError as error:
            return str(error) or "no response in time"
        return "" if reply.status == 204 else f"status {reply.status}"
