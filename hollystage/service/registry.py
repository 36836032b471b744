"""Reports to the control plane, steadily and on change; whatever it does, serving goes on."""
from __future__ import annotations

import socket
import time
from typing import Any

from .buffers import Broken, Pool, Stream, bound
from .config import Address
from .counters import Counters
from .driver import Driver
from .http import Bad, read_response, write_request

EVERY_S, AGAIN_S = 0.8, 0.2  # an entry lapses 3 s after the last report
TIMEOUT_S = 0.3  # a change of health waits no longer for the answer to the report before


class Registry:
    def __init__(self, address: Address, name: str, driver: Driver, pool: Pool, counters: Counters,
                 log: Any) -> None:
        self.address, self.path, self.driver = address, f"/v2/endpoints/{name}", driver
        self.counters, self.log = counters, log
        self.buffer = pool.take()
        self.stopped = False
        self.hold_us = 0  # before the first report, where many may start at once

    def report_forever(self) -> None:
        time.sleep(self.hold_us / 1e6)
        while not self.stopped:
            self.driver.changed.clear()
            good = self._report(self.driver.healthy)
            self.counters.add("registry.reports" if good else "registry.failures")
            self.driver.changed.wait(EVERY_S if good else AGAIN_S)

    def move(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            self.driver.changed.set()  # it must hear of this instance before the entry lapses

    def _report(self, healthy: bool) -> bool:
        """One report, on a connection of its own, where no other's late reply can be taken for its own."""
        body = b'{"condition":"Ready"}' if healthy else b'{"condition":"NotReady"}'
        address, until = self.address, time.monotonic() + TIMEOUT_S
        try:
            with socket.create_connection(address, TIMEOUT_S) as sock:
                fields = {"Connection": "close"}
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                bound(sock, socket.SO_SNDTIMEO, TIMEOUT_S)
                sock.sendall(write_request("PUT", self.path, f"{address[0]}:{address[1]}", fields, body))
                reply = read_response(Stream(sock, self.buffer), until)
        except Bad as bad:
            self.log.warning("control plane reply cannot be read", why=str(bad))
            return False
        except (OSError, Broken):
            return False
        if reply.status != 204:
            self.log.warning("control plane declined a report", status=reply.status)
        return reply.status == 204
