"""Writes the log as text or as JSON, one object a line."""

import sys

import logbook
import msgspec

LOG_FORMATS = ("text", "json")


def create_log_handler(level: str, log_format: str) -> logbook.StreamHandler:
    """Return a handler that writes the log to standard error.

    Args:
        level: The lowest level that is written.
        log_format: One of ``LOG_FORMATS``.
    """
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(level))
    if log_format == "json":
        handler.formatter = format_json
    return handler


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return a record as a JSON object with time, level, seat and message.

    The seat is the part of the message before the first colon.
    """
    seat, _, message = record.message.partition(": ")
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "seat": seat if message else "",
        "message": message or record.message,
    }
    return msgspec.json.encode(line).decode()
