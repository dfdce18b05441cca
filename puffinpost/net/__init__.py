"""Drivers on Tornado's IOStream: they read, write and close, and decide nothing."""
