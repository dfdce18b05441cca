"""The platform's settings for a node of a local deployment or of a process cluster."""

from __future__ import annotations

from typing import Any

CLASS_NAME = "live-text"
PLATFORM_SETTINGS: dict[str, Any] = {
    "Me": 0,
    "FleetSize": 1,
    "Locality": 0,
    "Dcs": ["amman"],
    "Kinds": ["large"],
    "Classes": [
        {
            "Name": CLASS_NAME,
            "AimNs": 800_000_000,
            "HardLimitNs": 4_800_000_000,
            "Repeat": "safe",
            "Streaming": True,
            "Worth": 3.0,
        }
    ],
    "Discovery": "on_request",
    "FamilyInfo": {"MessageAimNs": [100_000_000], "Mode": "proxy"},
    "Limits": {
        "AttemptsCap": 5,
        "Cancel": True,
        "MaxRetryAfterNs": 2_000_000_000,
        "RetryAfter": True,
        "DialTimeoutNs": 200_000_000,
        "Probes": False,
    },
    "Report": {"Source": "on_probe", "Fields": ["x0", "concurrent"]},
    "RoundNs": 2_000_000,
    "Rules": {
        "DrainGraceNs": 500_000_000,
        "ColdFrom": 0.35,
        "RampTimeNs": 9_000_000_000,
        "FallMultiple": 3.0,
        "FallNs": 3_000_000_000,
        "AnswerSlackNs": 8_000_000,
        "AskWithinNs": 1_000_000_000,
    },
    "Weights": "nominal",
    "Tenants": [],
}
