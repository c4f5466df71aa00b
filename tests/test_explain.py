"""Test that the explain command finds the history of a request in the logs of several processes."""

import json
from pathlib import Path

import pytest

from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from papayapier.main import main


def log_line(at_ms: int, name: str, **fields: object) -> str:
    return json.dumps({"at_ms": at_ms, "event": 1, "name": name, "level": "info", **fields})


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    first, second = tmp_path / "entry-1", tmp_path / "entry-2"
    first.write_text(
        log_line(20, "request_ended", request="r1", waited_ms=5, run_ms=300, replicas=["a", "b"])
        + "\n12.5 keeper-1 "
        + log_line(30, "item_again", job="j1", item="i1", reason="cut")
        + "\nplain text\n{broken\n"
    )
    second.write_text(log_line(10, "request_retried", request="r1", replica="a") + "\n")
    return [str(first), str(second)]


def test_lines_of_a_request_are_in_order_of_time(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against lines in the order of the files, and against unreported malformed lines."""
    assert main(["explain", "r1", "--logs", *logs]) == EXIT_OK
    out, err = capsys.readouterr()
    assert [text.split()[4] for text in out.splitlines()] == ["request_retried", "request_ended"]
    assert "replicas=['a', 'b']" in out
    assert "1 lines are no log events" in err


def test_line_of_a_job_shows_the_process_that_logged_it(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against the loss of the prefix that names the process."""
    assert main(["explain", "j1", "--logs", *logs]) == EXIT_OK
    assert "keeper-1" in capsys.readouterr().out


def test_resends_are_shown_with_a_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a refusal that cannot be explained by the request's own lines.

    Earlier sends of the same request, with other ids and at other instances, crashed their
    replicas; only the fingerprint connects them.
    """
    path = tmp_path / "all"
    rows = [
        log_line(10, "send_lost", request="r1", work="w", replica="a"),
        log_line(20, "send_lost", request="r2", work="w", replica="b"),
        log_line(30, "send_lost", request="r3", work="v", replica="b"),
    ]
    path.write_text("\n".join(rows))
    assert main(["explain", "r2", "--logs", str(path)]) == EXIT_OK
    out = capsys.readouterr().out
    assert "request=r1" in out
    assert "request=r3" not in out


def test_slowest_requests_are_shown(logs: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against a --slowest option that finds no request durations."""
    assert main(["explain", "--slowest", "3", "--logs", *logs]) == EXIT_OK
    assert "run_ms=300" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["r9"], EXIT_FAILED, "no line is about r9"),
        ([], EXIT_USAGE, "give an id"),
        (["r1", "--slowest"], EXIT_USAGE, "give an id"),
    ],
)
def test_invalid_arguments_and_unknown_ids_are_reported(
    logs: list[str],
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    code: int,
    message: str,
) -> None:
    """Guard against empty output without a reason and a failing exit code."""
    assert main(["explain", *arguments, "--logs", *logs]) == code
    assert message in capsys.readouterr().err


def test_unreadable_file_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against an unreadable log file that is silently skipped."""
    assert main(["explain", "r1", "--logs", "/nowhere/log"]) == EXIT_USAGE
    assert "/nowhere/log: cannot be read" in capsys.readouterr().err


def test_history_of_an_item_is_complete(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against gaps in the history of a late item between its acceptance and its result.

    Starts and ends of items were not logged, and preempted streams only at the debug level.
    """
    rows = [
        log_line(10, "item_started", job="j", item="j-1", replica="i-1", after=-1, left_ms=18_000),
        log_line(40, "item_yielded", job="j", item="j-1", replica="i-1", reason="online", over=1),
        log_line(50, "item_started", job="j", item="j-2", replica="i-1", after=-1, left_ms=17_960),
        log_line(900, "item_done", job="j", item="j-1", replica="i-2", events=3, ran_ms=700),
        log_line(950, "items_listed", job="j", group=0, items=["j-1", "j-3"]),
    ]
    path = tmp_path / "keeper.log"
    path.write_text("\n".join(rows) + "\n")
    assert main(["explain", "j-1", "--logs", str(path)]) == EXIT_OK
    shown = [text.split()[4] for text in capsys.readouterr().out.splitlines()]
    assert shown == ["item_started", "item_yielded", "item_done", "items_listed"]


def test_parts_that_lost_sends_share_are_counted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against lost sends of different requests whose common part cannot be seen."""
    path = tmp_path / "entry-1"
    sends = [("a", ["s", "b"]), ("a", ["s", "c"]), ("d", ["s", "b"]), ("e", ["b"])]
    path.write_text(
        "".join(
            log_line(number, "send_lost", request=f"r{number}", replica=replica, parts=parts) + "\n"
            for number, (replica, parts) in enumerate(sends)
        )
    )
    assert main(["explain", "--lost-parts", "--logs", str(path)]) == EXIT_OK
    assert capsys.readouterr().out.splitlines() == [
        "b  3 replicas  3 sends",
        "s  2 replicas  3 sends",
        "c  1 replicas  1 sends",
    ]
    assert main(["explain", "b", "--logs", str(path)]) == EXIT_OK
    assert len(capsys.readouterr().out.splitlines()) == 3
