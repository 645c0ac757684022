"""Cuts the links from single hosts to all replicas of scripts/soak."""

import asyncio
import os

# Probability that an open connection lives on while hosts are cut off by "few".
KEPT_RATIO = 0.1
# Connections that are opened within this time are looked up together: each look-up reads
# the tables of all sockets.
LOOK_UP_INTERVAL_S = 0.03


def _address(column):
    ip, port = column.split(":")
    octets = reversed([str(int(ip[i:i + 2], 16)) for i in range(0, 8, 2)])
    return ".".join(octets), int(port, 16)


def _connections_of(inodes):
    """Local and remote address of each TCP socket with one of these inodes. Local addresses
    alone are not unique."""
    connections = set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            columns = line.split()
            if columns[9] in inodes:
                connections.add((_address(columns[1]), _address(columns[2])))
    return connections


def inodes_of(process):
    """Inodes of the sockets that a process has open."""
    inodes = set()
    directory = f"/proc/{process.pid}/fd"
    for name in os.listdir(directory):
        try:
            target = os.readlink(f"{directory}/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


class Links:
    """State of the links from each host to the replicas: `how` maps hosts to what happens
    to their open connections: "silent", "reset", "few" (a few live on, the others are reset)
    or "refuse" (they live on). New ones are accepted and reset in each case, since a listener
    on loopback cannot leave them unanswered. Hosts share a loopback address, so that
    connections are told apart by the process that owns them."""

    def __init__(self, run):
        self.run = run
        self.how = {}
        self.look_up = None  # future of the connections of the hosts that are cut off

    def _connections(self):
        """Local and remote addresses of the connections of the hosts that are cut off."""
        owned = set()
        for host in self.how:
            try:
                owned |= inodes_of(host.process)
            except OSError:
                continue  # the process has ended
        return _connections_of(owned)

    def _finish_look_up(self):
        look_up, self.look_up = self.look_up, None
        look_up.set_result(self._connections())

    async def mode(self, addresses):
        """Mode of a new connection with these addresses; see Proxy.link_mode."""
        if not self.how:
            return None
        if self.look_up is None:
            loop = asyncio.get_running_loop()
            self.look_up = loop.create_future()
            loop.call_later(LOOK_UP_INTERVAL_S, self._finish_look_up)
        return "refuse" if addresses in await self.look_up else None

    def cut(self, hosts, how):
        self.how = {host: how for host in hosts}
        connections = self._connections()
        for _, proxy in self.run.replicas.values():
            for addresses, writer in proxy.clients():
                if addresses not in connections:
                    continue
                if how == "reset" or \
                        how == "few" and self.run.random.random() >= KEPT_RATIO:
                    writer.transport.abort()
                elif how == "silent":
                    proxy.blocked.add(writer)

    def count_open(self):
        """Open connections of the hosts that are cut off."""
        connections = self._connections()
        return sum(addresses in connections and writer not in proxy.blocked
                   for _, proxy in self.run.replicas.values()
                   for addresses, writer in proxy.clients())

    def restore(self):
        self.how = {}
        for _, proxy in self.run.replicas.values():
            proxy.blocked.clear()
