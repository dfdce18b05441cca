"""KNOWN-RED.txt excuses the listed tests only: three at most, and none that always passes."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
FAILS = "test_it.py::test_fails | the cause | issue 1"
PASSES = "test_it.py::test_passes | the cause | issue 1"
INTERMITTENT = "intermittent | bin/test | seed 1"
FAILS_NOW_AND_THEN = f"{FAILS} | {INTERMITTENT} | assert False"
PASSES_NOW_AND_THEN = f"{PASSES} | {INTERMITTENT} | assert False"
CASES = [
    (None, 1, "1 failed, 1 passed"),
    ("", 1, "1 failed, 1 passed"),
    (f"{FAILS}\n", 0, "1 passed, 1 xfailed"),
    (f"{FAILS}\n\n{PASSES}\n", 1, "1 failed, 1 xfailed"),
    ("test_it.py::test_missing | the cause | issue 1", 4, "names no test: test_it.py::test_missing"),
    ("missing.py::test_fails | the cause | issue 1", 4, "names no test: missing.py::test_fails"),
    ("other.py::test_of_a_file_that_is_not_run | the cause | issue 1", 1, "1 failed, 1 passed"),
    ("test_it.py::test_fails", 4, "not TEST | CAUSE | ISSUE"),
    ("\n".join([FAILS] * 4), 4, "has 4 lines, 3 at most"),
    (FAILS_NOW_AND_THEN, 0, "1 passed, 1 xfailed"),
    (f"{FAILS} | {INTERMITTENT} | another failure", 1, "1 failed, 1 passed"),
    (f"{FAILS}\n{PASSES_NOW_AND_THEN}", 0, "1 passed, 1 xfailed"),
    (PASSES_NOW_AND_THEN, 1, "1 failed, 1 passed"),
    (f"{FAILS} | intermittent | bin/test | seed 1", 4, "not TEST | CAUSE | ISSUE"),
    (f"{FAILS} | now and then | bin/test | seed 1 | assert False", 4, "not TEST | CAUSE | ISSUE"),
    ("\n".join([FAILS_NOW_AND_THEN] * 4), 4, "has 4 lines, 3 at most"),
]


def run_pytest(folder: Path, listed: str | None, workers: int) -> subprocess.CompletedProcess[str]:
    """Runs a failing and a passing test, with what ``KNOWN-RED.txt`` lists."""
    (folder / "test_it.py").write_text(TESTS)
    (folder / "other.py").write_text("def test_of_a_file_that_is_not_run():\n    pass\n")
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-p",
            "known_red",
            "-p",
            "no:cacheprovider",
            "-q",
            "test_it.py",
            "-n",
            str(workers),
        ],
        cwd=folder,
        env={"PYTHONPATH": str(Path(__file__).parent)},
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("workers", [0, 1])
@pytest.mark.parametrize(("listed", "code", "expected_output"), CASES)
def test_only_listed_tests_may_fail(
    tmp_path: Path, listed: str | None, code: int, expected_output: str, workers: int
) -> None:
    run = run_pytest(tmp_path, listed, workers)
    output = run.stdout + run.stderr
    assert run.returncode == code and expected_output in output, output
    assert ("known red: test_it.py::test_fails: the cause (issue 1)" in output) is (
        code != 4 and listed is not None and FAILS in listed
    )


@pytest.mark.parametrize("workers", [0, 1])
@pytest.mark.parametrize(
    ("listed", "result"),
    [
        (FAILS_NOW_AND_THEN, "test_fails: the cause (issue 1); intermittent, failed this time"),
        (PASSES_NOW_AND_THEN, "test_passes: the cause (issue 1); intermittent, passed this time"),
        (
            f"other.py::test_of_a_file_that_is_not_run | the cause | issue 1 | {INTERMITTENT} | assert False",
            "test_of_a_file_that_is_not_run: the cause (issue 1); intermittent, not run this time",
        ),
    ],
)
def test_result_of_an_intermittent_test_is_printed(
    tmp_path: Path, listed: str, result: str, workers: int
) -> None:
    run = run_pytest(tmp_path, listed, workers)
    assert result in run.stdout, run.stdout
