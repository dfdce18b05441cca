"""Reads KNOWN-RED.txt at the root: tests that fail for an open fault, and may land so. Three entries at most.

A line is ``TEST | CAUSE | ISSUE`` for a test that always fails, and
``TEST | CAUSE | ISSUE | intermittent | COMMAND | SEED | FAILURE`` for one that fails now and then.
``FAILURE`` is a part of the failure's text, and a failure without it is not excused. The end of the run
prints each entry, and for an intermittent one whether it failed or passed this time.

The run fails on a fourth line, on a malformed line, on one that names no test, and on a listed test that
passes without being marked intermittent.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
INTERMITTENT = "intermittent"
SEPARATOR = " | "
FORMAT = "TEST | CAUSE | ISSUE"
INTERMITTENT_FORMAT = f"{FORMAT} | {INTERMITTENT} | COMMAND | SEED | FAILURE"


@dataclass(frozen=True, slots=True)
class Occurrence:
    """How an intermittent failure was seen: the command, its seed, and a part of the failure's text."""

    command: str
    seed: str
    failure: str


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry of the file. ``occurrence`` is None for a test that always fails."""

    test: str  # its node id
    cause: str
    issue: str
    occurrence: Occurrence | None = None

    @property
    def reason(self) -> str:
        """The cause with the issue that is open for it."""
        return f"{self.cause} ({self.issue})"


def parse_line(line: str) -> KnownFailure:
    """The entry of one line. Raises ``UsageError`` where the line is malformed."""
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if all(fields):
        if len(fields) == 3:
            test, cause, issue = fields
            return KnownFailure(test, cause, issue)
        if len(fields) == 7 and fields[3] == INTERMITTENT:
            test, cause, issue, _, command, seed, failure = fields
            return KnownFailure(test, cause, issue, Occurrence(command, seed, failure))
    raise pytest.UsageError(f"{FILE}: not {FORMAT} or {INTERMITTENT_FORMAT}: {line}")


def read_known_failures(root: Path) -> list[KnownFailure]:
    """The file's entries; none without a file. Raises ``UsageError`` where the file is invalid."""
    path = root / FILE
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE} has {len(lines)} lines, {MAX_ENTRIES} at most")
    entries = [parse_line(line) for line in lines]
    for entry in entries:
        file, _, name = entry.test.partition("::")
        source = (root / file).read_text() if (root / file).is_file() else ""
        if f"def {name.split('[')[0]}(" not in source:
            raise pytest.UsageError(f"{FILE}: names no test: {entry.test}")
    return entries


def pytest_configure(config: pytest.Config) -> None:
    read_known_failures(config.rootpath)  # xdist does not print what its workers raise


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    items_by_id = {item.nodeid: item for item in items}
    collected_files = {item.nodeid.split("::")[0] for item in items}
    for entry in read_known_failures(config.rootpath):
        if entry.test in items_by_id:
            if entry.occurrence is None:
                items_by_id[entry.test].add_marker(pytest.mark.xfail(reason=entry.reason, strict=True))
        elif entry.test.split("::")[0] in collected_files:  # other files are not run this time
            raise pytest.UsageError(f"{FILE}: names no test: {entry.test}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Reports the recorded failure of an intermittent test as an expected one; any other stays a failure."""
    report = yield
    if report.when != "call" or not report.failed or call.excinfo is None:
        return report
    for entry in read_known_failures(item.config.rootpath):
        if entry.test != item.nodeid or entry.occurrence is None:
            continue
        if entry.occurrence.failure in str(call.excinfo.value):
            report.outcome = "skipped"
            report.wasxfail = entry.reason
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for entry in read_known_failures(config.rootpath):
        line = f"known red: {entry.test}: {entry.reason}"
        if entry.occurrence is not None:
            line += f"; {INTERMITTENT}, {result_of(entry.test, terminalreporter)}"
        terminalreporter.write_line(line)


def result_of(test: str, terminalreporter: pytest.TerminalReporter) -> str:
    """Whether a test failed or passed in this run, or was not run."""
    results = {
        category
        for category in ("passed", "failed", "xfailed", "error")
        for report in terminalreporter.stats.get(category, [])
        if report.nodeid == test
    }
    if not results:
        return "not run this time"
    return "passed this time" if results == {"passed"} else "failed this time"
