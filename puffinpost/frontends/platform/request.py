"""Translates an OPEN line of the platform's protocol into a request to the coordinator.

The platform and the MQTT frontends call it for each OPEN line. It never contacts an endpoint.
"""

from __future__ import annotations

from puffinpost.protocol import lines
from puffinpost.proxy.coordinator import MAX_CLIENT_TIMEOUT_MS, Coordinator
from puffinpost.proxy.exchange import SessionRequest
from puffinpost.units import MS


def build_session_request(
    coordinator: Coordinator, opening: lines.OpenRequest, client_address: tuple[str, int]
) -> SessionRequest:
    """Builds the request of an OPEN line.

    Raises ``LineError`` if the request class is unknown or the client's timeout is out of range.
    """
    request_class = coordinator.class_index(opening.request_class)
    if request_class is None:
        raise lines.LineError(f"class {opening.request_class[:40]!r} is unknown")
    # The limit does not apply to a client that reopens a connection which was established before this node
    # started (``at=``): it may wait for any time.
    if not 0 < opening.wait_ms <= MAX_CLIENT_TIMEOUT_MS and opening.requested_endpoint is None:
        raise lines.LineError(f"d={opening.wait_ms} is no time that a client waits")
    group = opening.group if coordinator.settings.groups_share_work else 0
    return SessionRequest(
        request_class,
        opening.wait_ms * MS,
        opening.key,
        group,
        opening.expected_load,
        opening.is_retry,
        opening.is_reconnect,
        client_address,
        opening.request_id,
        coordinator.tenant_index(opening.tenant),
    )
