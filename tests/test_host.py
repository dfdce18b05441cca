"""The simulator host's frame loop: end of input, invalid input, faults, and the instances."""

import io
import struct

import pytest
from test_wire import ARRIVAL, SETTINGS, frame

from puffinpost.simulator import event_decoder
from puffinpost.simulator import host as simhost


def create(inst: int, seed: int, text: bytes, offset: int = 0) -> bytes:
    return struct.pack(">BHQII", event_decoder.CREATE, inst, seed, offset, len(text))


def test_end_of_input_between_frames_exits_0_and_an_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    assert simhost.serve(io.BytesIO(frame() + frame()), sink) == 0
    assert sink.getvalue() == 2 * struct.pack(">II", 8, 0)


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        (frame()[:2], "input ends 2 bytes into"),
        (frame(ARRIVAL)[:30], "input ends 30 bytes into a frame of 72"),
        (struct.pack(">I", 3), "length 3 is shorter"),
        (frame(b"\xfa"), "unknown event code 250"),
    ],
)
def test_invalid_input_prints_one_error_line_and_gets_no_reply(
    raw: bytes, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.BytesIO()
    assert simhost.serve(io.BytesIO(raw), sink) != 0
    assert sink.getvalue() == b""
    err = capsys.readouterr().err
    assert message in err and err.count("\n") == 1


def test_invalid_setting_is_reported_as_a_fault_that_names_it() -> None:
    text = SETTINGS.replace("Rules.ColdFrom=0.13", "Rules.ColdFrom=some").encode()
    reply = simhost.Host().handle_batch(frame(create(4, 1, text), tail=text))
    assert reply[8] == 100 and b"Rules.ColdFrom" in reply


def test_exception_in_the_balancer_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    text = SETTINGS.encode()
    host = simhost.Host()
    host.handle_batch(frame(create(3, 1, text), tail=text))

    def raise_error(self: object, event: object, now_ns: int) -> list[object]:
        raise RuntimeError("boom")

    monkeypatch.setattr("puffinpost.balancing.balancer.Balancer.handle", raise_error)
    reply = host.handle_batch(frame(ARRIVAL))
    assert reply[8] == 100 and b"boom" in reply


def test_instance_that_is_recreated_in_one_batch_keeps_nothing_of_the_old_one() -> None:
    text = SETTINGS.encode()
    host = simhost.Host()
    host.handle_batch(frame(create(3, 1, text), tail=text))
    old = host.instances[3]
    reply = host.handle_batch(
        frame(ARRIVAL, struct.pack(">BH", event_decoder.RETIRE, 3), create(3, 2, text), tail=text)
    )
    assert host.instances[3] is not old
    assert host.instances[3].state.requests == {}
    assert struct.unpack(">II", reply[:8])[1] == 0  # no action of the old instance is sent for the new one


def test_instances_share_no_state() -> None:
    text = SETTINGS.encode()
    alone, together = simhost.Host(), simhost.Host()
    alone.handle_batch(frame(create(3, 9, text), tail=text))
    together.handle_batch(frame(create(3, 9, text), create(5, 8, text), tail=text))
    other = ARRIVAL[:1] + struct.pack(">H", 5) + ARRIVAL[3:]
    together.handle_batch(frame(other))
    assert alone.handle_batch(frame(ARRIVAL)) == together.handle_batch(frame(ARRIVAL))
