"""Base class of tests that list replicas which send broken answers beside sound ones."""

from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults

from tests.broken_answers import answer_in_turn
from tests.raw_server import RawServer
from tests.site.case import SiteCase
from tests.site.replicas import EVENTS_PER_STREAM, SLOTS
from tests.site.world import sleep, start_task

reactor: Any = installed

CALLERS: Final = 8
PROTOCOL: Final = b"HTTP/"
SERVICES: Final = ("app", "lm")
# How often the broken replicas are listed anew, and the time between.
MAX_BOOTS: Final = 60
BOOT_GAP_S: Final = 0.5
BODY: Final = b"id: 1\ndata: broken\n\n"
WHOLE_STREAM: Final = b"".join(
    f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS_PER_STREAM + 1)
)
# The paths of the callers, the complete answer on each, and whether a request may be repeated.
PATHS: Final = (
    ("/look/1", b"whole answer", True),
    ("/once/1", b"whole answer", False),
    ("/stream/again/1", WHOLE_STREAM, True),
    ("/stream/once/1", WHOLE_STREAM, False),
)


class BrokenReplicasCase(SiteCase):
    """List one more replica of each service, which sends broken answers only."""

    timeout = 120

    def setUp(self) -> None:
        super().setUp()
        self.server = RawServer()
        self.listener = reactor.listenTCP(0, self.server, interface="127.0.0.1")

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self._close())

    async def _close(self) -> None:
        await self.world.close()
        for conn in self.server.connections:
            conn.abort()
        await self.listener.stopListening()

    def list_anew(self, number: int, listener: Any = None) -> None:
        """List the broken replica of each service as one that just started."""
        address = f"127.0.0.1:{(listener or self.listener).getHost().port}"
        for service in SERVICES:
            entry = {"address": address, "zone": "z1", "slots": SLOTS, "state": "ready"}
            self.world.store.remove("servers", f"i-broken-{service}-{number - 1}")
            name = f"i-broken-{service}-{number}"
            self.world.store.put("servers", name, {**entry, "service": service})

    async def call_beside(self, answers: Sequence[bytes]) -> None:
        """Send requests of every kind while the broken replica sends one answer after the other.

        It is listed anew again and again, since it is avoided after its first broken answers.
        """
        await self.world.start(entries=1, keepers=1)
        answer_in_turn(self.server, answers)
        self.stopping = False
        calls = [start_task(self._call(number)) for number in range(CALLERS)]
        for number in range(1, MAX_BOOTS + 1):
            self.list_anew(number)
            await sleep(BOOT_GAP_S)
            if len(self.server.requests) >= len(answers):
                break
        self.stopping = True
        wrong = sum(await gatherResults(calls), Counter[str]())
        assert not wrong, wrong
        assert len(self.server.requests) >= len(answers), len(self.server.requests)

    async def _call(self, number: int) -> "Counter[str]":
        """Send requests one after the other; return the answers that no caller may get."""
        path, body, may_repeat = PATHS[number % len(PATHS)]
        wrong: Counter[str] = Counter()
        while not self.stopping:
            reply = await self.world.get(self.port(), path)
            is_whole = reply.status == 200 and reply.body == body
            quotes_answer = PROTOCOL in reply.body
            if not is_whole and (may_repeat or reply.status != 502 or quotes_answer):
                wrong[f"{path} {reply.status} {reply.body[:30]!r}"] += 1
        return wrong
