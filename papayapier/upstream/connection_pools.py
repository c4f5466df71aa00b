"""Manage the connections to all replicas and the exchanges in progress on them."""

from typing import Any, Final

from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import Replica
from papayapier.upstream.exchange import AnswerHandler, Exchange, ExchangeResult, OutgoingRequest
from papayapier.upstream.pool import ReplicaPool

FORGET_AFTER_MS: Final = 60_000


class ConnectionPools:
    """Hold the connection pools by replica address, and the running exchanges."""

    def __init__(self, reactor: Any, clock: Clock, cfg: UpstreamSettings) -> None:
        self.clock = clock
        self.cfg = cfg
        self._reactor = reactor
        self._pools: dict[tuple[str, int], ReplicaPool] = {}
        self._running: set[Exchange] = set()

    def run(
        self, replica: Replica, outgoing: OutgoingRequest, handler: AnswerHandler
    ) -> Deferred[ExchangeResult]:
        """Run one exchange; cancelling the returned Deferred ends it."""
        pool = self._pool(replica)
        exchange = Exchange(self.clock, self.cfg, pool, replica, outgoing, handler)
        self._running.add(exchange)
        exchange.start()
        return exchange.done.addCallback(self._on_done, exchange)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that have a connection pool."""
        return list(self._pools)

    async def close(self) -> None:
        """Cancel all exchanges and close all connections."""
        for exchange in list(self._running):
            exchange.cancel()
        pools = list(self._pools.values())
        self._pools.clear()
        await gatherResults([pool.close() for pool in pools])

    def _on_done(self, result: ExchangeResult, exchange: Exchange) -> ExchangeResult:
        self._running.discard(exchange)
        return result

    def _pool(self, replica: Replica) -> ReplicaPool:
        key = (replica.host, replica.port)
        pool = self._pools.get(key)
        if pool is None:
            self._drop_unused()
            pool = self._pools[key] = ReplicaPool(self._reactor, *key)
        pool.last_used_ms = int(self.clock.now())
        return pool

    def _drop_unused(self) -> None:
        """Drop the pools of addresses that have not been used for FORGET_AFTER_MS.

        Replicas are replaced continually, each at a new address, and this class is not notified
        when an address is retired. Without expiry, memory would grow with every replacement.
        """
        oldest_ms = int(self.clock.now()) - FORGET_AFTER_MS
        for key in [key for key, pool in self._pools.items() if pool.last_used_ms < oldest_ms]:
            del self._pools[key]
