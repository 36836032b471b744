"""A fleet of service instances that share the calls to one ledger as a budget, with stand-ins around each of them."""
from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import socket
import time
from pathlib import Path
from typing import Any

from world import Clients, HttpStandIn, Instance, Interpreter, Record, Requests, accept_report, address, free_port

PLAN = """fleet(instances = {count}, bind = "{bind}", peers = {peers}, key = "{key}")
leases(voters = {voters}, length = {length}ms)
budget("calls", whole = {whole}, floor = 0, use = {use}ms, kept = 0%)
"""


class Ledger(HttpStandIn):
    """Answers each call after `call_s`. It counts the calls that are in its hands, by the instance that made them.

    A call leaves its hands with the answer, or when its connection ends. `over` is called if more than `whole` calls
    were in its hands for longer than TOLERANCE_S, so that the order of two events within that time does not count.
    """

    TOLERANCE_S = 0.005

    def __init__(self, record: Record, whole: int, call_s: float) -> None:
        super().__init__(self._answer)
        self.record, self.whole, self.call_s = record, whole, call_s
        self.open: dict[str, str] = {}  # instance by request id
        self.owner: dict[str, str] = {}  # the same for all requests
        self.last_call: dict[str, float] = {}  # by instance
        self.calls, self.peak, self.excesses = 0, 0, []

    async def _answer(self, first: str, fields: dict[str, str], body: bytes, reader: asyncio.StreamReader) -> bytes:
        req = fields["x-txn-ref"]
        name = self.owner.get(req, "unknown")
        self.calls += 1
        self.open[req], self.last_call[name] = name, time.monotonic()
        self.record.write("call", req=req, by=name, open=sorted(self.open.values()))
        if len(self.open) > self.whole:
            asyncio.get_running_loop().call_later(self.TOLERANCE_S, self._check, req, name)
        try:
            await asyncio.wait_for(reader.read(1), self.call_s)  # ends early only if the connection does
        except TimeoutError:
            pass
        finally:
            self.open.pop(req, None)
            self.last_call[name] = time.monotonic()
            self.record.write("call over", req=req, by=name)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    def _check(self, req: str, name: str) -> None:
        self.peak = max(self.peak, len(self.open))
        if len(self.open) > self.whole and req in self.open:
            self.excesses.append(name)
            self.record.write("more than the whole", by=name, whole=self.whole, open=sorted(self.open.values()))


class Fleet:
    """`count` instances; the first three are the voters. Each has an interpreter and clients of its own."""

    def __init__(self, folder: Path, record: Record, count: int, ledger: Ledger, settings: dict[str, Any], cores: int,
                 work_s: dict[str, float], calling: str, length_ms: int, use_ms: int) -> None:
        self.folder, self.record, self.ledger, self.length_ms, self.use_ms = folder, record, ledger, length_ms, use_ms
        self.rng, self.requests = random.Random(), Requests()
        self.names = [f"n{number}" for number in range(1, count + 1)]
        self.ports = {name: free_port(socket.SOCK_DGRAM) for name in self.names}
        self.settings, self.cores, self.work_s, self.calling = settings, cores, work_s, calling
        self.control = HttpStandIn(accept_report)
        self.interpreters: dict[str, Interpreter] = {}
        self.instances: dict[str, Instance] = {}
        self.clients: dict[str, Clients] = {}
        self.key = folder / "fleet.key"
        self.key.write_bytes(secrets.token_bytes(32))
        os.chmod(self.key, 0o600)

    def write_plan(self, name: str, length_ms: int) -> Path:
        path = self.folder / f"{name}.star"
        path.write_text(PLAN.format(
            count=len(self.names), bind=address(self.ports[name]), key=self.key, length=length_ms, use=self.use_ms,
            whole=self.ledger.whole, voters=json.dumps(self.names[:3]),
            peers=json.dumps([address(self.ports[peer]) for peer in self.names[:3] if peer != name])))
        return path

    async def start(self) -> bool:
        """Starts everything and waits until all instances are ready."""
        await self.control.start()
        await self.ledger.start()
        for name in self.names:
            interpreter = self.interpreters[name] = Interpreter(
                self.requests, self.record, self.cores,
                lambda cls: self.work_s[cls] * self.rng.lognormvariate(-0.18, 0.6),
                lambda cls: 2 if cls == self.calling else 1)
            await interpreter.start()
            port = free_port()
            self.instances[name] = Instance(name, self.folder, {
                "name": name, "listen": address(port), "vm": address(interpreter.port),
                "ledger": address(self.ledger.port), "control": address(self.control.port),
                "seed": f"{self.rng.getrandbits(64):016x}", "stop_ms": 3000,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": self.settings},
                {"HOLLYSTAGE_PLAN": str(self.write_plan(name, self.length_ms))})
            self.clients[name] = Owned(name, self.ledger, port, self.requests, self.record, self.rng)
            self.instances[name].start()
        return all(await asyncio.gather(*(instance.ready() for instance in self.instances.values())))

    def answers(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for clients in self.clients.values():
            for outcome, count in clients.answers.items():
                total[outcome] = total.get(outcome, 0) + count
        return dict(sorted(total.items()))

    def end(self) -> None:
        for instance in self.instances.values():
            instance.end()


class Owned(Clients):
    """Clients of one instance, which tell the ledger whose requests they send."""

    def __init__(self, owner: str, ledger: Ledger, port: int, requests: Requests, record: Record,
                 rng: random.Random) -> None:
        super().__init__(port, requests, record, rng, owner)
        self.ledger = ledger

    def on_request(self, req: str) -> None:
        self.ledger.owner[req] = self.name
