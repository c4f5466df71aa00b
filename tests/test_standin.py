"""Test engines, services and fleets over real sockets: protocols and fault switches."""

import hashlib
import json
from functools import partial
from typing import Any

import treq
import xxhash
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from papayapier.standin.answers import expected_text
from papayapier.standin.engine import EngineServer, start_engine
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.fleet import FleetParams, run_fleet
from papayapier.standin.prefix_cache import BLOCK_TOKENS, CacheParams
from papayapier.standin.service import ServiceParams, ServiceServer, start_service
from papayapier.standin.switches import Control, Mode
from tests.standin_case import HOST, REACTOR, HttpResponse, StandInCase

CHAT = "/v1/chat/completions"
DONE = "data: [DONE]"


class EngineTest(StandInCase):
    """Test the engine."""

    server: EngineServer

    async def start(self, **params: Any) -> None:
        defaults = {"base_ms": 1.0, "load_lag_ms": 0, "order_ms": 0}
        engine_params = EngineParams(**{**defaults, **params})
        self.server = await start_engine(REACTOR, self.clock, engine_params, HOST, 0)
        self.addCleanup(self.server.close)

    async def send_request(
        self, prompt: str, tokens: int = 4, path: str = CHAT, request_id: str = "r", **body: Any
    ) -> HttpResponse:
        messages = [{"role": "user", "content": prompt}]
        prompts = {"messages": messages} if path == CHAT else {"prompt": prompt}
        request = {"model": "m", "max_tokens": tokens, **prompts, **body}
        headers = {"X-Request-Id": request_id}
        return await self.call(self.server.port, "POST", path, request, headers=headers)

    async def get(self, path: str) -> Any:
        return (await self.call(self.server.port, "GET", path)).value

    async def post(self, path: str, body: object) -> HttpResponse:
        return await self.call(self.server.port, "POST", path, body)

    async def test_complete_answers(self) -> None:
        await self.start()
        chat = await self.send_request("where to")
        assert (chat.status, chat.headers["x-request-id"]) == (200, "r")
        assert chat.headers["x-load"] == "0/0/32"
        text = expected_text("where to", 4)
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "length"}
        assert chat.value["choices"] == [choice]
        assert chat.value["usage"] == {"prompt_tokens": 2, "completion_tokens": 4}
        plain = await self.send_request("where to", path="/v1/completions")
        assert plain.value["choices"][0]["text"] == text
        assert (await self.send_request("where to", tokens=0)).status == 400

    async def test_streamed_answers(self) -> None:
        await self.start()
        for path in (CHAT, "/v1/completions"):
            response = await self.send_request("where to", path=path, stream=True)
            assert response.headers["content-type"] == "text/event-stream"
            assert streamed_text(response) == expected_text("where to", 4)
            *chunks, last, end = response.text.strip().split("\n\n")
            assert end == DONE
            assert len(chunks) == 4
            final_chunk = json.loads(last.removeprefix("data: "))
            assert final_chunk["choices"][0]["finish_reason"] == "length"
            assert final_chunk["usage"]["completion_tokens"] == 4

    async def test_resume_continues_after_the_given_text(self) -> None:
        await self.start()
        resumed_text = expected_text("p", 3)
        rest = await self.send_request("p", tokens=5, stream=True, resume_text=resumed_text)
        assert resumed_text + streamed_text(rest) == expected_text("p", 5)
        nothing = await self.send_request("p", tokens=3, resume_text=resumed_text)
        assert nothing.value["choices"][0]["message"]["content"] == ""

    async def test_cancel_and_closed_connection_free_the_slot(self) -> None:
        await self.start(slots=1)
        first = self.start_call(self.send_request("a", tokens=90_000, request_id="a"))
        await self.wait_until(lambda: self.server.counts().running == 1)
        second = self.start_call(self.send_request("b", tokens=90_000, request_id="b"))
        await self.wait_until(lambda: self.server.core.load().waiting == 1)
        cancelled = await self.post("/cancel", {"request_id": "a"})
        assert cancelled.value == {"cancelled": True}
        await self.expect_cut(first)
        await self.wait_until(lambda: "b" in self.server.counts().started)
        await self.abandon(second)
        await self.wait_until(lambda: self.server.counts().running == 0)
        counts = await self.get("/counts")
        assert counts["cancelled"] == {"a": 1, "b": 1}
        assert counts["finished"] == {}
        again = await self.post("/cancel", {"request_id": "a"})
        assert again.value == {"cancelled": False}

    async def test_load_and_cache_events(self) -> None:
        cache = CacheParams(event_lag_ms=0, event_loss=0.0)
        await self.start(cache=cache)
        await self.send_request("word " * (2 * BLOCK_TOKENS + 1))
        events = (await self.get("/cache_events?since=0"))["events"]
        assert [(event["seq"], event["kind"]) for event in events] == STORED_EVENTS
        prefix = " ".join(["word"] * BLOCK_TOKENS)
        assert events[0]["prefix"] == xxhash.xxh64_hexdigest(prefix.encode())
        load = await self.get("/load")
        assert (load["running"], load["waiting"], load["slots"]) == (0, 0, 32)

    async def test_orders_and_state(self) -> None:
        await self.start()
        order = {"order_id": "o1", "fence": 2, "kind": "load_model", "name": "m2"}
        assert (await self.post("/orders", order)).value == {"accepted": True}
        old = await self.post("/orders", {**order, "order_id": "o2", "fence": 1})
        assert (old.status, old.value) == (409, {"accepted": False, "fence": 2})
        state = await self.get("/state")
        assert (state["models"], state["orders"]) == (["base", "m2"], ["o1"])
        models = [model["id"] for model in (await self.get("/v1/models"))["data"]]
        assert models == ["base", "m2"]
        assert (await self.post("/orders", {"order_id": "o3"})).status == 400

    async def test_model_that_is_not_loaded_is_refused(self) -> None:
        """Check that an engine does not answer for a model that it has not loaded.

        A request can arrive before the order to load its model has finished.
        """
        await self.start(checks_models=True, models=("m",))
        self.server.control(Control(mode=Mode.HANG, times=1))
        assert (await self.send_request("a", request_id="no", model="n")).status == 404
        self.server.control(Control(mode=Mode.OK))
        for number, kind in enumerate(("load_model", "load_adapter")):
            name = f"n-{number}"
            order = {"order_id": name, "fence": 1, "kind": kind, "name": name}
            assert (await self.post("/orders", order)).status == 200
            assert (await self.send_request("a", model=name)).status == 200
        assert (await self.send_request("a")).status == 200
        assert self.server.counts().started == {"r": 3}

    async def test_loading_a_model_delays_new_requests(self) -> None:
        await self.start(order_ms=30)
        await self.post("/orders", {"order_id": "o", "fence": 1, "kind": "load_model", "name": "n"})
        await self.send_request("a")
        assert "n" in (await self.get("/state"))["models"]

    async def test_hang_counts_the_request_and_never_answers(self) -> None:
        await self.start()
        self.server.control(Control(mode=Mode.HANG, times=1))
        hung = self.start_call(self.send_request("a", request_id="h"))
        await self.wait_until(lambda: self.server.counts().started == {"h": 1})
        assert (await self.send_request("b")).status == 200
        assert not hung.called
        self.server.control(Control(mode=Mode.HANG))
        load = self.start_call(self.get("/load"))
        assert (await self.get("/counts"))["finished"] == {"r": 1}
        assert not load.called

    async def test_crash_drops_running_requests_and_restart_serves_again(self) -> None:
        """Check that requests in progress are lost when the engine's process restarts.

        Running sequences exist only in the engine's memory.
        """
        await self.start()
        running = self.start_call(self.send_request("a", tokens=90_000, request_id="a"))
        await self.wait_until(lambda: self.server.counts().running == 1)
        assert (await self.post("/control", {"mode": "crash"})).status == 200
        await self.expect_cut(running)
        await self.wait_until(lambda: self.server.counts().running == 0)
        port = self.server.port
        await self.server.restart()
        assert self.server.port == port
        assert (await self.send_request("b")).status == 200
        counts = self.server.counts()
        assert (counts.started, counts.finished) == ({"a": 1, "r": 1}, {"r": 1})

    async def test_crash_on_a_request_and_timed_restart(self) -> None:
        await self.start()
        self.server.control(Control(mode=Mode.CRASH, times=1))
        await self.expect_cut(self.send_request("a"))
        self.server.control(Control(restart_ms=1))
        await self.wait_until(lambda: self.server.is_listening())
        assert (await self.send_request("b")).status == 200

    async def test_silence_affects_open_connections_only(self) -> None:
        """Simulate a middlebox that drops a connection's state without notifying either end.

        TCP does not detect this while neither end closes the connection: calls on the open
        connection hang, while new connections work.
        """
        await self.start()
        persistent_pool = HTTPConnectionPool(REACTOR, persistent=True)
        self.addCleanup(persistent_pool.closeCachedConnections)
        await self.call(self.server.port, "GET", "/load", pool=persistent_pool)
        control = await self.post("/control", {"mode": "silent"})
        assert control.value["mode"] == "ok"
        lost = self.start_call(self.call(self.server.port, "GET", "/load", pool=persistent_pool))
        assert (await self.get("/load"))["running"] == 0
        assert not lost.called

    async def test_silenced_request_runs_to_completion(self) -> None:
        await self.start()
        self.server.control(Control(mode=Mode.SILENT, times=1))
        lost = self.start_call(self.send_request("a", request_id="s"))
        await self.wait_until(lambda: self.server.counts().finished == {"s": 1})
        assert (await self.send_request("b")).status == 200
        assert not lost.called

    async def test_crossed_answer_has_id_and_text_of_another_request(self) -> None:
        await self.start()
        for stream in (True, False):
            await self.send_request("first", request_id="one")
            self.server.control(Control(mode=Mode.CROSSED, times=1))
            response = await self.send_request("second", request_id="two", stream=stream)
            assert response.headers["x-request-id"] == "one"
            assert expected_text("first", 1) in response.text
            assert '"two"' not in response.text
        assert self.server.counts().finished["two"] == 2

    async def test_truncated_answers_have_no_end_marker(self) -> None:
        await self.start()
        self.server.control(Control(mode=Mode.TRUNCATE, times=2))
        stream = await self.send_request("a", stream=True)
        assert DONE not in stream.text
        assert streamed_text(stream) == expected_text("a", 2)
        await self.expect_cut(self.send_request("a"))

    async def test_reset_follows_a_complete_generation(self) -> None:
        await self.start()
        for stream in (True, False):
            self.server.control(Control(mode=Mode.RESET, times=1))
            await self.expect_cut(self.send_request("a", stream=stream))
        assert self.server.counts().finished == {"r": 2}

    async def test_stream_headers_are_sent_before_the_first_token(self) -> None:
        await self.start(slots=1)
        running = self.start_call(self.send_request("a", tokens=90_000))
        await self.wait_until(lambda: self.server.counts().running == 1)
        url = f"http://{HOST}:{self.server.port}/v1/completions"
        body = {"prompt": "b", "stream": True}
        response = await treq.post(url, json=body, pool=self.pool)
        assert response.headers.getRawHeaders("x-load") == ["1/0/1"]
        await self.abandon(running)
        assert DONE in await response.text()


STORED_EVENTS = [(1, "stored"), (2, "stored")]


def streamed_text(response: HttpResponse) -> str:
    texts = []
    for event in response.text.strip().split("\n\n"):
        if event != DONE:
            choice = json.loads(event.removeprefix("data: "))["choices"][0]
            texts.append(choice["delta"]["content"] if "delta" in choice else choice["text"])
    return "".join(texts)


class ServiceTest(StandInCase):
    """Test the plain service."""

    server: ServiceServer

    async def start(self, **params: Any) -> None:
        service_params = ServiceParams(**{"work_ms": 1, **params})
        self.server = await start_service(REACTOR, self.clock, service_params, HOST, 0)
        self.addCleanup(self.server.close)

    async def send_request(self, request_id: str = "r", **headers: str) -> HttpResponse:
        all_headers = {"X-Request-Id": request_id, **headers}
        return await self.call(self.server.port, "POST", "/calls/a", b"pass", headers=all_headers)

    def has_run(self, request_id: str) -> bool:
        return request_id in self.server.counts().calls

    async def test_answer_and_counts(self) -> None:
        await self.start()
        response = await self.send_request()
        echo = hashlib.sha256(b"pass").hexdigest()
        assert response.value == {"request_id": "r", "path": "/calls/a", "echo": echo}
        assert (response.headers["x-request-id"], response.headers["x-load"]) == ("r", "0/0/16")
        for request_id in ("r2", "r3"):
            await self.send_request(request_id, **{"X-Papayapier-Call": "c"})
        counts = await self.call(self.server.port, "GET", "/counts")
        assert counts.value == {"calls": {"r": 1, "c": 2}, "total": 3}

    async def test_waiting_calls_run_after_their_caller_disconnects(self) -> None:
        """Check that a waiting call takes effect after its caller has disconnected.

        A plain service does not drop a call that it has accepted.
        """
        # The first call must still run when the load has been read over a new connection,
        # which can take longer than 30 ms on a busy machine.
        await self.start(slots=1, work_ms=1_000)
        first = self.start_call(self.send_request("a"))
        await self.wait_until(lambda: self.server.counts().calls == {"a": 1})
        second = self.start_call(self.send_request("b"))
        await self.wait_until(lambda: self.server.waiting() == 1)
        load = await self.call(self.server.port, "GET", "/load")
        assert load.value == {"running": 1, "waiting": 1, "slots": 1}
        await self.abandon(second)
        assert (await first).status == 200
        await self.wait_until(lambda: self.server.counts().calls == {"a": 1, "b": 1})

    async def test_faulty_responses_follow_completed_calls(self) -> None:
        await self.start()
        for mode in (Mode.RESET, Mode.TRUNCATE):
            self.server.control(Control(mode=mode, times=1))
            await self.expect_cut(self.send_request(mode.value))
        self.server.control(Control(mode=Mode.CROSSED, times=1))
        crossed = await self.send_request("crossed")
        assert crossed.headers["x-request-id"] != "crossed"
        assert crossed.value["request_id"] != "crossed"
        self.server.control(Control(mode=Mode.LATE, times=1))
        assert (await self.send_request("late")).value["request_id"] == "late"
        expected = {"reset": 1, "truncate": 1, "crossed": 1, "late": 1}
        assert self.server.counts().calls == expected

    async def test_hang_silence_and_crash(self) -> None:
        await self.start()
        for mode in (Mode.HANG, Mode.SILENT):
            self.server.control(Control(mode=mode, times=1))
            lost = self.start_call(self.send_request(mode.value))
            await self.wait_until(partial(self.has_run, mode.value))
            assert (await self.send_request("next")).status == 200
            assert not lost.called
        self.server.control(Control(mode=Mode.CRASH, times=1))
        await self.expect_cut(self.send_request("crash"))
        await self.server.restart()
        assert (await self.send_request("again")).status == 200
        assert "crash" not in self.server.counts().calls


class FleetTest(StandInCase):
    """Test a whole fleet."""

    async def test_replicas_are_listed_immediately_and_answer(self) -> None:
        params = FleetParams(engines=4, services=2)
        fleet = await run_fleet(REACTOR, self.clock, params)
        self.addCleanup(lambda: Deferred.fromCoroutine(fleet.close()))
        listed = await self.call(fleet.platform.port, "GET", "/instances")
        members = listed.value["instances"]
        assert [(member["id"], member["data_centre"]) for member in members] == [
            ("lm-1", "dc-a"),
            ("lm-2", "dc-b"),
            ("lm-3", "dc-c"),
            ("lm-4", "dc-a"),
            ("gate-1", "dc-a"),
            ("gate-2", "dc-b"),
        ]
        for member in members:
            load = await self.call(member["port"], "GET", "/load")
            assert load.value["running"] == 0
