"""Further cases of scripts/client-limits: requests in pieces, messages between hosts,
gathered requests, work for the processor, and other states of a process."""

import asyncio
import itertools
import json
import random

from links import inodes_of

KIB, MIB = 1 << 10, 1 << 20
# The smallest memory of a host that goldcrestkeel is deployed on, its connections, and
# what remains for them beside the process, whose bodies count once, as they are not sent.
HOST_BYTES = 160 * MIB
HOST_CALLERS, HOST_CONNECTIONS, HOST_DESCRIPTORS = 2500, 3128, 4096
BODIES_BYTES = (32 + 32) * MIB + HOST_CALLERS * 16 * KIB
SHARDS = [f"shard-{i}" for i in range(24)]
MESSAGE_TARGETS = ["/goldcrestkeel/crashes", "/goldcrestkeel/tokens",
                   "/goldcrestkeel/changes"]
MESSAGE_BYTES = MIB - KIB  # below the limit of a body
# Lets all connections of a crowd grow side by side.
PIECE_INTERVAL_S = 0.02
SEED = 44


def head(path, method="GET", *lines):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: limits.example", *lines,
                        "", ""]).encode("latin-1")


def post(path, body):
    return head(path, "POST", f"Content-Length: {len(body)}") + body


def in_pieces(path, total, piece):
    """A body that lacks its last byte, a piece at a time."""
    async def send(write):
        await write(head(path, "POST", f"Content-Length: {total}"))
        for _ in range(total // piece - 1):
            await write(b"x" * piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
        await write(b"x" * (piece - 1))
        await asyncio.sleep(3600)
    return send


def in_chunks(path, total, piece):
    """The same with a chunked body, a chunk at a time."""
    async def send(write):
        await write(head(path, "POST", "Transfer-Encoding: chunked"))
        for _ in range(total // piece - 1):
            await write(b"%x\r\n%s\r\n" % (piece, b"x" * piece))
            await asyncio.sleep(PIECE_INTERVAL_S)
        await asyncio.sleep(3600)
    return send


def messages(make, count):
    """`count` requests, each of which `make` returns for the next number. All clients of
    a case share the numbers."""
    numbers = itertools.count(1)

    async def send(write):
        for _ in range(count):
            await write(make(next(numbers)))
    return send


def odd_message(number):
    """A message between hosts whose bytes are no message, or nearly one."""
    rng = random.Random(SEED + number)
    valid = json.dumps(rng.choice([
        {"crashes": [], "quarantined": [], "suspects": [], "answered": ["x"]},
        {"from": ["x", "127.0.0.1:1", 1], "grants": True, "instance": 1, "requests": []},
        {"feed": "replicas", "reader": "host0", "after": 1, "wait_ms": 1}])).encode()
    at = rng.randrange(len(valid))
    body = rng.choice([b"\xff", rng.randbytes(40), valid[:at], valid.replace(b"x", b"\xff"),
                       valid[:at] + rng.randbytes(2) + valid[at + 1:],
                       valid[:at] + b"-1e999" + valid[at:]])
    return post(MESSAGE_TARGETS[number % 3], body)


def odd_request(number):
    """A request with bytes outside of ASCII where they may stand."""
    rng = random.Random(SEED + number)

    def text():
        return bytes(rng.randrange(0x80, 0x100) for _ in range(20)).decode("latin-1")
    lines = [f"{name}: {text()}" for name in
             ("X-Goldcrestkeel-Request-Id", "X-Goldcrestkeel-Deadline-Ms", "Authorization",
              "Goldcrestkeel-Table-Version", "Connection", text())]
    path = rng.choice(["/lookup/", "/gather/", "/"]) + text()
    return head(path, "GET", *rng.sample(lines, 3))


def nested_message(number):
    body = b"[" * MESSAGE_BYTES if number % 2 else \
        b'{"crashes":[' + b"[]," * ((MESSAGE_BYTES - 20) // 3) + b"[]]}"
    return post(MESSAGE_TARGETS[number // 2 % 3], body)


def crash_message(number, size=MESSAGE_BYTES):
    """Reports of crashes, quarantines and suspects. Each crash is reported twice, so that
    its request enters quarantine."""
    def fingerprint(i):
        return f"{number // 6 * 10000 + i + 1:x}"
    text = f"GET /{number}" + "x" * 800
    count = size // 1100
    reports = [{"fingerprint": fingerprint(i), "request": text, "crashes": 3, "version": 1}
               for i in range(count)]
    crashes = [{"fingerprint": fingerprint(i), "request": text, "service": f"s{number}-{i}",
                "replica": f"r{number}", "started_at_ms": i, "crashed_us_ago": 0,
                "sent_us_ago": 0, "served_us_ago": 0, "services": 3} for i in range(count)]
    message = {"crashes": [], "quarantined": [], "suspects": [], "answered": []}
    message[("crashes", "quarantined", "suspects")[number % 3]] = \
        crashes if number % 3 == 0 else reports
    return post(MESSAGE_TARGETS[0], json.dumps(message).encode())


def token_message(number):
    """Names a host that does not exist, with a long id."""
    name = f"host-{number}-" + "x" * (MESSAGE_BYTES - 2 * KIB)
    return post(MESSAGE_TARGETS[1], json.dumps(
        {"from": [name, "127.0.0.1:1", 1.0], "grants": True, "instance": number,
         "requests": [["tenant", 1, 0, 0, 0, 1.0]]}).encode())


def short_token_message(number):
    return post(MESSAGE_TARGETS[1], json.dumps(
        {"from": [f"host-{number}", "127.0.0.1:1", 1.0], "grants": True,
         "instance": number, "requests": []}).encode())


def connection_field(path):
    """Many fields, and a Connection field that names many others."""
    return head(path, "GET", "Connection: " + "b," * 15000 + "b", *["a:"] * 8000)


def once(data):
    async def send(write):
        await write(data)
        await asyncio.sleep(3600)
    return send


def mixed(*clients):
    """Connections take one of `clients` in turn."""
    numbers = itertools.count()

    async def send(write):
        await clients[next(numbers) % len(clients)](write)
    return send


def poll_and_leave(_):
    return post("/goldcrestkeel/changes", json.dumps(
        {"feed": "replicas", "reader": "host0", "after": 1 << 40, "wait_ms": 10000}).encode())


def make_cases(case):
    """`case` makes a case from its name, address, number of connections, limit of
    descriptors and client, and from options."""
    pieces_2k = in_pieces("/hung/", 256 * KIB, 2 * KIB)
    pieces_20k = in_pieces("/hung/", 256 * KIB, 20 * KIB)
    ordinary = head("/lookup/ordinary")

    async def ahead(write):
        await write(head("/hung/"))
        for _ in range(8 * MIB // (64 * len(ordinary))):
            await write(ordinary * 64)
    mix = mixed(pieces_2k, once(head("/hung/", "GET", *["a:"] * 8000)), ahead,
                once(post("/gather/hung/", b"x" * 60 * KIB)))
    body_60k = post("/gather/hung/", b"x" * 60 * KIB)
    cases = [
        case("pieces-2k", "callers", 600, None, pieces_2k, again=True),
        case("pieces-20k", "callers", 600, None, pieces_20k, again=True),
        case("chunks-2k", "callers", 600, None, in_chunks("/hung/", 256 * KIB, 2 * KIB),
             again=True),
        case("pieces-2k-hosts", "hosts", 400, None, pieces_2k, again=True),
        case("unread-requests", "callers", 600, None, ahead),
        case("unread-requests-hosts", "hosts", 400, None, ahead),
        case("unread-answers", "callers", 160, None, once(head("/lookup/large")),
             unsent=True),
        case("odd-bytes-hosts", "hosts", 8, None, messages(odd_message, 400), again=True,
             reads=True),
        case("nested-messages-hosts", "hosts", 8, None, messages(nested_message, 6),
             again=True, reads=True),
        case("crash-messages-hosts", "hosts", 8, None, messages(crash_message, 60),
             again=True, reads=True),
        case("crash-messages-descriptors-hosts", "hosts", 8, 256,
             messages(crash_message, 60), again=True, reads=True, other_hosts=20),
        case("small-crash-messages-hosts", "hosts", 8, None,
             messages(lambda number: crash_message(number, 60 * KIB), 1500), again=True,
             reads=True),
        case("small-crash-messages-descriptors-hosts", "hosts", 8, 256,
             messages(lambda number: crash_message(number, 60 * KIB), 1500), again=True,
             reads=True, other_hosts=20),
        case("token-messages-hosts", "hosts", 8, None, messages(token_message, 12),
             again=True, reads=True),
        case("short-token-messages-hosts", "hosts", 8, None,
             messages(short_token_message, 20000), again=True, reads=True),
        case("abandoned-polls-hosts", "hosts", 16, None, messages(poll_and_leave, 1),
             again=True, leaves=True),
        case("gathered-bodies", "callers", 64, None, once(body_60k)),
        case("gathered-headers", "callers", 64, None,
             once(head("/gather/hung/", "GET", "a: " + "x" * 60 * KIB))),
        case("gathered-request-ids", "callers", 64, None,
             once(head("/gather/hung/", "GET",
                       "X-Goldcrestkeel-Request-Id: " + "x" * 60 * KIB))),
        case("gathered-bodies-answered", "callers", 8, None,
             messages(lambda _: post("/gather/", b"x" * 512 * KIB), 20), again=True,
             reads=True),
        case("gathered-answers", "callers", 16, None,
             messages(lambda _: head("/gather/large/"), 4), again=True, reads=True),
        case("gathered-descriptors", "callers", 60, 256, once(head("/gather/hung/"))),
        case("connection-field", "callers", 4, None,
             once(connection_field("/gather/hung/")), again=True),
        case("starting", "callers", 160, None, mix, stage="starting"),
        case("without-configuration", "callers", 160, None, mix,
             stage="without-configuration"),
        case("without-replicas", "callers", 160, None, mix, stage="without-replicas"),
        case("draining", "callers", 160, None, mix, stage="draining"),
        # With default settings.
        case("gathered-descriptors-host-size", "callers", HOST_CALLERS, HOST_DESCRIPTORS,
             once(head("/gather/hung/")), bound=HOST_BYTES),
        case("pieces-2k-host-size", "callers", HOST_CALLERS, None, pieces_2k, again=True,
             bound=BODIES_BYTES),
        case("pieces-20k-host-size", "callers", HOST_CALLERS, None, pieces_20k, again=True,
             bound=BODIES_BYTES),
        case("unread-requests-host-size", "callers", HOST_CALLERS, None, ahead,
             bound=HOST_BYTES),
        case("unread-answers-host-size", "callers", HOST_CALLERS, None,
             once(head("/lookup/large")), bound=HOST_BYTES, unsent=True),
        case("mixed-host-size", "all", HOST_CONNECTIONS, None, mixed(
            pieces_20k, ahead, pieces_2k, once(body_60k), once(head("/gather/large/")),
            messages(crash_message, 4)), again=True, bound=HOST_BYTES),
    ]
    for address in ("callers", "hosts", "readiness", "metrics"):
        cases.append(case(f"odd-bytes-in-requests-{address}", address, 8, None,
                          messages(odd_request, 400), again=True, reads=True))
    return cases


def kernel_bytes(process, unsent):
    """Bytes that the kernel holds for the sockets of a process: received and not read
    and, if `unsent`, written and not sent or not acknowledged."""
    inodes = inodes_of(process)
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            parts = line.split()
            # The queue of a listening socket counts connections.
            if parts[3] != "0A" and parts[9] in inodes:
                sent, received = (int(queue, 16) for queue in parts[4].split(":"))
                total += received + (sent if unsent else 0)
    return total
