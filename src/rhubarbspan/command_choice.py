"""Chooses the function that carries out a command."""

from argparse import Namespace

from . import commands


def choose_command(arguments: Namespace) -> commands.Command:
    """Return the function that runs the command of the parsed arguments."""
    match arguments.command, getattr(arguments, "action", ""):
        case "entry", _:
            return commands.run_entry
        case "serve", _:
            return commands.run_instance
        case "config", "check":
            return commands.check_config
        case "config", "diff":
            return commands.diff_config
        case "config", "show":
            return commands.show_config
        case "config", _:
            return commands.apply_config
        case "key", "grant":
            return commands.grant_key
        case "key", "withdraw":
            return commands.withdraw_key
        case "key", _:
            return commands.list_keys
        case "drain", _:
            return commands.start_drain
        case "undrain", _:
            return commands.end_drain
        case "shift", "start":
            return commands.start_shift
        case "shift", "watch":
            return commands.watch_shift
        case "shift", _:
            return commands.stop_shift
        case "status", _:
            return commands.show_status
        case "explain", _:
            return commands.explain_request
        case "report", _:
            return commands.report_burn
        case "demo", _ if arguments.platform:
            from . import platform_demo

            return platform_demo.run_platform_demo
        case command, _:
            # Imported here so that the operators' commands do not load the server.
            from . import demo

            return demo.run_standin if command == "standin" else demo.run_demo
