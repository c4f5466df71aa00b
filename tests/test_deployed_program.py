"""Test that the program as it is deployed sends no broken answer to a caller.

Each test starts what the command of deploy/system.toml has built, where an earlier landing, which
took the status 000 for an answer, was built before.
"""

import shutil
from collections.abc import Callable
from pathlib import Path
from tempfile import mkdtemp
from typing import Any, Final

import pytest
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.sources import sources_id
from tests.broken_answers import UNKNOWN_STATUS, make_unknown_status
from tests.deployed import carry_over, lay_landing, must_build, set_times
from tests.site.broken_case import BODY, BrokenReplicasCase

CHECK: Final = "papayapier/head_syntax.py"
# What the present landing demands of the first digit of a status, and the earlier one did.
DIGIT: Final = "(?!101)[1-5][0-9]{2}"
EARLIER_DIGIT: Final = "(?!101)[0-5][0-9]{2}"
ARCHIVE_S: Final = 1_000_000_000


def lay_earlier_landing(checkout: Path, mtime_s: int | None = None) -> None:
    """Copy a landing that takes 000 for a status; the file at fault has the same size."""
    lay_landing(checkout)
    path = checkout / CHECK
    text = path.read_text(encoding="utf-8")
    assert text.count(DIGIT) == 1, path
    path.write_text(text.replace(DIGIT, EARLIER_DIGIT), encoding="utf-8")
    if mtime_s is not None:
        set_times(checkout, mtime_s)


def clean(earlier: Path, checkout: Path) -> None:
    """Lay the landing alone."""
    lay_landing(checkout)


def carried_over(earlier: Path, checkout: Path) -> None:
    """Copy what the earlier landing has built into a fresh checkout, without its times."""
    lay_landing(checkout)
    carry_over(earlier, checkout)


def unpacked_with_its_own_times(earlier: Path, checkout: Path) -> None:
    """Unpack the landing over a checkout of the earlier one that was built later."""
    shutil.copytree(earlier, checkout, dirs_exist_ok=True)
    lay_landing(checkout, ARCHIVE_S)


def unpacked_with_the_same_times(earlier: Path, checkout: Path) -> None:
    """Unpack the landing over one that was unpacked with the same times and built."""
    lay_earlier_landing(checkout, ARCHIVE_S)
    carry_over(earlier, checkout)
    must_build(checkout)
    lay_landing(checkout, ARCHIVE_S)


class DeployedProgramTest(BrokenReplicasCase):
    """Build and start the program as on the platform, beside replicas that answer with 000."""

    timeout = 400
    folder: Path
    earlier: Path

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(mkdtemp())
        cls.earlier = cls.folder / "earlier"
        lay_earlier_landing(cls.earlier)
        must_build(cls.earlier)

    @classmethod
    def tearDownClass(cls) -> None:
        shutil.rmtree(cls.folder)

    def _play(self, lay: Callable[[Path, Path], None]) -> Any:
        checkout = self.folder / lay.__name__
        checkout.mkdir()
        lay(self.earlier, checkout)
        must_build(checkout)
        self.world.checkout = checkout
        return Deferred.fromCoroutine(self._check_answers())

    async def _check_answers(self) -> None:
        await self.call_beside([make_unknown_status(BODY, form) for form in UNKNOWN_STATUS])
        assert self._logged_sources() == {sources_id()}

    def _logged_sources(self) -> set[str]:
        """Return the sources that the processes have logged at their start."""
        documents = [doc for child in self.world.children.values() for doc in child.documents]
        started = [doc for doc in documents if doc.get("event") == events.PROCESS_STARTED.number]
        assert len(started) == len(self.world.children), started
        return {doc["sources"] for doc in started}

    async def _find_the_fault(self) -> None:
        self.world.checkout = self.earlier
        with pytest.raises(AssertionError) as found:
            await self.call_beside([make_unknown_status(BODY, form) for form in UNKNOWN_STATUS])
        assert " 0 b'id: 1" in str(found.value), found.value
        assert self._logged_sources() != {sources_id()}

    def test_the_earlier_landing_has_the_fault(self) -> Any:
        # Failure: the other tests hold although the landing before them is as good.
        return Deferred.fromCoroutine(self._find_the_fault())

    def test_a_build_from_a_clean_checkout(self) -> Any:
        # Failure: callers of the program as deployed get the status 000 as an answer.
        return self._play(clean)

    def test_a_build_over_a_folder_that_was_carried_over(self) -> Any:
        # Failure: the modules of the earlier landing, whose copies look newer, stay in service.
        return self._play(carried_over)

    def test_a_build_of_a_landing_with_its_own_times(self) -> Any:
        # Failure: the same, where the landing is older than the build of the one before.
        return self._play(unpacked_with_its_own_times)

    def test_a_build_of_a_landing_with_the_same_times(self) -> Any:
        # Failure: modules of the same size and time are taken for unchanged, or their bytecode is.
        return self._play(unpacked_with_the_same_times)
