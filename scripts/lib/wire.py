"""HTTP/1.1 messages for the simulated outside systems of scripts/soak."""

import asyncio

MAX_HEADER_BYTES = 65536


class Message:
    """An HTTP request or response: start line, header fields with lower-case names
    and the body."""

    def __init__(self, start_line, fields, body):
        self.start_line = start_line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.start_line.split(" ", 2)[1])

    @property
    def method(self):
        return self.start_line.split(" ", 2)[0]

    @property
    def target(self):
        return self.start_line.split(" ", 2)[1]


async def read_message(reader, is_response=False):
    """Reads the next message; returns None at the end of the stream. Raises EOFError
    if the stream ends within a message."""
    try:
        header = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("stream ended within a header") from error
        return None
    lines = header.decode("latin-1").split("\r\n")
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
        elif is_response:
            body = await reader.read()
    except asyncio.IncompleteReadError as error:
        raise EOFError("stream ended within a body") from error
    return Message(lines[0], fields, body)


def format_message(start_line, fields, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def format_response(status, fields=(), body=b""):
    return format_message(f"HTTP/1.1 {status} Status", list(fields), body)


def reset(writer):
    """Closes the connection at once and discards buffered data."""
    writer.transport.abort()
