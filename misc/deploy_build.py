"""Build the program that deploy/system.toml runs.

    python3 -P misc/deploy_build.py        writes target/

target/programs has folders with the package as in the checkout, target/libraries those with the
libraries of requirements.txt for this Python and machine, both with bytecode. A folder is complete
before a process can use it and does not change afterwards. The launcher,
target/deps/papayapier/__init__.py, names the two folders that processes use; replacing that file is
what puts a build into force.

Whether a folder is up to date follows from contents, never from modification times: archives,
copies and carried-over folders have any times. Bytecode is not compared with its source at a start,
for the same reason.
"""

import compileall
import fcntl
import hashlib
import os
import py_compile
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator
from importlib.machinery import EXTENSION_SUFFIXES
from importlib.util import MAGIC_NUMBER, cache_from_source, source_hash
from pathlib import Path
from py_compile import PycInvalidationMode
from struct import Struct
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
PACKAGE: Final = "papayapier"
LAUNCHER_SOURCE: Final = ROOT / "misc" / "deploy_launcher.py"
TARGET: Final = ROOT / "target"
DEPS: Final = TARGET / "deps"
PROGRAMS: Final = TARGET / "programs"
LIBRARIES: Final = TARGET / "libraries"
REQUIREMENTS: Final = ROOT / "requirements.txt"
# Names the version of Python, the processor type and the C library.
EXTENSIONS: Final = EXTENSION_SUFFIXES[0]
LAUNCHER: Final = DEPS / PACKAGE / "__init__.py"
# In each folder: the digests of what it was made from and of what it contains.
RECORD: Final = "record.txt"
BYTECODE: Final = "__pycache__"
# Magic number, flags, and the state of the source: its time and size, or its hash if a flag is set.
BYTECODE_HEADER: Final = Struct("<4sI8s")
FILE_STATE: Final = Struct("<II")
LAUNCHER_CALL: Final = "use_build("
FOLDER_MODE: Final = 0o755
# The roles of deploy/system.toml, and what they log as their sources.
IMPORT_PROGRAM: Final = f"""\
import {PACKAGE}.node.entry, {PACKAGE}.node.keeper
from {PACKAGE}.sources import digest_sources
print(digest_sources(), end="")
"""
SOURCES_FILE: Final = "sources.txt"


class BuildError(Exception):
    """Report why there is no new build; the one before stays in force."""


def main() -> int:
    """Bring the build up to date; return the exit code."""
    PROGRAMS.mkdir(parents=True, exist_ok=True)
    LIBRARIES.mkdir(exist_ok=True)
    # Builds in the same checkout take turns.
    with (TARGET / "build.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        try:
            libraries = provide_libraries()
            put_in_force(provide_program(libraries), libraries)
        except (BuildError, OSError) as exc:
            print(f"deploy_build: {exc}", file=sys.stderr)
            return 1
    return 0


def provide_libraries() -> Path:
    """Return the folder of the libraries for this Python and machine."""
    inputs = hashlib.sha256(EXTENSIONS.encode() + REQUIREMENTS.read_bytes()).hexdigest()

    def make(folder: Path) -> None:
        pip = [sys.executable, "-P", "-m", "pip", "install", "--quiet", "--no-compile"]
        pip += ["--target", str(folder), "--requirement", str(REQUIREMENTS)]
        if subprocess.run(pip, cwd=ROOT).returncode != 0:
            raise BuildError("the libraries cannot be installed")
        # Modules that are for other versions of Python cannot be compiled, and are not imported.
        compile_folder(folder)

    return provide_folder(LIBRARIES, inputs, make)


def provide_program(libraries: Path) -> Path:
    """Return the folder of the program as in the checkout."""
    sources = digest_folder(ROOT / PACKAGE)

    def make(folder: Path) -> None:
        package = folder / PACKAGE
        shutil.copytree(ROOT / PACKAGE, package, ignore=shutil.ignore_patterns(BYTECODE))
        if digest_folder(package) != sources:
            raise BuildError("the sources changed during the build")
        if not compile_folder(folder):
            raise BuildError("the program cannot be compiled")
        digest = import_program(folder, libraries)
        (package / SOURCES_FILE).write_text(digest, encoding="ascii")

    return provide_folder(PROGRAMS, sources, make)


def provide_folder(parent: Path, inputs: str, make: Callable[[Path], None]) -> Path:
    """Return a complete folder that was made from these inputs; make one if there is none."""
    for folder in sorted(parent.iterdir()):
        if is_complete(folder, inputs):
            compile_folder(folder)
            return folder
    folder = Path(tempfile.mkdtemp(prefix=f"{inputs[:12]}-", dir=parent))
    try:
        make(folder)
    except BuildError:
        shutil.rmtree(folder)
        raise
    folder.chmod(FOLDER_MODE)
    (folder / RECORD).write_text(make_record(folder, inputs), encoding="utf-8")
    return folder


def is_complete(folder: Path, inputs: str) -> bool:
    """Return whether a folder was made from these inputs, and nothing of it is lost or changed."""
    record = folder / RECORD
    if not record.is_file():
        return False
    written = record.read_text(encoding="utf-8", errors="replace")
    return written.startswith(inputs) and written == make_record(folder, inputs)


def make_record(folder: Path, inputs: str) -> str:
    """Return the record of a folder with its present contents."""
    return f"{inputs}\n{digest_folder(folder)}\n"


def digest_folder(folder: Path) -> str:
    """Return a digest of the files of a folder, without bytecode, which others may rewrite."""
    names = (name for name in list_files(folder) if BYTECODE not in name.split("/"))
    return digest_files(folder, (name for name in names if name != RECORD))


def digest_files(folder: Path, names: Iterable[str]) -> str:
    """Return a digest of the names and contents of files in a folder."""
    digest = hashlib.sha256()
    for name in names:
        with open(f"{folder}/{name}", "rb") as file:
            content = file.read()
        digest.update(f"{name}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()


def list_files(folder: Path) -> Iterator[str]:
    """Yield the names of the files below a folder, relative to it, in a fixed order."""
    start = len(f"{folder}/")
    for path, subfolders, names in os.walk(folder):
        subfolders.sort()
        yield from (f"{path}/{name}"[start:] for name in sorted(names))


def compile_folder(folder: Path) -> bool:
    """Compile the modules of a folder that lack bytecode; return whether all could be compiled."""
    sources = (folder / name for name in list_files(folder) if name.endswith(".py"))
    compiled = [compile_module(source) for source in sources if not has_bytecode(source)]
    return all(compiled)


def compile_module(source: Path) -> bool:
    """Compile a module; return whether it could be compiled."""
    mode = PycInvalidationMode.UNCHECKED_HASH
    return bool(compileall.compile_file(source, quiet=1, force=True, invalidation_mode=mode))


def has_bytecode(source: Path) -> bool:
    """Return whether Python would use a module's bytecode and it is that of the source."""
    bytecode = Path(cache_from_source(str(source)))
    if not bytecode.is_file():
        return False
    with bytecode.open("rb") as file:
        header = file.read(BYTECODE_HEADER.size)
    if len(header) < BYTECODE_HEADER.size:
        return False
    magic, flags, stated = BYTECODE_HEADER.unpack(header)
    if flags:
        expected = source_hash(source.read_bytes())
    else:
        # Another program has compiled the folder, too.
        status = source.stat()
        expected = FILE_STATE.pack(int(status.st_mtime), status.st_size)
    return bool(magic == MAGIC_NUMBER and stated == expected)


def import_program(folder: Path, libraries: Path) -> str:
    """Import the program of a folder as its processes do; return the digest of its sources.

    Raises BuildError if it cannot be imported.
    """
    env = {**os.environ, "PYTHONPATH": f"{folder}:{libraries}"}
    command = [sys.executable, "-P", "-B", "-c", IMPORT_PROGRAM]
    ended = subprocess.run(command, env=env, cwd=folder, stdout=subprocess.PIPE, text=True)
    if ended.returncode != 0:
        raise BuildError("the program cannot be imported")
    return ended.stdout


def put_in_force(program: Path, libraries: Path) -> None:
    """Have processes that start from now on use these folders."""
    source = LAUNCHER_SOURCE.read_text(encoding="utf-8")
    arguments = f"{EXTENSIONS!r}, {program.name!r}, {libraries.name!r}"
    text = f"{source}\n\n{LAUNCHER_CALL}{arguments})\n"
    before = LAUNCHER.read_text(encoding="utf-8") if LAUNCHER.exists() else ""
    if text != before:
        replace_launcher(text)
        remove_unused(before)
    elif not has_bytecode(LAUNCHER):
        replace_launcher(text)


def replace_launcher(text: str) -> None:
    """Replace the launcher at once, whatever process is just reading it."""
    LAUNCHER.parent.mkdir(parents=True, exist_ok=True)
    new = LAUNCHER.with_suffix(".new")
    new.write_text(text, encoding="utf-8")
    mtime_s = launcher_mtime_s(text)
    os.utime(new, (mtime_s, mtime_s))
    # Bytecode goes first: Python compares it with the contents of the source.
    mode = PycInvalidationMode.CHECKED_HASH
    bytecode = cache_from_source(str(LAUNCHER))
    py_compile.compile(str(new), bytecode, str(LAUNCHER), doraise=True, invalidation_mode=mode)
    new.replace(LAUNCHER)


def launcher_mtime_s(text: str) -> int:
    """Return a modification time that is older than any checkout, and another for each text.

    Launchers have the same size, and copies that go by sizes and times must tell them apart.
    Earlier landings copied their package with "cp -u" to the same path, which replaces older files
    only; their builds must replace the launcher.
    """
    return int(hashlib.sha256(text.encode()).hexdigest()[:7], 16)


def remove_unused(before: str) -> None:
    """Remove folders that neither the launcher nor the one before it names.

    Processes that started before the launcher was replaced still import from theirs.
    """
    named = before + LAUNCHER.read_text(encoding="utf-8")
    for folder in (*PROGRAMS.iterdir(), *LIBRARIES.iterdir()):
        if folder.name not in named:
            shutil.rmtree(folder)
    if LAUNCHER_CALL in before:
        remove_earlier_layout()


def remove_earlier_layout() -> None:
    """Remove the modules and libraries that earlier landings have left beside the launcher."""
    for path in (*DEPS.iterdir(), *LAUNCHER.parent.iterdir()):
        if path in (LAUNCHER.parent, LAUNCHER) or path == LAUNCHER.parent / BYTECODE:
            continue
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()


if __name__ == "__main__":
    sys.exit(main())
