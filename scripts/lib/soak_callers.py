"""Callers of scripts/soak, which send requests and check each answer."""

import asyncio
import itertools
import time

import replica_standin
import wire

# Status codes that promise that no replica ran the request.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
RECORD_BYTES = replica_standin.RECORD_BYTES
READ_TIMEOUT_S = 6


class RequestKind:
    """A kind of request: method, path and the deadline that its caller sets."""

    def __init__(self, name, method, path, deadline_ms, idempotent):
        self.name = name
        self.method = method
        self.path = path
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent


KINDS = [RequestKind("search", "GET", "/search/parts", 1000, True),
         RequestKind("lookup", "GET", "/lookup/one", 1500, True),
         RequestKind("moved", "GET", "/moved/one", 1500, True),
         RequestKind("hold", "POST", "/hold/one", 1500, False)]


class SentRequest:
    """A request and its outcome."""

    def __init__(self, kind, request_id, host, sent_at):
        self.kind = kind
        self.id = request_id
        self.host = host
        self.sent_at = sent_at
        self.status = None  # None: no complete answer arrived
        self.abandoned = False
        self.ended_at = None
        self.key = None


class Callers:
    def __init__(self, run):
        self.run = run
        self.random = run.random
        self.sent = []
        self.request_numbers = itertools.count(1)
        self.stopping = False

    async def run_caller(self, rate, draw=dict):
        """Sends requests over one keep-alive connection at a time; `rate` is in requests
        per second, `draw` returns arguments of _send_request."""
        stream = None
        host = None
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(rate))
            if stream is None:
                host = self.run.choose_host()
                stream = await self._connect(host)
                if stream is None:
                    continue
            reusable = await self._send_request(stream, host, **draw())
            if not reusable:
                wire.reset(stream[1])
                stream = None
        if stream:
            wire.reset(stream[1])

    async def _connect(self, host):
        ip, port = host.caller_address.split(":")
        try:
            return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def send_once(self, host, kind, body):
        """Sends one request over a new connection."""
        stream = await self._connect(host)
        if stream:
            await self._send_request(stream, host, kind, body)
            wire.reset(stream[1])

    async def _send_request(self, stream, host, kind=None, body=None, key=None, sent=None):
        """Sends one request; returns true if the connection can be reused. `key` is a list of
        the tenant's key or None, `sent` the list that the request is added to."""
        reader, writer = stream
        kind = kind or self.random.choices(KINDS, (6, 2, 1, 2))[0]
        request = SentRequest(kind, f"{self.run.seed:x}-{next(self.request_numbers):08x}",
                              host, time.monotonic())
        fields = [("Host", "soak.example"), ("X-Goldcrestkeel-Request-Id", request.id),
                  ("X-Goldcrestkeel-Deadline-Ms", str(kind.deadline_ms))]
        if body is None:
            body = b"hold " + request.id.encode() if kind.method == "POST" else b""
        fields += self.run.tenants.fields(request, key)
        (self.sent if sent is None else sent).append(request)
        try:
            writer.write(wire.format_message(
                f"{kind.method} {kind.path} HTTP/1.1", fields, body))
            timeout_s = READ_TIMEOUT_S
            if self.random.random() < 0.02:
                request.abandoned = True
                timeout_s = self.random.uniform(0.005, 0.1)
            answer = await asyncio.wait_for(wire.read_message(reader, True), timeout_s)
        except (OSError, EOFError):
            answer = None
        except asyncio.TimeoutError:
            request.ended_at = time.monotonic()
            if not request.abandoned:
                self.run.report_violation(
                    "LATE", f"{request.id}: no answer from {host.name} after "
                    f"{READ_TIMEOUT_S} s", request)
            return False
        request.ended_at = time.monotonic()
        if answer is None:
            self.run.handle_cut_request(request)
            return False
        request.status = answer.status
        self._check(request, answer)
        return answer.fields.get("connection", "").lower() != "close"

    def _check(self, request, answer):
        if answer.status == 404:
            self.run.report_violation(
                "DENIED", f"{request.id}: 404 for a configured route", request)
        stamp = answer.fields.get("x-goldcrestkeel-server-stamp")
        if stamp and self.run.observations.stamps.get(stamp, ("",))[0] != request.id:
            self.run.report_violation(
                "MIXED", f"{request.id}: stamp {stamp} belongs to another request", request)
        if not 200 <= answer.status < 300:
            return
        if request.kind.name == "search":
            self._check_gathered_answer(request, answer)
        elif not stamp:
            self.run.report_violation(
                "MIXED", f"{request.id}: success without a stamp", request)
        elif answer.body != replica_standin.expected_body(request.id):
            self.run.report_violation(
                "MIXED", f"{request.id}: body belongs to another request or is "
                "truncated", request)

    def _check_gathered_answer(self, request, answer):
        stamps = [s.strip() for s in
                  answer.fields.get("x-goldcrestkeel-shard-stamps", "").split(",") if s.strip()]
        missing = int(answer.fields.get("x-goldcrestkeel-missing-shards", "0"))
        stamped = [self.run.observations.stamps.get(s) for s in stamps]
        if not stamped or any(n is None or n[0] != request.id or n[2] != 200 for n in stamped):
            self.run.report_violation(
                "MIXED", f"{request.id}: a stamp is not of a successful sub-request", request)
            return
        services = [n[1] for n in stamped]
        if len(set(services)) < len(services):
            self.run.report_violation(
                "MIXED", f"{request.id}: two stamps from one shard", request)
        matching_sets = [c for c in self.run.shard_sets
                         if set(services) <= set(c) and len(services) + missing == len(c)]
        if not matching_sets:
            self.run.report_violation(
                "MIXED", f"{request.id}: {len(services)} shards and {missing} "
                "missing match no configuration", request)
        elif len(services) < self.run.min_shard_ratio * len(matching_sets[0]):
            self.run.report_violation(
                "MIXED", f"{request.id}: fewer shards than min_shard_ratio allows", request)
        record_bytes = b"".join(replica_standin.shard_records(request.id, s) for s in services)
        records = sorted((record_bytes[i:i + RECORD_BYTES]
                          for i in range(0, len(record_bytes), RECORD_BYTES)),
                         reverse=True)
        if answer.body != b"".join(records[:self.run.top_k]):
            self.run.report_violation(
                "MIXED", f"{request.id}: body is not the top records of its "
                "shards", request)
