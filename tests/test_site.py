"""Test the whole path on the users' platform: real processes on loopback around stand-ins."""

from signal import SIGKILL, SIGTERM, Signals
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import PartialDownloadError, ResponseFailed

from papayapier import events
from papayapier.node.entry import BRINGING_MS
from tests.site.case import SiteCase
from tests.site.replicas import EVENTS
from tests.site.soak import soak
from tests.site.world import begin, configuration, new_id, pause

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS + 1))
TEXT = "\n".join(f"piece {n}" for n in range(1, EVENTS + 1))


class SiteTestCase(SiteCase):
    """Play calm and troubled moments of one small site."""

    async def _calm(self) -> None:
        world = self.world
        await world.start()
        whole = await world.get(self.port(), "/look/1")
        assert (whole.status, whole.body) == (200, b"whole answer")
        assert whole.headers.getRawHeaders("X-Server-Stamp") == ["signed"]
        stream = await world.get(self.port(2), "/stream/once/1")
        assert (stream.status, stream.body) == (200, STREAM)
        assert (await world.submit(self.port(), "job-1")).status == 202
        results = await world.results(self.port(2), "job-1", 3)
        assert {one["id"] for one in results} == {f"job-1-{n}" for n in range(3)}
        assert {(one["state"], one["text"]) for one in results} == {("completed", TEXT)}
        assert (await world.get(self.port(), "/nowhere/1")).status == 404
        # An entry that has just started is not sure yet: keepers may still hold such a job.
        await pause(BRINGING_MS / 1_000)
        assert (await world.get(self.port(), "/v1/lots/no-such-job")).status == 404
        body = await world.get(self.port(2), "/v1/items/job-1?id=job-1-0")
        assert body.body == b"ask"

    def test_a_calm_day(self) -> Any:
        return Deferred.fromCoroutine(self._calm())

    async def _replica_lost(self) -> None:
        # Symptom: answers cut short or joined wrongly when a replica breaks off.
        # Events: one replica breaks every stream in the middle of an event, one app hangs.
        world = self.world
        world.replicas[0].cut_after = 2
        world.replicas[2].shed = True
        await world.start()
        for number in range(4):
            stream = await world.get(self.port(), f"/stream/again/{number}")
            assert (stream.status, stream.body) == (200, STREAM)
            assert (await world.get(self.port(), f"/look/{number}")).status == 200
        assert (await world.submit(self.port(), "job-1")).status == 202
        for one in await world.results(self.port(), "job-1", 3):
            assert one["text"] == TEXT

    def test_a_replica_breaks_off(self) -> Any:
        return Deferred.fromCoroutine(self._replica_lost())

    async def _error_then_cut(self) -> None:
        # Failure: streams that met an error and are then cut at one replica end as complete.
        world = self.world
        world.store.put("config", "main", configuration(maxAttempts=2))
        request_ids = {new_id(), new_id()}
        met = set(request_ids)

        def fails(request: Any) -> bool:
            request_id = request.getHeader("X-Request-Id")
            first = request_id in met
            met.discard(request_id)
            return first

        for replica in world.replicas[:2]:
            replica.fails = fails
            replica.cut_after = 2
        await world.start(entries=2, keepers=0)
        sends = [
            self._is_cut_off(entry, request_id)
            for entry, request_id in enumerate(sorted(request_ids), 1)
        ]
        for cut in [begin(send) for send in sends]:
            assert await cut

    async def _is_cut_off(self, entry: int, request_id: str) -> bool:
        try:
            await self.world.get(self.port(entry), "/stream/again/1", X_Request_Id=request_id)
        except (PartialDownloadError, ResponseFailed):
            return True
        return False

    def test_a_stream_that_met_an_error_and_breaks_off_is_cut(self) -> Any:
        return Deferred.fromCoroutine(self._error_then_cut())

    async def _entry_ends(self, signal: Signals) -> None:
        # Failure: a stream that is open where its entry ends looks whole to its caller.
        world = self.world
        for replica in world.replicas[:2]:
            replica.stall_after = 2
        await world.start(entries=1, keepers=0)
        cut = begin(self._is_cut_off(1, new_id()))
        await world.until(lambda: any(one.open for one in world.replicas[:2]), "a stream is open")
        await pause(0.1)
        world.children["entry-1"].signal(signal)
        assert await cut

    def test_a_stream_is_cut_where_its_entry_is_killed(self) -> Any:
        return Deferred.fromCoroutine(self._entry_ends(SIGKILL))

    def test_a_stalled_stream_is_cut_in_a_planned_stop(self) -> Any:
        return Deferred.fromCoroutine(self._entry_ends(SIGTERM))

    async def _at_most_once(self) -> None:
        # Symptom: a request that may run once has run twice, or is said not to have run.
        # Events: its replica closes the connection after it has begun.
        world = self.world
        for replica in world.replicas[:2]:
            replica.cut_after = 1
        await world.start(entries=1, keepers=0)
        request_id = new_id()
        try:
            reply = await world.get(self.port(), "/stream/once/1", X_Request_Id=request_id)
        except Exception as exc:
            assert "PartialDownload" in repr(exc) or "ResponseFailed" in repr(exc), exc
        else:
            assert reply.status == 502, reply
        runs = [one for replica in world.replicas for one in replica.runs]
        assert runs.count(request_id) == 1

    def test_a_broken_run_is_not_repeated(self) -> Any:
        return Deferred.fromCoroutine(self._at_most_once())

    async def _outage(self) -> None:
        # Events: the store answers 503 for some seconds; jobs are refused as not run, online
        # requests go on, results that were read stay readable; then all goes on.
        world = self.world
        await world.start()
        assert (await world.submit(self.port(), "job-1")).status == 202
        await world.results(self.port(), "job-1", 3)
        world.store.away = True
        refused = await world.submit(self.port(), "job-2")
        assert refused.status == 503
        assert refused.headers.getRawHeaders("Retry-After")
        assert (await world.get(self.port(), "/look/1")).status == 200
        assert len(await world.results(self.port(), "job-1", 3)) == 3
        assert (await world.get(self.port(2), "/v1/lots/job-2")).status == 503
        world.store.away = False
        await pause(1.5)
        assert (await world.submit(self.port(2), "job-2")).status == 202
        await world.results(self.port(), "job-2", 3)

    def test_a_store_outage(self) -> Any:
        return Deferred.fromCoroutine(self._outage())

    async def _accepted_in_an_outage(self) -> None:
        # Symptom: jobs that come while the store is away are refused at every attempt.
        # Events: the store answers 503; a job comes, twice; all processes are killed and start
        # again while the store is still away; then it is back.
        world = self.world
        await world.start(entries=2, keepers=3)
        # An entry asks the keepers that are written down and heard; on a busy machine it hears
        # of the last of them up to 1.5 s after that one has started, and refuses until then.
        entries = [world.children[name] for name in world.callers]
        await world.until(
            lambda: all(one.logged(events.PEER_UP.number) >= 4 for one in entries),
            "the entries hear the keepers",
        )
        await pause(2.0)
        world.store.away = True
        assert (await world.submit(self.port(), "job-1")).status == 202
        assert (await world.submit(self.port(2), "job-1")).status == 202
        for name, child in list(world.children.items()):
            child.signal(SIGKILL)
            await child.ended
            world.restart(name)
        for port in world.callers.values():
            await world.until_open(port)
        assert world.store.names("papayapier-jobs") == []
        world.store.away = False
        for name in world.callers:
            await world.until_ready(name)
        for port in world.callers.values():
            assert len(await world.results(port, "job-1", 3)) == 3
        assert world.store.names("papayapier-jobs") == ["job-1"]

    def test_a_job_is_accepted_in_an_outage(self) -> Any:
        return Deferred.fromCoroutine(self._accepted_in_an_outage())

    async def _sent_twice(self) -> None:
        # Symptom: a job's items run and are listed twice.
        # Events: the write of its record is done and not answered, the caller sends it again
        # elsewhere at the same time.
        world = self.world
        await world.start()
        world.store.lose_writes = 1
        sends = [begin(world.submit(self.port(n), "job-1")) for n in (1, 2)]
        for sent in sends:
            assert (await sent).status == 202
        await world.results(self.port(), "job-1", 3)
        assert world.store.names("papayapier-jobs") == ["job-1"]
        await pause(0.5)
        assert len(await world.results(self.port(2), "job-1", 3)) == 3

    def test_a_job_sent_twice(self) -> Any:
        return Deferred.fromCoroutine(self._sent_twice())

    async def _planned_stop(self) -> None:
        # Symptom: a stream is cut when its entry is stopped.
        # Events: SIGTERM while a stream is under way, and while a keeper runs items.
        world = self.world
        await world.start(entries=2, keepers=2)
        assert (await world.submit(self.port(2), "job-1")).status == 202
        stream = begin(world.get(self.port(1), "/stream/once/1"))
        await pause(0.05)
        stops = [begin(world.stop(name)) for name in ("entry-1", "keeper-1")]
        assert (await stream).body == STREAM
        for stop in stops:
            assert await stop == 0
        assert len(await world.results(self.port(2), "job-1", 3)) == 3

    def test_a_planned_stop(self) -> Any:
        return Deferred.fromCoroutine(self._planned_stop())

    async def _keeper_killed(self) -> None:
        # Events: the keeper that runs a job is killed; the other one takes the job over.
        world = self.world
        await world.start(entries=1, keepers=2)
        for number in range(4):
            assert (await world.submit(self.port(), f"job-{number}")).status == 202
        world.children["keeper-1"].signal(SIGKILL)
        for number in range(4):
            results = await world.results(self.port(), f"job-{number}", 3)
            assert len({one["id"] for one in results}) == 3

    def test_a_keeper_is_killed(self) -> Any:
        return Deferred.fromCoroutine(self._keeper_killed())

    async def _configuration(self) -> None:
        # Events: a newer configuration moves a host away; a configuration that cannot be read
        # follows; the newer one stays in force.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.store.put("config", "main", configuration(version=5, host="other.example"))
        await pause(0.5)
        assert (await world.get(self.port(), "/look/1")).status == 404
        assert (await world.get(self.port(), "/look/1", Host="other.example")).status == 200
        world.store.put("config", "main", {"version": 6, "routes": "none"})
        await pause(0.5)
        assert (await world.get(self.port(), "/look/1", Host="other.example")).status == 200
        assert world.children["entry-1"].logged(604) == 1

    def test_a_configuration_changes(self) -> Any:
        return Deferred.fromCoroutine(self._configuration())

    async def _leaving_replica(self) -> None:
        # Events: a replica says that it drains; nothing is sent to it any more.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.replicas[2].register("draining")
        await pause(0.3)
        for number in range(6):
            assert (await world.get(self.port(), f"/look/{number}")).status == 200
        assert world.replicas[2].runs == []

    def test_a_replica_leaves(self) -> Any:
        return Deferred.fromCoroutine(self._leaving_replica())

    async def _cancelled(self) -> None:
        # Events: a job is ended by its caller; its items stop, and stay ended when it is
        # sent again.
        world = self.world
        await world.start(entries=1, keepers=1)
        for replica in world.replicas[:2]:
            replica.hang = True
        assert (await world.submit(self.port(), "job-1")).status == 202
        await world.until(lambda: bool(world.replicas[0].runs + world.replicas[1].runs), "a run")
        assert (await world.send(self.port(), "DELETE", "/v1/lots/job-1")).status == 200
        assert (await world.send(self.port(), "DELETE", "/v1/lots/job-1")).status == 200
        await pause(0.5)
        begun = sum(len(replica.runs) for replica in world.replicas)
        assert (await world.submit(self.port(), "job-1")).status == 202
        await pause(1.0)
        assert sum(len(replica.runs) for replica in world.replicas) == begun

    def test_a_job_is_ended(self) -> Any:
        return Deferred.fromCoroutine(self._cancelled())

    async def _killed_entry(self) -> None:
        # Symptom: callers meet a closed port for as long as a killed entry takes to start.
        # Events: an entry is killed and started again; a request comes while it imports its
        # program. It waits in the kernel and is served.
        world = self.world
        await world.start(entries=1, keepers=0)
        world.children["entry-1"].signal(SIGKILL)
        await world.children["entry-1"].ended
        world.restart("entry-1")
        await world.until_open(self.port())
        assert not world.children["entry-1"].logged(101)
        assert (await world.get(self.port(), "/look/1")).status == 200

    def test_an_entry_listens_at_once(self) -> Any:
        return Deferred.fromCoroutine(self._killed_entry())

    async def _soak(self) -> None:
        for one in self.world.replicas:
            await one.close()
        self.world.replicas.clear()
        report = await soak(seconds=8, seed=1)
        assert report.broken == [], report
        assert report.jobs > 0

    def test_a_short_soak(self) -> Any:
        return Deferred.fromCoroutine(self._soak())

    async def _bad_input(self) -> None:
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

    def test_bad_input_is_named(self) -> Any:
        return Deferred.fromCoroutine(self._bad_input())
