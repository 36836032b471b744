"""The list of known failures deselects exactly the tests that it names."""
import os
import pathlib
import subprocess
import sys

import pytest
from known_red import KnownRedError, read_list

HERE = pathlib.Path(__file__).parent
TESTS = """import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("_", ["case, two"])
def test_worse(_): assert False
"""


def run_pytest(folder, listed):
    """Runs pytest on a folder with this list, or without one for None; returns the exit code and the output."""
    (folder / "test_some.py").write_text(TESTS)
    (folder / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (folder / "known_red.py").write_text((HERE / "known_red.py").read_text())
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(folder)], text=True,
                          capture_output=True, cwd=folder, env=os.environ | {"KNOWN_RED": "KNOWN-RED.txt"})
    return done.returncode, done.stdout + done.stderr


BAD = "pytest test_some.py::test_bad, -, slow disk, 7\n"
WORSE = "pytest test_some.py::test_worse[case, two], 41, failed once, beside load, 8\n"


def test_listed_tests_are_deselected_and_printed(tmp_path):
    code, output = run_pytest(tmp_path, BAD + WORSE)
    assert code == 0 and "1 passed, 2 deselected" in output
    assert "pytest test_some.py::test_bad, seed -: slow disk (issue 7)" in output
    assert "pytest test_some.py::test_worse[case, two], seed 41: failed once, beside load (issue 8)" in output


@pytest.mark.parametrize("listed, code, words", [
    (None, 1, "2 failed"), ("", 1, "2 failed"), (BAD, 1, "1 failed"),
    (BAD + WORSE + "pytest test_some.py::test_gone, -, renamed, 9\n", 4, "no test is named test_some.py::test_gone"),
    (BAD * 4, 4, "4 lines, at most 3 are allowed"), (BAD + "slow disk", 4, "KNOWN-RED.txt:2: not of the form")])
def test_other_failures_and_bad_lists_fail_the_run(tmp_path, listed, code, words):
    actual, output = run_pytest(tmp_path, listed)
    assert actual == code and words in output


@pytest.mark.parametrize("line", [
    "test_a.py::test_b, -, slow disk, 7", "pytest, -, slow disk, 7", "pytest test_a.py, -, slow disk, 7",
    "pytest test_a.py::test_b test_a.py::test_c, -, slow disk, 7", "pytest test_a.py::test_b, slow disk, 7",
    "pytest test_a.py::test_b, one, slow disk, 7", "pytest test_a.py::test_b, , slow disk, 7",
    "pytest test_a.py::test_b, 1.5, slow disk, 7", "pytest test_a.py::test_b, -, 7",
    "pytest test_a.py::test_b, -, , 7", "pytest test_a.py::test_b, -, slow disk",
    "pytest test_a.py::test_b, -, slow disk, soon"])
def test_each_malformed_line_is_refused_by_its_number(tmp_path, line):
    (tmp_path / "list").write_text(BAD + line)
    with pytest.raises(KnownRedError, match="^list:2: not of the form"):
        read_list(tmp_path / "list")
