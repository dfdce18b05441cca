"""The started program with settings of other deployments: it serves, migrates off a drain and ends."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import Deployment
from stand_ins import SETTINGS
from test_node import OPEN_LINE, accept_attempt, with_new_id
from test_reload import is_migrated

LIMITS: dict[str, Any] = SETTINGS["Limits"]
REPORT: dict[str, Any] = SETTINGS["Report"]
TENANTS = [{"Name": "a", "Share": 0.6, "QuotaPerS": 9.0}, {"Name": "b", "Share": 0.4, "QuotaPerS": 0.0}]
QUOTAS = {**SETTINGS["FamilyInfo"], "Groups": True, "TenantQuotaConnections": [40, 1]}
DEPLOYMENT_SETTINGS: dict[str, dict[str, Any]] = {
    "pushed lists": {"Discovery": "pushed", "Rules": {**SETTINGS["Rules"], "AskWithinNs": 0}},
    "groups and tenants": {"FamilyInfo": QUOTAS, "Tenants": TENANTS, "OverShareWorth": 0.1},
    "live weights, one attempt": {"Weights": "live", "Limits": {**LIMITS, "AttemptsCap": 1}},
    "no weights, no cancellation": {"Weights": "off", "Limits": {**LIMITS, "Cancel": False}},
    "health checks without a connection count": {
        "Limits": {**LIMITS, "Probes": True},
        "Report": {**REPORT, "Fields": ["x0", "tps", "mean_ms", "err_ps"]},
    },
    "no Retry-After": {"Limits": {**LIMITS, "RetryAfter": False, "MaxRetryAfterNs": 0}},
    "a large fleet of four zones": {"FleetSize": 200, "Dcs": ["a", "amman", "b", "c"], "Locality": 1},
    "no load report fields, no slow start": {
        "Report": {**REPORT, "Fields": []},
        "Rules": {**SETTINGS["Rules"], "ColdFrom": 1.0, "RampTimeNs": 0},
    },
}


@pytest.mark.parametrize("settings", DEPLOYMENT_SETTINGS.values(), ids=DEPLOYMENT_SETTINGS.keys())
def test_program_serves_with_settings_of_another_deployment(
    deployment: Deployment, settings: dict[str, Any]
) -> None:
    assert all(settings[key] != SETTINGS.get(key) for key in settings)
    node = deployment.start(settings=settings)
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    endpoint, upstream = accept_attempt(deployment.endpoints)
    # A health check is closed without a response, so it yields no load report.
    while not upstream.read_line().startswith(b"OPEN"):
        upstream.close()
        endpoint, upstream = accept_attempt(deployment.endpoints)
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    deployment.discovery.set_endpoint(
        f"s-{deployment.endpoints.index(endpoint)}", endpoint.address, "draining"
    )
    assert is_migrated(client)
    assert node.stop() == 0
