"""Tests of the single executable file, run outside the source tree."""

import subprocess
import sys
import time
from pathlib import Path

import pytest

from rhubarbspan.standins.deployment import free_address
from test_process import CONFIGURATION, ROOT, write_settings

pytestmark = pytest.mark.xdist_group("process")

BINARY = ROOT / "dist" / "rhubarbspan"


@pytest.fixture
def empty_home(tmp_path: Path) -> dict[str, str]:
    """Return an environment with a read-only home directory and no Python settings."""
    home = tmp_path / "home"
    home.mkdir(mode=0o500)
    return {"HOME": str(home), "PATH": "/usr/local/bin:/usr/bin:/bin"}


def start(folder: Path, home: dict[str, str], *arguments: str) -> subprocess.Popen[str]:
    """Start the executable in an empty folder."""
    interpreter = Path(sys.base_prefix) / "bin"
    environment = {**home, "PATH": f"{interpreter}:{home['PATH']}"}
    return subprocess.Popen(
        [str(BINARY), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=folder,
        env=environment,
    )


def children(pid: int) -> str:
    """List the child processes of a process."""
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().strip()


def test_executable_checks_a_configuration(
    tmp_path: Path, empty_home: dict[str, str]
) -> None:
    process = start(tmp_path, empty_home, "config", "check", str(CONFIGURATION))
    out, err = process.communicate(timeout=60)
    assert process.returncode == 0, err
    assert out.endswith("ok\n")


def test_executable_runs_a_daemon_as_one_process(
    tmp_path: Path, empty_home: dict[str, str]
) -> None:
    settings = write_settings(tmp_path, "127.0.0.1:9", free_address())
    process = start(tmp_path, empty_home, "entry", "--settings", str(settings))
    assert process.stderr is not None
    assert "listening on" in process.stderr.readline()
    time.sleep(1.0)
    assert process.poll() is None
    assert children(process.pid) == ""
    process.terminate()
    process.communicate(timeout=30)
    assert process.returncode == 0
