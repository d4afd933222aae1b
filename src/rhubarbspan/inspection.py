"""Reads a configuration file of either form and collects all findings about it."""

from dataclasses import dataclass, field

from .checking import check_document
from .console import load_document, read_file
from .document import Document
from .document_rules import OWN_RULES, DocumentRules, TranslatedRules
from .findings import (
    Capacity,
    Finding,
    find_contradictions,
    find_differences,
    find_errors,
    find_unmatched,
    find_unused,
)
from .platform.configuration import list_unused_parts, translate_configuration
from .platform.settings import read_platform_settings
from .sections import Problem
from .verdict import Failure

JSON_START = "{"


@dataclass(slots=True)
class ReadFile:
    """A configuration file as a document.

    Attributes:
        unused: Reason for each part that the translation left out or replaced.
        rules: The rules for the form of the file.
    """

    document: Document
    unused: dict[str, str] = field(default_factory=dict)
    rules: DocumentRules = OWN_RULES


@dataclass(slots=True)
class Inspection:
    """The findings about a document, and its problems, which are findings too."""

    findings: list[Finding]
    problems: list[Problem]


def read_regions(path: str) -> dict[str, str] | Failure:
    """Return the regions of the data centres in the platform's settings file."""
    text = read_file(path)
    if isinstance(text, Failure):
        return text
    settings = read_platform_settings(text, path)
    return settings if isinstance(settings, Failure) else settings.regions


def read_either_form(path: str, regions: dict[str, str]) -> ReadFile | Failure:
    """Read an INI file or the platform's JSON, which starts with a brace.

    Args:
        path: The file.
        regions: Region of each data centre, which the JSON does not contain.
    """
    text = read_file(path)
    if isinstance(text, Failure):
        return text
    if not text.lstrip().startswith(JSON_START):
        loaded = load_document(path)
        return loaded if isinstance(loaded, Failure) else ReadFile(loaded[0])
    value = text.encode()
    translated = translate_configuration(value, regions)
    if isinstance(translated, Failure):
        return Failure(translated.code, f"{path}: {translated.reason}")
    unused = list_unused_parts(value)
    if isinstance(unused, Failure):
        return Failure(unused.code, f"{path}: {unused.reason}")
    unused |= translated.refused
    return ReadFile(translated.document, unused, TranslatedRules())


def inspect(
    file: ReadFile, capacities: dict[str, Capacity], in_force: Document | None
) -> Inspection:
    """Collect all findings about a file.

    Entries and limits are checked only if the document has no errors.

    Args:
        file: The file.
        capacities: Capacities by the names of pools, for those that are known.
        in_force: The document in force, or None to compare with none.
    """
    configuration, problems = check_document(file.document, rules=file.rules)
    findings = find_errors(problems) + find_unused(file.unused)
    if not problems:
        findings += find_unmatched(configuration)
        findings += find_contradictions(configuration, capacities)
    if in_force is not None:
        findings += find_differences(in_force, file.document)
    return Inspection(findings, problems)
