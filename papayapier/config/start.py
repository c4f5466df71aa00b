"""Start the configuration service of one instance and expose its interface."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

from result import Result

from papayapier.clock import Clock
from papayapier.config import accept, audit_trail, checks
from papayapier.config.accept import AcceptDeps, Accepted, ChangeRequest, Rejected
from papayapier.config.audit_trail import AuditFilter, AuditLine
from papayapier.config.checks import CheckDeps, CheckResult
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.config.records import PROFILES, Subject, Wanted
from papayapier.config.sync import ConfigSync, ConfigSyncDeps
from papayapier.metrics import Metrics
from papayapier.peer.messages import Message
from papayapier.peer.topology import LinkPlan
from papayapier.settings import ConfigSettings
from papayapier.store.api import Store, StoreError

FOLLOW_EVERYWHERE: Final = LinkPlan(frozenset(), relay=True, full_mesh=True)


class ConfigDeps(NamedTuple):
    """Group the dependencies of the configuration service.

    send and broadcast send a message to one peer or to all, and return immediately. queued_under
    counts the queued requests and items of a profile. upstream_names returns the upstreams that
    have replicas. plan returns the topology of the links between instances.
    """

    clock: Clock
    rand: random.Random
    store: Store
    settings: ConfigSettings
    metrics: Metrics
    send: Callable[[str, Message], object]
    broadcast: Callable[[Message], object]
    peers: Callable[[], Sequence[str]]
    queued_under: Callable[[str], int]
    upstream_names: Callable[[], set[str]]
    plan: Callable[[], LinkPlan] = lambda: FOLLOW_EVERYWHERE


class ConfigService(NamedTuple):
    """Group the functions of the configuration service of one instance."""

    registry: ProfileRegistry
    on_peer_message: Callable[[str, Message], None]
    check: Callable[[Subject, object], CheckResult]
    accept: Callable[[ChangeRequest], Awaitable[Result[Accepted, Rejected]]]
    audit: Callable[[AuditFilter], Awaitable[Result[list[AuditLine], StoreError]]]
    check_ready: Callable[[int], Result[None, str]]
    stop: Callable[[], Awaitable[None]]


def start_config(deps: ConfigDeps) -> ConfigService:
    """Start polling and watching the store, and return the functions of the service."""
    registry = ProfileRegistry()
    sync = ConfigSync(
        ConfigSyncDeps(
            deps.clock,
            deps.rand,
            deps.store,
            deps.settings,
            deps.metrics,
            deps.send,
            deps.broadcast,
            deps.peers,
            deps.plan,
        ),
        registry,
    )
    check_deps = CheckDeps(
        lambda subject: _current(registry, subject), deps.queued_under, deps.upstream_names
    )
    accept_deps = AcceptDeps(deps.clock, deps.rand, deps.store, check_deps, sync.on_accepted)
    sync.start()
    return ConfigService(
        registry=registry,
        on_peer_message=sync.on_peer,
        check=lambda subject, document: checks.check_change(check_deps, subject, document),
        accept=lambda change: accept.accept_change(accept_deps, change),
        audit=lambda audit_filter: audit_trail.audit(deps.store, audit_filter),
        check_ready=sync.check_current,
        stop=sync.stop,
    )


def _current(registry: ProfileRegistry, subject: Subject) -> Wanted | None:
    if subject.kind == PROFILES:
        return registry.profile(subject.name)
    return registry.upstream(subject.name)
