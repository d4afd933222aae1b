"""Starts the HTTP servers of the stand-ins."""

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.1


async def listen(
    application: web.Application, host: str, port: int
) -> tuple[web.AppRunner, str]:
    """Run an application; return its runner, and IP number and port."""
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"
