"""Callers and an operator for scripts/faults, which check each answer of the daemons."""

import collections
import http.client
import itertools
import random
import threading
import time

import catalogue
import fleet as fleets

LIMIT = 10
WORDS = ["oak", "wheel", "axle", "red", "long", "track", "bridge", "magnet", "coupler",
         "beech", "birch", "curved", "blue", "switch", "straight", "short"]
STATEMENTS = [" ".join(pair) for pair in itertools.combinations(WORDS[:11], 2)] + WORDS
# Not used before the shutdown, so that none is quarantined because replicas were
# killed while they ran it.
SHUTDOWN_STATEMENTS = ["wheel red short", "oak axle short", "track bridge short"]


class Callers:
    """Threads that send requests and check each answer."""

    def __init__(self, run):
        self.run = run
        self.counts = collections.Counter()
        # Idempotency key -> [(ran, error name)] in the order of sending.
        self.outcomes_by_key = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = []

    def start(self, count):
        for number in range(count):
            rng = random.Random(f"{self.run.options.seed} caller {number}")
            thread = threading.Thread(target=self.run_caller, args=(rng, number))
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run_caller(self, rng, number):
        sequence = itertools.count()
        while not self.stopping.wait(rng.expovariate(25)):
            if rng.random() < 0.3:
                self.send_command(rng, f"{number}x{next(sequence)}")
            else:
                self.search(rng)

    def send(self, host, path, body, headers=None):
        """Returns (status, body); the status is 0 without a complete reply."""
        try:
            return self.run.fleet.client.call(self.run.fleet.hosts[host], "POST",
                                              path, body, headers, timeout=6)
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__

    def count(self, kind, status, answer):
        names = {200: "ok", 202: "pending"}
        name = names.get(status) or (
            answer["error"] if isinstance(answer, dict) else f"{status} {answer}")
        with self.lock:
            self.counts[f"{kind} {name}"] += 1
        return name

    def search(self, rng):
        service = rng.choice(list(self.run.snapshots))
        statement = rng.choice(STATEMENTS)
        answer = self.search_page(rng, service, statement, 0, None)
        # The next page, often through another host, must have the same snapshot.
        if answer and rng.random() < 0.3:
            self.search_page(rng, service, statement, LIMIT, answer["snapshot"])

    def search_page(self, rng, service, statement, offset, snapshot):
        """Sends a search and checks its answer; returns the answer, or None on an error."""
        host = rng.choice(list(self.run.fleet.hosts))
        body = {"query": statement, "limit": LIMIT}
        if snapshot:
            body.update(offset=offset, snapshot=snapshot)
        status, answer = self.send(host, f"/v1/services/{service}/search", body)
        self.count("search" if not snapshot else "page", status, answer)
        mismatch = None
        if status == 200:
            mismatch = catalogue.check_answer(answer, statement, LIMIT,
                                              self.run.snapshots[service], offset)
            if snapshot and answer["snapshot"] != snapshot:
                mismatch = f"another snapshot than the requested {snapshot}"
            if not mismatch and answer["coverage"]["fraction"] < 1:
                self.count("search incomplete", 200, None)
        elif isinstance(answer, dict) and "coverage" in answer:
            mismatch = catalogue.check_coverage(answer, self.run.snapshots[service])
        if mismatch:
            self.run.report_fault(f'{host} {service} "{statement}" from {offset}: {mismatch}; '
                           f"{answer}")
        return answer if status == 200 else None

    def send_command(self, rng, name):
        """Sends a command; mostly resends it to a random host if its outcome is unknown."""
        key = f"{int(time.time() * 1000)}-{name}-{self.run.options.seed}"
        outcomes = self.outcomes_by_key.setdefault(key, [])
        for _ in range(rng.choice((1, 3, 5))):
            host = rng.choice(list(self.run.fleet.hosts))
            status, answer = self.send(host, "/v1/services/holds/commands",
                                       {"command": f"hold {name}"},
                                       {"Idempotency-Key": key})
            error = self.count("command", status, answer)
            ran = answer.get("ran", "unknown") if isinstance(answer, dict) else "unknown"
            outcomes.append((ran, error))
            if status == 200 and answer["result"] != f"done: hold {name}":
                self.run.report_fault(f"{host}: command {name} got {answer}")
            # Sometimes resends a command whose outcome is known.
            if ran != "unknown" and rng.random() < 0.7:
                break
            time.sleep(rng.uniform(0, 0.3))

    def check_commands(self):
        runs = self.run.fleet.runs_by_key()
        self.counts["command keys"] = len(self.outcomes_by_key)
        self.counts["command keys that ran"] = len(runs)
        for key, outcomes in self.outcomes_by_key.items():
            replicas = runs.get(key, [])
            answers = [ran for ran, _ in outcomes]
            if len(replicas) > 1:
                self.run.report_fault(f"{key} ran on {replicas}; answers {outcomes}")
            if "yes" in answers and not replicas:
                self.run.report_fault(f"{key} was answered as run but did not run: {outcomes}")
            if replicas and set(answers) == {"no"}:
                self.run.report_fault(f"{key} ran on {replicas} but was answered {outcomes}")
            elif replicas and answers[-1] == "no":
                # Each "no" refers to its own request only, so this is no fault.
                self.counts[f"key ran, last answer no: {outcomes[-1][1]}"] += 1


class ShutdownCallers:
    """Search callers for the shutdown. A request without a complete and successful reply
    counts as cut."""

    def __init__(self, run):
        self.run = run
        self.ready_hosts = []
        self.cut = []
        self.answered = 0
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.poll_until_stopped)]
        self.threads += [threading.Thread(target=self.run_caller, args=(i,)) for i in range(12)]

    def start(self):
        self.poll_readiness()
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def poll_readiness(self):
        ready_hosts = []
        for host, address in self.run.fleet.hosts.items():
            try:
                if fleets.Client().call(address, "GET", "/readyz", timeout=1)[0] == 200:
                    ready_hosts.append(host)
            except (OSError, http.client.HTTPException):
                pass
        self.ready_hosts = ready_hosts

    def poll_until_stopped(self):
        while not self.stopping.wait(0.1):
            self.poll_readiness()

    def run_caller(self, number):
        rng = random.Random(f"{self.run.options.seed} shutdown {number}")
        while not self.stopping.wait(rng.expovariate(20)):
            host = rng.choice(self.ready_hosts)
            service = rng.choice(list(self.run.snapshots))
            try:
                status, answer = fleets.Client().call(
                    self.run.fleet.hosts[host], "POST", f"/v1/services/{service}/search",
                    {"query": rng.choice(SHUTDOWN_STATEMENTS), "limit": LIMIT})
                if status == 200:
                    with self.lock:
                        self.answered += 1
                else:
                    self.cut.append(f"{host}: {status} {answer}")
            except (OSError, http.client.HTTPException) as error:
                self.cut.append(f"{host}: {error!r}")


class Operator:
    """Changes the configuration continuously and checks that the revision in force
    never decreases on any host."""

    def __init__(self, run):
        self.run = run
        self.outcomes = {}  # operation -> last status: 200, 202 or an error name
        self.highest_revisions = collections.defaultdict(int)  # by host
        self.newest_revision = 0
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.change_until_stopped),
                        threading.Thread(target=self.watch_revisions)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def change_until_stopped(self):
        rng = random.Random(f"{self.run.options.seed} operator")
        for number in itertools.count():
            if self.stopping.wait(rng.uniform(0.5, 2)):
                return
            self.change(rng, f"op-{number}-{self.run.options.seed}", 1000 + number)

    def change(self, rng, operation, deadline):
        """Sends one change; resends it to a random host while its outcome is unknown."""
        for _ in range(3):
            host = rng.choice(list(self.run.fleet.hosts))
            status, answer = self.run.callers.send(
                host, "/v1/statements",
                {"statement": f"ALTER SERVICE parts SET DEADLINE {deadline} ms",
                 "operation_id": operation}, {"X-Operator": "faults"})
            name = self.run.callers.count("change", status, answer)
            if status in (200, 202):
                self.outcomes[operation] = status
                self.newest_revision = max(self.newest_revision, answer["revision"])
                return
            self.outcomes.setdefault(operation, name)
            if isinstance(answer, dict) and answer.get("ran") == "no":
                return
            self.outcomes[operation] = "unknown"

    def watch_revisions(self):
        while not self.stopping.wait(0.3):
            for host in self.run.fleet.hosts:
                self.check_revision(host)

    def check_revision(self, host):
        """Checks the revision of one host. Skips a host that is not ready, because it may
        not have the configuration yet."""
        address = self.run.fleet.hosts[host]
        try:
            client = fleets.Client()
            if client.call(address, "GET", "/readyz", timeout=1)[0] != 200:
                return
            revision = int(self.run.fleet.metric(
                host, "goldcrestkeel_configuration_revision", timeout=1))
        except (OSError, http.client.HTTPException):
            return
        if revision < self.highest_revisions[host]:
            self.run.report_fault(
                f"{host}: revision {revision} after {self.highest_revisions[host]}")
        self.highest_revisions[host] = max(revision, self.highest_revisions[host])

    def check(self):
        """Checks that the audit trail holds each accepted change once and no refused one."""
        newest = self.run.fleet.wait_for_revision()
        if newest < max([self.newest_revision, *self.highest_revisions.values()]):
            self.run.report_fault(f"revision {newest} in force after {self.newest_revision}")
        host = next(iter(self.run.fleet.hosts))
        status, answer = self.run.callers.send(host, "/v1/statements",
                                               {"statement": "SHOW AUDIT"})
        if status != 200:
            self.run.report_fault(f"SHOW AUDIT: {status} {answer}")
            return
        audit_counts = collections.Counter(e["operation_id"] for e in answer["audit"])
        for operation, outcome in self.outcomes.items():
            if audit_counts[operation] > 1:
                self.run.report_fault(
                    f"{operation} is {audit_counts[operation]} times in the audit trail")
            if outcome in (200, 202) and not audit_counts[operation]:
                self.run.report_fault(f"{operation} was answered {outcome} and is lost")
            if outcome not in (200, 202, "unknown") and audit_counts[operation]:
                self.run.report_fault(f"{operation} was answered {outcome} and is in force")
