"""Send the online requests of a case in the background and keep their outcomes."""

import msgspec
from twisted.internet.defer import Deferred

from papayapier.load.client import Client, RequestRecord, monotonic_us, send_request
from papayapier.load.experiment_file import RequestClass
from papayapier.load.request_mix import CHAT_PATH, Request
from papayapier.load.responses import RequestOutcome, Verdict
from tests.scenario.steps import Send

MAX_TOKENS = 20


class RequestGroup:
    """Hold the requests of the send steps with one label, and their outcomes as they arrive."""

    def __init__(self, label: str) -> None:
        self.label = label
        self.sent = 0
        self.answers: list[RequestRecord] = []

    def start(self, client: Client, address: str, requests: list[Request]) -> None:
        """Send all the requests at once."""
        for request in requests:
            self.sent += 1
            pending = Deferred.fromCoroutine(
                send_request(client, address, request, monotonic_us(client.clock))
            )
            pending.addCallback(self.answers.append)

    def count(self, end: RequestOutcome) -> int:
        """Return how many requests ended with an outcome."""
        return sum(answer.verdict.request_outcome is end for answer in self.answers)

    def is_finished(self) -> bool:
        """Tell whether every request has ended."""
        return len(self.answers) == self.sent

    def refused(self, outcome: str) -> list[RequestRecord]:
        """Return the requests whose refusal states an outcome."""
        return [answer for answer in self.answers if answer.verdict.outcome == outcome]

    def summary(self) -> str:
        """Return the number of requests by outcome, in a fixed order."""
        counts = [(end.value, self.count(end)) for end in RequestOutcome]
        return ", ".join(f"{number} {name}" for name, number in counts if number)

    def failed_verdicts(self) -> list[Verdict]:
        """Return the verdicts of at most three requests without a complete answer."""
        return [
            answer.verdict
            for answer in self.answers
            if answer.verdict.request_outcome is not RequestOutcome.COMPLETE
        ][:3]


def make_requests(step: Send, upstream: str, case_id: str) -> list[Request]:
    """Make the requests of a step; steps with the same key make the same requests."""
    return [_request(step, upstream, case_id, index) for index in range(step.number)]


def _request(step: Send, upstream: str, case_id: str, index: int) -> Request:
    subject = f"{step.key or step.label}-{index}"
    request_class = RequestClass(
        name=step.label,
        kind="service" if step.kind == "service" else "chat",
        profile=step.profile,
        path=f"/services/{upstream}/passes",
        stream=step.kind == "stream",
    )
    return Request(
        cls=request_class,
        request_id=f"{case_id}-{step.label}-{index}",
        key=f"{step.key}-{index}" if step.key else "",
        caller="scenario",
        path=request_class.path if request_class.kind == "service" else CHAT_PATH,
        body=_body(step, subject),
        prompt=subject,
        max_tokens=MAX_TOKENS,
    )


def _body(step: Send, subject: str) -> bytes:
    if step.kind == "service":
        return msgspec.json.encode({"pass": subject})
    return msgspec.json.encode(
        {
            "model": "base",
            "messages": [{"role": "user", "content": subject}],
            "max_tokens": MAX_TOKENS,
            "stream": step.kind == "stream",
        }
    )
