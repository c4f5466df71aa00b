"""Test that results of any size and any letters are listed, with processes on loopback."""

from typing import Any

from twisted.internet.defer import Deferred

from tests.site.case import SiteCase
from tests.site.replicas import EVENTS_PER_STREAM
from tests.site.store import VALUE_BYTES
from tests.site.world import sleep

OUTAGE_S = 4.0
ITEMS = 60
# Together the texts of all items are larger than an object, though they have fewer letters.
TEXT_BYTES = VALUE_BYTES * 3 // 2 // ITEMS // EVENTS_PER_STREAM
LETTERS = {"three bytes": "คืน", "escaped": '"\\', "four bytes": "\U0001f6e2"}


def text_of(suffix: str) -> str:
    """Return the text of an item."""
    return "\n".join(f"piece {number}{suffix}" for number in range(1, EVENTS_PER_STREAM + 1))


class ResultsTest(SiteCase):
    """Run items whose results are large in the store."""

    async def _results_of_an_outage(self, letters: str) -> None:
        world = self.world
        suffix = letters * (TEXT_BYTES // len(letters.encode()))
        for replica in world.replicas:
            replica.item_suffix = suffix
        await world.start(keepers=2)
        assert (await world.submit(self.port(), "job-1", ITEMS)).status == 202
        while not any(replica.started_requests for replica in world.replicas):
            await sleep(0.02)
        world.store.unavailable = True
        await sleep(OUTAGE_S)
        world.store.unavailable = False
        results = await world.results(self.port(2), "job-1", ITEMS)
        assert len({result["id"] for result in results}) == ITEMS
        assert {(each["state"], each["text"]) for each in results} == {
            ("completed", text_of(suffix))
        }

    def test_results_of_three_byte_letters_that_finish_in_an_outage(self) -> Any:
        """Guard against results that are never listed as their group is larger than an object."""
        return Deferred.fromCoroutine(self._results_of_an_outage(LETTERS["three bytes"]))

    def test_results_of_escaped_letters_that_finish_in_an_outage(self) -> Any:
        """Guard against groups that are measured before quotes and backslashes are escaped."""
        return Deferred.fromCoroutine(self._results_of_an_outage(LETTERS["escaped"]))

    def test_results_of_four_byte_letters_that_finish_in_an_outage(self) -> Any:
        """Guard against groups that are measured in letters."""
        return Deferred.fromCoroutine(self._results_of_an_outage(LETTERS["four bytes"]))
