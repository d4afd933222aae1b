"""Start the HTTP servers of the stand-ins."""

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.1


async def listen(
    application: web.Application, host: str, port: int
) -> tuple[web.AppRunner, str]:
    """Start to serve an application; return its runner, and its IP address and port."""
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
