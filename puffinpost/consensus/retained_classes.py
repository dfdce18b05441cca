"""Request classes that a version retains for nodes cut off from the majority, and rules that protect them.

A node without a lease cannot know whether newer versions exist. It may still start requests of the classes
that its last version retains (``kept.classes`` in the content), for ``kept.for_s`` after its lease expired.
This is safe only if a retained class is removed no earlier than ``for_s`` plus ``agree_within_ns`` after a
version that no longer retains it.
"""

from __future__ import annotations

from typing import Any

from puffinpost.consensus.documents import Document

NS_PER_S = 1_000_000_000
MAX_RETENTION_S = 86400


def classes_of(content: Any) -> frozenset[str]:
    """Returns the classes that a content allows."""
    classes = content.get("Classes", []) if isinstance(content, dict) else []
    return frozenset(str(entry.get("Name", "")) for entry in classes if isinstance(entry, dict))


def retained_classes_of(content: Any) -> tuple[frozenset[str], int]:
    """Returns the classes that a content retains, and for how long, in ns."""
    table = content.get("kept") if isinstance(content, dict) else None
    if not isinstance(table, dict):
        return frozenset(), 0
    names, for_s = table.get("classes", []), table.get("for_s", 0)
    if not isinstance(names, list) or not isinstance(for_s, int | float):
        return frozenset(), 0
    return frozenset(map(str, names)), int(for_s * NS_PER_S)


def retention_problem(content: Any) -> str:
    """Returns what is wrong with the ``kept`` table of a content, with its key; empty if it is valid."""
    table = content.get("kept") if isinstance(content, dict) else None
    if table is None:
        return ""
    if not isinstance(table, dict) or set(table) - {"classes", "for_s"}:
        return "kept: wants classes and for_s, nothing else"
    if not isinstance(table.get("classes"), list):
        return "kept.classes: wants a list of names"
    for_s = table.get("for_s")
    if not isinstance(for_s, int | float) or not 0 < for_s <= MAX_RETENTION_S:
        return "kept.for_s: wants seconds, over 0 and up to a day"
    classes = classes_of(content)
    missing = retained_classes_of(content)[0] - classes if classes else frozenset[str]()
    return f"kept.classes: {min(missing)} is not among the classes" if missing else ""


class RetainedClasses:
    """Tracks classes that may not be removed yet. Times are ns of this node's clock."""

    def __init__(self, agree_within_ns: int) -> None:
        self.agree_within_ns = agree_within_ns
        self.retained_until_ns: dict[str, int] = {}  # classes that the active version no longer retains

    def on_version_replaced(self, before: Any, after: Any, now: int) -> None:
        """Protects the classes that a version retained, counted from now: it was replaced now or earlier."""
        classes, duration_ns = retained_classes_of(before)
        for name in classes - retained_classes_of(after)[0]:
            until_ns = now + duration_ns + self.agree_within_ns
            self.retained_until_ns[name] = max(self.retained_until_ns.get(name, 0), until_ns)

    def restore(self, document: Document | None, now: int) -> None:
        """Restores the protection when this node becomes leader, as if all versions were replaced now."""
        if document is not None and document.active is not None:
            for version in document.previous:
                self.on_version_replaced(version.content, document.active.content, now)

    def violation(self, before: Any, after: Any, now: int) -> str:
        """Returns which retained class a proposal would remove, as text for operators; empty if none."""
        if not classes_of(before):
            return ""
        allowed = classes_of(after)
        for name in sorted(retained_classes_of(before)[0] - allowed):
            return f"Classes: {name} is kept by the version in force: stop keeping it first"
        for name in sorted(self.retained_until_ns):
            if self.retained_until_ns[name] > now and name not in allowed:
                remaining_s = (self.retained_until_ns[name] - now) / NS_PER_S
                return f"Classes: {name} was kept: not to be removed for {remaining_s:.0f} s more"
        return ""
