"""Define the JSON bodies of the operators' API."""

from typing import Any, NamedTuple

from papayapier.config.checks import Problem
from papayapier.config.records import AuditEntry, FieldChange
from papayapier.entry.answers import ErrorBody


class ProfileChangeBody(NamedTuple):
    """Request a change of a profile."""

    profile: Any
    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class UpstreamChangeBody(NamedTuple):
    """Request a change of an upstream's desired state."""

    upstream: Any
    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class DeleteBody(NamedTuple):
    """Request a deletion."""

    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class ProfileCheckBody(NamedTuple):
    """Request a check of a profile."""

    profile: Any


class UpstreamCheckBody(NamedTuple):
    """Request a check of an upstream's desired state."""

    upstream: Any


class ItemBody(NamedTuple):
    """Show one active object; document is the profile or upstream."""

    name: str
    version: int
    document: Any


class ListBody(NamedTuple):
    """Show all objects of a kind that are active on the answering instance."""

    version: int
    items: list[ItemBody]


class CheckBody(NamedTuple):
    """Show the result of a check."""

    ok: bool
    errors: list[Problem]
    warnings: list[Problem]
    stranded: int


class AcceptedBody(NamedTuple):
    """Show an accepted change; repeated if an earlier call with its change id was accepted."""

    name: str
    version: int
    repeated: bool
    changes: list[FieldChange]
    warnings: list[Problem]


class WinnerBody(NamedTuple):
    """Show the active change that conflicts with the refused one."""

    version: int
    change: AuditEntry


class RejectedBody(NamedTuple):
    """Show why a change was refused; winner is null unless another change won."""

    error: ErrorBody
    problems: list[Problem]
    winner: WinnerBody | None


class AuditLineBody(NamedTuple):
    """Show one audit entry with its object and the resulting version."""

    kind: str
    name: str
    version: int
    entry: AuditEntry


class AuditBody(NamedTuple):
    """Show the selected part of the audit trail, newest first."""

    lines: list[AuditLineBody]


class InstanceStatus(NamedTuple):
    """Show one instance as the answering instance knows it.

    heard_ms_ago is the age of its last heartbeat, and 0 for the answering instance itself. agrees
    says whether its configuration was identical, object for object, at that heartbeat.
    """

    id: str
    state: str
    ready: bool
    reason: str
    config_version: int
    agrees: bool
    heard_ms_ago: int
    data_centre: str = ""
    region: str = ""


class Status(NamedTuple):
    """Show every known instance with its active configuration version."""

    instance: str
    instances: list[InstanceStatus]

    def slowest(self) -> InstanceStatus:
        """Return the instance that is furthest behind: not in agreement, then lowest version."""
        return min(self.instances, key=lambda status: (status.agrees, status.config_version))


class StatusBody(NamedTuple):
    """Show the status of the fleet."""

    instance: str
    instances: list[InstanceStatus]
    slowest: str
