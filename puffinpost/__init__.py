"""puffinpost: decisions for a balancer of long-lived connections."""

from puffinpost.rules import Balancer

__all__ = ["Balancer"]
