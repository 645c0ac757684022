"""Simulated store of the users' platform: keys with revisions, leases, watches.

Faults: `mode` is None, "busy" (503), "reset" or "silent" for the callers in
`turned_away` (all if it is None); `lose` is the share of writes whose answer is
lost; `slow_s` delays each answer. Every answer goes out on the same event loop.
"""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

HISTORY_S = 20
PAGE = 50


class Store:
    def __init__(self, address, random):
        self.address = address
        self.random = random
        self.revision = 10
        self.items = {}    # key -> (value, revision, lease)
        self.history = []  # (time, event)
        self.forgotten = 0  # newest revision that the history has lost
        self.leases = {}   # id -> [expiry, ttl]
        self.lease_ids = itertools.count(77000)
        self.changed = asyncio.Condition()
        self.mode = None
        self.turned_away = None
        self.lose = 0.0
        self.slow_s = 0.0
        self.disturbed_until = 0.0
        self.server = None

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        asyncio.create_task(self._expire())

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    async def put(self, key, value, lease=0):
        """Writes as the operator or a replica does."""
        async with self.changed:
            self._write(key, value, lease)
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        async with self.changed:
            self._delete(key)
            self.changed.notify_all()

    def compact(self):
        """Forgets the history; watches that wait are told at their next call."""
        self.forgotten = self.revision
        self.history = []

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
            ended = [i for i, (expiry, _) in self.leases.items() if expiry < now]
            async with self.changed:
                for lease in ended:
                    del self.leases[lease]
                    for key in [k for k, v in self.items.items() if v[2] == lease]:
                        self._delete(key)
                if ended:
                    self.changed.notify_all()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                if self.mode and (self.turned_away is None or peer in self.turned_away):
                    if self.mode == "busy":
                        writer.write(wire.answer(503))
                        continue
                    if self.mode == "reset":
                        wire.reset(writer)
                        return
                    await asyncio.sleep(3600)
                status, body = await self._call(request)
                if self.slow_s:
                    await asyncio.sleep(self.slow_s)
                if request.method == "POST" and self.random.random() < self.lose:
                    await asyncio.sleep(3600)
                writer.write(wire.answer(status, [("Content-Type", "application/json")],
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
            lease = next(self.lease_ids)
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
        return 200, {"items": [self._item(k) for k in keys[:PAGE]],
                     "has_more": len(keys) > PAGE, "current_rev": self.revision}

    async def _watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            self._forget_old()
            if after < self.forgotten:
                return 410, {}
            events = [e for _, e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 5))
                except asyncio.TimeoutError:
                    pass

    def _forget_old(self):
        limit = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.forgotten = self.history.pop(0)[1]["revision"]

    async def _transaction(self, body):
        for row in body["expected_revision"]:
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
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
