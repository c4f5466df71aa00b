"""Decode the operator's configuration into routes."""

from typing import Final, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from papayapier.clock import MS_PER_S
from papayapier.config.keys import key_digest
from papayapier.config.route_table import (
    CallerRequestLimits,
    Route,
    RouteKind,
    RoutingConfig,
    UpstreamShare,
)
from papayapier.config.teams import Team, Teams
from papayapier.decoding import DECODE_ERRORS

CONFIG_PREFIX: Final = "config/"
CONFIG_KEY: Final = "config/main"

_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "batch_job": RouteKind.JOB,
}


class _Share(TypedDict):
    service: str
    weight: float


class _Route(TypedDict):
    name: str
    host: str
    pathPrefix: str
    kind: str
    timeoutMs: NotRequired[float]
    # The latency objective: the time up to which an answer has its full value; not a limit.
    sloMs: NotRequired[float]
    priority: NotRequired[int]
    service: NotRequired[str]
    trafficSplit: NotRequired[list[_Share]]
    # The number of different replicas that one client attempt may be sent to.
    maxAttempts: NotRequired[int]
    # Requests carry prompts whose prefixes replicas cache.
    stickySessions: NotRequired[bool]
    resumable: NotRequired[bool]
    runTargetMs: NotRequired[float]
    # Seconds after which an item may be given up; no call waits that long.
    maxWaitS: NotRequired[float]
    # Requests need no API key.
    public: NotRequired[bool]


class _Service(TypedDict):
    name: str


class _Limits(TypedDict):
    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class _Team(TypedDict):
    name: str
    apiKeys: list[str]
    priority: NotRequired[int]
    ratePerS: NotRequired[float]
    # Requests allowed in addition to the rate, within any interval.
    burst: NotRequired[float]


class _Config(TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: NotRequired[list[_Team]]


_CONFIG: Final = msgspec.json.Decoder(_Config)


def read_configuration(value: bytes) -> Result[RoutingConfig, str]:
    """Decode a configuration, or return which field is invalid."""
    try:
        wire = _CONFIG.decode(value)
        routes = tuple(_route(route) for route in wire["routes"])
        teams = _teams(wire["tenants"]) if "tenants" in wire else None
    except DECODE_ERRORS as exc:
        return Err(str(exc))
    limits = wire["limits"]
    return Ok(
        RoutingConfig(
            wire["version"],
            routes,
            tuple(service["name"] for service in wire["services"]),
            CallerRequestLimits(
                limits["maxHeaderBytes"],
                limits["maxBodyBytes"],
                int(limits["headerTimeoutMs"]),
                int(limits["idleTimeoutMs"]),
            ),
            teams,
        )
    )


def _teams(wire: list[_Team]) -> Teams:
    """Convert the teams; refuse a key of two teams, as one could act for the other."""
    owners: dict[bytes, str] = {}
    teams = []
    for team in wire:
        name = team["name"]
        digests = [key_digest(key.encode()) for key in team["apiKeys"]]
        for digest in digests:
            if owners.setdefault(digest, name) != name:
                raise ValueError(f"tenants: {name}: apiKeys: another team has the same key")
        rate, burst = team.get("ratePerS", 0.0), team.get("burst", 0.0)
        if rate < 0 or burst < 0:
            raise ValueError(f"tenants: {name}: ratePerS, burst: below 0")
        teams.append((Team(name, rate, burst, team.get("priority")), digests))
    if len({known.name for known, _ in teams}) != len(teams):
        raise ValueError("tenants: name: two teams have the same name")
    return Teams(teams)


def _route(wire: _Route) -> Route:
    kind = _KINDS.get(wire["kind"])
    if kind is None:
        raise ValueError(f"routes: {wire['name']}: kind: unknown kind {wire['kind']}")
    split = wire.get("trafficSplit") or []
    shares = tuple(UpstreamShare(part["service"], part["weight"]) for part in split)
    if not shares:
        shares = (UpstreamShare(wire.get("service", ""), 1.0),)
    if not all(share.upstream for share in shares):
        raise ValueError(f"routes: {wire['name']}: service: missing")
    return Route(
        name=wire["name"],
        host=wire["host"],
        prefix=wire["pathPrefix"],
        kind=kind,
        shares=shares,
        timeout_ms=int(wire.get("timeoutMs", 0)),
        objective_ms=int(wire.get("sloMs", 0)),
        attempts=max(1, wire.get("maxAttempts", 1)),
        rank=wire.get("priority", 0),
        resumable=wire.get("resumable", False),
        route_by_prompt=wire.get("stickySessions", False),
        due_ms=int(wire.get("runTargetMs", 0)),
        give_up_ms=int(wire.get("maxWaitS", 0) * MS_PER_S),
        public=wire.get("public", False),
    )
