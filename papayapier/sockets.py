"""Look at a socket without changing what it holds."""

import socket


def is_quiet(sock: socket.socket) -> bool:
    """Tell whether a connection is open and has nothing to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
