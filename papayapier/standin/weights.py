"""Simulate the weight store, which limits its rate, and read from it as an engine does.

The store returns the same number of bytes for every name. It is a service separate from the
object API and is not affected by an outage of that API.
"""

from typing import Any, Final, NamedTuple, cast
from urllib.parse import quote

import treq
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed, ResponseNeverReceived

from papayapier.clock import Clock
from papayapier.standin.limits import TokenBucket
from papayapier.standin.orders import FetchWeights

WEIGHT_PATH: Final = "/weights/"
HTTP_OK: Final = 200


class WeightParams(NamedTuple):
    """Set the weight store's normal behaviour; bytes_per_s 0 means no limit."""

    size_bytes: int = 100_000
    bytes_per_s: int = 0


class WeightStore:
    """Hold the rate limit and count the reads."""

    __slots__ = ("_bucket", "_size_bytes", "limited", "reads")

    def __init__(self, clock: Clock, params: WeightParams) -> None:
        self._bucket = TokenBucket(clock)
        self._size_bytes = params.size_bytes
        self.reads = 0
        self.limited = 0

    def read(self, bytes_per_s: int) -> bytes | None:
        """Return the weights of any name, or None when over the rate limit."""
        if not self._bucket.try_take(bytes_per_s, self._size_bytes):
            self.limited += 1
            return None
        self.reads += 1
        return bytes(self._size_bytes)


def make_fetch_weights(reactor: Any, address: str) -> FetchWeights:
    """Make the function with which an engine reads weights."""
    agent = cast(Any, Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False)))

    async def fetch(name: str) -> bool:
        url = f"http://{address}{WEIGHT_PATH}{quote(name)}"
        try:
            response = await treq.get(url, agent=agent)
            await response.content()
        except (ConnectError, ResponseNeverReceived, ResponseFailed):
            return False
        return bool(response.code == HTTP_OK)

    return fetch
