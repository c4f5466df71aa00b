"""Check the state of a socket without consuming data from it."""

import socket


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no data to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
