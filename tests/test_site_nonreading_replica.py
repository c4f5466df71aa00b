"""Test an entry as a process before a replica that reads nothing of what it is sent."""

from collections import Counter
from pathlib import Path
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import Factory, Protocol

from tests.site.case import SiteCase
from tests.site.replicas import SLOTS
from tests.site.store import StandinStore
from tests.site.world import begin, pause

reactor: Any = installed

MACHINE_MB: Final = 200
KB_PER_MB: Final = 1_024
BODY: Final = b"y" * 90_000
BODIES: Final = 300
AT_ONCE: Final = 20
GAP_S: Final = 0.2
CALLS: Final = 60
CALL_GAP_S: Final = 0.05
WHOLE: Final = b"whole answer"


class _Deaf(Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.pauseProducing()


class DeafReplica:
    """Take connections and read nothing; its entry says that it is ready."""

    def __init__(self, store: StandinStore, service: str) -> None:
        self.connections = 0
        factory: Any = Factory()
        factory.buildProtocol = self._connected
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = f"127.0.0.1:{self._port.getHost().port}"
        entry = {"service": service, "address": address, "zone": "z1", "slots": SLOTS}
        store.put("servers", "i-deaf", {**entry, "state": "ready"})

    def _connected(self, _address: object) -> Protocol:
        self.connections += 1
        return _Deaf()

    async def close(self) -> None:
        await self._port.stopListening()


class DeafReplicaTest(SiteCase):
    """Send large bodies and small requests to a service with such a replica."""

    async def _body(self) -> str:
        try:
            reply = await self.world.send(self.port(), "POST", "/look/1", BODY)
        except Exception as exc:
            return type(exc).__name__
        return "whole" if reply.body == WHOLE else str(reply.status)

    async def _bodies(self) -> Counter[str]:
        asked: list[Any] = []
        while len(asked) < BODIES:
            asked += [begin(self._body()) for _ in range(AT_ONCE)]
            await pause(GAP_S)
        return Counter(await gatherResults(asked))

    async def _calls(self) -> Counter[int]:
        asked: list[Any] = []
        while len(asked) < CALLS:
            asked.append(begin(self.world.get(self.port(), "/look/1")))
            await pause(CALL_GAP_S)
        return Counter(reply.status for reply in await gatherResults(asked))

    def _most_mb(self) -> float:
        process: Any = self.world.children["entry-1"].transport
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        (line,) = (one for one in status.splitlines() if one.startswith("VmHWM:"))
        return int(line.split()[1]) / KB_PER_MB

    async def _deaf(self) -> None:
        world = self.world
        world.memory = {"machine_mb": MACHINE_MB}
        await world.start(entries=1, keepers=0)
        deaf = DeafReplica(world.store, "app")
        try:
            await pause(1.0)
            bodies = begin(self._bodies())
            calls = await self._calls()
            ended = await bodies
        finally:
            await deaf.close()
        print(f"{deaf.connections} connections, {self._most_mb():.0f} MB, {ended}, {calls}")
        assert deaf.connections
        assert self._most_mb() < MACHINE_MB
        # Each caller gets the other replicas' answer, or is told that nothing was run.
        assert set(ended) <= {"whole", "503"}
        assert set(calls) <= {200, 503}
        assert calls[200]

    def test_what_a_replica_does_not_read_leaves_the_machine_its_memory(self) -> Any:
        # Failure: bodies that a replica does not read fill a machine of 200 MB; its process ends.
        return Deferred.fromCoroutine(self._deaf())
