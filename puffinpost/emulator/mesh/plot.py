"""Draws a history: the versions that nodes act on, faults as bands, and the share of served requests."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from puffinpost.emulator.mesh.history_checker import Event, EventKind

NS_PER_S = 1e9
UNENDED_FAULT_S = 0.4  # the width of a fault whose end was not recorded
MAX_LEGEND_VERSIONS = 12
SMALL_CLUSTER = 60  # nodes, whose names are readable
COLOURS = ("#1b6ca8", "#e07a1f", "#3a9d5d", "#b23a48", "#7d5ba6", "#8c6d46", "#d16ba5", "#5f6b73")


def plot(events: list[Event], picture: Path, document: str = "settings") -> None:
    """Draws a history into a file, whose suffix is its format."""
    began_ns = min((event.time_ns for event in events), default=0)
    nodes = sorted(
        {event.node for event in events if event.kind in (EventKind.ACT, EventKind.UP)},
        key=lambda name: (len(name), name),
    )
    figure = Figure(figsize=(11, 2.5 + 0.28 * len(nodes)), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=[max(2, len(nodes)) / 3, 1])
    acts = [event for event in events if event.kind == EventKind.ACT and event.document == document]
    _draw_versions(upper, acts, nodes, began_ns)
    _draw_faults(upper, events, nodes, began_ns)
    upper.set_yticks(range(len(nodes)), nodes, fontsize=7 if len(nodes) < SMALL_CLUSTER else 3)
    upper.set_title(f"Versions of {document} acted on, by node", loc="left", fontsize=10)
    _draw_served_share(lower, events, began_ns)
    for axes in (upper, lower):
        axes.spines[["top", "right"]].set_visible(False)
        axes.tick_params(labelsize=7)
    figure.savefig(picture, dpi=130)


def _draw_versions(axes: Axes, acts: list[Event], nodes: list[str], began_ns: int) -> None:
    versions = sorted({act.shared_version for act in acts})
    has_legend = 0 < len(versions) <= MAX_LEGEND_VERSIONS
    for index, version in enumerate(versions):
        of_version = [act for act in acts if act.shared_version == version]
        axes.scatter(
            [(act.time_ns - began_ns) / NS_PER_S for act in of_version],
            [nodes.index(act.node) for act in of_version],
            s=14,
            marker="|",
            color=COLOURS[index % len(COLOURS)],
            label=f"version {version}" if has_legend else None,
        )
    if has_legend:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7, frameon=False)


def _draw_faults(axes: Axes, events: list[Event], nodes: list[str], began_ns: int) -> None:
    for fault in events:
        if fault.kind != EventKind.FAULT or fault.node not in nodes:
            continue
        row, begins_s = nodes.index(fault.node), (fault.time_ns - began_ns) / NS_PER_S
        width_s = max(_duration_s(fault, events), UNENDED_FAULT_S / 4)
        axes.barh(row, width_s, left=begins_s, height=0.9, color="#d33", alpha=0.25)
        axes.annotate(fault.subject, (begins_s, row), fontsize=6, color="#a11", va="bottom")


def _duration_s(fault: Event, events: list[Event]) -> float:
    ends = [
        event.time_ns
        for event in events
        if event.kind == EventKind.MENDED
        and event.time_ns > fault.time_ns
        and (event.node, event.subject) == (fault.node, fault.subject)
    ]
    return (min(ends) - fault.time_ns) / NS_PER_S if ends else UNENDED_FAULT_S


def _draw_served_share(axes: Axes, events: list[Event], began_ns: int) -> None:
    """The share of requests that went to an endpoint, by second."""
    sent: Counter[int] = Counter()
    answered: Counter[int] = Counter()
    for event in events:
        second = int((event.time_ns - began_ns) // NS_PER_S)
        if event.kind == EventKind.SENT:
            sent[second] += 1
        elif event.kind == EventKind.ANSWERED:
            answered[second] += 1
    seconds = sorted(answered)
    shares = [min(1.0, sent[second] / answered[second]) for second in seconds]
    axes.step(seconds, shares, where="post", color="#1b6ca8")
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("served share", fontsize=8)
    axes.set_xlabel("seconds", fontsize=8)
