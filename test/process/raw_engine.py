"""A stand-in of a plain service that writes its answers byte by byte as a test
says: late, repeated, cut or without the fields that they should have."""

import json
import random
import socket
import threading
import time

from cluster import request, wait_until
from platform_cluster import DESK, HOST, PlatformCluster

# Draws where answers are cut; seeded, so that a failure can be played again.
CUTS = random.Random(21)
# Between two pieces of an answer, so that they are read one by one.
PIECE_GAP_S = 0.0005

# Streams of a service without layers.
FEED_ROUTE = {"name": "feed", "host": HOST, "path-prefix": "/feed/", "kind": "streaming",
              "timeout-ms": 8000, "latency-target-ms": 500, "priority": 1, "service": DESK,
              "max-attempts": 2, "public": False, "resumable": True, "gap-aim-ms": 200}


def render(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(request_id, text=None, status="200 OK", is_named=True):
    """An answer as a sound engine writes it."""
    body = (f"ran {request_id}" if text is None else text).encode()
    names = [("Auburnlb-Request-Id", request_id)] if is_named else []
    return render(status, [("Content-Type", "text/plain; charset=utf-8"), *names,
                           ("Auburnlb-Response-Stamp", f"stamp-{request_id}"),
                           ("Content-Length", len(body))], body)


def stream_head(request_id, content_type="text/event-stream"):
    return render("200 OK", [("Content-Type", content_type), ("Auburnlb-Request-Id", request_id),
                             ("Auburnlb-Response-Stamp", "stamp"),
                             ("Transfer-Encoding", "chunked")])


def refusal(request_id, status="503 Service Unavailable"):
    return render(status, [("Auburnlb-Request-Id", request_id), ("Auburnlb-Not-Executed", "1"),
                           ("Content-Length", 0)])


class Exchange:
    """One request on a connection, which answers it by write()."""

    def __init__(self, connection, method, target, request_id, number, last_event_id=0):
        self.connection = connection
        self.method, self.target = method, target
        self.request_id = request_id
        # The event after which a stream goes on; 0 for its beginning.
        self.last_event_id = last_event_id
        # How many requests the connection carried before.
        self.number = number

    def write(self, data, largest_piece=None):
        if largest_piece is None:
            self.connection.sendall(data)
            return
        while data:
            size = CUTS.randint(1, largest_piece)
            self.connection.sendall(data[:size])
            data = data[size:]
            time.sleep(PIECE_GAP_S)


class RawEngine:
    """Calls serve(exchange, memory) for each request, where memory is a dict of
    the connection. The connection is closed unless it returns True."""

    def __init__(self, system, name, serve, zone="dc1"):
        self.serve = serve
        self.runs = {}
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        spec = {"service": DESK, "address": address, "zone": zone, "version": "v1",
                "batch-slots": 16, "state": "ready", "sequence": 1, "born": 1}
        status, _, text = request(system.store.port, "POST", "/objects/servers?operator=1",
                                  {"metadata": {"name": name}, "spec": spec})
        assert status == 200, text

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(connection)
            threading.Thread(target=self.follow, args=(connection,), daemon=True).start()

    def follow(self, connection):
        memory = {}
        try:
            with connection, connection.makefile("rb") as reader:
                number = 0
                while (exchange := self.read(connection, reader, number)) is not None:
                    if exchange.target == "/report":
                        exchange.write(self.report())
                        continue
                    number += 1
                    self.runs[exchange.request_id] = self.runs.get(exchange.request_id, 0) + 1
                    if not self.serve(exchange, memory):
                        return
        except OSError:
            pass

    @staticmethod
    def read(connection, reader, number):
        words = reader.readline().split()
        if len(words) < 3:
            return None
        fields = {}
        while (line := reader.readline().strip()):
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip().decode()
        reader.read(int(fields.get(b"content-length", "0")))
        return Exchange(connection, words[0].decode(), words[1].decode(),
                        fields.get(b"auburnlb-request-id", ""), number,
                        int(fields.get(b"last-event-id", "0")))

    @staticmethod
    def report():
        body = json.dumps({"busy": False, "sequence": 0, "born": 1, "running": 0}).encode()
        return render("200 OK", [("Content-Type", "application/json"),
                                 ("Content-Length", len(body))], body)

    def close(self):
        # A thread that waits in accept() would keep a closed listener open.
        for each in [self.listener, *self.connections]:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.listener.close()


class RawDeployment(PlatformCluster):
    """A router before raw engines, which are sound until serve_by() is called."""

    def __init__(self, engines=1, routes=()):
        super().__init__()
        self.raw = []
        self.faulty = None
        try:
            self.configure(routes=list(routes))
            self.raw = [RawEngine(self, f"desk-{index}", self.serve) for index in range(engines)]
            self.router = self.add_router()
            self.wait_ready(self.router)
            wait_until(lambda: self.look(self.router, f"probe-{time.monotonic()}").status == 200,
                       "a call is served")
        except BaseException:
            self.__exit__(RuntimeError, None, None)
            raise

    def serve_by(self, faulty):
        self.faulty = faulty

    def serve(self, exchange, memory):
        if self.faulty is not None:
            return self.faulty(exchange, memory)
        exchange.write(answer(exchange.request_id))
        return True

    def count_runs(self, request_id):
        return sum(engine.runs.get(request_id, 0) for engine in self.raw)

    def __exit__(self, *failure):
        for engine in self.raw:
            engine.close()
        super().__exit__(*failure)
