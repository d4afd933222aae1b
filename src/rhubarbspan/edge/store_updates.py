"""Translates between readings of the store and the messages that pass them on."""

from ..peer_messages import StoreItem, StoreUpdate
from ..platform.store import Item, Reading
from .differences import apply_items, digest_values
from .mirror import Mirror


def make_update(
    mirror: Mirror, changes: list[Item], after: int, next_within_s: float
) -> StoreUpdate:
    """Return the message that passes changes on, or a complete copy.

    Args:
        mirror: The copy, with the changes applied.
        changes: Changes after a revision, or all items.
        after: That revision, or 0.
        next_within_s: Time within which the next reading is promised.
    """
    items = [StoreItem(row.key, row.value, row.is_deleted) for row in changes]
    return StoreUpdate(
        mirror.prefix, after, mirror.revision, items, next_within_s, era=mirror.era
    )


def make_differences(
    mirror: Mirror, differences: list[Item], differs_from: int, next_within_s: float
) -> StoreUpdate:
    """Return the message that tells how a complete reading differs from the last copy.

    Versions that do not know of differences read the store themselves if they are
    behind ``after``. At just that revision they hold all that came before it, and may
    apply the items.

    Args:
        mirror: The copy, with the complete reading applied.
        differences: The differences.
        differs_from: Revision of the last copy.
        next_within_s: Time within which the next reading is promised.
    """
    update = make_update(mirror, differences, mirror.revision, next_within_s)
    update.differs_from = differs_from
    update.digest = digest_values(mirror.values)
    return update


def reading_of(update: StoreUpdate) -> Reading:
    """Return the reading that a message passes on."""
    items = [Item(row.key, row.value, row.is_deleted) for row in update.items]
    return Reading(items, update.revision, update.era)


def leads_to_digest(mirror: Mirror, reading: Reading, update: StoreUpdate) -> bool:
    """Return whether differences lead from a copy to the one of their sender.

    The digest decides, since the revision does not identify a copy: the pages of a
    complete reading may show changes after it. A copy that is newer than the one which
    the differences start from mostly has some of them already.
    """
    if mirror.copy_revision < update.differs_from:
        return False
    values = dict(mirror.values)
    apply_items(values, reading.items)
    return digest_values(values) == update.digest
