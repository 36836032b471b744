"""Starts a fleet of real processes, applies a schedule of faults to it and collects the histories of all processes.

Every party has a loopback address of its own (127.X.Y.n) and a proxy address on the switchboard (127.X.Y+1.n); no
party knows the direct address of another. The rig's own queries (views, memory) bypass the switchboard. Every wait is
bounded, and every process that was started is ended by its id.
"""
from __future__ import annotations

import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import msgspec

from ...fleet.ask import QueryError, ask
from ...plan.compiled import read_key
from .faults import LINK_FAULTS, Fault, Schedule
from .history import History, Line, read_histories
from .switchboard import Command, Forward, SwitchboardConfig, parse_address

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
START_TIMEOUT_S, SAMPLE_INTERVAL_S = 30.0, 0.25  # for the fleet to join; between two samples of the processes
FLEET_PORT, SERVICE_PORT, INTERPRETER_PORT, LEDGER_PORT, CONTROL_PORT = 7400, 8080, 9300, 7700, 8500


class Load(msgspec.Struct, forbid_unknown_fields=True):
    """Traffic of the clients, capacity of the machines and settings of the members.

    `rate`: RPCs per second over all members. `heeds`: clients follow Retry-After-Ms and X-Dont-Retry. `cold`: speed
    of a machine after its start, which reaches 1 after `warm_s`. `ledger_slots`: calls that a ledger serves at full
    speed.
    """

    rate: float = 120.0
    clients: int = 60
    tries: int = 3
    heeds: bool = True
    cores: int = 4
    work_s: float = 0.03
    cold: float = 1.0
    warm_s: float = 0.0
    period_ms: int = 500
    ledger_slots: int = 40
    ledger_mean_ms: float = 10.0
    calls_out: float = 40.0
    drain_grace_ms: int = 300
    stop_ms: int = 1500
    memory_mb: int = 192
    ledgers: int = 1
    ledger_crowd: float = 3.0  # open calls, as a multiple of its slots, that a ledger survives
    warm_up_s: float = 2.0  # traffic before the schedule
    settle_s: float = 40.0  # for all views to agree after the last fault
    hold_deadline_ms: int = 2100
    linger_ms: int = 200
    whole: int = 0  # units of a budget of ledger calls that the members share; 0: no budget
    floor: int = 1
    voters: int = 3
    lease_ms: int = 1500
    extra: str = ""  # further lines of each member's plan

METHODS: list[dict[str, Any]] = [
    {"name": "rate-lookup", "tokened": False, "share": 0.66, "target_s": 1.0, "deadline_s": 2.0, "worth": 1.0},
    {"name": "car-hold", "tokened": True, "share": 0.34, "target_s": 0.8, "deadline_s": 2.1, "worth": 2.0}]
PLAN = """instance("{name}", seed = "{seed}", stop = {stop}ms)
listener("{listen}")
interpreter("{vm}")
control("{control}")
{ledgers}
process(memory = {memory}MiB, sockets = 512)
machine(cores = {cores}, memory = 12MiB, run_factor = 8, key = 6KiB, halt = "abort", say = "none",
        calls_out = {calls}, linger = {linger}ms, gauges = ["cores", "crowd"], idle = 30s, cold = {cold})
rules(fall_multiple = 5, drain_grace = {grace}ms, cold_from = {cold_from}%, warm_after = {warm}ms)
refusals(retry_after = True, longest = 1s, promises = True)
method("rate-lookup", kind = "idempotent", target = 1s, deadline = 2s, criticality = 1, skip_share = 30%)
method("car-hold", kind = "tokened", target = 800ms, deadline = {hold}ms, window = 8s, criticality = 2)
fleet(instances = {members}, bind = "{bind}", advertise = "{face}", peers = {peers}, zone = "{zone}", key = "{key}",
      period = {period}ms)
state("{state}")
{budget}
{extra}
"""
BUDGET_PLAN = """leases(voters = {voters}, length = {lease}ms)
budget("calls", whole = {whole}, floor = {floor}, use = 1500ms)"""


def reserve_networks() -> tuple[str, str, socket.socket]:
    """Returns the prefixes of two loopback networks that no other rig uses, and the socket that reserves them."""
    rng = random.Random(secrets.randbits(32))
    while True:
        x, y = rng.randrange(32, 250), 2 * rng.randrange(0, 127)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.{x}.{y}.250", 7999))
            return f"127.{x}.{y}", f"127.{x}.{y + 1}", reservation
        except OSError:
            reservation.close()


def boots_of_living(view: dict[str, Any]) -> dict[str, int]:
    """Returns the boot numbers of the members that are alive in a view, including suspected ones."""
    return {row["name"]: row["boot"] for row in view["members"] if row["belief"] in ("alive", "suspect")}


class Rig:
    """One run in `folder`. `seeded_fault`: the name of the fault that is seeded into every member, or empty."""

    def __init__(self, schedule: Schedule, folder: str, load: Load | None = None, seeded_fault: str = "") -> None:
        self.schedule, self.folder, self.load, self.seeded_fault = schedule, folder, load or Load(), seeded_fault
        os.makedirs(folder, exist_ok=True)
        self.history = History(folder, "rig")
        self.direct_network, self.proxy_network, self.network_reservation = reserve_networks()
        self.names = [f"m{n}" for n in range(schedule.members)]
        self.host_numbers = {name: 10 + n for n, name in enumerate(self.names)}
        self.zones = {name: f"z{n % schedule.zones}" for n, name in enumerate(self.names)}
        self.ledger_names = [f"ledger-z{n}" for n in range(self.load.ledgers)]
        self.member_processes: dict[str, subprocess.Popen[bytes]] = {}
        self.party_processes: dict[str, subprocess.Popen[str]] = {}
        self.timers: list[threading.Timer] = []
        self.lock, self.stopping = threading.RLock(), threading.Event()
        self.start_counts: dict[str, int] = dict.fromkeys(self.names, 0)
        self.replanned: set[str] = set()  # members that were last started with twice the cores
        hold = {"deadline_s": self.load.hold_deadline_ms / 1000}
        self.methods = [method | hold if method["tokened"] else method for method in METHODS]
        self.key_file = os.path.join(folder, "key")
        with open(self.key_file, "wb") as file:
            file.write(secrets.token_bytes(32))
        os.chmod(self.key_file, 0o600)
        self.key = read_key(self.key_file)

    # Addresses

    def direct_address(self, number: int, port: int) -> str:
        """Returns the address at which a process itself listens."""
        return f"{self.direct_network}.{number}:{port}"

    def proxy_address(self, number: int, port: int) -> str:
        """Returns the address of the switchboard that stands for a direct address."""
        return f"{self.proxy_network}.{number}:{port}"

    def _switchboard_config(self) -> SwitchboardConfig:
        """Builds the configuration of the switchboard.

        Streams are attributed to their sender by port: each member has ports of its own for the control plane and the
        ledgers.
        """
        forwards = [
            Forward(self.proxy_address(230, 19999), "control", self.direct_address(230, CONTROL_PORT), "clients")]
        for index, (name, n) in enumerate(self.host_numbers.items()):
            forwards += [
                Forward(self.proxy_address(n, FLEET_PORT), name, self.direct_address(n, FLEET_PORT), "", True),
                Forward(self.proxy_address(n, FLEET_PORT), name, self.direct_address(n, FLEET_PORT)),
                Forward(self.proxy_address(n, SERVICE_PORT), name, self.direct_address(n, SERVICE_PORT), "clients"),
                Forward(self.proxy_address(n, INTERPRETER_PORT), f"vm-{name}",
                        self.direct_address(n, INTERPRETER_PORT), name),
                Forward(self.proxy_address(230, 20000 + index), "control", self.direct_address(230, CONTROL_PORT),
                        name)]
            forwards += [
                Forward(self.proxy_address(210 + k, 20000 + index), ledger, self.direct_address(210 + k, LEDGER_PORT),
                        name)
                for k, ledger in enumerate(self.ledger_names)]
        return SwitchboardConfig(
            forwards, {f"{self.direct_network}.{n}": name for name, n in self.host_numbers.items()},
            self.schedule.seed, self.folder)

    def plan(self, name: str) -> str:
        """Returns the plan of a member, in the settings language."""
        n, index, load = self.host_numbers[name], self.names.index(name), self.load
        ledgers = "\n".join(f'ledger("{ledger}", "{self.proxy_address(210 + k, 20000 + index)}")'
                            for k, ledger in enumerate(self.ledger_names))
        budget = BUDGET_PLAN.format(
            voters=json.dumps(self.names[:load.voters]), lease=load.lease_ms, whole=load.whole,
            floor=load.floor) if load.whole else ""
        return PLAN.format(
            linger=load.linger_ms, budget=budget,
            name=name, seed=f"{self.schedule.seed * 1000 + index + 97 * self.start_counts[name]:x}",
            stop=load.stop_ms, listen=self.direct_address(n, SERVICE_PORT),
            vm=self.proxy_address(n, INTERPRETER_PORT), control=self.proxy_address(230, 20000 + index),
            ledgers=ledgers,
            memory=load.memory_mb, cores=load.cores * (2 if name in self.replanned else 1), cold=load.cold < 1,
            calls=load.calls_out / len(self.names), cold_from=int(load.cold * 100), warm=int(load.warm_s * 1000),
            grace=load.drain_grace_ms, hold=load.hold_deadline_ms,
            members=len(self.names), bind=self.direct_address(n, FLEET_PORT), face=self.proxy_address(n, FLEET_PORT),
            zone=self.zones[name],
            peers=json.dumps([self.proxy_address(self.host_numbers[peer], FLEET_PORT) for peer in self.names[:3]]),
            key=self.key_file,
            period=load.period_ms, state=os.path.join(self.folder, f"state-{name}"), extra=load.extra)

    # Processes

    def _module_command(self, module: str, *arguments: str) -> list[str]:
        return [sys.executable, "-m", f"hollystage.standins.fleet.{module}", *arguments]

    @property
    def _environment(self) -> dict[str, str]:
        return os.environ | {"PYTHONPATH": ROOT, "MALLOC_ARENA_MAX": "2"}

    def _start_party(self, name: str, module: str, spec: Any, *arguments: str) -> None:
        """Starts the switchboard or a stand-in process, and waits until it is ready."""
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(spec))
        self.party_processes[name] = process = subprocess.Popen(
            self._module_command(module, *arguments, path), stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
            env=self._environment, stderr=open(os.path.join(self.folder, f"{name}.err"), "w"))  # noqa: SIM115
        assert process.stdout is not None
        if process.stdout.readline() != "ready\n":
            raise RuntimeError(f"{name} did not start: see {path}")

    def send_command(self, party: str, **command: Any) -> None:
        """Sends a command to a stand-in process; ignored if the process has ended."""
        process = self.party_processes[party]
        assert process.stdin is not None
        with self.lock, contextlib.suppress(BrokenPipeError):
            process.stdin.write(json.dumps(command) + "\n")
            process.stdin.flush()

    def _command_switchboard(self, command: Command) -> None:
        process = self.party_processes["switchboard"]
        assert process.stdin is not None
        with self.lock, contextlib.suppress(BrokenPipeError):
            process.stdin.write(msgspec.json.encode(command).decode() + "\n")
            process.stdin.flush()

    def _start_standins(self) -> None:
        """Starts everything but the members: switchboard, control plane, ledgers, interpreters and clients."""
        load, folder, seed = self.load, self.folder, self.schedule.seed
        self._start_party("switchboard", "switchboard", self._switchboard_config())
        self._start_party("control", "party", {
            "folder": folder, "address": self.direct_address(230, CONTROL_PORT)}, "control")
        self._start_party("ledgers", "party", {
            "folder": folder, "seed": seed,
            "addresses": {
                ledger: self.direct_address(210 + k, LEDGER_PORT) for k, ledger in enumerate(self.ledger_names)},
            "terms": {"slots": load.ledger_slots, "mean": int(load.ledger_mean_ms * 1000),
                      "crowd": load.ledger_crowd}}, "ledgers")
        self._start_party("interpreters", "party", {
            "folder": folder, "seed": seed, "cores": load.cores, "calls": ["rate-lookup"],
            "work_s": {method["name"]: load.work_s for method in METHODS}, "cold": load.cold, "warm_s": load.warm_s,
            "addresses": {name: self.direct_address(n, INTERPRETER_PORT) for name, n in self.host_numbers.items()}},
            "interpreters")
        self._start_party("clients", "party", {
            "folder": folder, "seed": seed, "methods": self.methods, "rate": load.rate, "clients": load.clients,
            "tries": load.tries, "heeds": load.heeds, "longest_s": 1.0, "control": self.proxy_address(230, 19999),
            "addresses": {name: self.proxy_address(n, SERVICE_PORT) for name, n in self.host_numbers.items()}},
            "clients")
        for target in ("control", *self.ledger_names, *(f"vm-{name}" for name in self.names)):
            self._command_switchboard(Command(up=target))

    def start_member(self, name: str) -> None:
        """Starts a process of a member, with a plan, log and configuration file of its own."""
        self.start_counts[name] += 1
        path = os.path.join(self.folder, f"{name}.{self.start_counts[name]}")
        with open(path + ".star", "w") as file:
            file.write(self.plan(name))
        clock = os.path.join(self.folder, f"{name}.clock")
        if not os.path.exists(clock):
            with open(clock, "w") as file:
                file.write("1 0")
        with open(path + ".json", "w") as file:
            json.dump({"name": name, "folder": self.folder, "plan": path + ".star", "clock": clock,
                       "break": self.seeded_fault}, file)
        with open(path + ".log", "w") as log:
            process = subprocess.Popen(self._module_command("member", path + ".json"), stdout=log, stderr=log,
                                       env=self._environment)
        self.member_processes[name] = process
        self.history.write("began", name, pid=process.pid, life=self.start_counts[name])
        threading.Thread(target=self._monitor_member, args=(name, process), daemon=True).start()

    def _monitor_member(self, name: str, process: subprocess.Popen[bytes]) -> None:
        """Opens the proxy addresses of a member once it listens; records when it is up, and when and how it ended."""
        address, is_up = parse_address(self.direct_address(self.host_numbers[name], SERVICE_PORT)), False
        while process.poll() is None:
            if not is_up:
                with contextlib.suppress(OSError):
                    socket.create_connection(address, 1.0).close()
                    self._command_switchboard(Command(up=name))
                    self.history.write("up", name)
                    is_up = True
            time.sleep(0.02)
        self._command_switchboard(Command(down=name))
        self.send_command("interpreters", do="reset", name=name)
        self.history.write("ended", name, code=process.returncode, life=self.start_counts[name])

    # Views; these queries bypass the switchboard

    def fetch_table(self, name: str, table: str = "members") -> dict[str, Any] | None:
        """Returns a table of a member (see `hollystage fleet`); None if the member does not answer."""
        try:
            rows: dict[str, Any] = json.loads(
                ask(self.direct_address(self.host_numbers[name], FLEET_PORT), self.key, "hollystage", table))
            return rows
        except (QueryError, ValueError):
            return None

    def running_members(self) -> list[str]:
        """Returns the members whose process runs."""
        return [name for name, process in self.member_processes.items() if process.poll() is None]

    def views_agree(self) -> bool:
        """Whether all running members serve, and exactly these are alive in each view, with their boot numbers."""
        names = self.running_members()
        boots: dict[str, int] = {}
        views: list[dict[str, int]] = []
        for name in names:
            view = self.fetch_table(name)
            if view is None or not view["fresh"] or view["ousted"]:
                return False
            rows = {row["name"]: row for row in view["members"]}
            boots[name] = rows[name]["boot"]
            if rows[name]["stage"] not in ("serving", "cold"):
                return False
            views.append(boots_of_living(view))
        return all(view == boots for view in views)

    def wait_for_agreement(self, timeout: float) -> float | None:
        """Waits until all views agree; returns the seconds that it took, or None after `timeout` seconds."""
        start = time.monotonic()
        while time.monotonic() - start < timeout:
            if self.views_agree():
                return time.monotonic() - start
            time.sleep(0.1)
        return None

    # A run

    def run(self) -> list[Line]:
        """Runs everything from the first process to the last; returns the entries of all histories, by time."""
        try:
            self._start_standins()
            for name in self.names:
                self.start_member(name)
            threading.Thread(target=self._sample_processes, daemon=True).start()
            self.history.write("joined", seconds=self.wait_for_agreement(START_TIMEOUT_S))
            if len(self.running_members()) < len(self.names):
                raise RuntimeError(f"a member did not start: see the logs in {self.folder}")
            for name in self.names:
                self._save_state(name)
            self.send_command("clients", do="start")
            time.sleep(self.load.warm_up_s)
            self._run_schedule()
            self._heal_and_settle()
        finally:
            self.shut_down()
        return read_histories(self.folder)

    def _run_schedule(self) -> None:
        """Applies each fault of the schedule at its time."""
        start = time.monotonic()
        self.history.write("schedule", faults=len(self.schedule.faults))
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at):
            time.sleep(max(0.0, start + fault.at - time.monotonic()))
            self.apply(fault)
        time.sleep(max(0.0, start + self.schedule.seconds - time.monotonic()))

    def _heal_and_settle(self) -> None:
        """Ends all link faults and pauses, waits until the running members agree, and stops the clients."""
        all_parties = [*self.names, "clients"]
        self._command_switchboard(Command(Fault(0, "heal", all_parties, [], True)))
        for name in self.running_members():
            self._send_signal(name, signal.SIGCONT)
        self.history.write("healed")
        self.history.write("settled", seconds=self.wait_for_agreement(self.load.settle_s),
                           running=self.running_members())
        for name in self.running_members():
            view = self.fetch_table(name)
            self.history.write("view", name, members=view and boots_of_living(view))
        self.send_command("clients", do="stop")
        time.sleep(max(method["deadline_s"] for method in self.methods) + 0.5)

    def apply(self, fault: Fault) -> None:
        """Applies a fault now."""
        who, to = self._expand_names(fault.who), self._expand_names(fault.to)
        self.history.write("fault", names=who, **{key: value for key, value in msgspec.to_builtins(fault).items()
                                                  if key not in ("at", "who")} | {"to": to})
        if fault.do in LINK_FAULTS:
            self._command_switchboard(Command(msgspec.structs.replace(fault, who=who, to=to)))
            return
        for name in who:
            match fault.do:
                case "kill":
                    self._send_signal(name, signal.SIGKILL)
                case "term":
                    self._send_signal(name, signal.SIGTERM)
                case "pause":
                    self._send_signal(name, signal.SIGSTOP)
                    self._resume_after(fault.amount, name)
                case "start":
                    with contextlib.suppress(subprocess.TimeoutExpired):
                        self.member_processes[name].wait(self.load.stop_ms / 1000 + 1)
                    if name not in self.running_members():  # faults of one schedule may start it twice
                        self._prepare_state(name, fault.how)
                        self.start_member(name)
                case "clock":
                    with open(os.path.join(self.folder, f"{name}.clock"), "w") as file:
                        file.write(f"{fault.amount or 1} {fault.jitter}")
                    if name in self.running_members():
                        self._send_signal(name, signal.SIGUSR2)
                case "call":
                    self.send_command(name, **json.loads(fault.how))

    def _expand_names(self, names: list[str]) -> list[str]:
        """Replaces a zone by its members and its ledger, and "all" by all members."""
        expanded: list[str] = []
        for name in names:
            zone = [member for member, zone in self.zones.items() if zone == name or name == "all"]
            expanded += [
                *zone, *(f"ledger-{name}" for _ in zone[:1] if f"ledger-{name}" in self.ledger_names)] or [name]
        return expanded

    def _send_signal(self, name: str, number: int) -> None:
        process = self.member_processes[name]
        if process.poll() is None:
            # before the signal is sent: the thread that monitors the process may record its end at once
            self.history.write("signal", name, number=int(number))
            process.send_signal(number)

    def _resume_after(self, seconds: float, name: str) -> None:
        """Resumes a paused member after some seconds."""
        def resume() -> None:
            self._send_signal(name, signal.SIGCONT)
        timer = threading.Timer(seconds, resume)
        timer.daemon = True
        timer.start()
        self.timers.append(timer)

    def _save_state(self, name: str) -> None:
        """Copies the state folder of a member, as the old state of a later start."""
        state = os.path.join(self.folder, f"state-{name}")
        # the member runs: a file that it is writing is renamed when it is whole, and may vanish while it is copied
        shutil.copytree(state, state + ".old", dirs_exist_ok=True, ignore=shutil.ignore_patterns("*.new"))
        self.history.write("saved", name)

    def _prepare_state(self, name: str, how: str) -> None:
        """Prepares the state folder for a start: kept, emptied, old or damaged; or changes the plan (replanned)."""
        state = os.path.join(self.folder, f"state-{name}")
        self.history.write("state", name, how=how)
        (self.replanned.add if how == "replanned" else self.replanned.discard)(name)
        if how in ("emptied", "old"):
            shutil.rmtree(state, ignore_errors=True)
        if how == "old":
            shutil.copytree(state + ".old", state)
        if how == "damaged":
            for file in os.listdir(state):
                path = os.path.join(state, file)
                with open(path, "rb") as old:
                    data = bytearray(old.read())
                for index in range(len(data) // 2, len(data), 7):
                    data[index] ^= 0x20
                with open(path, "wb") as new:
                    new.write(data)

    def _sample_processes(self) -> None:
        """Records memory, CPU time and file descriptors of each member, until the run ends."""
        page, tick = os.sysconf("SC_PAGE_SIZE"), os.sysconf("SC_CLK_TCK")
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            for name, process in list(self.member_processes.items()):
                with contextlib.suppress(OSError, IndexError, ValueError):
                    with open(f"/proc/{process.pid}/statm") as file:
                        rss = int(file.read().split()[1]) * page
                    with open(f"/proc/{process.pid}/stat") as file:
                        parts = file.read().rpartition(")")[2].split()
                    self.history.write("proc", name, mb=round(rss / (1 << 20), 1), cpu=round(
                        (int(parts[11]) + int(parts[12])) / tick, 2), fds=len(os.listdir(f"/proc/{process.pid}/fd")))

    def shut_down(self) -> None:
        """Drains the running members, then ends every process that was started; looks for errors in the logs."""
        self.stopping.set()
        for timer in self.timers:
            timer.cancel()
        for name in self.running_members():
            self._send_signal(name, signal.SIGCONT)
            self._send_signal(name, signal.SIGTERM)
        stop_time = time.monotonic() + self.load.stop_ms / 1000 + 2.0
        for name, process in self.member_processes.items():
            try:
                process.wait(max(0.0, stop_time - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.history.write("overstayed", name)
                process.kill()
                process.wait()
        time.sleep(0.1)
        for party in self.party_processes.values():
            if party.stdin is not None:
                with contextlib.suppress(OSError):
                    party.stdin.close()
        for party in self.party_processes.values():
            try:
                party.wait(2.0)
            except subprocess.TimeoutExpired:
                party.kill()
                party.wait()
        for name in self.names:
            for life in range(1, self.start_counts[name] + 1):
                with open(os.path.join(self.folder, f"{name}.{life}.log"), errors="replace") as file:
                    text = file.read()
                for mark in ("Traceback", "a task failed", "no decision for an RPC"):
                    if mark in text:
                        self.history.write("outcry", name, life=life, mark=mark)
        self.network_reservation.close()
