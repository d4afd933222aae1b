"""Tests that processes which run side by side get ports of their own."""

import subprocess
import sys

from test_process import ENVIRONMENT

N_ADDRESSES = 40
# Both processes begin with the same port.
TAKE_ADDRESSES = f"""
import os, sys
os.getpid = lambda: 1
from rhubarbspan.standins.deployment import free_address
print(*(free_address() for _ in range({N_ADDRESSES})), flush=True)
sys.stdin.read()
"""


# A port was given to another test while its process started or restarted. The process
# could not listen then, or callers of the one test reached the other's.
def test_addresses_are_not_given_out_twice_while_nobody_listens() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", TAKE_ADDRESSES],
            env=ENVIRONMENT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    found = []
    for process in processes:
        assert process.stdout is not None
        found += process.stdout.readline().split()
    for process in processes:
        process.communicate()
    assert len(set(found)) == len(found) == 2 * N_ADDRESSES
