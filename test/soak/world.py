"""The soak's deployment: the users' platform of the process tests with a relay before
each engine and between each router and the store, whose processes end and start again."""

import json
import math
import signal
import time

import crashing_request
from caller_view import Link, Span
from cluster import request
from platform_cluster import DESK, HOST, MODEL, PlatformCluster
from relay import CallerRelay, Relay

ZONES = ("dc1", "dc2")
ENGINES_PER_ZONE = 3
DESKS = 3
ROUTERS = 3


class Member:
    """A router or an engine that may end and start again; `process` is the newest."""

    def __init__(self, name, relay, starter):
        self.name = name
        self.relay = relay
        self.starter = starter
        self.process = None
        self.incarnation = 0
        # When it was last killed, stopped, paused or let go on, by the monotonic clock.
        self.touches = [0.0]
        self.pauses = []
        self.is_end_expected = False
        self.is_planned_end = False
        self.is_paused = False
        self.stop_began = None
        self.restart_at = None

    def start(self):
        self.process = self.starter()
        self.incarnation += 1
        self.is_end_expected = self.is_planned_end = self.is_paused = False
        self.stop_began = self.restart_at = None
        self.touched = time.monotonic()

    @property
    def touched(self):
        return self.touches[-1]

    @touched.setter
    def touched(self, at):
        self.touches.append(at)

    def troubles(self):
        """Each time at which it was touched, and each pause."""
        return [Span(at, at) for at in self.touches] + self.pauses

    def is_running(self):
        return self.process.child.poll() is None

    def kill(self, restart_after_s):
        self.note_end(restart_after_s, is_planned=False)
        self.process.kill()

    def stop(self, restart_after_s):
        """Planned stop; the process ends when it has finished its work."""
        self.note_end(restart_after_s, is_planned=not self.is_end_expected)
        self.stop_began = time.monotonic()
        self.process.send(signal.SIGTERM)

    def note_end(self, restart_after_s, is_planned):
        self.touched = time.monotonic()
        self.is_end_expected = True
        self.is_planned_end = is_planned
        self.restart_at = self.touched + restart_after_s

    def pause(self):
        self.touched = time.monotonic()
        self.is_paused = True
        self.pauses.append(Span(self.touched, math.inf))
        self.process.send(signal.SIGSTOP)

    def resume(self):
        self.touched = time.monotonic()
        self.is_paused = False
        for each in self.pauses:
            each.ended_at = min(each.ended_at, self.touched)
        self.process.send(signal.SIGCONT)


class World(PlatformCluster):
    """All members by name, and what the operators wrote."""

    def __init__(self, link=None, crash_options=("--crash-body", crashing_request.BODY)):
        super().__init__()
        # The way between callers and routers; without one they are next to each other.
        self.link = link or Link()
        self.has_ways = link is not None
        self.limits = {}
        self.crash_options = crash_options
        # Times in which an engine may break off, and in which one is silent but sound.
        self.engine_troubles = []
        self.silences = []
        # Engines that are being drained.
        self.leaving = set()
        self.engines_by_name = {}
        self.routers_by_name = {}
        self.extra_routes = []
        # Newest added route that the store has acknowledged.
        self.newest_route = 0
        # Routers that callers are sent to.
        self.ready = []
        # Name of each engine that was drained, and its streams at the end.
        self.drained = []
        # When the store was last harmed or healed, by the monotonic clock.
        self.store_touched = 0.0
        for zone in ZONES:
            for index in range(ENGINES_PER_ZONE):
                self.add_member_engine(f"engine-{zone}-{index}", MODEL, zone)
        for index in range(DESKS):
            self.add_member_engine(f"desk-{index}", DESK, ZONES[index % len(ZONES)])
        for index in range(ROUTERS):
            self.add_member_router(f"router-{index}", ZONES[index % len(ZONES)])

    def configure(self, **changes):
        """Lets bookings be sent to a second endpoint, so that a wrong repeat is seen."""
        return super().configure(book_attempts=2, limits=getattr(self, "limits", None),
                                 **changes)

    def add_member_engine(self, name, service, zone):
        relay = Relay(self, f"relay-{name}", self.store.port)

        def start():
            engine = self.add_engine(name, service, zone,
                                     ["--advertise", f"127.0.0.1:{relay.port}",
                                      "--record", self.record,
                                      *self.crash_options])
            relay.command(f"to 127.0.0.1:{engine.port}")
            return engine
        member = Member(name, relay, start)
        member.service = service
        member.zone = zone
        member.start()
        self.engines_by_name[name] = member
        return member

    def add_member_router(self, name, zone):
        relay = Relay(self, f"relay-{name}", self.store.port)
        ports = self.take_ports(3)

        def start():
            return self.add_router(name, zone, relay.port, ports)
        member = Member(name, relay, start)
        member.node = name
        member.callers, member.ready, member.control = ports
        member.start()
        member.way = CallerRelay(self, member, self.link) if self.has_ways else member
        self.routers_by_name[name] = member
        return member

    def remove_entry(self, name):
        """What the platform does when an engine's lease runs out."""
        request(self.store.port, "DELETE", f"/objects/servers/{name}?operator=1")

    def add_route(self):
        """A new public route."""
        number = len(self.extra_routes) + 1
        self.extra_routes.append(
            {"name": f"added-{number}", "host": HOST, "path-prefix": f"/added-{number}/",
             "kind": "safe", "timeout-ms": 1000, "service": DESK, "max-attempts": 2,
             "public": True})
        self.configure(routes=self.extra_routes)
        self.newest_route = number

    def refused(self):
        """Callers that no router took."""
        return [each for member in self.routers_by_name.values() if self.has_ways
                for each in member.way.refused()]

    def save_copy(self):
        assert request(self.store.port, "POST", "/fake/save", "")[0] == 200

    def restore_copy(self):
        """The store goes back to its copy; operators and engines write again what they
        had written, and the entries of engines that are gone lapse."""
        assert request(self.store.port, "POST", "/fake/restore", "")[0] == 200
        if self.version > 1:
            self.version -= 1
            self.configure(routes=self.extra_routes)
        for member in self.engines_by_name.values():
            if not member.is_running():
                self.remove_entry(member.name)
            elif not member.is_paused:
                request(member.process.port, "POST", "/fake/register", "")

    @staticmethod
    def streams_at(member):
        """Streams that an engine still writes."""
        counts = request(member.process.port, "GET", "/fake/runs")[2]
        return json.loads(counts)["streams"]

    def logs(self):
        """Output of each process by name."""
        return {f"{index:02}-{each.name}": each.log()
                for index, each in enumerate(self.processes)}
