"""Run every case in tests/scenarios against processes; see docs/SCENARIOS.md."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Final

from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from tests.scenario.driver import run_case
from tests.scenario.language import Case, load_cases

FOLDER: Final = Path(__file__).parent / "scenarios"


class TestScenarios(TestCase):
    """Hold one test method for each case."""

    # Each step has its own limit; this one only ends a case that hangs regardless.
    timeout = 900


def _method(case: Case) -> Callable[[TestScenarios], "Deferred[None]"]:
    return lambda _self: Deferred.fromCoroutine(run_case(case))


def _add_cases() -> None:
    for path in sorted(FOLDER.glob("*.test")):
        for case in load_cases(path).unwrap():
            name = re.sub(r"\W+", "_", f"test_{path.stem}_{case.name}")
            setattr(TestScenarios, name, _method(case))


_add_cases()
