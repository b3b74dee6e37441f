"""A network that can be cut: connections between daemons that go through here
and can go silent, in each direction by itself, without being closed.

Each daemon tells others an address of this relay and listens on another one
(settings `listen/peers`), so all that daemons send to each other comes through
here; who connects is told by the source's IP number.  A way is the pair of
names (from, to).  Only python's standard library is used.
"""
import asyncio
import collections
import threading

PASS, SWALLOW, HOLD = "pass", "swallow", "hold"
TO, FROM, BOTH = "to", "from", "both"


def ways(shape, some, others):
    """The ways TO the daemons SOME from OTHERS, or FROM them, or BOTH."""
    pairs = [(a.name, b.name) for a in some for b in others]
    return [(b, a) for a, b in pairs if shape in (TO, BOTH)] + [
        (a, b) for a, b in pairs if shape in (FROM, BOTH)]


class Side(asyncio.Protocol):
    """One end of a relayed connection.  WAY is that of the bytes that come in
    here and go out at the end OTHER."""

    def __init__(self, relay, way, other=None):
        self.relay, self.way, self.other = relay, way, other
        self.transport, self.held = None, []
        self.missing = self.ended = False
        relay.sides.add(self)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        mode = self.relay.mode(self.way)
        self.relay.count[mode, self.way] += len(data)
        if mode == SWALLOW:
            self.missing = True
        else:
            self.held.append(data)
            self.settle()

    def eof_received(self):
        self.ended = True
        self.settle()
        return True  # the other way is open yet

    def connection_lost(self, error):
        self.eof_received()

    def settle(self):
        """Passes on what came, in its order, as far as the way is open.  A
        connection that has bytes missing is closed instead."""
        if self.relay.mode(self.way) != PASS or self.other is None:
            return
        held, self.held = self.held, []
        if self.missing:
            self.abort()
            self.other.abort()
        elif self.other.transport and not self.other.transport.is_closing():
            self.other.transport.writelines(held)
            if self.ended:
                self.other.transport.close()
        if self.ended:
            self.relay.sides.discard(self)

    def abort(self):
        self.ended = True
        self.relay.sides.discard(self)
        if self.transport:
            self.transport.abort()


class Accepted(Side):
    """The end of the daemon that connects to daemon NAME, which listens at
    TO.  Where nobody listens it is closed, as soon as the way back is open."""

    def __init__(self, relay, name, to):
        super().__init__(relay, None)
        self._name, self._to = name, to

    def connection_made(self, transport):
        super().connection_made(transport)
        host = transport.get_extra_info("peername")[0]
        who = self.relay.names.get(host, host)
        self.way = (who, self._name)
        self._task = asyncio.ensure_future(
            self._connect(Side(self.relay, (self._name, who), self)))

    async def _connect(self, other):
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: other, *self._to)
        except OSError:
            other.missing = True
        self.other = other
        self.settle()
        other.settle()


class Relay(threading.Thread):
    """The relay, on a thread of its own until `close`.  `count` has the bytes
    that came by (mode, way)."""

    def __init__(self):
        super().__init__(daemon=True)
        self.count, self.names, self.sides = collections.Counter(), {}, set()
        self._modes, self._servers = {}, []
        self._loop = asyncio.new_event_loop()
        self.start()

    def run(self):
        self._loop.run_forever()
        self._loop.close()

    def _do(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine,
                                                self._loop).result()

    def add(self, name, host, told, listens):
        """Daemon NAME connects from HOST; others are TOLD one "host:port" and
        it LISTENS at another."""
        self.names[host] = name
        at, to = (a.rsplit(":", 1) for a in (told, listens))
        self._servers.append(self._do(self._loop.create_server(
            lambda: Accepted(self, name, to), *at)))

    def mode(self, way):
        return self._modes.get(way, PASS)

    def set(self, mode, ways):
        """MODE holds for WAYS from now on.  With PASS, what was held goes out
        late, and what has bytes missing is closed."""
        async def change():
            self._modes.update(dict.fromkeys(ways, mode))
            for side in list(self.sides):
                side.settle()
        self._do(change())

    def heal(self):
        self.set(PASS, list(self._modes))

    def close(self):
        async def end():
            for server in self._servers:
                server.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for side in list(self.sides):
                side.abort()
            self._loop.call_soon(self._loop.stop)
        self._do(end())
        self.join()
