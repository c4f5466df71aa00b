"""Build the one file to ship: a zipapp that runs as a single process.

    python3 misc/build.py           writes dist/papayapier

A PyInstaller one-file program is a parent that starts a child, against "a process starts no
other process"; a shiv zipapp replaces nothing and starts nothing.
"""

import subprocess
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
SHIV: Final = ROOT / ".venv" / "bin" / "shiv"
TARGET: Final = ROOT / "dist" / "papayapier"


def main() -> int:
    """Build the zipapp; return the exit code."""
    if not SHIV.exists():
        print("build: run python3 runtests.py once to make the environment", file=sys.stderr)
        return 1
    TARGET.parent.mkdir(exist_ok=True)
    build = [str(SHIV), "--console-script", "papayapier", "--python", "/usr/bin/env python3"]
    build += ["--reproducible", "--output-file", str(TARGET)]
    build += ["--requirement", str(ROOT / "requirements.txt"), str(ROOT)]
    code = subprocess.run(build, cwd=ROOT).returncode
    if code == 0:
        print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size // 1_000_000} MB")
    return code


if __name__ == "__main__":
    sys.exit(main())
