"""Fixtures for tests that start the program as a process."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from stand_ins import NodeProcess, StandInDiscovery, StandInEndpoint

pytest_plugins = ("known_red",)


class Deployment:
    """A stand-in discovery service, two stand-in endpoints, and the started nodes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = StandInDiscovery()
        self.endpoints = [StandInEndpoint(), StandInEndpoint()]
        self.nodes: list[NodeProcess] = []

    def start(self, endpoint_count: int = 2, **options: Any) -> NodeProcess:
        for number, endpoint in enumerate(self.endpoints[:endpoint_count]):
            self.discovery.set_endpoint(f"s-{number}", endpoint.address)
        self.nodes.append(NodeProcess(self.folder, self.discovery, **options))
        return self.nodes[-1]


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    for node in deployment.nodes:
        node.process.kill()
        node.process.wait()
        for line in node.log_path.read_text().splitlines():
            print(line)  # pytest shows captured output when the test fails
        assert "Traceback" not in node.log_path.read_text()
    with contextlib.suppress(OSError):
        deployment.discovery.listener.socket.close()
