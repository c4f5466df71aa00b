"""Listen for callers before the rest of the program is imported.

After all processes were killed together, every caller finds a closed port until the first process
listens again, and its retries are used up by then. Importing takes most of a start, so the port is
opened first; the kernel queues the connections until the program accepts them.
"""

import socket
from typing import Final

BACKLOG: Final = 1024

CallerSocket = socket.socket


def listen_for_callers(address: str) -> CallerSocket:
    """Open a listening socket at IP:PORT; raise OSError or ValueError if that fails."""
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
