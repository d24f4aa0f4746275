"""A small deployment of the users' platform on the loopback: its store, split
engines, plain services and routers, each a process of its own."""

import http.client
import json
import os
import random
import socket
import tempfile
import threading
import time

from caller_view import Life
from cluster import BUILD, Process, request, wait_until

MODEL = "model"
DESK = "desk"
HOST = "service.example"
KEY = "key-of-workspace"
EVENTS = 40
LAYERS = 8
ENGINE_MB = 1000.0
# Below the range from which the system takes ports of outgoing connections, so that a
# process finds its ports free when it starts, and when it starts again.
PORTS = range(10_000, 32_000)


def configuration(version=1, routes=(), keys=(KEY,), timeout_ms=10_000, book_attempts=1,
                  step_ms=1.0, per_seq_ms=0.0, limits=None, read_per_s=100000.0):
    """The operators' object: a stream route and two plain ones."""
    base = [
        {"name": "stream", "host": HOST, "path-prefix": "/stream/", "kind": "streaming",
         "timeout-ms": timeout_ms, "latency-target-ms": 500, "priority": 1, "service": MODEL,
         "max-attempts": 2, "public": False, "resumable": True, "gap-aim-ms": 200},
        {"name": "book", "host": HOST, "path-prefix": "/book/", "kind": "unsafe",
         "timeout-ms": 1000, "latency-target-ms": 100, "priority": 2, "service": DESK,
         "max-attempts": book_attempts, "public": False},
        {"name": "look", "host": HOST, "path-prefix": "/look/", "kind": "safe",
         "timeout-ms": 1000, "latency-target-ms": 100, "priority": 2, "service": DESK,
         "max-attempts": 2, "public": False}]
    return {"version": version, "routes": base + list(routes),
            "services": [
                {"name": MODEL, "max-connections": 64,
                 "engine": {"batch-slots": 16, "kv-bytes": 80000, "stride": 1,
                            "models": [{"name": "m", "load-s": 0.1}], "step_ms": step_ms,
                            "per_seq_ms": per_seq_ms, "read_per_s": read_per_s, "layers": LAYERS,
                            "layer-mb": 100.0, "act-bytes": 1000, "pipe-mbps": 10000.0,
                            "loads_at_once": 5,
                            "usual": {"prompt": 100, "answer": EVENTS},
                            "kinds": [{"name": "card", "mb": ENGINE_MB / 2, "pace": 2.0,
                                       "read-x": 1.0}]}},
                {"name": DESK, "max-connections": 64}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 65536,
                       "header-timeout-ms": 500, "idle-timeout-ms": 20000,
                       **(limits or {})},
            "tenants": [{"name": "workspace", "api-keys": list(keys)}]}


def free_ports(count, given=()):
    """Ports on which nothing listens, each once, and none that was given before."""
    chosen = random.SystemRandom()
    found = set()
    while len(found) < count:
        port = chosen.choice([each for each in PORTS if each not in given])
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        found.add(port)
    return list(found)


def expected_events(first=1, last=EVENTS):
    return "".join(f"id: {number}\ndata: piece-{number}\n\n"
                   for number in range(first, last + 1))


class Caller:
    """One attempt of a caller; what came is kept when the connection breaks."""

    def __init__(self, router, method, path, request_id, headers=None, body="{}",
                 on_piece=None):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.text = ""
        self.is_whole = False
        self.times = []
        self.ended_at = None
        connection = http.client.HTTPConnection("127.0.0.1", router.callers, timeout=20)
        fields = {"Host": HOST, "Authorization": f"Token {KEY}",
                  "Auburnlb-Request-Id": request_id, "Auburnlb-Deadline-Ms": "8000",
                  "Auburnlb-Model": "m", "Auburnlb-Token-Counts": f"100,{EVENTS}"}
        fields.update(headers or {})
        try:
            connection.request(method, path, body if method == "POST" else None, fields)
            answer = connection.getresponse()
            self.status = answer.status
            self.headers = {name.lower(): value for name, value in answer.getheaders()}
            while True:
                piece = answer.read1(65536)
                if not piece:
                    break
                self.text += piece.decode()
                self.times.append(time.monotonic())
                if on_piece:
                    on_piece(self)
            self.is_whole = True
        except (http.client.HTTPException, OSError):
            pass
        finally:
            self.ended_at = time.monotonic()
            connection.close()


class PlatformCluster:
    """Everything of one deployment. Processes are ended by id."""

    # Settings of the section "router" that its routers have besides the usual ones.
    router_settings = {}

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="auburnlb-")
        self.processes = []
        self.engines = {}
        self.routers = []
        self.version = 0
        self.seeds = []
        # A process binds its ports some time after it was given them.
        self.given_ports = set()
        # Engines that are told so write each run here, so that it outlives them.
        self.record = os.path.join(self.folder.name, "runs")
        self.store = self.start("store", [os.path.join(BUILD, "fake-users_store")])
        self.store.port = int(self.store.first_line.rsplit(":", 1)[1])
        self.configure()

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        if failure[0] is not None:
            for process in self.processes:
                print(f"--- {process.name}\n" + "\n".join(process.log().splitlines()[-25:]))
        for process in reversed(self.processes):
            process.end()
        self.folder.cleanup()

    def start(self, name, command, is_announcing=True):
        process = Process(name, command, os.path.join(self.folder.name, name + ".log"),
                          is_announcing)
        self.processes.append(process)
        return process

    def configure(self, **changes):
        """Writes the next version of the configuration."""
        self.version += 1
        spec = configuration(version=self.version, **changes)
        body = {"metadata": {"name": "main"}, "spec": spec}
        method, path = ("POST", "/objects/config?operator=1") if self.version == 1 \
            else ("PUT", "/objects/config/main?operator=1")
        status, _, text = request(self.store.port, method, path, body)
        assert status == 200, text
        return self.version

    def take_ports(self, count):
        """Free ports that this deployment gives to nobody else."""
        ports = free_ports(count, self.given_ports)
        self.given_ports.update(ports)
        return ports

    def store_mode(self, mode):
        assert request(self.store.port, "POST", "/fake/mode", mode)[0] == 200

    def add_engine(self, name, service=MODEL, zone="dc1", extra=()):
        command = [os.path.join(BUILD, "fake-users_engine"), "--id", name, "--store",
                   f"127.0.0.1:{self.store.port}", "--service", service, "--zone", zone,
                   "--events", str(EVENTS)]
        if service == MODEL:
            command += ["--kind", "card"]
        command += extra
        engine = self.start(name, command)
        engine.port = int(engine.first_line.rsplit(":", 1)[1])
        self.engines[name] = engine
        return engine

    def fault(self, name, what):
        assert request(self.engines[name].port, "POST", "/fake/fault", what)[0] == 200

    def runs(self):
        """Runs and cancelled runs by request, over all engines that live."""
        totals = {"runs": {}, "cancelled": {}}
        for engine in self.engines.values():
            if engine.child.poll() is not None:
                continue
            counts = json.loads(request(engine.port, "GET", "/fake/runs")[2])
            for kind, total in totals.items():
                for request_id, count in counts[kind].items():
                    total[request_id] = total.get(request_id, 0) + count
        return totals

    def recorded_runs(self):
        """How often each request ran, over all recording engines that ever lived."""
        counts = {}
        try:
            with open(self.record, encoding="utf-8") as lines:
                for line in lines:
                    request_id = line.split()[-1]
                    counts[request_id] = counts.get(request_id, 0) + 1
        except FileNotFoundError:
            pass
        return counts

    def lives(self):
        """Each process of a router, for the check of what callers saw."""
        return [Life(each.node, each.began_at, each.ended_at,
                     each.ended_at is not None and each.child.wait() != 0)
                for each in self.processes if hasattr(each, "node")]

    def add_router(self, name="router", zone="dc1", store_port=None, ports=None,
                   retry_slack=200.0, router_settings=None):
        callers, ready, control = ports or self.take_ports(3)
        address = f"127.0.0.1:{control}"
        values = {"node": {"name": name, "data_centre": zone, "region": "one"},
                  "log": {"format": "json"},
                  "router": {"callers": f"127.0.0.1:{callers}", "ready": f"127.0.0.1:{ready}",
                             "control": address,
                             "store": f"127.0.0.1:{store_port or self.store.port}",
                             "seeds": ",".join(self.seeds + [address]), "retry_slack": retry_slack,
                             "stop_limit_ms": 8000, **self.router_settings,
                             **(router_settings or {})}}
        path = os.path.join(self.folder.name, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file)
        router = self.start(f"{name}-{len(self.processes)}",
                            [os.path.join(BUILD, "auburnlb-router"), "--settings", path],
                            is_announcing=False)
        router.callers, router.ready, router.control = callers, ready, control
        # What stays when another process takes the ports over.
        router.node, router.zone = name, zone
        router.retry_slack = retry_slack
        router.watch_end()
        router.settings = path
        self.seeds.append(address)
        self.routers.append(router)
        return router

    def restart_router(self, router):
        """Starts a router that has ended once more, at its ports."""
        place = self.routers.index(router)
        self.add_router(router.node, router.zone,
                        ports=(router.callers, router.ready, router.control),
                        retry_slack=router.retry_slack)
        self.seeds.pop()
        self.routers[place] = self.routers.pop()
        return self.routers[place]

    def ready_status(self, router):
        """Status of the readiness probe; None while nothing listens."""
        try:
            return request(router.ready, "GET", "/ready")[0]
        except OSError:
            return None

    def is_ready(self, router):
        return self.ready_status(router) == 200

    def wait_ready(self, router):
        wait_until(lambda: self.is_ready(router), "the router is ready")

    def wait_served(self, router):
        """Waits until the layers are placed and a stream is whole."""
        def is_served():
            self.probe = getattr(self, "probe", 0) + 1
            return self.stream(router, f"probe-{self.probe}").text == expected_events()
        self.wait_ready(router)
        wait_until(is_served, "a stream is served")

    def stream(self, router, request_id, headers=None, on_piece=None):
        return Caller(router, "POST", "/stream/x", request_id, headers, on_piece=on_piece)

    def book(self, router, request_id, headers=None):
        return Caller(router, "POST", "/book/x", request_id, headers)

    def look(self, router, request_id, headers=None):
        return Caller(router, "GET", "/look/x", request_id, headers)

    def path_of(self, router, request_id):
        """Engines that the request passed, by the router's log."""
        for line in router.log().splitlines():
            if f'"{request_id}"' in line and '"E0405"' in line:
                path = json.loads(line)["path"]
                return [part.split("=")[0] for part in path.split(",")]
        return []


def calm(routers=1, zones=("dc1", "dc2"), router_settings=None):
    """A deployment whose layers are placed twice, with two plain services."""
    system = PlatformCluster()
    recording = ("--record", system.record)
    try:
        for zone in zones:
            for index in range(2):
                system.add_engine(f"engine-{zone}-{index}", zone=zone, extra=recording)
        for index in range(2):
            system.add_engine(f"desk-{index}", service=DESK, zone=zones[index % len(zones)],
                              extra=recording)
        for index in range(routers):
            system.add_router(f"router-{index}", zone=zones[index % len(zones)],
                              router_settings=router_settings)
        for router in system.routers:
            system.wait_served(router)
    except BaseException:
        system.__exit__(RuntimeError, None, None)
        raise
    return system


def in_background(function, *arguments):
    """Runs a function in a thread; join() gives its value."""
    class Task(threading.Thread):
        value = None

        def run(self):
            self.value = function(*arguments)

        def result(self):
            self.join()
            return self.value
    task = Task()
    task.start()
    return task
