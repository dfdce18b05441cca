"""Tests resumable sessions, their outbox and their registry without a frontend."""

from __future__ import annotations

import itertools

import pytest

from puffinpost.resumption.errors import AckError, RefusalReason, RegistryFullError, ResumeError
from puffinpost.resumption.limits import ResumptionLimits
from puffinpost.resumption.outbox import FIRST_WINDOW, Outbox
from puffinpost.resumption.registry import MAX_ENDED_SESSIONS, SessionRegistry
from puffinpost.resumption.sequence import MODULUS
from puffinpost.resumption.session import EndReason, ResumableSession, State
from puffinpost.resumption.snapshot import OutboxSnapshot

S = 1_000_000_000


def make_outbox(count: int, first: int = 0) -> Outbox:
    outbox = Outbox(first)
    for number in range(count):
        outbox.push("down", b"%d" % number)
    return outbox


@pytest.mark.parametrize("first", [0, MODULUS - 3])
def test_acknowledged_counts_wrap_and_invalid_ones_change_nothing(first: int) -> None:
    outbox = make_outbox(6, first)
    assert [entry.data for entry in outbox.take_due(5)] == [b"0", b"1", b"2", b"3", b"4"]
    assert len(outbox.acknowledge((first + 4) % MODULUS)) == 4
    assert outbox.acknowledge((first + 4) % MODULUS) == []
    # Lower than an earlier acknowledgement, or of messages that were never sent.
    for invalid in (first + 3, first + 6, first - 1, first + MODULUS // 2):
        with pytest.raises(AckError):
            outbox.acknowledge(invalid % MODULUS)
    assert len(outbox) == 2 and len(outbox.acknowledge((first + 5) % MODULUS)) == 1


def test_unacknowledged_messages_are_resent_in_order_before_new_ones() -> None:
    outbox = make_outbox(4)
    outbox.take_due(3)
    outbox.acknowledge(1)
    outbox.rewind()
    outbox.push("down", b"new")
    written = [(entry.data, entry.sends) for entry in outbox.take_due()]
    assert written == [(b"1", 2), (b"2", 2), (b"3", 1), (b"new", 1)]
    assert not outbox.replaying and len(outbox.acknowledge(5)) == 4 and outbox.octets == 0


def test_messages_of_an_earlier_connection_may_be_acknowledged_before_they_are_resent() -> None:
    outbox = make_outbox(40)
    outbox.take_due(30)
    outbox.rewind()
    assert len(outbox.take_due()) == FIRST_WINDOW
    with pytest.raises(AckError):
        outbox.acknowledge(31)
    assert len(outbox.acknowledge(25)) == 25
    outbox.rewind()
    restored = Outbox.restore(OutboxSnapshot.from_message(outbox.snapshot().to_message()))
    assert len(restored.acknowledge(28)) == 3 and restored.octets == 12 * (outbox.octets // 15)
    assert [entry.number for entry in restored.take_due()] == list(range(29, 41)) and not restored.replaying


def test_a_flapping_connection_is_resent_only_the_first_window_on_each_resumption() -> None:
    outbox = make_outbox(200)
    outbox.take_due()
    for _ in range(20):
        outbox.rewind()
        assert len(outbox.take_due()) == FIRST_WINDOW and outbox.is_window_full
    written = FIRST_WINDOW
    for acknowledged in range(1, 201):
        outbox.acknowledge(acknowledged)
        written += len(outbox.take_due())
    assert written == 200 and len(outbox) == 0


def test_releases_out_of_order_keep_the_acknowledged_count_correct() -> None:
    outbox = make_outbox(3)
    outbox.take_due()
    assert outbox.release(2) is not None and outbox.release(2) is None and outbox.acknowledged == 0
    outbox.release(1)
    assert outbox.acknowledged == 2 and [entry.number for entry in outbox.acknowledge(3)] == [3]


def test_a_session_allows_only_the_transitions_of_its_table() -> None:
    session = ResumableSession(1, "ada", "", ResumptionLimits(), S)
    for _ in range(40):
        session.push("down", b"x")
    session.take_due()
    first = session.generation
    assert session.detach(first, 5) and session.state is State.DETACHED and session.expires_ns == 5 + S
    assert session.take_due() == [] and not session.detach(first, 6)
    second = session.attach()
    assert session.has_connection and not session.detach(first, 7), (
        "a replaced connection cannot detach the session"
    )
    assert session.detach(second, 8) and session.attach() and session.end(EndReason.DONE) == 40
    assert session.push("down", b"y") is None and session.take_due() == []
    with pytest.raises(AssertionError):
        session.attach()


class RegistryHarness:
    """A registry whose random bytes come from a counter."""

    def __init__(self, **limits: int) -> None:
        random_numbers = itertools.count()
        self.counted_events: list[str] = []
        self.registry = SessionRegistry(
            ResumptionLimits(**limits),
            self.counted_events.append,
            lambda size: next(random_numbers).to_bytes(size, "big"),
        )

    def refusal(self, token: str, user: str, address: str = "a", now: int = 0) -> ResumeError:
        with pytest.raises(ResumeError) as raised:
            self.registry.find_by_token(token, user, address, now)
        return raised.value


def test_a_token_is_valid_only_for_its_user_and_a_refusal_reveals_nothing_to_others() -> None:
    harness = RegistryHarness()
    session = harness.registry.begin("ada")
    token = harness.registry.issue_token(session)
    assert len(token) == 48 and harness.registry.find_by_token(token, "ada", "a", 0) is session
    session.count_handled(7)
    errors = [
        harness.refusal(token, "eve"),
        harness.refusal("0" * 47 + "9", "ada"),
        harness.refusal("é" * 9999, "ada"),
    ]
    assert [(error.reason, error.handled_count) for error in errors] == [
        (RefusalReason.OTHER_USER, None),
        (RefusalReason.UNKNOWN, None),
        (RefusalReason.UNKNOWN, None),
    ]
    harness.registry.end(session)
    ended, foreign = harness.refusal(token, "ada"), harness.refusal(token, "eve")
    assert (ended.reason, ended.handled_count, foreign.handled_count) == (RefusalReason.ENDED, 7, None)
    other = harness.registry.begin("ada")
    old, new = harness.registry.issue_token(other), harness.registry.issue_token(other)
    assert harness.refusal(old, "ada").reason is RefusalReason.UNKNOWN and harness.registry.find_by_token(
        new, "ada", "a", 0
    )


def test_failed_resumptions_are_limited_per_address_in_bounded_memory() -> None:
    harness = RegistryHarness(refusals_per_minute=3)
    token = harness.registry.issue_token(harness.registry.begin("ada"))
    reasons = [harness.refusal("x", "eve", "bad", 0).reason for _ in range(5)]
    assert reasons == [RefusalReason.UNKNOWN] * 3 + [RefusalReason.THROTTLED] * 2
    assert harness.refusal(token, "ada", "bad", 0).reason is RefusalReason.THROTTLED
    assert harness.registry.find_by_token(token, "ada", "good", 0)
    assert harness.registry.find_by_token(token, "ada", "bad", 20 * S), (
        "the token bucket is refilled over a minute"
    )
    for number in range(10_000):
        harness.refusal("x", "eve", str(number), S)
    assert len(harness.registry._failed_attempts._buckets) <= 4096


def test_sessions_that_are_never_resumed_expire_after_the_grace_period() -> None:
    harness = RegistryHarness(sessions=2000, sessions_per_user=2000, grace_ns=30 * S)
    registry = harness.registry
    for number in range(2000):
        session = registry.begin("ada", f"device-{number}")
        session.push("answer", b"UP 1")
        registry.detach(session, session.generation, number)
    assert registry.detached_count == 2000 and registry.expire(30 * S - 1) == []
    assert len(registry.expire(30 * S + 999)) == 1000 and registry.detached_count == 1000
    assert len(registry.expire(31 * S)) == 1000 and registry.octets == 0 and not registry.sessions
    for _ in range(MAX_ENDED_SESSIONS + 10):
        ended = registry.begin("ada")
        registry.issue_token(ended)
        registry.end(ended)
    assert len(registry._ended) == MAX_ENDED_SESSIONS


def test_a_flapping_connection_schedules_one_expiry_check() -> None:
    registry = RegistryHarness(grace_ns=30 * S).registry
    session = registry.begin("ada")
    for cycle in range(600):
        registry.detach(session, session.generation, cycle * S // 20)
        registry.attach(session)
    assert len(registry._expiry_heap) == 1
    registry.detach(session, session.generation, 30 * S)
    assert registry.expire(31 * S) == [] and registry.expire(60 * S) == [session]
    session = registry.begin("ada")
    registry.detach(session, session.generation, 60 * S)
    registry.attach(session)
    session.grace_ns = S  # the client has requested a shorter grace period
    registry.detach(session, session.generation, 61 * S)
    assert registry.expire(62 * S) == [session]


class EvictionCounter:
    """Stands in for a ``SessionOwner`` and counts evictions."""

    def __init__(self) -> None:
        self.evictions = 0

    def on_session_evicted(self) -> None:
        self.evictions += 1


def test_the_session_detached_for_longest_is_evicted() -> None:
    harness = RegistryHarness(sessions=3, total_octets=65_536)
    registry = harness.registry
    one, two, three = (registry.begin("ada", name) for name in "abc")
    for each in (one, two, three):
        each.owner = EvictionCounter()
    with pytest.raises(RegistryFullError):
        registry.begin("ada")
    for now, each in enumerate((two, one)):
        registry.detach(each, each.generation, now)
    assert registry.begin("ada") and two.state is State.ENDED and two.owner.evictions == 1
    three.push("down", b"x" * 60_000)
    one.push("down", b"x" * 6_000)
    assert one.state is State.ENDED and one.end_reason is EndReason.EVICTED and registry.octets < 65_536
    three.push("down", b"x" * 60_000)
    assert three.state is State.ATTACHED, "an attached session is bounded by its own limit"
    assert registry.find_by_name("c", "ada") is three and registry.find_by_name("c", "eve") is None
    with pytest.raises(ValueError, match="session"):
        registry.begin("ada", "c")


def test_sessions_per_user_are_limited() -> None:
    harness = RegistryHarness(sessions_per_user=2)
    first, _second = harness.registry.begin("ada"), harness.registry.begin("ada")
    with pytest.raises(RegistryFullError):
        harness.registry.begin("ada")
    assert harness.registry.begin("bob")
    harness.registry.end(first)
    assert harness.registry.begin("ada")


def test_unacknowledged_messages_are_restored_from_a_snapshot() -> None:
    outbox = make_outbox(3, MODULUS - 1)
    outbox.take_due(2)
    restored = Outbox.restore(OutboxSnapshot.from_message(outbox.snapshot().to_message()))
    assert [(entry.data, entry.sends) for entry in restored.take_due()] == [(b"0", 2), (b"1", 2), (b"2", 1)]
    assert restored.octets == outbox.octets and len(restored.acknowledge(2)) == 3
    with pytest.raises((KeyError, TypeError, ValueError)):
        Outbox.restore(OutboxSnapshot.from_message({"acknowledged": 1, "last": 2, "entries": [["x"]]}))
