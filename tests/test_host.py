"""The frame loop: clean ends, broken input, faults, and the instance map."""

import io
import struct

import pytest
from test_wire import ARRIVAL, SETTINGS, frame

from puffinpost.simulator import event_decoder
from puffinpost.simulator import host as simhost


def create(inst: int, seed: int, text: bytes, offset: int = 0) -> bytes:
    return struct.pack(">BHQII", event_decoder.CREATE, inst, seed, offset, len(text))


def test_a_clean_end_exits_0_and_an_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    assert simhost.serve(io.BytesIO(frame() + frame()), sink) == 0
    assert sink.getvalue() == 2 * struct.pack(">II", 8, 0)


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (frame()[:2], "input ends 2 bytes into"),
        (frame(ARRIVAL)[:30], "input ends 30 bytes into a frame of 72"),
        (struct.pack(">I", 3), "length 3 is shorter"),
        (frame(b"\xfa"), "unknown event code 250"),
    ],
)
def test_broken_input_is_one_line_and_no_reply(
    raw: bytes, says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.BytesIO()
    assert simhost.serve(io.BytesIO(raw), sink) != 0
    assert sink.getvalue() == b""
    err = capsys.readouterr().err
    assert says in err and err.count("\n") == 1


def test_an_unreadable_setting_becomes_a_fault_that_names_it() -> None:
    text = SETTINGS.replace("Rules.ColdFrom=0.13", "Rules.ColdFrom=some").encode()
    reply = simhost.Host().handle_batch(frame(create(4, 1, text), tail=text))
    assert reply[8] == 100 and b"Rules.ColdFrom" in reply


def test_a_failure_of_the_decisions_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    text = SETTINGS.encode()
    host = simhost.Host()
    host.handle_batch(frame(create(3, 1, text), tail=text))

    def broken(self: object, event: object, now_ns: int) -> list[object]:
        raise RuntimeError("boom")

    monkeypatch.setattr("puffinpost.balancing.balancer.Balancer.handle", broken)
    reply = host.handle_batch(frame(ARRIVAL))
    assert reply[8] == 100 and b"boom" in reply


def test_kill_and_create_in_one_batch_leaves_nothing_of_the_old() -> None:
    text = SETTINGS.encode()
    host = simhost.Host()
    host.handle_batch(frame(create(3, 1, text), tail=text))
    old = host.instances[3]
    reply = host.handle_batch(
        frame(ARRIVAL, struct.pack(">BH", event_decoder.RETIRE, 3), create(3, 2, text), tail=text)
    )
    assert host.instances[3] is not old
    assert host.instances[3].state.requests == {}
    assert struct.unpack(">II", reply[:8])[1] == 0  # nothing the old one ordered is sent for the new one


def test_instances_do_not_change_each_other() -> None:
    text = SETTINGS.encode()
    alone, together = simhost.Host(), simhost.Host()
    alone.handle_batch(frame(create(3, 9, text), tail=text))
    together.handle_batch(frame(create(3, 9, text), create(5, 8, text), tail=text))
    other = ARRIVAL[:1] + struct.pack(">H", 5) + ARRIVAL[3:]
    together.handle_batch(frame(other))
    assert alone.handle_batch(frame(ARRIVAL)) == together.handle_batch(frame(ARRIVAL))
