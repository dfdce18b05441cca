"""``puffinpost mesh``: plays scenarios with faults between many processes, and checks and plots their
histories.

The command definitions call it. Scenarios and their checks are defined in `puffinpost.emulator.mesh`.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec

from puffinpost.emulator.mesh import history
from puffinpost.emulator.mesh.scenario import Scenario, ScenarioError, load_scenario
from puffinpost.emulator.mesh.scenario_player import ScenarioResult, play_scenario


def run(path: Path, seed: int, history_path: Path | None, as_json: bool) -> int:
    """Plays a scenario. Returns 0 if all checks pass, 1 if one fails, and 2 for an invalid file."""
    try:
        scenario: Scenario = load_scenario(path)
    except ScenarioError as problem:
        click.echo(str(problem), err=True)
        return 2
    with tempfile.TemporaryDirectory(prefix="puffinpost-mesh-") as folder:
        try:
            result = asyncio.run(play_scenario(scenario, Path(folder), seed))
        except TimeoutError as problem:
            click.echo(f"the cluster did not settle: {problem}\nseed {seed} reproduces it", err=True)
            return 1
    if history_path is not None:
        history.write_history(history_path, result.events)
    click.echo(_to_json(result, seed) if as_json else _to_text(result, seed))
    return 1 if result.violations else 0


def _result_fields(result: ScenarioResult, seed: int) -> dict[str, Any]:
    return {
        "seed": seed,
        "events": len(result.events),
        "answers": result.answers,
        "outcomes": result.outcomes,
        "worst_contradiction_s": round(result.longest_contradiction_s, 4),
        "settled_s": round(result.settled_s, 3),
        "breaches": [violation.describe() for violation in result.violations],
    }


def _to_json(result: ScenarioResult, seed: int) -> str:
    return msgspec.json.encode(_result_fields(result, seed)).decode()


def _to_text(result: ScenarioResult, seed: int) -> str:
    outcomes = [proposal.get("outcome", "unknown") for proposal in result.outcomes]
    lines = [
        f"{len(result.events)} events; answers {result.answers}",
        f"proposals: {', '.join(outcomes) or 'none'}",
        "longest time that an old version was acted on after a newer one: "
        f"{result.longest_contradiction_s:.3f} s; "
        f"all nodes agreed {result.settled_s:.2f} s after the last fault",
    ]
    for violation in result.violations:
        lines += [violation.describe(), f"seed {seed} reproduces it"]
    return "\n".join([*lines, "NOT KEPT" if result.violations else "all promises kept"])


def explore(quick: bool) -> int:
    """Checks every order of events in small cases. Returns 0 if no invariant is violated, else 1."""
    from puffinpost.emulator.mesh.model_cases import CASES
    from puffinpost.emulator.mesh.model_checker import ModelChecker

    exit_code = 0
    for case in CASES:
        if quick and not case.quick:
            continue
        result = ModelChecker(case.bounds, settled=case.settled).run()
        extent = "complete" if result.complete else "up to the limit on states"
        click.echo(f"{case.name}: {result.states} states, {extent}, {result.seconds:.1f} s of CPU time")
        if result.violation:
            exit_code = 1
            click.echo("\n".join([f"  {result.violation}:", *(f"    {step}" for step in result.trace)]))
    return exit_code


def draw(history_path: Path, output_path: Path) -> None:
    """Plots a history to a file. Exits with 2 if matplotlib is not installed."""
    try:
        from puffinpost.emulator.mesh.plot import plot
    except ImportError:
        click.echo("matplotlib is not installed: pip install 'puffinpost[plots]'", err=True)
        sys.exit(2)
    plot(history.read_history([history_path]), output_path)
    click.echo(str(output_path))
