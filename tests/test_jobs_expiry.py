"""Test that jobs are deleted after their retention period, and not before."""

from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.jobs.expiry import CLOCK_MARGIN_MS, Expiry, ExpiryDeps
from papayapier.jobs.records import encode, group_key, job_key, part_key
from papayapier.store.api import Change
from tests.jobs_world import JOB, MemoryStore, group, item, record

KEEP_S = 120


class World:
    def __init__(self) -> None:
        self.time = fake_clock(wall_ms=0)
        self.memory = MemoryStore()
        self.closed = True
        deps = ExpiryDeps(self.time.clock, self.memory.store(), KEEP_S, lambda _job: self.closed)
        self.expiry = Expiry(deps)
        self.memory.put(part_key(JOB, 0), encode((item("a"),)))
        value = encode(record("a")._replace(parts=1))
        version = self.memory.put(job_key(JOB), value)
        self.memory.put(group_key(JOB, 0), encode(group("a")))
        self.expiry.on_change(Change(job_key(JOB), version, False, value))

    def sweep_at(self, ms: int) -> list[str]:
        self.time.jump(ms)
        Deferred.fromCoroutine(self.expiry.sweep())
        return sorted(self.memory.objects)


def test_an_expired_closed_job_is_deleted_with_its_parts_and_groups() -> None:
    world = World()
    assert len(world.sweep_at(KEEP_S * 1_000)) == 3
    assert world.sweep_at(CLOCK_MARGIN_MS + 1) == []
    deletes = [call for call in world.memory.calls if call.startswith("delete")]
    assert deletes[0] == f"delete {job_key(JOB)}"


def test_an_open_job_is_not_deleted() -> None:
    world = World()
    world.closed = False
    assert len(world.sweep_at(10 * KEEP_S * 1_000)) == 3


def test_a_job_that_has_changed_is_not_deleted() -> None:
    world = World()
    world.memory.put(job_key(JOB), encode(record("a")._replace(ended=True)))
    assert len(world.sweep_at(10 * KEEP_S * 1_000)) == 3
