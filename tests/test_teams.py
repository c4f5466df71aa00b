"""Test who counts as asking, and that a key goes no further than its check."""

import json
from typing import Any

import pytest
from result import Err, Ok
from twisted.web.http_headers import Headers

from papayapier.config.keys import MAX_KEY_BYTES, KeyRing, bearer_key, digest_of
from papayapier.config.route_table import RouteTable, pick_profile
from papayapier.config.teams import ANYBODY, Team, may_use
from papayapier.dispatch.lost_sends import name_work
from papayapier.entry.raw_refusals import raw_status
from papayapier.errors import ErrorKind, not_run
from papayapier.jobs.records import job_key
from papayapier.platform.configuration import read_configuration
from papayapier.platform.headers import of_team, shown_keys
from tests.jobs_run_world import World
from tests.jobs_world import JOB, DeskWorld, item
from tests.site.world import configuration

KEY = "ftimaj3nr26tta828m82"
TEAMS: list[dict[str, Any]] = [
    {"name": "yard", "apiKeys": [KEY, "second"], "priority": 1, "ratePerS": 5.5, "burst": 7},
    {"name": "depot", "apiKeys": ["third"]},
]


def table(*teams: dict[str, Any], **changes: Any) -> RouteTable:
    document = {**configuration(**changes), "tenants": list(teams)}
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
def test_what_is_no_known_key_is_refused(shown: list[bytes]) -> None:
    asker = table(*TEAMS).asker(False, shown)
    assert isinstance(asker, Err)
    assert asker.err_value.kind is ErrorKind.UNAUTHORIZED
    assert raw_status(asker.err_value) == 401
    assert KEY not in asker.err_value.reason


@pytest.mark.parametrize("shown", [f"Bearer {KEY}", f"bearer  {KEY} ", "Bearer second"])
def test_each_key_of_a_team_shows_it(shown: str) -> None:
    asker = table(*TEAMS).asker(False, [shown.encode()])
    assert asker == Ok(Team("yard", 5.5, 7, 1))


def test_public_routes_and_no_teams_ask_for_no_key() -> None:
    assert table(*TEAMS).asker(True, []) == Ok(ANYBODY)
    bare = RouteTable(read_configuration(json.dumps(configuration()).encode()).unwrap())
    assert bare.asker(False, []) == Ok(None)
    assert isinstance(table().asker(False, [b"Bearer x"]), Err)


def test_a_host_of_public_jobs_asks_for_no_key() -> None:
    host = str(configuration()["routes"][0]["host"])
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
def test_an_odd_team_is_named_by_its_field_and_never_by_its_key(
    field: str, value: Any, at: str
) -> None:
    document = {**configuration(), "tenants": [{**TEAMS[0], field: value}, TEAMS[1]]}
    read = read_configuration(json.dumps(document).encode())
    assert isinstance(read, Err)
    assert at in read.err_value
    assert not any(key in read.err_value for key in (KEY, "third"))


def test_only_digests_are_held() -> None:
    ring = KeyRing([(digest_of(KEY.encode()), "yard")])
    assert KEY not in repr(vars(ring))
    assert bearer_key([b"Bearer " + b"k" * MAX_KEY_BYTES]) is not None


def test_a_replica_sees_the_team_and_no_key() -> None:
    sent = Headers(
        {"authorization": [f"Bearer {KEY}"], "x-tenant": ["depot", "x"], "X-Model": ["m"]}
    )
    out = of_team(sent, "yard")
    assert sorted(out.getAllRawHeaders()) == [(b"X-Model", [b"m"]), (b"X-Tenant", [b"yard"])]
    assert not of_team(sent, "").hasHeader("X-Tenant")
    assert shown_keys(sent) == [f"Bearer {KEY}".encode()]


@pytest.mark.parametrize(("rank", "urgency"), [(None, "urgent"), (0, "urgent"), (1, "normal")])
def test_a_teams_rank_goes_before_the_routes(rank: int | None, urgency: str) -> None:
    import random

    route = table(*TEAMS).cfg.routes[0]
    assert pick_profile(route, random.Random(1), rank).urgency == urgency


def test_the_same_words_of_two_teams_are_two_works() -> None:
    # Symptom: a team is refused work that ended replicas for another.
    names = {name_work("POST", "h", "/a", b"x", team) for team in ("", "yard", "depot")}
    assert len(names) == 3


@pytest.mark.parametrize(
    ("owner", "asker", "may"),
    [("yard", "yard", True), ("yard", "depot", False), ("", "yard", True), ("yard", "", True)],
)
def test_jobs_are_their_teams(owner: str, asker: str, may: bool) -> None:
    assert may_use(owner, asker) is may
    world = DeskWorld()
    items = (item("a"),)
    submitted = world.begin(world.desk.submit(JOB, "h", "/j", items, 1_000, 0, owner))
    assert submitted.end() == Ok(None)
    # Another instance, which knows the job by its record only.
    for desk in (world.desk, DeskWorld(world.memory).desk):
        read = world.begin(desk.results(JOB, 0, 0, asker)).end()
        body = world.begin(desk.item(JOB, "a", asker)).end()
        again = world.begin(desk.submit(JOB, "h", "/j", items, 1_000, 0, asker)).end()
        for said in (read, body, again):
            assert isinstance(said, Ok) is may
    ended = world.begin(world.desk.end(JOB, 1_000, asker)).end()
    assert isinstance(ended, Ok) is may
    assert (b'"team"' not in world.memory.objects[job_key(JOB)][1]) or not may


def test_an_item_runs_for_its_jobs_team_whatever_its_headers_say() -> None:
    world = World("lm")
    work = world.job("j", 1, 10_000)
    work.record = work.record._replace(team="yard")
    (one,) = work.items.values()
    headers = {"Authorization": f"Bearer {KEY}", "x-tenant": "depot", "X-Model": "m"}
    one.item = one.item._replace(headers=headers)
    world.real_headers()
    world.pump()
    call = world.calls[one.item.id]
    assert call.headers.getRawHeaders("X-Tenant") == ["yard"]
    assert not call.headers.hasHeader("Authorization")


def test_refusals_say_what_callers_may_do() -> None:
    assert raw_status(not_run(ErrorKind.OVER_ALLOWANCE, "")) == 429
    assert raw_status(not_run(ErrorKind.NOT_GRANTED, "")) == 503
    assert raw_status(not_run(ErrorKind.KEY_CONFLICT, "")) == 409
