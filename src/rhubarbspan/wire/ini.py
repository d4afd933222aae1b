"""Reads and writes configuration documents as INI text."""

import configparser

from ..document import Document
from ..verdict import Failure


def read_document(text: str, file: str) -> Document | Failure:
    """Parse INI text.

    Returns:
        The document, or a failure whose reason is one line with file, line and cause.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section="\0",
        strict=True,
        comment_prefixes=("#", ";"),
    )
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        return Failure("malformed", f"{file}: {reason}")
    return {title: dict(parser.items(title)) for title in parser.sections()}


def write_document(document: Document) -> str:
    """Write a document as INI text, sections sorted by title.

    Example:
        >>> print(write_document({"pool a": {"ramp_s": "3"}}))
        [pool a]
        ramp_s = 3
        <BLANKLINE>
    """
    lines: list[str] = []
    for title in sorted(document):
        lines.append(f"[{title}]")
        lines.extend(f"{key} = {value}" for key, value in document[title].items())
        lines.append("")
    return "\n".join(lines)
