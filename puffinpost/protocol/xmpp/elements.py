"""Parsed XML elements, and the patterns that match tags and attributes in raw XML."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

ATTRIBUTE = re.compile(rb"""\s+([^\s=/>]+)\s*=\s*("[^"]*"|'[^']*')""")
START_TAG = re.compile(rb"""<[^\s/>]+(?:\s+[^\s=/>]+\s*=\s*(?:"[^"]*"|'[^']*'))*\s*/?>""")
TAG_NAME = re.compile(rb"<[^\s/>]+")

_ESCAPED = str.maketrans({"&": "&amp;", "<": "&lt;", ">": "&gt;", "'": "&apos;", '"': "&quot;"})


def escape(text: str) -> str:
    """Escapes text for the content of an element or for an attribute value in single or double quotes."""
    return text.translate(_ESCAPED)


@dataclass(slots=True)
class Element:
    """An element: its namespace, name, attributes, children and text."""

    namespace: str
    name: str
    attributes: dict[str, str]
    children: list[Element] = field(default_factory=list)
    text: str = ""

    def child(self, namespace: str, name: str) -> Element | None:
        """Returns the first child with this namespace and name."""
        return next(
            (each for each in self.children if (each.namespace, each.name) == (namespace, name)), None
        )
