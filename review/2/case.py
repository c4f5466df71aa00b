"""A machine that was cut off gives up the items of jobs whose route it does not know yet."""

import asyncio
import base64
import json
import sys
from pathlib import Path

from review.standins.http import call
from review.standins.network import Island
from review.standins.replica import Replica, record_runs
from review.standins.store import Store
from review.standins.system import System, free_ports, run_case, troubled

HOST = "desk.example"
JOBS = 8  # in each round
ITEMS = 4  # of each job; at most 200
EVENTS = 212
EVENT_S = 0.025
CUT_S = 5.0
CHANGE_AFTER_S = 2.6
ROUNDS = 10
CUT_OFF = "keeper-3"


def events_of(request_id):
    return [f"token-{number}" for number in range(1, EVENTS + 1)]


def configuration(version, rounds):
    """Return a configuration with a batch route for each round so far."""
    routes = [
        {
            "name": f"desk-{number}",
            "host": HOST,
            "pathPrefix": f"/desk-{number}/",
            "kind": "batch_job",
            "service": "lm",
            "timeoutMs": 15000,
            "sloMs": 400,
            "priority": 2,
            "maxAttempts": 3,
            "runTargetMs": 18000,
            "maxWaitS": 600,
        }
        for number in range(rounds + 1)
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": [{"name": "lm"}], "limits": limits}


def job_body(job, number):
    items = [
        {
            "id": f"{job}-{item}",
            "path": f"/desk-{number}/{item}",
            "headers": {
                "X-Model": "m",
                "X-Token-Count": "350,300",
                "X-Prompt-Prefix": f"9c2e41:100,{item:x}{number:x}aa:250",
            },
            "body": base64.b64encode(b"summarise").decode(),
            "tokens": 650,
        }
        for item in range(ITEMS)
    ]
    return json.dumps({"items": items}).encode()


async def read_all(record, address, job, until):
    """Read a job's results to the end, and return them."""
    results = []
    while len(results) < ITEMS and asyncio.get_running_loop().time() < until:
        path = f"/v1/lots/{job}?after={len(results)}"
        answer = await call(address, "GET", path, {"Host": HOST, "X-Wait-Ms": "500"}, timeout_s=2.0)
        if answer.status == 200:
            results += json.loads(answer.body)["results"]
        else:
            record(f"read of {job}: status {answer.status} {answer.error}")
        await asyncio.sleep(0.4)
    return results


async def submit(record, address, job, number):
    headers = {"Host": HOST, "X-Request-Id": job, "Content-Type": "application/json"}
    for _ in range(20):
        answer = await call(address, "POST", f"/desk-{number}/{job}", headers, job_body(job, number))
        if answer.status != 404:
            break
        await asyncio.sleep(0.05)
    record(f"sent job {job} with {ITEMS} items to entry-1: status {answer.status} {answer.error}")


async def play(record):
    store = Store(record)
    await store.start()
    store.put("config", "main", "spec", configuration(10, 0))
    replicas = [Replica(store, record, "lm", f"i-lm{n}", 8, events_of, EVENT_S) for n in range(9)]
    for replica in replicas:
        await replica.start()
    system = System(record, store.address)
    island = Island(system, CUT_OFF, record)
    try:
        for name in ("entry-1", "entry-2"):
            system.add_entry(name)
        (store_port,) = free_ports(1)
        for name in ("keeper-1", "keeper-2"):
            system.add_keeper(name)
        system.add_keeper(CUT_OFF, ("127.0.0.1", store_port))
        await island.start(store, store_port)
        await system.start_all()
        for number in range(1, ROUNDS + 1):
            if await play_round(record, store, system, island, number):
                return True
        return await read_again(record, system)
    finally:
        record_runs(record, replicas)
        await system.close()
        island.close()
        for replica in replicas:
            replica.close()
        store.close()


def jobs_of(number):
    return [f"{number:02}{letter}b2c3d4e5f60718" for letter in "abcdef01"[:JOBS]]


async def read_again(record, system):
    """Read all jobs once more at the end; return whether an item was given up."""
    address = ("127.0.0.1", system.callers["entry-2"])
    until = asyncio.get_running_loop().time() + 8
    jobs = [job for number in range(1, ROUNDS + 1) for job in jobs_of(number)]
    read = await asyncio.gather(*(read_all(record, address, job, until) for job in jobs))
    states = [result["state"] for results in read for result in results]
    record(f"at the end: {len(states)} of {len(jobs) * ITEMS} items listed: {set(states)}")
    return "dead_lettered" in states


async def play_round(record, store, system, island, number):
    loop = asyncio.get_running_loop()
    address = ("127.0.0.1", system.callers["entry-1"])
    jobs = jobs_of(number)
    if troubled():
        island.cut()
    began = loop.time()
    await asyncio.sleep(CHANGE_AFTER_S)
    store.put("config", "main", "spec", configuration(10 + number * 3, number))
    record(f"operator: configuration {10 + number * 3} adds route desk-{number}; acknowledged")
    for job in jobs:
        await submit(record, address, job, number)
    await asyncio.sleep(max(0.0, began + CUT_S - loop.time()))
    if troubled():
        await island.heal()
    until = loop.time() + 2.5
    read = await asyncio.gather(*(read_all(record, address, job, until) for job in jobs))
    results = [result for each in read for result in each]
    given_up = [result["id"] for result in results if result["state"] == "dead_lettered"]
    record(f"{len(results)} of {JOBS * ITEMS} items listed, {len(given_up)} of these dead_lettered")
    if given_up:
        record(
            f"dead_lettered: {', '.join(given_up)}; no replica answered 422 or 500, the job was not"
            " ended, its route is in force, and maxWaitS is 600"
        )
        for line in system.log(CUT_OFF).splitlines():
            if '"items_lost"' in line or '"config_applied"' in line:
                record(f"{CUT_OFF} logs: {line[:230]}")
    return bool(given_up)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
