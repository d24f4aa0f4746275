"""A caller's connection, byte by byte: sends requests one after the other and records what
comes back, also how the connection ends and what comes without a request."""

import re
import select
import socket
import time

from caller_view import End, Exchange
from platform_cluster import EVENTS, HOST, KEY, expected_events

# How long a caller waits for the next byte.
PATIENCE_S = 20
# What a request may take on its way before the announced idle time is over.
IDLE_MARGIN_S = 0.3
# Time limits of the routes of the test deployment, in seconds.
TIMEOUTS_S = {"stream": 10.0, "book": 1.0, "look": 1.0}
REPEATABLE = ("stream", "look", "find", "added")
READ_ONLY = ("look", "find", "added")


def new_exchange(router, request_id, path, timeout_s=None):
    """The record of a request on one of the deployment's routes, named by its path."""
    kind = path.split("/")[1].split("-")[0]
    expected = expected_events() if kind == "stream" else f"ran {request_id}"
    return Exchange(request_id, kind, router.node, expected.encode(),
                    timeout_s or TIMEOUTS_S.get(kind, 1.0), kind not in REPEATABLE)


class Ended(Exception):
    """The connection gives no more bytes."""

    def __init__(self, end):
        super().__init__(end.value)
        self.end = end


def leave():
    """Ends the exchange of a caller that has seen enough."""
    raise Ended(End.LEFT)


class KeptConnection:
    """One connection of a caller, open for as long as its router lets it be."""

    def __init__(self, router):
        self.router = router
        self.socket = socket.create_connection(("127.0.0.1", router.callers), PATIENCE_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.caller_port = self.socket.getsockname()[1]
        self.connected_at = time.monotonic()
        self.unread = b""
        self.last = None
        self.is_usable = True
        self.usable_until = None

    def close(self):
        self.is_usable = False
        self.socket.close()

    def may_send(self):
        """Whether a sound caller would send its next request here."""
        if self.is_usable and self.usable_until and time.monotonic() > self.usable_until:
            self.close()
        if self.is_usable and select.select([self.socket], [], [], 0)[0]:
            self.note_unasked()
        return self.is_usable

    def note_unasked(self):
        """Bytes without a request belong to nobody; an end is the router's right when it
        has promised nothing."""
        try:
            piece = self.receive()
        except Ended:
            piece = b""
            if self.usable_until:
                self.last.early_close_at = time.monotonic()
        if self.last is not None:
            self.last.extra += piece
        self.close()

    def exchange(self, record, path, fields=None, body=b"{}", sending=None, on_piece=None):
        """Sends a request and fills its record. `sending` takes the connection's socket and
        the bytes; `on_piece` sees the record grow and may end the exchange by leaving."""
        record.is_kept = self.last is not None
        record.connected_at = self.connected_at
        record.caller_port = self.caller_port
        record.began_at = time.monotonic()
        request = request_bytes(record, path, fields, body)
        try:
            self.send(record, request, sending)
            self.read_answer(record, on_piece)
        except Ended as ended:
            record.end = ended.end
        record.ended_at = time.monotonic()
        # The rest of an answer that its caller leaves belongs to it.
        record.extra += self.unread if record.is_whole else b""
        self.unread = b""
        self.last = record
        self.note_promise(record)
        return record

    def send(self, record, request, sending):
        try:
            record.last_bytes = (sending or send_at_once)(self.socket, request)
            record.sent_at = time.monotonic()
        except OSError:
            # An answer may have come before the end of the request.
            pass

    def note_promise(self, record):
        """Goes by what the router said of the connection."""
        if not record.is_whole or record.fields.get("connection", "").lower() == "close":
            self.close()
            return
        found = re.match(r"timeout=(\d+)", record.fields.get("keep-alive", ""))
        if found:
            self.usable_until = record.ended_at + int(found.group(1)) - IDLE_MARGIN_S

    def receive(self):
        try:
            piece = self.socket.recv(65536)
        except TimeoutError:
            raise Ended(End.SILENT) from None
        except OSError:
            raise Ended(End.RESET) from None
        if not piece:
            raise Ended(End.CLOSED)
        return piece

    def take_until(self, mark):
        while mark not in self.unread:
            self.unread += self.receive()
        taken, _, self.unread = self.unread.partition(mark)
        return taken

    def take(self, count):
        """Some of the next bytes, at most that many."""
        if not self.unread:
            self.unread = self.receive()
        taken, self.unread = self.unread[:count], self.unread[count:]
        return taken

    def read_answer(self, record, on_piece):
        lines = self.take_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        found = re.fullmatch(r"HTTP/1\.1 ([1-5]\d\d)( .*)?", lines[0])
        if not found or not all(re.match(r"[!-9;-~]+:", line) for line in lines[1:]):
            raise Ended(End.MALFORMED)
        record.status = int(found.group(1))
        record.fields = {name.lower(): value.strip() for name, _, value in
                         (line.partition(":") for line in lines[1:])}
        for piece in self.body_pieces(record):
            record.body += piece
            if on_piece:
                on_piece(record)
        record.is_whole = True

    def body_pieces(self, record):
        if "chunked" in record.fields.get("transfer-encoding", ""):
            yield from self.chunks()
        elif "content-length" in record.fields:
            yield from self.counted(int(record.fields["content-length"]))
        else:
            # Neither is allowed here: nobody could tell an early end.
            raise Ended(End.MALFORMED)

    def counted(self, count):
        while count:
            piece = self.take(count)
            count -= len(piece)
            yield piece

    def chunks(self):
        while True:
            try:
                size = int(self.take_until(b"\r\n"), 16)
            except ValueError:
                raise Ended(End.MALFORMED) from None
            yield from self.counted(size)
            if self.take_until(b"\r\n"):
                raise Ended(End.MALFORMED)
            if size == 0:
                return


def send_at_once(connection, request):
    """Gives how many bytes were sent last."""
    connection.sendall(request)
    return len(request)


def send_in_parts(connection, request, parts, pause_s):
    size = -(-len(request) // parts)
    for begin in range(0, len(request), size):
        if begin:
            time.sleep(pause_s)
        connection.sendall(request[begin:begin + size])
    return len(request) - begin


def request_bytes(record, path, fields, body):
    method = "GET" if record.kind in READ_ONLY else "POST"
    body = b"" if method == "GET" else body
    all_fields = {"Host": HOST, "Authorization": f"Token {KEY}",
                  "Auburnlb-Request-Id": record.request_id,
                  "Auburnlb-Deadline-Ms": str(int(record.timeout_s * 1000)),
                  "Auburnlb-Model": "m", "Auburnlb-Token-Counts": f"100,{EVENTS}",
                  **({} if method == "GET" else {"Content-Length": str(len(body))}),
                  **(fields or {})}
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}"
                                             for name, value in all_fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ask(router, request_id, path, fields=None, timeout_s=None, on_piece=None):
    """The record of one request on a connection of its own."""
    connection = KeptConnection(router)
    try:
        return connection.exchange(new_exchange(router, request_id, path, timeout_s), path,
                                   fields, on_piece=on_piece)
    finally:
        connection.close()
