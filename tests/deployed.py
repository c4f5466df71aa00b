"""Lay out checkouts, build them with the command of deploy/system.toml, and start what it built."""

import os
import shutil
import subprocess
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

ROOT: Final = Path(__file__).resolve().parent.parent
DEPLOY_FILE: Final = "deploy/system.toml"
# What a build reads. It needs none of the tests.
LANDED: Final = ("papayapier", "misc", "deploy", "requirements.txt")
BUILT: Final = "target"
BUILD_TIMEOUT_S: Final = 600
# The variables that the platform passes on to a process.
PASSED_ON: Final = ("PATH", "HOME", "LANG")
SETTINGS_PATH: Final = "/etc/papayapier/node.json"
CALLERS: Final = "{{listen.front}}"


class Command(NamedTuple):
    """Hold how a process is started."""

    words: list[str]
    env: dict[str, str]
    folder: Path


def lay_landing(checkout: Path, mtime_s: int | None = None) -> None:
    """Copy the present landing into a checkout, with a modification time or the present one."""
    for name in LANDED:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(
                source,
                checkout / name,
                ignore=ignored,
                copy_function=shutil.copyfile,
                dirs_exist_ok=True,
            )
        else:
            shutil.copyfile(source, checkout / name)
    if mtime_s is not None:
        set_times(checkout, mtime_s)


def set_times(checkout: Path, mtime_s: int) -> None:
    """Set the modification time of all files of a landing, as an unpacked archive does."""
    for name in LANDED:
        for path in (checkout / name, *(checkout / name).rglob("*")):
            os.utime(path, (mtime_s, mtime_s))


def carry_over(source: Path, checkout: Path) -> None:
    """Copy what was built in one checkout to another, without the times of its files."""
    copy = shutil.copyfile
    shutil.copytree(source / BUILT, checkout / BUILT, copy_function=copy, dirs_exist_ok=True)


def build(checkout: Path) -> "subprocess.CompletedProcess[str]":
    """Run the build command of a checkout; return how it ended."""
    return subprocess.run(
        read_deploy_file(checkout)["build"],
        shell=True,
        cwd=checkout,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
    )


def must_build(checkout: Path) -> None:
    """Run the build command of a checkout; raise AssertionError if it fails."""
    ended = build(checkout)
    assert ended.returncode == 0, ended.stdout + ended.stderr


def role_command(checkout: Path, role: str, settings: Path, callers: str) -> Command:
    """Return how the platform starts a process with a role."""
    words = read_deploy_file(checkout)["roles"][role]["run"].split(" ")
    words = [word.replace(SETTINGS_PATH, str(settings)).replace(CALLERS, callers) for word in words]
    return Command(words, make_env(checkout), checkout)


def make_env(checkout: Path) -> dict[str, str]:
    """Return the environment of a process on the platform."""
    passed_on = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
    return {**passed_on, "PYTHONPATH": str(checkout / BUILT / "deps")}


def read_deploy_file(checkout: Path) -> dict[str, Any]:
    """Return the contents of a checkout's deploy file."""
    return tomllib.loads((checkout / DEPLOY_FILE).read_text(encoding="utf-8"))
