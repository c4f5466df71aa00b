"""Accept an operator's change with one conditional update that includes its audit entry.

The change id in the audit trail makes a change idempotent: repeating a call returns the result
of the first one. If the store's answer to an update is lost, store.writes determines whether it
took effect. If it cannot, because another change followed or the store became unavailable, the
trail decides: it contains our change id; or the object has another version, so that our update
can only fail; or the outcome is unknown, which is reported to the operator.
"""

import random
import re
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.config import checks, records, trail
from papayapier.config.checks import CheckDeps, Problem
from papayapier.config.records import AuditEntry, Document, FieldChange, Record, Subject
from papayapier.errors import ErrorKind, Refusal, not_run, unknown
from papayapier.store.api import Store, Stored, StoreError
from papayapier.store.writes import Settling, create_settled, update_settled

SETTLE_MS: Final = 10_000
RETRY_AFTER_MS: Final = 1_000
ROUNDS_MOST: Final = 5
REASON_MOST: Final = 500
NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
CHANGE_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9._:-]{8,64}")


class Change(NamedTuple):
    """Describe a requested change; a document of None deletes, a based_on of 0 creates.

    change_id stays the same when the operator repeats the call. strand allows a change after
    which queued requests or items can no longer run.
    """

    subject: Subject
    document: object
    based_on: int
    reason: str
    change_id: str
    who: str
    strand: bool = False


class Accepted(NamedTuple):
    """Report the version of an accepted change; repeated: an earlier call had made the change."""

    version: int
    repeated: bool
    changes: list[FieldChange]
    warnings: list[Problem]


class Winner(NamedTuple):
    """Report to an operator which concurrent change is in force instead of theirs."""

    version: int
    entry: AuditEntry


class Rejected(NamedTuple):
    """Report why a change was rejected; winner is set if a concurrent change was accepted."""

    refusal: Refusal
    problems: list[Problem]
    winner: Winner | None = None


class AcceptDeps(NamedTuple):
    """Group the dependencies of accept_change; accepted is called with key, version and value."""

    clock: Clock
    rand: random.Random
    store: Store
    checks: CheckDeps
    accepted: Callable[[str, int, bytes], None]


class _Held(NamedTuple):
    """Hold the stored object that a change would replace; version is 0 if there is none."""

    version: int
    value: bytes
    record: Record
    unreadable: bool = False


_NOTHING: Final = Record(document=None, history=[])
_Outcome = Result[Accepted, Rejected]


async def accept_change(deps: AcceptDeps, change: Change) -> _Outcome:
    """Accept a change, or return why it was rejected and what is known of its outcome."""
    problems = _call_problems(change)
    if problems:
        return Err(_bad_request(problems))
    verdict = checks.check_change(deps.checks, change.subject, change.document)
    if verdict.errors:
        return Err(_bad_request(verdict.errors))
    if verdict.stranded and not change.strand:
        return Err(_bad_request(verdict.warnings))
    document = checks.as_document(verdict.wanted)
    return await _Acceptance(deps, change, document, verdict.warnings).run()


class _Acceptance:
    """Run one change to its result.

    _lost is the version that an update was based on whose answer was lost, or None.
    """

    def __init__(
        self, deps: AcceptDeps, change: Change, document: Document | None, warnings: list[Problem]
    ) -> None:
        self._deps = deps
        self._change = change
        self._document = document
        self._warnings = warnings
        self._lost: int | None = None

    async def run(self) -> _Outcome:
        """Read, check and write; start again when a concurrent change was accepted first."""
        for _ in range(ROUNDS_MOST):
            done = await self._round()
            if done is not None:
                return done
        return self._unavailable(StoreError.CONFLICT)

    async def _round(self) -> _Outcome | None:
        match await self._read():
            case Err(error):
                return self._unavailable(error)
            case Ok(held):
                pass
        match await self._already_done(held):
            case Err(error):
                return self._unavailable(error)
            case Ok(known) if known is not None:
                return known
        if held.version == self._lost:
            return self._unavailable(StoreError.LOST)
        self._lost = None
        refused = self._refused(held)
        if refused is not None:
            return Err(refused)
        return await self._write(held)

    async def _read(self) -> Result[_Held, StoreError]:
        match await self._deps.store.get(self._change.subject.key):
            case Err(StoreError.NOT_FOUND):
                return Ok(_Held(0, b"", _NOTHING))
            case Err(error):
                return Err(error)
            case Ok(stored):
                return Ok(_held(stored))

    async def _already_done(self, held: _Held) -> Result[_Outcome | None, StoreError]:
        """Return the result if the trail already contains this change, or None.

        It does after an update whose answer was lost, or when the operator repeats a call.
        """
        history = held.record["history"]
        if history and self._change.based_on < history[0]["based_on"]:
            match await trail.spilled(self._deps.store, self._change.subject):
                case Err(error):
                    return Err(error)
                case Ok(older):
                    history = [*older, *history]
        entry = trail.find(history, self._change.change_id)
        if entry is None:
            return Ok(None)
        if entry["content"] != records.content_hash(self._document):
            why = f"change id {self._change.change_id} was used for another change"
            return Ok(Err(Rejected(not_run(ErrorKind.KEY_CONFLICT, why), [])))
        return Ok(self._repeated(held, entry, trail.version_after(history, entry, held.version)))

    def _repeated(self, held: _Held, entry: AuditEntry, version: int) -> _Outcome:
        key = self._change.subject.key
        self._deps.accepted(key, held.version, held.value)
        return Ok(Accepted(version, self._lost is None, entry["changes"], self._warnings))

    def _refused(self, held: _Held) -> Rejected | None:
        if held.unreadable:
            # Overwriting it would silently drop its audit trail.
            why = f"{self._change.subject.key} in the store is not a configuration object"
            return Rejected(not_run(ErrorKind.INTERNAL, why), [])
        gone = held.record["document"] is None
        if self._document is None and gone:
            why = f"{self._change.subject.name} does not exist"
            return Rejected(not_run(ErrorKind.NOT_FOUND, why), [])
        expected = 0 if gone and self._change.based_on == 0 else held.version
        if self._change.based_on == expected:
            return None
        return self._conflict(held)

    def _conflict(self, held: _Held) -> Rejected:
        subject = self._change.subject
        events.emit(events.CONFIG_CONFLICT, key=subject.key, who=self._change.who)
        if not held.record["history"]:
            why = f"based on version {self._change.based_on}, but {subject.name} does not exist"
            return Rejected(not_run(ErrorKind.VERSION_CONFLICT, why), [])
        winner = Winner(held.version, held.record["history"][-1])
        return Rejected(not_run(ErrorKind.VERSION_CONFLICT, _tell(subject, winner)), [], winner)

    async def _write(self, held: _Held) -> _Outcome | None:
        match await trail.spill(self._deps.store, self._change.subject, held.record["history"]):
            case Err(error):
                return self._unavailable(error)
        entry = self._entry(held)
        value = records.encode(self._record(held, entry))
        match await self._put(held, value):
            case Ok(version):
                return self._accept(version, value, entry)
            case Err(StoreError.CONFLICT):
                return None
            case Err(StoreError.LOST):
                self._lost = held.version
                return None
            case Err(error):
                return self._unavailable(error)

    def _accept(self, version: int, value: bytes, entry: AuditEntry) -> _Outcome:
        key = self._change.subject.key
        events.emit(events.CONFIG_ACCEPTED, key=key, version=version, who=entry["who"])
        self._deps.accepted(key, version, value)
        return Ok(Accepted(version, False, entry["changes"], self._warnings))

    async def _put(self, held: _Held, value: bytes) -> Result[int, StoreError]:
        key = self._change.subject.key
        settling = Settling(self._deps.store, self._deps.clock, self._deps.rand)
        due_ms = self._deps.clock.now() + SETTLE_MS
        if held.version == 0:
            return await create_settled(settling, key, value, due_ms)
        return await update_settled(settling, key, value, held.version, due_ms)

    def _entry(self, held: _Held) -> AuditEntry:
        history = held.record["history"]
        before = held.record["document"]
        return AuditEntry(
            seq=history[-1]["seq"] + 1 if history else 1,
            change_id=self._change.change_id,
            at_ms=self._deps.clock.wall(),
            who=self._change.who,
            action=_action(before, self._document),
            reason=self._change.reason,
            based_on=held.version,
            content=records.content_hash(self._document),
            changes=records.field_changes(before, self._document),
        )

    def _record(self, held: _Held, entry: AuditEntry) -> Record:
        kept = trail.kept(held.record["history"])
        return Record(document=self._document, history=[*kept, entry])

    def _unavailable(self, error: StoreError) -> _Outcome:
        kind = ErrorKind.STORE_UNAVAILABLE
        if self._lost is None:
            why = f"the store did not take the change: {error.value}"
            return Err(Rejected(not_run(kind, why, RETRY_AFTER_MS), []))
        key = self._change.subject.key
        events.emit(events.CONFIG_UNSETTLED, key=key, change=self._change.change_id)
        why = "the store's answer was lost; repeat with the same change_id to learn the outcome"
        return Err(Rejected(unknown(kind, why, RETRY_AFTER_MS), []))


def _held(stored: Stored) -> _Held:
    match records.decode(stored.value):
        case Ok(record):
            return _Held(stored.version, stored.value, record)
        case _:
            return _Held(stored.version, stored.value, _NOTHING, unreadable=True)


def _call_problems(change: Change) -> list[Problem]:
    problems = []
    if not NAME_PATTERN.fullmatch(change.subject.name):
        problems.append(Problem("name", f"must match {NAME_PATTERN.pattern}"))
    if not CHANGE_ID_PATTERN.fullmatch(change.change_id):
        problems.append(Problem("change_id", f"must match {CHANGE_ID_PATTERN.pattern}"))
    if change.based_on < 0:
        problems.append(Problem("based_on", "must be 0 or the version that the change is based on"))
    if not change.reason.strip() or len(change.reason) > REASON_MOST:
        problems.append(Problem("reason", f"must be 1 to {REASON_MOST} characters"))
    return problems


def _bad_request(problems: list[Problem]) -> Rejected:
    return Rejected(not_run(ErrorKind.BAD_REQUEST, checks.describe(problems)), problems)


def _action(before: Document | None, after: Document | None) -> str:
    if after is None:
        return "delete"
    return "create" if before is None else "update"


def _tell(subject: Subject, winner: Winner) -> str:
    """Describe the accepted change: an update with its values, others with field names only."""
    fields = ", ".join(
        (
            f"{change['path']} {change['before']!r} -> {change['after']!r}"
            if winner.entry["action"] == "update"
            else change["path"]
        )
        for change in winner.entry["changes"]
    )
    return (
        f"{subject.name} is at version {winner.version}: {winner.entry['action']} by "
        f"{winner.entry['who']} ({winner.entry['reason']}): {fields}"
    )
