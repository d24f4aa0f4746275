"""A small deployment: the store, engines, and routers started with the command
of the deploy file. The outcome of a case is its exit code."""

import asyncio
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

from messages import RECORD, note, read_body, read_head
from users_platform import Store

SOURCE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "service.example"
KEY = "key-of-tenant"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def end_with_parent():
    """Lets the kernel end the process when this script ends, whatever ends it."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class NotRun(Exception):
    """The case could not be run."""


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind,
            "timeout-ms": 20000, "latency-target-ms": 500, "priority": 1, "service": service,
            "max-attempts": 1, "public": False, **more}


def model(layers, layer_mb, cards, stride=3):
    """The engine part of a split model's service; cards: name, memory, pace."""
    return {"batch-slots": 192, "kv-bytes": 918000.0, "stride": stride,
            "models": [{"name": "m0", "load-s": 1.0}], "step_ms": 1.02, "per_seq_ms": 0.00714,
            "context_per_k": 0.00956, "read_per_s": 105000.0, "layers": layers,
            "layer-mb": layer_mb, "act-bytes": 45900.0, "pipe-mbps": 26000.0,
            "loads_at_once": 5, "usual": {"prompt": 760, "answer": 120},
            "kinds": [{"name": name, "mb": mb, "pace": pace, "read-x": 3.2}
                      for name, mb, pace in cards]}


def configuration(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 2000, "idle-timeout-ms": 20000},
            "tenants": [{"name": "tenant-one", "api-keys": list(keys)}]}


def free_ports(count):
    chosen = random.SystemRandom()
    found = set()
    while len(found) < count:
        port = chosen.randrange(10_000, 32_000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        found.add(port)
    return list(found)


class Router:
    """One process of the project, with the settings of a small deployment."""

    memory_mb = 260

    def __init__(self, folder, store_address, name, zone, ports, seeds):
        self.name, self.zone = name, zone
        self.callers, self.ready, self.control = ports
        values = {"node": {"name": name, "data_centre": zone, "region": "gujarat"},
                  "log": {"format": "json"},
                  "router": {"callers": f"127.0.0.1:{self.callers}",
                             "ready": f"127.0.0.1:{self.ready}",
                             "control": f"127.0.0.1:{self.control}",
                             "store": store_address, "seeds": ",".join(seeds),
                             "retry_ratio": 0.2, "retry_slack": 196, "retry_window_s": 10,
                             "store_silence_ms": 3000, "stop_limit_ms": 8000}}
        self.settings = os.path.join(folder, f"{name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(values, file)
        self.log_path = os.path.join(folder, f"{name}.log")
        self.child = None

    def start(self):
        with open(os.path.join(SOURCE, "deploy", "system.toml"), encoding="utf-8") as file:
            words = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE).group(1).split()
        command = [os.path.join(SOURCE, words[0])] + \
            [self.settings if each.startswith("/etc/") else each for each in words[1:]]
        if not os.access(command[0], os.X_OK):
            raise NotRun(f"{words[0]} is not built")
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, cwd=SOURCE,
                                          preexec_fn=end_with_parent)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def end(self):
        if not self.is_running():
            return
        self.child.send_signal(signal.SIGCONT)
        self.child.send_signal(signal.SIGTERM)
        try:
            self.child.wait(0.5)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()

    def kill(self):
        self.child.kill()
        self.child.wait()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def metric(self, name):
        """The value of one of the router's own metrics, or None."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: router\r\n\r\n")
        head = await read_head(reader)
        await read_body(reader, head)
        writer.close()
        for line in head.body.decode().splitlines():
            if line.startswith(name):
                return float(line.split()[-1])
        return None


class Caller:
    """A client's connection that is kept for many requests."""

    def __init__(self, router):
        self.router = router
        self.reader = self.writer = None
        self.request_id = ""

    async def connect(self, limit=1 << 20):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.router.callers, limit=limit)

    def send(self, method, path, request_id, fields=(), body=b"", deadline_ms=20000, key=KEY):
        self.request_id = request_id
        note(f"sent to {self.router.name}: {request_id}, {method} {path}")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Token {key}",
                 f"Auburnlb-Request-Id: {request_id}", f"Auburnlb-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def answer(self, on_piece=None):
        """(status, whole, message); the status is 0 where no answer came."""
        head = await read_head(self.reader)
        if head is None:
            note(f"answered to {self.request_id}: nothing, the connection has ended")
            return 0, False, None
        whole = await read_body(self.reader, head, on_piece)
        status = int(head.first.split()[1])
        note(f"answered to {self.request_id}: {status}, {len(head.body)} bytes, "
             f"{'whole' if whole else 'not whole'}")
        return status, whole, head

    async def ask(self, method, path, request_id, **more):
        if self.writer is None:
            await self.connect()
        self.send(method, path, request_id, **more)
        status, whole, message = await self.answer()
        if status == 0 or not whole or message.field("connection") == "close":
            self.close()
        return status, whole, message

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.routers = []
        self.engines = []

    @staticmethod
    def record(text):
        note(text)

    async def open(self):
        await self.store.server.open()

    async def add(self, engine, port=0):
        await engine.open(port)
        self.engines.append(engine)
        return engine

    def add_routers(self, zones, store_addresses=None):
        """One router for each zone that is named; the store's address may be
        that of a relay."""
        ports = sorted(free_ports(3 * len(zones)))
        triples = [ports[index * 3:index * 3 + 3] for index in range(len(zones))]
        seeds = [f"127.0.0.1:{triple[2]}" for triple in triples]
        for index, zone in enumerate(zones):
            address = store_addresses[index] if store_addresses else self.store.server.address
            router = Router(self.folder, address, f"front-{zone}-{index + 1}", zone,
                            triples[index], seeds)
            self.routers.append(router)
            router.start()

    async def wait(self, condition, what, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"not within {limit_s} s: {what}")

    async def wait_served(self, method, path, fields=()):
        """Waits until every router serves the route."""
        for router in self.routers:
            async def is_served(router=router):
                caller = Caller(router)
                try:
                    status, whole, _ = await caller.ask(
                        method, path, f"probe-{time.monotonic_ns()}", fields=fields)
                except OSError:
                    return False
                finally:
                    caller.close()
                return status == 200 and whole
            await self.wait(is_served, f"{router.name} serves {path}")

    def end(self):
        for router in self.routers:
            router.end()
        for engine in self.engines:
            engine.server.close()
        self.store.server.close()


def run_case(folder, play, limit_s=110):
    """Plays a case and exits with its outcome. play(deployment) returns whether
    the rule held."""
    async def main(temporary):
        deployment = Deployment(temporary)
        try:
            await deployment.open()
            held = await asyncio.wait_for(play(deployment), limit_s)
            deployment.record("the rule held" if held else "the rule is broken")
            return HELD if held else BROKEN
        # Whatever else goes wrong must not look like a broken rule.
        except Exception as failure:  # pylint: disable=broad-except
            deployment.record(f"the case could not be run: {failure!r}")
            return NOT_RUN
        finally:
            deployment.end()
            with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
                file.write("\n".join(RECORD) + "\n")
    with tempfile.TemporaryDirectory(prefix="auburnlb-review-") as temporary:
        code = asyncio.run(main(temporary))
    sys.exit(code)
