"""The list of known failures deselects exactly the tests that it names."""
import os
import pathlib
import subprocess
import sys

import pytest

HERE = pathlib.Path(__file__).parent
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert False\n\n\ndef test_worse():\n    assert False\n"


def run_pytest(folder, listed):
    """Runs pytest on a folder with this list; returns the exit code and the output."""
    (folder / "test_some.py").write_text(TESTS)
    (folder / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (folder / "known_red.py").write_text((HERE / "known_red.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(folder)], text=True,
                          capture_output=True, cwd=folder, env=os.environ | {"KNOWN_RED": "KNOWN-RED.txt"})
    return done.returncode, done.stdout + done.stderr


BAD, WORSE = "test_some.py::test_bad, slow disk, 7\n", "test_some.py::test_worse, a cause, with a comma, 8\n"


def test_listed_tests_are_deselected_and_printed(tmp_path):
    code, output = run_pytest(tmp_path, BAD + WORSE)
    assert code == 0 and "1 passed, 2 deselected" in output
    assert "test_some.py::test_bad: slow disk (issue 7)" in output and "a cause, with a comma (issue 8)" in output


@pytest.mark.parametrize("listed, code, words", [
    ("", 1, "2 failed"), (BAD, 1, "1 failed"),
    (BAD + WORSE + "test_some.py::test_gone, renamed, 9\n", 4, "no test is named test_some.py::test_gone"),
    (BAD * 4, 4, "4 lines, at most 3 are allowed"),
    ("test_some.py::test_bad, 7\n", 4, "KNOWN-RED.txt:1: not of the form"),
])
def test_other_failures_and_bad_lists_fail_the_run(tmp_path, listed, code, words):
    actual, output = run_pytest(tmp_path, listed)
    assert actual == code and words in output
