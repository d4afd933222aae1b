"""Tells how much of its machine the process may use."""

import os
import resource

from ..bodies import DEFAULT_MEMORY_BYTES

# A limit that is not finite stands for this many.
MAX_DESCRIPTORS = 1_000_000
# Part of a machine's memory that a process may use if its settings do not tell: other
# processes run beside it.
MEMORY_FRACTION = 1 / 4


def usable_descriptors(n_allowed: int) -> int:
    """Return the descriptors that may be used.

    Args:
        n_allowed: The bound in the settings, or 0 for the process's own limit alone.
    """
    n_soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not 0 < n_soft < MAX_DESCRIPTORS:
        n_soft = MAX_DESCRIPTORS
    return min(n_soft, n_allowed) if n_allowed else n_soft


def usable_memory_bytes(n_allowed_bytes: int) -> int:
    """Return the memory that may be used.

    Args:
        n_allowed_bytes: The bound in the settings, or 0 for a part of the machine.
    """
    if n_allowed_bytes:
        return n_allowed_bytes
    n_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return max(DEFAULT_MEMORY_BYTES, int(n_bytes * MEMORY_FRACTION))
