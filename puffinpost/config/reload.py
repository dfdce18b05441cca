"""Reads the node's configuration file again on SIGHUP.

The result is the new configuration and the keys that need a restart; the runtime applies it.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from puffinpost.balancing.settings import Tenant
from puffinpost.config.addresses import Address, address_of
from puffinpost.config.errors import ConfigError
from puffinpost.config.node import Config, load
from puffinpost.config.shared_settings import merge_classes

# Values that only a restart can change: the key that operators see, and the field of `Config`.
_FIXED_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "descriptor_limit",
    "flows": "flow_export",
    "counts_every_s": "counters_interval_s",
    "console": "admin_address",
}
_PLACEMENT_FIELDS = ("balancer_index", "zone", "zone_count", "endpoint_type_count")  # of `Settings`
_PLACEMENT_KEYS = "the node's index and zone and the zones and kinds in settings"
_START_ONLY_KEY = "known"


def reload(current: Config, environ: Mapping[str, str] = os.environ) -> tuple[Config, list[str]]:
    """Reads the file again. Returns the new configuration, and the changed keys that need a restart.

    The environment of a process cannot change, so a new `discovery` in the file overrides ``GW_DISCOVERY``.
    Raises ``ConfigError`` for an invalid file, which then has no effect.
    """
    loaded = load(environ)
    _check_same_shape(current.raw, loaded.raw, "")
    discovery = _discovery_address(current, loaded)
    # `known` and the seed apply only at a start: since then, the node has received newer lists and drawn
    # random numbers from its seed.
    needs_restart = [
        key for key, field in _FIXED_FIELDS.items() if getattr(loaded, field) != getattr(current, field)
    ]
    placement = {field: getattr(current.settings, field) for field in _PLACEMENT_FIELDS}
    if _placement_changed(current, loaded, placement):
        needs_restart.append(_PLACEMENT_KEYS)
    classes = dict(zip(loaded.class_names, loaded.settings.classes, strict=True))
    merged = merge_classes(current, classes)
    settings = replace(
        loaded.settings, classes=tuple(merged.values()), tenants=_merge_tenants(current, loaded), **placement
    )
    reloaded = replace(
        current,
        discovery=discovery,
        discovery_in_file=loaded.discovery_in_file,
        raw=loaded.raw,
        settings=settings,
        class_names=tuple(merged),
        closed_classes=frozenset(merged.keys() - classes.keys()),
    )
    return reloaded, needs_restart


def _discovery_address(current: Config, loaded: Config) -> Address:
    if loaded.discovery_in_file == current.discovery_in_file:
        return current.discovery
    return address_of(loaded.discovery_in_file, "discovery")


def _placement_changed(current: Config, loaded: Config, placement: Mapping[str, Any]) -> bool:
    if (current.zones, current.endpoint_types) != (loaded.zones, loaded.endpoint_types):
        return True
    return any(getattr(loaded.settings, field) != value for field, value in placement.items())


def _merge_tenants(current: Config, loaded: Config) -> tuple[Tenant, ...]:
    """Returns the tenants in the order of their numbers, by which connections are counted.

    A tenant that the new file omits keeps its number and has no quota any more.
    """
    tenants = {tenant.name: Tenant(0.0, name=tenant.name) for tenant in current.settings.tenants}
    tenants |= {tenant.name: tenant for tenant in loaded.settings.tenants}
    return tuple(tenants.values())


def _check_same_shape(old: Any, new: Any, path: str) -> None:
    """Rejects a truncated or partly written file.

    It must have all keys of the file in force, each with a value of the same type. `known` may be missing,
    since it applies only at a start.
    """
    if old is None:
        return
    if _type_of(old) is not _type_of(new):
        problem = "is missing" if new is None else f"{new!r} is not of the same type as before"
        raise ConfigError(path, problem)
    prefix = f"{path}." if path else ""
    if isinstance(old, dict):
        for key, value in old.items():
            if key != _START_ONLY_KEY or path:
                _check_same_shape(value, new.get(key), f"{prefix}{key}")
    elif isinstance(old, list) and old and all(isinstance(item, dict) for item in old):
        common = {key: value for key, value in old[0].items() if all(key in item for item in old)}
        for number, item in enumerate(new):
            _check_same_shape(common, item, f"{prefix}{number}")


def _type_of(value: Any) -> type:
    return float if isinstance(value, int) and not isinstance(value, bool) else type(value)
