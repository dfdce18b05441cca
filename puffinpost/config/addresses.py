"""Parses addresses in configuration files; the error for an invalid one names its key."""

from __future__ import annotations

from puffinpost.address import parse_address
from puffinpost.config.errors import ConfigError

Address = tuple[str, int]


def address_of(value: str, key: str) -> Address:
    """Parses the value of a key, ``HOST:PORT``. Raises ``ConfigError``."""
    try:
        return parse_address(value)
    except ValueError as problem:
        raise ConfigError(key, str(problem)) from None


def optional_address_of(value: str, key: str) -> Address | None:
    """Parses the value of a key like ``address_of``. Returns None if it is empty."""
    return address_of(value, key) if value else None
