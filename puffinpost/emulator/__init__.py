"""Emulated surroundings of a node, for tests, measurements and demonstrations."""
