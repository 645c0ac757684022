"""Simulated store of the users' platform: keys with revisions, leases, watches.

Faults: `mode` is None, "busy" (503), "reset", "silent" (no response) or "endless" (bytes without end) and applies
to the client IPs in `rejected_peers`, or to all clients if that is None;
`lost_response_ratio` is the fraction of requests that are executed but get no
response, nor does any later one on their connections; `delay_s` delays each response. All requests run on one event loop.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import replica_standin
import wire

HISTORY_RETENTION_S = 20
PAGE_SIZE = 50
COPY_INTERVAL_S = 1


class Store:
    def __init__(self, address, random):
        self.address = address
        self.random = random
        self.revision = 10
        self.items = {}  # key -> (value, revision, lease)
        self.history = []  # (time, event)
        self.compacted_revision = 0  # newest revision removed from the history
        self.leases = {}  # id -> [expiry, TTL in ms]
        self.next_lease = 77000
        self.era = 1
        self.copies = []  # (time, items, revision, leases, next lease)
        self.changed = asyncio.Condition()
        self.mode = None
        self.rejected_peers = None
        self.lost_response_ratio = 0.0
        self.delay_s = 0.0
        self.disturbed_until = 0.0
        self.server = None

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        asyncio.create_task(self._expire())

    def mark_disturbed(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    async def put(self, key, value, lease=0):
        """Writes a key on behalf of the operator or a replica; returns the revision."""
        async with self.changed:
            self._write(key, value, lease)
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        async with self.changed:
            self._delete(key)
            self.changed.notify_all()

    def compact(self):
        """Discards the history. A watch from an earlier revision then gets 410."""
        self.compacted_revision = self.revision
        self.history = []

    async def restore(self, age_s):
        """Replaces all state with a copy that is about `age_s` old. What the operators
        wrote since is written again; returns what the replicas had written."""
        current = {k: v for k, v in self.items.items() if k.startswith(("op/", "servers/"))}
        limit = time.monotonic() - age_s
        _, items, self.revision, leases, self.next_lease = next(
            (c for c in reversed(self.copies) if c[0] <= limit), self.copies[0])
        self.items, self.leases = dict(items), {k: list(v) for k, v in leases.items()}
        self.copies = []
        self.era += 1
        self.compact()
        for key, (value, _, lease) in current.items():
            if key.startswith("op/") and self.items.get(key, (None,))[0] != value:
                await self.put(key, value, lease)
        # Operators also repeat their deletions.
        for key in [k for k in self.items if k.startswith("op/") and k not in current]:
            await self.delete(key)
        return {k: v[0] for k, v in current.items() if k.startswith("servers/")}

    async def rewrite_entries(self, entries, restored_revision):
        """The replicas write their entries again, and those of others lapse. What
        changed since `restored_revision` is left as it is."""
        for key in [k for k in self.items if k.startswith("servers/") and k not in entries]:
            if self.items[key][1] <= restored_revision:
                await self.delete(key)
        for key, value in entries.items():
            known_value, revision, _ = self.items.get(key, (None, 0, 0))
            if known_value != value and revision <= restored_revision:
                await self.put(key, value)

    def _write(self, key, value, lease):
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.history.append((time.monotonic(), self._item(key)))

    def _delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((time.monotonic(), {
                "key": key, "revision": self.revision, "deleted": True}))

    def _item(self, key):
        value, revision, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": lease}

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if not self.copies or now - self.copies[-1][0] > COPY_INTERVAL_S:
                self.copies = self.copies[-20:] + [(
                    now, dict(self.items), self.revision,
                    {k: list(v) for k, v in self.leases.items()}, self.next_lease)]
            expired = [i for i, (expiry, _) in self.leases.items() if expiry < now]
            async with self.changed:
                for lease in expired:
                    del self.leases[lease]
                    for key in [k for k, v in self.items.items() if v[2] == lease]:
                        self._delete(key)
                if expired:
                    self.changed.notify_all()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                if self.mode and (self.rejected_peers is None or peer in self.rejected_peers):
                    if self.mode == "busy":
                        writer.write(wire.format_response(503))
                        continue
                    if self.mode == "reset":
                        wire.reset(writer)
                        return
                    if self.mode == "endless":
                        await replica_standin.send_endless(
                            writer, self.random.choice(replica_standin.ENDLESS))
                        return
                    await asyncio.sleep(3600)
                status, body = await self._call(request)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.random.random() < self.lost_response_ratio:
                    await asyncio.sleep(3600)
                writer.write(wire.format_response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", str(self.era))],
                    json.dumps(body).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/v1/kv-range":
            return self._range(query)
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return await self._transaction(body)
        if url.path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [time.monotonic() + body["ttl_ms"] / 1e3, body["ttl_ms"]]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/v1/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl / 1e3
            return 200, {"ttl_ms": ttl}
        return 404, {}

    def _range(self, query):
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {"items": [self._item(k) for k in keys[:PAGE_SIZE]],
                     "has_more": len(keys) > PAGE_SIZE, "current_rev": self.revision}

    async def _watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            self._trim_history()
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [e for _, e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(remaining_s, 5))
                except asyncio.TimeoutError:
                    pass

    def _trim_history(self):
        oldest_kept = time.monotonic() - HISTORY_RETENTION_S
        while self.history and self.history[0][0] < oldest_kept:
            self.compacted_revision = self.history.pop(0)[1]["revision"]

    async def _transaction(self, body):
        for expected in body["expected_revision"]:
            item = self.items.get(expected["key"])
            if (item[1] if item else 0) != expected["revision"]:
                return 412, {"items": []}
        if any(w["lease"] and w["lease"] not in self.leases for w in body["writes"]):
            return 404, {}
        async with self.changed:
            for write in body["writes"]:
                self._write(write["key"], base64.b64decode(write["value"]), write["lease"])
            for key in body["deletes"]:
                self._delete(key)
            self.changed.notify_all()
        return 200, {"revision": self.revision}
