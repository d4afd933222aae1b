"""Reads the events of HTTP messages, with a bound on the work for one message."""

import h11

from ..bodies import wait_for_turn
from ..metering import PieceMeter
from .channel import Channel


class TooManyPiecesError(h11.RemoteProtocolError):
    """A message comes in more pieces than its payload justifies."""


def ready_event(parser: h11.Connection, meter: PieceMeter) -> object | None:
    """Return the next event of a message if that takes no waiting, else None.

    Raises:
        h11.RemoteProtocolError: If the bytes are no valid message.
    """
    if meter.ends_turn():
        return None
    event = parser.next_event()
    if event is h11.NEED_DATA:
        return None
    meter.record(len(event.data) if isinstance(event, h11.Data) else 0)
    return event


async def next_event(
    channel: Channel, parser: h11.Connection, meter: PieceMeter
) -> object:
    """Return the next event of a message; others run after a bounded number of events.

    Raises:
        ConnectionError: If the connection broke.
        h11.RemoteProtocolError: If the bytes are no valid message, or one whose pieces
            cost too much work.
    """
    while (event := parser.next_event()) is h11.NEED_DATA:
        if meter.n_pieces:
            # Behind its head, a message leaves at most part of a chunk's head here.
            channel.release()
        parser.receive_data(await channel.read())
    meter.record(len(event.data) if isinstance(event, h11.Data) else 0)
    failure = await wait_for_turn(meter)
    if failure is not None:
        raise TooManyPiecesError(failure.reason)
    return event
