"""Random faults on the processes of a fleet."""

import collections
import heapq
import itertools
import random
import signal
import time

# Longest time after a drain starts in which new work may arrive.
DRAIN_S = 3.0
# Times that a crashing statement is sent, and replicas of a shard that it may cost.
CRASH_ATTEMPTS = 12
MAX_CRASHES = 2


class Injector:
    """Applies random faults and takes them back after a random time."""

    def __init__(self, run):
        self.run = run
        self.fleet = run.fleet
        self.random = random.Random(f"{run.options.seed} faults")
        self.pending = []  # (time, number, description, action)
        self.numbers = itertools.count()
        self.busy = set()
        self.host_pauses = []
        self.counts = collections.Counter()
        self.events = [
            (6, self.damage_replies), (2, self.kill_replica), (2, self.pause_replica),
            (1, self.kill_host), (1, self.pause_host), (2, self.store_fault),
            (2, self.drain), (1, self.change_index), (1, self.mislead),
            (1, self.crash),
        ]

    def later(self, seconds, what, action):
        heapq.heappush(self.pending, (time.monotonic() + seconds,
                                      next(self.numbers), what, action))

    def take_back(self, everything=False):
        while self.pending and (everything or self.pending[0][0] <= time.monotonic()):
            _, _, what, action = heapq.heappop(self.pending)
            self.run.log(what)
            action()

    def inject(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            weights, events = zip(*self.events)
            event = self.random.choices(events, weights)[0]
            self.counts[event.__name__] += 1
            event()
            wait = time.monotonic() + self.random.uniform(0.2, 1.0)
            while time.monotonic() < wait:
                self.take_back()
                time.sleep(0.05)
        self.take_back(everything=True)

    def take(self, names):
        """A random process that is under no fault, or None."""
        free = [n for n in names if n not in self.busy]
        if not free:
            return None
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def free(self, name, action):
        def run():
            action()
            self.busy.discard(name)
        return run

    def damage_replies(self):
        replica = self.take(self.fleet.replicas)
        if not replica:
            return
        names = ["truncate", "corrupt", "late", "cross", "duplicate", "lose", "hang",
                 "stop_early", "slow_fraction"]
        faults = {n: round(self.random.uniform(0.05, 0.5), 2)
                  for n in self.random.sample(names, self.random.randint(1, 4))}
        self.run.log(f"{replica} {faults}")
        self.fleet.admin(replica, {"late_ms": self.random.choice((50, 300, 2000)), **faults})
        self.later(self.random.uniform(1, 5), f"{replica} reset", self.free(
            replica, lambda: self.fleet.admin(replica, {"reset": True})))

    def kill_replica(self):
        replica = self.take(self.fleet.replicas)
        if replica:
            self.run.log(f"kill {replica}")
            self.fleet.kill(replica)
            self.later(self.random.uniform(0.5, 4), f"restart {replica}",
                       self.free(replica, lambda: self.run.restart_replica(replica)))

    def pause(self, name, seconds):
        self.run.log(f"pause {name} for {seconds:.1f} s")
        self.fleet.kill(name, signal.SIGSTOP)
        start = time.monotonic()

        def resume():
            self.fleet.kill(name, signal.SIGCONT)
            if name in self.fleet.hosts:
                self.host_pauses.append((start, time.monotonic()))
        self.later(seconds, f"resume {name}", self.free(name, resume))

    def pause_replica(self):
        replica = self.take(self.fleet.replicas)
        if replica:
            self.pause(replica, self.random.uniform(0.3, 4))

    def pause_host(self):
        if len(self.busy & set(self.fleet.hosts)) < len(self.fleet.hosts) - 1:
            # Longer than a lease, so that another host takes its ranges over.
            self.pause(self.take(self.fleet.hosts), self.random.choice((1, 5, 14)))

    def kill_host(self):
        if len(self.busy & set(self.fleet.hosts)) < len(self.fleet.hosts) - 1:
            host = self.take(self.fleet.hosts)
            self.run.log(f"kill {host}")
            self.fleet.kill(host)
            self.later(self.random.uniform(0.5, 5), f"restart {host}",
                       self.free(host, lambda: self.fleet.restart(host)))

    def store_fault(self):
        if not self.take(["platform"]):
            return
        fault = self.random.choice([{"outage": "refuse"}, {"outage": "hang"},
                                    {"delay_ms": 300}, {"lose_reply": 0.3},
                                    {"fail": 0.3}])
        self.run.log(f"store {fault}")
        self.fleet.platform(fault)
        healthy = {"outage": "none", "delay_ms": 0, "lose_reply": 0, "fail": 0}
        self.later(self.random.uniform(1, 8), "store healthy", self.free(
            "platform", lambda: self.fleet.platform(healthy)))

    def drain(self):
        replica = self.take(self.fleet.replicas)
        if not replica:
            return
        self.run.log(f"drain {replica}")
        start = time.monotonic()
        self.fleet.admin(replica, {"drain": True})

        def end():
            late = self.fleet.admin(replica, {})["work_after_drain"]
            # A host that was paused or has just started cannot know yet.
            paused = any(b > start and a < time.monotonic() for a, b in self.host_pauses)
            unsure = paused or bool(self.busy & set(self.fleet.hosts))
            if late and not unsure:
                self.run.fault(f"{replica}: {late} new requests more than {DRAIN_S} s "
                               "after its drain started")
            elif late:
                self.counts["late work from a host under a fault"] += late
            self.fleet.kill(replica)
            self.fleet.processes[replica].wait()
            self.run.restart_replica(replica)
        self.later(self.random.uniform(4, 7), f"restart drained {replica}",
                   self.free(replica, end))

    def mislead(self):
        replica = self.take(self.fleet.replicas)
        if replica:
            fault = self.random.choice([
                {"status_lag_ms": 3000},
                {"status_override": {"in_flight": 0, "queued": 0, "slots": 1000}},
                {"status_override": {"in_flight": 1000, "queued": 1000}}])
            self.run.log(f"{replica} {fault}")
            self.fleet.admin(replica, fault)
            self.later(self.random.uniform(2, 6), f"{replica} reset", self.free(
                replica, lambda: self.fleet.admin(replica, {"reset": True})))

    def crash(self):
        """A statement that crashes each replica which runs it, sent again and again
        through hosts that are under no fault."""
        service = self.random.choice(list(self.run.snapshots))
        replicas = [s["id"] for s in self.run.services[service]["replicas"]]
        hosts = sorted(set(self.fleet.hosts) - self.busy)
        if self.busy & set(replicas) or len(hosts) < 2:
            return
        self.busy.update(replicas, hosts)
        word = f"crash{next(self.numbers)}"
        self.run.log(f"{service}: {word} crashes replicas")
        for replica in replicas:
            self.fleet.admin(replica, {"crash_on": word})
        for _ in range(CRASH_ATTEMPTS):
            host = self.random.choice(hosts)
            status, answer = self.run.callers.send(
                host, f"/v1/services/{service}/search", {"query": f"oak {word}"})
            self.run.callers.count("crash", status, answer)
            time.sleep(0.1)
        lost = [r for r in replicas if not self.fleet.alive(r)]
        by_shard = collections.Counter(r.rsplit("-", 1)[0] for r in lost)
        self.counts["replicas lost to a crashing statement"] += len(lost)
        if max(by_shard.values(), default=0) > MAX_CRASHES:
            self.run.fault(f"{service}: {word} crashed {dict(by_shard)} replicas")
        for replica in replicas:
            if replica in lost:
                self.run.restart_replica(replica)
            else:
                self.fleet.admin(replica, {"reset": True})
        self.busy.difference_update(replicas, hosts)

    def change_index(self):
        service = self.random.choice(list(self.run.snapshots))
        if service in self.busy:
            return
        self.busy.add(service)
        old, new = self.run.make_index(service)
        self.run.log(f"{service} version {new} replaces {old}")
        for spec in self.run.services[service]["replicas"]:
            self.run.try_admin(spec["id"], {"load": self.run.indexes[service][spec["shard"]]})
            time.sleep(self.random.uniform(0, 0.05))

        def retire():
            for spec in self.run.services[service]["replicas"]:
                self.run.try_admin(spec["id"], {"retire": old})
        self.later(self.random.uniform(0.2, 3), f"{service} retires {old}",
                   self.free(service, retire))
