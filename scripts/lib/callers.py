"""Callers and an operator that check each answer of the daemons as it comes."""

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
# Not used before the shutdown, so that none is in quarantine because replicas were
# killed while it ran.
SHUTDOWN_STATEMENTS = ["wheel red short", "oak axle short", "track bridge short"]


class Callers:
    """Threads that send requests and check the answers as they come."""

    def __init__(self, run):
        self.run = run
        self.counts = collections.Counter()
        self.commands = {}  # key -> [(ran, error name)] in the order of sending
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = []

    def start(self, count):
        for number in range(count):
            source = random.Random(f"{self.run.options.seed} caller {number}")
            thread = threading.Thread(target=self.loop, args=(source, number))
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def loop(self, source, number):
        sequence = itertools.count()
        while not self.stopping.wait(source.expovariate(25)):
            if source.random() < 0.3:
                self.command(source, f"{number}x{next(sequence)}")
            else:
                self.search(source)

    def send(self, host, path, body, headers=None):
        """Returns (status, body); status 0 if there was no whole reply."""
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

    def search(self, source):
        service = source.choice(list(self.run.snapshots))
        statement = source.choice(STATEMENTS)
        answer = self.page(source, service, statement, 0, None)
        # The next page, often through another host, has the same snapshot.
        if answer and source.random() < 0.3:
            self.page(source, service, statement, LIMIT, answer["snapshot"])

    def page(self, source, service, statement, offset, snapshot):
        """Sends a search and checks its answer; returns it, or None."""
        host = source.choice(list(self.run.fleet.hosts))
        body = {"query": statement, "limit": LIMIT}
        if snapshot:
            body.update(offset=offset, snapshot=snapshot)
        status, answer = self.send(host, f"/v1/services/{service}/search", body)
        self.count("search" if not snapshot else "page", status, answer)
        fault = None
        if status == 200:
            fault = catalogue.check_answer(answer, statement, LIMIT,
                                           self.run.snapshots[service], offset)
            if snapshot and answer["snapshot"] != snapshot:
                fault = f"page of snapshot {snapshot}"
            if not fault and answer["coverage"]["fraction"] < 1:
                self.count("search incomplete", 200, None)
        elif isinstance(answer, dict) and "coverage" in answer:
            fault = catalogue.check_coverage(answer, self.run.snapshots[service])
        if fault:
            self.run.fault(f'{host} {service} "{statement}" from {offset}: {fault}; '
                           f"{answer}")
        return answer if status == 200 else None

    def command(self, source, name):
        """Sends a command; without a certain outcome mostly again elsewhere."""
        key = f"{int(time.time() * 1000)}-{name}-{self.run.options.seed}"
        outcomes = self.commands.setdefault(key, [])
        for _ in range(source.choice((1, 3, 5))):
            host = source.choice(list(self.run.fleet.hosts))
            status, answer = self.send(host, "/v1/services/holds/commands",
                                       {"command": f"hold {name}"},
                                       {"Idempotency-Key": key})
            error = self.count("command", status, answer)
            ran = answer.get("ran", "unknown") if isinstance(answer, dict) else "unknown"
            outcomes.append((ran, error))
            if status == 200 and answer["result"] != f"done: hold {name}":
                self.run.fault(f"{host}: command {name} got {answer}")
            # Sometimes sends again even after a certain answer.
            if ran != "unknown" and source.random() < 0.7:
                break
            time.sleep(source.uniform(0, 0.3))

    def check_commands(self):
        runs = self.run.fleet.runs()
        self.counts["command keys"] = len(self.commands)
        self.counts["command keys that ran"] = len(runs)
        for key, outcomes in self.commands.items():
            replicas = runs.get(key, [])
            answers = [ran for ran, _ in outcomes]
            if len(replicas) > 1:
                self.run.fault(f"{key} ran on {replicas}; answers {outcomes}")
            if "yes" in answers and not replicas:
                self.run.fault(f"{key} was answered as run but did not run: {outcomes}")
            if replicas and set(answers) == {"no"}:
                self.run.fault(f"{key} ran on {replicas} but was answered {outcomes}")
            elif replicas and answers[-1] == "no":
                # Each refusal is about its own request, so this is no fault.
                self.counts[f"key ran, last answer no: {outcomes[-1][1]}"] += 1


class ShutdownCallers:
    """Search callers for the shutdown; a request without a whole reply was cut."""

    def __init__(self, run):
        self.run = run
        self.ready = []
        self.cut = []
        self.answered = 0
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.balance)]
        self.threads += [threading.Thread(target=self.loop, args=(i,)) for i in range(12)]

    def start(self):
        self.poll()
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def poll(self):
        ready = []
        for host, address in self.run.fleet.hosts.items():
            try:
                if fleets.Client().call(address, "GET", "/readyz", timeout=1)[0] == 200:
                    ready.append(host)
            except (OSError, http.client.HTTPException):
                pass
        self.ready = ready

    def balance(self):
        while not self.stopping.wait(0.1):
            self.poll()

    def loop(self, number):
        source = random.Random(f"{self.run.options.seed} shutdown {number}")
        while not self.stopping.wait(source.expovariate(20)):
            host = source.choice(self.ready)
            service = source.choice(list(self.run.snapshots))
            try:
                status, answer = fleets.Client().call(
                    self.run.fleet.hosts[host], "POST", f"/v1/services/{service}/search",
                    {"query": source.choice(SHUTDOWN_STATEMENTS), "limit": LIMIT})
                if status == 200:
                    with self.lock:
                        self.answered += 1
                else:
                    self.cut.append(f"{host}: {status} {answer}")
            except (OSError, http.client.HTTPException) as error:
                self.cut.append(f"{host}: {error!r}")


class Operator:
    """Changes the configuration all the time and checks that the revision in force
    never falls on any host."""

    def __init__(self, run):
        self.run = run
        self.outcomes = {}  # operation -> last status: 200, 202 or an error name
        self.revisions = collections.defaultdict(int)  # host -> highest seen
        self.newest = 0
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.change_all),
                        threading.Thread(target=self.watch)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def change_all(self):
        source = random.Random(f"{self.run.options.seed} operator")
        for number in itertools.count():
            if self.stopping.wait(source.uniform(0.5, 2)):
                return
            self.change(source, f"op-{number}-{self.run.options.seed}", 1000 + number)

    def change(self, source, operation, deadline):
        """Sends one change, without a certain outcome again through other hosts."""
        for _ in range(3):
            host = source.choice(list(self.run.fleet.hosts))
            status, answer = self.run.callers.send(
                host, "/v1/statements",
                {"statement": f"ALTER SERVICE parts SET DEADLINE {deadline} ms",
                 "operation_id": operation}, {"X-Operator": "faults"})
            name = self.run.callers.count("change", status, answer)
            if status in (200, 202):
                self.outcomes[operation] = status
                self.newest = max(self.newest, answer["revision"])
                return
            self.outcomes.setdefault(operation, name)
            if isinstance(answer, dict) and answer.get("ran") == "no":
                return
            self.outcomes[operation] = "unknown"

    def watch(self):
        while not self.stopping.wait(0.3):
            for host in self.run.fleet.hosts:
                self.check_revision(host)

    def check_revision(self, host):
        """A host that is not ready may still lack the configuration."""
        address = self.run.fleet.hosts[host]
        try:
            client = fleets.Client()
            if client.call(address, "GET", "/readyz", timeout=1)[0] != 200:
                return
            revision = int(self.run.fleet.metric(
                host, "goldcrestkeel_configuration_revision", timeout=1))
        except (OSError, http.client.HTTPException):
            return
        if revision < self.revisions[host]:
            self.run.fault(f"{host}: revision {revision} after {self.revisions[host]}")
        self.revisions[host] = max(revision, self.revisions[host])

    def check(self):
        """All written changes are in the audit trail once; refused ones are not."""
        newest = self.run.fleet.wait_for_revision()
        if newest < max([self.newest, *self.revisions.values()]):
            self.run.fault(f"revision {newest} in force after {self.newest}")
        host = next(iter(self.run.fleet.hosts))
        status, answer = self.run.callers.send(host, "/v1/statements",
                                               {"statement": "SHOW AUDIT"})
        if status != 200:
            self.run.fault(f"SHOW AUDIT: {status} {answer}")
            return
        trail = collections.Counter(e["operation_id"] for e in answer["audit"])
        for operation, outcome in self.outcomes.items():
            if trail[operation] > 1:
                self.run.fault(f"{operation} is {trail[operation]} times in the trail")
            if outcome in (200, 202) and not trail[operation]:
                self.run.fault(f"{operation} was answered {outcome} and is lost")
            if outcome not in (200, 202, "unknown") and trail[operation]:
                self.run.fault(f"{operation} was answered {outcome} and is in force")
