"""Create the virtual environment, then run all checks and tests, or the demo.

    python3 runtests.py            black, ruff, mypy --strict and all tests
    python3 runtests.py demo       the demo on this machine
    python3 runtests.py TEST ...   only these tests

The pinned packages are installed on first use and again whenever the pins change.
"""

import hashlib
import os
import subprocess
import sys
import venv
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent
ENV: Final = ROOT / ".venv"
PYTHON: Final = ENV / "bin" / "python"
REQUIREMENTS: Final = (ROOT / "requirements.txt", ROOT / "requirements-dev.txt")
# The digest of the requirements that are installed.
DIGEST_FILE: Final = ENV / "pins.sha256"
CHECKED_PATHS: Final = ("papayapier", "tests", "misc", "runtests.py")
CHECKS: Final = (
    ("black", "--check", "--quiet", *CHECKED_PATHS),
    ("ruff", "check", "--quiet", *CHECKED_PATHS),
    ("mypy", "--no-error-summary"),
)


def main(args: list[str]) -> int:
    """Run what the arguments select; return the exit code."""
    make_environment()
    if args and args[0] == "demo":
        return run("papayapier", *args)
    if args:
        return run("pytest", *args)
    return run_all()


def make_environment() -> None:
    """Install the pinned packages unless they are already installed."""
    digest = hashlib.sha256(b"".join(path.read_bytes() for path in REQUIREMENTS)).hexdigest()
    if PYTHON.exists() and DIGEST_FILE.exists() and DIGEST_FILE.read_text() == digest:
        return
    if not PYTHON.exists():
        venv.create(ENV, with_pip=True)
    install = [str(PYTHON), "-m", "pip", "install", "--quiet", "-r", str(REQUIREMENTS[1])]
    subprocess.run(install, check=True, cwd=ROOT)
    DIGEST_FILE.write_text(digest)


def run_all() -> int:
    """Run all checks and tests; return 1 if any of them fails."""
    failed = [check[0] for check in CHECKS if run(*check) != 0]
    if run("pytest") != 0:
        failed.append("pytest")
    for name in failed:
        print(f"runtests: {name} failed", file=sys.stderr)
    return 1 if failed else 0


def run(module: str, *args: str) -> int:
    """Run a Python module in the environment; return its exit code."""
    env = {**os.environ, "PYTHONHASHSEED": "0"}
    return subprocess.run([str(PYTHON), "-m", module, *args], cwd=ROOT, env=env).returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
