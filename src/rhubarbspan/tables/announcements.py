"""The table of what backend servers said of themselves in responses."""

from dataclasses import dataclass


@dataclass(slots=True)
class AnnouncementRow:
    """What one incarnation of a backend server said.

    Attributes:
        server_id: The server.
        incarnation: Start time of its process in Unix milliseconds, or 0.
        leaving_said_s: When it last said that it is leaving, or None.
        paused_until_s: Until when it wants no requests from this instance.
        last_known_s: When it last said anything or was listed.
        is_listed_leaving: Whether its record said so last. That holds until the record
            says otherwise, or for the incarnation if the store is restored.
    """

    server_id: str
    incarnation: int
    leaving_said_s: float | None = None
    paused_until_s: float = -1e9
    last_known_s: float = -1e9
    is_listed_leaving: bool = False


class Announcements:
    """Announcements by server and incarnation.

    They are kept apart from the servers, whose rows are removed and added again when
    their records lapse in an outage of the store.
    """

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: dict[tuple[str, int], AnnouncementRow] = {}

    def get(self, server_id: str, incarnation: int) -> AnnouncementRow | None:
        """Return a row, or None."""
        return self._rows.get((server_id, incarnation))

    def get_or_create(self, server_id: str, incarnation: int) -> AnnouncementRow:
        """Return a row, creating it if there is none."""
        key = (server_id, incarnation)
        if key not in self._rows:
            self._rows[key] = AnnouncementRow(server_id, incarnation)
        return self._rows[key]

    def remove(self, row: AnnouncementRow) -> None:
        """Remove a row."""
        del self._rows[row.server_id, row.incarnation]

    def rows(self) -> list[AnnouncementRow]:
        """List all rows."""
        return list(self._rows.values())
