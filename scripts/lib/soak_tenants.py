"""Tenants, keys, regions, evacuations and rate limits in scripts/soak.

A part of the seeds has tenants; the draw and everything drawn for them use a random
generator of their own, so that runs without tenants draw as if this module were absent.
"""

import asyncio
import collections
import random
import time

import soak_callers
from entry_host import APPLY_S, ZONES

# Share of the seeds that have tenants.
TENANTS_RATIO = 0.4
# Time in which an evacuation comes into force (the product's default, `evacuate_ms`).
EVACUATE_S = 5.0
# A tenant's requests that run in a window: (rate x window + burst) x (1 + overshoot) + slack.
RATE_WINDOW_S, RATE_OVERSHOOT, RATE_SLACK = 5.0, 0.1, 20
# The flooding tenant sends this many times its rate, over this many connections.
FLOOD_FACTOR, FLOOD_CALLERS = 5, 8
PROBE_CALLERS, PROBE_RATE = 3, 6.0

# Requests of the callers that are counted for RECOVER belong to the first two tenants, which
# any replica serves and whose limits no run reaches.
TENANTS = [{"name": "alpha", "priority": 1, "rate_per_s": 1000, "burst": 1000},
           {"name": "beta", "rate_per_s": 1000, "burst": 1000},
           {"name": "northern", "priority": 2, "allowed_regions": ["north"]},
           {"name": "southern", "allowed_regions": ["south"]},
           {"name": "flooding", "priority": 5, "rate_per_s": 8, "burst": 10}]
REGIONS = {t["name"]: t.get("allowed_regions") for t in TENANTS}
UNBOUND = ("alpha", "beta")
PUBLIC_KIND = "moved"
HOME_KIND = soak_callers.RequestKind("home", "GET", "/home/one", 1500, True)
HOME_REGION = "south"
TENANT_FIELDS = ("X-Goldcrestkeel-Tenant", "x-goldcrestkeel-tenant", "X-GOLDCRESTKEEL-TENANT")


class Tenants:
    def __init__(self, run):
        self.run = run
        self.random = random.Random(f"{run.seed} tenants")
        self.enabled = self.random.random() < TENANTS_RATIO or \
            run.options.tenants or run.options.rates
        # Keys that all versions hold, and keys that only some hold; each has one tenant.
        self.permanent = {f"soak-key-{t['name']}-{i}": t["name"]
                          for t in TENANTS for i in range(2)}
        self.changing = {f"soak-key-{i}-{t}": t for t in UNBOUND for i in range(4)}
        self.owners = {**self.permanent, **self.changing}
        self.live = set(list(self.changing)[::2])
        self.versions = []  # (time of the write, changing keys in it)
        self.evacuations = []  # [data centre, begin, end]
        self.evacuated = set()
        self.probes = []  # requests beside those of the ordinary callers

    def extend(self, document):
        """Adds tenants to a configuration; returns the changing keys that it holds."""
        if not self.enabled:
            return None
        live = frozenset(self.live)
        document["tenants"] = [
            {**tenant, "api_keys": sorted(
                k for k, t in self.owners.items()
                if t == tenant["name"] and (k in self.permanent or k in live))}
            for tenant in TENANTS]
        by_name = {route["name"]: route for route in document["routes"]}
        by_name[PUBLIC_KIND]["public"] = True
        document["routes"].append({**by_name["lookup"], "name": HOME_KIND.name,
                                   "path_prefix": "/home/", "allowed_regions": [HOME_REGION]})
        return live

    # Callers

    def _unknown_key(self):
        """A key that no version holds, or None."""
        key = self.random.choice(sorted(self.permanent))
        return self.random.choice([None, key[:-1], key + "0", key.upper(), "soak-key"])

    def _ordinary_key(self, kind):
        if kind.name == PUBLIC_KIND and self.random.random() < 0.5:
            return self._unknown_key()
        return self.random.choice([k for k, t in self.permanent.items() if t in UNBOUND])

    def fields(self, request, key):
        """Header fields of a request, which gets an ordinary key unless one is given."""
        if not self.enabled:
            return []
        request.key = key[0] if key else self._ordinary_key(request.kind)
        fields = [("Authorization", f"Token {request.key}")] if request.key else []
        if self.random.random() < 0.3:
            fields += [(name, self.random.choice(TENANTS)["name"])
                       for name in self.random.sample(TENANT_FIELDS, self.random.randint(1, 3))]
        self.random.shuffle(fields)
        return fields

    def _probe(self):
        kinds = [*soak_callers.KINDS, HOME_KIND]
        keys = self.random.choice([
            [self._unknown_key()], list(self.changing), list(self.changing),
            [k for k, t in self.permanent.items() if t != "flooding"]])
        return {"kind": self.random.choice(kinds), "key": [self.random.choice(keys)],
                "sent": self.probes}

    def _flood(self):
        key = next(k for k, t in self.permanent.items() if t == "flooding")
        return {"kind": soak_callers.KINDS[1], "key": [key], "sent": self.probes}

    def start_callers(self):
        if not self.enabled:
            return []
        self.run.log("the configuration has tenants")
        callers = [(PROBE_RATE, self._probe)] * PROBE_CALLERS
        if self.run.options.rates:
            rate = TENANTS[-1]["rate_per_s"] * FLOOD_FACTOR / FLOOD_CALLERS
            callers += [(rate, self._flood)] * FLOOD_CALLERS
        return [asyncio.create_task(self.run.callers.run_caller(*c)) for c in callers]

    # Faults

    def events(self):
        return [(2, self.change_keys), (2, self.evacuate)] if self.enabled else []

    async def change_keys(self):
        """New versions add keys and withdraw others."""
        for _ in range(self.random.randint(1, 3)):
            self.live ^= set(self.random.sample(sorted(self.changing), 2))
            await self.run.configure()
            await asyncio.sleep(self.random.uniform(0, 1))

    async def evacuate(self, seconds=None):
        """One or two data centres are evacuated and taken back; one is always left."""
        free = sorted(set(ZONES) - self.evacuated)
        count = 1 if seconds else self.random.randint(1, 2)
        zones = self.random.sample(free, min(count, len(free) - 1))
        self.evacuated |= set(zones)
        self.run.log(f"evacuate {' '.join(zones)}")
        for zone in zones:
            await self.run.store.put(f"op/evacuate/{zone}", b"{}")
        begin = time.monotonic()
        await asyncio.sleep(seconds or self.random.uniform(2, 9))
        self.evacuations += [(zone, begin, time.monotonic()) for zone in zones]
        for zone in zones:
            await self.run.store.delete(f"op/evacuate/{zone}")
        self.evacuated -= set(zones)

    async def change_in_calm(self):
        """Changes keys and evacuates a data centre with no other fault, so that no host is
        excused."""
        if self.enabled and not self.run.options.untimed:
            await self.change_keys()
            await self.evacuate(EVACUATE_S + 2)

    # Checks

    def check(self):
        if not self.enabled:
            return
        requests = {r.id: r for r in [*self.run.callers.sent, *self.probes]}
        statuses = collections.Counter(
            (self.owners.get(r.key), r.kind.name == PUBLIC_KIND, r.status) for r in self.probes)
        self.run.log(f"probes (tenant, public, status): {dict(statuses)}")
        self.check_identities(requests)
        self.check_keys(requests.values())
        if not self.run.options.untimed:
            self.check_evacuations(requests)
            if self.run.options.rates:
                self.check_rates(requests)

    def check_identities(self, requests):
        for _, request_id, replica, zone, tenant, has_key in self.run.observations.identities:
            where = f"{request_id}: {replica} in {zone} got"
            if has_key:
                self.run.report_violation("IDENTITY", f"{where} the key")
            request = requests.get(request_id)
            if request is None:  # a health check
                if tenant is not None:
                    self.run.report_violation("IDENTITY", f"{where} tenant {tenant}")
                continue
            expected = {self.owners.get(request.key)}
            if request.kind.name == PUBLIC_KIND:
                expected |= {None} if request.key not in self.permanent else set()
            else:
                expected.discard(None)
            if tenant not in expected:
                self.run.report_violation(
                    "IDENTITY", f"{where} tenant {tenant} on {request.kind.name}, "
                    f"the caller's key is {request.key}")
            regions = [REGIONS.get(tenant), [HOME_REGION] if request.kind is HOME_KIND else None]
            if any(r is not None and ZONES[zone] not in r for r in regions):
                self.run.report_violation(
                    "HOME", f"{where} a request bound to {regions} (tenant, route)")

    def check_keys(self, requests):
        arrived = {i for _, i, *_ in self.run.observations.identities}
        for request in requests:
            if request.status == 401 and (request.id in arrived or
                                          request.key in self.permanent or
                                          request.kind.name == PUBLIC_KIND):
                self.run.report_violation(
                    "KEYS", f"{request.id} on {request.kind.name}: 401 from "
                    f"{request.host.name} for {request.key}, "
                    f"{'reached' if request.id in arrived else 'reached no'} replica")
            if request.key in self.changing and request.kind.name != PUBLIC_KIND and \
                    not self.run.options.untimed:
                self.check_changing_key(request, request.id in arrived)

    def check_changing_key(self, request, has_arrived):
        since, until = request.sent_at - APPLY_S, request.ended_at or float("inf")
        if self.run.disturbed_between(since, request.sent_at, request.host):
            return
        old = [keys for at, keys in self.versions if at <= since]
        states = {request.key in keys for at, keys in self.versions if since < at <= until}
        states |= {request.key in old[-1]} if old else set()
        if states == {True} and request.status == 401 or states == {False} and has_arrived:
            self.run.report_violation(
                "KEYS", f"{request.id}: {request.host.name} "
                f"{'ran' if has_arrived else 'refused'} {request.key} more than {APPLY_S} s "
                "after the version that changed it")

    def check_evacuations(self, requests):
        for at, request_id, replica, zone, *_ in self.run.observations.identities:
            for evacuated, begin, end in self.evacuations:
                if zone == evacuated and begin + EVACUATE_S < at < end and \
                        request_id in requests and not self.run.disturbed_between(
                            begin, at, requests[request_id].host):
                    self.run.report_violation(
                        "EVACUATED", f"{request_id}: reached {replica} in {zone}, which was "
                        f"evacuated {at - begin:.2f} s before")

    def check_rates(self, requests):
        """Counts each request once, at its first run: retries and hedges do not count."""
        times = collections.defaultdict(list)
        for request_id, at in self.run.observations.first_run_at.items():
            if request_id in requests:
                times[self.owners.get(requests[request_id].key)].append(at)
        for tenant in TENANTS:
            if "rate_per_s" not in tenant:
                continue
            allowed = (tenant["rate_per_s"] * RATE_WINDOW_S + tenant["burst"]) * \
                (1 + RATE_OVERSHOOT) + RATE_SLACK
            ran = sorted(times[tenant["name"]])
            most = max((sum(t <= at < t + RATE_WINDOW_S for at in ran) for t in ran), default=0)
            self.run.log(f"{tenant['name']}: at most {most} runs in {RATE_WINDOW_S} s")
            if most > allowed:
                self.run.report_violation(
                    "RATE", f"{tenant['name']}: {most} requests ran in {RATE_WINDOW_S} s, "
                    f"{allowed:.1f} allowed")
