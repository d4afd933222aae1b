"""Runs the command line."""

import gc
import os
import signal
import sys

if __name__ == "__main__":
    is_server = sys.argv[1:2] in (["serve"], ["entry"])
    if is_server:
        # On the platform a server reloads its settings at SIGHUP. Before its handler is
        # set, and after it is removed, the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Modules create many objects that stay, which the collector would visit again
        # and again; a server enables it once its modules are loaded.
        gc.disable()

    # Imported here because it takes a while.
    from .cli import main

    status = main()
    if is_server:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Everything is closed. On a busy machine the end of the interpreter takes long
        # enough to meet the SIGKILL of a planned stop.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)
    sys.exit(status)
