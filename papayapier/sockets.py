"""Check the state of a socket without consuming data from it."""

import fcntl
import socket
import struct
import termios
from typing import Final

_INT: Final = struct.Struct("i")


def is_idle(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no data to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes were sent that the peer has not acknowledged; 0 if that is unknown."""
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(answer)[0])
