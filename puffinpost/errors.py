"""The base class of the errors that this program raises deliberately.

Each package derives its own errors from it. Their text says what failed, and their fields say where: the key
of a setting, the peer or the endpoint. Any other exception is a defect, and is caught only at the boundaries
that contain the failure of one connection.
"""

from __future__ import annotations


class PuffinpostError(Exception):
    """An expected failure; its text is for operators."""
