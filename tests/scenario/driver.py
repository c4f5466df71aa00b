"""Run one case: carry out its steps in order, then compare its transcript."""

from typing import Final

from tests.scenario.actions import ACTIONS
from tests.scenario.checks import wait_until
from tests.scenario.language import Case, NumberedStep
from tests.scenario.steps import Expect
from tests.scenario.world import World, WrongCaseError

LINES_SHOWN: Final = 12


async def run_case(case: Case) -> None:
    """Run a case; an AssertionError names file, line and what was seen."""
    world = World(f"{case.file.removesuffix('.test')}-{case.line}")
    try:
        for step in case.steps:
            await _run_step(world, case, step)
        _compare(world, case)
    finally:
        await world.close()


async def _run_step(world: World, case: Case, numbered: NumberedStep) -> None:
    step = numbered.step
    try:
        if isinstance(step, Expect):
            await wait_until(world, step.condition, step.limit_ms)
        else:
            await ACTIONS[type(step)](world, step)
    except (WrongCaseError, RuntimeError) as exc:
        where = f"{case.file}:{numbered.line}: {numbered.text}: {exc}"
        raise AssertionError(f"{where}\n{_logs(world)}") from exc


def _compare(world: World, case: Case) -> None:
    where = f"{case.file}:{case.line}: case {case.name}"
    trouble = world.trouble()
    if trouble:
        raise AssertionError(f"{where}: {'; '.join(trouble)}\n{_logs(world)}")
    if case.out is not None and case.out != world.transcript:
        raise AssertionError(f"{where}: the transcript is {world.transcript}, not {case.out}")


def _logs(world: World) -> str:
    """Return the last lines that each process printed."""
    parts = []
    for child in world.children:
        lines = list(child.tail)[-LINES_SHOWN:]
        parts.append(f"--- {child.name} (exit code {child.exit_code})\n" + "\n".join(lines))
    return "\n".join(parts)
