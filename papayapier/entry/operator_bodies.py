"""Define the JSON bodies of the operators' API."""

from typing import Any, NamedTuple

from papayapier.config.checks import Problem
from papayapier.config.records import AuditEntry, FieldChange
from papayapier.entry.answers import ErrorBody


class ProfileChangeBody(NamedTuple):
    """Ask for a change of a profile."""

    profile: Any
    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class UpstreamChangeBody(NamedTuple):
    """Ask for a change of an upstream's wanted state."""

    upstream: Any
    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class DeleteBody(NamedTuple):
    """Ask for a delete."""

    based_on: int
    reason: str
    change_id: str
    strand: bool = False


class ProfileCheckBody(NamedTuple):
    """Ask for a check of a profile."""

    profile: Any


class UpstreamCheckBody(NamedTuple):
    """Ask for a check of an upstream's wanted state."""

    upstream: Any


class ItemBody(NamedTuple):
    """Show one object in force; document is the profile or upstream."""

    name: str
    version: int
    document: Any


class ListBody(NamedTuple):
    """Show all objects of a kind in force on the instance that answers."""

    version: int
    items: list[ItemBody]


class CheckBody(NamedTuple):
    """Show the result of a check."""

    ok: bool
    errors: list[Problem]
    warnings: list[Problem]
    stranded: int


class AcceptedBody(NamedTuple):
    """Show an accepted change; repeated when an earlier call had been accepted."""

    name: str
    version: int
    repeated: bool
    changes: list[FieldChange]
    warnings: list[Problem]


class WinnerBody(NamedTuple):
    """Show the change that is in force in place of the refused one."""

    version: int
    change: AuditEntry


class RejectedBody(NamedTuple):
    """Show why a change was refused; winner is null unless another change won."""

    error: ErrorBody
    problems: list[Problem]
    winner: WinnerBody | None


class AuditLineBody(NamedTuple):
    """Show one audit entry with its object and the version it got."""

    kind: str
    name: str
    version: int
    entry: AuditEntry


class AuditBody(NamedTuple):
    """Show the chosen part of the trail, newest first."""

    lines: list[AuditLineBody]


class InstanceStatus(NamedTuple):
    """Show one instance as the answering one knows it.

    heard_ms_ago is 0 for the answering instance itself. agrees tells whether it had the
    same configuration, object for object, when last heard from.
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
    """Show every known instance with its version in force, and which one is behind."""

    instance: str
    instances: list[InstanceStatus]

    def slowest(self) -> InstanceStatus:
        """Return the instance with the lowest version in force."""
        return min(self.instances, key=lambda one: (one.agrees, one.config_version))


class StatusBody(NamedTuple):
    """Show the status of the fleet."""

    instance: str
    instances: list[InstanceStatus]
    slowest: str
