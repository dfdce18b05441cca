"""Network addresses as configuration and discovery write them."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Parses ``HOST:PORT``. Raises ``ValueError``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
