"""Follows discovery: the watch and the endpoint list. No I/O; `net/discovery_client` drives it."""
