"""Parsers and encoders of wire protocols. They work on bytes, do no I/O and limit the size of buffers."""
