"""The documentation agrees with the code: options, settings, reasons, commands."""

import doctest
import re
from pathlib import Path

import pytest

from conftest import KNOWN_RED, known_red
from rhubarbspan.cli import build_parser
from rhubarbspan.sections import OPTIONS
from rhubarbspan.settings import SECTIONS
from rhubarbspan.verdict import Reason
from rhubarbspan.wire.http import MAY_HAVE_RUN_STATUS, NOT_RUN_STATUS

DOCS = Path(__file__).parent.parent / "docs"


def test_example_of_embedding_runs() -> None:
    results = doctest.testfile(str(DOCS / "EMBEDDING.md"), module_relative=False)
    assert results.attempted > 10
    assert results.failed == 0


@pytest.mark.parametrize("kind", OPTIONS)
def test_every_option_is_documented_with_default_and_range(kind: str) -> None:
    text = (DOCS / "CONFIGURATION.md").read_text()
    section = text.split(f"### [{kind} NAME]")[1].split("###")[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    expected = [
        f"| `{option.key}` | {option.accepted} | "
        f"{'required' if option.default is None else option.default or 'none'} |"
        for option in OPTIONS[kind]
    ]
    assert [row.rsplit("|", 2)[0] + "|" for row in rows] == expected


def test_every_setting_is_documented() -> None:
    text = (DOCS / "CONFIGURATION.md").read_text()
    for section, keys in SECTIONS.items():
        assert f"`[{section}]`" in text
        for key in keys:
            assert f"`{key}`" in text


def test_every_reason_is_documented_for_callers() -> None:
    text = (DOCS / "CALLERS.md").read_text()
    for reason in Reason:
        assert f"`{reason.value}`" in text
    for statuses in (NOT_RUN_STATUS, MAY_HAVE_RUN_STATUS):
        for reason, status in statuses.items():
            if reason is not Reason.CANCELLED:
                row = next(r for r in text.splitlines() if r.startswith(f"| {status} "))
                assert f"`{reason.value}`" in row


def test_every_command_is_documented() -> None:
    text = (DOCS / "OPERATING.md").read_text() + (DOCS / ".." / "README.md").read_text()
    listed = re.search(r"\{?(entry.*)", build_parser().format_help())
    assert listed is not None
    for command in ("entry", "config", "key", "drain", "undrain", "shift", "status"):
        assert f"`{command}" in text or f"rhubarbspan {command}" in text


def test_known_faults_are_told_in_full() -> None:
    if not KNOWN_RED.exists():
        return
    blocks = KNOWN_RED.read_text().split("\n\n")[1:]
    assert len(blocks) == len(known_red())
    for block in blocks:
        fields = [line.partition(": ")[0] for line in block.strip().splitlines()]
        assert fields == ["test", "command", "seed", "seen", "issue"]
    for name in known_red():
        file, _, function = name.partition("::")
        text = (KNOWN_RED.parent / file).read_text()
        assert f"def {function.partition('[')[0]}(" in text
