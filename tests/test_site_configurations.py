"""Test open requests on kept channels beside configurations, with entries as processes."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.config_soak import run_config_soak


class SiteConfigurationsTestCase(TestCase):
    """Run the soak of configurations with fixed seeds."""

    timeout = 90

    async def _soak(self, seed: int, large: bool) -> None:
        # Failure: a request ends without an answer or refusal beside a change of configuration.
        report = await run_config_soak(15.0, seed, large)
        assert not report.violations, "\n".join(report.violations)
        assert sum(report.answers.values()) > 200

    def test_requests_beside_configurations(self) -> Any:
        return Deferred.fromCoroutine(self._soak(1, large=False))

    def test_requests_beside_configurations_at_hubs(self) -> Any:
        return Deferred.fromCoroutine(self._soak(2, large=True))
