"""Test a keeper that is cut off from the store and all others, with processes on loopback."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.soak import run_soak

SOAK_SECONDS = 16
SOAK_SEED = 21


class CutsTest(TestCase):
    """Run a short soak with cuts."""

    timeout = 90

    async def _soak(self) -> None:
        report = await run_soak(SOAK_SECONDS, SOAK_SEED, cuts=True)
        assert report.violations == [], report
        assert report.faults["cut_off"] > 0

    def test_a_short_soak_with_routes_added_during_cuts(self) -> Any:
        """Guard against a keeper that gives up jobs on a route added while it was cut off."""
        return Deferred.fromCoroutine(self._soak())
