"""The last request of a device. The session owns it, and hands it to the successor."""

from __future__ import annotations

from dataclasses import dataclass

from puffinpost.frontends.mqtt import topics

NO_REQUEST_ID = -1  # before the first request, also on the handover channel


@dataclass(slots=True)
class LastRequest:
    """The last request that was opened: the topic of its answer, and the answer once it is given."""

    request_id: int | None = NO_REQUEST_ID
    reply_topic: str = topics.ANSWER
    correlation_data: bytes | None = None
    answer: bytes = b""
