"""Test that scenario files are parsed and that errors name the file and the line."""

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


def parse_first_case(text: str) -> Case:
    return parse_cases(text, "x.test").unwrap()[0]


def test_reads_steps_and_transcript() -> None:
    case = parse_first_case("""
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
def test_parses_steps(line: str, step: object) -> None:
    assert parse_step(line).unwrap() == step


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("start platform", "x.test:1: a [case NAME] line must come first"),
        ("[case a]\nstart platfrom", "x.test:2: no such step: 'start platfrom'; the forms are: "),
        ("[case a]\n\nfly away", "x.test:3: no such step: 'fly away'; a step begins with one of"),
        ("[case a]\nexpect all well", "x.test:2: no such condition: 'all well'"),
        ("[case a]\nwithin soon job x completed", "x.test:2: no such step"),
        ("[case a]\n[case a]", "x.test:2: a case named 'a' already exists"),
        ("[case a]\n[oops]", "x.test:2: unknown section [oops]"),
        ("[case a]\n[out]\n[out]", "x.test:3: the case already has an [out] section"),
        ("", "x.test:1: the file contains no case"),
    ],
)
def test_an_invalid_line_is_reported(text: str, expected: str) -> None:
    parsed = parse_cases(text, "x.test")
    assert isinstance(parsed, Err)
    assert parsed.err_value.startswith(expected)
