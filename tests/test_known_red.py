"""The list of tests that are known to fail hides just what it names."""
import os
import pathlib
import subprocess
import sys

import pytest

HERE = pathlib.Path(__file__).parent
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert False\n\n\ndef test_worse():\n    assert False\n"


def run(folder, listed):
    (folder / "test_some.py").write_text(TESTS)
    (folder / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (folder / "known_red.py").write_text((HERE / "known_red.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(folder)], text=True,
                          capture_output=True, cwd=folder, env=os.environ | {"KNOWN_RED": "KNOWN-RED.txt"})
    return done.returncode, done.stdout + done.stderr


BAD, WORSE = "test_some.py::test_bad, slow disk, 7\n", "test_some.py::test_worse, a cause, with a comma, 8\n"


def test_what_is_listed_is_passed_over_and_printed(tmp_path):
    code, said = run(tmp_path, BAD + WORSE)
    assert code == 0 and "1 passed, 2 deselected" in said
    assert "test_some.py::test_bad: slow disk (issue 7)" in said and "a cause, with a comma (issue 8)" in said


@pytest.mark.parametrize("listed, code, words", [
    ("", 1, "2 failed"), (BAD, 1, "1 failed"),
    (BAD + WORSE + "test_some.py::test_gone, renamed, 9\n", 4, "there is no test test_some.py::test_gone"),
    (BAD * 4, 4, "4 lines, and 3 are allowed"),
    ("test_some.py::test_bad, 7\n", 4, "KNOWN-RED.txt:1: not of the form"),
])
def test_nothing_else_is(tmp_path, listed, code, words):
    found, said = run(tmp_path, listed)
    assert found == code and words in said
