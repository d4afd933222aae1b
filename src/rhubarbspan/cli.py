"""Parses the command line and runs the chosen command."""

import argparse
import asyncio
import getpass
import math
import sys

import logbook

from . import __version__
from .console import EXIT_FAILURE
from .findings import Capacity
from .record_checks import is_ip_and_port

DEFAULT_STORE = "127.0.0.1:8500"
DEFAULT_CONFIGURATION = "examples/parrilla.ini"


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="rhubarbspan",
        description="Steer requests across regions to backend servers.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    entry = _add_command(
        commands, "entry", "run an entry instance", "entry --settings entry.ini"
    )
    entry.add_argument("--settings", required=True, help="the daemon's settings file")
    serve = _add_command(
        commands, "serve", "run an instance on the platform", "serve --settings f.yaml"
    )
    serve.add_argument(
        "--settings",
        default="",
        help="settings file; by default the one that RHUBARBSPAN_SETTINGS names",
    )
    _add_config_commands(commands)
    _add_key_commands(commands)
    _add_drain_commands(commands)
    _add_shift_commands(commands)
    status = _add_command(
        commands, "status", "show the status of all instances", "status --json"
    )
    _add_store_options(status)
    _add_report_commands(commands)
    explain = _add_command(
        commands,
        "explain",
        "explain the outcome of a request from instances' logs",
        "explain 9c41d07be2a35f68 a.log b.log",
    )
    explain.add_argument(
        "request", help="identifier that the caller gave to the request"
    )
    explain.add_argument("files", nargs="+", help="log files; - for standard input")
    demo = _add_command(
        commands, "demo", "run a whole deployment for 20 seconds", "demo"
    )
    demo.add_argument("--config", default=None, help="configuration file to use")
    demo.add_argument(
        "--platform",
        action="store_true",
        help="run the platform's daemon beside stand-ins of the platform",
    )
    standin = _add_command(
        commands,
        "standin",
        "run the stand-ins of the platform and the backend servers",
        f"standin --config {DEFAULT_CONFIGURATION}",
    )
    standin.add_argument("--config", required=True, help="configuration file")
    standin.add_argument("--listen", default=DEFAULT_STORE, type=_parse_address)
    return parser


def _add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    text: str,
    example: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=f"example: rhubarbspan {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    return parser


def _parse_address(text: str) -> str:
    if not is_ip_and_port(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not an IP address and port")
    return text


def _parse_positive_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive number")
    return value


def _parse_capacity(text: str) -> tuple[str, Capacity]:
    pool, _, figures = text.rpartition("=")
    try:
        n_servers, n_slots, service_s = figures.split(":")
        capacity = Capacity(int(n_servers), int(n_slots), float(service_s))
    except ValueError:
        capacity = Capacity(0, 0, 0.0)
    is_finite = 0 < capacity.service_s < math.inf
    if not pool or capacity.n_servers < 1 or capacity.n_slots < 1 or not is_finite:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not POOL=SERVERS:SLOTS:SERVICE_S"
        )
    return pool, capacity


def _add_store_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--store",
        type=_parse_address,
        default=DEFAULT_STORE,
        help="address of the platform's store",
    )
    parser.add_argument(
        "--service",
        default="rhubarbspan",
        help="name of the service on the platform's list",
    )
    parser.add_argument(
        "--entry",
        type=_parse_address,
        action="append",
        default=[],
        help="address of an instance to query besides those on the platform's list",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    _add_store_options(parser)
    parser.add_argument(
        "--author", default=None, help="author recorded with the change"
    )
    parser.add_argument(
        "--wait",
        type=_parse_positive_number,
        default=0.0,
        metavar="SECONDS",
        help="wait up to SECONDS until the change is in force",
    )


def _add_config_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    example = "config apply parrilla.ini --wait 10"
    parser = _add_command(
        commands, "config", "check, compare, show and publish", example
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = _add_command(actions, "check", "check a file", "config check parrilla.ini")
    check.add_argument("file", help="INI file, or the platform's JSON")
    check.add_argument("--json", action="store_true", help="print JSON")
    check.add_argument(
        "--against", default="", metavar="FILE", help="show differences from this file"
    )
    check.add_argument(
        "--settings",
        default="",
        metavar="FILE",
        help="the platform's settings file, for the regions that JSON does not name",
    )
    check.add_argument(
        "--capacity",
        type=_parse_capacity,
        action="append",
        default=[],
        metavar="POOL=SERVERS:SLOTS:SERVICE_S",
        help="servers of a pool, slots of each and mean service time, to check rates",
    )
    diff = _add_command(
        actions,
        "diff",
        "compare with the accepted configuration",
        "config diff parrilla.ini",
    )
    diff.add_argument("file")
    _add_store_options(diff)
    _add_store_options(
        _add_command(
            actions, "show", "print the accepted configuration", "config show > now.ini"
        )
    )
    apply = _add_command(actions, "apply", "publish a file", example)
    apply.add_argument("file")
    apply.add_argument(
        "--base",
        type=int,
        default=None,
        help="revision that the file is based on, if its first line does not name it",
    )
    _add_change_options(apply)


def _add_key_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    parser = _add_command(
        commands,
        "key",
        "manage the keys of client accounts",
        "key grant hotel-le-morne",
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    grant = _add_command(
        actions, "grant", "create a key and print it once", "key grant hotel-le-morne"
    )
    grant.add_argument("account")
    _add_change_options(grant)
    withdraw = _add_command(
        actions, "withdraw", "withdraw a key", "key withdraw hotel-le-morne 3f9a1c"
    )
    withdraw.add_argument("account")
    withdraw.add_argument("hash", help="the first characters of the key's hash")
    _add_change_options(withdraw)
    listing = _add_command(
        actions, "list", "list hashes of keys", "key list hotel-le-morne"
    )
    listing.add_argument("account")
    _add_store_options(listing)


def _add_drain_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    for name, text in (
        ("drain", "take out of service"),
        ("undrain", "put back into service"),
    ):
        parser = _add_command(
            commands, name, text, f"{name} data_centre sur-a --wait 10"
        )
        kinds = ("instance", "backend_server", "data_centre")
        parser.add_argument("kind", choices=kinds)
        parser.add_argument("target")
        _add_change_options(parser)


def _add_shift_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    example = (
        "shift start move --pool catalogo --from centro --to sur --cap 20 --pace 0.5"
    )
    parser = _add_command(commands, "shift", "move traffic between regions", example)
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    start = _add_command(actions, "start", "start a shift", example)
    start.add_argument("name")
    start.add_argument("--pool", required=True)
    start.add_argument("--from", dest="from_region", required=True)
    start.add_argument("--to", dest="to_region", required=True)
    start.add_argument(
        "--cap", type=_parse_positive_number, required=True, help="requests/s"
    )
    start.add_argument(
        "--pace", type=_parse_positive_number, default=1.0, help="requests/s²"
    )
    start.add_argument("--fraction", type=_parse_positive_number, default=1.0)
    _add_change_options(start)
    watch = _add_command(
        actions, "watch", "show how many requests a shift has moved", "shift watch move"
    )
    watch.add_argument("name")
    _add_store_options(watch)
    stop = _add_command(actions, "stop", "stop a shift", "shift stop move")
    stop.add_argument("name")
    _add_change_options(stop)


def _add_report_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    example = "report burn --html burn.html"
    parser = _add_command(commands, "report", "reports", example)
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    burn = _add_command(actions, "burn", "service-level burn", example)
    burn.add_argument("--html", default="", help="also write an HTML page")
    _add_store_options(burn)


def main(argv: list[str] | None = None) -> int:
    """Parse the arguments and run the command.

    Returns:
        0 on success, 1 if the command failed or its change was not accepted, 2 for
        invalid arguments, settings or configuration.
    """
    arguments = build_parser().parse_args(argv)
    if getattr(arguments, "author", "") is None:
        arguments.author = getpass.getuser()
    # Imported here so that --help and invalid arguments do not load the servers.
    from . import command_choice

    command = command_choice.choose_command(arguments)
    with logbook.StreamHandler(sys.stderr, level=logbook.INFO).applicationbound():
        try:
            return asyncio.run(command(arguments))
        except KeyboardInterrupt:
            return EXIT_FAILURE
