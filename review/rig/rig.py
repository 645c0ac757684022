"""Stand-ins for the scripts of review/6 to review/10: the platform's store, replicas,
consumers, and the processes under test. Python 3 standard library only.

Everything listens on loopback addresses with free ports. The processes under test are
started with the command line and the settings template of deploy/.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REQUEST_ID = "X-Goldcrestkeel-Request-Id"
DEADLINE = "X-Goldcrestkeel-Deadline-Ms"
TARGET = "X-Goldcrestkeel-Target-Instance"
STAMP = "X-Goldcrestkeel-Server-Stamp"
NOT_EXECUTED = "X-Goldcrestkeel-Not-Executed"
INSTANCE = "X-Goldcrestkeel-Instance-Id"
LOAD = "X-Goldcrestkeel-Server-Load"

HEARTBEAT_S = 1.2
# The bounds of sites/anadeira-busca.toml, as a process is told them.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000,
          "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
          "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 54,
          "recovery_s": 12}
ZONES = {"lugo-a": "galicia", "oviedo-a": "asturias", "torrelavega-a": "cantabria"}


LOCK_PORT = 47111
given_ports = set()


def free_port(ip):
    """A port of ip that nothing uses and that was not given before."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if (ip, port) not in given_ports and port != LOCK_PORT:
            given_ports.add((ip, port))
            return port


def reserve_subnet():
    """The second byte of loopback addresses that no other run uses, and the socket that
    keeps it reserved."""
    for offset in range(100):
        subnet = 64 + (os.getpid() + offset) % 100
        lock = socket.socket()
        try:
            lock.bind((f"127.{subnet}.255.1", LOCK_PORT))
            lock.listen()
            return subnet, lock
        except OSError:
            lock.close()
    raise RuntimeError("no free loopback addresses")


# --- HTTP messages ---------------------------------------------------------------------

class Message:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    @property
    def method(self):
        return self.start.split(" ", 2)[0]

    @property
    def target(self):
        return self.start.split(" ", 2)[1]

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader, is_response=False):
    """The next message; None at the end of the stream. EOFError if it ends within one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("ended within a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif is_response:
            body = await reader.read()
    except asyncio.IncompleteReadError as error:
        raise EOFError("ended within a body") from error
    return Message(lines[0], fields, body)


def message(start, fields, body=b"", length=True):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, fields=(), body=b""):
    return message(f"HTTP/1.1 {status} Status", list(fields), body)


# --- The platform's store --------------------------------------------------------------

class Store:
    """Keys with revisions, leases and watches, as PROTOCOL.md describes them.

    mode: None, or "busy" (503), "reset" or "silent" while the store is down.
    stale_s: how old the state is that a serializable read shows.
    """

    HISTORY_S = 20
    PAGE = 500

    def __init__(self, ip):
        self.address = f"{ip}:{free_port(ip)}"
        self.revision = 10
        self.items = {}    # key -> (value, revision, created, lease)
        self.history = []  # (time, event)
        self.compacted = 0
        self.leases = {}   # id -> [end, ttl_ms]
        self.lease_ids = itertools.count(501)
        self.snapshots = []
        self.changed = asyncio.Condition()
        self.mode = None
        self.stale_s = 0.0
        self.calls = []    # (time, peer, method, target, status)
        self.open = set()
        self.silenced = set()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        self._expiry = asyncio.create_task(self._expire())

    def go_down(self, mode):
        self.mode = mode
        for writer in list(self.open):
            writer.transport.abort()

    def silence_open_connections(self):
        """Nothing comes back any more on the connections that are open now."""
        self.silenced |= self.open

    async def come_back(self):
        self.mode = None

    async def put(self, key, value, lease=0):
        async with self.changed:
            self._write(key, value, lease)
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        async with self.changed:
            self._delete(key)
            self.changed.notify_all()

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((time.monotonic(), self._item(key, self.items[key])))

    def _delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((time.monotonic(), {
                "key": key, "revision": self.revision, "deleted": True}))

    @staticmethod
    def _item(key, item):
        value, revision, created, lease = item
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            self.snapshots.append((now, dict(self.items), self.revision))
            while self.snapshots and self.snapshots[0][0] < now - 10:
                self.snapshots.pop(0)
            while self.history and self.history[0][0] < now - self.HISTORY_S:
                self.compacted = self.history.pop(0)[1]["revision"]
            ended = [i for i, (end, _) in self.leases.items() if end < now]
            if ended:
                async with self.changed:
                    for lease in ended:
                        del self.leases[lease]
                        for key in [k for k, v in self.items.items() if v[3] == lease]:
                            self._delete(key)
                    self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if self.mode == "busy":
                    writer.write(response(503))
                    continue
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, body = await self._call(request)
                if writer in self.silenced:
                    await asyncio.sleep(3600)
                if self.mode:
                    writer.transport.abort()
                    return
                self.calls.append((time.monotonic(), request.method, request.target, status))
                writer.write(response(status, [("Content-Type", "application/json"),
                                               ("Store-Era", "1")],
                                      json.dumps(body).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _call(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {"current_rev": self.revision,
                          **self._item(query["key"], item)}) if item else (404, {})
        if url.path == "/v1/kv-range":
            return 200, self._range(query)
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return await self._transaction(body)
        if url.path == "/v1/kv-lease":
            lease = next(self.lease_ids)
            self.leases[lease] = [time.monotonic() + body["ttl_ms"] / 1e3, body["ttl_ms"]]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[0] = time.monotonic() + lease[1] / 1e3
            return 200, {"ttl_ms": lease[1]}
        return 404, {}

    def _range(self, query):
        items, revision = self.items, self.revision
        if query.get("serializable") == "1" and self.stale_s:
            limit = time.monotonic() - self.stale_s
            for at, old_items, old_revision in reversed(self.snapshots):
                items, revision = old_items, old_revision
                if at <= limit:
                    break
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        return {"items": [self._item(k, items[k]) for k in keys[:self.PAGE]],
                "has_more": len(keys) > self.PAGE, "current_rev": revision}

    async def _watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e for _, e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transaction(self, body):
        for row in body.get("expected_revision", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"items": []}
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        async with self.changed:
            for write in writes:
                self._write(write["key"], base64.b64decode(write["value"]),
                            write.get("lease", 0))
            for key in body.get("deletes", []):
                self._delete(key)
            self.changed.notify_all()
        return 200, {"revision": self.revision}


# --- Replicas --------------------------------------------------------------------------

class Replica:
    """A replica of a service. behave(replica, request) is an optional coroutine that
    returns the bytes to send, CRASH, or None for a usual answer after work_s."""

    CRASH = object()

    def __init__(self, rig, service, zone, slots=6, connections=100, work_s=0.01,
                 behave=None):
        self.rig, self.service, self.zone = rig, service, zone
        self.slots, self.connections, self.work_s = slots, connections, work_s
        self.behave = behave
        self.address = f"{rig.replica_ip}:{free_port(rig.replica_ip)}"
        self.id = f"i-{next(rig.numbers):06x}"
        self.running = 0
        self.waiting = 0
        self.open = set()
        self.server = None
        self.down = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port))
        self.slot = asyncio.Semaphore(self.slots)
        self.down = False
        self._beat = asyncio.create_task(self._report())

    def entry(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "max_concurrency": self.slots, "state": state,
            "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}).encode()

    async def _report(self):
        while True:
            if not self.rig.store.mode:
                self.sequence += 1
                await self.rig.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process ends: its port is closed and its connections are reset."""
        self.down = True
        self._beat.cancel()
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def restart(self, after_s):
        """Back under another id, after its entry has lapsed or not."""
        await asyncio.sleep(after_s)
        await self.rig.store.delete(f"servers/{self.id}")
        self.id = f"i-{next(self.rig.numbers):06x}"
        await self.start()

    async def _serve(self, reader, writer):
        if len(self.open) >= self.connections:
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self._answer(request)
                if answer is Replica.CRASH:
                    return
                writer.write(answer)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def load(self):
        return (LOAD, f"{self.running},{self.waiting},{self.slots}")

    async def _answer(self, request):
        if request.target == "/healthz":
            return response(200, [(INSTANCE, self.id), self.load()])
        request_id = request.field(REQUEST_ID)
        echo = [(REQUEST_ID, request_id)]
        if request.field(TARGET, self.id) != self.id:
            return response(421, echo + [(NOT_EXECUTED, "1")])
        self.rig.note("arrived", request=request_id, service=self.service, replica=self.id,
                      target=request.target, deadline_ms=request.field(DEADLINE),
                      tenant=request.field("X-Goldcrestkeel-Tenant"))
        if self.waiting >= 4 * self.slots:
            return response(503, echo + [(NOT_EXECUTED, "1"), self.load()])
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            try:
                self.rig.note("ran", request=request_id, service=self.service,
                              replica=self.id, target=request.target)
                if self.behave:
                    answer = await self.behave(self, request)
                    if answer is not None:
                        return answer
                await asyncio.sleep(self.work_s)
                return self.usual_answer(request)
            finally:
                self.running -= 1

    def stamp(self, request):
        return f"{self.id}.{request.field(REQUEST_ID)}.{next(self.rig.numbers):x}"

    def usual_answer(self, request, status=200, body=b"done"):
        return response(status, [
            (REQUEST_ID, request.field(REQUEST_ID)), (STAMP, self.stamp(request)),
            self.load()], body)


# --- Processes under test --------------------------------------------------------------

def fill(template, values):
    """Fills a settings template as DEPLOY.md tells it: {{name}}, {{name|json}} and
    sections {{#name}} .. {{/name}}, {{^name}} .. {{/name}}."""
    def look(name):
        value = values
        for part in name.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def section(match):
        present = look(match[2]) not in (None, False)
        return match[3] if present == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = look(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Host:
    """A front machine: one process of the deploy file's only role."""

    def __init__(self, rig, number, zone):
        self.rig, self.zone = rig, zone
        self.name = f"frontend-{zone}-{number}"
        self.ip = f"127.{rig.subnet}.{number + 1}.1"
        self.port = {n: free_port(self.ip) for n in ("frontend", "readiness", "first", "last")}
        self.address = f"{self.ip}:{self.port['frontend']}"
        self.readiness = f"{self.ip}:{self.port['readiness']}"
        self.metrics = f"{self.ip}:{self.port['first']}"
        self.settings = f"{rig.folder}/{self.name}.json"
        self.log = f"{rig.folder}/{self.name}.log"
        self.process = None
        self.ended = False  # by a signal of the script
        self.starts = 0

    def start(self, bootstrap=None):
        with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
            role = tomllib.loads(file.read())["roles"]["entry"]
        with open(f"{ROOT}/{role['template']}", encoding="utf-8") as file:
            template = file.read()
        values = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "zones": ZONES,
            "bootstrap": self.starts == 0 if bootstrap is None else bootstrap,
            "limits": {"cpu_quota": 0.25, "memory_mb": 260, "max_fds": 4100},
            "listen_addrs": {"frontend": self.address, "readiness": self.readiness},
            "port_range": {"0": self.port["first"], "1": self.port["last"]},
            "platform": {"address": self.rig.store.address},
            "bounds": {**BOUNDS, **self.rig.bounds}}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill(template, values))
        words = [self.settings if w == "/etc/goldcrestkeel/settings.conf" else w
                 for w in shlex.split(role["run"])]
        self.starts += 1
        self.ended = False
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.rig.note("host_started", host=self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.ended = self.ended or number in (signal.SIGKILL, signal.SIGTERM)
            os.kill(self.process.pid, number)

    def is_alive(self):
        return self.process is not None and self.process.poll() is None


# --- Consumers -------------------------------------------------------------------------

class Answer:
    def __init__(self, status, fields, body, error=None):
        self.status, self.fields, self.body, self.error = status, fields, body, error

    def field(self, name):
        return self.fields.get(name.lower(), "")


class Rig:
    """One run: the store, replicas, hosts and the record."""

    def __init__(self, case, bounds=None):
        self.started = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case = case
        self.bounds = bounds or {}
        self.numbers = itertools.count(os.getpid() * 1000)
        self.subnet, self._lock = reserve_subnet()
        self.record = open(f"{case}/record.txt", "w", encoding="utf-8")
        self.events = []  # (time, event, details)
        self.store = Store(f"127.{self.subnet}.200.1")
        self.replica_ip = f"127.{self.subnet}.201.1"
        self.hosts, self.replicas = [], []
        self.request_numbers = itertools.count(1)
        self._folder = tempfile.TemporaryDirectory(prefix="gk-review-")
        self.folder = self._folder.name
        self.pools = {}

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **details):
        at = self.now()
        self.events.append((at, event, details))
        self.record.write(f"{at:9.3f} {event} " + " ".join(
            f"{k}={v}" for k, v in details.items()) + "\n")

    def select(self, event, **details):
        return [(at, d) for at, e, d in self.events
                if e == event and all(d.get(k) == v for k, v in details.items())]

    async def start(self, hosts, config, replicas, zones=tuple(ZONES)):
        await self.store.start()
        await self.configure(config)
        for replica in replicas:
            self.replicas.append(replica)
            await replica.start()
        for number in range(hosts):
            self.hosts.append(Host(self, number, zones[number % len(zones)]))
        for host in self.hosts:
            host.start()

    async def configure(self, config):
        self.note("config", version=config["version"])
        await self.store.put("op/config", json.dumps(config).encode())

    async def wait_ready(self, seconds=20):
        for host in self.hosts:
            end = self.now() + seconds
            while True:
                answer = await self.send(host.readiness, "GET", "/v1/readyz", new=True, quiet=True)
                if answer.status == 200:
                    break
                if self.now() > end or not host.is_alive():
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    async def send(self, address, method, target, host="shop.example", body=b"", fields=(),
                   deadline_ms=4000, new=False, quiet=False, request_id=None, timeout=None):
        """One consumer attempt over a kept connection, or a new one. Reads the answer."""
        request_id = request_id or f"{os.getpid():x}{next(self.request_numbers):010x}"
        lines = [("Host", host), (REQUEST_ID, request_id), (DEADLINE, deadline_ms)] + list(fields)
        data = message(f"{method} {target} HTTP/1.1", lines, body, bool(body))
        pool = self.pools.setdefault(address, [])
        if not quiet:
            self.note("sent", request=request_id, to=address, target=target)
        answer = None
        writer = None
        try:
            reader, writer = None, None
            while pool and not new:
                reader, writer = pool.pop()
                if not reader.at_eof() and not writer.transport.is_closing():
                    break
                writer.close()
                reader, writer = None, None
            if not writer:
                ip, port = address.split(":")
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1)
            writer.write(data)
            reply = await asyncio.wait_for(read_message(reader, True),
                                           timeout or deadline_ms / 1e3 + 1)
            if reply is None:
                answer = Answer(0, {}, b"", "closed")
            else:
                answer = Answer(reply.status, reply.fields, reply.body)
                if not new and reply.field("connection") != "close":
                    pool.append((reader, writer))
                    writer = None
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            answer = Answer(0, {}, b"", type(error).__name__)
        finally:
            if writer:
                writer.close()
        answer.request_id = request_id
        if not quiet:
            self.note("answered", request=request_id, status=answer.status,
                      stamp=answer.field(STAMP), error=answer.error,
                      retry_after=answer.field("Retry-After"))
        return answer

    async def stop(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                host.process.wait()

    def remove_folder(self):
        self._folder.cleanup()

    def host_events(self, host, event):
        with open(host.log, encoding="utf-8", errors="replace") as file:
            return [json.loads(l) for l in file if f'"event":"{event}"' in l]


def run(case_file, scenario, bounds=None):
    """Runs scenario(rig), which returns (broken, text). Exit code: 1 if the rule was
    broken, 0 if it held, 2 if the case could not run."""
    case = os.path.dirname(os.path.abspath(case_file))

    async def main():
        rig = Rig(case, bounds)
        # A script that is ended from outside ends its processes, too.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        try:
            broken, text = await asyncio.wait_for(scenario(rig), 115)
            dead = [h.name for h in rig.hosts if not h.is_alive() and not h.ended]
            verdict = "BROKEN" if broken else "held"
            rig.note("verdict", verdict=verdict, text=text)
            print(f"{verdict}: {text}" + (f"; ended by themselves: {dead}" if dead else ""))
            return 1 if broken else 0
        finally:
            await rig.stop()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", rig.folder, os.environ["KEEP_LOGS"]], check=False)
            rig.record.close()
            rig.remove_folder()
    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)


def route(name, prefix, service=None, **more):
    """A route of the one host name that consumers use."""
    fields = {"name": name, "host": "shop.example", "path_prefix": prefix,
              "type": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 600,
              "attempts": 2, "priority": 1, **more}
    if service:
        fields["service"] = service
    return fields


def config(version, routes, services, **more):
    return {"version": version, "routes": routes,
            "services": [{"name": n, "health_check": "/healthz", "max_connections": 100}
                         for n in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}, **more}
