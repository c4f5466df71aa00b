"""Test that a port reserved for a process is given to nobody else before or between its starts.

A test picked a free port and let go of it. Until its process listened, another test or an outgoing
connection got the port: the process ended with "address is in use", or the test waited for the
answers of a stranger until its time was up.
"""

import errno
import socket

import pytest

from misc.ports import PortReservations

HOST = "127.0.0.1"


def bind(port: int, reuse: bool) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(reuse))
    sock.bind((HOST, port))
    return sock


def test_reserved_port_cannot_be_bound_by_others() -> None:
    """Guard against a port that a process finds in use at its start."""
    ports = PortReservations(HOST)
    port = ports.reserve()
    with pytest.raises(OSError) as raised:
        bind(port, reuse=False)
    assert raised.value.errno == errno.EADDRINUSE
    ports.close()
    bind(port, reuse=False).close()


def test_process_listens_on_its_reserved_port_at_each_start() -> None:
    """Guard against a reservation that stands in the way of its own process."""
    ports = PortReservations(HOST)
    port = ports.reserve()
    for _ in range(3):
        with bind(port, reuse=True) as listener:
            listener.listen()
            with socket.create_connection((HOST, port)):
                listener.accept()[0].close()
    ports.close()


def test_reserved_ports_differ() -> None:
    """Guard against one port for two processes, and against a port that a connection gets."""
    ports = PortReservations(HOST)
    reserved = {ports.reserve() for _ in range(200)}
    assert len(reserved) == 200
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(500)
        clients = [socket.create_connection(listener.getsockname()) for _ in range(400)]
        assert not reserved & {client.getsockname()[1] for client in clients}
    for client in clients:
        client.close()
    ports.close()
