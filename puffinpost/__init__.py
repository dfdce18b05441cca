"""puffinpost: a load balancer for long-lived connections."""

from puffinpost.balancing.balancer import Balancer

__all__ = ["Balancer"]
