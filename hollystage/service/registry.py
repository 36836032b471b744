"""Reports to the control plane, steadily and on change; whatever it does, serving goes on."""
from __future__ import annotations

import socket
import time
from typing import Any

from .buffers import Broken, Pool, Stream
from .config import Address
from .counters import Counters
from .driver import Driver
from .http import Bad, read_response, write_request

EVERY_S, AGAIN_S, TIMEOUT_S = 0.8, 0.2, 0.8  # an entry lapses 3 s after the last report


class Registry:
    def __init__(self, address: Address, name: str, driver: Driver, pool: Pool, counters: Counters,
                 log: Any) -> None:
        self.address, self.path, self.driver, self.pool = address, f"/v2/endpoints/{name}", driver, pool
        self.counters, self.log = counters, log
        self.host = f"{address[0]}:{address[1]}"
        self.sock: socket.socket | None = None
        self.buffer = pool.take()
        self.stopped = False

    def report_forever(self) -> None:
        while not self.stopped:
            self.driver.changed.clear()
            good = self._report(self.driver.healthy)
            self.counters.add("registry.reports" if good else "registry.failures")
            self.driver.changed.wait(EVERY_S if good else AGAIN_S)

    def _report(self, healthy: bool) -> bool:
        body = b'{"condition":"Ready"}' if healthy else b'{"condition":"NotReady"}'
        for fresh in (False, True):
            if fresh or self.sock is not None:
                done = self._put(body, fresh)
                if done is not None:
                    return done
        return False

    def _put(self, body: bytes, fresh: bool) -> bool | None:
        """None where the connection was of no use: a report may be sent twice."""
        until = time.monotonic() + TIMEOUT_S
        keep = False
        try:
            if fresh or self.sock is None:
                self.sock = socket.create_connection(self.address, TIMEOUT_S)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(TIMEOUT_S)
            self.sock.sendall(write_request("PUT", self.path, self.host, {}, body))
            stream = Stream(self.sock, self.buffer)
            reply = read_response(stream, until)
            keep = reply.keep and stream.empty()
            if reply.status != 204:
                self.log.warning("control plane declined a report", status=reply.status)
            return reply.status == 204
        except Bad as bad:
            self.log.warning("control plane reply cannot be read", why=str(bad))
            return False
        except (OSError, Broken):
            return None
        finally:
            if not keep and self.sock is not None:
                self.sock.close()
                self.sock = None
