"""Plans: with the platform's JSON, compiled, compared, on the command line, and reloaded by SIGHUP under load."""
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import msgspec
import pytest
from helpers import SETTINGS, Caller, Interpreter, ScriptedHttpServer, reply, wait_until
from typer.testing import CliRunner

from hollystage.cli import app
from hollystage.language.sources import MemoryFolder
from hollystage.plan.compare import compare
from hollystage.plan.compiled import UnusableFileError, dump, parse, read_key
from hollystage.plan.read import read, read_file
from hollystage.plan.sections import SECTIONS, Instance, Section, register
from hollystage.service.config import budget_config, load
from hollystage.service.config import parse as parse_config
from hollystage.settings import ConfigError, Deployment
from hollystage.standins.server import free_address

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SITES = sorted((EXAMPLES / "sites").glob("*.star"))
KEY = bytes(range(32))
PLAN = '''instance("n1")
listener("127.0.0.1:8080")
interpreter("127.0.0.1:9300")
control("127.0.0.1:8500")
ledger("main", "127.0.0.1:7700")
machine(cores = 4, memory = 8MiB, run_factor = 4, gauges = ["cores"])
rules(fall_multiple = 5, drain_grace = 300ms)
method("lookup", kind = "idempotent", target = 2s, deadline = 4s)
'''


def plan_of(text, **files):
    result = read(MemoryFolder({"a.star": text.encode()}
                               | {name: body.encode() for name, body in files.items()}), "a.star")
    assert not result.errors, [str(error) for error in result.errors]
    return result.plan


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_scripts_of_the_sites_mean_the_same_as_their_json(path):
    from_script = msgspec.convert(read_file(str(path)).plan.settings(), Deployment)
    from_json = json.loads(path.with_suffix(".json").read_text())
    assert from_script == msgspec.convert(from_json, Deployment) and len(SITES) == 6


# With the platform's JSON

def test_keys_of_the_json_override_the_plan_and_are_listed():
    config = parse_config(b'{"ledger": "127.0.0.1:7999", "name": "n7"}', plan_of(PLAN))
    assert (config.ledger, config.name, config.vm) == ("127.0.0.1:7999", "n7", "127.0.0.1:9300")
    assert config.overruled == ["ledger", "name"] and config.settings.profiles[0].promise_us == 2e6


def test_json_without_a_plan_cannot_set_plan_or_overruled():
    text = json.dumps({"name": "n3", "listen": "127.0.0.1:1", "vm": "127.0.0.1:2", "control": "127.0.0.1:3",
                       "ledger": "127.0.0.1:4", "settings": SETTINGS, "plan": {"entries": []}, "overruled": ["x"]})
    config = parse_config(text.encode())
    assert config.plan is None and config.overruled == []


def test_a_plan_may_only_refer_to_methods_of_the_json():
    config = {"name": "n3", "listen": "127.0.0.1:1", "vm": "127.0.0.1:2", "control": "127.0.0.1:3",
              "ledger": "127.0.0.1:4", "settings": SETTINGS}
    valid = plan_of('pool("p", methods = ["lookup"], guaranteed = 30%)\n')
    assert parse_config(json.dumps(config).encode(), valid).plan is valid
    with pytest.raises(ConfigError, match="a.star:1:1: pool names the method 'lokup', which the settings lack"):
        parse_config(json.dumps(config).encode(), plan_of('pool("p", methods = ["lokup"], guaranteed = 30%)\n'))


@pytest.mark.parametrize("text, message", [
    ("[1]", "configuration: Expected `object`"), ("{", "configuration is not JSON"),
    ('{"name": 3}', r"\$.name"), ("{}", "missing required field `name`")])
def test_errors_in_the_json_are_reported_with_a_plan_too(text, message):
    with pytest.raises(ConfigError, match=message):
        parse_config(text.encode(), plan_of("fleet(instances = 3)\n"))


# Compiled

def test_a_compiled_plan_keeps_meaning_and_origins(tmp_path):
    plan = plan_of(PLAN)
    decoded = parse(dump(plan, "1", KEY), KEY)
    assert compare(plan, decoded) == [] and decoded.entries == plan.entries and decoded.files == ["a.star"]


def test_rejects_a_compiled_plan_with_any_byte_changed_or_missing():
    for key in (None, KEY):
        data = dump(plan_of(PLAN), "1", key)
        for index in range(len(data)):
            for change in (1, 128):
                with pytest.raises(UnusableFileError):
                    parse(data[:index] + bytes([data[index] ^ change]) + data[index + 1:], key)
            with pytest.raises(UnusableFileError):
                parse(data[:index], key)


@pytest.mark.parametrize("data, key, message", [
    (dump(plan_of(PLAN), "1", KEY), None, "specify the key file"),
    (dump(plan_of(PLAN), "1", KEY), KEY[::-1], "another key"),
    (dump(plan_of(PLAN), "1"), KEY, "without a keyed digest"),
    (dump(plan_of(PLAN), "1").replace(b"plan 2 ", b"plan 3 "), None, "format 3, this version reads format 2")])
def test_errors_of_digest_and_format_are_distinguished(data, key, message):
    with pytest.raises(UnusableFileError, match=message):
        parse(data, key)


def test_rejects_a_section_of_a_later_version_by_name():
    class Later(Section, frozen=True):
        section_name = "later"
        mark: str = "x"

    register(Later)
    try:
        data = dump(plan_of("later(mark = \"y\")\n"), "9")
        assert parse(data).first_of(Later).mark == "y"  # a new section needs a class, and no change of the language
    finally:
        del SECTIONS["later"]
    with pytest.raises(UnusableFileError, match="the section 'later' is not known"):
        parse(data)
    with pytest.raises(ValueError, match="is already registered"):
        register(type("Other", (Instance,), {"section_name": "instance", "__annotations__": {}}))


def test_checks_permissions_and_length_of_key_files(tmp_path):
    path = tmp_path / "key"
    path.write_bytes(KEY)
    path.chmod(0o644)
    with pytest.raises(UnusableFileError, match="set its mode to 600"):
        read_key(str(path))
    path.chmod(0o600)
    assert len(read_key(str(path))) == 32
    path.write_bytes(b"short")
    with pytest.raises(UnusableFileError, match="shorter than 32"):
        read_key(str(path))
    with pytest.raises(UnusableFileError, match="cannot be read"):
        read_key(str(tmp_path / "none"))


# Compared

@pytest.mark.parametrize("old, new, changes", [
    ("target = 2s", "target = 2000ms", []),
    ("target = 2s", "target = 1s", ["a.star:8:48: method lookup: target was 2s, is 1s; needs a restart"]),
    ("7700", "7701", [
        'a.star:5:16: ledger main: address was "127.0.0.1:7700", is "127.0.0.1:7701"; SIGHUP applies it']),
    ("deadline = 4s", "deadline = 4s, criticality = 2", [
        "a.star:8:81: method lookup: criticality was 1, is 2; needs a restart"]),
    ("fall_multiple = 5, ", "fall_multiple = 5, warm_after = 0s, ", []),
    ("listener", "tenant('web', quota = 6/min)\nlistener", [
        "a.star:2:1: tenant web is new (quota = 6/min); needs a restart"]),
    ("control(", "_x = (", ['a.star:4:1: control is removed (address = "127.0.0.1:8500"); needs a restart']),
])
def test_compares_plans_by_meaning_and_names_the_line(old, new, changes):
    text = PLAN.replace(old, new)
    found = [str(change) for change in compare(plan_of(PLAN), plan_of(text))]
    if "removed" in str(changes):
        assert found == ['a.star:4:1: control is removed (was address = "127.0.0.1:8500"); SIGHUP applies it']
    else:
        assert found == changes


def test_reports_a_changed_order_of_routes():
    routes = 'pool("p", guaranteed = 9%)\nroute(object = "a", pool = "p")\nroute(object = "b", pool = "p")\n'
    swapped = 'pool("p", guaranteed = 9%)\nroute(object = "b", pool = "p")\nroute(object = "a", pool = "p")\n'
    (change,) = compare(plan_of(routes), plan_of(swapped))
    assert (change.section, change.key, change.reloadable) == ("route", "order", True)


# On the command line

RUN = CliRunner()


def run(*arguments):
    return RUN.invoke(app, [str(argument) for argument in arguments])


def test_check_reports_all_errors_and_exits_with_1(tmp_path):
    path = tmp_path / "a.star"
    path.write_text(PLAN.replace("target = 2s", "target = 2000").replace("4s", "4KB"))
    plain = run("config", "check", path)
    assert plain.exit_code == 1 and "a.star:8:65: '4KB' has a unit" in plain.stderr
    assert "fix: write 4KiB" in plain.stderr and "^" in plain.stderr
    report = json.loads(run("config", "check", "--json", path).stdout)
    assert not report["usable"] and report["faults"][0]["line"] == 8
    path.write_text(PLAN + "x = 1\n")
    assert run("config", "check", path).exit_code == 0 and run("config", "check", "--strict", path).exit_code == 1


def test_fmt_rewrites_only_files_that_differ_and_rejects_invalid_ones(tmp_path):
    path = tmp_path / "a.star"
    path.write_text("fleet( instances=3 )\n")
    path.chmod(0o640)
    assert run("config", "fmt", "--check", path).exit_code == 1 and path.read_text() == "fleet( instances=3 )\n"
    assert run("config", "fmt", path).exit_code == 0 and path.read_text() == "fleet(instances = 3)\n"
    assert run("config", "fmt", "--check", path).exit_code == 0 and path.stat().st_mode & 0o777 == 0o640
    path.write_text("fleet(instances=3\n")
    assert run("config", "fmt", path).exit_code == 2 and path.read_text() == "fleet(instances=3\n"


def test_build_show_and_diff(tmp_path):
    path, built = tmp_path / "a.star", tmp_path / "plan"
    path.write_text(PLAN)
    assert run("config", "build", path, "-o", built).exit_code == 0
    assert run("config", "diff", path, built).exit_code == 0
    assert run("config", "show", built).stdout == run("config", "show", path).stdout
    assert json.loads(run("config", "show", "--json", built).stdout)["vm"] == "127.0.0.1:9300"
    assert "a.star:8:1: method lookup" in run("config", "show", "--origins", built).stdout
    path.write_text(PLAN.replace("7700", "7701"))
    changed = run("config", "diff", built, path)
    assert changed.exit_code == 1 and "SIGHUP applies it" in changed.stdout
    built.write_bytes(built.read_bytes()[:-1])
    assert run("config", "show", built).exit_code == 2


def test_serve_reads_a_compiled_plan_without_importing_the_language():
    code = ("import sys; from hollystage.service.config import load; config = load('', sys.argv[1]); "
            "print(config.name, *[m for m in sys.modules if m.startswith(('lark', 'hollystage.language'))])")
    built = pathlib.Path(os.environ.get("TMPDIR", "/tmp")) / f"plan-{os.getpid()}"
    try:
        built.write_bytes(dump(plan_of(PLAN), "1"))
        out = subprocess.run([sys.executable, "-c", code, str(built)], capture_output=True, text=True, check=True)
        assert out.stdout.split() == ["n1"]
    finally:
        built.unlink()


@pytest.mark.parametrize("text, message", [
    ("fleet(instances = 3s)\n", "a.star:1:19: fleet.instances is a number"), (None, "plan: .* cannot be read"),
    ("hollystage-plan 2 plain x\nabc", "whose digest is wrong")])
def test_an_unusable_plan_fails_the_start_with_the_location(tmp_path, text, message):
    path = tmp_path / "a.star"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError, match=message):
        load("", str(path))


# SIGHUP under load

def test_a_hundred_sighups_with_valid_and_invalid_plans_lose_no_rpc(tmp_path):
    interpreter, ledger, control = (Interpreter(), ScriptedHttpServer(reply(200, b"posted")),
                                    ScriptedHttpServer(reply(204)))
    other, listen = ScriptedHttpServer(reply(200, b"posted")), free_address()
    path, shared = tmp_path / "a.star", tmp_path / "shared.star"
    text = 'load("shared.star", "LEDGER")\n' + PLAN.replace('"127.0.0.1:7700"', "LEDGER")
    for old, stand_in in (("8080", listen), ("9300", interpreter.address), ("8500", control.address)):
        text = text.replace(f"127.0.0.1:{old}", f"127.0.0.1:{stand_in[1]}")
    addresses = [f'LEDGER = "127.0.0.1:{server.address[1]}"\n' for server in (ledger, other)]
    path.write_text(text)
    shared.write_text(addresses[0])
    process = subprocess.Popen([sys.executable, "-m", "hollystage", "serve", "--plan", str(path)],
                               stderr=subprocess.PIPE, text=True)
    lines, answers, stopped = [], [], threading.Event()
    threading.Thread(target=lambda: lines.extend(process.stderr), daemon=True).start()

    def send_requests():
        caller = Caller(listen)
        while not stopped.is_set():
            answers.append(caller.request().status)

    try:
        wait_until(lambda: any("interpreter is up" in line for line in lines))
        clients = [threading.Thread(target=send_requests, daemon=True) for _ in range(4)]
        for client in clients:
            client.start()
        invalid = ["LEDGER = 3\n", 'LEDGER = "127.0', 'load("shared.star", "X")\nLEDGER = X\n', None, ""]
        for number in range(100):
            content = addresses[number // 2 % 2] if number % 2 == 0 else invalid[number // 2 % 5]
            if content is None:
                shared.unlink()
            else:
                shared.write_text(content)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.04)
        stopped.set()
        for client in clients:
            client.join(timeout=10)
        assert process.poll() is None, lines[-5:]
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0
        assert len(answers) > 100 and set(answers) == {200}
        assert any("files that load each other" in line and "shared.star:1:6" in line for line in lines)
        assert sum("configuration read anew" in line for line in lines) >= 5
    finally:
        process.kill()
        for server in (interpreter, ledger, control, other):
            server.close()


# Budgets of the whole fleet

BUDGET_PLAN = PLAN + """fleet(instances = 8, bind = "127.0.0.1:7400", key = "k")
leases(voters = ["n1", "n2", "n3"], length = 3s)
budget("calls", whole = 24)
"""


def test_defaults_of_budgets_come_from_fleet_and_methods():
    config = budget_config(parse_config(b"", plan_of(BUDGET_PLAN)))
    (budget,) = config.budgets
    assert (budget.most, budget.use, budget.floor, budget.kept, config.call_budget) == (
        8, 4_000_000, 1, 0.05, "calls")
    assert (config.leases.voters, config.leases.length, config.leases.drift) == (["n1", "n2", "n3"], 3_000_000, 0.01)
    assert budget_config(parse_config(b"", plan_of(PLAN))) is None


@pytest.mark.parametrize("old, new, message", [
    ("whole = 24", "whole = 7", "floors of 1 for 8 instances"),
    ("whole = 24)", 'whole = 24)\nbudget("more", whole = 30)', 'the first one is "calls"'),
    ('fleet(instances = 8, bind = "127.0.0.1:7400", key = "k")', "fleet(instances = 8)", "do not communicate"),
    ('leases(voters = ["n1", "n2", "n3"], length = 3s)', "", "without leases"),
    ('["n1", "n2", "n3"]', '["n1", "n1"]', "a voter listed twice"),
    ('"n3"], length', '"n3"], before = ["n1", "n2", "n4"], generation = 1, length', "more than one"),
    ('"n3"], length', '"n3"], before = ["n1", "n2"], length', "generation"),
    ("length = 3s", "length = 3s, drift = 30%", "drift")])
def test_rejects_inconsistent_budgets_and_leases(old, new, message):
    result = read(MemoryFolder({"a.star": BUDGET_PLAN.replace(old, new).encode()}), "a.star")
    assert any(message in str(error) for error in result.errors), [str(error) for error in result.errors]
    assert not read(MemoryFolder({"a.star": BUDGET_PLAN.encode()}), "a.star").errors
