"""What the nodes of a fleet knew when they sent: read from their logs, with ``[log] trace = true``.

Two counts. Requests sent to an endpoint of which any node had known for longer than the grace that it drains
or is removed, by how late they were and whether they got through: a node may not have been notified yet, but
another was. And how long after a reload that named another discovery each node had its first answer.

    python -m bench.told LOGS [LOGS ...]    each a folder of one log a node (.log)
"""

from __future__ import annotations

import argparse
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

GRACE_MS = 500
REDIRECT_LIMIT_MS = 4000  # within which a new discovery is to be polled
SHOWN_REQUESTS = 5
_LIST = re.compile(r"trace ms=(\d+) list (\w+) ?(.*)")
_ATTEMPT = re.compile(
    r"trace ms=(\d+) n=(\d+) id=(\S+) (StartAttempt|AttemptEstablished|AttemptEnded) at=(\S+)"
    r"(?:.*? result=(\w+))?"
)
_CALL = re.compile(r"trace ms=(\d+) call (\S+) took_ms=(\d+) 200 ")
# The first alternative matches logs of earlier versions.
_RELOAD = re.compile(r"reload: discovery at \S+,|reload: configuration accepted discovery=\S+ ")
_PROCESS_START = re.compile(r"the console is at|admin server listening")  # the first: of earlier versions
_NOT_SENT = ("CONNECT_FAILED", "SUPERSEDED")  # results of attempts without a first byte


@dataclass(slots=True)
class SentRequest:
    """One attempt. ``got_through``: it got as far as its first byte, by its result."""

    at_ms: int
    node: str
    endpoint: str
    request_id: str
    got_through: bool = True


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as a node's list had it. ``since_ms``: its start, by which later states are told apart."""

    name: str
    is_ready: bool
    since_ms: int

    def replaces(self, other: ListedEndpoint) -> bool:
        """Whether this is a later state: of a later start, or a drain in the same one."""
        if self.since_ms != other.since_ms:
            return self.since_ms > other.since_ms
        return other.is_ready and not self.is_ready


@dataclass(slots=True)
class Fleet:
    """What the logs of one fleet hold."""

    changes: list[tuple[int, ListedEndpoint]] = field(default_factory=list)  # with their times in ms
    requests: list[SentRequest] = field(default_factory=list)
    redirects_ms: list[int] = field(default_factory=list)  # from a reload to the first answer

    def read(self, path: Path) -> None:
        """Reads one node's log, of all its processes."""
        reader = _LogReader(self, path.stem)
        for line in path.read_text(errors="replace").splitlines():
            reader.read_line(line)

    def late_requests(self) -> list[tuple[int, SentRequest]]:
        """Requests to endpoints that any node had long known to drain: how late in ms, latest first."""
        late: list[tuple[int, SentRequest]] = []
        known: dict[str, tuple[int, ListedEndpoint]] = {}  # by name: since when
        changes = iter(sorted(self.changes, key=lambda change: (change[0], *_sort_key(change[1]))))
        change = next(changes, None)
        for request in sorted(self.requests, key=lambda request: request.at_ms):
            while change is not None and change[0] <= request.at_ms:
                at_ms, endpoint = change
                before = known.get(endpoint.name)
                if before is None or endpoint.replaces(before[1]):
                    known[endpoint.name] = at_ms, endpoint
                change = next(changes, None)
            if request.endpoint not in known:
                continue
            known_ms, endpoint = known[request.endpoint]
            late_ms = request.at_ms - known_ms
            if not endpoint.is_ready and late_ms > GRACE_MS:
                late.append((late_ms, request))
        return sorted(late, key=lambda each: -each[0])


def _sort_key(endpoint: ListedEndpoint) -> tuple[str, bool, int]:
    return endpoint.name, endpoint.is_ready, endpoint.since_ms


class _LogReader:
    """Reads the lines of one node's log into the fleet."""

    def __init__(self, fleet: Fleet, node: str) -> None:
        self.fleet, self.node = fleet, node
        self._listed: dict[str, int] = {}  # by name: its start
        self._open: dict[tuple[str, str], SentRequest] = {}  # by the request's and the attempt's number
        self._now_ms = 0
        self._reloaded_ms: int | None = None

    def read_line(self, line: str) -> None:
        """Reads one line; those of other kinds are skipped."""
        if match := _LIST.search(line):
            self._read_list(match)
        elif match := _ATTEMPT.search(line):
            self._read_attempt(match)
        elif match := _CALL.search(line):
            self._read_call(match)
        elif _RELOAD.search(line):
            self._reloaded_ms = self._now_ms
        elif _PROCESS_START.search(line):
            self._open.clear()
            self._reloaded_ms = None

    def _read_list(self, match: re.Match[str]) -> None:
        self._now_ms = int(match[1])
        endpoints = {endpoint.name: endpoint for endpoint in _parse_endpoints(match[3])}
        if match[2] == "FULL":  # an endpoint that is left out is removed
            endpoints |= {
                name: ListedEndpoint(name, False, since_ms)
                for name, since_ms in self._listed.items()
                if name not in endpoints
            }
        self._listed |= {name: endpoint.since_ms for name, endpoint in endpoints.items()}
        self.fleet.changes += [(self._now_ms, endpoint) for endpoint in endpoints.values()]

    def _read_attempt(self, match: re.Match[str]) -> None:
        at_ms, number, request_id, event, endpoint, result = match.groups()
        self._now_ms = int(at_ms)
        key = number, endpoint
        if event == "StartAttempt":
            self._open[key] = SentRequest(self._now_ms, self.node, endpoint, request_id)
            self.fleet.requests.append(self._open[key])
        elif result in _NOT_SENT and key in self._open:
            self._open[key].got_through = False

    def _read_call(self, match: re.Match[str]) -> None:
        self._now_ms = int(match[1])
        began_ms = self._now_ms - int(match[3])
        if self._reloaded_ms is not None and began_ms >= self._reloaded_ms:
            self.fleet.redirects_ms.append(self._now_ms - self._reloaded_ms)
            self._reloaded_ms = None


def _parse_endpoints(text: str) -> Iterator[ListedEndpoint]:
    for item in text.split():
        name, _, state = item.rpartition("=")
        status, _, since_ms = state.partition("@")
        yield ListedEndpoint(name, status == "READY", int(since_ms))


def report(folder: Path, fleet: Fleet) -> None:
    """Prints both counts."""
    late = fleet.late_requests()
    got_through = [(late_ms, request) for late_ms, request in late if request.got_through]
    by_second = Counter(late_ms // 1000 for late_ms, _ in got_through)
    print(f"{folder}: {len(fleet.requests)} sends, {len(late)} of them late, {len(got_through)} got through")
    print("  got through, by whole seconds late:", dict(sorted(by_second.items())))
    for late_ms, request in got_through[:SHOWN_REQUESTS]:
        print(f"  {late_ms} ms late: {request.node} to {request.endpoint}, id={request.request_id}")
    redirects = sorted(fleet.redirects_ms)
    if redirects:
        over_limit = sum(redirect_ms > REDIRECT_LIMIT_MS for redirect_ms in redirects)
        print(
            f"  first answer after a reload: {len(redirects)}, median {redirects[len(redirects) // 2]} ms, "
            f"longest {redirects[-1]} ms, over 4 s {over_limit}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description="What the nodes of a fleet knew when they sent.")
    parser.add_argument("logs", nargs="+", type=Path, help="a folder of one log a node")
    for folder in parser.parse_args().logs:
        fleet = Fleet()
        for path in sorted(folder.glob("*.log")):
            fleet.read(path)
        report(folder, fleet)


if __name__ == "__main__":
    main()
