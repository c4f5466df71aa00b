"""Test the reading of scenario files."""

import pytest
from result import Err

from tests.scenario.language import Case, parse_cases
from tests.scenario.steps import (
    Condition,
    DefineProfile,
    Expect,
    Fail,
    Send,
    Signal,
    StartReplicas,
    parse_step,
)


def one(text: str) -> Case:
    return parse_cases(text, "x.test").unwrap()[0]


def test_reads_steps_and_transcript() -> None:
    case = one("""
        # A note.
        [case first one]
        start   engines 3 named lm
        [out]
        sent: 10 answered
    """)
    assert (case.name, case.line, case.out) == ("first one", 3, ["sent: 10 answered"])
    assert case.steps[0].step == StartReplicas("engines", 3, "lm")


@pytest.mark.parametrize(
    ("line", "step"),
    [
        (
            "profile gate urgent due 2s not idempotent upstream gate",
            DefineProfile("gate", "urgent", 2_000, "gate", False),
        ),
        (
            "profile chat normal due 500ms idempotent upstream lm on b",
            DefineProfile("chat", "normal", 500, "lm", True, "b"),
        ),
        ("send 10 chat profile chat to a", Send(10, "chat", "chat", "a")),
        (
            "send 1 call profile gate key pass-7 to b as again",
            Send(1, "service", "gate", "b", "pass-7", "again"),
        ),
        ("fail engine lm-1 hang times 2", Fail("lm-1", "hang", 2)),
        ("pause instance a 8s", Signal("a", "pause", 8_000)),
        (
            "within 5s instance a uses 2 of lm",
            Expect(Condition("replicas", "a", 2, ("lm",)), 5_000),
        ),
        ("expect job nightly completed", Expect(Condition("job_completed", "nightly"))),
    ],
)
def test_steps(line: str, step: object) -> None:
    assert parse_step(line).unwrap() == step


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ("start platform", "x.test:1: a [case NAME] line must come first"),
        ("[case a]\nstart platfrom", "x.test:2: no such step: 'start platfrom'; the forms are: "),
        ("[case a]\n\nfly away", "x.test:3: no such step: 'fly away'; a step begins with one of"),
        ("[case a]\nexpect all well", "x.test:2: no such condition: 'all well'"),
        ("[case a]\nwithin soon job x completed", "x.test:2: no such step"),
        ("[case a]\n[case a]", "x.test:2: a case named 'a' stands above"),
        ("[case a]\n[oops]", "x.test:2: unknown section [oops]"),
        ("[case a]\n[out]\n[out]", "x.test:3: the case has an [out] already"),
        ("", "x.test:1: there is no case"),
    ],
)
def test_a_wrong_line_is_named(text: str, where: str) -> None:
    parsed = parse_cases(text, "x.test")
    assert isinstance(parsed, Err)
    assert parsed.err_value.startswith(where)
