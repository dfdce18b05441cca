"""The platform's settings: typed access to its JSON tables, and the settings that the balancer runs with.

``config.node`` and ``config.shared_settings`` use this module. The simulator's wire format has the same
settings under flat paths, so nested settings are flattened and parsed by the same code.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from puffinpost.balancing.settings import Settings
from puffinpost.config.errors import ConfigError
from puffinpost.simulator.settings_text import settings_of

SETTINGS_PATH = "settings."
_TABLE_KEYS = ("FamilyInfo", "Fees", "Limits", "Report", "Rules")
_TABLE_LIST_KEYS = ("Classes", "Tenants")


def value_of(table: dict[str, Any], key: str, kind: type, default: Any, path: str = "") -> Any:
    """Returns the value of a key, or the default; null counts as absent.

    Raises ``ConfigError`` for a value of another type, or if there is neither a value nor a default.
    """
    value = table.get(key)
    if value is None:
        value = default
    if isinstance(value, kind) and not (kind is int and isinstance(value, bool)):
        return value
    problem = "is missing" if value is None else f"{value!r} is not of type {kind.__name__}"
    raise ConfigError(f"{path}{key}", problem)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flattens nested settings to the simulator's paths. Null counts as absent."""
    prefix = f"{path}." if path else ""
    flat: dict[str, str] = {}
    if isinstance(value, dict):
        for key, item in value.items():
            flat |= flatten(item, f"{prefix}{key}")
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        flat[f"{path}.count"] = str(len(value))
        for number, item in enumerate(value):
            flat |= flatten(item, f"{prefix}{number}")
    elif isinstance(value, list):
        flat[path] = ",".join(_to_text(item) for item in value)
    elif value is not None:
        flat[path] = _to_text(value).strip()
    return flat


def _to_text(value: Any) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(",", "_")


def parse_settings(raw: dict[str, Any]) -> tuple[Settings, tuple[str, ...]]:
    """Parses the platform's settings. Also returns the names of their classes. Raises ``ConfigError``."""
    raw = {key: value for key, value in raw.items() if value is not None}
    for key in _TABLE_KEYS:
        value_of(raw, key, dict, {}, SETTINGS_PATH)
    zones = value_of(raw, "Dcs", list, [], SETTINGS_PATH)
    endpoint_types = value_of(raw, "Kinds", list, [], SETTINGS_PATH)
    for key in _TABLE_LIST_KEYS:
        _check_tables(raw, key)
    tenant_names = _distinct_names(raw, "Tenants")
    try:
        settings = settings_of(flatten(raw))
        # Names are used verbatim: one may be empty, or "null".
        tenants = tuple(
            replace(tenant, name=name) for tenant, name in zip(settings.tenants, tenant_names, strict=True)
        )
        settings = replace(
            settings, zone_count=len(zones), endpoint_type_count=len(endpoint_types), tenants=tenants
        )
    except ValueError as problem:
        raise ConfigError.from_text(str(problem)) from None
    class_names = _distinct_names(raw, "Classes")
    if not settings.endpoint_list_is_polled:
        settings = _polled_from_local_agent(settings)
    return settings, class_names


def _check_tables(raw: dict[str, Any], key: str) -> None:
    items = value_of(raw, key, list, [], SETTINGS_PATH)
    invalid = [item for item in items if not isinstance(item, dict)]
    if invalid:
        raise ConfigError(f"{SETTINGS_PATH}{key}", f"{invalid[0]!r} is not of type dict")


def _distinct_names(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    names = tuple(str(item.get("Name", "")) for item in raw.get(key, []))
    if len(set(names)) < len(names):
        raise ConfigError(f"{SETTINGS_PATH}{key}", f"two have one Name: {', '.join(names)}")
    return names


def _polled_from_local_agent(settings: Settings) -> Settings:
    """Converts settings under which endpoint lists are pushed to those that a node on sockets runs with.

    The lists are pushed to an agent on this machine, and the node polls the agent, immediately and at no cost
    (the protocol page, Discovery). So the polls need not be spread over time.
    """
    return replace(settings, endpoint_list_is_polled=True, poll_within_ns=0)
