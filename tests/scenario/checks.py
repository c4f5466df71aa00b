"""Check the conditions of a case, and wait until they hold.

A check returns whether its condition holds and what it observed, for the error of a failed case.
Results depend on counts and states only, not on durations.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err

from papayapier.load.http_calls import http_call
from papayapier.load.responses import RequestOutcome
from tests.scenario import jobs
from tests.scenario.requests import RequestGroup
from tests.scenario.steps import Condition
from tests.scenario.world import LIMIT_SCALE, CaseError, World, read_json, read_metric

POLL_MS: Final = 50
MIN_LIMIT_MS: Final = 60_000


class CheckResult(NamedTuple):
    """Hold whether a condition holds, what was observed, and whether that is final."""

    holds: bool
    observed: str
    final: bool = False


Check = Callable[[World, Condition], Awaitable[CheckResult]]


async def wait_until(world: World, condition: Condition, limit_ms: int) -> None:
    """Poll a condition until it holds; raise CaseError when the limit has passed."""
    check = CHECKS[condition.kind]
    deadline_ms = world.clock.now() + max(limit_ms * LIMIT_SCALE, MIN_LIMIT_MS)
    while True:
        result = await _run_check(check, world, condition)
        if result.holds:
            return
        if result.final or world.clock.now() >= deadline_ms:
            raise CaseError(f"condition did not hold in time; last observed: {result.observed}")
        await world.clock.sleep(POLL_MS)


async def _run_check(check: Check, world: World, condition: Condition) -> CheckResult:
    try:
        return await check(world, condition)
    except CaseError as exc:
        return CheckResult(False, str(exc))


async def _answered(world: World, condition: Condition) -> CheckResult:
    group = world.group(condition.subject)
    all_complete = group.is_finished() and group.count(RequestOutcome.COMPLETE) == group.sent
    return CheckResult(all_complete, _describe(group), group.is_finished())


async def _ended(world: World, condition: Condition) -> CheckResult:
    """Check that each request got its own complete answer, a refusal or a cut connection."""
    group = world.group(condition.subject)
    failed = group.count(RequestOutcome.WRONG) + group.count(RequestOutcome.TIMED_OUT)
    return CheckResult(group.is_finished() and not failed, _describe(group), failed > 0)


def _describe(group: RequestGroup) -> str:
    return f"{group.summary()} of {group.sent} {group.failed_verdicts()}"


async def _some_answered(world: World, condition: Condition) -> CheckResult:
    number = world.group(condition.subject).count(RequestOutcome.COMPLETE)
    return CheckResult(number == condition.number, f"{number} answered")


async def _some_refused(world: World, condition: Condition) -> CheckResult:
    number = world.group(condition.subject).count(RequestOutcome.REFUSED)
    return CheckResult(number == condition.number, f"{number} refused")


async def _refusals_true(world: World, condition: Condition) -> CheckResult:
    refused = world.group(condition.subject).refused("not_run")
    started_ids: set[str] = set()
    for upstream in {replica["upstream"] for replica in world.replicas.values()}:
        started_ids.update(await world.starts_by_call(upstream))
    started_anyway = [answer.call_id for answer in refused if answer.call_id in started_ids]
    return CheckResult(not started_anyway, f"refused as not run, but ran: {started_anyway}")


async def _calls_started(world: World, condition: Condition) -> CheckResult:
    calls = await world.starts_by_call(condition.subject)
    return CheckResult(len(calls) == condition.number, f"{len(calls)} calls")


async def _calls_at_most_once(world: World, condition: Condition) -> CheckResult:
    calls = await world.starts_by_call(condition.subject)
    repeated = {call_id: times for call_id, times in calls.items() if times > 1}
    return CheckResult(not repeated, f"ran more than once: {repeated}")


async def _job_status(world: World, condition: Condition) -> CheckResult:
    wanted = condition.kind.removeprefix("job_")
    state = await _job_state(world, condition.subject)
    return CheckResult(state.status == wanted, str(state))


async def _job_past(world: World, condition: Condition) -> CheckResult:
    state = await _job_state(world, condition.subject)
    return CheckResult(state.completed + state.failed >= condition.number, str(state))


async def _results_once(world: World, condition: Condition) -> CheckResult:
    job = world.job(condition.subject)
    problems = await jobs.wrong_results(world.any_running().address(), job)
    if isinstance(problems, Err):
        return CheckResult(False, problems.err_value)
    return CheckResult(not problems.ok_value, "; ".join(problems.ok_value[:5]))


async def _job_state(world: World, name: str) -> jobs.JobState:
    state = await jobs.read_state(world.any_running().address(), world.job(name))
    if isinstance(state, Err):
        raise CaseError(state.err_value)
    return state.ok_value


async def _idle(world: World, condition: Condition) -> CheckResult:
    running = 0
    for replica in world.replicas_of(condition.subject):
        load = await read_json(f"http://{world.replica_address(replica)}/load")
        running += load["running"] + load["waiting"]
    return CheckResult(running == 0, f"{running} running or waiting")


async def _started_since(world: World, condition: Condition) -> CheckResult:
    if condition.subject not in world.marks:
        raise CaseError(f"{condition.subject} was not marked")
    started = sum((await world.starts_by_call(condition.subject)).values())
    started_since_mark = started - world.marks[condition.subject]
    return CheckResult(started_since_mark == condition.number, f"{started_since_mark} started")


async def _exited(world: World, condition: Condition) -> CheckResult:
    child = world.instance(condition.subject).child
    code = None if child is None else child.exit_code
    return CheckResult(code == condition.number, f"exit code {code}")


async def _ready(world: World, condition: Condition) -> CheckResult:
    address = world.instance(condition.subject).address("operator")
    reply = await http_call("GET", f"http://{address}/readyz")
    return CheckResult(not isinstance(reply, Err), str(reply))


async def _not_ready(world: World, condition: Condition) -> CheckResult:
    address = world.instance(condition.subject).address("operator")
    reply = await http_call("GET", f"http://{address}/readyz")
    return CheckResult(isinstance(reply, Err) and "status 503" in reply.err_value, str(reply))


async def _logged(world: World, condition: Condition) -> CheckResult:
    child = world.instance(condition.subject).child
    number = 0 if child is None else child.logged_count(condition.number)
    return CheckResult(number > 0, f"event {condition.number} was not logged")


async def _peers(world: World, condition: Condition) -> CheckResult:
    address = world.instance(condition.subject).address("operator")
    number = await read_metric(address, "papayapier_peers_live")
    return CheckResult(number == condition.number, f"{number:.0f} peers")


async def _replicas(world: World, condition: Condition) -> CheckResult:
    address = world.instance(condition.subject).address("operator")
    label = f'upstream="{condition.names[0]}"'
    number = await read_metric(address, "papayapier_replicas_usable", label)
    return CheckResult(number == condition.number, f"{number:.0f} usable")


async def _in_force(world: World, condition: Condition) -> CheckResult:
    """Check that all the instances have the same version and content of a profile."""
    documents = []
    for name in condition.names:
        address = world.instance(name).address("operator")
        documents.append(await read_json(f"http://{address}/v1/profiles/{condition.subject}"))
    all_equal = all(document == documents[0] for document in documents)
    return CheckResult(all_equal, str(documents))


async def _race_won(world: World, _condition: Condition) -> CheckResult:
    return CheckResult(world.race_accepted.count(True) == 1, f"accepted: {world.race_accepted}")


CHECKS: Final[dict[str, Check]] = {
    "answered": _answered,
    "ended": _ended,
    "some_answered": _some_answered,
    "some_refused": _some_refused,
    "refusals_true": _refusals_true,
    "calls_started": _calls_started,
    "calls_at_most_once": _calls_at_most_once,
    "job_completed": _job_status,
    "job_cancelled": _job_status,
    "job_past": _job_past,
    "results_once": _results_once,
    "idle": _idle,
    "started_since": _started_since,
    "exited": _exited,
    "ready": _ready,
    "not_ready": _not_ready,
    "logged": _logged,
    "peers": _peers,
    "replicas": _replicas,
    "in_force": _in_force,
    "race_won": _race_won,
}
