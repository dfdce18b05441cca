"""Changes to a configuration while the node runs that do not come from its own file.

They are the settings that all nodes agree on, and classes that only handed-over connections use.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from puffinpost.balancing.settings import RequestClass
from puffinpost.config.errors import ConfigError
from puffinpost.config.node import Config
from puffinpost.config.platform_settings import parse_settings

RETAINED_CLASSES_KEY = "kept"  # a key beside the settings in the document that all nodes agree on
NODE_SETTINGS = {"Me", "FleetSize", "Locality", "Dcs", "Kinds"}  # each node has its own values


def with_shared_settings(current: Config, content: Any) -> Config:
    """Returns the configuration with the settings that all nodes agree on, a subset of the platform's.

    The settings of this node alone stay as they are. Raises ``ConfigError`` with the key that is invalid.
    """
    if not isinstance(content, dict):
        raise ConfigError("settings", f"{content!r:.40} is not a table")
    shared = {key: value for key, value in content.items() if key != RETAINED_CLASSES_KEY}
    node_only = sorted(shared.keys() & NODE_SETTINGS)
    if node_only:
        raise ConfigError(f"settings.{node_only[0]}", "is each node's own, and not agreed on")
    settings, names = parse_settings({**current.raw.get("settings", {}), **shared})
    classes = dict(zip(names, settings.classes, strict=True))
    merged = merge_classes(current, classes)
    return replace(
        current,
        settings=replace(settings, classes=tuple(merged.values())),
        class_names=tuple(merged),
        closed_classes=frozenset(merged.keys() - classes.keys()),
    )


def with_closed_class(current: Config, name: str) -> Config:
    """Returns the configuration with a class added that accepts nothing new, for handed-over connections."""
    classes = (*current.settings.classes, current.settings.classes[0])
    return replace(
        current,
        settings=replace(current.settings, classes=classes),
        class_names=(*current.class_names, name),
        closed_classes=current.closed_classes | {name},
    )


def merge_classes(current: Config, classes: dict[str, RequestClass]) -> dict[str, RequestClass]:
    """Returns the current classes in their order, each with its new values, and the new classes after them.

    Connections are counted by the number of their class, so a class that is omitted keeps its number.
    """
    return {**dict(zip(current.class_names, current.settings.classes, strict=True)), **classes}
