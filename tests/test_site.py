"""Test entries and keepers as processes on loopback against stand-ins of the platform."""

from signal import SIGKILL, SIGTERM, Signals
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import PartialDownloadError, ResponseFailed

from papayapier import events
from papayapier.node.entry import LOCAL_JOBS_WRITTEN_MS
from tests.site.case import SiteCase
from tests.site.replicas import EVENTS_PER_STREAM
from tests.site.soak import run_soak
from tests.site.world import make_configuration, new_request_id, sleep, start_task

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS_PER_STREAM + 1))
TEXT = "\n".join(f"piece {n}" for n in range(1, EVENTS_PER_STREAM + 1))


class SiteTestCase(SiteCase):
    """Run a small site with and without faults of replicas, the store and its processes."""

    async def _without_faults(self) -> None:
        world = self.world
        await world.start()
        complete = await world.get(self.port(), "/look/1")
        assert (complete.status, complete.body) == (200, b"whole answer")
        assert complete.headers.getRawHeaders("X-Server-Stamp") == ["signed"]
        stream = await world.get(self.port(2), "/stream/once/1")
        assert (stream.status, stream.body) == (200, STREAM)
        assert (await world.submit(self.port(), "job-1")).status == 202
        results = await world.results(self.port(2), "job-1", 3)
        assert {result["id"] for result in results} == {f"job-1-{n}" for n in range(3)}
        assert {(result["state"], result["text"]) for result in results} == {("completed", TEXT)}
        assert (await world.get(self.port(), "/nowhere/1")).status == 404
        # An entry that has just started cannot deny a job yet: keepers may still have a copy of it.
        await sleep(LOCAL_JOBS_WRITTEN_MS / 1_000)
        assert (await world.get(self.port(), "/v1/lots/no-such-job")).status == 404
        body = await world.get(self.port(2), "/v1/items/job-1?id=job-1-0")
        assert body.body == b"ask"

    def test_without_faults(self) -> Any:
        # Failure: requests, streams or jobs are answered wrongly although nothing fails.
        return Deferred.fromCoroutine(self._without_faults())

    async def _replica_cuts_streams(self) -> None:
        # Failure: answers are truncated or joined wrongly when a replica cuts its streams. One
        # replica cuts every stream in the middle of an event; another rejects all requests.
        world = self.world
        world.replicas[0].cut_after_events = 2
        world.replicas[2].shed = True
        await world.start()
        for number in range(4):
            stream = await world.get(self.port(), f"/stream/again/{number}")
            assert (stream.status, stream.body) == (200, STREAM)
            assert (await world.get(self.port(), f"/look/{number}")).status == 200
        assert (await world.submit(self.port(), "job-1")).status == 202
        for result in await world.results(self.port(), "job-1", 3):
            assert result["text"] == TEXT

    def test_a_replica_cuts_its_streams(self) -> Any:
        return Deferred.fromCoroutine(self._replica_cuts_streams())

    async def _error_then_cut(self) -> None:
        # Failure: a stream that is retried after an error and then cut ends as if complete.
        world = self.world
        world.store.put("config", "main", make_configuration(maxAttempts=2))
        request_ids = {new_request_id(), new_request_id()}
        unanswered_ids = set(request_ids)

        def fails(request: Any) -> bool:
            request_id = request.getHeader("X-Request-Id")
            first = request_id in unanswered_ids
            unanswered_ids.discard(request_id)
            return first

        for replica in world.replicas[:2]:
            replica.should_fail = fails
            replica.cut_after_events = 2
        await world.start(entries=2, keepers=0)
        sends = [
            self._is_cut_off(entry, request_id)
            for entry, request_id in enumerate(sorted(request_ids), 1)
        ]
        for was_cut in [start_task(send) for send in sends]:
            assert await was_cut

    async def _is_cut_off(self, entry: int, request_id: str) -> bool:
        try:
            await self.world.get(self.port(entry), "/stream/again/1", X_Request_Id=request_id)
        except (PartialDownloadError, ResponseFailed):
            return True
        return False

    def test_a_stream_cut_after_an_error_is_not_complete(self) -> Any:
        return Deferred.fromCoroutine(self._error_then_cut())

    async def _entry_exits(self, signal: Signals) -> None:
        # Failure: a stream that is open when its entry ends looks complete to its caller.
        world = self.world
        for replica in world.replicas[:2]:
            replica.stall_after_events = 2
        await world.start(entries=1, keepers=0)
        was_cut = start_task(self._is_cut_off(1, new_request_id()))
        await world.wait_until(
            lambda: any(replica.open_requests for replica in world.replicas[:2]), "a stream is open"
        )
        await sleep(0.1)
        world.children["entry-1"].send_signal(signal)
        assert await was_cut

    def test_a_stream_is_cut_where_its_entry_is_killed(self) -> Any:
        return Deferred.fromCoroutine(self._entry_exits(SIGKILL))

    def test_a_stalled_stream_is_cut_in_a_planned_stop(self) -> Any:
        return Deferred.fromCoroutine(self._entry_exits(SIGTERM))

    async def _started_once(self) -> None:
        # Failure: a non-idempotent request runs twice, or is refused as not run although it ran.
        # Its replica closes the connection after the request has started.
        world = self.world
        for replica in world.replicas[:2]:
            replica.cut_after_events = 1
        await world.start(entries=1, keepers=0)
        request_id = new_request_id()
        try:
            reply = await world.get(self.port(), "/stream/once/1", X_Request_Id=request_id)
        except Exception as exc:
            assert "PartialDownload" in repr(exc) or "ResponseFailed" in repr(exc), exc
        else:
            assert reply.status == 502, reply
        started_ids = [
            started_id for replica in world.replicas for started_id in replica.started_requests
        ]
        assert started_ids.count(request_id) == 1

    def test_a_started_request_is_not_resent(self) -> Any:
        return Deferred.fromCoroutine(self._started_once())

    async def _store_outage(self) -> None:
        # Failure: a store outage of some seconds affects more than new jobs. They are refused as
        # not run; online requests continue, and results that were read before stay readable.
        # After the outage jobs are accepted again.
        world = self.world
        await world.start()
        assert (await world.submit(self.port(), "job-1")).status == 202
        await world.results(self.port(), "job-1", 3)
        world.store.unavailable = True
        refused = await world.submit(self.port(), "job-2")
        assert refused.status == 503
        assert refused.headers.getRawHeaders("Retry-After")
        assert (await world.get(self.port(), "/look/1")).status == 200
        assert len(await world.results(self.port(), "job-1", 3)) == 3
        assert (await world.get(self.port(2), "/v1/lots/job-2")).status == 503
        world.store.unavailable = False
        await sleep(1.5)
        assert (await world.submit(self.port(2), "job-2")).status == 202
        await world.results(self.port(), "job-2", 3)

    def test_a_store_outage(self) -> Any:
        return Deferred.fromCoroutine(self._store_outage())

    async def _accepted_in_an_outage(self) -> None:
        # Failure: jobs that are submitted during a store outage are refused or lost. A job is
        # submitted twice, all processes are killed and restarted while the store is still
        # unavailable, and then the store is available again.
        world = self.world
        await world.start(entries=2, keepers=3)
        # An entry sends copies of a job to the keepers that are registered in the store and
        # reachable. On a busy machine it learns of the last keeper up to 1.5 s after that keeper
        # has started, and refuses jobs until then.
        entries = [world.children[name] for name in world.caller_ports]
        await world.wait_until(
            lambda: all(entry.logged_count(events.PEER_UP.number) >= 4 for entry in entries),
            "the entries receive heartbeats of the keepers",
        )
        await sleep(2.0)
        world.store.unavailable = True
        assert (await world.submit(self.port(), "job-1")).status == 202
        assert (await world.submit(self.port(2), "job-1")).status == 202
        for name, child in list(world.children.items()):
            child.send_signal(SIGKILL)
            await child.ended
            world.restart(name)
        for port in world.caller_ports.values():
            await world.wait_until_listening(port)
        assert world.store.names("papayapier-jobs") == []
        world.store.unavailable = False
        for name in world.caller_ports:
            await world.wait_until_ready(name)
        for port in world.caller_ports.values():
            assert len(await world.results(port, "job-1", 3)) == 3
        assert world.store.names("papayapier-jobs") == ["job-1"]

    def test_a_job_is_accepted_in_an_outage(self) -> Any:
        return Deferred.fromCoroutine(self._accepted_in_an_outage())

    async def _submit_twice(self) -> None:
        # Failure: a job's items run and are listed twice. The write of the job's record is carried
        # out but not answered, and the caller submits the job at another entry at the same time.
        world = self.world
        await world.start()
        world.store.unanswered_writes = 1
        sends = [start_task(world.submit(self.port(n), "job-1")) for n in (1, 2)]
        for sent in sends:
            assert (await sent).status == 202
        await world.results(self.port(), "job-1", 3)
        assert world.store.names("papayapier-jobs") == ["job-1"]
        await sleep(0.5)
        assert len(await world.results(self.port(2), "job-1", 3)) == 3

    def test_a_job_submitted_twice(self) -> Any:
        return Deferred.fromCoroutine(self._submit_twice())

    async def _planned_stop(self) -> None:
        # Failure: a stream is cut when its entry is stopped. SIGTERM is sent to an entry with an
        # open stream and to a keeper that runs items.
        world = self.world
        await world.start(entries=2, keepers=2)
        assert (await world.submit(self.port(2), "job-1")).status == 202
        stream = start_task(world.get(self.port(1), "/stream/once/1"))
        await sleep(0.05)
        stops = [start_task(world.stop(name)) for name in ("entry-1", "keeper-1")]
        assert (await stream).body == STREAM
        for stop in stops:
            assert await stop == 0
        assert len(await world.results(self.port(2), "job-1", 3)) == 3

    def test_a_planned_stop(self) -> Any:
        return Deferred.fromCoroutine(self._planned_stop())

    async def _keeper_killed(self) -> None:
        # Failure: jobs of a killed keeper are not completed. The other keeper takes them over.
        world = self.world
        await world.start(entries=1, keepers=2)
        for number in range(4):
            assert (await world.submit(self.port(), f"job-{number}")).status == 202
        world.children["keeper-1"].send_signal(SIGKILL)
        for number in range(4):
            results = await world.results(self.port(), f"job-{number}", 3)
            assert len({result["id"] for result in results}) == 3

    def test_a_keeper_is_killed(self) -> Any:
        return Deferred.fromCoroutine(self._keeper_killed())

    async def _configuration(self) -> None:
        # Failure: an unreadable configuration replaces the valid one. A newer configuration
        # changes the host; it stays in force when an unreadable configuration follows.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.store.put("config", "main", make_configuration(version=5, host="other.example"))
        await sleep(0.5)
        assert (await world.get(self.port(), "/look/1")).status == 404
        assert (await world.get(self.port(), "/look/1", Host="other.example")).status == 200
        world.store.put("config", "main", {"version": 6, "routes": "none"})
        await sleep(0.5)
        assert (await world.get(self.port(), "/look/1", Host="other.example")).status == 200
        assert world.children["entry-1"].logged_count(604) == 1

    def test_a_configuration_changes(self) -> Any:
        return Deferred.fromCoroutine(self._configuration())

    async def _replica_drains(self) -> None:
        # Failure: requests are sent to a replica whose entry says that it drains.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.replicas[2].register("draining")
        await sleep(0.3)
        for number in range(6):
            assert (await world.get(self.port(), f"/look/{number}")).status == 200
        assert world.replicas[2].started_requests == []

    def test_a_draining_replica_gets_no_requests(self) -> Any:
        return Deferred.fromCoroutine(self._replica_drains())

    async def _job_cancelled(self) -> None:
        # Failure: items of a cancelled job run, or run after the job is submitted again.
        world = self.world
        await world.start(entries=1, keepers=1)
        for replica in world.replicas[:2]:
            replica.hang = True
        assert (await world.submit(self.port(), "job-1")).status == 202
        await world.wait_until(
            lambda: bool(world.replicas[0].started_requests + world.replicas[1].started_requests),
            "a run",
        )
        assert (await world.send(self.port(), "DELETE", "/v1/lots/job-1")).status == 200
        assert (await world.send(self.port(), "DELETE", "/v1/lots/job-1")).status == 200
        await sleep(0.5)
        started = sum(len(replica.started_requests) for replica in world.replicas)
        assert (await world.submit(self.port(), "job-1")).status == 202
        await sleep(1.0)
        assert sum(len(replica.started_requests) for replica in world.replicas) == started

    def test_a_job_is_cancelled(self) -> Any:
        return Deferred.fromCoroutine(self._job_cancelled())

    async def _entry_restarts(self) -> None:
        # Failure: connections are refused while a killed entry restarts. A request that arrives
        # while the entry imports its program waits in the kernel's accept queue and is served.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.children["entry-1"].send_signal(SIGKILL)
        await world.children["entry-1"].ended
        world.restart("entry-1")
        await world.wait_until_listening(self.port())
        assert not world.children["entry-1"].logged_count(101)
        assert (await world.get(self.port(), "/look/1")).status == 200

    def test_a_restarted_entry_listens_at_once(self) -> Any:
        return Deferred.fromCoroutine(self._entry_restarts())

    async def _soak(self) -> None:
        for replica in self.world.replicas:
            await replica.close()
        self.world.replicas.clear()
        report = await run_soak(seconds=8, seed=1)
        assert report.violations == [], report
        assert report.jobs > 0

    def test_a_short_soak(self) -> Any:
        # Failure: a guarantee is violated under load and injected faults (see tests/site/soak.py).
        return Deferred.fromCoroutine(self._soak())

    async def _invalid_input(self) -> None:
        world = self.world
        await world.start(entries=1, keepers=0)
        cases = [
            ("GET", "/look/1", b"", {"X_Request_Id": ""}, b"X-Request-Id"),
            ("GET", "/look/1", b"", {"X_Deadline_Ms": "soon"}, b"X-Deadline-Ms"),
            ("POST", "/job/1", b"{}", {}, b"items"),
            ("POST", "/job/1", b'{"items":[]}', {}, b"items"),
            ("POST", "/job/1", b"not json", {}, b"JSON"),
        ]
        for method, path, body, headers, named in cases:
            reply = await world.send(self.port(), method, path, body, **headers)
            assert (reply.status, named in reply.body) == (400, True), reply
        large = await world.send(self.port(), "POST", "/look/1", b"x" * 200_000)
        assert large.status == 413

    def test_invalid_input_is_named_in_the_refusal(self) -> Any:
        # Failure: a refusal of invalid input does not name the header or field that is wrong.
        return Deferred.fromCoroutine(self._invalid_input())
