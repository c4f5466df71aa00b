"""Reserve ports on this machine for processes that are started later.

A number that was only looked up is free for anybody until its process listens: the kernel gives it
to the next outgoing connection or to another look-up. Here a socket stays bound to each reserved
port without listening. The kernel then gives the port to nobody, but lets a process that binds
with SO_REUSEADDR listen there, as all servers do, also after a restart.
"""

import socket


class PortReservations:
    """Hold the reserved ports of one address until close()."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that nobody else gets; raise OSError if there is none."""
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, 0))
        return int(sock.getsockname()[1])

    def close(self) -> None:
        """Release all ports."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()
