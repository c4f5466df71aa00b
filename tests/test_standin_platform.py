"""Test the platform stand-in over real sockets: its protocol and its fault switches."""

from typing import Any

from twisted.internet.error import ConnectionRefusedError

from papayapier.clock import fake_clock
from papayapier.standin.instance_list import EXPIRY_MS
from papayapier.standin.platform import (
    PlatformControl,
    PlatformParams,
    PlatformServer,
    start_platform,
)
from papayapier.store.api import Member
from tests.standin_case import HOST, REACTOR, HttpResponse, StandInCase


class PlatformTest(StandInCase):
    """Test the platform."""

    server: PlatformServer

    async def start(self, **params: Any) -> None:
        platform_params = PlatformParams(**{"latency_ms": 0, "list_lag_ms": 0, **params})
        self.server = await start_platform(REACTOR, self.clock, platform_params, HOST, 0)
        self.addCleanup(self.server.close)

    async def get(self, path: str) -> HttpResponse:
        return await self.call(self.server.port, "GET", path)

    async def put(self, key: str, value: bytes, **conditions: str) -> HttpResponse:
        headers = {name.replace("_", "-"): text for name, text in conditions.items()}
        path = f"/objects/{key}"
        return await self.call(self.server.port, "PUT", path, value, headers=headers)

    async def create(self, key: str, value: bytes = b"v") -> HttpResponse:
        return await self.put(key, value, if_none_match="*")

    async def delete(self, key: str, version: int) -> HttpResponse:
        headers = {"If-Match": f'"{version}"'}
        return await self.call(self.server.port, "DELETE", f"/objects/{key}", headers=headers)

    async def test_conditional_changes(self) -> None:
        await self.start()
        created = await self.create("a/b", b"one")
        assert (created.status, created.headers["etag"]) == (201, '"1"')
        assert (await self.create("a/b")).status == 412
        changed = await self.put("a/b", b"two", if_match='"1"')
        assert (changed.status, changed.headers["etag"]) == (200, '"2"')
        assert (await self.put("a/b", b"x", if_match='"1"')).status == 412
        assert (await self.put("a/b", b"x")).status == 428
        read = await self.get("/objects/a/b")
        assert (read.status, read.text, read.headers["etag"]) == (200, "two", '"2"')
        assert (await self.delete("a/b", 1)).status == 412
        assert (await self.delete("a/b", 2)).status == 200
        assert (await self.get("/objects/a/b")).status == 404
        assert (await self.create("a/b")).headers["etag"] == '"4"'

    async def test_bad_keys_and_large_values_are_refused(self) -> None:
        await self.start()
        assert (await self.create("a%20b")).status == 400
        assert (await self.create("k" * 513)).status == 400
        assert (await self.create("big", b"x" * 1_000_001)).status == 413
        assert (await self.create("big", b"x" * 1_000_000)).status == 201

    async def test_list_and_watch(self) -> None:
        await self.start()
        for key in ("a/1", "a/2", "b"):
            await self.create(key)
        page = await self.get("/list?prefix=a/&after=&limit=1")
        listed = [{"key": "a/1", "version": 1}]
        assert page.value == {"objects": listed, "more": True, "revision": 3}
        waiting = self.start_call(self.get("/watch?prefix=a/&since=3&wait_ms=10000"))
        await self.wait_until(lambda: self.server.counts().watches == 1)
        await self.create("c")
        await self.delete("a/2", 2)
        change = {"key": "a/2", "version": 5, "deleted": True}
        assert (await waiting).value == {"changes": [change], "revision": 5}
        empty = await self.get("/watch?prefix=a/&since=5&wait_ms=5")
        assert empty.value == {"changes": [], "revision": 5}
        assert (await self.get("/watch?prefix=a/&since=9&wait_ms=5")).status == 410

    async def test_outage_refuses_and_changes_nothing(self) -> None:
        await self.start()
        waiting = self.start_call(self.get("/watch?prefix=&since=0&wait_ms=10000"))
        await self.wait_until(lambda: self.server.counts().watches == 1)
        control = await self.call(self.server.port, "POST", "/control", {"outage": True})
        assert control.value["outage"] is True
        assert (await waiting).status == 503
        assert (await self.create("a")).status == 503
        self.server.control({"outage": False})
        assert (await self.get("/objects/a")).status == 404

    async def test_lost_answer_follows_an_applied_change(self) -> None:
        """Check that the change was made although its response was lost.

        A retry of the write then gets a conflict.
        """
        await self.start()
        self.server.control({"lose_answers": 1})
        await self.expect_cut(self.create("a"))
        assert (await self.create("a")).status == 412

    async def test_dropped_watch_is_never_answered(self) -> None:
        await self.start()
        watch = "/watch?prefix=a&since=0&wait_ms=10000"
        early = self.start_call(self.get(watch))
        await self.wait_until(lambda: self.server.counts().watches == 1)
        self.server.control({"drop_watches": True})
        late = self.start_call(self.get(watch))
        await self.wait_until(lambda: self.server.counts().watches == 2)
        await self.create("a")
        self.server.control({"drop_watches": False})
        assert (await self.get(watch)).value["revision"] == 1
        assert not (early.called or late.called)

    async def test_rate_limit_sends_retry_after(self) -> None:
        await self.start(writes_per_s=1)
        assert (await self.create("a")).status == 201
        refused = await self.create("b")
        assert (refused.status, refused.headers["retry-after"]) == (429, "1")
        assert self.server.objects.revision == 1
        assert self.server.counts().limited == 1

    async def test_instances_report_and_leave(self) -> None:
        await self.start()
        first = (await self.get("/instances?since=0&wait_ms=0")).value
        member = Member("i-1", "entry", "", HOST, 1, 2, "dc-a", "r", "live")
        body = member._asdict()
        waiting = self.start_call(self.get(f"/instances?since={first['revision']}&wait_ms=10000"))
        await self.wait_until(lambda: self.server.counts().reads == 2)
        put = await self.call(self.server.port, "PUT", "/instances/i-1", body)
        assert put.status == 200
        del body["static"]
        assert (await waiting).value["instances"] == [body]
        wrong = await self.call(self.server.port, "PUT", "/instances/i-2", body)
        assert wrong.status == 400
        await self.call(self.server.port, "DELETE", "/instances/i-1")
        assert (await self.get("/instances")).value["instances"] == []

    async def test_port_reopens_after_refusing_connections(self) -> None:
        """Simulate a restart of the platform's process on the same port.

        While nothing listens, waiting calls fail and new connections are refused.
        """
        await self.start()
        waiting = self.start_call(self.get("/watch?prefix=&since=0&wait_ms=10000"))
        await self.wait_until(lambda: self.server.counts().watches == 1)
        body = {"refuse_connections": True}
        answer = await self.call(self.server.port, "POST", "/control", body)
        assert answer.value["refuse_connections"] is True
        await self.expect_cut(waiting)
        await self.wait_until(lambda: not self.server.is_listening())
        try:
            await self.get("/objects/a")
        except ConnectionRefusedError:
            pass
        else:
            raise AssertionError("the port is open")
        self.server.control(PlatformControl(restart_ms=1))
        await self.wait_until(self.server.is_listening)
        assert (await self.create("a")).status == 201
        shown = (await self.call(self.server.port, "GET", "/control")).value
        assert shown["refuse_connections"] is False

    async def test_refused_connections_do_not_expire_members(self) -> None:
        """Check that expiry is suspended while the port is closed and no reports can arrive."""
        fake = fake_clock()
        self.clock, real = fake.clock, self.clock
        await self.start()
        self.clock = real
        self.server.register(Member("i-1", "entry", "", HOST, 1, 2, "dc-a", "r", "live"))
        self.server.control({"refuse_connections": True, "restart_ms": 2 * EXPIRY_MS})
        fake.jump(2 * EXPIRY_MS)
        await self.wait_until(self.server.is_listening)
        assert [member["id"] for member in (await self.get("/instances")).value["instances"]] == [
            "i-1"
        ]
        fake.jump(EXPIRY_MS)
        assert (await self.get("/instances")).value["instances"] == []

    async def test_write_cut_before_its_effect_changes_nothing(self) -> None:
        """Check that a connection cut before a write takes effect leaves the object unchanged.

        A caller must not take a cut connection for a change that was made.
        """
        await self.start()
        self.server.control({"cut_before_effect": 1, "lose_answers": 1})
        await self.expect_cut(self.create("a"))
        assert (await self.get("/objects/a")).status == 404
        await self.expect_cut(self.create("a"))
        assert (await self.get("/objects/a")).status == 200

    async def test_member_states_are_overridden_over_http(self) -> None:
        await self.start()
        for name in ("one", "two"):
            member = Member(name, "replica", "lm", HOST, 1, 0, "dc-a", "r", "live", static=True)
            self.server.register(member)

        async def states(**control: list[str]) -> dict[str, str]:
            done = await self.call(self.server.port, "POST", "/control", control)
            assert done.status == 200
            shown = (await self.get("/instances")).value["instances"]
            return {record["id"]: record["state"] for record in shown}

        assert await states(leaving=["one"]) == {"one": "leaving", "two": "live"}
        assert await states(removed=["two"]) == {"one": "leaving"}
        assert await states(leaving=[], removed=[]) == {"one": "live", "two": "live"}

    async def test_invalid_switches_change_nothing(self) -> None:
        await self.start()
        before = self.server.switches.copy()
        for wrong in ({"outtage": True}, {"leaving": ["nobody"]}, {"slow_ms": -1}, {"outage": 1}):
            body = {"list_lag_ms": 7, **wrong}
            assert (await self.call(self.server.port, "POST", "/control", body)).status == 400
        assert self.server.switches == before
