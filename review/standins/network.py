"""Put proxies on all ways between one process and the rest of the system.

A process learns the others' peer ports from the store and from their first message. So the view of
the store that this process has, and the one that the others have, show the ports of the proxies,
and the proxies replace the port that a first message (Hello) states.
"""

import asyncio
import contextlib

NODES = "papayapier-nodes"


class Proxy:
    """Forward TCP channels from a port of its own to another; a cut resets and refuses them."""

    def __init__(self, target, replaced=()):
        self._target = target
        self._replaced = list(replaced)
        self._server = None
        self._writers = set()
        self._silent = 0  # channels opened before this one in the count have gone silent
        self._opened = 0
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def replace(self, old_port, new_port):
        """Replace a port in what is forwarded to the target."""
        self._replaced.append((_packed(old_port), _packed(new_port)))

    def cut(self):
        """Reset all channels and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self):
        """Let all open channels go silent for good, without a reset; new ones work."""
        self._silent = self._opened

    async def heal(self):
        """Accept channels again, at the same port."""
        await self.start()

    async def _serve(self, reader, writer):
        try:
            there_reader, there_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there_writer}
        self._opened += 1
        number = self._opened

        def is_silent():
            return number <= self._silent

        try:
            await asyncio.gather(
                _pump(reader, there_writer, self._replaced, is_silent),
                _pump(there_reader, writer, (), is_silent),
            )
        finally:
            self._writers -= {writer, there_writer}
            for each in (writer, there_writer):
                with contextlib.suppress(Exception):
                    each.close()


async def _pump(reader, writer, replaced, is_silent):
    try:
        while data := await reader.read(65536):
            if is_silent():
                continue
            for old, new in replaced:
                data = data.replace(old, new)
            writer.write(data)
            await writer.drain()
        if not is_silent():
            writer.write_eof()
    except (ConnectionError, OSError, RuntimeError):
        writer.transport.abort()


def _packed(port):
    """Return a port as msgpack encodes it."""
    return b"\xcd" + port.to_bytes(2, "big")


class Ports:
    """Rewrite the peer ports in the records of processes, for one viewer of the store."""

    def __init__(self, shown):
        self._shown = shown  # stored port -> port that the viewer uses

    def show(self, kind, stored):
        """Return an object as the viewer is to see it."""
        if kind != NODES or not isinstance(stored.get("spec"), str):
            return stored
        return {**stored, "spec": _swap(stored["spec"], self._shown)}

    def take(self, kind, value):
        """Return a value that the viewer writes as it is to be stored."""
        if kind != NODES or not isinstance(value, str):
            return value
        return _swap(value, {shown: port for port, shown in self._shown.items()})


def _swap(text, ports):
    for old, new in ports.items():
        text = text.replace(str(old), str(new))
    return text


class Island:
    """Own the proxies around one process of the system."""

    def __init__(self, system, name, record):
        self._system, self._name, self._record = system, name, record
        self._inward = None
        self._outward = {}
        self._store = None

    async def start(self, store, store_port):
        """Start the proxies; call it before the processes start, with their ports known."""
        ports = self._system.peer_ports
        own = ports[self._name]
        self._inward = Proxy(("127.0.0.1", own))
        await self._inward.start()
        for other, port in ports.items():
            if other == self._name:
                continue
            proxy = self._outward[other] = Proxy(("127.0.0.1", port))
            await proxy.start()
            # The island's Hello to others names the way in; the others' Hello to it names the
            # way out to them.
            proxy.replace(own, self._inward.port)
            self._inward.replace(port, proxy.port)
        store.others_view = Ports({own: self._inward.port})
        shown = {port: self._outward[other].port for other, port in ports.items() if other != self._name}
        view = await store.start_view(Ports(shown))
        self._store = Proxy(view)
        self._store.port = store_port
        await self._store.start()

    def _all(self):
        return [self._inward, self._store, *self._outward.values()]

    def cut(self):
        self._record(f"{self._name}: cut off from the store and from all other machines")
        for proxy in self._all():
            proxy.cut()

    async def heal(self):
        self._record(f"{self._name}: reaches everybody again")
        for proxy in self._all():
            await proxy.heal()

    def close(self):
        for proxy in self._all():
            proxy.cut()
