"""Base class of tests that run entries and keepers as processes against the stand-ins."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.world import SiteWorld


class SiteCase(TestCase):
    """Create the stand-ins of each test, and end its processes afterwards."""

    timeout = 60

    def setUp(self) -> None:
        self.world = SiteWorld()

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self.world.close())

    def port(self, number: int = 1) -> int:
        return self.world.caller_ports[f"entry-{number}"]
