"""Test harnesses: one decision module with a simulated clock, and one instance on sockets with stand-ins."""
import json

import structlog

from hollystage.control import Control
from hollystage.interface import ActionKind, Halt, LoadSignal, Method, MethodKind, Outcome, Rpc, Settings
from hollystage.policy.buckets import TICK
from hollystage.service.config import parse
from hollystage.service.instance import Instance
from hollystage.standins.caller import Caller
from hollystage.standins.interpreter import Interpreter
from hollystage.standins.server import ScriptedHttpServer, StandInServer, free_address, reply, wait_until

__all__ = ["ScriptedHttpServer", "ControlHarness", "Caller", "Interpreter", "StandInServer", "ServiceHarness",
           "reply", "wait_until"]
SECOND = 1_000_000  # microseconds
START_TIMEOUT_S = 30.0  # for a process to start, which takes half a second of CPU, on a busy machine


def lookup(**changes):
    """An idempotent method with a latency target of 2 s and a deadline of 6 s."""
    return Method(**{"kind": MethodKind.IDEMPOTENT, "criticality": 1.0, "latency_target": 2 * SECOND,
                     "deadline": 6 * SECOND} | changes)


def booking(**changes):
    """A method with idempotency keys that are valid for 8 s."""
    return lookup(**{"kind": MethodKind.KEYED, "criticality": 2.0, "window": 8 * SECOND} | changes)


class ControlHarness:
    """Drives one Control on a simulated clock and records its actions."""

    def __init__(self, *methods, **changes):
        self.methods = list(methods) or [lookup()]
        self.settings = Settings(**{
            "methods": self.methods, "cores": 2, "memory": 10_000.0, "run_factor": 8.0, "key_size": 10.0,
            "fall_multiple": 5.0, "drain_grace": 2 * SECOND, "halt": Halt.ABORT, "load_signal": LoadSignal.NONE,
            "max_retry_after": SECOND, "gauges": ["cores", "crowd"]} | changes)
        self.now = 10 * SECOND
        self.control = Control(self.settings, 7, self.now)
        self.actions, self.start_times = [], {}
        self.flush()

    def flush(self):
        """Records and returns the new actions, without timers."""
        new = [a for a in self.control.decide(self.now) if a.kind is not ActionKind.TIMER]
        self.actions += new
        self.start_times |= {a.rpc: self.now for a in new if a.kind is ActionKind.START}
        return new

    def send(self, method=None, timeout=0, **fields):
        """Lets an RPC arrive and returns it; `fields` are fields of Rpc."""
        rpc = Rpc(method or self.methods[0], fields.pop("caller", 1), fields.pop("tenant", None),
                  fields.pop("size", 10.0), timeout, **fields)
        self.control.arrived(rpc, self.now)
        self.flush()
        return rpc

    def fill(self, method=None, count=None):
        """Occupies the cores, so that the next RPC is queued."""
        return [self.send(method) for _ in range(count or self.settings.cores)]

    def end(self, rpc, outcome=Outcome.OK):
        """Ends the run of an RPC."""
        self.control.finished(rpc, outcome, self.now - self.start_times.get(rpc, self.now), self.now)
        return self.flush()

    def end_call(self, rpc, outcome, duration=1000):
        """Ends the downstream call of an RPC."""
        self.control.call_finished(rpc, outcome, duration, self.now)
        return self.flush()

    def at_call(self, rpc):
        """The run of an RPC reaches its downstream call."""
        self.control.at_call(rpc, self.now)
        return self.flush()

    def disconnect(self, rpc):
        """The caller of an RPC disconnects."""
        self.control.caller_disconnected(rpc, self.now)
        return self.flush()

    def advance(self, span, cores=1.0, crowd=2.0):
        """Advances the clock by `span` microseconds, with a timer event and gauges every TICK."""
        new = []
        for _ in range(max(1, span // TICK)):
            self.now += TICK
            self.control.tick({"cores": cores, "crowd": crowd}, self.now)
            new += self.flush()
        return new

    def did(self, rpc):
        """Returns the kinds of the actions for an RPC."""
        return [a.kind for a in self.actions if a.rpc is rpc]


SETTINGS = {
    "Domain": {"Cores": 2, "RamKb": 9000.0, "RunFactor": 4.0, "KeyKb": 10.0, "ClassSkipWorth": [0.3, 0, 0],
               "Halt": "abort", "Say": "threshold", "CallsOut": 20.0, "Gauges": ["cpu_busy", "runnable"],
               "IdleUs": 0},  # no idle limit: connections of a test may rest for any time
    "Rules": {"FallMultiple": 5.0, "StopSendingWithinUs": 300_000},
    "Limits": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
    "Profiles": [{"Name": "lookup", "Repeat": "repeatable", "Value": 1.0, "PromiseUs": 2e6, "GiveUpUs": 4e6},
                 {"Name": "booking", "Repeat": "by_key", "Value": 2.0, "PromiseUs": 2e6, "GiveUpUs": 4e6,
                  "WindowUs": 8e6},
                 {"Name": "order", "Repeat": "once", "Value": 2.0, "PromiseUs": 2e6, "GiveUpUs": 4e6}]}
# latency targets and deadlines that no stall of a busy machine reaches
LONG_DEADLINES = SETTINGS | {
    "Profiles": [profile | {"PromiseUs": 2e7, "GiveUpUs": 3e7} for profile in SETTINGS["Profiles"]]}


class ServiceHarness:
    """An instance on sockets, with stand-ins for interpreter, ledger and control plane."""

    def __init__(self, interpreter=None, ledger=None, control=None, plan=None, **changes):
        self.plan = plan
        self.interpreter = interpreter or Interpreter()
        self.ledger = ledger or ScriptedHttpServer(reply(200, b"posted"))
        self.control = control or ScriptedHttpServer(reply(204))
        self.listen = free_address()
        addresses = {"listen": self.listen, "vm": self.interpreter.address, "ledger": self.ledger.address,
                     "control": self.control.address}
        self.json_config = {"name": "n3", "seed": "8c1f30d27a5be964", "stop_ms": 1500, "settings": SETTINGS}
        self.json_config |= {key: f"{host}:{port}" for key, (host, port) in addresses.items()} | changes

    def __enter__(self):
        self.instance = Instance(self.config(self.plan), structlog.get_logger())
        self.instance.start()
        return self

    def config(self, plan):
        """Parses the configuration."""
        return parse(json.dumps(self.json_config).encode(), plan)

    def caller(self):
        """Opens a client connection."""
        return Caller(self.listen)

    def set_gauges(self, cores, crowd):
        """Sets the gauges of the interpreter and waits until a tick has passed them to the decision module."""
        self.interpreter.load = [cores, crowd]
        wait_until(lambda: self.instance.driver.control.cpu_busy == cores)

    def count(self, name):
        """Returns a counter of the instance."""
        return self.instance.counters.read().get(name, 0)

    def __exit__(self, *_):
        self.instance.stop()
        for stand_in in (self.interpreter, self.ledger, self.control):
            stand_in.close()
