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
from papayapier.config import audit_trail, checks, records
from papayapier.config.checks import CheckDeps, Problem
from papayapier.config.records import AuditEntry, Document, FieldChange, Record, Subject
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal
from papayapier.store.api import Store, Stored, StoreError
from papayapier.store.writes import SettleDeps, create_settled, update_settled

SETTLE_MS: Final = 10_000
RETRY_AFTER_MS: Final = 1_000
MAX_ROUNDS: Final = 5
MAX_REASON_CHARS: Final = 500
NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
CHANGE_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9._:-]{8,64}")


class ChangeRequest(NamedTuple):
    """Describe a requested change; a document of None deletes, a based_on of 0 creates.

    change_id stays the same when the operator repeats the call. allow_stranding allows a
    change after which queued requests or items can no longer run.
    """

    subject: Subject
    document: object
    based_on: int
    reason: str
    change_id: str
    operator: str
    allow_stranding: bool = False


class Accepted(NamedTuple):
    """Report the version of an accepted change; repeated: an earlier call had made the change."""

    version: int
    repeated: bool
    changes: list[FieldChange]
    warnings: list[Problem]


class WinningChange(NamedTuple):
    """Report to an operator which concurrent change is in force instead of theirs."""

    version: int
    entry: AuditEntry


class Rejected(NamedTuple):
    """Report why a change was rejected; winner is set if a concurrent change was accepted."""

    refusal: Refusal
    problems: list[Problem]
    winner: WinningChange | None = None


class AcceptDeps(NamedTuple):
    """Group the dependencies of accept_change; on_accepted gets key, version and value."""

    clock: Clock
    rand: random.Random
    store: Store
    checks: CheckDeps
    on_accepted: Callable[[str, int, bytes], None]


class _StoredObject(NamedTuple):
    """Hold the stored object that a change would replace; version is 0 if there is none."""

    version: int
    value: bytes
    record: Record
    unreadable: bool = False


_EMPTY_RECORD: Final = Record(document=None, history=[])
_AcceptResult = Result[Accepted, Rejected]


async def accept_change(deps: AcceptDeps, change: ChangeRequest) -> _AcceptResult:
    """Accept a change, or return why it was rejected and what is known of its outcome."""
    problems = _call_problems(change)
    if problems:
        return Err(_bad_request(problems))
    check_result = checks.check_change(deps.checks, change.subject, change.document)
    if check_result.errors:
        return Err(_bad_request(check_result.errors))
    if check_result.stranded and not change.allow_stranding:
        return Err(_bad_request(check_result.warnings))
    document = checks.as_document(check_result.wanted)
    return await _Acceptance(deps, change, document, check_result.warnings).run()


class _Acceptance:
    """Run one change to its result.

    _unsettled_version is the version that an update was based on whose answer was lost, or None.
    """

    def __init__(
        self,
        deps: AcceptDeps,
        change: ChangeRequest,
        document: Document | None,
        warnings: list[Problem],
    ) -> None:
        self._deps = deps
        self._change = change
        self._document = document
        self._warnings = warnings
        self._unsettled_version: int | None = None

    async def run(self) -> _AcceptResult:
        """Read, check and write; start again when a concurrent change was accepted first."""
        for _ in range(MAX_ROUNDS):
            outcome = await self._try_once()
            if outcome is not None:
                return outcome
        return self._unavailable(StoreError.CONFLICT)

    async def _try_once(self) -> _AcceptResult | None:
        match await self._read():
            case Err(error):
                return self._unavailable(error)
            case Ok(stored):
                pass
        match await self._find_earlier(stored):
            case Err(error):
                return self._unavailable(error)
            case Ok(known) if known is not None:
                return known
        if stored.version == self._unsettled_version:
            return self._unavailable(StoreError.LOST)
        self._unsettled_version = None
        refused = self._rejection(stored)
        if refused is not None:
            return Err(refused)
        return await self._write(stored)

    async def _read(self) -> Result[_StoredObject, StoreError]:
        match await self._deps.store.get(self._change.subject.key):
            case Err(StoreError.NOT_FOUND):
                return Ok(_StoredObject(0, b"", _EMPTY_RECORD))
            case Err(error):
                return Err(error)
            case Ok(stored):
                return Ok(_to_stored_object(stored))

    async def _find_earlier(
        self, stored: _StoredObject
    ) -> Result[_AcceptResult | None, StoreError]:
        """Return the result if the trail already contains this change, or None.

        It does after an update whose answer was lost, or when the operator repeats a call.
        """
        history = stored.record["history"]
        if history and self._change.based_on < history[0]["based_on"]:
            match await audit_trail.read_spilled(self._deps.store, self._change.subject):
                case Err(error):
                    return Err(error)
                case Ok(older):
                    history = [*older, *history]
        entry = audit_trail.find(history, self._change.change_id)
        if entry is None:
            return Ok(None)
        if entry["content"] != records.content_hash(self._document):
            reason = f"change id {self._change.change_id} was used for another change"
            return Ok(Err(Rejected(not_run_refusal(ErrorKind.KEY_CONFLICT, reason), [])))
        return Ok(
            self._accept_repeated(
                stored, entry, audit_trail.version_of_entry(history, entry, stored.version)
            )
        )

    def _accept_repeated(
        self, stored: _StoredObject, entry: AuditEntry, version: int
    ) -> _AcceptResult:
        key = self._change.subject.key
        self._deps.on_accepted(key, stored.version, stored.value)
        return Ok(
            Accepted(version, self._unsettled_version is None, entry["changes"], self._warnings)
        )

    def _rejection(self, stored: _StoredObject) -> Rejected | None:
        if stored.unreadable:
            # Overwriting it would silently drop its audit trail.
            reason = f"{self._change.subject.key} in the store is not a configuration object"
            return Rejected(not_run_refusal(ErrorKind.INTERNAL, reason), [])
        deleted = stored.record["document"] is None
        if self._document is None and deleted:
            reason = f"{self._change.subject.name} does not exist"
            return Rejected(not_run_refusal(ErrorKind.NOT_FOUND, reason), [])
        expected = 0 if deleted and self._change.based_on == 0 else stored.version
        if self._change.based_on == expected:
            return None
        return self._conflict(stored)

    def _conflict(self, stored: _StoredObject) -> Rejected:
        subject = self._change.subject
        events.emit(events.CONFIG_CONFLICT, key=subject.key, who=self._change.operator)
        if not stored.record["history"]:
            reason = f"based on version {self._change.based_on}, but {subject.name} does not exist"
            return Rejected(not_run_refusal(ErrorKind.VERSION_CONFLICT, reason), [])
        winner = WinningChange(stored.version, stored.record["history"][-1])
        return Rejected(
            not_run_refusal(ErrorKind.VERSION_CONFLICT, _describe_winner(subject, winner)),
            [],
            winner,
        )

    async def _write(self, stored: _StoredObject) -> _AcceptResult | None:
        match await audit_trail.spill(
            self._deps.store, self._change.subject, stored.record["history"]
        ):
            case Err(error):
                return self._unavailable(error)
        entry = self._entry(stored)
        value = records.encode(self._record(stored, entry))
        match await self._update_store(stored, value):
            case Ok(version):
                return self._accept(version, value, entry)
            case Err(StoreError.CONFLICT):
                return None
            case Err(StoreError.LOST):
                self._unsettled_version = stored.version
                return None
            case Err(error):
                return self._unavailable(error)

    def _accept(self, version: int, value: bytes, entry: AuditEntry) -> _AcceptResult:
        key = self._change.subject.key
        events.emit(events.CONFIG_ACCEPTED, key=key, version=version, who=entry["who"])
        self._deps.on_accepted(key, version, value)
        return Ok(Accepted(version, False, entry["changes"], self._warnings))

    async def _update_store(self, stored: _StoredObject, value: bytes) -> Result[int, StoreError]:
        key = self._change.subject.key
        settling = SettleDeps(self._deps.store, self._deps.clock, self._deps.rand)
        due_ms = self._deps.clock.now() + SETTLE_MS
        if stored.version == 0:
            return await create_settled(settling, key, value, due_ms)
        return await update_settled(settling, key, value, stored.version, due_ms)

    def _entry(self, stored: _StoredObject) -> AuditEntry:
        history = stored.record["history"]
        before = stored.record["document"]
        return AuditEntry(
            seq=history[-1]["seq"] + 1 if history else 1,
            change_id=self._change.change_id,
            at_ms=self._deps.clock.wall(),
            who=self._change.operator,
            action=_action(before, self._document),
            reason=self._change.reason,
            based_on=stored.version,
            content=records.content_hash(self._document),
            changes=records.field_changes(before, self._document),
        )

    def _record(self, stored: _StoredObject, entry: AuditEntry) -> Record:
        retained = audit_trail.retained(stored.record["history"])
        return Record(document=self._document, history=[*retained, entry])

    def _unavailable(self, error: StoreError) -> _AcceptResult:
        kind = ErrorKind.STORE_UNAVAILABLE
        if self._unsettled_version is None:
            reason = f"the store did not take the change: {error.value}"
            return Err(Rejected(not_run_refusal(kind, reason, RETRY_AFTER_MS), []))
        key = self._change.subject.key
        events.emit(events.CONFIG_UNSETTLED, key=key, change=self._change.change_id)
        reason = "the store's answer was lost; repeat with the same change_id to learn the outcome"
        return Err(Rejected(unknown_refusal(kind, reason, RETRY_AFTER_MS), []))


def _to_stored_object(stored: Stored) -> _StoredObject:
    match records.decode(stored.value):
        case Ok(record):
            return _StoredObject(stored.version, stored.value, record)
        case _:
            return _StoredObject(stored.version, stored.value, _EMPTY_RECORD, unreadable=True)


def _call_problems(change: ChangeRequest) -> list[Problem]:
    problems = []
    if not NAME_PATTERN.fullmatch(change.subject.name):
        problems.append(Problem("name", f"must match {NAME_PATTERN.pattern}"))
    if not CHANGE_ID_PATTERN.fullmatch(change.change_id):
        problems.append(Problem("change_id", f"must match {CHANGE_ID_PATTERN.pattern}"))
    if change.based_on < 0:
        problems.append(Problem("based_on", "must be 0 or the version that the change is based on"))
    if not change.reason.strip() or len(change.reason) > MAX_REASON_CHARS:
        problems.append(Problem("reason", f"must be 1 to {MAX_REASON_CHARS} characters"))
    return problems


def _bad_request(problems: list[Problem]) -> Rejected:
    return Rejected(
        not_run_refusal(ErrorKind.BAD_REQUEST, checks.describe_problems(problems)), problems
    )


def _action(before: Document | None, after: Document | None) -> str:
    if after is None:
        return "delete"
    return "create" if before is None else "update"


def _describe_winner(subject: Subject, winner: WinningChange) -> str:
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
