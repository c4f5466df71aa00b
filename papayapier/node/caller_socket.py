"""Listen for callers before the rest of the program is imported.

After all processes were killed together, every caller meets a closed port until the first
process listens again, and has used up its tries by then. Importing takes most of a start, so the
port is opened first; the kernel keeps the connections until the program takes them.
"""

import socket
from typing import Final

BACKLOG: Final = 1024

EarlySocket = socket.socket


def listen_early(address: str) -> EarlySocket:
    """Open a listening socket at IP:PORT; OSError or ValueError say why that is not possible."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except (OSError, ValueError):
        sock.close()
        raise
    sock.setblocking(False)
    return sock
