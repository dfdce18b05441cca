"""What is read out of the traces of a fleet."""

from __future__ import annotations

from pathlib import Path

from bench.told import Fleet

NOTIFIED = """\
0.100 puffinpost: the console is at 127.0.0.1:1
0.200 puffinpost: trace ms=1000 list CACHED a=READY@5 b=READY@0 c=READY@0
1.200 puffinpost: trace ms=2000 call ?after=1&wait_ms=3000 took_ms=900 200 size=10
1.200 puffinpost: trace ms=2000 list DELTA a=DRAINING@5
1.900 puffinpost: reload: discovery at 127.0.0.1:2, classes x
3.200 puffinpost: trace ms=4000 call ?after=2&wait_ms=500 took_ms=3000 200 size=10
3.300 puffinpost: trace ms=4100 call ?after=2&wait_ms=500 took_ms=80 200 size=10
3.300 puffinpost: trace ms=4100 list FULL b=READY@0
"""
NOT_NOTIFIED = """\
0.100 puffinpost: admin server listening address=127.0.0.1:1
0.200 puffinpost: trace ms=1000 list CACHED a=READY@5 b=READY@0 c=READY@0
1.500 puffinpost: trace ms=2400 n=1 id=0a StartAttempt at=a endpoint=1 timeout_ns=5
1.700 puffinpost: trace ms=2600 n=2 id=0b StartAttempt at=a endpoint=1 timeout_ns=5
1.700 puffinpost: trace ms=2601 n=2 id=0b AttemptEstablished at=a attempt=0 endpoint=1 elapsed_ns=5
1.800 puffinpost: trace ms=2700 n=3 id=0c StartAttempt at=a endpoint=1 timeout_ns=5
1.800 puffinpost: trace ms=2701 n=3 id=0c AttemptEnded at=a attempt=0 endpoint=1 result=CONNECT_FAILED
1.900 puffinpost: trace ms=2800 n=4 id=0d StartAttempt at=b endpoint=2 timeout_ns=5
3.900 puffinpost: trace ms=4800 n=5 id=0e StartAttempt at=c endpoint=3 timeout_ns=5
3.910 puffinpost: reload: configuration accepted discovery=127.0.0.1:2 classes=x needs_restart=none
4.000 puffinpost: trace ms=4900 list DELTA a=READY@9
4.600 puffinpost: trace ms=5500 call ?after=9&wait_ms=500 took_ms=400 200 size=10
4.900 puffinpost: trace ms=5800 n=6 id=0f StartAttempt at=a endpoint=1 timeout_ns=5
"""


def test_requests_are_late_by_what_any_node_knew(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text(NOTIFIED)
    (tmp_path / "n1.log").write_text(NOT_NOTIFIED)
    fleet = Fleet()
    for path in sorted(tmp_path.glob("*.log")):
        fleet.read(path)
    assert [(at, it.request_id, it.node, it.got_through) for at, it in fleet.late_requests()] == [
        (700, "0c", "n1", False),
        (700, "0e", "n1", True),
        (600, "0b", "n1", True),
    ]
    assert len(fleet.requests) == 6
    # The call that was out when n0 reloaded is another discovery's. n0 logs as earlier versions did.
    assert fleet.redirects_ms == [2100, 700]
