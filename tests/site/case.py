"""Give each test of the whole path a world of its own."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.site.world import SiteWorld


class SiteCase(TestCase):
    """Own the processes of one test; it has no tests itself."""

    timeout = 60

    def setUp(self) -> None:
        self.world = SiteWorld()

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self.world.close())

    def port(self, number: int = 1) -> int:
        return self.world.callers[f"entry-{number}"]
