"""Stand-ins for the platform's store, its servers and its clients, and routers as processes.

All of them speak what PROTOCOL.md says. The stand-ins run in the process of a case, each on a
loopback port of its own; each router is a process of its own, started with the command and the
settings template of the deploy file.
"""

import asyncio
import ctypes
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

# The bounds of the small deployment kalai-hq.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
          "sync-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
          "strict-revocation": False, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
          "budget-window-s": 10, "retry-slack": 196, "recover-s": 12, "pass-ms": 120,
          "again-s": 0, "stall_ms": 3000, "require-fencing": False}
HEARTBEAT_MS = 1200


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """One request with a length, or None at the end of the connection."""
    head = b""
    while not head.strip():
        head = await reader.readuntil(b"\r\n")
    lines = [head.decode().strip()]
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
        if not line:
            break
        lines.append(line)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def render(status, headers, body):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def abort(writer):
    """Resets a connection."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class HttpServer:
    """Serves one connection after the other's messages; handlers write the answers."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self, is_reset=True):
        """Ends as a killed process does: no listener, and all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            if is_reset:
                abort(writer)
            else:
                writer.close()

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.serve(message, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError,
                ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, message, reader, writer):
        raise NotImplementedError


class Store:
    """The platform's metadata store: objects by kind and name, watches, conditions."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Condition()
        self.doors = []

    async def add_door(self):
        """An address of the store, for one machine."""
        door = StoreDoor(self)
        await door.open()
        self.doors.append(door)
        return door

    async def put(self, kind, name, spec, expected=None):
        objects = self.objects.setdefault(kind, {})
        known = objects.get(name)
        if expected is not None and (known is None or known["metadata"]["revision"] != expected):
            return known
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["create-revision"] if known else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision,
                                      "create-revision": created, "finalizers": [],
                                      "deleting": False}, "spec": spec, "status": None}
        await self.tell(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            await self.tell(kind, known, True)

    async def tell(self, kind, entry, is_deleted):
        self.events.append((self.revision, kind, {"deleted": is_deleted, "object": entry}))
        async with self.changed:
            self.changed.notify_all()


class StoreDoor(HttpServer):
    def __init__(self, store):
        super().__init__()
        self.store = store
        self.mode = "sound"

    async def serve(self, message, reader, writer):
        if self.mode == "silent":
            await asyncio.sleep(600)
        status, body = await self.answer(message)
        if self.mode == "silent":
            await asyncio.sleep(600)
        text = json.dumps(body).encode()
        writer.write(render(status, [("Content-Type", "application/json")], text))
        await writer.drain()
        return True

    async def answer(self, message):
        store = self.store
        path, _, query = message.target.partition("?")
        values = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
        parts = path.strip("/").split("/")
        kind = parts[1] if len(parts) > 1 else ""
        objects = store.objects.setdefault(kind, {})
        if message.method == "GET" and len(parts) == 3:
            known = objects.get(parts[2])
            return (200, known) if known else (404, {})
        if message.method == "GET" and "watch" in values:
            since = int(values["watch"])
            until = time.monotonic() + min(int(values.get("wait-ms", "0")), 30000) / 1000
            while True:
                events = [event for revision, of_kind, event in store.events
                          if revision > since and of_kind == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": store.revision}
                async with store.changed:
                    try:
                        await asyncio.wait_for(store.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if message.method == "GET":
            after = values.get("after", "")
            items = [objects[name] for name in sorted(objects) if name > after]
            return 200, {"items": items, "has-more": False, "store-revision": store.revision}
        body = json.loads(message.body or b"{}")
        name = parts[2] if len(parts) > 2 else body["metadata"]["name"]
        known = objects.get(name)
        if message.method == "POST":
            if known:
                return 409, known
            return 201, await store.put(kind, name, body.get("spec"))
        if message.method == "PUT":
            expected = body.get("metadata", {}).get("revision")
            if known is None:
                return 404, {}
            if expected is not None and known["metadata"]["revision"] != expected:
                return 409, known
            return 200, await store.put(kind, name, body.get("spec"))
        if message.method == "DELETE":
            await store.delete(kind, name)
            return 200, {}
        return 400, {}


class Service(HttpServer):
    """What all servers of the platform do: they register, and check whom a request expects."""

    def __init__(self, store, record, name, service, zone, slots):
        super().__init__()
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = 0
        self.state = "ready"
        self.beats = 0
        self.running = 0
        # Request ids in the order in which this server began to work on them.
        self.runs = []
        self.is_up = False

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "batch-slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0, "sequence": self.beats, "born": self.born}

    async def start(self, port=0):
        await self.open(port)
        self.born = int(time.time() * 1000)
        self.is_up = True
        await self.register()

    async def register(self):
        await self.store.put("servers", self.id, self.entry())

    async def crash(self):
        """The process ends: its connections are reset and its port refuses."""
        self.is_up = False
        self.close()

    def refusal(self, message):
        expected = message.get("Auburnlb-Expect-Instance")
        if message.get("Auburnlb-Request-Id") is None:
            return 400, [("Auburnlb-Not-Executed", "1")]
        if expected is not None and expected != self.id:
            return 421, [("Auburnlb-Instance-Id", self.id), ("Auburnlb-Not-Executed", "1")]
        if self.running >= self.slots:
            return 503, [("Auburnlb-Not-Executed", "1")]
        return None

    def note_run(self, message):
        self.runs.append(message.get("Auburnlb-Request-Id"))
        self.record.write(f"run {self.id} {message.get('Auburnlb-Request-Id')} "
                          f"last={message.get('Last-Event-Id', '-')}")

    async def serve(self, message, reader, writer):
        if message.target == "/health":
            writer.write(render(200, [("Auburnlb-Instance-Id", self.id)], b""))
            return True
        if message.target == "/report":
            return self.report(writer)
        if message.target == "/order":
            return await self.order(message, writer)
        refused = self.refusal(message)
        if refused is not None:
            status, headers = refused
            echo = message.get("Auburnlb-Request-Id")
            if echo:
                headers.append(("Auburnlb-Request-Id", echo))
            self.record.write(f"not-executed {self.id} {echo} {status}")
            writer.write(render(status, headers, b""))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.run(message, reader, writer)
        finally:
            self.running -= 1

    def report(self, writer):
        writer.write(render(404, [], b""))
        return True

    async def order(self, message, writer):
        writer.write(render(400, [], b""))
        return True

    async def run(self, message, reader, writer):
        raise NotImplementedError


def stamp_of(server, message):
    return f"{server.id}.{message.get('Auburnlb-Request-Id')}"


def event_text(number):
    return f"id: {number}\ndata: piece-{number}\n\n"


class PlainService(Service):
    """Answers each request with one body after its work."""

    work_s = 0.015

    async def run(self, message, reader, writer):
        self.note_run(message)
        await asyncio.sleep(self.work_s)
        body = f"answer to {message.get('Auburnlb-Request-Id')}".encode()
        writer.write(render(200, [("Auburnlb-Request-Id", message.get("Auburnlb-Request-Id")),
                                  ("Auburnlb-Response-Stamp", stamp_of(self, message))], body))
        await writer.drain()
        return True


class StreamService(Service):
    """Answers each request with a stream of events, from the one after Last-Event-Id."""

    events = 40
    gap_s = 0.03

    def may_continue(self, message, number):
        """Whether the stream goes on to this event; a case may override it."""
        return True

    async def run(self, message, reader, writer):
        self.note_run(message)
        request_id = message.get("Auburnlb-Request-Id")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Auburnlb-Request-Id: {request_id}\r\n"
                      f"Auburnlb-Response-Stamp: {stamp_of(self, message)}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(message.get("Last-Event-Id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if writer.transport.is_closing() or reader.at_eof():
                self.record.write(f"cancelled {self.id} {request_id}")
                return False
            if not self.may_continue(message, number):
                self.record.write(f"reset {self.id} {request_id} before event {number}")
                abort(writer)
                return False
            piece = event_text(number).encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class ModelEngine(StreamService):
    """An engine of a model whose layers are split over engines."""

    def __init__(self, store, record, name, service, zone, kind, fleet, slots=192):
        super().__init__(store, record, name, service, zone, slots)
        self.kind = kind
        self.fleet = fleet
        self.layers = None
        self.is_busy = False
        self.orders = 0
        self.load_s = 0.3

    def entry(self):
        value = {**super().entry(), "kind": self.kind, "stage": "both",
                 "models": [{"name": "daka510000", "version": 1, "adapters": []}]}
        if self.layers:
            value["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return value

    async def start(self, port=0):
        await super().start(port)
        self.fleet[self.address] = self

    async def crash(self):
        await super().crash()
        self.layers = None
        self.orders = 0

    def report(self, writer):
        value = {"stage": "both", "models": [{"name": "daka510000", "version": 1,
                                              "adapters": []}],
                 "busy": self.is_busy, "sequence": self.orders, "queued": 0,
                 "running": self.running, "kv-used": 0, "kv-total": 90000, "handles": 0,
                 "kind": self.kind, "pace": 1.0, "stalled": [], "born": self.born}
        if self.layers:
            value["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        writer.write(render(200, [("Content-Type", "application/json")],
                            json.dumps(value).encode()))
        return True

    async def order(self, message, writer):
        body = json.loads(message.body)
        expected = message.get("Auburnlb-Expect-Instance")
        status = 202
        if expected is not None and expected != self.id:
            status = 421
        elif body.get("operation") != "place":
            status = 400
        elif self.is_busy or body.get("expect", self.orders) != self.orders:
            status = 409
        elif self.layers == (body["from"], body["to"]):
            status = 200
        self.record.write(f"order {self.id} {body.get('from')}-{body.get('to')} {status}")
        if status == 202:
            self.orders += 1
            asyncio.create_task(self.load((body["from"], body["to"]), self.born))
        writer.write(render(status, [], b""))
        return True

    async def load(self, layers, born):
        self.is_busy = True
        await asyncio.sleep(self.load_s)
        self.is_busy = False
        if self.is_up and self.born == born:
            self.layers = layers
            await self.register()

    def refusal(self, message):
        refused = super().refusal(message)
        if refused is not None:
            return refused
        path = message.get("Auburnlb-Hop-Count")
        for part in (path.split(",") if path else []):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            engine = self.fleet.get(address)
            if engine is None or not engine.is_up:
                return 503, [("Auburnlb-Not-Executed", "1"), ("At-Server", address)]
            held = engine.layers
            if held is None or held[0] > int(first) or held[1] < int(end):
                return 421, [("Auburnlb-Not-Executed", "1"), ("At-Server", address)]
        return None


def model_service(name, layers=80, layer_mb=1750.0):
    return {"name": name, "health-path": "/health", "max-connections": 1128, "protocol": "h1",
            "tls": False, "engine": {
                "batch-slots": 192, "kv-capacity": 100000, "kv-bytes": 918000,
                "link-mbps": 400000.0, "stride": 3,
                "models": [{"name": "daka510000", "pace": 1.0, "load-s": 14.0, "warm-s": 1.0}],
                "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
                "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
                "report_lag_ms": 200.0, "loads_at_once": 5,
                "usual": {"prompt": 774, "answer": 200}, "layers": layers,
                "layer-mb": layer_mb, "act-bytes": 45900, "pipe-mbps": 26000.0,
                "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read-x": 3.2},
                          {"name": "l40s", "mb": 43200.0, "pace": 5.6, "read-x": 2.7},
                          {"name": "l4", "mb": 21600.0, "pace": 16.0, "read-x": 8.2}]}}


def plain_service(name):
    return {"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1",
            "tls": False}


def stream_route(name, prefix, service, **changes):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": "streaming",
            "timeout-ms": 20000, "latency-target-ms": 500, "priority": 1, "service": service,
            "max-attempts": 2, "public": False, "session-affinity": True, "resumable": True,
            "gap-aim-ms": 200, **changes}


def plain_route(name, prefix, service, kind, attempts, **changes):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind,
            "timeout-ms": 2500, "latency-target-ms": 100, "priority": 2, "service": service,
            "max-attempts": attempts, "public": False, **changes}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}]}


def free_ports(count):
    """Ports below the range of outgoing connections, on which nothing listens."""
    import random
    found = []
    while len(found) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        try:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def fill_template(values):
    """The settings of a process, from the deploy file's template."""
    with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
        text = file.read()

    def replace(found):
        name, _, form = found.group(1).partition("|")
        value = values
        for part in name.split("."):
            value = value[part]
        if form == "json":
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(value)
        return json.dumps(value) if isinstance(value, bool) else str(value)
    return re.sub(r"\{\{([a-z0-9_.|-]+)\}\}", replace, text)


def end_with_parent(number):
    """Has the kernel send this signal to the calling process when its parent ends."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, number, 0, 0, 0)


class Router:
    """One machine of the class front, and its processes."""

    def __init__(self, name, zone, store_address, folder, record, bounds=None):
        self.name = name
        self.zone = zone
        self.store_address = store_address
        self.folder = folder
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.callers, self.ready, self.control = free_ports(3)
        self.process = None
        self.starts = 0

    def start(self, seeds):
        values = {"node-name": self.name, "zone": self.zone, "region": "gujarat",
                  "listen": {"front-address": f"127.0.0.1:{self.callers}",
                             "ready-address": f"127.0.0.1:{self.ready}",
                             "control": f"127.0.0.1:{self.control}"},
                  "provider": {"address": self.store_address}, "seeds": seeds,
                  "bounds": self.bounds, "heartbeat-ms": HEARTBEAT_MS}
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_template(values))
        self.starts += 1
        log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "wb")
        program = os.path.join(ROOT, os.environ.get("ROUTER", "target/auburnlb-router"))
        self.process = subprocess.Popen([program, "--settings", path], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        preexec_fn=lambda: end_with_parent(signal.SIGKILL))
        self.record.write(f"start {self.name} pid {self.process.pid}")

    def kill(self):
        self.record.write(f"SIGKILL {self.name}")
        self.process.kill()
        self.process.wait()

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
                self.process.wait()
            except OSError:
                pass

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")


class CannotRun(Exception):
    """The case can't show anything."""


class Answer:
    """What a client got for one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = 0.0
        self.ended_at = 0.0


async def read_answer(reader, answer):
    """Reads one answer; what came is kept when the connection breaks."""
    line = await reader.readuntil(b"\r\n")
    answer.status = int(line.split()[1])
    while True:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        if not line:
            break
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    elif answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        answer.body = await reader.read()
    answer.is_whole = True


class Client:
    """Sends requests on one connection."""

    def __init__(self, router, record):
        self.router = router
        self.record = record
        self.reader = None
        self.writer = None

    async def send(self, method, path, request_id, headers=(), body=b"", deadline_ms=20000):
        answer = Answer(request_id)
        answer.sent_at = time.monotonic()
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.router.callers)
            text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Auburnlb-Request-Id: {request_id}\r\n"
                    f"Auburnlb-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n")
            for name, value in headers:
                text += f"{name}: {value}\r\n"
            if method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            self.record.write(f"send {self.router.name} {request_id} {method} {path}")
            self.writer.write(text.encode() + b"\r\n" + body)
            await asyncio.wait_for(read_answer(self.reader, answer), deadline_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failure:
            self.record.write(f"broken {request_id} {type(failure).__name__}")
            self.close()
        answer.ended_at = time.monotonic()
        self.record.write(f"answer {request_id} {answer.status} whole={answer.is_whole} "
                          f"bytes={len(answer.body)}")
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def stream_headers(tokens="774,200", part="5c1e07a2:40", own="e4402b7d:734"):
    return [("Auburnlb-Model", "daka510000"), ("Auburnlb-Token-Counts", tokens),
            ("Auburnlb-Prefix-Hash", f"{part},{own}")]


async def send_once(router, record, method, path, request_id, headers=(), body=b"",
                    deadline_ms=20000):
    client = Client(router, record)
    answer = await client.send(method, path, request_id, headers, body, deadline_ms)
    client.close()
    return answer


# A script may run for 120 s.
LONGEST_RUN_S = 112


def run_case(case, folder):
    """Runs the coroutine case(record, add_router), which returns True if the rule held.

    Whatever happens to this process, its routers end: it ends them itself, also when it is told to
    stop or takes too long, and the kernel does when it is killed.
    """
    # Clients and servers share this process and its descriptors.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 8192) if most > 0 else 8192, most))
    record = Record(folder)
    routers = []
    temporary = tempfile.mkdtemp(prefix="auburnlb-review-")

    def finish(status):
        for router in routers:
            router.end()
        shutil.rmtree(temporary, ignore_errors=True)
        sys.stdout.flush()
        # What is left of the stand-ins' connections ends with this process.
        os._exit(status)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, lambda *_: finish(2))
    signal.alarm(LONGEST_RUN_S)
    end_with_parent(signal.SIGTERM)

    def add_router(name, zone, store_address, bounds=None):
        router = Router(name, zone, store_address, temporary, record, bounds)
        routers.append(router)
        return router

    try:
        status = 0 if asyncio.new_event_loop().run_until_complete(case(record, add_router)) else 1
    except Exception as failure:
        print(f"the case couldn't run: {failure!r}")
        status = 2
    finish(status)
