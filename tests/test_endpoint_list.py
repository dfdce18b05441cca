"""The endpoint list: ids, outdated lists, and lists with invalid entries."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import Deployment
from stand_ins import StandInEndpoint
from test_lifecycle_races import have_no_attempts, wait_for_endpoint_list
from test_node import OPEN_LINE, with_new_id
from test_reload import is_migrated

from puffinpost.balancing.events import EndpointStatus, ListUpdateKind
from puffinpost.discovery.endpoint_list import EndpointList, EndpointListError
from puffinpost.proxy.endpoint_directory import EndpointDirectory

ENTRY: dict[str, Any] = {
    "name": "s-1",
    "address": "10.1.0.18:9000",
    "zone": "a",
    "type": "m",
    "group": 0,
    "status": "up",
    "weight": 1.0,
    "since_ms": 0,
}
INVALID_FIELDS: dict[str, Any] = {
    "status": {"status": "resting"},
    "no status": {"status": None},
    "status in a list": {"status": ["up"]},
    "address": {"address": "nowhere"},
    "no address": {"address": None},
    "port": {"address": "10.1.0.1:90000"},
    "weight": {"weight": "heavy"},
    "start": {"since_ms": -1},
    "cell": {"group": None},
}


def answer(*entries: Any, full: bool = True, index: int = 1) -> dict[str, Any]:
    return {"index": index, "snapshot": full, "endpoints": list(entries)}


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("fault", INVALID_FIELDS)
def test_an_invalid_entry_does_not_affect_the_others(fault: str, full: bool) -> None:
    endpoint_list = EndpointList(("a",), ("m",))
    endpoint_list.apply(answer(ENTRY, {**ENTRY, "name": "s-2"}))
    other = {**ENTRY, "name": "s-2", "status": "draining"}
    event = endpoint_list.apply(answer({**ENTRY, **INVALID_FIELDS[fault]}, other, full=full, index=2))
    one, two = endpoint_list.find("s-1"), endpoint_list.find("s-2")
    assert one is not None and two is not None
    assert {line.endpoint: line.status for line in event.entries} == {
        one: EndpointStatus.REMOVED,
        two: EndpointStatus.DRAINING,
    }
    assert (
        not endpoint_list.accepts_new_work(one)
        and len(endpoint_list.invalid_entries) == 1
        and "s-1" in endpoint_list.invalid_entries[0]
    )
    endpoint_list.apply(answer(ENTRY, other, index=3))
    assert endpoint_list.accepts_new_work(one) and endpoint_list.invalid_entries == []


@pytest.mark.parametrize("entry", [7, None, [], {}, {"name": 7}, {**ENTRY, "name": None}])
def test_an_entry_without_a_name_is_skipped(entry: Any) -> None:
    endpoint_list = EndpointList(("a",), ("m",))
    assert (
        len(endpoint_list.apply(answer(entry, ENTRY)).entries) == 1
        and len(endpoint_list.invalid_entries) == 1
    )


@pytest.mark.parametrize("change", [{"index": "1"}, {"snapshot": 1}, {"endpoints": {}}])
def test_an_answer_that_is_not_a_list_has_no_effect(change: dict[str, Any]) -> None:
    endpoint_list = EndpointList(("a",), ("m",))
    with pytest.raises(EndpointListError):
        endpoint_list.apply({**answer(ENTRY), **change})
    assert endpoint_list.index == 0 and endpoint_list.statuses == {}


@pytest.mark.parametrize("fault", ["status", "address", "start"])
def test_a_drain_is_applied_although_another_entry_is_invalid(deployment: Deployment, fault: str) -> None:
    """The client of the draining endpoint is migrated; new clients are placed on the valid endpoint."""
    first, spare = deployment.endpoints
    node = deployment.start(endpoint_count=1)
    wait_for_endpoint_list(deployment.discovery)
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    attempt = first.accept()
    attempt.read_line()
    attempt.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    invalid, attempts = StandInEndpoint(), []
    with deployment.discovery.changed:
        deployment.discovery.set_endpoint("s-1", spare.address)
        deployment.discovery.set_endpoint("s-2", **{"address": invalid.address, **INVALID_FIELDS[fault]})
        deployment.discovery.set_endpoint("s-0", first.address, "draining")
    wait_for_endpoint_list(deployment.discovery)
    assert is_migrated(client)
    for _ in range(3):
        other = node.connect(with_new_id(OPEN_LINE % 3000))
        attempts.append(spare.accept())
        attempts[-1].read_line()
        attempts[-1].send(b"UP 2\r\n")
        assert other.read_line() == b"UP 2\r\n"
    assert have_no_attempts(first, invalid)
    assert (
        node.read_counters()["entries_spoilt"] >= 1
        and "endpoint list has invalid entries count=1 first=" in node.log_path.read_text()
    )
    assert "s-2" in node.log_path.read_text()


def test_ids_depend_on_the_name_alone_and_are_unique() -> None:
    one, two = EndpointList((), ()), EndpointList((), ())
    names = [{**ENTRY, "name": f"s-{n}"} for n in range(50)]
    one.apply({"index": 1, "snapshot": True, "endpoints": names})
    two.apply({"index": 9, "snapshot": True, "endpoints": names[::-1]})
    ids = [one.find(entry["name"]) for entry in names]
    assert ids == [two.find(entry["name"]) for entry in names]
    assert len(set(ids)) == 50 and all(number and 0 < number < 1 << 48 for number in ids)


def test_an_outdated_list_does_not_undo_a_drain() -> None:
    """A node may be redirected to a discovery whose list is older than that of the previous one."""
    endpoint_list = EndpointList((), ())

    def is_ready_after(index: int, status: str, since_ms: int, full: bool = True) -> bool:
        entry = {**ENTRY, "name": "s-0", "status": status, "since_ms": since_ms}
        endpoint_list.apply({"index": index, "snapshot": full, "endpoints": [entry]})
        return endpoint_list.accepts_new_work(endpoint_list.find("s-0") or 0)

    assert is_ready_after(9, "up", 5) and not is_ready_after(10, "draining", 5)
    assert not is_ready_after(8, "up", 5), "its index is lower: it is from before the drain"
    assert is_ready_after(9, "up", 5, False), "it is newer than the previous list: the drain was cancelled"
    assert not is_ready_after(10, "draining", 5) and is_ready_after(7, "up", 6), "the process has restarted"


def test_a_list_in_its_form_for_a_successor_is_the_same_list() -> None:
    first, second = EndpointList(("a",), ("m",)), EndpointList(("a",), ("m",))
    drained, other_zone = {**ENTRY, "name": "s-2", "since_ms": 1.7}, {**ENTRY, "name": "s-3", "zone": "b"}
    first.apply(answer(ENTRY, drained, other_zone, {**ENTRY, "name": "s-4"}, index=4))
    first.apply(answer({**drained, "status": "draining"}, full=False, index=5))
    first.apply(answer({"name": "s-4", "status": "removed"}, full=False, index=6))
    event = second.apply(first.snapshot(), cached=True)
    assert (second.index, second.statuses, second.invalid_entries) == (6, first.statuses, [])
    assert {second.name(each.endpoint): (each.zone, each.started_ns) for each in event.entries} == {
        "s-1": (0, 0),
        "s-2": (0, 1_700_000),
        "s-3": (1, 0),
        "s-4": (1, 0),  # its last entry had no zone
    }
    assert second.snapshot() == first.snapshot()


@pytest.mark.parametrize("own_index", [3, 9])
@pytest.mark.parametrize("restarted", [False, True])
def test_a_predecessors_later_drain_holds_beside_an_answer_of_discovery(
    own_index: int, restarted: bool
) -> None:
    directory = EndpointDirectory(EndpointList(("a",), ("m",)))
    own_entry = {**ENTRY, "since_ms": 50 if restarted else 0}
    directory.apply_list(answer(own_entry, index=own_index), cached=False)
    drained = {**ENTRY, "status": "draining"}
    update = directory.apply_predecessor_list(answer(drained, index=5), True)
    endpoint = directory.endpoint_list.identify("s-1")
    holds = own_index < 5 and not restarted
    assert directory.accepts_new_work(endpoint) is not holds
    told = [each.status for each in update.entries] if update is not None else []
    assert told == [EndpointStatus.DRAINING] * holds
    assert directory.endpoint_list.index == own_index


def test_a_predecessors_list_replaces_the_one_of_the_configuration() -> None:
    directory = EndpointDirectory(EndpointList(("a",), ("m",)))
    directory.apply_list(answer(ENTRY, {**ENTRY, "name": "s-2"}, index=9), cached=True)
    update = directory.apply_predecessor_list(answer({**ENTRY, "status": "draining"}, index=5), True)
    assert update is not None and update.kind is ListUpdateKind.CACHED and directory.is_current
    assert directory.endpoint_list.count() == 1 and directory.endpoint_list.index == 5
    assert not directory.accepts_new_work(directory.endpoint_list.identify("s-1"))
    assert not directory.accepts_new_work(directory.endpoint_list.identify("s-2"))
