"""Test replicas that fall silent and go on, with entries and a keeper as processes."""

from typing import TYPE_CHECKING, Any, Final

from twisted.internet.defer import Deferred, gatherResults

from tests.site.case import SiteCase
from tests.site.world import make_configuration, sleep, start_task

if TYPE_CHECKING:
    from tests.site.replicas import StandinReplica

SILENCE_S: Final = 2.6
EVENTS: Final = 30
# Longer than the silence and all that a stream needs besides.
DEADLINE: Final = "9000"


class SilencesTest(SiteCase):
    """Run requests beside replicas that fall silent for a while."""

    async def _start(self) -> None:
        self.world.store.put("config", "main", make_configuration(timeoutMs=9_000))
        for replica in self.world.replicas:
            replica.events_per_stream = EVENTS
        await self.world.start()

    def _replicas(self, service: str) -> "list[StandinReplica]":
        return [replica for replica in self.world.replicas if replica.service == service]

    async def _send(self, path: str) -> str:
        """Return how a request ended."""
        try:
            reply = await self.world.get(self.port(), path, X_Deadline_Ms=DEADLINE)
        except Exception as exc:
            return f"{path}: {type(exc).__name__}"
        if reply.status != 200:
            return f"{path}: {reply.status} {reply.body!r}"
        return "whole"

    async def _send_beside_silence(self, path: str, service: str, number: int = 6) -> None:
        pending = [start_task(self._send(f"{path}{index}")) for index in range(number)]
        await sleep(0.2)
        for replica in self._replicas(service):
            replica.fall_silent(SILENCE_S)
        ends = await gatherResults(pending)
        assert ends == ["whole"] * number, ends

    async def _test_streams(self, path: str) -> None:
        await self._start()
        await self._send_beside_silence(path, "lm")

    def test_streams_that_may_run_once_outlast_silent_replicas(self) -> Any:
        """Guard against a stream cut because its replica was silent for a while."""
        return Deferred.fromCoroutine(self._test_streams("/stream/once/"))

    def test_resumable_streams_outlast_silent_replicas(self) -> Any:
        """Guard against a stream given up although no other replica can go on with it."""
        return Deferred.fromCoroutine(self._test_streams("/stream/again/"))

    async def _test_one_silent(self) -> None:
        await self._start()
        pending = [start_task(self._send(f"/stream/again/{index}")) for index in range(6)]
        await sleep(0.2)
        self._replicas("lm")[0].fall_silent(SILENCE_S)
        ends = await gatherResults(pending)
        assert ends == ["whole"] * 6, ends

    def test_resumable_streams_outlast_one_silent_replica(self) -> Any:
        """Guard against a stream cut when it is moved away from a silent replica."""
        return Deferred.fromCoroutine(self._test_one_silent())

    async def _test_configurations(self) -> None:
        await self._start()
        pending = [
            start_task(self._send(f"/stream/{kind}/{index}"))
            for kind in ("once", "again")
            for index in range(3)
        ]
        await sleep(0.2)
        for replica in self._replicas("lm"):
            replica.fall_silent(SILENCE_S)
        for version in range(2, 14):
            document = make_configuration(version, timeoutMs=9_000 + version)
            self.world.store.put("config", "main", document)
            await sleep(0.25)
        ends = await gatherResults(pending)
        assert ends == ["whole"] * 6, ends

    def test_streams_outlast_silent_replicas_beside_configurations(self) -> Any:
        """Guard against a stream cut beside a change of the configuration."""
        return Deferred.fromCoroutine(self._test_configurations())
