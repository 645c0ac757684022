"""The store loses answers for some seconds, that of a watch among them. Later a host still
handles requests by the configuration from before."""

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

HOSTS = 7
SERVICES = ("ledger", "shop-counter")
REPLICAS_PER_SERVICE = 2
WORK_S = 0.02
REQUESTS_PER_S_AND_HOST = 5
# Hosts have their first watch 7 s after they started.
SETTLE_S = 12
# The trouble: platform_lost, x = 0.35, for_s = 4.5.
LOST_RATIO, TROUBLE_FOR_S = 0.35, 4.5
# Planned work in this time, which is also done without the trouble.
CHANGES_AT_S = (2.4, 3.3, 4.2)
TRAFFIC_AFTER_S = 20
CONTACT_S = standins.BOUNDS["contact_ms"] / 1e3
APPLY_S = standins.BOUNDS["config_apply_ms"] / 1e3


class LosingStore(standins.Store):
    """Executes each call, but while `losing` is set, a share of the answers is lost. The
    connection then returns nothing further."""

    def __init__(self, address, draw, record):
        super().__init__(address, draw)
        self.record = record
        self.losing = False
        self.answers = self.lost = 0

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                status, body = await self._call(request)
                if self.losing:
                    self.answers += 1
                    if self.random.random() < 1.5 * LOST_RATIO and \
                            self.lost + 1 <= LOST_RATIO * self.answers:
                        self.lost += 1
                        self.record.write(
                            f"store: answer lost: {request.method} {request.target}")
                        await asyncio.sleep(3600)
                writer.write(wire.format_response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", str(self.era))], json.dumps(body).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Replica:
    def __init__(self, run, number, service):
        self.run = run
        self.name = f"i-{number:08x}"
        self.service = service
        self.zone = standins.ZONE_NAMES[number % 3]
        self.port = standins.free_ports(1)[0]
        self.born = int(time.time() * 1000)
        self.running = 0

    async def start(self):
        await asyncio.start_server(self.serve, standins.IP, self.port)
        await self.run.store.put(f"servers/{self.name}", json.dumps({
            "service": self.service, "address": f"{standins.IP}:{self.port}", "zone": self.zone,
            "version": "1", "max_concurrency": 6, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": self.born}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                if request is None:
                    break
                writer.write(await self.answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        request_id = request.fields.get("x-goldcrestkeel-request-id")
        if request_id is None:
            return wire.format_response(200, [("X-Goldcrestkeel-Instance-Id", self.name)])
        fields = [("X-Goldcrestkeel-Request-Id", request_id),
                  ("X-Goldcrestkeel-Server-Load", f"{self.running},0,6")]
        if request.fields.get("x-goldcrestkeel-target-instance") != self.name:
            return wire.format_response(421, fields + [("X-Goldcrestkeel-Not-Executed", "1")])
        self.running += 1
        self.run.ran_by[request_id].append(self.service)
        self.run.record.write(f"{self.name} of {self.service} runs {request_id}")
        await asyncio.sleep(WORK_S)
        self.running -= 1
        return wire.format_response(
            200, fields + [("X-Goldcrestkeel-Server-Stamp", f"{self.name}.{request_id}")],
            request_id.encode())


class Run:
    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.ran_by = collections.defaultdict(list)
        self.sent = {}  # request id -> (time, host)
        self.numbers = itertools.count(1)
        self.stopped = False

    async def consume(self, host):
        """Sends requests to one host, each on a new connection."""
        draw = random.Random(host.name)
        while not self.stopped:
            await asyncio.sleep(draw.expovariate(REQUESTS_PER_S_AND_HOST))
            request_id = f"{next(self.numbers):016x}"
            self.sent[request_id] = (time.monotonic(), host)
            self.record.write(f"sent {request_id} to {host.name}")
            answer = await standins.call(
                host.caller_port, "GET", "/invoice/one", request_id, 4000)
            self.record.write(f"answer to {request_id}: {answer.status if answer else None}")


def routes(service, idle=()):
    return [standins.route("invoice", "/invoice/", service)] + \
        [standins.route(name, f"/{name}/", "ledger") for name in idle]


async def case(record, directory, hosts):
    store = LosingStore(f"{standins.IP}:{standins.free_ports(1)[0]}",
                        random.Random(), record)
    await store.start()
    run = Run(record, store)
    for number in range(len(SERVICES) * REPLICAS_PER_SERVICE):
        await Replica(run, number, SERVICES[number % len(SERVICES)]).start()
    await standins.write_config(store, 10, routes("ledger"), SERVICES, 100)
    hosts.extend(standins.EntryHost(n, store.address, directory, record)
                 for n in range(HOSTS))
    for host in hosts:
        host.start()
    await standins.wait_ready(hosts)
    await asyncio.sleep(SETTLE_S)
    tasks = [asyncio.create_task(run.consume(host)) for host in hosts]
    await asyncio.sleep(1)

    began = time.monotonic()
    store.losing = standins.TROUBLE
    record.write("trouble begins" if store.losing else "no trouble")
    idle = []
    for version, at in zip((11, 12), CHANGES_AT_S):
        await asyncio.sleep(began + at - time.monotonic())
        idle.append(f"idle{version}")
        await standins.write_config(store, version, routes("ledger", idle), SERVICES, 100)
        record.write(f"version {version} acknowledged: a route is added")
    await asyncio.sleep(began + CHANGES_AT_S[2] - time.monotonic())
    await standins.write_config(store, 15, routes("shop-counter", idle), SERVICES, 100)
    acknowledged = time.monotonic()
    record.write("version 15 acknowledged: the route invoice moves to shop-counter")
    await asyncio.sleep(began + TROUBLE_FOR_S - time.monotonic())
    store.losing = False
    ended = time.monotonic()
    record.write("trouble has ended")
    await asyncio.sleep(TRAFFIC_AFTER_S)
    run.stopped = True
    await asyncio.gather(*tasks)

    due = max(acknowledged + APPLY_S, ended + CONTACT_S)
    late = collections.defaultdict(list)
    for request_id, (at, host) in run.sent.items():
        if at > due and "ledger" in run.ran_by[request_id]:
            late[host.name].append(at - acknowledged)
    after = sum(at > due for at, _ in run.sent.values())
    record.say(f"{len(run.sent)} requests, {after} of them sent when version 15 was due; "
               f"{store.lost} of {store.answers} answers of the store were lost in "
               f"{TROUBLE_FOR_S} s")
    for name, times in sorted(late.items()):
        record.say(f"CONFIG {name}: {len(times)} requests run by the old service, sent up to "
                   f"{max(times):.1f} s after the ack")
    return standins.BROKEN if late else standins.HELD


if __name__ == "__main__":
    standins.main(FOLDER, case)
