"""Parsers of this project's own. Each is fed bytes, knows no socket, and bounds what it keeps."""
