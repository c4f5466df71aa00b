"""Run the whole system in one process, and check its invariants with the stand-ins' counts.

The demo is an ordinary caller: it uses only HTTP, and it reports what the answers and the
stand-ins' own counts show.
"""

import json
import random
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, NamedTuple, cast

import treq
from hdrh.histogram import HdrHistogram
from result import Err
from twisted.internet.defer import Deferred, gatherResults

from papayapier import codec, invariants
from papayapier.clock import Clock, real_clock
from papayapier.compose import start_instance
from papayapier.config.profiles import Profile
from papayapier.logs import start_logs
from papayapier.settings import (
    EntrySettings,
    InstanceSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from papayapier.standin.answers import expected_text
from papayapier.standin.fleet import Fleet, FleetParams, run_fleet

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from papayapier.instance import Instance

HOST: Final = "127.0.0.1"
ENGINES: Final = 3
ANSWER_TOKENS: Final = 24
ITEM_TOKENS: Final = 16
# Mean time between the starts of two online requests.
MEAN_REQUEST_INTERVAL_MS: Final = 20
POLL_MS: Final = 250
JOB_TIMEOUT_MS: Final = 120_000
START_TIMEOUT_MS: Final = 10_000
MAX_LATENCY_MS: Final = 600_000

PROFILES: Final = (
    Profile("gate", "gate", "urgent", 2_000, False, description="gate pass checks"),
    Profile("chat", "lm", "normal", 10_000, True, description="questions answered online"),
    Profile("summaries", "lm", "batch", 3_600_000, True, description="summaries by morning"),
)


class DemoOptions(NamedTuple):
    """Hold the options of the demo's command line."""

    stay: bool
    seed: int
    requests: int
    items: int
    as_json: bool


class DemoReport(NamedTuple):
    """Hold the results of the demo; broken lists the violated invariants."""

    sent: int
    answered: int
    refused: dict[str, int]
    p50_ms: float
    p99_ms: float
    items: int
    items_completed: int
    items_failed: int
    broken: list[str]


class _Tally:
    """Collect the results of the online requests and the violated invariants."""

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.answered = 0
        self.refused: Counter[str] = Counter()
        self.violations: list[str] = []


class _Target(NamedTuple):
    clock: Clock
    entry: str
    operator: str


def demo(options: DemoOptions) -> int:
    """Run the demo; return 1 if an invariant was violated."""
    from twisted.internet import reactor

    invariants.raise_on_violation(True)
    start_logs(LogSettings(form="text", level="warning"))
    codes: list[int] = []

    def on_finished(code: int) -> None:
        codes.append(code)
        cast(Any, reactor).stop()

    def on_failed(failure: "Failure") -> None:
        print(f"papayapier: the demo failed: {failure.getTraceback()}", file=sys.stderr)
        on_finished(1)

    def start() -> None:
        run = Deferred.fromCoroutine(_run(reactor, options))
        run.addCallbacks(on_finished, on_failed)

    cast(Any, reactor).callWhenRunning(start)
    cast(Any, reactor).run()
    return codes[0] if codes else 0


async def _run(reactor: Any, options: DemoOptions) -> int:
    clock = real_clock()
    rand = random.Random(options.seed)
    fleet = await run_fleet(reactor, clock, FleetParams(engines=ENGINES, services=1))
    started = await start_instance(reactor, clock, _settings(fleet), rand)
    if isinstance(started, Err):
        print(f"papayapier: {started.err_value}", file=sys.stderr)
        return 1
    instance = started.ok_value
    target = _Target(
        clock, f"http://{HOST}:{instance.ports.entry}", f"http://{HOST}:{instance.ports.operator}"
    )
    await _put_profiles(target)
    print(f"demo: {ENGINES} engines, 1 service, 1 entry instance at {target.entry}")
    report = await _run_workload(target, fleet, options, rand)
    _print_report(report, options.as_json)
    if options.stay:
        _print_curl(target)
        await Deferred()
    await _close(instance, fleet)
    return 1 if report.broken else 0


def _settings(fleet: Fleet) -> Settings:
    return Settings(
        instance=InstanceSettings("demo-1", "dc-a", "local", HOST),
        platform=PlatformSettings(HOST, fleet.platform.port),
        entry=EntrySettings(port=0),
        operator=OperatorSettings(port=0),
        peer=PeerSettings(port=0),
    )


async def _put_profiles(target: _Target) -> None:
    """Create the profiles over the operators' API, and wait until they are in force."""
    for profile in PROFILES:
        change = {
            "profile": codec.to_document(profile),
            "based_on": 0,
            "reason": "demo",
            "change_id": f"demo-{profile.name}-1",
        }
        url = f"{target.operator}/v1/profiles/{profile.name}"
        answer = await treq.put(url, json=change)
        text = await answer.text()
        if answer.code not in (200, 201):
            raise RuntimeError(f"profile {profile.name} was not accepted: {text}")
    await _wait_ready(target)


async def _wait_ready(target: _Target) -> None:
    started_ms = target.clock.now()
    while True:
        answer = await treq.get(f"{target.entry}/readyz")
        text = await answer.text()
        if answer.code == 200:
            return
        if target.clock.now() - started_ms > START_TIMEOUT_MS:
            raise RuntimeError(f"the instance did not become ready: {text}")
        await target.clock.sleep(POLL_MS)


async def _run_workload(
    target: _Target, fleet: Fleet, options: DemoOptions, rand: random.Random
) -> DemoReport:
    tally = _Tally()
    job_id = await _submit_job(target, options.items)
    sends = []
    for number in range(options.requests):
        sends.append(Deferred.fromCoroutine(_one_request(target, tally, number)))
        await target.clock.sleep(rand.expovariate(1 / MEAN_REQUEST_INTERVAL_MS))
    await gatherResults(sends)
    print(f"demo: {options.requests} online requests finished, waiting for the batch job")
    job = await _wait_job_finished(target, job_id)
    await _check_results(target, tally, job, options.items)
    _check_counts(tally, fleet)
    counts = job["request_counts"]
    return DemoReport(
        sent=options.requests,
        answered=tally.answered,
        refused=dict(tally.refused),
        p50_ms=tally.latency.get_value_at_percentile(50),
        p99_ms=tally.latency.get_value_at_percentile(99),
        items=options.items,
        items_completed=counts["completed"],
        items_failed=counts["failed"],
        broken=tally.violations,
    )


async def _one_request(target: _Target, tally: _Tally, number: int) -> None:
    started_ms = target.clock.now()
    if number % 2:
        await _call_gate(target, tally, number)
    else:
        await _call_chat(target, tally, number)
    tally.latency.record_value(max(1, target.clock.now() - started_ms))


async def _call_gate(target: _Target, tally: _Tally, number: int) -> None:
    headers: Any = {"X-Papayapier-Profile": "gate", "Idempotency-Key": f"pass-{number}"}
    url = f"{target.entry}/services/gate/calls/passes"
    answer = await treq.post(url, json={"truck": number}, headers=headers)
    body = await answer.json()
    if answer.code != 200:
        _count_refusal(tally, body)
        return
    tally.answered += 1
    if body["path"] != "/calls/passes":
        tally.violations.append(f"gate check {number} received the answer to another request")


async def _call_chat(target: _Target, tally: _Tally, number: int) -> None:
    prompt = f"question {number} about opening hours"
    body = _chat_body(prompt, ANSWER_TOKENS)
    headers: Any = {"X-Papayapier-Profile": "chat"}
    answer = await treq.post(f"{target.entry}/v1/chat/completions", json=body, headers=headers)
    document = await answer.json()
    if answer.code != 200:
        _count_refusal(tally, document)
        return
    tally.answered += 1
    if document["choices"][0]["message"]["content"] != expected_text(prompt, ANSWER_TOKENS):
        tally.violations.append(f"chat {number} received a wrong answer")


def _chat_body(prompt: str, tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "lm", "messages": messages, "max_tokens": tokens}


def _count_refusal(tally: _Tally, body: Any) -> None:
    tally.refused[f"{body['error']['kind']}/{body['error']['outcome']}"] += 1


def _item_prompt(number: int) -> str:
    return f"summarise delivery {number}"


async def _submit_job(target: _Target, items: int) -> str:
    lines = [
        json.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": _chat_body(_item_prompt(number), ITEM_TOKENS),
            }
        )
        for number in range(items)
    ]
    data = ("\n".join(lines) + "\n").encode()
    headers: Any = {"Content-Type": "application/jsonl"}
    answer = await treq.post(f"{target.entry}/v1/files", data=data, headers=headers)
    uploaded = await _read_success(answer, "upload")
    job = {
        "input_file_id": uploaded["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    headers = {"X-Papayapier-Profile": "summaries", "Idempotency-Key": "demo-job"}
    answer = await treq.post(f"{target.entry}/v1/batches", json=job, headers=headers)
    created = await _read_success(answer, "job")
    return str(created["id"])


async def _read_success(answer: Any, subject: str) -> Any:
    text = await answer.text()
    if answer.code not in (200, 201):
        raise RuntimeError(f"{subject} was refused: {text}")
    return json.loads(text)


async def _wait_job_finished(target: _Target, job_id: str) -> Any:
    started_ms = target.clock.now()
    while True:
        answer = await treq.get(f"{target.entry}/v1/batches/{job_id}")
        job = await _read_success(answer, "job status")
        if job["status"] in ("completed", "failed", "cancelled", "expired"):
            return job
        if target.clock.now() - started_ms > JOB_TIMEOUT_MS:
            raise RuntimeError(f"the job did not finish in time: {job}")
        await target.clock.sleep(POLL_MS)


async def _check_results(target: _Target, tally: _Tally, job: Any, items: int) -> None:
    answer = await treq.get(f"{target.entry}/v1/files/{job['output_file_id']}/content")
    text = await answer.text()
    results = [json.loads(line) for line in text.splitlines()]
    by_item = Counter(result["custom_id"] for result in results)
    if len(by_item) != items or max(by_item.values(), default=0) > 1:
        tally.violations.append(
            f"{items} items have {len(results)} results of {len(by_item)} items"
        )
    for result in results:
        number = int(result["custom_id"].removeprefix("item-"))
        content = result["response"]["body"]["choices"][0]["message"]["content"]
        if content != expected_text(_item_prompt(number), ITEM_TOKENS):
            tally.violations.append(f"{result['custom_id']} has a wrong result")


def _check_counts(tally: _Tally, fleet: Fleet) -> None:
    """Check the services' own counts of executed calls."""
    for service in fleet.services:
        for call_id, times in service.counts().calls.items():
            if times > 1:
                tally.violations.append(f"call {call_id} ran {times} times")
    if invariants.violation_count():
        tally.violations.append(f"{invariants.violation_count()} internal checks failed")


def _print_report(report: DemoReport, as_json: bool) -> None:
    if as_json:
        print(codec.to_json(report).decode())
        return
    refused = ", ".join(f"{kind} {count}" for kind, count in sorted(report.refused.items()))
    print(f"online requests   {report.sent:>8}")
    print(f"  answered        {report.answered:>8}")
    print(f"  refused         {sum(report.refused.values()):>8}  {refused}")
    print(f"  p50 / p99 ms    {report.p50_ms:>8} / {report.p99_ms}")
    print(f"batch items       {report.items:>8}")
    print(f"  completed       {report.items_completed:>8}")
    print(f"  failed          {report.items_failed:>8}")
    for line in report.broken:
        print(f"violated: {line}", file=sys.stderr)
    print("invariants        " + ("broken" if report.broken else "    hold"))


def _print_curl(target: _Target) -> None:
    body = json.dumps(_chat_body("when do you open?", 12))
    print("try:")
    print(
        f"  curl -s {target.entry}/v1/chat/completions -H 'X-Papayapier-Profile: chat' "
        f"-H 'Content-Type: application/json' -d '{body}'"
    )
    print(
        f"  curl -s {target.entry}/services/gate/calls/passes -H 'X-Papayapier-Profile: gate' "
        "-H 'Idempotency-Key: pass-4711' -d '{\"truck\": 4711}'"
    )
    print(f"  curl -s {target.entry}/v1/batches")
    print(f"  curl -s {target.operator}/v1/profiles")
    print(f"  curl -s {target.entry}/metrics")


async def _close(instance: "Instance", fleet: Fleet) -> None:
    await instance.shut_down()
    await fleet.close()
