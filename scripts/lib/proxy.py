"""Loopback proxy that delays, resets, silences or half-cuts connections."""

import asyncio

import wire


class Proxy:
    """Forwards connections from one address to another. `mode` is None, "silent"
    (no byte passes), "no_answers" (none passes from the target) or "refuse";
    `delay_s` holds back each piece. Nothing is lost by a delay or a pause: the
    bytes wait, as behind a partition."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = None
        self.delay_s = 0.0
        self.server = None
        self.pairs = set()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._accept, ip, int(port))

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        self.reset_all()

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                wire.reset(writer)

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            wire.reset(writer)
            return
        ip, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            wire.reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, far_writer, "silent"),
                                 self._pump(far_reader, writer, "no_answers"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.pairs.discard(pair)
            for end in pair:
                wire.reset(end)

    async def _pump(self, reader, writer, blocked_by):
        while True:
            data = await reader.read(65536)
            while self.mode == "silent" or self.mode == blocked_by:
                await asyncio.sleep(0.02)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
