"""Test on a small program that the build command of deploy/system.toml builds what was landed."""

import os
import shutil
import subprocess
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final
from zipfile import ZipFile

import pytest

from tests.deployed import (
    BUILT,
    DEPLOY_FILE,
    ROOT,
    Command,
    build,
    carry_over,
    must_build,
    role_command,
)

MODULES: Final = 12
IMPORT_PAUSE_S: Final = 0.02
STARTS_DURING_BUILDS: Final = 12
BUILDERS: Final = 4
SETTINGS: Final = Path("settings.json")
ARCHIVE_S: Final = 1_000_000_000
# What the program prints: the landing of each of its modules, and the version of its library.
FIRST: Final = "1 of 1"
SECOND: Final = "2 of 1"
MAIN: Final = f"""
import importlib, time
import library
landings = set()
for number in range({MODULES}):
    landings.add(importlib.import_module(f"papayapier.module_{{number}}").LANDING)
    time.sleep({IMPORT_PAUSE_S})
print(*sorted(landings), "of", library.VERSION)
"""
LAUNCHER: Final = "target/deps/papayapier/__init__.py"
EXTENSIONS_LINE: Final = "EXTENSIONS: Final = EXTENSION_SUFFIXES[0]"
OTHER_EXTENSIONS: Final = ".cpython-310-other-machine.so"
# The command of earlier landings.
EARLIER_BUILD: Final = (
    "([ target/deps/.pins -nt requirements.txt ] || (python3 -m pip install -q -U --target "
    "target/deps -r requirements.txt && touch target/deps/.pins)) && cp -rup papayapier "
    "target/deps/ && python3 -m compileall -q target/deps/papayapier"
)


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a checkout of the first landing."""
    path = tmp_path / "checkout"
    lay_program(path, 1)
    return path


def lay_program(checkout: Path, landing: int, library: int = 1) -> None:
    """Lay a landing of the small program; all landings have files of the same sizes."""
    wheel = make_wheel(checkout.parent, library)
    files = {
        "papayapier/__init__.py": "",
        "papayapier/__main__.py": MAIN,
        "papayapier/node/__init__.py": "",
        "papayapier/sources.py": "def digest_sources():\n    return '0'\n",
        "papayapier/node/entry.py": "import library\n",
        "papayapier/node/keeper.py": "import library\n",
        "requirements.txt": f"library @ file://{wheel}\n",
    }
    for number in range(MODULES):
        files[f"papayapier/module_{number}.py"] = f"LANDING = {landing}\n"
    for name, text in files.items():
        (checkout / name).parent.mkdir(parents=True, exist_ok=True)
        (checkout / name).write_text(text, encoding="utf-8")
    for name in ("deploy", "misc"):
        shutil.copytree(ROOT / name, checkout / name, dirs_exist_ok=True)


def make_wheel(folder: Path, version: int, name: str = "library") -> Path:
    """Make a wheel of a library of the small program."""
    path = folder / f"{name}-{version}-py3-none-any.whl"
    info = f"{name}-{version}.dist-info"
    with ZipFile(path, "w") as wheel:
        wheel.writestr(f"{name}.py", f"VERSION = {version}\n")
        wheel.writestr(
            f"{info}/METADATA", f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n"
        )
        wheel.writestr(
            f"{info}/WHEEL", "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n"
        )
        wheel.writestr(f"{info}/RECORD", "")
    return path


def start(checkout: Path, *options: str) -> "subprocess.CompletedProcess[str]":
    """Run the program as the platform starts it, with more options of Python."""
    return run_command(role_command(checkout, "keeper", SETTINGS, ""), *options)


def run_command(command: Command, *options: str) -> "subprocess.CompletedProcess[str]":
    """Run a command of the deploy file with more options of Python."""
    words, env, folder = command
    words = [words[0], *options, *words[1:]]
    return subprocess.run(words, env=env, cwd=folder, capture_output=True, text=True)


def check_runs(checkout: Path, expected: str) -> None:
    """Check what the program prints."""
    ended = start(checkout)
    assert (ended.returncode, ended.stdout.strip()) == (0, expected), ended.stderr


def set_all_times(checkout: Path, mtime_s: int) -> None:
    for path in checkout.rglob("*"):
        os.utime(path, (mtime_s, mtime_s))


def carried_over(checkout: Path) -> Path:
    """Copy what was built into a checkout of the second landing, without its times."""
    other = checkout.with_name("other")
    lay_program(other, 2)
    carry_over(checkout, other)
    return other


def unpacked_with_its_own_times(checkout: Path) -> Path:
    """Unpack a second landing that is older than the build of the first."""
    lay_program(checkout, 2)
    set_all_times(checkout / "papayapier", ARCHIVE_S)
    return checkout


def unpacked_with_the_same_times(checkout: Path) -> Path:
    """Unpack a second landing with the times that the first and its build have."""
    set_all_times(checkout, ARCHIVE_S)
    lay_program(checkout, 2)
    set_all_times(checkout / "papayapier", ARCHIVE_S)
    return checkout


@pytest.mark.parametrize(
    "change", [carried_over, unpacked_with_its_own_times, unpacked_with_the_same_times]
)
def test_the_program_is_the_one_that_was_landed(
    checkout: Path, change: Callable[[Path], Path]
) -> None:
    """Guard against modules of an earlier landing that stay since their times look newer."""
    must_build(checkout)
    check_runs(checkout, FIRST)
    changed = change(checkout)
    must_build(changed)
    check_runs(changed, SECOND)


def test_a_module_that_was_removed_cannot_be_imported(checkout: Path) -> None:
    """Guard against modules that a landing has removed and a process still finds."""
    must_build(checkout)
    (checkout / "papayapier/module_0.py").unlink()
    must_build(checkout)
    ended = start(checkout)
    assert "No module named 'papayapier.module_0'" in ended.stderr, ended


def test_a_process_that_starts_during_builds_gets_one_landing(checkout: Path) -> None:
    """Guard against a start that finds some modules of one landing and some of another, or none."""
    must_build(checkout)
    command = role_command(checkout, "keeper", SETTINGS, "")
    done = threading.Event()
    failed = []

    def build_in_turn() -> None:
        landing = 1
        while not done.is_set():
            landing = 3 - landing
            lay_program(checkout, landing, library=landing)
            failed.extend([ended for ended in [build(checkout)] if ended.returncode])

    builder = threading.Thread(target=build_in_turn)
    builder.start()
    try:
        printed = [run_command(command) for _ in range(STARTS_DURING_BUILDS)]
    finally:
        done.set()
        builder.join()
    assert not failed, failed
    assert {ended.stdout.strip() for ended in printed} <= {FIRST, "2 of 2"}, printed


@pytest.mark.parametrize("fault", ["LANDING = = 2\n", "import of_no_library\n"])
def test_a_build_that_fails_leaves_the_program(checkout: Path, fault: str) -> None:
    """Guard against a program that a failed build has replaced, wholly or in part."""
    must_build(checkout)
    lay_program(checkout, 2)
    (checkout / "papayapier/node/keeper.py").write_text(fault, encoding="utf-8")
    check_build_fails(checkout, "the program cannot be")


def check_build_fails(checkout: Path, reason: str) -> None:
    """Check that a build of a second landing fails and leaves the first in force."""
    ended = build(checkout)
    assert ended.returncode != 0
    assert reason in ended.stderr
    check_runs(checkout, FIRST)


def test_a_build_with_nothing_to_do_writes_nothing(checkout: Path) -> None:
    """Guard against builds that install or compile anew what is there."""
    must_build(checkout)
    before = dict(list_built(checkout))
    must_build(checkout)
    assert dict(list_built(checkout)) == before


def list_built(checkout: Path) -> Iterator[tuple[Path, int]]:
    """Yield the files below target with their modification times."""
    for path in (checkout / BUILT).rglob("*"):
        if path.name != "build.lock":
            yield path, path.stat().st_mtime_ns


def carry_bytecode_over(checkout: Path) -> Path:
    """Copy a checkout with all that was built, without the times of its files."""
    moved = checkout.with_name("moved")
    shutil.copytree(checkout, moved, copy_function=shutil.copyfile)
    return moved


def lose_bytecode(checkout: Path) -> Path:
    """Lose some of the bytecode, and the end of some of it, and build again."""
    for path in (checkout / BUILT).rglob("module_3.*.pyc"):
        path.unlink()
    for path in (checkout / BUILT).rglob("module_4.*.pyc"):
        path.write_bytes(path.read_bytes()[:10])
    must_build(checkout)
    return checkout


def compile_by_times(checkout: Path) -> Path:
    """Compile all modules, have them carried over without their times, and build again."""
    compile_all(checkout)
    moved = carry_bytecode_over(checkout)
    set_all_times(moved, ARCHIVE_S)
    must_build(moved)
    return moved


def compile_all(checkout: Path) -> None:
    """Compile all modules below a checkout as other programs do, by their times."""
    subprocess.run(["python3", "-m", "compileall", "-q", str(checkout)], check=True)


@pytest.mark.parametrize("change", [carry_bytecode_over, lose_bytecode, compile_by_times])
def test_a_start_compiles_nothing(checkout: Path, change: Callable[[Path], Path]) -> None:
    """Guard against starts that compile each module, since its bytecode looks out of date."""
    must_build(checkout)
    changed = change(checkout)
    ended = start(changed, "-v")
    assert ended.stdout.strip() == FIRST, ended
    loaded = [line for line in ended.stderr.splitlines() if "code object from" in line]
    loaded = [line for line in loaded if f"{changed}/target" in line]
    assert len(loaded) > MODULES, ended.stderr
    assert all(line.endswith(".pyc'") for line in loaded), loaded


def test_bytecode_of_other_programs_is_no_damage(checkout: Path) -> None:
    """Guard against builds that install all libraries anew since their bytecode has changed."""
    must_build(checkout)
    compile_all(checkout)
    before = dict(list_built(checkout))
    must_build(checkout)
    assert dict(list_built(checkout)) == before


def test_a_damaged_build_is_made_anew(checkout: Path) -> None:
    """Guard against a copy that lost files on its way, or was changed, and is taken for whole."""
    must_build(checkout)
    for path in (checkout / BUILT).rglob("module_3*"):
        path.write_bytes(b"")
    must_build(checkout)
    check_runs(checkout, FIRST)


def test_builds_side_by_side(checkout: Path) -> None:
    """Guard against builds that remove or change what another is just making."""
    builders = [threading.Thread(target=must_build, args=(checkout,)) for _ in range(BUILDERS)]
    for builder in builders:
        builder.start()
    for builder in builders:
        builder.join()
    check_runs(checkout, FIRST)
    assert len(list((checkout / BUILT / "programs").iterdir())) == 1


def test_only_the_build_before_is_kept(checkout: Path) -> None:
    """Guard against a disk full of builds, and against the removal of one that is in use."""
    for landing in (1, 2, 3, 4):
        lay_program(checkout, landing)
        must_build(checkout)
    kept = (checkout / BUILT / "programs").glob("*/papayapier/module_0.py")
    assert {path.read_text(encoding="utf-8") for path in kept} == {"LANDING = 3\n", "LANDING = 4\n"}


def use_earlier_command(checkout: Path) -> None:
    """Replace the build command of a checkout by that of earlier landings."""
    path = checkout / DEPLOY_FILE
    text = path.read_text(encoding="utf-8").splitlines()
    lines = [f'build = "{EARLIER_BUILD}"' if line.startswith("build = ") else line for line in text]
    path.write_text("\n".join(lines), encoding="utf-8")


def test_a_landing_with_the_earlier_command(checkout: Path) -> None:
    """Guard against a return to an earlier landing that leaves the later one in service."""
    use_earlier_command(checkout)
    must_build(checkout)
    check_runs(checkout, FIRST)
    lay_program(checkout, 2)
    must_build(checkout)
    check_runs(checkout, SECOND)
    lay_program(checkout, 1)
    use_earlier_command(checkout)
    must_build(checkout)
    check_runs(checkout, FIRST)
    lay_program(checkout, 2)
    must_build(checkout)
    check_runs(checkout, SECOND)


def test_the_libraries_are_those_of_the_list(checkout: Path) -> None:
    """Guard against libraries that stay since their folder looks newer than the list."""
    must_build(checkout)
    lay_program(checkout, 1, library=2)
    os.utime(checkout / "requirements.txt", (ARCHIVE_S, ARCHIVE_S))
    must_build(checkout)
    check_runs(checkout, "1 of 2")


def test_a_library_that_left_the_list_cannot_be_imported(checkout: Path) -> None:
    """Guard against libraries that a newer list no longer names and a process still finds."""
    must_build(checkout)
    other = make_wheel(checkout.parent, 1, name="other")
    (checkout / "requirements.txt").write_text(f"other @ file://{other}\n", encoding="utf-8")
    for role in ("entry", "keeper"):
        (checkout / f"papayapier/node/{role}.py").write_text("import other\n", encoding="utf-8")
    must_build(checkout)
    ended = start(checkout)
    assert "No module named 'library'" in ended.stderr, ended


def test_libraries_of_another_python_are_installed_anew(checkout: Path) -> None:
    """Guard against a build that was carried over from another kind of machine and kept."""
    script = checkout / "misc/deploy_build.py"
    text = script.read_text(encoding="utf-8")
    assert text.count(EXTENSIONS_LINE) == 1
    other = text.replace(EXTENSIONS_LINE, f'EXTENSIONS: Final = "{OTHER_EXTENSIONS}"')
    script.write_text(other, encoding="utf-8")
    must_build(checkout)
    ended = start(checkout)
    assert ended.returncode == 1
    assert OTHER_EXTENSIONS in ended.stderr, ended
    script.write_text(text, encoding="utf-8")
    must_build(checkout)
    check_runs(checkout, FIRST)
    assert len(list((checkout / BUILT / "libraries").iterdir())) == 2


def test_libraries_of_earlier_landings_are_not_used(checkout: Path) -> None:
    """Guard against libraries that an earlier landing has left on Python's path."""
    use_earlier_command(checkout)
    must_build(checkout)
    (checkout / BUILT / "deps/library.py").write_text("VERSION = 9\n", encoding="utf-8")
    lay_program(checkout, 1)
    must_build(checkout)
    check_runs(checkout, FIRST)


def test_libraries_that_cannot_be_installed_leave_the_program(checkout: Path) -> None:
    """Guard against a program that runs with libraries it was not made for."""
    must_build(checkout)
    lay_program(checkout, 2)
    (checkout / "requirements.txt").write_text("library @ file:///none.whl\n", encoding="utf-8")
    check_build_fails(checkout, "the libraries cannot be installed")


def test_a_copy_by_sizes_and_times_gets_the_program(checkout: Path) -> None:
    """Guard against launchers that such a copy cannot tell apart, and leaves the earlier one."""
    must_build(checkout)
    first = (checkout / LAUNCHER).stat()
    lay_program(checkout, 2)
    must_build(checkout)
    second = (checkout / LAUNCHER).stat()
    assert (first.st_size, first.st_mtime) != (second.st_size, second.st_mtime)
