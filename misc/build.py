"""Build the release file: a zipapp that runs as a single process.

    python3 misc/build.py           writes dist/papayapier

A PyInstaller one-file program is a parent process that starts a child, which breaks the rule
that a process starts no other process; a shiv zipapp starts none. shiv's bytecode compilation
stays off because it starts processes as well.

pip installs the pinned libraries; the package itself is copied beside them. If pip built the
package, the file would contain deleted modules, which setuptools keeps in its build folder, and
the name of a temporary folder, which would make builds irreproducible.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
BIN: Final = ROOT / ".venv" / "bin"
OUTPUT: Final = ROOT / "dist" / "papayapier"
PACKAGE: Final = "papayapier"
ENTRY_POINT: Final = "papayapier.main:run"


def main() -> int:
    """Build the zipapp; return the exit code."""
    if not (BIN / "shiv").exists():
        print("build: run python3 runtests.py once to create .venv", file=sys.stderr)
        return 1
    with tempfile.TemporaryDirectory() as folder:
        libraries = Path(folder)
        code = install(libraries) or pack(libraries)
    if code == 0:
        print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size // 1_000_000} MB")
    return code


def install(folder: Path) -> int:
    """Install the libraries and copy the package into a folder; return the exit code."""
    pip = [str(BIN / "python"), "-m", "pip", "install", "--quiet", "--no-compile"]
    pip += ["--target", str(folder), "--requirement", str(ROOT / "requirements.txt")]
    code = subprocess.run(pip, cwd=ROOT).returncode
    # The libraries' commands are not used, and they contain the path of this machine's Python.
    shutil.rmtree(folder / "bin", ignore_errors=True)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=ignored)
    return code


def pack(folder: Path) -> int:
    """Pack a folder into the zipapp; return the exit code."""
    OUTPUT.parent.mkdir(exist_ok=True)
    shiv = [str(BIN / "shiv"), "--entry-point", ENTRY_POINT, "--python", "/usr/bin/env python3"]
    shiv += ["--reproducible", "--site-packages", str(folder), "--output-file", str(OUTPUT)]
    return subprocess.run(shiv, cwd=ROOT).returncode


if __name__ == "__main__":
    sys.exit(main())
