"""Output, file input and exit statuses of the commands."""

import sys
from argparse import Namespace
from pathlib import Path

import msgspec

from .document import Document
from .verdict import Failure
from .wire.ini import read_document

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


def print_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(text + "\n")


def print_error(text: str) -> None:
    """Write a line to standard error."""
    sys.stderr.write(text + "\n")


def print_result(arguments: Namespace, value: object, text: str) -> None:
    """Print a result as JSON if ``--json`` was given, else as text."""
    if arguments.json:
        print_line(msgspec.json.encode(value).decode())
    else:
        print_line(text)


def read_file(path: str) -> str | Failure:
    """Read a text file."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        return Failure("file", f"{path}: {reason}")


def load_document(path: str) -> tuple[Document, str] | Failure:
    """Read and parse a configuration file; also return its text."""
    text = read_file(path)
    if isinstance(text, Failure):
        return text
    document = read_document(text, path)
    if isinstance(document, Failure):
        return document
    if not document:
        # Publishing an empty configuration would remove every route.
        return Failure("empty", f"{path}: no sections; accepted: at least one")
    return document, text
