"""Carry out the steps of a case, except those that wait for a condition."""

from collections.abc import Awaitable, Callable
from signal import Signals
from typing import Any, Final

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, DeferredList

from papayapier.load.http_calls import http_call, http_call_json
from tests.scenario import jobs, steps
from tests.scenario.checks import wait_until
from tests.scenario.requests import RequestGroup, make_requests
from tests.scenario.steps import Condition
from tests.scenario.world import HOST, CaseError, Instance, World, write_settings

READY_LIMIT_MS: Final = 20_000
SIGNALS: Final = {"kill": Signals.SIGKILL, "stop": Signals.SIGTERM, "pause": Signals.SIGSTOP}


async def start_platform(world: World, _step: steps.StartPlatform) -> None:
    child = await world.spawn("platform", "standin")
    printed = await child.document_with("platform_port")
    world.platform = f"{HOST}:{printed['platform_port']}"


async def start_replicas(world: World, step: steps.StartReplicas) -> None:
    option = step.kind.removesuffix("s")
    child = await world.spawn(
        step.name,
        "standin",
        "--no-platform",
        f"--{step.kind}",
        str(step.number),
        f"--{option}-name",
        step.name,
    )
    printed = await child.document_with("replicas")
    if step.kind == "engines":
        world.engines.add(step.name)
    for replica in printed["replicas"]:
        world.replicas[replica["id"]] = replica
        await _put_replica(world, replica)


async def start_instance(world: World, step: steps.StartInstance) -> None:
    instance = world.instances.get(step.name) or world.new_instance(step.name)
    if instance.child is not None and instance.child.exit_code is None:
        raise CaseError(f"instance {step.name} is running")
    write_settings(instance)
    instance.may_exit = False
    instance.child = await world.spawn(step.name, "serve", "--settings", str(instance.file))
    started = await instance.child.document_with("entry_port")
    # A restart uses the same ports, as an instance in production does.
    for surface in ("entry", "operator", "peer"):
        instance.settings[surface]["port"] = started[f"{surface}_port"]
    await wait_until(world, Condition("ready", step.name), READY_LIMIT_MS)


async def define_profile(world: World, step: steps.DefineProfile) -> None:
    instance = world.instance(step.on) if step.on else world.any_running()
    world.profiles[step.name] = step
    _unwrap(
        await _put_profile(instance, step, await _profile_version(instance, step.name), "scenario")
    )
    names = tuple(known.name for known in world.instances.values() if known.is_running())
    await wait_until(world, Condition("in_force", step.name, 0, names), READY_LIMIT_MS)


async def race(world: World, step: steps.Race) -> None:
    first, second = world.instance(step.first), world.instance(step.second)
    base = await _profile_version(first, step.name)
    profile = world.profile(step.name)
    changes = [
        Deferred.fromCoroutine(
            _put_profile(instance, profile._replace(due=due), base, instance.name)
        )
        for instance, due in ((first, step.first_due), (second, step.second_due))
    ]
    outcomes: Any = await DeferredList(changes)
    world.race_accepted = [isinstance(outcome, Ok) for _, outcome in outcomes]


async def send(world: World, step: steps.Send) -> None:
    profile = world.profile(step.profile)
    group = world.groups.setdefault(step.label, RequestGroup(step.label))
    requests = make_requests(step, profile.upstream, world.case_id)
    group.start(world.client, world.instance(step.to).address(), requests)


async def submit_job(world: World, step: steps.SubmitJob) -> None:
    upstream = world.profile(step.profile).upstream
    engines = upstream in world.engines
    bodies = jobs.make_bodies(step.name, step.number, engines)
    address = world.instance(step.to).address()
    key = step.key or step.name
    accepted = await jobs.submit(address, upstream, step.profile, key, bodies, engines)
    job = _unwrap(accepted)
    first_accepted = world.jobs.setdefault(step.name, job)
    if first_accepted.id != job.id:
        raise CaseError(f"job {step.name} was accepted twice: {first_accepted.id} and {job.id}")


async def cancel_job(world: World, step: steps.CancelJob) -> None:
    _unwrap(await jobs.cancel(world.instance(step.via).address(), world.job(step.name)))


async def fail(world: World, step: steps.Fail) -> None:
    switches: dict[str, object] = {"mode": step.mode, "times": step.times}
    if step.restart_ms:
        switches["restart_ms"] = step.restart_ms
    await _control(world.replica_address(step.replica), switches)


async def slow(world: World, step: steps.Slow) -> None:
    await _control(world.replica_address(step.replica), {"slow_factor": step.factor})


async def leave(world: World, step: steps.Leave) -> None:
    replica = world.replicas.get(step.replica)
    if replica is None:
        raise CaseError(f"no replica is named {step.replica}")
    await _put_replica(world, {**replica, "state": "leaving"})


async def platform(world: World, step: steps.Platform) -> None:
    value: object = bool(step.value) if step.switch in ("outage", "drop_watches") else step.value
    await _control(world.platform, {step.switch: value})


async def signal(world: World, step: steps.Signal) -> None:
    instance = world.instance(step.name)
    if instance.child is None:
        raise CaseError(f"instance {step.name} was not started")
    instance.child.send_signal(SIGNALS[step.action])
    if step.action == "pause":
        instance.paused = True
        world.clock.call_later(step.pause_ms, lambda: _resume(instance))
        return
    instance.may_exit = True
    if step.action == "kill":
        await instance.child.ended


async def mark(world: World, step: steps.Mark) -> None:
    world.marks[step.name] = sum((await world.starts_by_call(step.name)).values())


async def wait(world: World, step: steps.Wait) -> None:
    await world.clock.sleep(step.span)


async def show(world: World, step: steps.Show) -> None:
    if step.subject == "group":
        line = f"{step.name}: {world.group(step.name).summary()}"
    elif step.subject == "job":
        state = _unwrap(await jobs.read_state(world.any_running().address(), world.job(step.name)))
        line = f"{step.name}: {state.status}, {state.completed} completed, {state.failed} failed"
    else:
        calls = await world.starts_by_call(step.name)
        line = f"{step.name}: {len(calls)} calls, {sum(calls.values())} starts"
    world.transcript.append(line)


ACTIONS: Final[dict[type[Any], Callable[[World, Any], Awaitable[None]]]] = {
    steps.StartPlatform: start_platform,
    steps.StartReplicas: start_replicas,
    steps.StartInstance: start_instance,
    steps.DefineProfile: define_profile,
    steps.Race: race,
    steps.Send: send,
    steps.SubmitJob: submit_job,
    steps.CancelJob: cancel_job,
    steps.Fail: fail,
    steps.Slow: slow,
    steps.Leave: leave,
    steps.Platform: platform,
    steps.Signal: signal,
    steps.Mark: mark,
    steps.Wait: wait,
    steps.Show: show,
}


def _resume(instance: Instance) -> None:
    instance.paused = False
    if instance.child is not None:
        instance.child.send_signal(Signals.SIGCONT)


async def _put_replica(world: World, replica: dict[str, Any]) -> None:
    url = f"http://{world.platform}/instances/{replica['id']}"
    _unwrap(await http_call("PUT", url, msgspec.json.encode(replica)))


async def _control(address: str, switches: dict[str, object]) -> None:
    _unwrap(await http_call("POST", f"http://{address}/control", msgspec.json.encode(switches)))


async def _profile_version(instance: Instance, name: str) -> int:
    reply = await http_call_json("GET", f"http://{instance.address('operator')}/v1/profiles/{name}")
    return int(reply.ok_value["version"]) if isinstance(reply, Ok) else 0


async def _put_profile(
    instance: Instance, step: steps.DefineProfile, based_on: int, writer: str
) -> Result[Any, str]:
    change = {
        "profile": {
            "name": step.name,
            "upstream": step.upstream,
            "urgency": step.urgency,
            "due_ms": step.due,
            "idempotent": step.idempotent,
        },
        "based_on": based_on,
        "reason": "scenario",
        "change_id": f"{writer}-{step.name}-{step.due}-{based_on}",
    }
    return await http_call_json(
        "PUT", f"http://{instance.address('operator')}/v1/profiles/{step.name}", change
    )


def _unwrap(result: Result[Any, str]) -> Any:
    if isinstance(result, Err):
        raise CaseError(result.err_value)
    return result.ok_value
