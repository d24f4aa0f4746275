"""A fleet whose engines end when they begin to answer some requests, and come
back after a moment."""

import os
import threading
import time

from cluster import request
from platform_cluster import DESK, MODEL
from relay import Relay


class CrashingFleet:
    """Routers and engines in some data centres; add_engine() takes what makes
    an engine end. An engine that ended comes back after back_s: as another one,
    or at the same address under the same id. Behind relays, it comes back as
    another one at the same address, which accepts connections meanwhile."""

    def __init__(self, system, zones, engines_per_zone, crash_options, back_s=1.0,
                 is_same_engine=False, routers_per_zone=1, desks=0, has_relays=False):
        self.system = system
        self.record = os.path.join(system.folder.name, "runs")
        self.crash_options = list(crash_options)
        self.back_s = back_s
        self.is_same_engine = is_same_engine
        self.has_relays = has_relays
        self.crash_times = []
        self._is_over = threading.Event()
        for zone in zones:
            for index in range(engines_per_zone):
                self.add_engine(f"engine-{zone}-{index}", zone)
        for index in range(desks):
            self.add_engine(f"desk-{index}", zones[index % len(zones)], DESK)
        for index in range(len(zones) * routers_per_zone):
            system.add_router(f"router-{index}", zone=zones[index % len(zones)])
        for router in system.routers:
            system.wait_served(router)
        self._replacer = threading.Thread(target=self._replace_crashed)
        self._replacer.start()

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self._is_over.set()
        self._replacer.join()
        for router in self.system.routers:
            router.kill()

    def add_engine(self, name, zone, service=MODEL, port=None, relay=None):
        port = port or (self.system.take_ports(1)[0] if self.is_same_engine else 0)
        options = ["--record", self.record, "--port", str(port)] + self.crash_options
        if self.has_relays:
            relay = relay or Relay(self.system, f"relay-{name}", self.system.store.port)
            options += ["--advertise", f"127.0.0.1:{relay.port}"]
        engine = self.system.add_engine(name, service=service, zone=zone, extra=options)
        engine.zone = zone
        engine.service = service
        engine.relay = relay
        if relay:
            relay.command(f"to 127.0.0.1:{engine.port}")

    def _come_back(self, name, engine):
        if self.is_same_engine:
            self.add_engine(name, engine.zone, engine.service, engine.port)
            return
        request(self.system.store.port, "DELETE", f"/objects/servers/{name}")
        self.add_engine(name + "x", engine.zone, engine.service, relay=engine.relay)

    def _replace_crashed(self):
        due = []
        while not self._is_over.wait(0.005):
            now = time.monotonic()
            for name, engine in list(self.system.engines.items()):
                if engine.child.poll() is not None:
                    self.crash_times.append(now)
                    due.append((now + self.back_s, name, engine))
                    del self.system.engines[name]
            for entry in [each for each in due if each[0] <= now]:
                due.remove(entry)
                self._come_back(*entry[1:])

    def runs(self, prefix):
        """Runs of requests whose id begins so, over all engines that ever were."""
        with open(self.record, encoding="utf-8") as lines:
            return sum(f" {prefix}" in line for line in lines)
