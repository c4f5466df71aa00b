"""Test that the way of a request is found in the lines of several processes."""

import json
from pathlib import Path

import pytest

from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from papayapier.main import main


def line(at_ms: int, name: str, **fields: object) -> str:
    return json.dumps({"at_ms": at_ms, "event": 1, "name": name, "level": "info", **fields})


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    one, other = tmp_path / "entry-1", tmp_path / "entry-2"
    one.write_text(
        line(20, "request_ended", request="r1", waited_ms=5, run_ms=300, replicas=["a", "b"])
        + "\n12.5 keeper-1 "
        + line(30, "item_again", job="j1", item="i1", reason="cut")
        + "\nplain text\n{broken\n"
    )
    other.write_text(line(10, "request_retried", request="r1", replica="a") + "\n")
    return [str(one), str(other)]


def test_lines_of_a_request_come_in_order_of_time(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["explain", "r1", "--logs", *logs]) == EXIT_OK
    out, err = capsys.readouterr()
    assert [text.split()[4] for text in out.splitlines()] == ["request_retried", "request_ended"]
    assert "replicas=['a', 'b']" in out
    assert "1 lines are no events" in err


def test_a_job_is_shown_with_the_process_that_wrote_the_line(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["explain", "j1", "--logs", *logs]) == EXIT_OK
    assert "keeper-1" in capsys.readouterr().out


def test_lines_of_the_same_work_are_shown_with_a_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Symptom: a request is refused although its own lines show no send.
    # Cause: other sends of the same work, under other ids and elsewhere, ended their replicas.
    path = tmp_path / "all"
    rows = [
        line(10, "send_lost", request="r1", work="w", replica="a"),
        line(20, "send_lost", request="r2", work="w", replica="b"),
        line(30, "send_lost", request="r3", work="v", replica="b"),
    ]
    path.write_text("\n".join(rows))
    assert main(["explain", "r2", "--logs", str(path)]) == EXIT_OK
    out = capsys.readouterr().out
    assert "request=r1" in out
    assert "request=r3" not in out


def test_the_slowest_requests(logs: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", "--slowest", "3", "--logs", *logs]) == EXIT_OK
    assert "run_ms=300" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (["r9"], EXIT_FAILED, "no line is about r9"),
        ([], EXIT_USAGE, "give an id"),
        (["r1", "--slowest"], EXIT_USAGE, "give an id"),
    ],
)
def test_what_cannot_be_shown_is_said(
    logs: list[str],
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    code: int,
    said: str,
) -> None:
    assert main(["explain", *arguments, "--logs", *logs]) == code
    assert said in capsys.readouterr().err


def test_a_file_that_cannot_be_read_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", "r1", "--logs", "/nowhere/log"]) == EXIT_USAGE
    assert "/nowhere/log: cannot be read" in capsys.readouterr().err


def test_a_late_item_is_told_from_its_start_to_its_group(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Symptom: an item is late, and no line says where it was between acceptance and result.
    # Cause: starts and ends of items had no line, and cuts none at the usual level.
    told = [
        line(10, "item_started", job="j", item="j-1", replica="i-1", after=-1, left_ms=18_000),
        line(40, "item_yielded", job="j", item="j-1", replica="i-1", reason="online", over=1),
        line(50, "item_started", job="j", item="j-2", replica="i-1", after=-1, left_ms=17_960),
        line(900, "item_done", job="j", item="j-1", replica="i-2", events=3, ran_ms=700),
        line(950, "items_listed", job="j", group=0, items=["j-1", "j-3"]),
    ]
    path = tmp_path / "keeper.log"
    path.write_text("\n".join(told) + "\n")
    assert main(["explain", "j-1", "--logs", str(path)]) == EXIT_OK
    shown = [one.split()[4] for one in capsys.readouterr().out.splitlines()]
    assert shown == ["item_started", "item_yielded", "item_done", "items_listed"]
