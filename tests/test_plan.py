"""Plans: beside the platform's JSON, compiled, compared, on the command line and taken by SIGHUP under load."""
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
from helpers import SETTINGS, Answering, Caller, Interpreter, reply, until
from typer.testing import CliRunner

from hollystage.cli import app
from hollystage.language.sources import Memory
from hollystage.plan.compare import compare
from hollystage.plan.compiled import Damaged, dump, parse, read_key
from hollystage.plan.read import read, read_file
from hollystage.plan.sections import SECTIONS, Instance, Section, register
from hollystage.service.config import budgeting, load
from hollystage.service.config import parse as parse_config
from hollystage.settings import Deployment, Faulty
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
    result = read(Memory({"a.star": text.encode()} | {name: body.encode() for name, body in files.items()}), "a.star")
    assert not result.errors, [str(fault) for fault in result.errors]
    return result.plan


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_the_sites_as_scripts_mean_what_their_json_means(path):
    said = msgspec.convert(read_file(str(path)).plan.settings(), Deployment)
    given = json.loads(path.with_suffix(".json").read_text())
    assert said == msgspec.convert(given, Deployment) and len(SITES) == 6


# Beside the platform's JSON

def test_the_jsons_own_keys_win_and_are_named():
    config = parse_config(b'{"ledger": "127.0.0.1:7999", "name": "n7"}', plan_of(PLAN))
    assert (config.ledger, config.name, config.vm) == ("127.0.0.1:7999", "n7", "127.0.0.1:9300")
    assert config.overruled == ["ledger", "name"] and config.settings.profiles[0].promise_us == 2e6


def test_json_alone_is_read_as_before_and_cannot_bring_a_plan():
    text = json.dumps({"name": "n3", "listen": "127.0.0.1:1", "vm": "127.0.0.1:2", "control": "127.0.0.1:3",
                       "ledger": "127.0.0.1:4", "settings": SETTINGS, "plan": {"entries": []}, "overruled": ["x"]})
    config = parse_config(text.encode())
    assert config.plan is None and config.overruled == []


def test_a_plan_that_adds_to_the_jsons_methods_must_name_them():
    given = {"name": "n3", "listen": "127.0.0.1:1", "vm": "127.0.0.1:2", "control": "127.0.0.1:3",
             "ledger": "127.0.0.1:4", "settings": SETTINGS}
    good = plan_of('pool("p", methods = ["lookup"], guaranteed = 30%)\n')
    assert parse_config(json.dumps(given).encode(), good).plan is good
    with pytest.raises(Faulty, match="a.star:1:1: pool names the method 'lokup', which the settings lack"):
        parse_config(json.dumps(given).encode(), plan_of('pool("p", methods = ["lokup"], guaranteed = 30%)\n'))


@pytest.mark.parametrize("text, message", [
    ("[1]", "configuration: Expected `object`"), ("{", "configuration is not JSON"),
    ('{"name": 3}', r"\$.name"), ("{}", "missing required field `name`")])
def test_faulty_json_beside_a_plan_is_named(text, message):
    with pytest.raises(Faulty, match=message):
        parse_config(text.encode(), plan_of("fleet(instances = 3)\n"))


# Compiled

def test_a_compiled_plan_means_the_same_and_keeps_where_it_came_from(tmp_path):
    plan = plan_of(PLAN)
    again = parse(dump(plan, "1", KEY), KEY)
    assert compare(plan, again) == [] and again.entries == plan.entries and again.files == ["a.star"]


def test_every_byte_counts():
    for key in (None, KEY):
        data = dump(plan_of(PLAN), "1", key)
        for at in range(len(data)):
            for change in (1, 128):
                with pytest.raises(Damaged):
                    parse(data[:at] + bytes([data[at] ^ change]) + data[at + 1:], key)
            with pytest.raises(Damaged):
                parse(data[:at], key)


@pytest.mark.parametrize("data, key, message", [
    (dump(plan_of(PLAN), "1", KEY), None, "name the key file"),
    (dump(plan_of(PLAN), "1", KEY), KEY[::-1], "another key"),
    (dump(plan_of(PLAN), "1"), KEY, "without a keyed digest"),
    (dump(plan_of(PLAN), "1").replace(b"plan 2 ", b"plan 3 "), None, "form 3, this version reads form 2")])
def test_digests_that_do_not_fit_are_told_apart(data, key, message):
    with pytest.raises(Damaged, match=message):
        parse(data, key)


def test_a_section_of_a_later_version_is_refused_by_name():
    class Later(Section, frozen=True):
        word = "later"
        mark: str = "x"

    register(Later)
    try:
        data = dump(plan_of("later(mark = \"y\")\n"), "9")
        assert parse(data).one(Later).mark == "y"  # a section is one class and no line of the language
    finally:
        del SECTIONS["later"]
    with pytest.raises(Damaged, match="the section 'later' is not known"):
        parse(data)
    with pytest.raises(ValueError, match="is there already"):
        register(type("Other", (Instance,), {"word": "instance", "__annotations__": {}}))


def test_key_files_are_checked(tmp_path):
    path = tmp_path / "key"
    path.write_bytes(KEY)
    path.chmod(0o644)
    with pytest.raises(Damaged, match="set its mode to 600"):
        read_key(str(path))
    path.chmod(0o600)
    assert len(read_key(str(path))) == 32
    path.write_bytes(b"short")
    with pytest.raises(Damaged, match="shorter than 32"):
        read_key(str(path))
    with pytest.raises(Damaged, match="cannot be read"):
        read_key(str(tmp_path / "none"))


# Compared

@pytest.mark.parametrize("old, new, changes", [
    ("target = 2s", "target = 2000ms", []),
    ("target = 2s", "target = 1s", ["a.star:8:48: method lookup: target was 2s, is 1s; needs a restart"]),
    ("7700", "7701", [
        'a.star:5:16: ledger main: address was "127.0.0.1:7700", is "127.0.0.1:7701"; SIGHUP takes it']),
    ("deadline = 4s", "deadline = 4s, criticality = 2", [
        "a.star:8:81: method lookup: criticality was 1, is 2; needs a restart"]),
    ("fall_multiple = 5, ", "fall_multiple = 5, warm_after = 0s, ", []),
    ("listener", "tenant('web', quota = 6/min)\nlistener", [
        "a.star:2:1: tenant web is new (quota = 6/min); needs a restart"]),
    ("control(", "_x = (", ['a.star:4:1: control is gone (address = "127.0.0.1:8500"); needs a restart']),
])
def test_differences_are_of_meaning_and_name_their_line(old, new, changes):
    text = PLAN.replace(old, new)
    found = [str(change) for change in compare(plan_of(PLAN), plan_of(text))]
    if "gone" in str(changes):
        assert found == ['a.star:4:1: control is gone (was address = "127.0.0.1:8500"); SIGHUP takes it']
    else:
        assert found == changes


def test_an_order_that_counts_is_a_difference():
    routes = 'pool("p", guaranteed = 9%)\nroute(object = "a", pool = "p")\nroute(object = "b", pool = "p")\n'
    turned = 'pool("p", guaranteed = 9%)\nroute(object = "b", pool = "p")\nroute(object = "a", pool = "p")\n'
    (change,) = compare(plan_of(routes), plan_of(turned))
    assert (change.section, change.key, change.live) == ("route", "order", True)


# On the command line

RUN = CliRunner()


def run(*words):
    return RUN.invoke(app, [str(word) for word in words])


def test_check_tells_all_and_ends_with_one(tmp_path):
    path = tmp_path / "a.star"
    path.write_text(PLAN.replace("target = 2s", "target = 2000").replace("4s", "4KB"))
    plain = run("config", "check", path)
    assert plain.exit_code == 1 and "a.star:8:65: '4KB' has a unit" in plain.stderr
    assert "fix: write 4KiB" in plain.stderr and "^" in plain.stderr
    told = json.loads(run("config", "check", "--json", path).stdout)
    assert not told["usable"] and told["faults"][0]["line"] == 8
    path.write_text(PLAN + "x = 1\n")
    assert run("config", "check", path).exit_code == 0 and run("config", "check", "--strict", path).exit_code == 1


def test_fmt_writes_what_differs_and_refuses_what_it_cannot_read(tmp_path):
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
    assert changed.exit_code == 1 and "SIGHUP takes it" in changed.stdout
    built.write_bytes(built.read_bytes()[:-1])
    assert run("config", "show", built).exit_code == 2


def test_serve_reads_a_compiled_plan_without_the_language():
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
def test_a_plan_that_cannot_be_used_ends_the_start_with_its_place(tmp_path, text, message):
    path = tmp_path / "a.star"
    if text is not None:
        path.write_text(text)
    with pytest.raises(Faulty, match=message):
        load("", str(path))


# SIGHUP under load

def test_a_hundred_sighups_over_good_and_faulty_plans_lose_nothing(tmp_path):
    interpreter, ledger, control = Interpreter(), Answering(reply(200, b"posted")), Answering(reply(204))
    other, listen = Answering(reply(200, b"posted")), free_address()
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

    def ask():
        caller = Caller(listen)
        while not stopped.is_set():
            answers.append(caller.ask().status)

    try:
        until(lambda: any("interpreter is up" in line for line in lines))
        clients = [threading.Thread(target=ask, daemon=True) for _ in range(4)]
        for client in clients:
            client.start()
        faulty = ["LEDGER = 3\n", 'LEDGER = "127.0', 'load("shared.star", "X")\nLEDGER = X\n', None, ""]
        for turn in range(100):
            content = addresses[turn // 2 % 2] if turn % 2 == 0 else faulty[turn // 2 % 5]
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


# What belongs to the whole fleet

DIVIDED = PLAN + """fleet(instances = 8, bind = "127.0.0.1:7400", key = "k")
leases(voters = ["n1", "n2", "n3"], length = 3s)
budget("calls", whole = 24)
"""


def test_budgets_have_their_defaults_from_fleet_and_methods():
    given = budgeting(parse_config(b"", plan_of(DIVIDED)))
    (budget,) = given.budgets
    assert (budget.most, budget.use, budget.floor, budget.kept, given.calls) == (8, 4_000_000, 1, 0.05, "calls")
    assert (given.leases.voters, given.leases.length, given.leases.drift) == (["n1", "n2", "n3"], 3_000_000, 0.01)
    assert budgeting(parse_config(b"", plan_of(PLAN))) is None


@pytest.mark.parametrize("old, new, words", [
    ("whole = 24", "whole = 7", "floors of 1 for 8 instances"),
    ("whole = 24)", 'whole = 24)\nbudget("more", whole = 30)', 'beside "calls"'),
    ('fleet(instances = 8, bind = "127.0.0.1:7400", key = "k")', "fleet(instances = 8)", "do not talk"),
    ('leases(voters = ["n1", "n2", "n3"], length = 3s)', "", "nobody divides"),
    ('["n1", "n2", "n3"]', '["n1", "n1"]', "one of them twice"),
    ('"n3"], length', '"n3"], before = ["n1", "n2", "n4"], generation = 1, length', "more than one"),
    ('"n3"], length', '"n3"], before = ["n1", "n2"], length', "generation"),
    ("length = 3s", "length = 3s, drift = 30%", "drift")])
def test_budgets_that_cannot_hold_are_refused(old, new, words):
    result = read(Memory({"a.star": DIVIDED.replace(old, new).encode()}), "a.star")
    assert any(words in str(fault) for fault in result.errors), [str(fault) for fault in result.errors]
    assert not read(Memory({"a.star": DIVIDED.encode()}), "a.star").errors
