"""Read the audit trail, and move its older entries out of their configuration objects.

The trail of an object consists of the history in the object and the spilled entries under
audit/. Versions are the store's revisions, which increase across all objects, so they order the
complete trail. Each seq of an object occurs once, so a missing entry is visible as a gap.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config import records
from papayapier.config.records import AuditEntry, Subject
from papayapier.store.api import Entry, Listing, Store, StoreError

PAGE_KEYS: Final = 1_000
DEFAULT_LIMIT: Final = 100
MAX_SPILL_ATTEMPTS: Final = 3


class AuditFilter(NamedTuple):
    """Select entries of the trail; an empty field matches all. since_ms is wall-clock time."""

    kind: str = ""
    name: str = ""
    who: str = ""
    since_ms: int = 0
    limit: int = DEFAULT_LIMIT


class AuditLine(NamedTuple):
    """Hold one entry of the trail with its object and the version that the change got."""

    kind: str
    name: str
    version: int
    entry: AuditEntry


async def spill(
    store: Store, subject: Subject, history: list[AuditEntry]
) -> Result[None, StoreError]:
    """Copy the oldest entries to an object of their own before they are dropped.

    Concurrent changes copy the same entries to the same key, so an object that already exists
    counts as success.
    """
    if len(history) < records.MAX_HISTORY_ENTRIES:
        return Ok(None)
    oldest = history[: records.SPILLED_AT_ONCE]
    value = records.encode(records.Spilled(entries=oldest))
    error = StoreError.LOST
    for _ in range(MAX_SPILL_ATTEMPTS):
        match await store.create(subject.audit_key(oldest[0]["seq"]), value):
            case Ok(_) | Err(StoreError.CONFLICT):
                return Ok(None)
            case Err(error) if error is not StoreError.LOST:
                break
    return Err(error)


def retained(history: list[AuditEntry]) -> list[AuditEntry]:
    """Return the entries that remain in the object after a spill."""
    return (
        history[records.SPILLED_AT_ONCE :]
        if len(history) >= records.MAX_HISTORY_ENTRIES
        else history
    )


async def read_spilled(store: Store, subject: Subject) -> Result[list[AuditEntry], StoreError]:
    """Read the spilled entries of an object, oldest first."""
    found: list[AuditEntry] = []
    match await list_all_pages(store, subject.audit_prefix):
        case Err(error):
            return Err(error)
        case Ok(listed):
            pass
    for item in listed.objects:
        match await store.get(item.key):
            case Err(error):
                return Err(error)
            case Ok(stored):
                part = records.decode_spilled(stored.value).unwrap_or(records.Spilled(entries=[]))
                found.extend(part["entries"])
    return Ok(found)


async def list_all_pages(store: Store, prefix: str) -> Result[Listing, StoreError]:
    """List all keys under a prefix, page by page, with the revision of the first page."""
    found: list[Entry] = []
    revision: int | None = None
    after = ""
    while True:
        match await store.list(prefix, after, PAGE_KEYS):
            case Err(error):
                return Err(error)
            case Ok(page):
                found.extend(page.objects)
                revision = page.revision if revision is None else revision
                if not page.more:
                    return Ok(Listing(found, False, revision))
                after = page.objects[-1].key


async def audit(store: Store, audit_filter: AuditFilter) -> Result[list[AuditLine], StoreError]:
    """Return the newest entries that match a filter, newest first.

    Objects are read in order of their last change, the latest first, until the limit is reached
    and no further object can contain a newer entry than those found.
    """
    match await _list_candidates(store, audit_filter):
        case Err(error):
            return Err(error)
        case Ok(candidates):
            pass
    lines: list[AuditLine] = []
    for subject, version in sorted(candidates, key=lambda c: -c[1]):
        if len(lines) >= audit_filter.limit and lines[audit_filter.limit - 1].version > version:
            break
        match await _read_lines(store, subject, audit_filter):
            case Err(StoreError.NOT_FOUND):
                continue
            case Err(error):
                return Err(error)
            case Ok(more):
                lines = sorted([*lines, *more], key=lambda line: -line.version)
    return Ok(lines[: audit_filter.limit])


def find(history: list[AuditEntry], change_id: str) -> AuditEntry | None:
    """Return the entry with a change id, or None."""
    return next((entry for entry in history if entry["change_id"] == change_id), None)


def version_of_entry(history: list[AuditEntry], entry: AuditEntry, newest: int) -> int:
    """Return the version that a change got: the one that the next change was based on."""
    later = next((e for e in history if e["seq"] == entry["seq"] + 1), None)
    return later["based_on"] if later else newest


async def _list_candidates(
    store: Store, audit_filter: AuditFilter
) -> Result[list[tuple[Subject, int]], StoreError]:
    prefix = records.CONFIG_PREFIX
    if audit_filter.kind:
        prefix += f"{audit_filter.kind}/{audit_filter.name}"
    match await list_all_pages(store, prefix):
        case Err(error):
            return Err(error)
        case Ok(listed):
            pass
    found = [(records.parse_key(item.key), item.version) for item in listed.objects]
    return Ok(
        [
            (subject, version)
            for subject, version in found
            if subject is not None and audit_filter.name in ("", subject.name)
        ]
    )


async def _read_lines(
    store: Store, subject: Subject, audit_filter: AuditFilter
) -> Result[list[AuditLine], StoreError]:
    """Return an object's matching lines; read its spilled entries only if they may be needed."""
    match await store.get(subject.key):
        case Err(error):
            return Err(error)
        case Ok(stored):
            history = records.decode(stored.value).unwrap_or(_EMPTY)["history"]
    lines = _matching(_to_lines(subject, history, stored.version), audit_filter)
    oldest = history[0] if history else None
    if oldest is None or oldest["seq"] == 1 or oldest["at_ms"] < audit_filter.since_ms:
        return Ok(lines)
    if len(lines) >= audit_filter.limit:
        return Ok(lines)
    match await read_spilled(store, subject):
        case Err(error):
            return Err(error)
        case Ok(older):
            older = [entry for entry in older if entry["seq"] < oldest["seq"]]
            lines += _matching(_to_lines(subject, older, oldest["based_on"]), audit_filter)
            return Ok(lines)


_EMPTY: Final = records.Record(document=None, history=[])


def _to_lines(subject: Subject, history: list[AuditEntry], newest: int) -> list[AuditLine]:
    return [
        AuditLine(subject.kind, subject.name, version_of_entry(history, entry, newest), entry)
        for entry in history
    ]


def _matching(lines: list[AuditLine], audit_filter: AuditFilter) -> list[AuditLine]:
    return [
        line
        for line in lines
        if audit_filter.who in ("", line.entry["who"])
        and line.entry["at_ms"] >= audit_filter.since_ms
    ]
