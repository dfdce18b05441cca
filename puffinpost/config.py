"""All configuration: read, checked and given its defaults here, and nowhere else.

What the platform tells a node comes from ``GW_NAME``, ``GW_LISTEN``, ``GW_DISCOVERY`` and the JSON file
that ``GW_CONFIG`` names; the first three are taken from that file where they are not set. What is ours to
choose is in ``deploy/edge.toml``, or in the file that ``GW_EDGE`` names.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from puffinpost import interface as api
from puffinpost.inventory import parse_address
from puffinpost.wire import parse_settings

Address = tuple[str, int]
EDGE_FILE = Path(__file__).parent.parent / "deploy" / "edge.toml"


class ConfigError(Exception):
    """What the node was told cannot be right; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that a node is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    sockets: int
    known: dict[str, Any] = field(default_factory=dict)


def flatten(value: Any, path: str = "") -> list[str]:
    """Nested settings as the simulator's ``path=value`` lines."""
    dot = f"{path}." if path else ""
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in flatten(item, f"{dot}{key}")]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = [line for number, item in enumerate(value) for line in flatten(item, f"{dot}{number}")]
        return [f"{path}.count={len(value)}", *items]
    if isinstance(value, list):
        return [f"{path}={','.join(_plain(item) for item in value)}"]
    return [f"{path}={_plain(value)}"]


def _plain(value: Any) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration of this process. Raises ``ConfigError``."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set: it names the file that holds the node's configuration")
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as problem:
        raise ConfigError(f"GW_CONFIG: {path} cannot be read: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"GW_CONFIG: {path} is not JSON: {problem}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"GW_CONFIG: {path} does not hold an object")

    def text(variable: str, key: str) -> str:
        value = environ.get(variable) or told.get(key)
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{key}: neither {variable} nor the key in GW_CONFIG is set to a text")
        return value

    def address(variable: str, key: str) -> Address:
        try:
            return parse_address(text(variable, key))
        except ValueError as problem:
            raise ConfigError(f"{key}: {problem}") from None

    raw = _of(told, "settings", dict, None)
    try:
        settings = parse_settings("\n".join(flatten(raw)))
    except ValueError as problem:
        raise ConfigError(str(problem)) from None
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {told['seed']!r} is not a hexadecimal number") from None
    sockets = _of(_of(told, "limits", dict, {}), "sockets", int, 1024)
    if sockets < 16:
        raise ConfigError(f"limits.sockets: {sockets} leaves no room for connections")
    return Config(
        name=text("GW_NAME", "name"),
        listen=address("GW_LISTEN", "listen"),
        discovery=address("GW_DISCOVERY", "discovery"),
        seed=seed,
        settings=settings,
        classes=tuple(str(item.get("Name", "")) for item in raw.get("Classes", [])),
        zones=tuple(str(item) for item in raw.get("Dcs", [])),
        kinds=tuple(str(item) for item in raw.get("Kinds", [])),
        sockets=sockets,
        known=_of(told, "known", dict, {}),
    )


def _of(table: dict[str, Any], key: str, kind: type, default: Any) -> Any:
    value = table.get(key, default)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        what = "is missing" if value is None else f"{value!r} is not of type {kind.__name__}"
        raise ConfigError(f"{key}: {what}")
    return value


def load_edge(environ: Mapping[str, str] = os.environ) -> dict[str, Any]:
    """The tables of ``deploy/edge.toml``; empty where there is no such file."""
    path = Path(environ.get("GW_EDGE") or EDGE_FILE)
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        if environ.get("GW_EDGE"):
            raise ConfigError(f"GW_EDGE: there is no file {path}") from None
        return {}
    except (OSError, ValueError) as problem:
        raise ConfigError(f"{path}: {problem}") from None
