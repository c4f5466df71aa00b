"""Accept an operator's change, by one conditional update that carries its audit entry.

The change id in the trail makes a change idempotent: whoever repeats a call, after a lost
answer or out of impatience, gets the answer of the first. store.writes settles an update
whose answer was lost. Where it cannot, because another change followed or the store went
down, the trail tells: our id is in it, or the object has another version, so that our update
can only fail, or nothing is known and the operator is told so.
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
    """Ask for a change; a document of None deletes, based_on 0 creates.

    change_id stays the same when the operator repeats the call. strand allows a change
    that strands queued work.
    """

    subject: Subject
    document: object
    based_on: int
    reason: str
    change_id: str
    who: str
    strand: bool = False


class Accepted(NamedTuple):
    """Tell the version that a change got; repeated when an earlier call had done it."""

    version: int
    repeated: bool
    changes: list[FieldChange]
    warnings: list[Problem]


class Winner(NamedTuple):
    """Tell a racing operator which change is in force in place of theirs."""

    version: int
    entry: AuditEntry


class Rejected(NamedTuple):
    """Tell why a change was not accepted; winner is set when another change won."""

    refusal: Refusal
    problems: list[Problem]
    winner: Winner | None = None


class AcceptDeps(NamedTuple):
    """Group what accepting needs; accepted is told key, version and value."""

    clock: Clock
    rand: random.Random
    store: Store
    checks: CheckDeps
    accepted: Callable[[str, int, bytes], None]


class _Held(NamedTuple):
    """Hold the stored object that a change meets; version 0 when there is none."""

    version: int
    value: bytes
    record: Record
    unreadable: bool = False


_NOTHING: Final = Record(document=None, history=[])
_Outcome = Result[Accepted, Rejected]


async def accept_change(deps: AcceptDeps, change: Change) -> _Outcome:
    """Accept a change, or tell why not and what is known about it."""
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
    """Drive one change to a definite answer; lost is the version a lost update was for."""

    def __init__(
        self, deps: AcceptDeps, change: Change, document: Document | None, warnings: list[Problem]
    ) -> None:
        self._deps = deps
        self._change = change
        self._document = document
        self._warnings = warnings
        self._lost: int | None = None

    async def run(self) -> _Outcome:
        """Read, decide and write; every round but the last lost to another change."""
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
        """Find this change in the trail: a lost answer, or the operator's own repeat."""
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
            # Writing over it would drop its trail, which nobody could then notice.
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
    """Tell which change won, with the values of an update and the names of other fields."""
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
