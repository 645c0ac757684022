"""Random faults for the processes of a fleet."""

import collections
import heapq
import itertools
import random
import signal
import time

# Time after the start of a drain in which new requests may still arrive.
DRAIN_S = 3.0
# How often a crashing statement is sent, and how many replicas of a shard it may
# crash before the hosts quarantine it.
CRASH_ATTEMPTS = 12
MAX_CRASHES = 2


class Injector:
    """Applies random faults and reverts each after a random time."""

    def __init__(self, run):
        self.run = run
        self.fleet = run.fleet
        self.random = random.Random(f"{run.options.seed} faults")
        self.pending = []  # (time, number, description, action)
        self.sequence = itertools.count()
        self.busy = set()
        self.host_pauses = []
        self.counts = collections.Counter()
        # The method names appear in the printed counts.
        self.events = [
            (6, self.damage_replies), (2, self.kill_replica), (2, self.pause_replica),
            (1, self.kill_host), (1, self.pause_host), (2, self.store_fault),
            (2, self.drain), (1, self.change_index), (1, self.mislead),
            (1, self.crash),
        ]

    def schedule(self, seconds, description, action):
        heapq.heappush(self.pending, (time.monotonic() + seconds,
                                      next(self.sequence), description, action))

    def run_due_actions(self, run_all=False):
        while self.pending and (run_all or self.pending[0][0] <= time.monotonic()):
            _, _, description, action = heapq.heappop(self.pending)
            self.run.log(description)
            action()

    def inject(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            weights, events = zip(*self.events)
            event = self.random.choices(events, weights)[0]
            self.counts[event.__name__] += 1
            event()
            next_fault = time.monotonic() + self.random.uniform(0.2, 1.0)
            while time.monotonic() < next_fault:
                self.run_due_actions()
                time.sleep(0.05)
        self.run_due_actions(run_all=True)

    def reserve(self, names):
        """Reserves a random process without a fault; returns None if there is none."""
        free = [n for n in names if n not in self.busy]
        if not free:
            return None
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def releasing(self, name, action):
        def run_and_release():
            action()
            self.busy.discard(name)
        return run_and_release

    def damage_replies(self):
        replica = self.reserve(self.fleet.replicas)
        if not replica:
            return
        names = ["truncate", "corrupt", "late", "cross", "duplicate", "lose", "hang",
                 "stop_early", "slow_fraction"]
        faults = {n: round(self.random.uniform(0.05, 0.5), 2)
                  for n in self.random.sample(names, self.random.randint(1, 4))}
        self.run.log(f"{replica} {faults}")
        self.fleet.admin(replica, {"late_ms": self.random.choice((50, 300, 2000)), **faults})
        self.schedule(self.random.uniform(1, 5), f"{replica} reset", self.releasing(
            replica, lambda: self.fleet.admin(replica, {"reset": True})))

    def kill_replica(self):
        replica = self.reserve(self.fleet.replicas)
        if replica:
            self.run.log(f"kill {replica}")
            self.fleet.send_signal(replica)
            self.schedule(self.random.uniform(0.5, 4), f"restart {replica}",
                          self.releasing(replica, lambda: self.run.restart_replica(replica)))

    def pause(self, name, seconds):
        self.run.log(f"pause {name} for {seconds:.1f} s")
        self.fleet.send_signal(name, signal.SIGSTOP)
        start = time.monotonic()

        def resume():
            self.fleet.send_signal(name, signal.SIGCONT)
            if name in self.fleet.hosts:
                self.host_pauses.append((start, time.monotonic()))
        self.schedule(seconds, f"resume {name}", self.releasing(name, resume))

    def pause_replica(self):
        replica = self.reserve(self.fleet.replicas)
        if replica:
            self.pause(replica, self.random.uniform(0.3, 4))

    def pause_host(self):
        if len(self.busy & set(self.fleet.hosts)) < len(self.fleet.hosts) - 1:
            # Longer than a lease, so that another host takes over its key ranges.
            self.pause(self.reserve(self.fleet.hosts), self.random.choice((1, 5, 14)))

    def kill_host(self):
        if len(self.busy & set(self.fleet.hosts)) < len(self.fleet.hosts) - 1:
            host = self.reserve(self.fleet.hosts)
            self.run.log(f"kill {host}")
            self.fleet.send_signal(host)
            self.schedule(self.random.uniform(0.5, 5), f"restart {host}",
                          self.releasing(host, lambda: self.fleet.restart(host)))

    def store_fault(self):
        if not self.reserve(["platform"]):
            return
        fault = self.random.choice([{"outage": "refuse"}, {"outage": "hang"},
                                    {"delay_ms": 300}, {"lose_reply": 0.3},
                                    {"fail": 0.3}])
        self.run.log(f"store {fault}")
        self.fleet.platform_admin(fault)
        healthy = {"outage": "none", "delay_ms": 0, "lose_reply": 0, "fail": 0}
        self.schedule(self.random.uniform(1, 8), "store healthy", self.releasing(
            "platform", lambda: self.fleet.platform_admin(healthy)))

    def drain(self):
        replica = self.reserve(self.fleet.replicas)
        if not replica:
            return
        self.run.log(f"drain {replica}")
        start = time.monotonic()
        self.fleet.admin(replica, {"drain": True})

        def finish_drain():
            late_requests = self.fleet.admin(replica, {})["work_after_drain"]
            # A host that was paused or has just started may not have the drain yet.
            paused = any(b > start and a < time.monotonic() for a, b in self.host_pauses)
            excused = paused or bool(self.busy & set(self.fleet.hosts))
            if late_requests and not excused:
                self.run.report_fault(
                    f"{replica}: {late_requests} new requests more than {DRAIN_S} s "
                    "after its drain started")
            elif late_requests:
                self.counts["late work from a host under a fault"] += late_requests
            self.fleet.send_signal(replica)
            self.fleet.processes[replica].wait()
            self.run.restart_replica(replica)
        self.schedule(self.random.uniform(4, 7), f"restart drained {replica}",
                      self.releasing(replica, finish_drain))

    def mislead(self):
        replica = self.reserve(self.fleet.replicas)
        if replica:
            fault = self.random.choice([
                {"status_lag_ms": 3000},
                {"status_override": {"in_flight": 0, "queued": 0, "slots": 1000}},
                {"status_override": {"in_flight": 1000, "queued": 1000}}])
            self.run.log(f"{replica} {fault}")
            self.fleet.admin(replica, fault)
            self.schedule(self.random.uniform(2, 6), f"{replica} reset", self.releasing(
                replica, lambda: self.fleet.admin(replica, {"reset": True})))

    def crash(self):
        """Repeatedly sends a statement that crashes each replica that runs it, through
        hosts without a fault."""
        service = self.random.choice(list(self.run.snapshots))
        replicas = [s["id"] for s in self.run.services[service]["replicas"]]
        hosts = sorted(set(self.fleet.hosts) - self.busy)
        if self.busy & set(replicas) or len(hosts) < 2:
            return
        self.busy.update(replicas, hosts)
        crash_word = f"crash{next(self.sequence)}"
        self.run.log(f"{service}: {crash_word} crashes replicas")
        for replica in replicas:
            self.fleet.admin(replica, {"crash_on": crash_word})
        for _ in range(CRASH_ATTEMPTS):
            host = self.random.choice(hosts)
            status, answer = self.run.callers.send(
                host, f"/v1/services/{service}/search", {"query": f"oak {crash_word}"})
            self.run.callers.count("crash", status, answer)
            time.sleep(0.1)
        crashed = [r for r in replicas if not self.fleet.alive(r)]
        by_shard = collections.Counter(r.rsplit("-", 1)[0] for r in crashed)
        self.counts["replicas lost to a crashing statement"] += len(crashed)
        if max(by_shard.values(), default=0) > MAX_CRASHES:
            self.run.report_fault(f"{service}: {crash_word} crashed {dict(by_shard)} replicas")
        for replica in replicas:
            if replica in crashed:
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
        self.schedule(self.random.uniform(0.2, 3), f"{service} retires {old}",
                      self.releasing(service, retire))
