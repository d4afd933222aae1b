"""The edge: servers, clients and the ticker, on asyncio and reactivex."""

import os

# The gRPC library logs each lost connection by itself; counters tell of them here.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
