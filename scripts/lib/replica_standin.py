"""Simulated replica of the users' platform, and what all replicas observe."""

import asyncio
import hashlib
import itertools
import json
import time

import wire

RECORD_BYTES = 16


# Bytes without end: how they begin, and what follows again and again.
ENDLESS = [(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16384),
           (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x" * 16384),
           (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 2048),
           (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x" * 16384),
           (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 2048),
           (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 2048),
           (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 16384),
           (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 512),
           (b"no answer at all", b"x" * 16384)]
ENDLESS_INTERVAL_S = 0.005


async def send_endless(writer, kind):
    """Returns when the peer has closed the connection."""
    begin, more = kind
    writer.write(begin)
    while not writer.transport.is_closing():
        writer.write(more)
        await writer.drain()
        await asyncio.sleep(ENDLESS_INTERVAL_S)


def shard_records(request_id, service):
    """Records that each replica of a shard returns for a request, concatenated."""
    return b"".join(
        hashlib.blake2b(f"{request_id} {service} {i}".encode(),
                        digest_size=RECORD_BYTES).digest()
        for i in range(6))


def expected_body(request_id):
    return hashlib.blake2b(request_id.encode(), digest_size=48).digest() * 8


class Observations:
    """Requests that reached the replicas, the ones that ran, and the stamps returned."""

    def __init__(self):
        self.arrivals = []  # (time, request id, service, replica id, sender's IP)
        # (time, request id, replica id, data centre, tenant or None, whether a key came)
        self.identities = []
        self.first_run_at = {}  # request id -> time
        self.runs = {}      # (request id, service) -> list of replica ids
        self.stamps = {}    # stamp -> (request id, service, status)
        self.request_limits = []  # (replica id, requests a second, begin, end)
        self.notices = []   # (time, request id, replica id, "leaving" or seconds of rest)
        # Targets of requests that crash the replicas that run them, with this body if set.
        self.crashing = set()
        self.crashing_body = None
        self.crashes = []   # (time, request id, target) of these
        self.withdrawn_at = {}  # replica id -> time of draining or removal in the store
        self.stamp_numbers = itertools.count(1)

    def crashes_replicas(self, request):
        return request.target in self.crashing and \
            self.crashing_body in (None, request.body)

    def record_identity(self, request_id, replica, zone, fields):
        has_key = "authorization" in fields or any("soak-key" in v for v in fields.values())
        self.identities.append((time.monotonic(), request_id, replica, zone,
                                fields.get("x-goldcrestkeel-tenant"), has_key))

    def record_run(self, request_id, service, replica, status):
        self.first_run_at.setdefault(request_id, time.monotonic())
        self.runs.setdefault((request_id, service), []).append(replica)
        stamp = f"{next(self.stamp_numbers):x}.{replica}"
        self.stamps[stamp] = (request_id, service, status)
        return stamp


class Replica:
    """One process run of a replica. `faults` maps a kind of fault to its probability:
    an answer is lost, reset, cut in half, malformed ("spoilt"), without end ("endless"), sent
    twice, or sent again where the next answer on its connection is expected ("late")."""

    def __init__(self, observations, store, random, service, name, address, zone, mean_work_s):
        self.observations = observations
        self.store = store
        self.random = random
        self.service = service
        self.name = name
        self.address = address
        self.zone = zone
        self.mean_work_s = mean_work_s
        self.slots = 3
        self.running = 0
        self.draining = False
        self.leaving = False  # it says so in its answers
        self.turned_away = 0.0  # probability; the host is asked for rest
        self.rejecting = 0.0  # probability; as if the replica were full
        self.silent = False
        self.slowdown = 1.0
        self.request_limit = None  # requests a second from all hosts together
        self.faults = {}
        self.endless = ENDLESS[0]
        self.sequence = 0
        self.started_at_ms = int(time.time() * 1000)
        self.on_crash = lambda replica: replica.stop()
        self.server = None
        self.connections = set()

    async def start(self, listen):
        """Serves at `listen`; the published address is that of a proxy in front of it."""
        ip, port = listen.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        await self.publish()

    async def publish(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "max_concurrency": self.slots,
                 "state": "draining" if self.draining else "ready",
                 "warmup_left_ms": 0, "sequence": self.sequence, "born": self.started_at_ms}
        await self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def drain(self):
        self.draining = True
        await self.publish()
        self.observations.withdrawn_at[self.name] = time.monotonic()

    async def leave(self):
        await self.store.delete(f"servers/{self.name}")
        self.observations.withdrawn_at.setdefault(self.name, time.monotonic())

    def stop(self):
        """Stops listening and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            wire.reset(writer)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        peer = writer.get_extra_info("peername")[0]
        answers = _AnswerWriter(self, writer)
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                answers.send_late_copy()
                if not await self._answer(request, answers, peer):
                    break
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, answers, peer):
        """Handles one request; returns false if the connection must be closed."""
        fields = request.fields
        request_id = fields.get("x-goldcrestkeel-request-id", "")
        target_instance = fields.get("x-goldcrestkeel-target-instance", self.name)
        echo = [("X-Goldcrestkeel-Request-Id", request_id)] if request_id else []
        not_run = echo + [("X-Goldcrestkeel-Not-Executed", "1")]
        if target_instance != self.name:
            answers.write(wire.format_response(421, echo))
            return True
        self.observations.arrivals.append(
            (time.monotonic(), request_id, self.service, self.name, peer))
        self.observations.record_identity(request_id, self.name, self.zone, fields)
        if self.running >= 6 * self.slots or self.random.random() < self.rejecting:
            answers.write(wire.format_response(503, not_run))
            return True
        if self.random.random() < self.turned_away:
            rest_s = 2
            self.observations.notices.append(
                (time.monotonic(), request_id, self.name, rest_s))
            answers.write(wire.format_response(503, not_run + [("Retry-After", str(rest_s))]))
            return True
        self.running += 1
        stamp = self.observations.record_run(request_id, self.service, self.name, 200)
        if self.observations.crashes_replicas(request):
            self.observations.crashes.append((time.monotonic(), request_id, request.target))
            self.on_crash(self)
            return False
        remaining_s = int(fields.get("x-goldcrestkeel-deadline-ms", "1000")) / 1e3
        duration_s = self.mean_work_s * self.slowdown * self.random.lognormvariate(0, 0.3)
        if self.random.random() < 0.04:
            duration_s += self.random.uniform(0, 0.25)
        try:
            await asyncio.sleep(min(duration_s, remaining_s))
        finally:
            self.running -= 1
        if self.silent or self.random.random() < self.faults.get("lost", 0):
            await asyncio.sleep(30)
            return False
        if duration_s > remaining_s:
            self.observations.stamps[stamp] = (request_id, self.service, 504)
            answers.write(wire.format_response(
                504, echo + [("X-Goldcrestkeel-Server-Stamp", stamp)]))
            return True
        gathered = request.target.startswith("/search")
        body = shard_records(request_id, self.service) if gathered else \
            expected_body(request_id)
        response_fields = [
            ("X-Goldcrestkeel-Server-Stamp", stamp),
            ("X-Goldcrestkeel-Request-Id", request_id),
            ("X-Goldcrestkeel-Server-Load", f"{self.running},0,{self.slots}")]
        if not request_id:  # a health check
            response_fields.append(("X-Goldcrestkeel-Instance-Id", self.name))
        if self.request_limit is not None:
            response_fields.append(("Server-Limit", str(self.request_limit)))
        if self.leaving or self.draining:
            response_fields.append(("Server-Leaving", "1"))
            self.observations.notices.append(
                (time.monotonic(), request_id, self.name, "leaving"))
        data = wire.format_response(200, response_fields, body)
        return await self._send(data, answers)

    async def _send(self, data, answers):
        writer = answers.writer
        draw = self.random.random()
        if draw < self.faults.get("reset", 0):
            wire.reset(writer)
            return False
        if draw < self.faults.get("cut", 0):
            # In the head or the body.
            writer.write(data[:self.random.randrange(len(data))])
            return False
        if draw < self.faults.get("spoilt", 0):
            writer.write(b"\x00\xffno answer at all\r\n\r\n")
            return False
        if draw < self.faults.get("endless", 0):
            await send_endless(writer, self.endless)
            return False
        answers.write(data)
        if draw < self.faults.get("twice", 0):
            await asyncio.sleep(self.random.uniform(0, 0.02))
            writer.write(data)
        await writer.drain()
        return True


class _AnswerWriter:
    """Writes the answers on one connection of a replica."""

    def __init__(self, replica, writer):
        self.replica = replica
        self.writer = writer
        self.late_copy = b""

    def write(self, data):
        self.writer.write(data)
        if self.replica.random.random() < self.replica.faults.get("late", 0):
            self.late_copy = data

    def send_late_copy(self):
        """Sends the last answer a second time, if it is to come late."""
        self.writer.write(self.late_copy)
        self.late_copy = b""
