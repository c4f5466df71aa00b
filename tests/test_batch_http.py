"""Test the routes for files and batch jobs over loopback connections."""

import io
import json
from typing import Any

import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.server import Site

from papayapier.clock import real_clock
from papayapier.entry.batch_routes import add_batch_routes
from papayapier.entry.callers import caller_auth
from tests.batch_world import URL, World

CHAT_JOB = {"endpoint": URL, "completion_window": "24h"}


def lines(count: int) -> bytes:
    return b"".join(
        json.dumps({"custom_id": f"van/{n}", "url": URL, "body": {"n": n}}).encode() + b"\n"
        for n in range(count)
    )


class TestBatchRoutes(TestCase):
    """Serve the routes of one instance on a loopback port."""

    timeout = 30

    def setUp(self) -> None:
        self.addCleanup(lambda: Deferred.fromCoroutine(self.stop()))
        self.world = World(clock=real_clock())
        self.batch = self.world.start("a")
        app = Klein()
        add_batch_routes(app, self.batch, caller_auth(()))
        site = Site(app.resource(), parsePOSTFormSubmission=False)
        net: Any = reactor
        self.port = net.listenTCP(0, site, interface="127.0.0.1")
        self.base = f"http://127.0.0.1:{self.port.getHost().port}/v1"

    async def stop(self) -> None:
        await self.batch.stop()
        await self.port.stopListening()

    async def call(self, method: str, path: str, **kwargs: Any) -> tuple[int, Any]:
        headers = {"X-Papayapier-Profile": "notes", **kwargs.pop("headers", {})}
        answer = await treq.request(
            method, self.base + path, headers=headers, persistent=False, **kwargs
        )
        body = await answer.content()
        if answer.headers.getRawHeaders("content-type") == ["application/jsonl"]:
            return answer.code, [json.loads(line) for line in body.splitlines()]
        return answer.code, json.loads(body)

    async def upload(self, data: bytes) -> tuple[int, Any]:
        return await self.call("POST", "/files", data=data)

    async def ended(self, job_id: str) -> Any:
        while True:
            _, job = await self.call("GET", f"/batches/{job_id}")
            if job["status"] in ("completed", "cancelled"):
                return job
            await self.world.clock.sleep(50)

    def test_job_from_upload_to_results(self) -> Deferred[None]:
        async def run() -> None:
            code, file = await self.upload(lines(120))
            assert (code, file["items"]) == (200, 120)
            wanted = {**CHAT_JOB, "input_file_id": file["id"], "metadata": {"yard": "north"}}
            headers = {"Idempotency-Key": "k1"}
            code, job = await self.call("POST", "/batches", json=wanted, headers=headers)
            assert (code, job["status"], job["metadata"]) == (200, "in_progress", {"yard": "north"})
            code, again = await self.call("POST", "/batches", json=wanted, headers=headers)
            assert (code, again["id"]) == (200, job["id"])
            other = {**wanted, "completion_window": "1h"}
            code, refused = await self.call("POST", "/batches", json=other, headers=headers)
            assert (code, refused["error"]["kind"]) == (409, "key_conflict")
            job = await self.ended(job["id"])
            counts = {"total": 120, "completed": 120, "failed": 0, "unknown": 0, "cancelled": 0}
            assert job["request_counts"] == counts
            _, results = await self.call("GET", f"/files/{job['output_file_id']}/content")
            assert [one["custom_id"] for one in results] == [f"van/{n}" for n in range(120)]
            assert results[7]["response"]["status_code"] == 200
            code, item = await self.call("GET", f"/batches/{job['id']}/items/van/7")
            assert (item["status"], item["line"]) == ("completed", results[7])
            code, _ = await self.call("GET", f"/batches/{job['id']}/items/boat/7")
            assert code == 404
            _, listed = await self.call("GET", "/batches?limit=1")
            assert [one["id"] for one in listed["data"]] == [job["id"]]
            _, content = await self.call("GET", f"/files/{file['id']}/content")
            assert content[3] == {
                "custom_id": "van/3",
                "method": "POST",
                "url": URL,
                "body": {"n": 3},
            }

        return Deferred.fromCoroutine(run())

    def test_form_upload(self) -> Deferred[None]:
        async def run() -> None:
            files = {"file": ("notes.jsonl", io.BytesIO(lines(3000)))}
            form = {"purpose": "batch"}
            code, file = await self.call("POST", "/files", files=files, data=form)
            assert (code, file["filename"], file["items"]) == (200, "notes.jsonl", 3000)
            files = {"file": ("notes.jsonl", io.BytesIO(lines(1)))}
            form = {"purpose": "vision"}
            code, refused = await self.call("POST", "/files", files=files, data=form)
            assert (code, refused["error"]["kind"]) == (400, "bad_request")
            code, deleted = await self.call("DELETE", f"/files/{file['id']}")
            assert (code, deleted["deleted"]) == (200, True)
            code, _ = await self.call("GET", f"/files/{file['id']}")
            assert code == 404

        return Deferred.fromCoroutine(run())

    def test_malformed_line_is_refused_and_nothing_is_stored(self) -> Deferred[None]:
        async def run() -> None:
            data = lines(2500) + b'{"custom_id": "x", "url": "/v1/chat/completions", "bod\n'
            code, refused = await self.upload(data)
            assert code == 400
            assert refused["error"]["reason"].startswith("line 2501: ")
            assert refused["error"]["outcome"] == "not_run"
            kept = [key for key in self.world.platform.objects if key.startswith(("f", "chunks"))]
            assert kept == []

        return Deferred.fromCoroutine(run())
