"""Test the delay of the stand-ins' links."""

from collections.abc import Awaitable
from typing import Any

from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.standin.answers import expected_text
from papayapier.standin.engine import start_engine
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.link import Link
from papayapier.standin.platform import PlatformParams, start_platform
from papayapier.standin.service import ServiceParams, ServiceServer, start_service
from papayapier.standin.switches import Control, Mode
from tests.standin_case import HOST, REACTOR, HttpResponse, StandInCase

DELAY_MS = 5


def test_link_delays_in_order_with_few_timers() -> None:
    fake = fake_clock()
    link = Link(fake.clock, DELAY_MS)
    arrived: list[int] = []
    for number in range(100):
        link.deliver(arrived.append, number)
    assert len(fake.source.getDelayedCalls()) == 1
    fake.jump(0)
    assert len(fake.source.getDelayedCalls()) == 1
    fake.jump(DELAY_MS - 1)
    link.deliver(arrived.append, 100)
    assert arrived == []
    fake.jump(1)
    assert arrived == list(range(100))
    fake.jump(DELAY_MS)
    assert arrived == list(range(101))
    assert fake.source.getDelayedCalls() == []


def test_link_without_delay_runs_calls_at_once() -> None:
    fake = fake_clock()
    arrived: list[int] = []
    Link(fake.clock, 0).deliver(arrived.append, 1)
    assert arrived == [1]
    assert fake.source.getDelayedCalls() == []


def test_failing_call_does_not_affect_others() -> None:
    """Check that the failure of one connection's handler does not drop the rest of a batch."""
    fake = fake_clock()
    link = Link(fake.clock, DELAY_MS)
    arrived: list[int] = []
    link.deliver(arrived.remove, 1)
    link.deliver(arrived.append, 2)
    fake.jump(0)
    fake.jump(DELAY_MS)
    assert arrived == [2]


class LinkTest(StandInCase):
    """Test the delay over sockets, with a clock that only the test advances."""

    server: ServiceServer

    def setUp(self) -> None:
        super().setUp()
        self.fake = fake_clock()

    async def start(self) -> None:
        params = ServiceParams(work_ms=1, link_delay_ms=DELAY_MS)
        self.server = await start_service(REACTOR, self.fake.clock, params, HOST, 0)
        self.addCleanup(self.close_server, self.server)

    async def close_server(self, server: Any) -> None:
        await self.advance_until_done(server.close())

    async def advance_until_done(self, call: Awaitable[Any]) -> Any:
        """Advance the clock until a call has finished."""
        done = call if isinstance(call, Deferred) else self.start_call(call)
        while not done.called:
            self.fake.jump(1)
            await self.clock.sleep(1)
        return await done

    async def send_request(self) -> HttpResponse:
        headers = {"X-Request-Id": "r"}
        return await self.call(self.server.port, "GET", "/calls/a", headers=headers)

    def in_flight(self) -> bool:
        return bool(self.fake.source.getDelayedCalls())

    async def test_answers_take_the_delay_in_both_directions(self) -> None:
        await self.start()
        began = self.fake.clock.now()
        assert (await self.advance_until_done(self.send_request())).status == 200
        assert self.fake.clock.now() - began >= DELAY_MS + 1 + DELAY_MS

    async def test_platform_link_is_delayed(self) -> None:
        params = PlatformParams(latency_ms=2, link_delay_ms=DELAY_MS)
        server = await start_platform(REACTOR, self.fake.clock, params, HOST, 0)
        self.addCleanup(self.close_server, server)
        began = self.fake.clock.now()
        response = await self.advance_until_done(self.call(server.port, "GET", "/objects/a"))
        assert response.status == 404
        assert self.fake.clock.now() - began >= DELAY_MS + 2 + DELAY_MS

    async def test_streamed_tokens_keep_their_order(self) -> None:
        params = EngineParams(base_ms=1.0, link_delay_ms=DELAY_MS)
        server = await start_engine(REACTOR, self.fake.clock, params, HOST, 0)
        self.addCleanup(self.close_server, server)
        body = {"prompt": "a", "max_tokens": 9, "stream": True}
        began = self.fake.clock.now()
        response = await self.advance_until_done(
            self.call(server.port, "POST", "/v1/completions", body)
        )
        assert self.fake.clock.now() - began >= DELAY_MS + 9 + DELAY_MS
        places = [response.text.index(word) for word in expected_text("a", 9).split()]
        assert places == sorted(places)
        assert response.text.endswith("data: [DONE]\n\n")

    async def test_crash_drops_data_in_transit(self) -> None:
        """Check that data in transit is not delivered on a connection that a crash has reset."""
        await self.start()
        lost = self.start_call(self.send_request())
        await self.wait_until(self.in_flight)
        self.server.control(Control(mode=Mode.CRASH))
        await self.advance_until_done(self.expect_cut(lost))
        await self.advance_until_done(self.server.restart())
        assert (await self.advance_until_done(self.send_request())).status == 200
        assert self.server.counts().calls == {"r": 1}

    async def test_call_runs_after_its_caller_disconnects(self) -> None:
        """Check that a call runs whose connection closes while its request is in transit."""
        await self.start()
        abandoned = self.start_call(self.send_request())
        await self.wait_until(self.in_flight)
        await self.abandon(abandoned)
        while not self.server.counts().calls:
            self.fake.jump(1)
            await self.clock.sleep(1)
        assert self.server.counts().calls == {"r": 1}
