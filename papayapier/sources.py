"""Say which sources a program runs; VERSION is the same in many landings.

A build writes the digest of the sources beside them. Where there is none, as in a checkout, it is
made from the files.
"""

import hashlib
from pathlib import Path
from typing import Final

PACKAGE: Final = Path(__file__).parent
DIGEST_FILE: Final = PACKAGE / "sources.txt"
# Enough to tell landings apart.
SHOWN_DIGITS: Final = 12


def sources_id() -> str:
    """Return the first digits of the digest of the sources that this program runs."""
    if DIGEST_FILE.exists():
        return DIGEST_FILE.read_text(encoding="ascii")[:SHOWN_DIGITS]
    return digest_sources()[:SHOWN_DIGITS]


def digest_sources() -> str:
    """Return a digest of the names and contents of all modules."""
    digest = hashlib.sha256()
    for path in sorted(PACKAGE.rglob("*.py")):
        content = path.read_bytes()
        digest.update(f"{path.relative_to(PACKAGE).as_posix()}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()
