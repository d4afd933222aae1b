"""The operators' commands, each a function that returns an exit status."""

import gc
import os
import secrets
import sys
from argparse import Namespace
from collections.abc import Callable, Coroutine
from pathlib import Path

import logbook

from .console import (
    EXIT_FAILURE,
    EXIT_SUCCESS,
    EXIT_USAGE,
    load_document,
    print_error,
    print_line,
    print_result,
    read_file,
)
from .document import Document, compare_documents
from .edge.store import HttpStore
from .edits import (
    Edit,
    EndDrain,
    GrantKey,
    StartDrain,
    StartShift,
    StopShift,
    WithdrawKey,
    apply_edit,
    list_key_hashes,
)
from .findings import Severity, worst_severity
from .fleet_client import (
    Target,
    fetch_history,
    fetch_status,
    find_instances,
    wait_until_in_force,
)
from .inspection import Inspection, inspect, read_either_form, read_regions
from .logs import create_log_handler
from .publishing import (
    Applied,
    ApplyResult,
    Rejected,
    StoredConfiguration,
    Superseded,
    apply_document,
    read_stored,
)
from .report.burn import build_burn_report
from .report.explain import collect_trace, describe_trace
from .report.page import write_burn_page
from .report.text import format_burn, format_status, format_wait
from .settings import read_settings
from .verdict import Failure
from .wire.http import hash_key
from .wire.ini import write_document

KEY_BYTES = 24
MAX_EDIT_ATTEMPTS = 8
NO_INSTANCE_MESSAGE = "no instance is on the platform's list; name one with --entry"
REVISION_PREFIX = "# revision "

Command = Callable[[Namespace], Coroutine[None, None, int]]


def _load_configuration(arguments: Namespace) -> tuple[Document, str] | None:
    """Return the parsed file and its text, or print an error and return None."""
    loaded = load_document(arguments.file)
    if isinstance(loaded, Failure):
        print_error(loaded.reason)
        return None
    return loaded


async def _read_accepted(arguments: Namespace) -> StoredConfiguration | None:
    """Return the accepted configuration, or print an error and return None."""
    store = HttpStore(arguments.store)
    stored = await read_stored(store)
    await store.close()
    if isinstance(stored, Failure):
        print_error(stored.reason)
        return None
    return stored


async def _find_targets(arguments: Namespace) -> list[Target] | None:
    """List the instances to query, or print an error and return None."""
    store = HttpStore(arguments.store)
    targets = await find_instances(store, arguments.service, arguments.entry)
    await store.close()
    if isinstance(targets, Failure):
        print_error(targets.reason)
        return None
    if not targets:
        print_error(NO_INSTANCE_MESSAGE)
        return None
    return targets


def _enable_collector() -> None:
    """Let the garbage collector run, without the objects that exist by now.

    Those are the modules' and stay until the process exits. A collection of all of
    them takes some 40 ms.
    """
    if not gc.isenabled():
        gc.freeze()
        gc.enable()


async def run_entry(arguments: Namespace) -> int:
    """Run an entry instance."""
    text = read_file(arguments.settings)
    if isinstance(text, Failure):
        print_error(text.reason)
        return EXIT_USAGE
    settings = read_settings(text, arguments.settings)
    if isinstance(settings, Failure):
        print_error(settings.reason)
        return EXIT_USAGE
    # Imported here so that the operators' commands do not load the server.
    from .edge.daemon import serve

    _enable_collector()
    silent = logbook.NullHandler()
    log = create_log_handler(settings.log_level, settings.log_format)
    with silent.applicationbound(), log.applicationbound():
        failure = await serve(settings)
    if failure is not None:
        print_error(failure.reason)
        return EXIT_FAILURE
    return EXIT_SUCCESS


async def run_instance(arguments: Namespace) -> int:
    """Run an instance on the platform."""
    # Imported here so that the operators' commands do not load the server.
    from .edge.instance import serve
    from .platform.settings import DEFAULT_PATH, PATH_VARIABLE

    _enable_collector()
    path = arguments.settings or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    with logbook.NullHandler().applicationbound():
        failure = await serve(path)
    if failure is None:
        return EXIT_SUCCESS
    print_error(failure.reason)
    return EXIT_FAILURE if failure.code == "listen" else EXIT_USAGE


async def explain_request(arguments: Namespace) -> int:
    """Explain the outcome of a request from the lines of log files."""
    log_lines: list[str] = []
    for path in arguments.files:
        text = sys.stdin.read() if path == "-" else read_file(path)
        if isinstance(text, Failure):
            print_error(text.reason)
            return EXIT_USAGE
        log_lines += text.splitlines()
    trace = collect_trace(arguments.request, log_lines)
    for line in describe_trace(trace):
        print_line(line)
    return EXIT_SUCCESS if trace.lines else EXIT_FAILURE


async def check_config(arguments: Namespace) -> int:
    """Check a configuration file; the status is 1 for warnings and 2 for errors."""
    regions = read_regions(arguments.settings) if arguments.settings else {}
    if isinstance(regions, Failure):
        print_error(regions.reason)
        return EXIT_USAGE
    file = read_either_form(arguments.file, regions)
    if isinstance(file, Failure):
        print_error(file.reason)
        return EXIT_USAGE
    in_force = (
        read_either_form(arguments.against, regions) if arguments.against else None
    )
    if isinstance(in_force, Failure):
        print_error(in_force.reason)
        return EXIT_USAGE
    capacities = dict(arguments.capacity)
    inspection = inspect(file, capacities, in_force.document if in_force else None)
    _print_inspection(arguments, inspection)
    match worst_severity(inspection.findings):
        case Severity.ERROR:
            return EXIT_USAGE
        case Severity.WARNING:
            return EXIT_FAILURE
        case Severity.INFO:
            return EXIT_SUCCESS


def _print_inspection(arguments: Namespace, inspection: Inspection) -> None:
    """Print errors to standard error, and what else was found as text or JSON."""
    for problem in inspection.problems:
        print_error(problem.describe(arguments.file))
    findings = inspection.findings
    is_ok = worst_severity(findings) is Severity.INFO
    lines = [
        f"{arguments.file}: {finding.severity.value}: {finding.kind.value}: "
        f"{finding.where}: {finding.text}"
        for finding in findings
        if finding.severity is not Severity.ERROR
    ]
    lines.append(f"{arguments.file}: {'ok' if is_ok else 'not ok'}")
    value = {"ok": is_ok, "findings": findings}
    print_result(arguments, value, "\n".join(lines))


async def show_config(arguments: Namespace) -> int:
    """Print the accepted configuration with its revision."""
    stored = await _read_accepted(arguments)
    if stored is None:
        return EXIT_FAILURE
    text = write_document(stored.snapshot.document)
    header = f"{REVISION_PREFIX}{stored.head.revision} by {stored.head.author or '-'}"
    print_result(arguments, stored.snapshot, f"{header}\n{text}")
    return EXIT_SUCCESS


async def diff_config(arguments: Namespace) -> int:
    """Print how a file differs from the accepted configuration."""
    loaded = _load_configuration(arguments)
    if loaded is None:
        return EXIT_USAGE
    stored = await _read_accepted(arguments)
    if stored is None:
        return EXIT_FAILURE
    old = stored.snapshot.document
    change = compare_documents(old, loaded[0], stored.head.revision + 1, "", "")
    lines = [f"- [{title}]" for title in change.removed]
    for title, body in change.replaced.items():
        before = old.get(title, {})
        lines.append(f"{'~' if title in old else '+'} [{title}]")
        for key in sorted(before.keys() | body.keys()):
            if before.get(key) != body.get(key):
                lines.append(f"    {key}: {before.get(key)} -> {body.get(key)}")
    print_result(arguments, change, "\n".join(lines) or "no difference")
    return EXIT_SUCCESS


async def apply_config(arguments: Namespace) -> int:
    """Publish a configuration file on top of the revision that it names."""
    loaded = _load_configuration(arguments)
    if loaded is None:
        return EXIT_USAGE
    document, text = loaded
    base = arguments.base
    if base is None:
        base = _base_revision(text)
    store = HttpStore(arguments.store)
    try:
        result = await apply_document(store, document, arguments.author, base)
        return await _report_result(arguments, store, result, base)
    finally:
        await store.close()


def _base_revision(text: str) -> int:
    """Return the revision in the first line, written by ``config show``, or 0."""
    first = text.partition("\n")[0]
    if not first.startswith(REVISION_PREFIX):
        return 0
    number = first[len(REVISION_PREFIX) :].split()[0]
    return int(number) if number.isdigit() else 0


async def _report_result(
    arguments: Namespace, store: HttpStore, result: ApplyResult, base: int
) -> int:
    """Print the result of a change, wait for it if asked to, and return the status."""
    match result:
        case Applied(revision=revision):
            if not arguments.wait:
                print_result(arguments, result, f"revision {revision} accepted")
                return EXIT_SUCCESS
            return await _wait_until_in_force(arguments, store, revision)
        case Superseded(revision=revision, author=author):
            print_error(await _describe_conflict(store, base, revision, author))
            return EXIT_FAILURE
        case Rejected(problems=problems):
            name = getattr(arguments, "file", "configuration")
            for problem in problems:
                print_error(problem.describe(name))
            return EXIT_USAGE
        case Failure(reason=reason):
            print_error(reason)
            return EXIT_FAILURE


async def _describe_conflict(
    store: HttpStore, base: int, revision: int, author: str
) -> str:
    """Describe the changes accepted since the revision that the change is based on."""
    text = (
        f"conflict: based on revision {base}, "
        f"but revision {revision} by {author} is accepted"
    )
    stored = await read_stored(store)
    if isinstance(stored, Failure):
        return text
    lines = [text]
    for change in stored.changes:
        if change.revision > base:
            titles = ", ".join(f"[{t}]" for t in [*change.replaced, *change.removed])
            lines.append(f"  revision {change.revision} by {change.author}: {titles}")
    return "\n".join(lines)


async def _wait_until_in_force(
    arguments: Namespace, store: HttpStore, revision: int
) -> int:
    targets = await find_instances(store, arguments.service, arguments.entry)
    if isinstance(targets, Failure):
        print_error(f"revision {revision} accepted; {targets.reason}")
        return EXIT_FAILURE
    if not targets:
        print_error(f"revision {revision} accepted; {NO_INSTANCE_MESSAGE}")
        return EXIT_FAILURE
    if sys.stderr.isatty():
        print_error(
            f"revision {revision} accepted; waiting for {len(targets)} instances"
        )
    result = await wait_until_in_force(targets, revision, arguments.wait)
    print_result(arguments, result, format_wait(revision, result))
    is_done = not result.behind and not result.not_asked
    return EXIT_SUCCESS if is_done else EXIT_FAILURE


async def _publish_edit(arguments: Namespace, edit: Edit, note: str = "") -> int:
    """Read, edit and publish; retry if another change was accepted in between."""
    store = HttpStore(arguments.store)
    try:
        result: ApplyResult = Superseded(0, "")
        base = 0
        for _ in range(MAX_EDIT_ATTEMPTS):
            stored = await read_stored(store)
            if isinstance(stored, Failure):
                print_error(stored.reason)
                return EXIT_FAILURE
            document = apply_edit(stored.snapshot.document, edit)
            if isinstance(document, Failure):
                print_error(document.reason)
                return EXIT_FAILURE
            base = stored.head.revision
            result = await apply_document(store, document, arguments.author, base)
            if not isinstance(result, Superseded):
                break
        if note and isinstance(result, Applied):
            print_line(note)
        return await _report_result(arguments, store, result, base)
    finally:
        await store.close()


async def grant_key(arguments: Namespace) -> int:
    """Create a key, publish its hash, and print the key, which is not stored."""
    key = secrets.token_urlsafe(KEY_BYTES)
    key_hash = hash_key(key)
    note = f"key (shown only now): {key}\nhash: {key_hash}"
    return await _publish_edit(arguments, GrantKey(arguments.account, key_hash), note)


async def withdraw_key(arguments: Namespace) -> int:
    """Withdraw a key."""
    return await _publish_edit(
        arguments, WithdrawKey(arguments.account, arguments.hash)
    )


async def list_keys(arguments: Namespace) -> int:
    """List the hashes of a client account's keys."""
    stored = await _read_accepted(arguments)
    if stored is None:
        return EXIT_FAILURE
    hashes = list_key_hashes(stored.snapshot.document, arguments.account)
    if isinstance(hashes, Failure):
        print_error(hashes.reason)
        return EXIT_FAILURE
    print_result(arguments, hashes, "\n".join(hashes) or "no keys")
    return EXIT_SUCCESS


async def start_drain(arguments: Namespace) -> int:
    """Drain an instance, a backend server or a data centre."""
    return await _publish_edit(arguments, StartDrain(arguments.kind, arguments.target))


async def end_drain(arguments: Namespace) -> int:
    """End the drain of an instance, a backend server or a data centre."""
    return await _publish_edit(arguments, EndDrain(arguments.kind, arguments.target))


async def start_shift(arguments: Namespace) -> int:
    """Start a planned shift."""
    shift = StartShift(
        arguments.name,
        arguments.pool,
        arguments.from_region,
        arguments.to_region,
        arguments.cap,
        arguments.pace,
        arguments.fraction,
    )
    return await _publish_edit(arguments, shift)


async def stop_shift(arguments: Namespace) -> int:
    """Stop a planned shift."""
    return await _publish_edit(arguments, StopShift(arguments.name))


async def watch_shift(arguments: Namespace) -> int:
    """Show how many requests a shift has moved."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILURE
    status = await fetch_status(targets)
    moved = {
        row.seat: planned.n_moved
        for row in status.instances
        for planned in row.planned
        if planned.kind == "shift" and planned.name == arguments.name
    }
    if not moved:
        print_error(f"no instance has a shift {arguments.name} in force")
        return EXIT_FAILURE
    lines = [f"{seat}: {n_moved} requests moved" for seat, n_moved in moved.items()]
    lines.append(f"all: {sum(moved.values())} requests moved")
    lines += [f"{name}: could not be asked" for name in status.not_asked]
    print_result(arguments, moved, "\n".join(lines))
    return EXIT_SUCCESS


async def show_status(arguments: Namespace) -> int:
    """Show the status of all instances."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILURE
    status = await fetch_status(targets)
    print_result(arguments, status, format_status(status))
    return EXIT_SUCCESS if status.instances else EXIT_FAILURE


async def report_burn(arguments: Namespace) -> int:
    """Report how fast the routes spend their error budgets."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILURE
    summaries, not_asked = await fetch_history(targets)
    report = build_burn_report(summaries, not_asked)
    if arguments.html:
        try:
            write_burn_page(report, Path(arguments.html))
        except OSError as error:
            print_error(f"{arguments.html}: {error.strerror}")
            return EXIT_FAILURE
    print_result(arguments, report, format_burn(report))
    return EXIT_SUCCESS if summaries else EXIT_FAILURE
