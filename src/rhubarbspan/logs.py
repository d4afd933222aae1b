"""Log lines about changes of state, as text or as JSON, one object a line."""

import sys

import logbook
import msgspec

LOG_FORMATS = ("text", "json")


def create_log_handler(level: str, log_format: str) -> logbook.StreamHandler:
    """Make the handler of a daemon's log on standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(level))
    if log_format == "json":
        handler.formatter = format_json
    return handler


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Write a record as a JSON object: time, level, seat and message."""
    seat, _, message = record.message.partition(": ")
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "seat": seat if message else "",
        "message": message or record.message,
    }
    return msgspec.json.encode(line).decode()
