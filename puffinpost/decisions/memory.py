"""What a balancer has learned, handed to the one that takes its place. Decides nothing."""

from __future__ import annotations

from puffinpost.decisions.capacity import Capacity
from puffinpost.decisions.window import Window
from puffinpost.interface import Memory, ServerMemory


def memory(capacity: Capacity, window: Window) -> Memory:
    """What this balancer has learned."""
    books = capacity.books
    return Memory(
        tuple(ServerMemory(
            it.id, it.load, it.load_ns, it.held, it.fills, it.faults, it.aside_until, it.started_ns,
            it.cold_ns, it.budget, it.budget_ns, it.probed_ns,
        ) for it in books.servers.values()),
        books.told_load, books.told_count, capacity.spread, window.most, tuple(books.called),
    )


def remember(capacity: Capacity, window: Window, told: Memory) -> None:
    """Takes over what another has learned. Of a server that has started since, its size holds."""
    books = capacity.books
    for it in told.servers:
        server = books.servers.get(it.server)
        if server is None:
            continue
        server.fills = it.fills
        if server.started_ns != it.started_ns:
            continue
        server.load, server.load_ns, server.held = it.load, it.load_ns, it.held
        server.faults, server.aside_until, server.cold_ns = it.faults, it.aside_until, it.cold_ns
        server.budget, server.budget_ns, server.probed_ns = it.budget, it.budget_ns, it.probed_ns
    books.told_load, books.told_count = told.told_load, told.told_count
    capacity.spread, window.most = told.spread, told.window
    books.called = [it for it in told.called if it in books.servers and it not in books.banned]
    capacity.survey_ns = books.now
