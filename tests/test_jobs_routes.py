"""Test which jobs a keeper runs, holds and gives up by routes that may be older than the jobs."""

import json
from typing import Any

import pytest

from papayapier.config.route_table import ConfigPosition
from papayapier.config.routing_registry import RoutingRegistry
from papayapier.jobs.records import (
    ItemOutcome,
    JobRecord,
    accepted_under,
    encode,
    group_key,
    job_key,
    make_write_id,
    read_group,
)
from papayapier.platform.configuration import CONFIG_KEY, read_configuration
from papayapier.store.api import Change, StoreError
from tests.jobs_world import JOB, record
from tests.test_jobs_runner import RunnerWorld

# The host and a prefix of the path of record().
HOST = "h.example"
PREFIX = "/jobs/"
LIMIT_S = 60
OLD = ConfigPosition(10, 2)
# int() refuses more than 4,300 digits.
MANY_DIGITS = f"00000000000000f3.{'1' * 5_000}.1"


def make_document(version: int, service: str, limit_s: int = LIMIT_S) -> dict[str, Any]:
    """Return a configuration with a route for jobs to a service, or without one."""
    route = {
        "name": "job",
        "host": HOST,
        "pathPrefix": PREFIX,
        "kind": "batch_job",
        "service": service,
        "timeoutMs": 4000,
        "sloMs": 400,
        "maxAttempts": 3,
        "runTargetMs": 18_000,
        "maxWaitS": limit_s,
    }
    return {
        "version": version,
        "routes": [route] if service else [],
        "services": [{"name": "lm"}, {"name": "other"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class RoutesWorld(RunnerWorld):
    """Hold a keeper with routes of its own, which may be older than those in the store."""

    def __init__(self, service: str, limit_s: int = LIMIT_S) -> None:
        self.registry = RoutingRegistry(CONFIG_KEY, read_configuration)
        super().__init__("lm", "other", registry=self.registry)
        self.push(OLD, service, limit_s)

    def push(self, position: ConfigPosition, service: str, limit_s: int = LIMIT_S) -> None:
        """Give the keeper a configuration, as a peer does."""
        document = make_document(position.version, service, limit_s)
        value = json.dumps(document).encode()
        self.registry.apply_if_newer(position.revision, value, "peer")

    def configure(self, version: int, service: str, limit_s: int = LIMIT_S) -> ConfigPosition:
        """Write a configuration into the store; the keeper does not follow it."""
        self.memory.revision = max(self.memory.revision, OLD.revision)
        value = json.dumps(make_document(version, service, limit_s)).encode()
        return ConfigPosition(version, self.memory.put(CONFIG_KEY, value))

    def accept(self, position: ConfigPosition | None) -> None:
        """Submit a job; a record of an earlier release does not name its configuration."""
        stored = self.record("a")
        if position is not None:
            stored = stored._replace(write_id=make_write_id(1, position))
        revision = self.memory.put(job_key(JOB), encode(stored))
        self.runner.on_change(Change(job_key(JOB), revision, False, encode(stored)))

    def outcomes(self) -> list[ItemOutcome]:
        """Return the listed outcomes."""
        if group_key(JOB, 0) not in self.memory.objects:
            return []
        group = read_group(self.memory.objects[group_key(JOB, 0)][1]).unwrap()
        return [result.end for result in group.results]

    def upstreams(self) -> list[str]:
        """Return the upstreams at which items run."""
        return [run.replica.upstream for run in self.runner._runs._runs.values()]


@pytest.mark.parametrize("names_configuration", [True, False])
def test_a_job_on_a_route_that_is_not_known_yet_is_not_given_up(names_configuration: bool) -> None:
    """Guard against items given up by a keeper that was cut off while their route was added."""
    world = RoutesWorld("")
    added = world.configure(13, "lm")
    # The store is not reached yet: nothing tells an unknown route from a removed one.
    world.memory.fault = lambda _call, key: StoreError.UNAVAILABLE if key == CONFIG_KEY else None
    world.accept(added if names_configuration else None)
    for _ in range(20):
        world.time.jump(200)
    assert (world.outcomes(), world.sent) == ([], {})
    world.make_store_available()
    for _ in range(5):
        world.time.jump(200)
    assert (world.outcomes(), world.upstreams()) == ([], ["lm"])


def test_a_job_on_a_removed_route_is_given_up_once_the_store_confirms_it() -> None:
    """Guard against items that are given up unconfirmed, or never after their route was removed."""
    world = RoutesWorld("lm")
    world.accept(OLD)
    world.time.jump(200)
    assert world.upstreams() == ["lm"]
    world.make_store_unavailable()
    world.push(world.configure(11, ""), "")
    for _ in range(10):
        world.time.jump(200)
    assert world.outcomes() == []
    world.make_store_available()
    for _ in range(10):
        world.time.jump(200)
    assert world.outcomes() == [ItemOutcome.GIVEN_UP]


def test_a_time_limit_that_was_raised_meanwhile_holds() -> None:
    """Guard against items given up by an older, shorter time limit."""
    world = RoutesWorld("lm", limit_s=5)
    world.configure(11, "lm", limit_s=LIMIT_S)
    world.accept(OLD)
    for _ in range(10):
        world.time.jump(1_000)
    assert world.outcomes() == []
    for _ in range(LIMIT_S):
        world.time.jump(1_000)
    assert world.outcomes() == [ItemOutcome.GIVEN_UP]


@pytest.mark.parametrize("version", [OLD.version, OLD.version + 1])
def test_items_do_not_run_by_routes_that_are_older_than_their_job(version: int) -> None:
    """Guard against items run at the upstream that their route had before they were accepted."""
    world = RoutesWorld("lm")
    moved = world.configure(version, "other")
    world.make_store_unavailable()
    world.runner.on_stored_locally(
        JOB, world.record("a")._replace(write_id=make_write_id(1, moved))
    )
    for _ in range(10):
        world.time.jump(200)
    assert world.upstreams() == []
    world.push(moved, "other")
    world.time.jump(200)
    assert world.upstreams() == ["other"]


def test_a_store_that_holds_older_routes_does_not_end_a_job() -> None:
    """Guard against items given up by a late copy of an older configuration in the store."""
    world = RoutesWorld("")
    world.configure(9, "")
    world.accept(ConfigPosition(13, 1))
    for _ in range(20):
        world.time.jump(200)
    assert world.outcomes() == []
    reads = world.memory.calls.count(f"get {CONFIG_KEY}")
    assert reads < 20


def test_a_record_with_thousands_of_digits_hides_no_other_job() -> None:
    """Guard against one record that ends the rounds of all jobs."""
    world = RoutesWorld("lm")
    world.make_store_unavailable()
    world.runner.on_stored_locally("bad", world.record("a")._replace(write_id=MANY_DIGITS))
    world.runner.on_stored_locally(JOB, world.record("a"))
    for _ in range(10):
        world.time.jump(200)
    assert set(world.upstreams()) == {"lm"}


def test_an_error_about_one_job_keeps_no_other_from_its_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against one job that ends the taking of all jobs after it."""
    world = RoutesWorld("lm")
    world.make_store_unavailable()
    find_owner = world.runner._owners.owner

    def owner(job_id: str, job_record: JobRecord) -> str:
        if job_id == "bad":
            raise KeyError(job_id)
        return find_owner(job_id, job_record)

    monkeypatch.setattr(world.runner._owners, "owner", owner)
    world.runner.on_stored_locally("bad", world.record("a"))
    world.runner.on_stored_locally(JOB, world.record("a"))
    for _ in range(10):
        world.time.jump(200)
    assert set(world.upstreams()) == {"lm"}


@pytest.mark.parametrize(
    ("write_id", "position"),
    [
        (make_write_id(7, ConfigPosition(13, 17)), ConfigPosition(13, 17)),
        ("00000000000000f3", ConfigPosition(0, 0)),
        ("00000000000000f3.x.1", ConfigPosition(0, 0)),
        (MANY_DIGITS, ConfigPosition(0, 0)),
        ("", ConfigPosition(0, 0)),
    ],
)
def test_the_configuration_of_a_record(write_id: str, position: ConfigPosition) -> None:
    """Guard against records of an earlier release that cannot be read, or hold a job for ever."""
    stored: JobRecord = record("a")._replace(write_id=write_id)
    assert accepted_under(stored) == position
