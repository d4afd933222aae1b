"""Tests of the arrangement of the code: decisions import no I/O and no encodings."""

import ast
import dataclasses
import importlib
import pkgutil
from pathlib import Path

import pytest

import rhubarbspan

SOURCE = Path(rhubarbspan.__file__).parent
DECISION_FILES = sorted(
    [
        *SOURCE.glob("systems/*.py"),
        *SOURCE.glob("tables/*.py"),
        *(SOURCE / f"{name}.py" for name in ("world", "tick", "inputs", "effects")),
    ]
)
FORBIDDEN = {"aiohttp", "grpc", "reactivex", "asyncio", "time", "socket"}
PLAIN_MODULES = [
    info.name
    for info in pkgutil.walk_packages([str(SOURCE)], "rhubarbspan.")
    if info.name != "rhubarbspan.__main__"
]


def imported_names(file: Path) -> set[str]:
    """List the first parts of the names of the modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            names.add((node.module or "").partition(".")[0])
    return names


@pytest.mark.parametrize("file", DECISION_FILES, ids=lambda file: file.stem)
def test_decisions_import_no_io_and_no_encoding(file: Path) -> None:
    assert not imported_names(file) & (FORBIDDEN | {"wire", "edge"})


@pytest.mark.parametrize("name", PLAIN_MODULES)
def test_data_classes_have_slots_and_modules_a_docstring(name: str) -> None:
    module = importlib.import_module(name)
    assert module.__doc__
    for value in vars(module).values():
        if isinstance(value, type) and dataclasses.is_dataclass(value):
            assert "__slots__" in vars(value), value
