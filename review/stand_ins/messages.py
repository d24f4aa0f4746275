"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
import time

# What was sent, answered and run, in order; written to record.txt at the end.
RECORD = []
BEGAN = time.monotonic()


def note(text):
    RECORD.append(f"{time.monotonic() - BEGAN:8.3f} {text}")


class Message:
    """A request or an answer: its first line, header fields and body."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """The head of the next message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, message, on_piece=None):
    """Reads the body. Returns whether it is whole."""
    try:
        if "chunked" in message.field("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"", 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return True
                message.body += piece[:-2]
                if on_piece:
                    on_piece(piece[:-2])
        length = int(message.field("content-length", "0"))
        message.body = await reader.readexactly(length)
        return True
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return False


def render(first, fields, body=b""):
    """A message whose body has a length."""
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Listens on a loopback port; each connection is served by a coroutine."""

    def __init__(self, serve):
        self.serve = serve
        self.port = 0
        self.listener = None
        self.connections = set()

    async def open(self, port=0):
        self.listener = await asyncio.start_server(
            self.on_connection, "127.0.0.1", port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except OSError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def close(self):
        """As when the process ends: no port, and every connection is reset."""
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"
