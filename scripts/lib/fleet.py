"""Starts, calls and stops the daemons and the simulated outside systems."""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import threading
import time

ADMIN_PORT_OFFSET = 10000
HTTP_PORT = 8080
PEER_PORT = 8081
# Exit code of gkctl for a change that some hosts have not confirmed yet.
GKCTL_PENDING = 5


def read_services(path):
    """Services of a configuration file, which is JSON with whole-line comments."""
    with open(path, encoding="utf-8") as file:
        text = re.sub(r"^\s*//.*$", "", file.read(), flags=re.M)
    return json.loads(text)["services"]


def admin_address(address):
    ip, port = address.split(":")
    return f"{ip}:{int(port) + ADMIN_PORT_OFFSET}"


def reserve(platform):
    """Returns a socket that reserves the loopback addresses of one run while it is
    open, or None if another run uses them. A failed connection to the platform does
    not prove that they are free, because the platform refuses connections during a
    simulated outage."""
    ip, port = platform.split(":")
    with socket.socket() as probe:
        if probe.connect_ex((ip, int(port))) == 0:
            return None
    lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        lock.bind((ip, int(port) - 1))
    except OSError:
        lock.close()
        return None
    return lock


class Client:
    """HTTP client with one keep-alive connection for each thread and address. It never
    resends a request."""

    def __init__(self):
        self._local = threading.local()

    def call(self, address, method, path, body=None, headers=None, timeout=10):
        """Returns (status, body); the body as JSON where possible. Raises OSError
        or http.client.HTTPException."""
        pool = self._local.__dict__.setdefault("pool", {})
        connection = pool.pop(address, None)
        if connection is None or connection.sock is None or _is_stale(connection.sock):
            connection = http.client.HTTPConnection(address, timeout=timeout)
        data = None if body is None else json.dumps(body)
        connection.timeout = timeout
        if connection.sock:
            connection.sock.settimeout(timeout)
        connection.request(method, path, data, headers or {})
        reply = connection.getresponse()
        text = reply.read()
        pool[address] = connection
        try:
            return reply.status, json.loads(text)
        except ValueError:
            return reply.status, text.decode("utf-8", "replace")


def _is_stale(sock):
    """Whether the server closed an idle connection or sent unexpected data on it."""
    try:
        sock.setblocking(False)
        return sock.recv(1, socket.MSG_PEEK) is not None
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.setblocking(True)


class Fleet:
    """Daemons and simulated systems as child processes, by name."""

    def __init__(self, directory, binaries, platform, reservation):
        """`platform` is the address of the simulated platform, `reservation` the socket
        from reserve()."""
        if reservation is None:
            raise SystemExit(f"another run uses {platform}")
        self.reservation = reservation
        self.directory = directory
        self.platform_address = platform
        self.binaries = binaries
        self.processes = {}
        self.commands = {}
        self.replicas = {}
        self.hosts = {}
        self.settings = {}
        self.client = Client()

    def start(self, name, command):
        with open(f"{self.directory}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                start_new_session=True)
        self.commands[name] = command

    def restart(self, name):
        self.start(name, self.commands[name])

    def pid(self, name):
        return self.processes[name].pid

    def alive(self, name):
        return self.processes[name].poll() is None

    def send_signal(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    def start_platform(self, *options):
        self.start("platform", [f"{self.binaries}/gk-standin-platform",
                                "--listen", self.platform_address, *options])

    def start_replica(self, spec, indexes, link_delays, *options):
        """`link_delays` maps host ids to one-way delays in ms."""
        command = [f"{self.binaries}/gk-standin-backend",
                   "--replica", spec["id"], "--listen", spec["address"],
                   "--slots", str(spec["slots"]),
                   "--connections", str(spec["connections"]),
                   "--connect-cost-us", str(int(spec["connect_cost_ms"] * 1000)),
                   "--runs-file", f'{self.directory}/{spec["id"]}.runs']
        for path in indexes:
            command += ["--index", path]
        for host, delay in link_delays.items():
            command += ["--link", f"{host}-={int(delay * 1000)}"]
        self.replicas[spec["id"]] = spec
        self.start(spec["id"], command + list(options))

    def start_host(self, host, ip, data_centre, region, **settings):
        self.hosts[host] = f"{ip}:{HTTP_PORT}"
        settings = {
            "host": {"id": host, "data_centre": data_centre, "region": region},
            "http": {"address": f"{ip}:{HTTP_PORT}"},
            "peer": {"address": f"{ip}:{PEER_PORT}",
                     "keys": [{"id": "k1", "secret": "demo secret, loopback only"}]},
            "store": {"address": self.platform_address},
            "host_list": {"address": self.platform_address},
            **settings}
        self.settings[host] = settings
        self.write_settings(host)
        self.start(host, [f"{self.binaries}/goldcrestkeeld", "--settings",
                          f"{self.directory}/{host}.json"])

    def write_settings(self, host):
        with open(f"{self.directory}/{host}.json", "w", encoding="utf-8") as file:
            json.dump(self.settings[host], file, indent=2)

    def set_host_list(self):
        """Registers all entry hosts as live in the platform's host list."""
        hosts = [{"id": h, "address": f"{a.split(':')[0]}:{PEER_PORT}",
                  "state": "live"} for h, a in self.hosts.items()]
        self.client.call(admin_address(self.platform_address),
                         "POST", "/admin/hosts", {"hosts": hosts})

    def admin(self, replica, command):
        return self.client.call(admin_address(self.replicas[replica]["address"]),
                                "POST", "/admin", command)[1]

    def platform_admin(self, command):
        return self.client.call(admin_address(self.platform_address),
                                "POST", "/admin", command)[1]

    def apply(self, path):
        """Applies the services of a file with gkctl; returns its last line of output."""
        hosts = [option for a in self.hosts.values() for option in ("--host", a)]
        completed = subprocess.run([f"{self.binaries}/gkctl", "apply", *hosts, path],
                                   capture_output=True, text=True, check=False)
        if completed.returncode not in (0, GKCTL_PENDING):
            raise RuntimeError(f"gkctl apply {path}: exit code {completed.returncode}\n"
                               f"{completed.stdout}{completed.stderr}")
        return completed.stdout.strip().splitlines()[-1]

    def revisions(self):
        """Revision in force on each host."""
        return {host: int(self.metric(host, "goldcrestkeel_configuration_revision"))
                for host in self.hosts}

    def wait_for_members(self, seconds=30):
        """Waits until each host counts all hosts as live."""
        deadline = time.monotonic() + seconds
        for host in self.hosts:
            while self.metric(host, "goldcrestkeel_live_hosts") < len(self.hosts):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{host} does not count all hosts as live")
                time.sleep(0.1)

    def wait_for_revision(self, seconds=30):
        """Waits until all hosts have the same revision in force; returns it."""
        deadline = time.monotonic() + seconds
        while len(set(self.revisions().values())) > 1:
            if time.monotonic() > deadline:
                raise RuntimeError(f"revisions differ: {self.revisions()}")
            time.sleep(0.05)
        return max(self.revisions().values())

    def wait_for(self, address, path, seconds=60):
        """Waits until a GET returns 200."""
        deadline = time.monotonic() + seconds
        while True:
            try:
                # A new client, as a keep-alive connection would count against the
                # replica's connection limit.
                status, body = Client().call(address, "GET", path)
                if status == 200:
                    return
            except (OSError, http.client.HTTPException) as error:
                body = error
            if time.monotonic() > deadline:
                raise RuntimeError(f"{address}{path} is not ready: {body}")
            time.sleep(0.1)

    def wait_for_replicas(self):
        for spec in self.replicas.values():
            self.wait_for(spec["address"], "/status")

    def wait_for_hosts(self, path="/readyz"):
        for address in self.hosts.values():
            self.wait_for(address, path)

    def runs_by_key(self):
        """Replicas that ran each idempotency key, one entry for each run, over all
        replicas and their restarts."""
        runs = {}
        for replica in self.replicas:
            path = f"{self.directory}/{replica}.runs"
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    for key in file.read().split():
                        runs.setdefault(key, []).append(replica)
        return runs

    def metric(self, host, name, timeout=10):
        """Value of a metric of a host, summed over its labels."""
        text = self.client.call(self.hosts[host], "GET", "/metrics", timeout=timeout)[1]
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
                   if re.match(rf"{name}(\{{|\s)", line))

    def stop_host(self, host, seconds=30):
        """Sends SIGTERM; returns the exit status, or None if the host is still running
        after the timeout."""
        self.send_signal(host, signal.SIGTERM)
        try:
            return self.processes[host].wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGTERM)
        deadline = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
