"""Reads the clock, for the edge only: decisions take ``now_s`` as an argument."""

import time


def read_clock_s() -> float:
    """Return the seconds since boot, including time in which the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
