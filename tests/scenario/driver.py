"""Run one case: carry out its steps in order, then compare its transcript."""

from typing import Final

from tests.scenario.actions import ACTIONS
from tests.scenario.checks import wait_until
from tests.scenario.language import Case, NumberedStep
from tests.scenario.steps import Expect
from tests.scenario.world import CaseError, World

MAX_LOG_LINES: Final = 12


async def run_case(case: Case) -> None:
    """Run a case; an AssertionError names the file, the line and what was observed."""
    world = World(f"{case.file.removesuffix('.test')}-{case.line}")
    try:
        for step in case.steps:
            await _run_step(world, case, step)
        _check_transcript(world, case)
    finally:
        await world.close()


async def _run_step(world: World, case: Case, numbered: NumberedStep) -> None:
    step = numbered.step
    try:
        if isinstance(step, Expect):
            await wait_until(world, step.condition, step.limit_ms)
        else:
            await ACTIONS[type(step)](world, step)
    except (CaseError, RuntimeError) as exc:
        place = f"{case.file}:{numbered.line}: {numbered.text}: {exc}"
        raise AssertionError(f"{place}\n{_last_log_lines(world)}") from exc


def _check_transcript(world: World, case: Case) -> None:
    place = f"{case.file}:{case.line}: case {case.name}"
    failures = world.find_failures()
    if failures:
        raise AssertionError(f"{place}: {'; '.join(failures)}\n{_last_log_lines(world)}")
    if case.out is not None and case.out != world.transcript:
        raise AssertionError(f"{place}: the transcript is {world.transcript}, not {case.out}")


def _last_log_lines(world: World) -> str:
    """Return the last lines that each process has printed."""
    logs = []
    for child in world.children:
        lines = list(child.last_output_lines)[-MAX_LOG_LINES:]
        logs.append(f"--- {child.name} (exit code {child.exit_code})\n" + "\n".join(lines))
    return "\n".join(logs)
