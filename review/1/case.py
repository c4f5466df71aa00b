"""A batch job's results stay unlisted for good after an outage of the store."""

import asyncio
import base64
import json
import sys
from pathlib import Path

from review.standins.http import call
from review.standins.replica import Replica, record_runs
from review.standins.store import Store
from review.standins.system import BOUNDS, System, run_case, troubled

HOST = "desk.example"
ITEMS = 200  # "at most 200"
EVENTS = 212  # as for yard-brief of sulina-passes: "212 events out"
EVENT_S = 0.006
# Twelve letters that UTF-8 gives three bytes each, about what a few tokens of Thai are.
WORD = "คืนเงินสำเร็"
OUTAGE_S = 5.0  # fleetbench kinds: platform_down, for_s: how long (5)
JOB = "a1b2c3d4e5f60718"


def events_of(request_id):
    return [WORD] * EVENTS


def configuration():
    route = {
        "name": "desk",
        "host": HOST,
        "pathPrefix": "/desk/",
        "kind": "batch_job",
        "service": "lm",
        "timeoutMs": 15000,
        "sloMs": 400,
        "priority": 2,
        "maxAttempts": 3,
        "runTargetMs": 18000,
        "maxWaitS": 600,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": 1, "routes": [route], "services": [{"name": "lm"}], "limits": limits}


def job_body():
    items = [
        {
            "id": f"{JOB}-{number}",
            "path": f"/desk/{number}",
            "headers": {
                "X-Model": "m",
                "X-Token-Count": "350,1600",
                "X-Prompt-Prefix": f"9c2e41:100,{number:x}aa:250",
            },
            "body": base64.b64encode(b"summarise").decode(),
            "tokens": 1950,
        }
        for number in range(ITEMS)
    ]
    return json.dumps({"items": items}).encode()


async def read_results(system, results, record):
    """Read on from the last position, at both entries in turn; return the status."""
    name = sorted(system.callers)[len(results) % 2]
    address = ("127.0.0.1", system.callers[name])
    path = f"/v1/lots/{JOB}?after={len(results)}"
    answer = await call(address, "GET", path, {"Host": HOST, "X-Wait-Ms": "500"}, timeout_s=2.0)
    if answer.status == 200:
        page = json.loads(answer.body)["results"]
        results.extend(page)
        if page:
            record(f"read at {name}: {len(page)} more results, {len(results)} of {ITEMS}")
    else:
        record(f"read at {name}: status {answer.status} {answer.error}")


async def play(record):
    store = Store(record)
    await store.start()
    store.put("config", "main", "spec", configuration())
    replicas = [Replica(store, record, "lm", f"i-lm{n}", 8, events_of, EVENT_S) for n in range(9)]
    for replica in replicas:
        await replica.start()
    system = System(record, store.address)
    try:
        for name in ("entry-1", "entry-2"):
            system.add_entry(name)
        for name in ("keeper-1", "keeper-2", "keeper-3"):
            system.add_keeper(name)
        await system.start_all()
        return await judge(record, store, replicas, system)
    finally:
        await system.close()
        for replica in replicas:
            replica.close()
        store.close()


async def judge(record, store, replicas, system):
    loop = asyncio.get_running_loop()
    address = ("127.0.0.1", system.callers["entry-1"])
    headers = {"Host": HOST, "X-Request-Id": JOB, "Content-Type": "application/json"}
    answer = await call(address, "POST", f"/desk/{JOB}", headers, job_body())
    record(f"sent job {JOB} with {ITEMS} items to entry-1: status {answer.status} {answer.error}")
    if answer.status != 202:
        return None
    results = []
    # The outage begins when the first items are under way, and none is done.
    while not any(replica.runs for replica in replicas):
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    if troubled():
        store.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        store.set_down(False)
    # From here everything is in order.
    calm = loop.time()
    while loop.time() < calm + BOUNDS["finishS"] + 6 and len(results) < ITEMS:
        await read_results(system, results, record)
        await asyncio.sleep(0.4)
    runs = [run for replica in replicas for run in replica.runs]
    record(f"replicas ran {len(runs)} times, {len({run[1] for run in runs})} items")
    busy = max(replica.busy_until for replica in replicas)
    running = sum(replica.running for replica in replicas)
    record(f"running now: {running}; the last run ended {loop.time() - busy:.1f} s ago")
    record(f"listed: {len(results)} of {ITEMS}; writes refused as too large: {store.too_large}")
    for name in ("keeper-1", "keeper-2", "keeper-3"):
        delayed = [line for line in system.log(name).splitlines() if '"commit_delayed"' in line]
        record(f"{name}: {len(delayed)} log lines of a delayed write of results")
    record_runs(record, replicas)
    missing = ITEMS - len(results)
    was_calm = running == 0 and loop.time() - busy > 5
    return missing > 0 and was_calm


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
