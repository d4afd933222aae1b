"""The operators' commands, each a function that returns an exit status."""

import os
import secrets
import sys
from argparse import Namespace
from collections.abc import Callable, Coroutine
from pathlib import Path

import logbook

from .checking import check_document
from .console import (
    EXIT_DONE,
    EXIT_FAILED,
    EXIT_USAGE,
    complain,
    emit,
    load_document,
    read_file,
    say,
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
from .fleet_client import (
    Target,
    fetch_history,
    fetch_status,
    find_instances,
    wait_until_in_force,
)
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
from .report.burn import combine_burn
from .report.explain import collect_story, describe_story
from .report.page import write_burn_page
from .report.text import format_burn, format_status, format_wait
from .settings import read_settings
from .verdict import Failure
from .wire.http import hash_key
from .wire.ini import write_document

KEY_BYTES = 24
N_EDIT_TRIES = 8
NO_INSTANCE = "no instance is on the platform's list; name one with --entry"
REVISION_PREFIX = "# revision "

Command = Callable[[Namespace], Coroutine[None, None, int]]


def _load(arguments: Namespace) -> tuple[Document, str] | None:
    """Read and parse the configuration file, or complain."""
    loaded = load_document(arguments.file)
    if isinstance(loaded, Failure):
        complain(loaded.reason)
        return None
    return loaded


async def _read(arguments: Namespace) -> StoredConfiguration | None:
    """Read the accepted configuration, or complain."""
    store = HttpStore(arguments.store)
    stored = await read_stored(store)
    await store.close()
    if isinstance(stored, Failure):
        complain(stored.reason)
        return None
    return stored


async def _find_targets(arguments: Namespace) -> list[Target] | None:
    """Find the instances that can be asked, or complain."""
    store = HttpStore(arguments.store)
    targets = await find_instances(store, arguments.service, arguments.entry)
    await store.close()
    if isinstance(targets, Failure):
        complain(targets.reason)
        return None
    if not targets:
        complain(NO_INSTANCE)
        return None
    return targets


async def run_entry(arguments: Namespace) -> int:
    """Run a daemon."""
    text = read_file(arguments.settings)
    if isinstance(text, Failure):
        complain(text.reason)
        return EXIT_USAGE
    settings = read_settings(text, arguments.settings)
    if isinstance(settings, Failure):
        complain(settings.reason)
        return EXIT_USAGE
    # Imported late: the operators' commands need no server.
    from .edge.daemon import serve

    silent = logbook.NullHandler()
    log = create_log_handler(settings.log_level, settings.log_format)
    with silent.applicationbound(), log.applicationbound():
        failure = await serve(settings)
    if failure is not None:
        complain(failure.reason)
        return EXIT_FAILED
    return EXIT_DONE


async def run_instance(arguments: Namespace) -> int:
    """Run an instance on the platform."""
    # Imported late: the operators' commands need no server.
    from .edge.instance import serve
    from .platform.settings import DEFAULT_PATH, PATH_VARIABLE

    path = arguments.settings or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    with logbook.NullHandler().applicationbound():
        failure = await serve(path)
    if failure is None:
        return EXIT_DONE
    complain(failure.reason)
    return EXIT_FAILED if failure.code == "listen" else EXIT_USAGE


async def explain_request(arguments: Namespace) -> int:
    """Tell why a request ended as it did."""
    texts: list[str] = []
    for path in arguments.files:
        text = sys.stdin.read() if path == "-" else read_file(path)
        if isinstance(text, Failure):
            complain(text.reason)
            return EXIT_USAGE
        texts += text.splitlines()
    story = collect_story(arguments.request, texts)
    for line in describe_story(story):
        say(line)
    return EXIT_DONE if story.lines else EXIT_FAILED


async def check_config(arguments: Namespace) -> int:
    """Check a configuration file."""
    loaded = _load(arguments)
    if loaded is None:
        return EXIT_USAGE
    _, problems = check_document(loaded[0])
    for problem in problems:
        complain(problem.describe(arguments.file))
    if problems:
        return EXIT_USAGE
    emit(arguments, {"ok": True}, f"{arguments.file}: ok")
    return EXIT_DONE


async def show_config(arguments: Namespace) -> int:
    """Print the accepted configuration with its revision."""
    stored = await _read(arguments)
    if stored is None:
        return EXIT_FAILED
    text = write_document(stored.snapshot.document)
    header = f"{REVISION_PREFIX}{stored.head.revision} by {stored.head.author or '-'}"
    emit(arguments, stored.snapshot, f"{header}\n{text}")
    return EXIT_DONE


async def diff_config(arguments: Namespace) -> int:
    """Print how a file differs from the accepted configuration."""
    loaded = _load(arguments)
    if loaded is None:
        return EXIT_USAGE
    stored = await _read(arguments)
    if stored is None:
        return EXIT_FAILED
    old = stored.snapshot.document
    change = compare_documents(old, loaded[0], stored.head.revision + 1, "", "")
    lines = [f"- [{title}]" for title in change.removed]
    for title, body in change.replaced.items():
        before = old.get(title, {})
        lines.append(f"{'~' if title in old else '+'} [{title}]")
        for key in sorted(before.keys() | body.keys()):
            if before.get(key) != body.get(key):
                lines.append(f"    {key}: {before.get(key)} -> {body.get(key)}")
    emit(arguments, change, "\n".join(lines) or "no difference")
    return EXIT_DONE


async def apply_config(arguments: Namespace) -> int:
    """Publish a configuration file on top of the revision that it names."""
    loaded = _load(arguments)
    if loaded is None:
        return EXIT_USAGE
    document, text = loaded
    base = arguments.base
    if base is None:
        base = _revision_in(text)
    store = HttpStore(arguments.store)
    try:
        result = await apply_document(store, document, arguments.author, base)
        return await _conclude(arguments, store, result, base)
    finally:
        await store.close()


def _revision_in(text: str) -> int:
    """Return the revision that ``config show`` wrote into a file, or 0."""
    first = text.partition("\n")[0]
    if not first.startswith(REVISION_PREFIX):
        return 0
    number = first[len(REVISION_PREFIX) :].split()[0]
    return int(number) if number.isdigit() else 0


async def _conclude(
    arguments: Namespace, store: HttpStore, result: ApplyResult, base: int
) -> int:
    match result:
        case Applied(revision=revision):
            if not arguments.wait:
                emit(arguments, result, f"revision {revision} accepted")
                return EXIT_DONE
            return await _wait(arguments, store, revision)
        case Superseded(revision=revision, author=author):
            complain(await _describe_conflict(store, base, revision, author))
            return EXIT_FAILED
        case Rejected(problems=problems):
            name = getattr(arguments, "file", "configuration")
            for problem in problems:
                complain(problem.describe(name))
            return EXIT_USAGE
        case Failure(reason=reason):
            complain(reason)
            return EXIT_FAILED


async def _describe_conflict(
    store: HttpStore, base: int, revision: int, author: str
) -> str:
    """Say who changed what since the revision that the operator started from."""
    text = f"conflict: based on revision {base}, but {revision} by {author} is accepted"
    stored = await read_stored(store)
    if isinstance(stored, Failure):
        return text
    lines = [text]
    for change in stored.changes:
        if change.revision > base:
            titles = ", ".join(f"[{t}]" for t in [*change.replaced, *change.removed])
            lines.append(f"  revision {change.revision} by {change.author}: {titles}")
    return "\n".join(lines)


async def _wait(arguments: Namespace, store: HttpStore, revision: int) -> int:
    targets = await find_instances(store, arguments.service, arguments.entry)
    if isinstance(targets, Failure):
        complain(f"revision {revision} accepted; {targets.reason}")
        return EXIT_FAILED
    if not targets:
        complain(f"revision {revision} accepted; {NO_INSTANCE}")
        return EXIT_FAILED
    if sys.stderr.isatty():
        complain(f"revision {revision} accepted; waiting for {len(targets)} instances")
    result = await wait_until_in_force(targets, revision, arguments.wait)
    emit(arguments, result, format_wait(revision, result))
    is_done = not result.behind and not result.not_asked
    return EXIT_DONE if is_done else EXIT_FAILED


async def _edit(arguments: Namespace, edit: Edit, note: str = "") -> int:
    """Read, edit and publish; start again if another operator was faster."""
    store = HttpStore(arguments.store)
    try:
        result: ApplyResult = Superseded(0, "")
        base = 0
        for _ in range(N_EDIT_TRIES):
            stored = await read_stored(store)
            if isinstance(stored, Failure):
                complain(stored.reason)
                return EXIT_FAILED
            document = apply_edit(stored.snapshot.document, edit)
            if isinstance(document, Failure):
                complain(document.reason)
                return EXIT_FAILED
            base = stored.head.revision
            result = await apply_document(store, document, arguments.author, base)
            if not isinstance(result, Superseded):
                break
        if note and isinstance(result, Applied):
            say(note)
        return await _conclude(arguments, store, result, base)
    finally:
        await store.close()


async def grant_key(arguments: Namespace) -> int:
    """Make a key, publish its hash, and show the key once."""
    key = secrets.token_urlsafe(KEY_BYTES)
    key_hash = hash_key(key)
    note = f"key (shown only now): {key}\nhash: {key_hash}"
    return await _edit(arguments, GrantKey(arguments.account, key_hash), note)


async def withdraw_key(arguments: Namespace) -> int:
    """Withdraw a key."""
    return await _edit(arguments, WithdrawKey(arguments.account, arguments.hash))


async def list_keys(arguments: Namespace) -> int:
    """List the hashes of a client account's keys."""
    stored = await _read(arguments)
    if stored is None:
        return EXIT_FAILED
    hashes = list_key_hashes(stored.snapshot.document, arguments.account)
    if isinstance(hashes, Failure):
        complain(hashes.reason)
        return EXIT_FAILED
    emit(arguments, hashes, "\n".join(hashes) or "no keys")
    return EXIT_DONE


async def start_drain(arguments: Namespace) -> int:
    """Take something out of service."""
    return await _edit(arguments, StartDrain(arguments.kind, arguments.target))


async def end_drain(arguments: Namespace) -> int:
    """Put something back into service."""
    return await _edit(arguments, EndDrain(arguments.kind, arguments.target))


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
    return await _edit(arguments, shift)


async def stop_shift(arguments: Namespace) -> int:
    """Stop a planned shift."""
    return await _edit(arguments, StopShift(arguments.name))


async def watch_shift(arguments: Namespace) -> int:
    """Show how many requests a shift has moved."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILED
    status = await fetch_status(targets)
    moved = {
        row.seat: planned.n_moved
        for row in status.instances
        for planned in row.planned
        if planned.kind == "shift" and planned.name == arguments.name
    }
    if not moved:
        complain(f"no instance has a shift {arguments.name} in force")
        return EXIT_FAILED
    lines = [f"{seat}: {n_moved} requests moved" for seat, n_moved in moved.items()]
    lines.append(f"all: {sum(moved.values())} requests moved")
    lines += [f"{name}: could not be asked" for name in status.not_asked]
    emit(arguments, moved, "\n".join(lines))
    return EXIT_DONE


async def show_status(arguments: Namespace) -> int:
    """Show the status of all instances."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILED
    status = await fetch_status(targets)
    emit(arguments, status, format_status(status))
    return EXIT_DONE if status.instances else EXIT_FAILED


async def report_burn(arguments: Namespace) -> int:
    """Report service-level burn."""
    targets = await _find_targets(arguments)
    if targets is None:
        return EXIT_FAILED
    summaries, not_asked = await fetch_history(targets)
    report = combine_burn(summaries, not_asked)
    if arguments.html:
        try:
            write_burn_page(report, Path(arguments.html))
        except OSError as error:
            complain(f"{arguments.html}: {error.strerror}")
            return EXIT_FAILED
    emit(arguments, report, format_burn(report))
    return EXIT_DONE if summaries else EXIT_FAILED
