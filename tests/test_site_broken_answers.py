"""Test on real processes that no caller gets an answer that breaks the protocol."""

import re
from collections.abc import Sequence
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults
from twisted.trial.unittest import TestCase

from papayapier.errors import ErrorKind
from papayapier.policy.crash_quarantine import MAX_LOSSES
from tests.broken_answers import (
    NAMES,
    STATUS_LINES,
    UNKNOWN_STATUS,
    VALUES,
    answer_all,
    answer_in_turn,
    make_answer,
    make_unknown_status,
)
from tests.early_answers import PARTS, EarlyServer, End
from tests.site.broken_case import BODY, MAX_BOOTS, SERVICES, BrokenReplicasCase
from tests.site.soak import run_soak
from tests.site.world import Reply, make_configuration, sleep, start_task

reactor: Any = installed

SOAK_S: Final = 12
NO_REPLICA: Final = ErrorKind.NO_UPSTREAM.value.encode()
ITEMS: Final = 3
WITHOUT_SOUND_S: Final = 3.0
# Most of it is still on its way when the answer begins.
UPLOAD: Final = b"u" * 3_000_000
UPLOADS: Final = 12


class BrokenAnswersSoakTest(TestCase):
    """Run the soak with broken replicas and a fixed seed."""

    timeout = 90

    async def _soak(self) -> None:
        report = await run_soak(SOAK_S, seed=1, broken=True)
        assert report.violations == [], report
        assert report.jobs > 0
        assert report.answers["broken answers"] > 0

    def test_a_short_soak_beside_broken_replicas(self) -> Any:
        # Failure: callers get broken answers, or items are given up, beside other faults.
        return Deferred.fromCoroutine(self._soak())


class BrokenAnswersTest(BrokenReplicasCase):
    """List one more replica of each service, which sends broken answers only."""

    timeout = 120

    def test_no_caller_gets_a_status_that_the_protocol_does_not_know(self) -> Any:
        # Failure: a replica in trouble answers with the status 000, and callers get it.
        answers = [make_answer(BODY, line) for line in STATUS_LINES]
        return Deferred.fromCoroutine(self.call_beside(answers))

    def test_no_caller_gets_the_status_000_in_any_form(self) -> Any:
        # Failure: the same, where the answer has no length, has chunks or follows an interim one.
        answers = [make_unknown_status(BODY, form) for form in UNKNOWN_STATUS]
        return Deferred.fromCoroutine(self.call_beside(answers))

    def test_no_caller_gets_a_head_with_an_invalid_name(self) -> Any:
        # Failure: callers get the invalid line, or a body whose length was ignored.
        answers = [make_answer(BODY, fields=line + b"\r\n", framed=False) for line in NAMES]
        return Deferred.fromCoroutine(self.call_beside(answers))

    def test_no_caller_gets_a_control_byte_in_a_value(self) -> Any:
        # Failure: control bytes of a replica in trouble are passed on to callers.
        answers = [make_answer(BODY, fields=line + b"\r\n") for line in VALUES]
        return Deferred.fromCoroutine(self.call_beside(answers))

    async def _run_job(self) -> None:
        self.list_anew(1)
        await self.world.start(entries=1, keepers=1)
        sound = [replica for replica in self.world.replicas if replica.service == "lm"]
        answer_all(self.server, make_answer(BODY, b"HTTP/1.1 000 Trouble"))
        for replica in sound:
            self.world.store.remove("servers", replica.id)
        await sleep(0.5)
        assert (await self.world.submit(self.port(), "job-1", ITEMS)).status == 202
        await sleep(WITHOUT_SOUND_S)
        assert self.server.requests
        for replica in sound:
            replica.register("ready")
        for service in SERVICES:
            self.world.store.remove("servers", f"i-broken-{service}-1")
        results = await self.world.results(self.port(), "job-1", ITEMS)
        assert {result["state"] for result in results} == {"completed"}, results

    def test_items_outlast_answers_with_an_unknown_status(self) -> Any:
        # Failure: items are given up after three answers that are none.
        return Deferred.fromCoroutine(self._run_job())

    async def _hold_nothing(self, answers: Sequence[bytes]) -> None:
        """Send a request to several broken replicas, and then to sound ones."""
        sound = [replica for replica in self.world.replicas if replica.service == "app"]
        for replica in sound:
            self.world.store.remove("servers", replica.id)
        await self.world.start(entries=1, keepers=1)
        answer_in_turn(self.server, answers)
        for number in range(1, MAX_LOSSES + 3):
            self.list_anew(number)
            await self._wait_for_line("replica_removed", number - 1)
            await self._wait_for_line("replica_added", number)
            reply = await self._send_once_listed()
            assert reply.status == 502, reply
            assert f"i-broken-app-{number}".encode() in self.server.requests[-1]
        for replica in sound:
            replica.register("ready")
        self.world.store.remove("servers", f"i-broken-app-{number}")
        await self._wait_for_line("replica_removed", number)
        reply = await self._send_once_listed()
        assert (reply.status, reply.body) == (200, b"whole answer"), reply

    async def _wait_for_line(self, name: str, number: int) -> None:
        """Wait until the entry has logged an event of a broken replica."""
        line = re.compile(f'"name":"{name}".*"replica":"i-broken-app-{number}"')
        if number:
            child = self.world.children["entry-1"]
            await self.world.wait_until(lambda: line.search(child.printed) is not None, name)

    async def _send_once_listed(self) -> Reply:
        """Send a request that may run once, again while there is no replica for it."""
        for _ in range(MAX_BOOTS):
            reply = await self.world.get(self.port(), "/once/1")
            if not reply.body.startswith(NO_REPLICA):
                break
            await sleep(0.1)
        return reply

    def test_a_request_is_not_held_for_invalid_heads(self) -> Any:
        # Failure: a sound request is refused as one under which several replicas were lost, though
        # each of them goes on and only sent an invalid head.
        answers = [make_answer(BODY, fields=line + b"\r\n") for line in NAMES]
        return Deferred.fromCoroutine(self._hold_nothing(answers))

    def test_a_request_is_not_held_for_invalid_chunks(self) -> Any:
        # Failure: the same, where the replicas sent invalid chunks.
        chunked = b"Transfer-Encoding: chunked\r\n"
        answers = [make_answer(b"no chunk\r\n", fields=chunked, framed=False)]
        return Deferred.fromCoroutine(self._hold_nothing(answers))

    async def _upload(self, end: End) -> None:
        configuration = make_configuration()
        configuration["limits"]["maxBodyBytes"] = 2 * len(UPLOAD)
        self.world.store.put("config", "main", configuration)
        server = EarlyServer()
        server.play(PARTS["no length"], end)
        listener = server.listen()
        try:
            await self.world.start(entries=1, keepers=0)
            for number in range(1, UPLOADS + 1):
                self.list_anew(number, listener)
                await sleep(0.2)
                paths = ("/look/1", "/once/1", "/look/1")
                replies = [self.world.send(self.port(), "POST", path, UPLOAD) for path in paths]
                for path, reply in zip(
                    paths, await gatherResults(map(start_task, replies)), strict=True
                ):
                    is_whole = (reply.status, reply.body) == (200, b"whole answer")
                    assert is_whole or (reply.status, path) == (502, "/once/1"), (path, reply)
            assert server.answered
        finally:
            await listener.stopListening()

    def test_no_caller_gets_an_answer_reset_during_its_upload(self) -> Any:
        # Failure: callers get a part of an answer without a length as a complete one.
        return Deferred.fromCoroutine(self._upload(End.RESET))

    def test_no_caller_gets_an_answer_closed_during_its_upload(self) -> Any:
        # Failure: the kernel closes the connections of a replica that ends in order, and callers
        # get a part of an answer without a length as a complete one.
        return Deferred.fromCoroutine(self._upload(End.CLOSE))
