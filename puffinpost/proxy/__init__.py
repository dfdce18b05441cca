"""Carries requests between clients and endpoints as the balancer decides. No I/O."""
