"""Stand-ins for the scripts of this review: settings, entry hosts, store, record.

The store and the HTTP messages are those of scripts/lib. Everything listens on loopback
addresses with free ports.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, f"{ROOT}/scripts/lib")

import wire  # noqa: E402
from store_standin import Store  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ZONES = {"lugo-a": "galicia", "oviedo-a": "asturias", "torrelavega-a": "cantabria"}
ZONE_NAMES = list(ZONES)
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000, "config_apply_ms": 3000, "grace_s": 6,
          "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 54}
HOST = "review.example"
# A loopback address for this run, whose ports no outgoing connection takes.
IP = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt in the folder of the case; times are seconds from the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


_taken_ports = set()


def free_ports(count):
    """Free TCP ports, none of them twice: they are bound only later."""
    ports = []
    while len(ports) < count:
        with socket.socket() as one:
            one.bind((IP, 0))
            port = one.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            ports.append(port)
    return ports


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills in {{a.b}} and {{a.b|json}}, all that the template of this project uses."""
    def replace(match):
        value = _lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", replace, template)


class EntryHost:
    """One process, started with the command of the deploy file."""

    def __init__(self, number, store_address, directory, record):
        self.name = f"frontend-{number}"
        self.zone = ZONE_NAMES[number % len(ZONE_NAMES)]
        self.directory = directory
        self.record = record
        caller, ready, metrics, relay = free_ports(4)
        self.caller_port = caller
        self.ready_port = ready
        self.fields = {
            "node_name": self.name, "zone": self.zone, "ip": IP,
            "zones": ZONES, "bootstrap": True, "limits": {"cpu_quota": 0.25},
            "listen_addrs": {"frontend": f"{IP}:{caller}",
                             "readiness": f"{IP}:{ready}"},
            "port_range": [metrics, relay], "platform": {"address": store_address},
            "bounds": BOUNDS}
        self.process = None

    def start(self):
        with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.M))
        with open(f"{ROOT}/{role['template']}", encoding="utf-8") as file:
            settings = render(file.read(), self.fields)
        path = f"{self.directory}/{self.name}.conf"
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = role["run"].replace("/etc/goldcrestkeel/settings.conf", path).split()
        if not os.access(f"{ROOT}/{command[0]}", os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        with open(f"{self.directory}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.directory})
        self.record.write(f"{self.name} started, process {self.process.pid}")

    def end(self):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def log_lines(self):
        try:
            with open(f"{self.directory}/{self.name}.log", encoding="utf-8") as file:
                return file.read().splitlines()
        except OSError:
            return []

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(IP, self.ready_port)
            writer.write(wire.format_message("GET /v1/readyz HTTP/1.1", [("Host", "x")]))
            answer = await asyncio.wait_for(wire.read_message(reader, True), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False


async def wait_ready(hosts, timeout_s=25):
    deadline = time.monotonic() + timeout_s
    while not all([await host.is_ready() for host in hosts]):
        if time.monotonic() > deadline:
            logs = [line for host in hosts for line in host.log_lines()
                    if not line.startswith("{")]
            raise CannotRun(f"an entry host is not ready {logs}")
        await asyncio.sleep(0.1)


def route(name, prefix, service, **more):
    """A route of the configuration as the pages have it."""
    entry = {"name": name, "host": HOST, "path_prefix": prefix, "type": "idempotent",
             "service": service, "attempts": 2, "timeout_ms": 4000,
             "target_latency_ms": 600, "priority": 1}
    entry.update(more)
    return entry


async def write_config(store, version, routes, services, connections):
    document = {"version": version, "routes": routes,
                "services": [{"name": s, "health_check": "/healthz",
                              "max_connections": connections} for s in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}
    await store.put("op/config", json.dumps(document).encode())


async def call(port, method, path, request_id, deadline_ms, body=b"", stream=None):
    """Sends one request on a new connection (or on `stream`); returns the answer or None
    if the connection ended without a complete one."""
    fields = [("Host", HOST), ("X-Goldcrestkeel-Request-Id", request_id),
              ("X-Goldcrestkeel-Deadline-Ms", str(deadline_ms))]
    writer = None
    try:
        reader, writer = stream or await asyncio.wait_for(
            asyncio.open_connection(IP, port), 1)
        writer.write(wire.format_message(f"{method} {path} HTTP/1.1", fields, body))
        return await asyncio.wait_for(wire.read_message(reader, True),
                                      deadline_ms / 1e3 + 1)
    except (OSError, EOFError, asyncio.TimeoutError):
        return None
    finally:
        if writer and not stream:
            writer.close()


def run_case(folder, case, limit_s=115):
    """Runs case(record, directory, processes) and returns the exit code."""
    record = Record(folder)
    hosts = []
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as directory:
            try:
                loop = asyncio.new_event_loop()
                return loop.run_until_complete(
                    asyncio.wait_for(case(record, directory, hosts), limit_s))
            finally:
                for host in hosts:
                    host.end()
    except CannotRun as error:
        record.say(f"the case cannot run: {error}")
        return CANNOT_RUN
    except Exception as error:  # noqa: BLE001
        record.say(f"the case cannot run: {type(error).__name__}: {error}")
        return CANNOT_RUN
    finally:
        record.close()


def main(folder, case):
    """Ends this process without waiting for connections that are still open."""
    code = run_case(folder, case)
    sys.stdout.flush()
    os._exit(code)


def make_store(seed):
    return Store(f"{IP}:{free_ports(1)[0]}", random.Random(seed))
