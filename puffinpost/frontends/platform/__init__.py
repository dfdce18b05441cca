"""The frontend for the platform's line protocol. The runtime imports its two public classes from here."""

from puffinpost.frontends.platform.frontend import PlatformFrontend
from puffinpost.frontends.platform.session import PlatformSession

__all__ = ["PlatformFrontend", "PlatformSession"]
