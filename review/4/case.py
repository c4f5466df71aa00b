"""The store is down twice for seconds: first with the answer to a write, then after a listing.

The write creates the last results of a batch job. One entry has read the batch job before, and is
asked again only when the store has been sound for longer than contactMs.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import world as standins
from world import CouldNotRun, new_id, run_case, send

FIRST_S = 2.2
SECOND_S = 1.5
CONTACT_S = 3.0
SETTLE_S = 1.0
ITEMS = 3


class LossyStore(standins.Store):
    """Fall silent when the results of a batch job are created, and once more after a listing."""

    trouble = False
    step = 0

    async def on_request(self, request, reader, writer):
        method, target, _headers, _body = request
        results = "/papayapier-results-" in target
        if self.trouble and self.step == 0 and method == "POST" and results:
            self.step = 1
            asyncio.ensure_future(self.fall_silent(FIRST_S, 2))
            self._perform("POST", target.removeprefix(standins.ROOT_PATH), "", {}, _body)
            self.record.write("store: " + target + " is done and not answered")
            await asyncio.sleep(60)
        if self.silent:
            await asyncio.sleep(60)
        await super().on_request(request, reader, writer)
        if self.step == 2 and method == "GET" and results and "watch" not in target:
            self.step = 3
            asyncio.ensure_future(self.fall_silent(SECOND_S, 4))

    silent = False

    async def fall_silent(self, seconds, then):
        self.silent = True
        self.record.write(f"store: is down and silent for {seconds} s")
        await asyncio.sleep(seconds)
        self.silent = False
        self.record.write("store: is back")
        self.step = then


standins.Store = LossyStore


async def play(world, trouble):
    await world.start(entries=3, events=20, interval_s=0.05)
    record = world.record
    await asyncio.sleep(5)
    first, second = world.entries()[:2]
    world.store.trouble = trouble
    job = new_id()
    reply = await world.submit(first, job, ITEMS)
    record.write(f"answer: {job} submitted: {reply.status}")
    if reply.status != 202:
        raise CouldNotRun(f"the job was not accepted: {reply.status}")
    await asyncio.sleep(0.4)
    record.write(f"{second.name} is asked: {await count(world, second, job)} results")
    await asyncio.sleep(1 + FIRST_S + 3 + SECOND_S + CONTACT_S + 2)
    shown = {entry.name: await count(world, entry, job) for entry in world.entries()[::-1]}
    record.write(f"results by entry: {shown}")
    await asyncio.sleep(SETTLE_S + 1)
    again = {entry.name: await count(world, entry, job) for entry in world.entries()}
    record.say(f"results by entry: {shown}, {SETTLE_S + 1} s later {again}")
    late = [name for name, has in again.items() if has < max(shown.values())]
    if late:
        return f"LOST: {late[0]} has nothing at position {again[late[0]]} of {job}"
    return ""


async def count(world, entry, job):
    path = f"/v1/lots/{job}?after=0"
    reply = await send(entry.front, "GET", path, b"", {"X-Wait-Ms": "0"})
    results = reply.json()["results"] if reply.status == 200 else []
    world.record.write(f"answer: {path} at {entry.name}: {reply.status}, {len(results)} results")
    return len(results)


run_case(Path(__file__).resolve().parent, play)
