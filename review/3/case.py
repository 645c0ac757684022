"""A request crashes each replica that begins to run it, and comes again."""

import asyncio
import collections
import itertools
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402
from standins import wire  # noqa: E402

HOSTS = 3
SERVICE = "ledger"
REPLICAS = 10
SLOTS, CONNECTIONS = 6, 100
WORK_S = 0.16
# Sound requests, which are not idempotent, of other consumers.
SOUND_PER_S = 45
# The trouble: this request crashes each replica that begins to run it. Its consumer sends it
# again, each time at another machine.
CRASHING_PATH, CRASHING_BODY = "/lookup/ring-joint", b"all ring joints"
SENT_AGAIN_S = 3.0
ATTEMPTS_OF_CONSUMER = 20
BACK_AFTER_S = 3.0
HEARTBEAT_S = 1.2
CONTACT_S = standins.BOUNDS["contact_ms"] / 1e3
MOST_RETRIES = 3


class Replica:
    """A replica that is back some seconds after a crash, as a new instance at the same
    address. Its entry goes after three intervals of silence."""

    def __init__(self, run, number):
        self.run = run
        self.number = number
        self.zone = standins.ZONE_NAMES[number % 3]
        self.port = standins.free_ports(1)[0]
        self.starts = 0
        self.name = ""
        self.running = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.starts += 1
        self.name = f"i-{self.number:04x}{self.starts:04x}"
        self.running = 0
        self.server = await asyncio.start_server(self.serve, standins.IP, self.port)
        await self.run.store.put(f"servers/{self.name}", json.dumps({
            "service": SERVICE, "address": f"{standins.IP}:{self.port}", "zone": self.zone,
            "version": "1", "max_concurrency": SLOTS, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": int(time.time() * 1000)}).encode())

    async def crash(self):
        name = self.name
        self.server.close()
        self.name = ""
        for writer in list(self.writers):
            wire.reset(writer)
        asyncio.get_running_loop().create_task(self.come_back())
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.run.store.delete(f"servers/{name}")

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        name = self.name
        try:
            while name and name == self.name:
                request = await wire.read_message(reader)
                if request is None or name != self.name:
                    break
                answer = await self.answer(request, name)
                if answer is None or name != self.name:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, name):
        request_id = request.fields.get("x-goldcrestkeel-request-id")
        if request_id is None:
            return wire.format_response(200, [("X-Goldcrestkeel-Instance-Id", name)])
        fields = [("X-Goldcrestkeel-Request-Id", request_id),
                  ("X-Goldcrestkeel-Server-Load", f"{self.running},0,{SLOTS}")]
        if request.fields.get("x-goldcrestkeel-target-instance") != name:
            return wire.format_response(421, fields + [("X-Goldcrestkeel-Not-Executed", "1")])
        crashing = request.target == CRASHING_PATH
        if crashing:
            self.run.arrivals.append((time.monotonic(), request_id))
        self.run.record.write(f"{name} runs {request_id}{' (crashing)' if crashing else ''}")
        if crashing and standins.TROUBLE:
            self.run.crashes.append(time.monotonic())
            self.run.record.write(f"{name} crashes, {self.running} sound requests at work")
            asyncio.get_running_loop().create_task(self.crash())
            return None
        self.running += 1
        self.run.ran.add(request_id)
        await asyncio.sleep(WORK_S * self.run.draw.lognormvariate(0, 0.5))
        self.running -= 1
        return wire.format_response(
            200, fields + [("X-Goldcrestkeel-Server-Stamp", f"{name}.{request_id}")],
            request_id.encode())


class Run:
    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.draw = random.Random(3)
        self.numbers = itertools.count(1)
        self.arrivals = []  # (time, request id) of the crashing request at replicas
        self.crashes = []
        self.crashing_sent = {}  # request id -> time
        self.statuses = {}  # of sound requests
        self.ran = set()
        self.stopped = False

    async def send(self, host, method, path, body):
        request_id = f"{next(self.numbers):016x}"
        if path == CRASHING_PATH:
            self.crashing_sent[request_id] = time.monotonic()
        self.record.write(f"sent {request_id} {method} {path} to {host.name}")
        answer = await standins.call(host.caller_port, method, path, request_id, 4000, body)
        status = answer.status if answer else None
        if path != CRASHING_PATH:
            self.statuses[request_id] = status
        self.record.write(f"answer to {request_id}: {status}")

    async def sound_traffic(self, hosts):
        tasks = []
        while not self.stopped:
            await asyncio.sleep(self.draw.expovariate(SOUND_PER_S))
            tasks.append(asyncio.create_task(self.send(
                self.draw.choice(hosts), "POST", "/holds/one", b"hold one")))
        await asyncio.gather(*tasks)


async def case(record, directory, hosts):
    store = standins.make_store(1)
    await store.start()
    run = Run(record, store)
    for number in range(REPLICAS):
        await Replica(run, number).start()
    await standins.write_config(
        store, 1, [standins.route("holds", "/holds/", SERVICE, type="non_idempotent"),
                   standins.route("lookup", "/lookup/", SERVICE)],
        [SERVICE], CONNECTIONS)
    hosts.extend(standins.EntryHost(n, store.address, directory, record)
                 for n in range(HOSTS))
    for host in hosts:
        host.start()
    await standins.wait_ready(hosts)
    await asyncio.sleep(10)
    traffic = asyncio.create_task(run.sound_traffic(hosts))
    await asyncio.sleep(3)
    for attempt in range(ATTEMPTS_OF_CONSUMER):
        began = time.monotonic()
        await run.send(hosts[attempt % HOSTS], "GET", CRASHING_PATH, CRASHING_BODY)
        await asyncio.sleep(max(0, began + SENT_AGAIN_S - time.monotonic()))
    run.stopped = True
    await traffic

    retries = set()
    if len(run.crashes) >= 3:
        known_at = run.crashes[2] + CONTACT_S
        retries = {i for at, i in run.arrivals if at > known_at}
    counts = collections.Counter(run.statuses.values())
    lost = sum(1 for i, status in run.statuses.items() if i in run.ran and status != 200)
    record.say(f"the request was sent {len(run.crashing_sent)} times and crashed "
               f"{len(run.crashes)} replicas; {len(retries)} of these times it reached "
               f"replicas later than {CONTACT_S:.0f} s after the third crash")
    record.say(f"{len(run.statuses)} sound requests, statuses {dict(counts)}; {lost} had begun "
               "to run and got no success")
    return standins.BROKEN if len(retries) > MOST_RETRIES else standins.HELD


if __name__ == "__main__":
    standins.main(FOLDER, case)
