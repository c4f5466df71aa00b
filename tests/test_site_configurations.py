"""Test open requests on kept channels beside configurations, with entries as processes."""

from signal import SIGHUP
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.case import SiteCase
from tests.site.config_soak import run_config_soak
from tests.site.world import sleep, start_task

# A request has been sent by then on a new channel.
SENT_S: Final = 0.02


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


class HangupAtStartTestCase(SiteCase):
    """Tell processes that their settings have changed while they start."""

    async def _entry(self) -> None:
        # Failure: a process that starts is ended by SIGHUP, and the requests that callers have
        # sent to its open port are lost with it.
        world = self.world
        world.start_entry("entry-1")
        port = world.caller_ports["entry-1"]
        await world.wait_until_listening(port)
        replied = start_task(world.get(port, "/look/1"))
        await sleep(SENT_S)
        world.children["entry-1"].send_signal(SIGHUP)
        reply = await replied
        assert reply.status == 200, world.children["entry-1"].last_lines()

    def test_an_entry_survives_a_hangup_while_it_starts(self) -> Any:
        return Deferred.fromCoroutine(self._entry())
