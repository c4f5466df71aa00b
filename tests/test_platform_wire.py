"""Test the platform adapter: how the platform's messages are decoded, and what is refused."""

import json
from typing import Any

import pytest
from result import Err, Ok
from twisted.web.http_headers import Headers

from papayapier.config.route_table import RouteKind, RouteTable
from papayapier.config.routing_registry import RoutingRegistry
from papayapier.jobs.job_service import ResultsPage
from papayapier.jobs.records import ItemOutcome, ItemResult
from papayapier.platform import headers, job_calls
from papayapier.platform.configuration import CONFIG_KEY, read_configuration
from papayapier.platform.replicas import decodes_differently, read_replica
from papayapier.store.api import Change
from papayapier.upstream.api import Load, Replica
from tests.site.world import HOST, make_configuration

REPLICA = Replica("i-1", "lm", "10.0.0.1", 80, "z")


def encoded(version: int = 1, **changes: Any) -> bytes:
    return json.dumps(make_configuration(version, **changes)).encode()


def test_routes_define_which_requests_may_be_repeated() -> None:
    cfg = read_configuration(encoded()).unwrap()
    repeatable = {route.name: route.is_repeatable() for route in cfg.routes}
    assert repeatable == {
        "look": True,
        "once": False,
        "ask": False,
        "ask-again": True,
        "job": False,
    }
    job = next(route for route in cfg.routes if route.kind is RouteKind.JOB)
    assert (job.due_ms, job.give_up_ms) == (10_000, 60_000)


def test_the_software_version_of_a_replica_is_read() -> None:
    """Guard against entries of two software versions that decode to the same replica."""
    entry = {
        "service": "lm",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 8,
        "state": "ready",
        "version": "v1",
    }
    before, after = json.dumps(entry).encode(), json.dumps({**entry, "version": "v2"}).encode()
    assert read_replica("i-1", before).unwrap().replica == REPLICA._replace(version="v1")
    assert decodes_differently(before, after)


def test_the_longest_prefix_of_the_host_is_chosen() -> None:
    document = make_configuration()
    document["routes"].append({**document["routes"][0], "name": "deep", "pathPrefix": "/look/a/"})
    table = RouteTable(read_configuration(json.dumps(document).encode()).unwrap())
    names = [table.find(HOST + ":80", path) for path in ("/look/a/b", "/look/b", "/other/")]
    assert [route and route.name for route in names] == ["deep", "look", None]
    assert table.find("elsewhere", "/look/b") is None


@pytest.mark.parametrize(
    ("field", "value"),
    [("kind", "odd"), ("service", ""), ("timeoutMs", "long"), ("maxAttempts", [])],
)
def test_the_error_of_an_invalid_configuration_names_the_field(field: str, value: Any) -> None:
    read = read_configuration(encoded(**{field: value}))
    assert isinstance(read, Err)
    assert field in read.err_value


def test_an_older_configuration_is_never_applied() -> None:
    # Symptom: a route that was removed is served again.
    # Sequence: a newer version arrives from a peer; the store's older answer arrives late.
    registry = RoutingRegistry(CONFIG_KEY, read_configuration)
    registry.on_change(Change(CONFIG_KEY, 7, False, encoded(3)))
    assert registry.apply_if_newer(9, encoded(5), "peer")
    registry.on_change(Change(CONFIG_KEY, 8, False, encoded(4)))
    assert not registry.apply_if_newer(10, encoded(4), "peer")
    registry.on_change(Change(CONFIG_KEY, 11, False, b"{}"))
    registry.on_change(Change(CONFIG_KEY, 12, True))
    assert registry.version() == 5


def test_a_replica_entry_is_decoded() -> None:
    entry = {"service": "lm", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "callSeq": 4}
    listed = read_replica("i-1", json.dumps({**entry, "state": "draining"}).encode()).unwrap()
    assert listed == (REPLICA, 8, True)
    assert isinstance(read_replica("i-1", b'{"service":"lm"}'), Err)
    assert isinstance(read_replica("i-1", b'{"service":"lm","address":"x","zone":""}'), Err)


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    sent = Headers(
        {
            "Connection": ["close, X-Own"],
            "X-Own": ["1"],
            "Keep-Alive": ["timeout=5"],
            "Transfer-Encoding": ["chunked"],
            "X-Model": ["m"],
            "Host": ["h"],
        }
    )
    forwarded = {name for name, _ in headers.end_to_end(sent).getAllRawHeaders()}
    assert forwarded == {b"X-Model", b"Host"}


def test_a_request_names_its_replica_and_the_time_left() -> None:
    out = headers.with_replica(Headers({"X-Deadline-Ms": ["5000"]}), REPLICA, 1_200, 7)
    values = {name: value for name, [value] in out.getAllRawHeaders()}
    assert values[b"X-Expect-Instance"] == b"i-1"
    assert values[b"X-Deadline-Ms"] == b"1200"
    assert values[b"Last-Event-Id"] == b"7"


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", Load(3, 1, 8, 0.0, 5, delayed=False)),
        # Failure: the load of replicas that report more figures is ignored.
        ("3,0,8,140", Load(3, 0, 8, 0.0, 5, delayed=False)),
        ("3, 0, 8, wild, 7", Load(3, 0, 8, 0.0, 5, delayed=False)),
        ("3,1", None),
        ("a,b,c", None),
        ("3,,8,100", None),
        ("-1,0,8", None),
        ("", None),
    ],
)
def test_the_load_header_of_an_answer_is_decoded(text: str, load: Load | None) -> None:
    facts = headers.decode_facts(200, Headers({"X-Server-Load": [text]}), 5)
    assert facts.load == load
    assert facts.load_unreadable is (load is None and bool(text))


def test_which_answers_state_that_a_request_was_not_run() -> None:
    assert headers.decode_facts(503, Headers({"X-Not-Executed": ["1"]}), 0).not_run
    assert headers.decode_facts(421, Headers(), 0).not_run
    assert not headers.decode_facts(503, Headers(), 0).not_run


@pytest.mark.parametrize(
    ("method", "path", "call"),
    [
        ("GET", "/v1/lots/j", job_calls.ReadCall("j", 2)),
        ("DELETE", "/v1/lots/j", job_calls.EndCall("j")),
        ("GET", "/v1/items/j", job_calls.BodyCall("j", "i")),
        ("POST", "/v1/items/j", None),
        ("GET", "/other", None),
    ],
)
def test_calls_on_jobs_are_decoded(method: str, path: str, call: object) -> None:
    query = {b"after": [b"2"], b"id": [b"i"]}
    assert job_calls.read_call(method, path, query) == call


def test_a_page_of_results_is_bounded_in_size() -> None:
    results = [ItemResult(f"i{n}", ItemOutcome.DONE, "x" * 400_000) for n in range(4)]
    page = json.loads(job_calls.write_page(ResultsPage(9, results), 3))
    assert (len(page["results"]), page["nextToken"], page["total"]) == (2, 5, 9)
    assert page["results"][0]["state"] == "completed"


@pytest.mark.parametrize("letter", ["x", "ค", '"', "\n"])
def test_a_page_of_any_letters_is_at_most_a_megabyte(letter: str) -> None:
    """Guard against pages that are measured in letters and take several megabytes."""
    results = [ItemResult(f"i{n}", ItemOutcome.DONE, letter * 40_000) for n in range(30)]
    encoded = job_calls.write_page(ResultsPage(30, results), 0)
    assert len(encoded) <= 1_000_000
    page = json.loads(encoded)
    assert page["nextToken"] == len(page["results"]) > 5
    assert {result["text"] for result in page["results"]} == {letter * 40_000}


@pytest.mark.parametrize(
    ("item", "named"),
    [
        ({"body": "%%"}, "body"),
        ({"id": 5}, "id"),
        ({"headers": {"a": 1}}, "headers"),
        ({"tokens": "many"}, "tokens"),
    ],
)
def test_the_error_of_an_invalid_item_names_the_field(item: dict[str, Any], named: str) -> None:
    good = {"id": "a", "path": "/p", "headers": {}, "body": "", "tokens": 1}
    read = job_calls.read_items(json.dumps({"items": [{**good, **item}]}).encode())
    assert isinstance(read, Err)
    assert named in read.err_value
    assert isinstance(job_calls.read_items(json.dumps({"items": [good]}).encode()), Ok)
    assert isinstance(job_calls.read_items(json.dumps({"items": [good, good]}).encode()), Err)


@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ([], ()),
        ([b"a1:800"], ()),
        ([b"a1:800,b2:410,c3:250"], ("a1", "b2")),
        ([b" A1:800 , a1:800, :3, b2,c3:1"], ("a1", "b2")),
        ([b"a1:800", b"b2:410"], ("a1",)),
    ],
)
def test_shared_parts_are_all_but_the_last(listed: list[bytes], expected: tuple[str, ...]) -> None:
    """Guard against taking a request's own part for one that it shares with others."""
    received = Headers({headers.PROMPT_PARTS: listed} if listed else {})
    assert headers.shared_parts(received) == expected
