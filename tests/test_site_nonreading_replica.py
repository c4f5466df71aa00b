"""Test the memory of an entry process when a replica reads nothing of what it is sent."""

from collections import Counter
from pathlib import Path
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import Factory, Protocol

from tests.site.case import SiteCase
from tests.site.replicas import SLOTS
from tests.site.store import StandinStore
from tests.site.world import sleep, start_task

reactor: Any = installed

MACHINE_MB: Final = 200
KB_PER_MB: Final = 1_024
LARGE_BODY: Final = b"y" * 90_000
TOTAL_BODIES: Final = 300
BODIES_PER_ROUND: Final = 20
ROUND_GAP_S: Final = 0.2
TOTAL_CALLS: Final = 60
CALL_GAP_S: Final = 0.05
COMPLETE_BODY: Final = b"whole answer"


class _NonReading(Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.pauseProducing()


class NonReadingReplica:
    """Accept connections and read nothing; its entry in the store says that it is ready."""

    def __init__(self, store: StandinStore, service: str) -> None:
        self.connections = 0
        factory: Any = Factory()
        factory.buildProtocol = self._on_connected
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = f"127.0.0.1:{self._port.getHost().port}"
        entry = {"service": service, "address": address, "zone": "z1", "slots": SLOTS}
        store.put("servers", "i-deaf", {**entry, "state": "ready"})

    def _on_connected(self, _address: object) -> Protocol:
        self.connections += 1
        return _NonReading()

    async def close(self) -> None:
        await self._port.stopListening()


class NonReadingReplicaTest(SiteCase):
    """Send large bodies and small requests to a service with a replica that does not read."""

    async def _send_body(self) -> str:
        try:
            reply = await self.world.send(self.port(), "POST", "/look/1", LARGE_BODY)
        except Exception as exc:
            return type(exc).__name__
        return "whole" if reply.body == COMPLETE_BODY else str(reply.status)

    async def _send_bodies(self) -> Counter[str]:
        pending: list[Any] = []
        while len(pending) < TOTAL_BODIES:
            pending += [start_task(self._send_body()) for _ in range(BODIES_PER_ROUND)]
            await sleep(ROUND_GAP_S)
        return Counter(await gatherResults(pending))

    async def _send_calls(self) -> Counter[int]:
        pending: list[Any] = []
        while len(pending) < TOTAL_CALLS:
            pending.append(start_task(self.world.get(self.port(), "/look/1")))
            await sleep(CALL_GAP_S)
        return Counter(reply.status for reply in await gatherResults(pending))

    def _peak_memory_mb(self) -> float:
        process: Any = self.world.children["entry-1"].transport
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        (line,) = (text for text in status.splitlines() if text.startswith("VmHWM:"))
        return int(line.split()[1]) / KB_PER_MB

    async def _with_nonreading_replica(self) -> None:
        world = self.world
        world.memory_settings = {"machine_mb": MACHINE_MB}
        await world.start(entries=1, keepers=0)
        replica = NonReadingReplica(world.store, "app")
        try:
            await sleep(1.0)
            pending_bodies = start_task(self._send_bodies())
            statuses = await self._send_calls()
            outcomes = await pending_bodies
        finally:
            await replica.close()
        print(
            f"{replica.connections} connections, {self._peak_memory_mb():.0f} MB, {outcomes},"
            f" {statuses}"
        )
        assert replica.connections
        assert self._peak_memory_mb() < MACHINE_MB
        # Each caller gets an answer of another replica, or a refusal as not run.
        assert set(outcomes) <= {"whole", "503"}
        assert set(statuses) <= {200, 503}
        assert statuses[200]

    def test_bodies_for_a_nonreading_replica_do_not_fill_the_memory(self) -> Any:
        # Failure: bodies that a replica does not read fill a machine with 200 MB of memory, and
        # the entry process is killed.
        return Deferred.fromCoroutine(self._with_nonreading_replica())
