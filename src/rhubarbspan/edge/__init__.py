"""Servers, clients and the tick loop, on asyncio and reactivex."""

import os

# The gRPC library would log each lost connection; lost connections are counted instead.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
