"""Test the adapter of the platform's object store against a stand-in that bounds each object."""

from typing import Any

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier.clock import real_clock
from papayapier.metrics import make_metrics
from papayapier.platform.store import platform_store
from papayapier.settings import PlatformSettings
from papayapier.store.api import StoreError
from tests.site.store import VALUE_BYTES, StandinStore, reactor

KEY = "papayapier-results-job/00000"


class PlatformStoreTest(TestCase):
    """Write objects of any size."""

    timeout = 20

    def setUp(self) -> None:
        self.standin = StandinStore()
        host, port = self.standin.address.split(":")
        settings = PlatformSettings(host, int(port), 1_200, 500, 100, 100)
        self.store = platform_store(reactor, real_clock(), settings, make_metrics())

    def tearDown(self) -> Any:
        async def close() -> None:
            await self.store.close()
            await self.standin.close()

        return Deferred.fromCoroutine(close())

    def test_a_value_that_is_too_large_is_refused(self) -> Any:
        """Guard against a refused size that looks like an outage."""

        async def case() -> None:
            refused = await self.store.create(KEY, b"x" * VALUE_BYTES)
            assert refused == Err(StoreError.TOO_LARGE)
            created = await self.store.create(KEY, b"x")
            assert isinstance(created, Ok)
            update = await self.store.update(KEY, b"x" * VALUE_BYTES, created.ok_value)
            assert update == Err(StoreError.TOO_LARGE)

        return Deferred.fromCoroutine(case())
