"""Random faults for scripts/soak, injected from outside the processes."""

import asyncio
import collections
import signal
import time

import replica_standin
import soak_callers
from proxy import DEATHS


class Faults:
    """Starts overlapping faults and reverts each after a random time. `disturbances`
    holds (begin, end, host name or None) of the unplanned ones."""

    def __init__(self, run):
        self.run = run
        self.random = run.random
        self.count = 0
        self.disturbances = []
        self.tasks = []
        self.shard_generation = 1
        self.busy_hosts = set()
        self.resharding = False
        self.crashing = False
        self.death = "refused"
        self.restoring = False
        # The method names appear in events.log.
        self.events = [
            (3, self.restart_host), (2, self.kill_host), (2, self.pause_host),
            (1, self.reload_host), (3, self.store_away), (1, self.store_slow),
            (2, self.store_loses_answers), (1, self.store_forgets), (1, self.entries_lapse),
            (2, self.store_restored), (2, self.store_link), (2, self.replica_crashes),
            (2, self.replica_drains), (2, self.replica_link), (2, self.replica_names_limit),
            (2, self.replica_says_leaving), (2, self.replica_turns_away),
            (2, self.hosts_cut_off),
            (3, self.replica_spoils), (1, self.replica_hangs), (2, self.answers_come_again),
            (2, self.change_configuration), (1, self.divide_anew),
            (2, self.request_crashes_replicas), (1, self.odd_entry), (2, self.replica_endless),
            *run.tenants.events()]

    async def inject(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            weights, events = zip(*self.events)
            event = self.random.choices(events, weights)[0]
            self.count += 1
            self.run.log(f"fault {event.__name__}")
            self.tasks.append(asyncio.create_task(event()))
            await asyncio.sleep(self.random.expovariate(1.5))
        await asyncio.gather(*self.tasks)

    def record_disturbance(self, seconds, host=None):
        now = time.monotonic()
        self.disturbances.append((now, now + seconds, host and host.name))
        if host:
            host.mark_disturbed(seconds)
        else:
            self.run.mark_disturbed(seconds)

    def _reserve_host(self):
        """Reserves a host without a process fault; returns None unless more than half
        of the hosts are free."""
        free = [h for h in self.run.hosts if h.name not in self.busy_hosts]
        if len(free) <= len(self.run.hosts) / 2:
            return None
        host = self.random.choice(free)
        self.busy_hosts.add(host.name)
        return host

    async def restart_host(self):
        host = self._reserve_host()
        if host:
            code = await host.stop_gracefully()
            if code != 0 and not self.run.options.untimed:
                self.run.report_violation(
                    "END", f"{host.name} ended with {code} after SIGTERM")
            host.start()
            await asyncio.sleep(1)
            self.busy_hosts.discard(host.name)

    async def kill_host(self):
        host = self._reserve_host()
        if host:
            downtime_s = self.random.uniform(0.1, 2)
            # Other hosts may still be waiting for its answers.
            self.record_disturbance(downtime_s + 2)
            host.signal(signal.SIGKILL)
            await asyncio.sleep(downtime_s)
            host.start()
            await asyncio.sleep(1)
            self.busy_hosts.discard(host.name)

    async def pause_host(self):
        host = self._reserve_host()
        if host:
            pause_s = self.random.uniform(0.3, 4)
            self.record_disturbance(pause_s + 2)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            host.signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
            self.busy_hosts.discard(host.name)

    async def reload_host(self):
        for _ in range(self.random.randint(1, 3)):
            host = self.random.choice(self.run.hosts)
            if host.name not in self.busy_hosts:
                host.signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def store_away(self):
        store = self.run.store
        seconds = self.random.uniform(0.5, 5)
        self.record_disturbance(seconds)
        store.mark_disturbed(seconds)
        store.mode = self.random.choice(["busy", "reset", "silent", "endless"])
        await asyncio.sleep(seconds)
        store.mode = None

    async def store_slow(self):
        seconds = self.random.uniform(1, 4)
        self.record_disturbance(seconds)
        self.run.store.mark_disturbed(seconds)
        self.run.store.delay_s = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(seconds)
        self.run.store.delay_s = 0

    async def store_loses_answers(self):
        """Answers to watches are lost too, also the one that reports a change."""
        seconds = self.random.uniform(1, 4)
        self.record_disturbance(seconds)
        self.run.store.mark_disturbed(seconds)
        self.run.store.lost_response_ratio = self.random.uniform(0.2, 0.6)
        change_s = seconds * self.random.uniform(0.5, 0.9)
        await asyncio.sleep(change_s)
        self.run.moved_service = self.random.choice(["single", "other"])
        await self.run.configure()
        await asyncio.sleep(seconds - change_s)
        self.run.store.lost_response_ratio = 0

    async def store_forgets(self):
        self.record_disturbance(0.5)
        self.run.store.mark_disturbed(0.5)
        self.run.store.compact()

    async def store_restored(self):
        """The store is away and returns from a copy; replicas write their entries again
        up to a second later."""
        if self.restoring:
            return
        self.restoring = True
        store = self.run.store
        seconds = self.random.uniform(0.3, 2)
        rewrite_s = self.random.uniform(0, 1)
        self.record_disturbance(seconds + rewrite_s)
        store.mark_disturbed(seconds + rewrite_s)
        store.mode = self.random.choice(["busy", "reset", "silent"])
        await asyncio.sleep(seconds)
        entries = await store.restore(self.random.uniform(2, 9))
        restored_revision = store.revision
        store.mode = None
        await asyncio.sleep(rewrite_s)
        alive = {k: v for k, v in entries.items() if k.split("/")[1] in self.run.replicas}
        await store.rewrite_entries(alive, restored_revision)
        self.restoring = False

    async def entries_lapse(self):
        """The entries of about 70 % of the replicas expire during a store outage and are
        published again up to 1.5 s after its end."""
        store = self.run.store
        seconds = self.random.uniform(1, 3)
        self.record_disturbance(seconds + 2)
        store.mark_disturbed(seconds + 2)
        store.mode = "busy"
        names = [n for n in self.run.replicas if self.random.random() < 0.7]
        for name in names:
            await store.delete(f"servers/{name}")
        await asyncio.sleep(seconds)
        store.mode = None
        await asyncio.sleep(self.random.uniform(0, 1.5))
        for name in names:
            if name in self.run.replicas:
                await self.run.replicas[name][0].publish()

    async def store_link(self):
        """Disconnects one host from the store."""
        host = self.random.choice(self.run.hosts)
        proxy = host.store_proxy
        seconds = self.random.uniform(0.5, 6)
        # The host serves with stale routes and replicas until it has caught up.
        self.record_disturbance(seconds)
        proxy.mode = self.random.choice(["silent", "no_answers", "refuse"])
        if proxy.mode == "refuse":
            proxy.reset_all()
        await asyncio.sleep(seconds)
        proxy.mode = None

    def _pick_replica(self, keep_one=True):
        """Picks a replica that is not draining; with `keep_one`, only from services that
        have another one."""
        services = {}
        for name, (replica, _) in self.run.replicas.items():
            if not replica.draining:
                services.setdefault(replica.service, []).append(name)
        names = [n for group in services.values() for n in group
                 if not keep_one or len(group) > 1]
        return self.random.choice(names) if names else None

    async def replica_crashes(self):
        name = self._pick_replica()
        if name:
            replica = self.run.remove_replica(name)
            self.record_disturbance(0.5)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await replica.leave()
            if self.random.random() < 0.8:
                await asyncio.sleep(self.random.uniform(0, 2))
                await self.run.add_replica(replica.service, replica.zone)

    async def request_crashes_replicas(self):
        """A request crashes each replica that begins to run it, and comes again, at any
        host. Replicas are back after some seconds."""
        if self.crashing:
            return
        self.crashing = True
        kind = self.random.choice([k for k in soak_callers.KINDS if k.name != "moved"])
        target = f"{kind.path}/{self.random.randrange(1 << 32):08x}"
        kind = soak_callers.RequestKind(
            kind.name, kind.method, target, kind.deadline_ms, kind.idempotent)
        self.run.observations.crashing.add(target)
        self.death = self.random.choice(DEATHS)
        gap_s = self.random.choice([0.25, 0.5, 0.7, 1.0, 1.5, 3.0])
        self.run.log(f"{target} crashes replicas, every {gap_s} s, {self.death}")
        for replica, _ in self.run.replicas.values():
            replica.on_crash = self._crash
        sent = []
        for _ in range(int(min(20, max(5, 10 / gap_s)))):
            sent.append(asyncio.create_task(self.run.callers.send_once(
                self.random.choice(self.run.hosts), kind, b"crash")))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*sent)
        self.crashing = False

    def _crash(self, replica):
        self.run.mark_disturbed(0.5)
        if replica.name in self.run.replicas:
            _, proxy = self.run.replicas.pop(replica.name)
            proxy.fail(self.death)
            if self.death != "silent":
                replica.stop()
            self.tasks.append(asyncio.create_task(self._come_back(replica, proxy)))

    async def _come_back(self, old, proxy):
        await asyncio.sleep(self.random.uniform(1, 3))
        proxy.close()
        old.stop()
        replica = await self.run.add_replica(old.service, old.zone)
        replica.on_crash = self._crash
        await old.leave()

    async def replica_drains(self):
        """Planned replacement: a new replica starts, the old one drains or is removed
        from the store and stops 3.5 to 6 s later. Its address may be reused by
        another service."""
        name = self._pick_replica()
        if name:
            old = self.run.replicas[name][0]
            await self.run.add_replica(old.service, old.zone)
            await asyncio.sleep(1)
            if name not in self.run.replicas:
                return
            if self.random.random() < 0.3:
                await old.leave()
            else:
                await old.drain()
            await asyncio.sleep(self.random.uniform(3.5, 6))
            if name not in self.run.replicas:
                return
            self.run.remove_replica(name)
            await old.leave()
            if self.random.random() < 0.5:
                await asyncio.sleep(2)
                await self.run.add_replica("other", old.zone, old.address)

    async def replica_link(self):
        name = self._pick_replica()
        if name:
            proxy = self.run.replicas[name][1]
            seconds = self.random.uniform(0.3, 4)
            self.record_disturbance(seconds)
            fault = self.random.choice(["silent", "no_answers", "refuse", "delay", "reset"])
            if fault == "reset":
                proxy.reset_all()
            elif fault == "delay":
                proxy.delay_s = self.random.uniform(0.02, 0.2)
            else:
                proxy.mode = fault
            await asyncio.sleep(seconds)
            proxy.mode = None
            proxy.delay_s = 0

    async def replica_spoils(self):
        name = self._pick_replica()
        if name:
            replica = self.run.replicas[name][0]
            kind = self.random.choice(["lost", "reset", "cut", "spoilt", "twice"])
            replica.faults[kind] = self.random.uniform(0.05, 0.5)
            self.record_disturbance(3)
            await asyncio.sleep(self.random.uniform(1, 3))
            replica.faults.clear()

    async def replica_endless(self):
        """A replica sends bytes that are no answer until the host closes."""
        name = self._pick_replica()
        if name:
            replica = self.run.replicas[name][0]
            replica.endless = self.random.choice(replica_standin.ENDLESS)
            replica.faults["endless"] = self.random.uniform(0.1, 1)
            self.record_disturbance(3)
            await asyncio.sleep(self.random.uniform(1, 3))
            replica.faults.pop("endless", None)

    async def answers_come_again(self):
        """All replicas of a service reject requests, so that some are sent again to the
        same one, and send second copies of answers late."""
        service = self.random.choice(["single", "other"])
        replicas = [r for r, _ in self.run.replicas.values() if r.service == service]
        rejecting = self.random.uniform(0.2, 0.8)
        late = self.random.uniform(0.2, 1)
        for replica in replicas:
            replica.rejecting = rejecting
            replica.faults["late"] = late
        await asyncio.sleep(self.random.uniform(1, 4))
        for replica in replicas:
            replica.rejecting = 0.0
            replica.faults.pop("late", None)

    async def odd_entry(self):
        """Another writer leaves an entry among those of the replicas, or in the place of
        one, that cannot be used."""
        odd = self.random.choice([
            b"[" * 300000 + b"]" * 300000, b'{"":' * 150000, b"\xff\xfe", b"", b"1e999",
            b'{"service":"single","address":"127.0.0.1:70000"}',
            b'{"service":"single","address":"127.0.0.1:0","zone":"a1","max_concurrency":1e400}'])
        name = self._pick_replica()
        key = f"servers/odd-{self.random.randrange(1000)}"
        if name and self.random.random() < 0.5:
            key = f"servers/{name}"
        await self.run.store.put(key, odd)
        await asyncio.sleep(self.random.uniform(1, 5))
        if key == f"servers/{name}" and name in self.run.replicas:
            await self.run.replicas[name][0].publish()

    async def replica_says_leaving(self):
        """A replica says in its answers that it leaves, long before its entry does."""
        name = self._pick_replica()
        if name:
            old = self.run.replicas[name][0]
            await self.run.add_replica(old.service, old.zone)
            old.leaving = True
            await asyncio.sleep(self.random.uniform(4, 7))
            if name in self.run.replicas:
                self.run.remove_replica(name)
                await old.leave()

    async def replica_turns_away(self):
        """Replicas turn requests away and ask for rest."""
        names = {self._pick_replica() for _ in range(self.random.randint(1, 4))} - {None}
        replicas = [self.run.replicas[name][0] for name in names]
        for replica in replicas:
            replica.turned_away = self.random.choice([0.2, 0.6, 1.0])
        await asyncio.sleep(self.random.uniform(2, 6))
        for replica in replicas:
            replica.turned_away = 0.0

    async def hosts_cut_off(self):
        """Some hosts reach no replica."""
        if self.run.links.how:
            return
        hosts = self.random.sample(self.run.hosts, self.random.randint(1, 4))
        how = self.random.choice(["silent", "reset", "few", "refuse"])
        seconds = self.random.uniform(1, 7)
        self.run.log(f"cut off {how}: {' '.join(h.name for h in hosts)}")
        self.record_disturbance(seconds)
        self.run.links.cut(hosts, how)
        await asyncio.sleep(seconds)
        self.run.links.restore()

    async def replica_names_limit(self):
        name = self._pick_replica()
        if name:
            await self.name_limits([name], self.random.uniform(8, 14))

    def one_replica_of_each_service(self):
        """Names of replicas; only from services that have another one."""
        services = collections.defaultdict(list)
        for name, (replica, _) in self.run.replicas.items():
            services[replica.service].append(name)
        return [names[0] for names in services.values() if len(names) > 1]

    async def name_limits(self, names, seconds):
        """The replicas name request limits for a time."""
        replicas = [self.run.replicas[name][0] for name in names]
        begin = time.monotonic()
        # Another fault may have named one already.
        replicas = [r for r in replicas if r.request_limit is None]
        for replica in replicas:
            replica.request_limit = round(self.random.uniform(0.5, 4), 1)
        await asyncio.sleep(seconds)
        for replica in replicas:
            self.run.observations.request_limits.append(
                (replica.name, replica.request_limit, begin, time.monotonic()))
            replica.request_limit = None

    async def replica_hangs(self):
        name = self._pick_replica()
        if name:
            replica = self.run.replicas[name][0]
            seconds = self.random.uniform(0.5, 3)
            self.record_disturbance(seconds)
            replica.silent = self.random.random() < 0.5
            replica.slowdown = self.random.uniform(3, 10)
            await asyncio.sleep(seconds)
            replica.silent = False
            replica.slowdown = 1.0

    async def change_configuration(self):
        for _ in range(self.random.randint(1, 3)):
            self.run.moved_service = self.random.choice(["single", "other"])
            await self.run.configure()
            await asyncio.sleep(self.random.uniform(0, 1))

    async def divide_anew(self):
        """Planned reshard: replicas of new shards start, the next configuration version
        switches to them, and the replicas of the old shards drain and leave."""
        if self.resharding:
            return
        self.resharding = True
        self.shard_generation += 1
        old = self.run.shard_sets[-1]
        shards = await self.run.add_shards(self.shard_generation)
        await asyncio.sleep(self.random.uniform(2.5, 4))
        self.run.shard_sets.append(shards)
        await self.run.configure()
        # Other faults may keep hosts from reading the new version for some seconds.
        await asyncio.sleep(8)
        for name in [n for n, (r, _) in self.run.replicas.items() if r.service in old]:
            replica = self.run.replicas[name][0]
            await replica.drain()
        await asyncio.sleep(4)
        for name in [n for n, (r, _) in self.run.replicas.items() if r.service in old]:
            await self.run.remove_replica(name).leave()
        self.resharding = False
