"""Validate a configuration document before it is accepted, and name the path of each error.

The types define the valid range of each single field. This module checks rules that involve
several fields or the configuration in force.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, get_type_hints

from result import Err, Ok

from papayapier import codec
from papayapier.config.profiles import Profile
from papayapier.config.records import KINDS, PROFILES, Document, Subject, Wanted
from papayapier.config.upstreams import UpstreamWanted

MAX_URGENT_DUE_MS: Final = 600_000


class Problem(NamedTuple):
    """Name an invalid field and the reason; path is empty if it is the whole document."""

    path: str
    reason: str


class CheckResult(NamedTuple):
    """Hold the result of a check: errors prevent a change, warnings do not.

    stranded is the number of queued requests and items that could no longer run.
    """

    wanted: Wanted | None
    errors: list[Problem]
    warnings: list[Problem]
    stranded: int = 0


class CheckDeps(NamedTuple):
    """Group the queries of the running system that a check needs."""

    current: Callable[[Subject], Wanted | None]
    queued_under: Callable[[str], int]
    upstreams: Callable[[], set[str]]


def check_change(deps: CheckDeps, subject: Subject, document: object) -> CheckResult:
    """Check a document that is to replace the one in force; None stands for a deletion."""
    if document is None:
        return _check_stranding(deps, subject, CheckResult(None, [], []))
    check_result = check_document(subject, document)
    if check_result.errors:
        return check_result
    check_result = check_result._replace(warnings=_warnings(deps, check_result.wanted))
    return _check_stranding(deps, subject, check_result)


def check_document(subject: Subject, document: object) -> CheckResult:
    """Check a document without regard to the configuration in force."""
    kind = KINDS[subject.kind]
    errors = _field_errors(document, kind)
    if errors:
        return CheckResult(None, errors, [])
    match codec.from_document(document, kind):
        case Err(error):
            return CheckResult(None, [_parse_problem(error)], [])
        case Ok(wanted):
            return CheckResult(wanted, _rule_errors(subject, wanted), [])


def describe_problems(problems: list[Problem]) -> str:
    """Join problems into one line."""
    return "; ".join(f"{p.path}: {p.reason}" if p.path else p.reason for p in problems)


def _field_errors(document: object, kind: type[Any]) -> list[Problem]:
    """Check each top-level field separately, because the decoder stops at the first error."""
    if not isinstance(document, dict):
        return [Problem("", "expected an object")]
    hints = get_type_hints(kind, include_extras=True)
    found = [Problem(str(name), "no such field") for name in document if name not in hints]
    for name, hint in hints.items():
        if name in document:
            found.extend(_value_errors(name, document[name], hint))
        elif name not in getattr(kind, "_field_defaults"):  # noqa: B009
            found.append(Problem(name, "this field is required"))
    return found


def _value_errors(name: str, value: object, hint: Any) -> list[Problem]:
    match codec.from_document(value, hint):
        case Err(error):
            inner = _parse_problem(error)
            path = f"{name}.{inner.path}" if inner.path else name
            return [Problem(path.replace(".[", "["), inner.reason)]
        case _:
            return []


def _parse_problem(error: str) -> Problem:
    path, separator, reason = error.partition(": ")
    return Problem(path, reason) if separator and " " not in path else Problem("", error)


def _rule_errors(subject: Subject, wanted: Wanted) -> list[Problem]:
    errors = []
    if wanted.name != subject.name:
        errors.append(Problem("name", f"is {wanted.name!r}, but {subject.name!r} is changed"))
    if isinstance(wanted, Profile):
        return errors + _profile_errors(wanted)
    return errors + _upstream_errors(wanted)


def _profile_errors(profile: Profile) -> list[Problem]:
    errors = []
    if profile.urgency == "urgent" and profile.due_ms > MAX_URGENT_DUE_MS:
        errors.append(
            Problem("due_ms", f"exceeds {MAX_URGENT_DUE_MS}, the maximum for urgent requests")
        )
    if profile.urgency == "batch" and profile.batch.share == 0:
        errors.append(Problem("batch.share", "is 0, so batch items would never run"))
    return errors


def _upstream_errors(upstream: UpstreamWanted) -> list[Problem]:
    errors = []
    for field in ("models", "adapters"):
        names = getattr(upstream, field)
        if len(set(names)) < len(names):
            errors.append(Problem(field, "contains a duplicate"))
    roles = [count.role for count in upstream.roles]
    if len(set(roles)) < len(roles):
        errors.append(Problem("roles", "contains a duplicate"))
    return errors


def _warnings(deps: CheckDeps, wanted: Wanted | None) -> list[Problem]:
    known = deps.upstreams()
    if isinstance(wanted, Profile) and known and wanted.upstream not in known:
        return [Problem("upstream", f"no upstream is called {wanted.upstream!r} at present")]
    return []


def _check_stranding(deps: CheckDeps, subject: Subject, check_result: CheckResult) -> CheckResult:
    """Count the queued requests and items that could no longer run after the change."""
    current = deps.current(subject)
    if subject.kind != PROFILES or not isinstance(current, Profile):
        return check_result
    field = _stranding_field(current, check_result.wanted)
    queued = deps.queued_under(subject.name) if field else 0
    if not queued:
        return check_result
    problem = Problem(field, f"{queued} queued requests or items would be stranded")
    return check_result._replace(warnings=[*check_result.warnings, problem], stranded=queued)


def _stranding_field(current: Profile, wanted: Wanted | None) -> str:
    """Return the path of the field whose change prevents queued work from running, or ""."""
    if not isinstance(wanted, Profile):
        return "name"
    if wanted.upstream != current.upstream:
        return "upstream"
    if (wanted.urgency == "batch") != (current.urgency == "batch"):
        return "urgency"
    return "idempotent" if current.idempotent and not wanted.idempotent else ""


def as_document(value: Wanted | None) -> Document | None:
    """Return the stored form of a profile or wanted state."""
    return None if value is None else codec.to_document(value)
