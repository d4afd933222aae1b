"""The clock, read at the edge only; decisions take ``now_s`` as an argument."""

import time


def read_clock_s() -> float:
    """Read seconds since boot, including the time that the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
