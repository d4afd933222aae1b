"""Tells how long a process waited for its machine, for the messages of failed tests."""

from pathlib import Path

NS_PER_S = 1e9


def waited_s(pid: int) -> float:
    """Return how long a process was ready to run and did not, or 0 if not known."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS_PER_S
    except (OSError, IndexError, ValueError):
        return 0.0


def describe_machine() -> str:
    """Return the load, and how long tasks waited for memory and disks."""
    parts = [f"load {Path('/proc/loadavg').read_text().split()[0]}"]
    for name in ("memory", "io"):
        try:
            text = Path(f"/proc/pressure/{name}").read_text().splitlines()[0]
        except OSError:
            continue
        parts.append(f"{name} {text}")
    return "; ".join(parts)
