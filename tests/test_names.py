"""Names in settings: classes, tenants and zones may have any name, and configurations share no state."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from conftest import Deployment
from stand_ins import SETTINGS, StandInDiscovery
from test_node import OPEN_LINE, establish_request, with_new_id

from puffinpost.config import ConfigError, load, reload
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.observability.counters import Counters
from puffinpost.proxy.coordinator import Coordinator

LIVE = SETTINGS["Classes"][0]
UNUSUAL_NAMES = ["", "null", "diktat-ü", "c=d", "safe", "a b,c", "x\rLimits.AttemptsCap=1", "\u2028", "d"]


def write_configuration(folder: Path, **settings: Any) -> dict[str, str]:
    """The environment of a node with these settings."""
    config = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "limits": {"sockets": 512},
        "settings": {**SETTINGS, **settings},
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    (folder / "edge.toml").write_text("")
    return {"GW_CONFIG": str(path), "GW_EDGE": str(folder / "edge.toml")}


@pytest.mark.parametrize("name", UNUSUAL_NAMES)
def test_name_is_used_verbatim(tmp_path: Path, name: str) -> None:
    tenants = [{"Name": name, "Fraction": 0.5}, {"Name": "other", "Fraction": 0.5}]
    config = load(
        write_configuration(
            tmp_path, Classes=[{**LIVE, "Name": name}], Dcs=[name, "b"], Kinds=[name], Tenants=tenants
        )
    )
    settings = config.settings
    assert config.class_names == (name,) and config.zones == (name, "b") and config.endpoint_types == (name,)
    assert (settings.zone_count, settings.endpoint_type_count, settings.max_attempts) == (2, 1, 5)
    assert [tenant.name for tenant in settings.tenants] == [name, "other"]


class StubPorts:
    """A clock that does not advance, and ports that do nothing."""

    def now(self) -> int:
        return 1

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def create_coordinator(folder: Path, **settings: Any) -> Coordinator:
    config = load(write_configuration(folder, **settings))
    ports: Any = StubPorts()
    return Coordinator(
        config.settings,
        config.class_names,
        1,
        EndpointList(config.zones, config.endpoint_types),
        ports,
        ports,
        Counters(),
    )


def test_tenant_is_found_by_name_and_an_unknown_one_has_no_quota(tmp_path: Path) -> None:
    tenants = [{"Name": name, "Fraction": 0.5} for name in ("zone", "farmácia x")]
    coordinator = create_coordinator(tmp_path, Tenants=tenants)
    assert [coordinator.tenant_index(tenant) for tenant in ("zone", "farmácia x", "farmácia_x")] == [0, 1, 1]
    assert coordinator.tenant_index("nobody") == coordinator.tenant_index(None) == 2
    assert create_coordinator(tmp_path, Tenants=[]).tenant_index("zone") == 0


def test_two_configurations_share_no_state(tmp_path: Path) -> None:
    configured = {
        "Classes": [{**LIVE, "Name": "a", "AimNs": 300_000_000, "HardLimitNs": 900_000_000}],
        "Dcs": ["p", "q", "r"],
        "Tenants": [{"Name": "t", "Fraction": 1.0}],
    }
    coordinator, default_coordinator = (
        create_coordinator(tmp_path, **configured),
        create_coordinator(tmp_path),
    )
    second_coordinator = create_coordinator(tmp_path, **configured)
    assert coordinator.settings == second_coordinator.settings != default_coordinator.settings
    assert (
        default_coordinator.settings_view.class_indexes,
        default_coordinator.settings_view.tenant_indexes,
    ) == (
        {"live-text": 0, "once": 1},
        {},
    )
    assert (
        coordinator.balancer.state.latency_objective_ns
        == second_coordinator.balancer.state.latency_objective_ns
        == 300_000_000
    )
    assert (
        default_coordinator.balancer.state.latency_objective_ns == 800_000_000
        and coordinator.endpoint_list.zones
        == (
            "p",
            "q",
            "r",
        )
    )


def test_reload_keeps_tenant_numbers(tmp_path: Path) -> None:
    """Connections are counted by these numbers. A tenant that is left out has no quota any more."""
    environ = write_configuration(
        tmp_path, Tenants=[{"Name": "a", "Fraction": 0.4}, {"Name": "b", "Fraction": 0.6}]
    )
    current = load(environ)
    write_configuration(tmp_path, Tenants=[{"Name": "c", "Fraction": 0.5}, {"Name": "b", "Fraction": 0.5}])
    after = reload(current, environ)[0].settings.tenants
    assert [(tenant.name, tenant.quota_share) for tenant in after] == [("a", 0.0), ("b", 0.5), ("c", 0.5)]
    write_configuration(tmp_path, Tenants=[{"Name": "b", "Fraction": 0.5}] * 2)
    with pytest.raises(ConfigError, match="Tenants"):
        reload(current, environ)


@pytest.mark.parametrize("name", ["", "diktat-ü", "c=d", "d"])
def test_class_of_any_name_is_served(deployment: Deployment, name: str) -> None:
    node = deployment.start(settings={"Classes": [{**LIVE, "Name": name}]})
    line = with_new_id(OPEN_LINE % 3000).replace(b"live-text", name.encode())
    assert establish_request(deployment, node.connect(line))


def test_pushed_lists_are_polled_before_the_first_client(deployment: Deployment) -> None:
    """The local agent's list counts as known from the start of the process, but `known` may be outdated."""
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address)
    old_snapshot = deployment.discovery.snapshot()
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    deployment.discovery.snapshot = lambda: old_snapshot  # type: ignore[method-assign]
    agent = StandInDiscovery()
    agent.index, agent.entries = deployment.discovery.index, dict(deployment.discovery.entries)
    deployment.discovery.listener, initial_snapshot = agent.listener, deployment.discovery.snapshot
    node = deployment.start(endpoint_count=0, settings={"Discovery": "pushed"})
    assert initial_snapshot()["endpoints"][0]["status"] == "up"
    client = node.connect(with_new_id(OPEN_LINE % 600))
    assert client.read_line().startswith(b"BUSY") and not deployment.endpoints[0].has_pending_connection()


EMPTY_SETTINGS: dict[str, Any] = {
    "Dcs": [],
    "Kinds": [],
    "Tenants": [],
    "FamilyInfo": {},
    "Report": {},
    "Fees": {},
}


@pytest.mark.parametrize("key", EMPTY_SETTINGS)
def test_null_settings_count_as_absent(tmp_path: Path, key: str) -> None:
    """Some JSON encoders write null for an empty list."""
    config = load(write_configuration(tmp_path, **{key: None}))
    assert config.settings == load(write_configuration(tmp_path, **{key: EMPTY_SETTINGS[key]})).settings


INVALID_SETTINGS = [
    ("FamilyInfo", {"MessageAimNs": ["inf"]}, "FamilyInfo.MessageAimNs"),
    ("FamilyInfo", [], "settings.FamilyInfo"),
    ("Report", "x0", "settings.Report"),
    ("Fees", 1, "settings.Fees"),
    ("Tenants", ["a"], "settings.Tenants"),
    ("Classes", [LIVE, None], "settings.Classes"),
    ("Tenants", {"Name": "a"}, "settings.Tenants"),
]


@pytest.mark.parametrize(("key", "value", "named_key"), INVALID_SETTINGS)
def test_invalid_setting_is_reported_at_start_and_reload(
    tmp_path: Path, key: str, value: Any, named_key: str
) -> None:
    current = load(write_configuration(tmp_path))
    environ = write_configuration(tmp_path, **{key: value})
    with pytest.raises(ConfigError, match=named_key):
        load(environ)
    with pytest.raises(ConfigError):
        reload(current, environ)
