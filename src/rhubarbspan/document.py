"""Configuration documents, made of sections of keys and values, and their changes."""

from dataclasses import dataclass, field

DATA_CENTRE_PREFIX = "data_centre "
ROUTE_PREFIX = "route "

Section = dict[str, str]
Document = dict[str, Section]


@dataclass(slots=True)
class Change:
    """The difference between two consecutive revisions.

    Attributes:
        revision: The revision that this change produces.
        author: Name of the author of the change.
        change_id: Unique identifier chosen by the author's command. It shows whether a
            write took effect when the store's response was lost.
        replaced: Sections that were added or changed, in full.
        removed: Names of the sections that were removed.
    """

    revision: int
    author: str
    change_id: str
    replaced: Document = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Snapshot:
    """A complete document at one revision.

    Attributes:
        seats_revision: The newest revision that changed data centres, and so the seats
            among which limits are divided.
    """

    revision: int
    document: Document
    seats_revision: int = 0


def compare_documents(
    old: Document, new: Document, revision: int, author: str, change_id: str
) -> Change:
    """Return the change that turns ``old`` into ``new``.

    Example:
        >>> change = compare_documents({"a": {"x": "1"}}, {"b": {}}, 2, "ana", "c1")
        >>> change.replaced, change.removed
        ({'b': {}}, ['a'])
    """
    replaced = {name: body for name, body in new.items() if old.get(name) != body}
    removed = sorted(name for name in old if name not in new)
    return Change(revision, author, change_id, replaced, removed)


def apply_change(document: Document, change: Change) -> Document:
    """Return a new document with the change applied.

    Example:
        >>> apply_change({"a": {}}, Change(2, "ana", "c1", {"b": {"x": "1"}}, ["a"]))
        {'b': {'x': '1'}}
    """
    result = {k: v for k, v in document.items() if k not in change.removed}
    result.update(change.replaced)
    return result


def changes_data_centres(change: Change) -> bool:
    """Return whether a change adds, changes or removes a data centre's section."""
    titles = [*change.replaced, *change.removed]
    return any(title.startswith(DATA_CENTRE_PREFIX) for title in titles)


def apply_changes(snapshot: Snapshot, changes: list[Change]) -> Snapshot | None:
    """Apply consecutive changes to a snapshot.

    Changes up to the snapshot's revision are skipped.

    Returns:
        The new snapshot, or None if a revision between them is missing.
    """
    document = snapshot.document
    revision = snapshot.revision
    seats_revision = snapshot.seats_revision
    for change in sorted(changes, key=lambda change: change.revision):
        if change.revision <= revision:
            continue
        if change.revision != revision + 1:
            return None
        document = apply_change(document, change)
        revision = change.revision
        if changes_data_centres(change):
            seats_revision = revision
    return Snapshot(revision, document, seats_revision)
