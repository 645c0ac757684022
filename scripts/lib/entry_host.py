"""One `goldcrestkeeld --platform` process of scripts/soak, scripts/crashes and
scripts/client-limits."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import time

from proxy import Proxy

# Regions "north" (a1, a2) and "south" (b1).
ZONES = {"a1": "north", "a2": "north", "b1": "south"}
HOST_ZONES = ["a1", "a1", "a2", "a2", "b1"]
DRAIN_S = 3.0
APPLY_S = 3.0
GRACE_S = 6
# Limit of repeated sub-requests to a service in a window: a fraction of its requests
# plus a constant.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 40, 10


class EntryHost:
    def __init__(self, run, number, zone):
        ip = f"127.{run.subnet}.{number + 1}.1"
        self.run = run
        self.name = f"host{number}"
        self.zone = zone
        self.caller_address = f"{ip}:8080"
        self.readiness_address = f"{ip}:8081"
        self.metrics_address = f"{ip}:8082"
        self.relay_address = f"{ip}:8083"
        self.store_proxy = Proxy(f"{ip}:8090", run.store.address)
        self.settings_path = f"{run.directory}/{self.name}.json"
        self.process = None
        self.failed_probes = 2
        self.stopping_since = None
        self.disturbed_until = 0.0
        self.first_start = True
        self.started_at = []
        self.extra_limits = {}  # further members of "limits" in the settings
        self.max_descriptors = None  # limit of the open descriptors of the process

    def start(self):
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump({
                "host": {"id": self.name, "data_centre": self.zone,
                         "first_start": self.first_start, "cores": 0.5},
                "regions": ZONES,
                "listen": {"callers": self.caller_address,
                           "readiness": self.readiness_address,
                           "metrics": self.metrics_address,
                           "hosts": self.relay_address},
                "store": {"address": self.store_proxy.address},
                "feeds": {"min_shared_hosts": self.run.min_shared_hosts},
                "repeats": {"ratio": RETRY_RATIO, "slack": RETRY_SLACK,
                            "window_s": RETRY_WINDOW_S},
                "limits": {"drain_ms": DRAIN_S * 1e3, "apply_ms": APPLY_S * 1e3,
                           **self.extra_limits},
                "shutdown": {"grace_s": GRACE_S}}, file)
        self.first_start = False
        with open(f"{self.run.directory}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [f"{self.run.options.bin}/goldcrestkeeld", "--platform",
                 "--settings", self.settings_path],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True,
                preexec_fn=self._limit_descriptors)
        self.stopping_since = None
        self.started_at.append(time.monotonic())

    def _limit_descriptors(self):
        if self.max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (self.max_descriptors, self.max_descriptors))

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def mark_disturbed(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    async def stop_gracefully(self):
        """Sends SIGTERM, then SIGKILL at the end of the grace period; returns the exit
        code."""
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGTERM)
        while self.process.poll() is None:
            if time.monotonic() > self.stopping_since + GRACE_S:
                self.signal(signal.SIGKILL)
            await asyncio.sleep(0.05)
        return self.process.returncode
