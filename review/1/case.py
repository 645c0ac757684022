"""A full replica's rejection comes a second time, late, where the answer to the repeat of
the same request on the same connection is expected."""

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
# Two services with a replica each; most requests are for the first.
SERVICES = ("ledger", "shop-counter")
SLOTS, QUEUE, CONNECTIONS = 3, 1, 25
WORK_S = 0.012
REQUESTS_PER_S = 180
FIRST_SERVICE_SHARE = 0.95
TRAFFIC_S = 60
# The trouble, six times: garble, how = "extra late", share = 0.5, x = 0.04, for_s = 5.0.
TROUBLE_AT_S, TROUBLE_FOR_S = (6, 15, 24, 33, 42, 51), 5.0
EXTRA_RATIO = 0.04
PROMISE_NOT_RUN = (408, 421, 429, 503)


class Replica:
    """A sound replica: it runs SLOTS requests at a time, queues QUEUE more and rejects the
    rest. While it is faulty, a share of its answers come a second time, late: at the point
    where the next answer on the connection is expected."""

    def __init__(self, run, number):
        self.run = run
        self.name = f"i-{number:08x}"
        self.service = SERVICES[number]
        self.zone = standins.ZONE_NAMES[number]
        self.port = standins.free_ports(1)[0]
        self.random = random.Random(100 + number)
        self.waiting = self.running = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.faulty = False
        self.answers = self.extras = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        await asyncio.start_server(self.serve, standins.IP, self.port)
        await self.beat()

    async def beat(self):
        self.sequence += 1
        await self.run.store.put(f"servers/{self.name}", json.dumps({
            "service": self.service, "address": f"{standins.IP}:{self.port}", "zone": self.zone,
            "version": "1", "max_concurrency": SLOTS, "state": "ready",
            "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}).encode())

    async def serve(self, reader, writer):
        extra, extra_id = b"", ""
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                if extra:
                    again = extra_id == request.fields.get("x-goldcrestkeel-request-id")
                    self.run.record.write(
                        f"{self.name} sends the answer to {extra_id} a second time"
                        + (", at the repeat of the same request" if again else ""))
                    self.run.repeats_met += again
                    writer.write(extra)
                answer = await self.answer(request)
                writer.write(answer)
                await writer.drain()
                extra = b""
                if self.faulty:
                    self.answers += 1
                    if self.random.random() < 1.5 * EXTRA_RATIO and \
                            self.extras + 1 <= EXTRA_RATIO * self.answers:
                        self.extras += 1
                        extra = answer
                        extra_id = request.fields.get("x-goldcrestkeel-request-id")
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        request_id = request.fields.get("x-goldcrestkeel-request-id")
        if request_id is None:
            return wire.format_response(200, [("X-Goldcrestkeel-Instance-Id", self.name)])
        fields = [("X-Goldcrestkeel-Request-Id", request_id),
                  ("X-Goldcrestkeel-Server-Load", f"{self.running},{self.waiting},{SLOTS}")]
        if request.fields.get("x-goldcrestkeel-target-instance") != self.name:
            return wire.format_response(421, fields + [("X-Goldcrestkeel-Not-Executed", "1")])
        if self.slots.locked() and self.waiting >= QUEUE:
            self.run.record.write(f"{self.name} rejects {request_id}: 503, not executed")
            return wire.format_response(503, fields + [("X-Goldcrestkeel-Not-Executed", "1")])
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        self.run.runs[request_id].append(self.name)
        self.run.record.write(f"{self.name} runs {request_id}")
        await asyncio.sleep(WORK_S * self.random.lognormvariate(0, 0.5))
        self.running -= 1
        self.slots.release()
        stamp = f"{self.name[2:]}.{len(self.run.runs)}.200"
        return wire.format_response(
            200, fields + [("X-Goldcrestkeel-Server-Stamp", stamp)],
            f"held {request_id}".encode())


class Run:
    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.runs = collections.defaultdict(list)  # request id -> replicas that ran it
        self.statuses = {}
        self.repeats_met = 0  # second copies of rejections that met a repeat
        self.numbers = itertools.count(1)

    async def send(self, host, service):
        request_id = f"{next(self.numbers):016x}"
        self.record.write(f"sent {request_id} to {host.name}")
        answer = await standins.call(host.caller_port, "POST", f"/{service}/one", request_id,
                                     4000, b"hold one")
        self.statuses[request_id] = answer.status if answer else None
        self.record.write(f"answer to {request_id}: {self.statuses[request_id]}")


async def case(record, directory, hosts):
    store = standins.make_store(1)
    await store.start()
    run = Run(record, store)
    replicas = [Replica(run, n) for n in range(len(SERVICES))]
    for replica in replicas:
        await replica.start()
    await standins.write_config(
        store, 1, [standins.route(s, f"/{s}/", s, type="non_idempotent") for s in SERVICES],
        SERVICES, CONNECTIONS)
    hosts.extend(standins.EntryHost(n, store.address, directory, record)
                 for n in range(HOSTS))
    for host in hosts:
        host.start()
    await standins.wait_ready(hosts)
    await asyncio.sleep(8)
    draw = random.Random(7)
    began = time.monotonic()
    tasks = []
    while time.monotonic() < began + TRAFFIC_S:
        at = time.monotonic() - began
        replicas[0].faulty = standins.TROUBLE and \
            any(t <= at < t + TROUBLE_FOR_S for t in TROUBLE_AT_S)
        service = SERVICES[draw.random() > FIRST_SERVICE_SHARE]
        tasks.append(asyncio.create_task(run.send(draw.choice(hosts), service)))
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    twice = [i for i, names in run.runs.items() if len(names) > 1]
    refused = [i for i, status in run.statuses.items()
               if status in PROMISE_NOT_RUN and run.runs.get(i)]
    counts = collections.Counter(run.statuses.values())
    record.say(f"{len(run.statuses)} requests, statuses {dict(counts)}; "
               f"{sum(r.answers for r in replicas)} answers of faulty replicas, "
               f"{sum(r.extras for r in replicas)} of them twice, {run.repeats_met} of these "
               "where the answer to the repeat of the same request was expected")
    for request_id in twice:
        record.say(f"TWICE {request_id} ran on {run.runs[request_id]}, "
                   f"answered {run.statuses[request_id]}")
    for request_id in refused:
        record.say(f"REFUSED {request_id} was answered {run.statuses[request_id]} "
                   f"and ran on {run.runs[request_id]}")
    return standins.BROKEN if twice or refused else standins.HELD


if __name__ == "__main__":
    standins.main(FOLDER, case)
