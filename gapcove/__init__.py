"""gapcove: decisions for a balancer of long-lived connections."""

from gapcove.rules import Balancer

__all__ = ["Balancer"]
