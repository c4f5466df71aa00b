"""An entry of another writer, whose one field is an array nested 1,200 deep, among the replicas'.

Then both services get a release: new replicas start, the old ones report draining, serve on for
drainMs and a little longer, and leave.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from world import DRAIN_S, RawJson, Replica, new_id, run_case, send

DEPTH = 1_200
# How long the other writer's entry is there.
ENTRY_S = 3.0
LOAD_S = 34.0


async def play(world, trouble):
    await world.start()
    record = world.record
    old = list(world.replicas)
    replies = []
    load = asyncio.ensure_future(client_load(world, replies))
    await asyncio.sleep(4)
    if trouble:
        nested = "[" * DEPTH + "]" * DEPTH
        record.write(f"another writer: servers/tool-1 with an array nested {DEPTH} deep")
        world.store.put("servers", "tool-1", {"service": "lm", "address": RawJson(nested)})
    await asyncio.sleep(ENTRY_S)
    world.store.remove("servers", "tool-1")
    record.write("another writer: servers/tool-1 is removed")
    await asyncio.sleep(2)
    leaving = []
    for replica in old:
        await Replica(world, replica.service).start()
        await asyncio.sleep(0.5)
        leaving.append(asyncio.ensure_future(replica.drain_and_leave(longer_s=1.5)))
        await asyncio.sleep(1.5)
    await asyncio.gather(load, *leaving)
    return judge(world, old, replies)


async def client_load(world, replies):
    """Send requests for LOAD_S, 20 lookups and 6 streams a second; nothing is sent again."""
    began = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() < began + LOAD_S:
        entry = world.entries()[number % len(world.entries())]
        path = "/stream/once/ask" if number % 13 in (0, 4, 8) else f"/look/{number}"
        tasks.append(asyncio.ensure_future(one(world, entry, path, replies)))
        number += 1
        await asyncio.sleep(1 / 26)
    await asyncio.gather(*tasks)


async def one(world, entry, path, replies):
    rid = new_id()
    sent = time.monotonic()
    reply = await send(entry.front, "POST", path, b"q", {"X-Request-Id": rid})
    replies.append((sent, path, rid, reply))
    why = "" if reply.whole else " cut " + reply.why
    world.record.write(f"answer: {rid} {path} {reply.status}{why} from {entry.name}")


def judge(world, old, replies):
    """DRAIN: a request reaches a replica later than drainMs after its draining was accepted."""
    late = [
        (at - replica.drained_at, replica.id, rid)
        for at, replica, rid, _target in world.runs
        if replica.drained_at is not None and at > replica.drained_at + DRAIN_S
    ]
    left_at = max(replica.drained_at for replica in old) + DRAIN_S + 1.5
    after = [reply for sent, _path, _rid, reply in replies if sent > left_at]
    served = sum(reply.status == 200 and reply.whole for reply in after)
    cut = [rid for _sent, _path, rid, reply in replies if reply.status == 200 and not reply.whole]
    followers = sum(
        len(process.lines("store_task_failed", "follow servers"))
        for process in world.processes.values()
    )
    world.record.say(
        f"{len(world.runs)} runs, {len(late)} of them at replicas later than {DRAIN_S} s after their "
        f"draining was accepted; {len(cut)} streams were cut; after the old replicas had left "
        f"{served} of {len(after)} requests were served by 6 new ones; "
        f"{followers} processes say that they no longer follow the list of replicas"
    )
    if late:
        return f"DRAIN: {len(late)} requests, the latest {max(late)[0]:.1f} s after the ack"
    return ""


run_case(Path(__file__).resolve().parent, play)
