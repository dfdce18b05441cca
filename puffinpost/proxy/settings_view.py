"""The settings in force, with the names of request classes and tenants indexed by position.

The coordinator owns the only view in a process and replaces its content at a reload; its parts and the
frontends read it. It never parses a configuration file.
"""

from __future__ import annotations

from collections.abc import Sequence

from puffinpost.balancing.settings import Settings

# An echo is reported as slow if it takes longer than the strictest message latency objective divided by this.
SLOW_ECHO_DIVISOR = 3


class SettingsView:
    """The settings in force and the indexes built from them."""

    __slots__ = (
        "class_indexes",
        "class_names",
        "closed_classes",
        "settings",
        "slow_echo_ns",
        "tenant_indexes",
    )

    def __init__(
        self, settings: Settings, class_names: tuple[str, ...], closed_classes: frozenset[str] = frozenset()
    ) -> None:
        self.apply(settings, class_names, closed_classes)

    def apply(self, settings: Settings, class_names: tuple[str, ...], closed_classes: frozenset[str]) -> None:
        """Replaces the settings. ``class_names`` are in the order of ``settings.classes``."""
        self.settings = settings
        self.class_names = class_names
        self.class_indexes = _index_by_name(class_names)
        self.tenant_indexes = _index_by_name([tenant.name for tenant in settings.tenants])
        self.closed_classes = closed_classes  # by name; they accept no new request
        objectives_ns = [
            request_class.message_latency_objective_ns
            for request_class in settings.classes
            if request_class.message_latency_objective_ns > 0
        ]
        self.slow_echo_ns = min(objectives_ns) // SLOW_ECHO_DIVISOR if objectives_ns else 0  # 0: no limit

    def is_closed(self, request_class: int) -> bool:
        """Whether a class accepts no new request."""
        return self.class_names[request_class] in self.closed_classes

    def tenant_index(self, name: str | None) -> int:
        """The index of a tenant; one past the last if no tenant has this name."""
        unknown = len(self.settings.tenants)
        return unknown if name is None else self.tenant_indexes.get(name, unknown)

    def tenant_name(self, index: int) -> str | None:
        """The name of a tenant; None for an index past the last."""
        return next((tenant.name for tenant in self.settings.tenants[index:]), None)


def _index_by_name(names: Sequence[str]) -> dict[str, int]:
    """Indexes by name. A name in an opening line cannot contain a space or a comma: ``_`` replaces both."""
    escaped = {name.replace(" ", "_").replace(",", "_"): index for index, name in enumerate(names)}
    return {**escaped, **{name: index for index, name in enumerate(names)}}
