"""Test how the team of a request is determined, and that keys are not passed on."""

import json
from typing import Any

import pytest
from result import Err, Ok
from twisted.web.http_headers import Headers

from papayapier.config.keys import MAX_KEY_BYTES, KeyRegistry, bearer_key, key_digest
from papayapier.config.route_table import RouteTable, pick_profile
from papayapier.config.teams import ANONYMOUS_TEAM, Team, may_access
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.entry.forward_refusals import refusal_status
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.jobs.records import job_key
from papayapier.platform.configuration import read_configuration
from papayapier.platform.headers import presented_keys, with_team
from tests.jobs_run_world import World
from tests.jobs_world import JOB, JobServiceWorld, item
from tests.site.world import make_configuration

KEY = "ftimaj3nr26tta828m82"
TEAMS: list[dict[str, Any]] = [
    {"name": "yard", "apiKeys": [KEY, "second"], "priority": 1, "ratePerS": 5.5, "burst": 7},
    {"name": "depot", "apiKeys": ["third"]},
]


def table(*teams: dict[str, Any], **changes: Any) -> RouteTable:
    document = {**make_configuration(**changes), "tenants": list(teams)}
    return RouteTable(read_configuration(json.dumps(document).encode()).unwrap())


@pytest.mark.parametrize(
    "shown",
    [
        [],
        [b""],
        [b"Bearer"],
        [b"Bearer "],
        [b"Basic " + KEY.encode()],
        [KEY.encode()],
        [b"Bearer " + KEY.encode(), b"Bearer " + KEY.encode()],
        [b"Bearer " + b"k" * 65_536],
        [b"Bearer \xff\x00\xfe"],
        [b"Bearer " + KEY.upper().encode()],
        [b"Bearer " + KEY[:-1].encode()],
        [b"Bearer " + KEY.encode() + b" more"],
    ],
)
def test_unknown_and_malformed_keys_are_refused(shown: list[bytes]) -> None:
    """A missing, unknown or malformed key is refused, and the reason must not contain a key."""
    asker = table(*TEAMS).authenticate(False, shown)
    assert isinstance(asker, Err)
    assert asker.err_value.kind is ErrorKind.UNAUTHORIZED
    assert refusal_status(asker.err_value) == 401
    assert KEY not in asker.err_value.reason


@pytest.mark.parametrize("shown", [f"Bearer {KEY}", f"bearer  {KEY} ", "Bearer second"])
def test_each_key_of_a_team_is_accepted(shown: str) -> None:
    """Each of a team's keys identifies the team, whatever the case and spaces of the scheme."""
    asker = table(*TEAMS).authenticate(False, [shown.encode()])
    assert asker == Ok(Team("yard", 5.5, 7, 1))


def test_public_routes_and_no_teams_require_no_key() -> None:
    """Keys are required only on routes that are not public, and only if teams are defined."""
    assert table(*TEAMS).authenticate(True, []) == Ok(ANONYMOUS_TEAM)
    bare = RouteTable(read_configuration(json.dumps(make_configuration()).encode()).unwrap())
    assert bare.authenticate(False, []) == Ok(None)
    assert isinstance(table().authenticate(False, [b"Bearer x"]), Err)


def test_a_host_of_public_jobs_requires_no_key() -> None:
    """A host has public jobs only if all its routes for jobs are public."""
    host = str(make_configuration()["routes"][0]["host"])
    assert table(*TEAMS, public=True).has_public_jobs(host)
    assert not table(*TEAMS).has_public_jobs(host)
    assert not table(*TEAMS, public=True).has_public_jobs("other.example")


@pytest.mark.parametrize(
    ("field", "value", "at"),
    [
        ("apiKeys", KEY, "apiKeys"),
        ("apiKeys", [7], "apiKeys"),
        ("ratePerS", -1, "ratePerS"),
        ("burst", "many", "burst"),
        ("priority", "high", "priority"),
        ("name", "depot", "name"),
        ("apiKeys", ["third"], "apiKeys"),
    ],
)
def test_error_for_an_invalid_team_names_the_field_and_no_key(
    field: str, value: Any, at: str
) -> None:
    """The error for an invalid team names its field and must not contain a key."""
    document = {**make_configuration(), "tenants": [{**TEAMS[0], field: value}, TEAMS[1]]}
    read = read_configuration(json.dumps(document).encode())
    assert isinstance(read, Err)
    assert at in read.err_value
    assert not any(key in read.err_value for key in (KEY, "third"))


def test_only_digests_are_stored() -> None:
    """Keys themselves must not be kept in memory; a key of the maximum length is accepted."""
    ring = KeyRegistry([(key_digest(KEY.encode()), "yard")])
    assert KEY not in repr(vars(ring))
    assert bearer_key([b"Bearer " + b"k" * MAX_KEY_BYTES]) is not None


def test_a_replica_gets_the_team_and_no_key() -> None:
    """The key is removed from forwarded headers, and a team stated by the caller is replaced."""
    sent = Headers(
        {"authorization": [f"Bearer {KEY}"], "x-tenant": ["depot", "x"], "X-Model": ["m"]}
    )
    out = with_team(sent, "yard")
    assert sorted(out.getAllRawHeaders()) == [(b"X-Model", [b"m"]), (b"X-Tenant", [b"yard"])]
    assert not with_team(sent, "").hasHeader("X-Tenant")
    assert presented_keys(sent) == [f"Bearer {KEY}".encode()]


@pytest.mark.parametrize(("rank", "urgency"), [(None, "urgent"), (0, "urgent"), (1, "normal")])
def test_a_teams_rank_overrides_the_routes(rank: int | None, urgency: str) -> None:
    """The rank of a team, if it has one, decides the urgency in place of the route's rank."""
    import random

    route = table(*TEAMS).cfg.routes[0]
    assert pick_profile(route, random.Random(1), rank).urgency == urgency


def test_equal_requests_of_two_teams_have_different_fingerprints() -> None:
    """A team's request must not be quarantined for replica losses under another team's."""
    names = {request_fingerprint("POST", "h", "/a", b"x", team) for team in ("", "yard", "depot")}
    assert len(names) == 3


@pytest.mark.parametrize(
    ("owner", "team", "allowed"),
    [("yard", "yard", True), ("yard", "depot", False), ("", "yard", True), ("yard", "", True)],
)
def test_jobs_are_accessible_to_their_team_only(owner: str, team: str, allowed: bool) -> None:
    """Reading, resubmitting and ending a job require its team, on every instance."""
    assert may_access(owner, team) is allowed
    world = JobServiceWorld()
    items = (item("a"),)
    submitted = world.begin(world.service.submit(JOB, "h", "/j", items, 1_000, 0, owner))
    assert submitted.end() == Ok(None)
    # The second desk is another instance, which knows the job only from its stored record.
    for desk in (world.service, JobServiceWorld(world.memory).service):
        read = world.begin(desk.results(JOB, 0, 0, team)).end()
        body = world.begin(desk.item(JOB, "a", team)).end()
        again = world.begin(desk.submit(JOB, "h", "/j", items, 1_000, 0, team)).end()
        for result in (read, body, again):
            assert isinstance(result, Ok) is allowed
    ended = world.begin(world.service.end(JOB, 1_000, team)).end()
    assert isinstance(ended, Ok) is allowed
    assert (b'"team"' not in world.memory.objects[job_key(JOB)][1]) or not allowed


def test_an_item_runs_for_its_jobs_team_whatever_its_headers_say() -> None:
    """A team or key in an item's own headers must not reach the replica."""
    world = World("lm")
    job = world.job("j", 1, 10_000)
    job.record = job.record._replace(team="yard")
    (item_run,) = job.items.values()
    headers = {"Authorization": f"Bearer {KEY}", "x-tenant": "depot", "X-Model": "m"}
    item_run.item = item_run.item._replace(headers=headers)
    world.real_headers()
    world.pump()
    call = world.calls[item_run.item.id]
    assert call.headers.getRawHeaders("X-Tenant") == ["yard"]
    assert not call.headers.hasHeader("Authorization")


def test_refusals_have_the_status_for_their_kind() -> None:
    """Callers decide by the status whether to retry."""
    assert refusal_status(not_run_refusal(ErrorKind.OVER_ALLOWANCE, "")) == 429
    assert refusal_status(not_run_refusal(ErrorKind.NOT_GRANTED, "")) == 503
    assert refusal_status(not_run_refusal(ErrorKind.KEY_CONFLICT, "")) == 409
