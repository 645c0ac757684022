"""Simulated replica of the users' platform, and what all replicas have seen."""

import asyncio
import hashlib
import itertools
import json
import time

import wire

RECORD = 16


def part_of(request_id, service):
    """The records that a shard holds for a request; all its replicas agree."""
    return b"".join(
        hashlib.blake2b(f"{request_id} {service} {i}".encode(), digest_size=RECORD).digest()
        for i in range(6))


def body_of(request_id):
    return hashlib.blake2b(request_id.encode(), digest_size=48).digest() * 8


class Seen:
    """What the replicas have seen: arrivals, runs, and the stamps they gave."""

    def __init__(self):
        self.arrivals = []  # (time, request id, service, replica id, sender's IP)
        self.runs = {}      # (request id, service) -> list of replica ids
        self.stamps = {}    # stamp -> (request id, service, status)
        self.left_at = {}   # replica id -> time at which the store knew it leaves
        self.numbers = itertools.count(1)

    def run(self, request_id, service, replica, status):
        self.runs.setdefault((request_id, service), []).append(replica)
        stamp = f"{next(self.numbers):x}.{replica}"
        self.stamps[stamp] = (request_id, service, status)
        return stamp


class Replica:
    """One start of a replica. `faults` holds the shares of answers that are lost,
    cut, spoilt or given twice, and times in seconds."""

    def __init__(self, seen, store, random, service, name, address, zone, work_s):
        self.seen = seen
        self.store = store
        self.random = random
        self.service = service
        self.name = name
        self.address = address
        self.zone = zone
        self.work_s = work_s
        self.slots = 3
        self.running = 0
        self.draining = False
        self.silent = False
        self.slow = 1.0
        self.faults = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.connections = set()

    async def start(self, listen):
        """Serves at `listen`; a proxy stands at the address that is published."""
        ip, port = listen.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        await self.publish()

    async def publish(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "max_concurrency": self.slots,
                 "state": "draining" if self.draining else "ready",
                 "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        await self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def drain(self):
        self.draining = True
        await self.publish()
        self.seen.left_at[self.name] = time.monotonic()

    async def leave(self):
        await self.store.delete(f"servers/{self.name}")
        self.seen.left_at.setdefault(self.name, time.monotonic())

    def stop(self):
        """Ends like a crash: open connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            wire.reset(writer)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                if not await self._answer(request, writer, peer):
                    break
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, writer, peer):
        """False if the connection is to be closed."""
        fields = request.fields
        request_id = fields.get("x-goldcrestkeel-request-id", "")
        meant = fields.get("x-goldcrestkeel-target-instance", self.name)
        if meant != self.name:
            writer.write(wire.answer(421))
            return True
        self.seen.arrivals.append(
            (time.monotonic(), request_id, self.service, self.name, peer))
        if self.running >= 6 * self.slots:
            writer.write(wire.answer(503, [("X-Goldcrestkeel-Not-Executed", "1")]))
            return True
        self.running += 1
        stamp = self.seen.run(request_id, self.service, self.name, 200)
        left = int(fields.get("x-goldcrestkeel-deadline-ms", "1000")) / 1e3
        need = self.work_s * self.slow * self.random.lognormvariate(0, 0.3)
        if self.random.random() < 0.04:
            need += self.random.uniform(0, 0.25)
        try:
            await asyncio.sleep(min(need, left))
        finally:
            self.running -= 1
        if self.silent or self.random.random() < self.faults.get("lost", 0):
            await asyncio.sleep(30)
            return False
        if need > left:
            self.seen.stamps[stamp] = (request_id, self.service, 504)
            writer.write(wire.answer(504, [("X-Goldcrestkeel-Server-Stamp", stamp)]))
            return True
        gathered = request.target.startswith("/search")
        body = part_of(request_id, self.service) if gathered else body_of(request_id)
        data = wire.answer(200, [
            ("X-Goldcrestkeel-Server-Stamp", stamp),
            ("X-Goldcrestkeel-Request-Id", request_id),
            ("X-Goldcrestkeel-Server-Load", f"{self.running},0,{self.slots}")], body)
        return await self._send(data, writer)

    async def _send(self, data, writer):
        chance = self.random.random()
        if chance < self.faults.get("reset", 0):
            wire.reset(writer)
            return False
        if chance < self.faults.get("cut", 0):
            writer.write(data[:len(data) // 2])
            return False
        if chance < self.faults.get("spoilt", 0):
            writer.write(b"\x00\xffno answer at all\r\n\r\n")
            return False
        writer.write(data)
        if chance < self.faults.get("twice", 0):
            await asyncio.sleep(self.random.uniform(0, 0.02))
            writer.write(data)
        await writer.drain()
        return True
