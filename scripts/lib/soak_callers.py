"""Callers of scripts/soak: they send requests and check each answer."""

import asyncio
import itertools
import time

import replica_standin
import wire

NOT_RUN = (408, 421, 429, 503)
RECORD = replica_standin.RECORD
READ_TIMEOUT_S = 6


class Kind:
    """A kind of request: what is sent, and how long its caller waits."""

    def __init__(self, name, method, path, limit_ms, repeatable):
        self.name = name
        self.method = method
        self.path = path
        self.limit_ms = limit_ms
        self.repeatable = repeatable


KINDS = [Kind("search", "GET", "/search/parts", 1000, True),
         Kind("lookup", "GET", "/lookup/one", 1500, True),
         Kind("moved", "GET", "/moved/one", 1500, True),
         Kind("hold", "POST", "/hold/one", 1500, False)]


class Sent:
    """One request and how it ended."""

    def __init__(self, kind, request_id, host, at):
        self.kind = kind
        self.id = request_id
        self.host = host
        self.at = at
        self.status = None  # None: no complete answer
        self.gave_up = False
        self.ended_at = None


class Callers:
    def __init__(self, run):
        self.run = run
        self.random = run.random
        self.sent = []
        self.numbers = itertools.count(1)
        self.stopping = False

    async def work(self, rate):
        """One caller with one kept connection at a time."""
        stream = None
        host = None
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(rate))
            if stream is None:
                host = self.run.choose_host()
                stream = await self._connect(host)
                if stream is None:
                    continue
            keep = await self._one(stream, host)
            if not keep:
                wire.reset(stream[1])
                stream = None
        if stream:
            wire.reset(stream[1])

    async def _connect(self, host):
        ip, port = host.callers.split(":")
        try:
            return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def _one(self, stream, host):
        """Sends one request; true if the connection can be used again."""
        reader, writer = stream
        kind = self.random.choices(KINDS, (6, 2, 1, 2))[0]
        request = Sent(kind, f"{self.run.seed:x}-{next(self.numbers):08x}", host,
                       time.monotonic())
        fields = [("Host", "soak.example"), ("X-Goldcrestkeel-Request-Id", request.id),
                  ("X-Goldcrestkeel-Deadline-Ms", str(kind.limit_ms))]
        body = b"hold " + request.id.encode() if kind.method == "POST" else b""
        self.sent.append(request)
        try:
            writer.write(wire.write_message(
                f"{kind.method} {kind.path} HTTP/1.1", fields, body))
            limit = READ_TIMEOUT_S
            if self.random.random() < 0.02:
                request.gave_up = True
                limit = self.random.uniform(0.005, 0.1)
            answer = await asyncio.wait_for(wire.read_message(reader, True), limit)
        except (OSError, EOFError):
            answer = None
        except asyncio.TimeoutError:
            request.ended_at = time.monotonic()
            if not request.gave_up:
                self.run.broken("LATE", f"{request.id}: no answer from {host.name} after "
                                f"{READ_TIMEOUT_S} s", request)
            return False
        request.ended_at = time.monotonic()
        if answer is None:
            self.run.lost(request)
            return False
        request.status = answer.status
        self._check(request, answer)
        return answer.fields.get("connection", "").lower() != "close"

    def _check(self, request, answer):
        if answer.status == 404:
            self.run.broken("DENIED", f"{request.id}: 404 for a route that is there", request)
        stamp = answer.fields.get("x-goldcrestkeel-server-stamp")
        if stamp and self.run.seen.stamps.get(stamp, ("",))[0] != request.id:
            self.run.broken("MIXED", f"{request.id}: stamp {stamp} is of another request",
                            request)
        if not 200 <= answer.status < 300:
            return
        if request.kind.name == "search":
            self._check_gathered(request, answer)
        elif not stamp:
            self.run.broken("MIXED", f"{request.id}: success without a stamp", request)
        elif answer.body != replica_standin.body_of(request.id):
            self.run.broken("MIXED", f"{request.id}: body of another request, or a part of "
                            "one", request)

    def _check_gathered(self, request, answer):
        stamps = [s.strip() for s in
                  answer.fields.get("x-goldcrestkeel-shard-stamps", "").split(",") if s.strip()]
        missing = int(answer.fields.get("x-goldcrestkeel-missing-shards", "0"))
        named = [self.run.seen.stamps.get(s) for s in stamps]
        if not named or any(n is None or n[0] != request.id or n[2] != 200 for n in named):
            self.run.broken("MIXED", f"{request.id}: a stamp is no good answer to it", request)
            return
        services = [n[1] for n in named]
        if len(set(services)) < len(services):
            self.run.broken("MIXED", f"{request.id}: two stamps of one shard", request)
        whole = [c for c in self.run.shard_sets
                 if set(services) <= set(c) and len(services) + missing == len(c)]
        if not whole:
            self.run.broken("MIXED", f"{request.id}: {len(services)} shards and {missing} "
                            "missing are no configuration", request)
        elif len(services) < self.run.min_share * len(whole[0]):
            self.run.broken("MIXED", f"{request.id}: too few shards", request)
        parts = b"".join(replica_standin.part_of(request.id, s) for s in services)
        records = sorted((parts[i:i + RECORD] for i in range(0, len(parts), RECORD)),
                         reverse=True)
        if answer.body != b"".join(records[:self.run.top]):
            self.run.broken("MIXED", f"{request.id}: not the greatest records of its parts",
                            request)
