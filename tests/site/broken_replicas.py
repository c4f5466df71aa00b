"""Stand in for replicas in trouble, which send answers that break the protocol."""

import itertools
import random
from typing import Any, Final

from twisted.internet import reactor as installed

from tests.broken_answers import draw_answer, request_id
from tests.raw_server import RawConnection, RawServer
from tests.site.replicas import EVENTS_PER_STREAM, SLOTS
from tests.site.store import StandinStore

reactor: Any = installed

SERVICES: Final = ("app", "lm")
# Other bodies than those of sound replicas, so that a caller that gets one shows.
PLAIN: Final = b"broken answer"
STREAM: Final = b"".join(
    f"id: {n}\ndata: broken {n}\n\n".encode() for n in range(1, EVENTS_PER_STREAM + 1)
)
_NUMBERS: Final = itertools.count(1)


class BrokenReplicas:
    """Hold a replica of each service, which draws its answers; a seed draws the same ones."""

    def __init__(self, store: StandinStore, seed: int) -> None:
        self.answered = 0
        self._store = store
        self._rng = random.Random(seed)
        self._server = RawServer()
        self._server.respond = self._respond
        self._listener = reactor.listenTCP(0, self._server, interface="127.0.0.1")
        self._names: list[str] = []

    def list_anew(self) -> None:
        """List the replicas as ones that have just started."""
        self.withdraw()
        address = f"127.0.0.1:{self._listener.getHost().port}"
        entry = {"address": address, "zone": "z1", "slots": SLOTS, "state": "ready"}
        for service in SERVICES:
            name = f"i-broken-{next(_NUMBERS)}"
            self._names.append(name)
            self._store.put("servers", name, {**entry, "service": service})

    def withdraw(self) -> None:
        """Remove the replicas from the list."""
        for name in self._names:
            self._store.remove("servers", name)
        self._names.clear()

    async def close(self) -> None:
        """Stop serving."""
        for conn in self._server.connections:
            conn.abort()
        await self._listener.stopListening()

    def _respond(self, conn: RawConnection, head: bytes) -> None:
        self.answered += 1
        is_stream = b"/stream/" in head or b"/job/" in head
        answer = draw_answer(self._rng, STREAM if is_stream else PLAIN)
        conn.write(answer.replace(b"REQUEST", request_id(head)))
        # A reset could discard the answer, and what resets and leaves the list counts as crashed.
        if self._rng.random() < 0.5:
            reactor.callLater(self._rng.uniform(0, 0.1), conn.close)
