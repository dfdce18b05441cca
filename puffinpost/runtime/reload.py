"""SIGHUP: reads the configuration again and applies what may change while the node runs.

Learned state and connections are kept. An invalid file changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost import config
from puffinpost.observability import log
from puffinpost.runtime.node_services import NodeServices


def reload_configuration(node: NodeServices, on_reloaded: Callable[[], None]) -> None:
    """Reads the configuration file again and applies it.

    ``on_reloaded`` is called after ``node.config`` was replaced and before it is applied; it may replace it.
    """
    try:
        node.config, needs_restart = config.reload(node.config)
    except config.ConfigError as problem:
        node.counters.add("cfg_invalid")
        log.info("reload: configuration rejected", reason=problem)
        return
    node.counters.add("cfg_accepted")
    on_reloaded()
    _log_reload(node.config, needs_restart)
    _apply(node)


def _log_reload(current: config.Config, needs_restart: list[str]) -> None:
    open_classes = (name for name in current.class_names if name not in current.closed_classes)
    log.info(
        "reload: configuration accepted",
        discovery=log.format_peer(current.discovery),
        classes=",".join(open_classes),
        needs_restart=",".join(needs_restart) or "none",
    )


def _apply(node: NodeServices) -> None:
    coordinator = node.coordinator

    def on_redirected() -> None:
        coordinator.endpoint_list.discovery_changed = True

    node.apply_configuration()
    redirect_ns = coordinator.balancer.poll_schedule.redirect_delay_ns()
    node.discovery_client.redirect(node.config.discovery, redirect_ns, on_redirected)
