"""HTTP/1.1 messages for the simulated outside systems of scripts/soak."""

import asyncio

MAX_HEADER = 65536


class Message:
    """A request or an answer: first line, fields with lower-case names, body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])

    @property
    def method(self):
        return self.first.split(" ", 2)[0]

    @property
    def target(self):
        return self.first.split(" ", 2)[1]


async def read_message(reader, is_answer=False):
    """The next message, or None at the end of the stream. Raises EOFError if the
    stream ends within a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("stream ended in a header") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            name = name.lower()
            value = value.strip()
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif is_answer:
            body = await reader.read()
    except asyncio.IncompleteReadError as error:
        raise EOFError("stream ended in a body") from error
    return Message(lines[0], fields, body)


def write_message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, fields=(), body=b""):
    return write_message(f"HTTP/1.1 {status} Status", list(fields), body)


def reset(writer):
    """Closes the connection with a reset."""
    writer.transport.abort()
