"""Loopback proxy that delays or resets connections or blocks their directions."""

import asyncio

import wire


def _addresses(writer):
    return writer.get_extra_info("peername"), writer.get_extra_info("sockname")


# What becomes of the connections to a target that has crashed. "refused", "hanging", "cut":
# open ones are reset, and new ones refused, accepted without an answer, or accepted and
# reset. "silent": open and new ones stay without an answer.
DEATHS = ("refused", "hanging", "cut", "silent")


class Proxy:
    """Forwards connections from one address to another. `mode` is None, "silent"
    (blocks both directions), "no_answers" (blocks data from the target) or "refuse"
    (resets new connections); `delay_s` delays each chunk. Delayed and blocked bytes
    are kept and forwarded later, as after a network partition. `link_mode`, if set,
    gives the mode of new connections by their addresses, None or "refuse"; open ones in
    `blocked` are silent."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = None
        self.delay_s = 0.0
        self.link_mode = None
        self.blocked = set()  # client writers whose connections are blocked
        self.server = None
        self.connections = set()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._accept, ip, int(port))

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        self.reset_all()

    def fail(self, death):
        """The target has crashed; close() ends what is left."""
        if death == "refused":
            self.close()
        elif death == "cut":
            self.mode = "refuse"
            self.reset_all()
        else:
            self.mode = "silent"
            if death == "hanging":
                self.reset_all()

    def reset_all(self):
        for connection in list(self.connections):
            for writer in connection:
                wire.reset(writer)

    def clients(self):
        """Addresses (the client's first) and writer of each open connection."""
        return [(_addresses(writer), writer) for writer, _ in self.connections]

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            wire.reset(writer)
            return
        ip, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            wire.reset(writer)
            return
        # Last, so that a link that is cut in the meantime is seen here, or by what cuts
        # the open connections.
        if self.link_mode and await self.link_mode(_addresses(writer)) == "refuse":
            wire.reset(writer)
            wire.reset(target_writer)
            return
        connection = (writer, target_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "silent", writer),
                self._forward(target_reader, writer, "no_answers", writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            self.blocked.discard(writer)
            for endpoint in connection:
                wire.reset(endpoint)

    async def _forward(self, reader, writer, blocking_mode, client):
        while True:
            data = await reader.read(65536)
            while self.mode in ("silent", blocking_mode) or client in self.blocked:
                await asyncio.sleep(0.02)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
