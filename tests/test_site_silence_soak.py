"""Test answers under load beside silent replicas, with entries and keepers as processes."""

from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.silence_soak import run_silence_soak

SECONDS: Final = 14


class SilenceSoakTest(TestCase):
    """Run the soak with fixed seeds."""

    timeout = 90

    async def _soak(self, seed: int, configurations: bool, hubs: bool) -> None:
        report = await run_silence_soak(SECONDS, seed, configurations, hubs)
        assert report.violations == [], report
        assert report.jobs > 0

    def test_answers_beside_silent_replicas_and_configurations(self) -> Any:
        """Guard against answers cut or lost because their replicas were silent for a while."""
        return Deferred.fromCoroutine(self._soak(1, True, False))

    def test_answers_beside_silent_replicas_with_a_placer(self) -> Any:
        """Guard against answers cut because a placer finds no replica for a silent one."""
        return Deferred.fromCoroutine(self._soak(2, False, True))
