"""Callers on kept connections, with the latency of a real network, beside what operators
do and what sound engines and hosts may do: every request gets an answer or a refusal."""

import random
import signal
import threading
import time
import unittest

from caller_view import Link, Trace, find_broken
from cluster import request
from kept_connection import KeptConnection, new_exchange, send_at_once, send_in_parts
from platform_cluster import DESK, HOST, calm
from relay import CallerRelay

LINK = Link(delay_s=0.02)
PIECES = Link(delay_s=0.02, piece_bytes=200, pause_s=0.002)
CALLERS = 40
STEP_MS = 20.0
SECONDS = 8
# A planned stop within it, its restart, and some time on either side.
STOP_SECONDS = 14
# How long the load balancer may go on to send callers, from the signal on.
NOTICE_S = 3.0
# How long an engine is drained before it goes.
DRAIN_S = 3.3
RESTS_S = (0, 0, 0.05, 0.3, 1.0, 2.2, 3.2)
BODY_BYTES = (2, 2, 2000, 30000)
DEADLINES_S = (1.5, 3.0, 8.0)


class RestingCaller(threading.Thread):
    """Sends requests on a connection for as long as it is open, with rests between them;
    also at a router that is stopping, as callers do not know."""

    def __init__(self, ways, seed, number, is_over):
        super().__init__()
        self.rng = random.Random(f"{seed}-{number}")
        self.way = ways[number % len(ways)]
        self.number = number
        self.is_over = is_over
        self.connection = None
        self.records = []

    def run(self):
        while not self.is_over.is_set():
            if self.connect():
                self.one()
            self.is_over.wait(self.rng.choice(RESTS_S))
        if self.connection is not None:
            self.connection.close()

    def connect(self):
        if self.connection is not None and self.connection.may_send():
            return True
        try:
            self.connection = KeptConnection(self.way)
        except OSError:
            return False
        return True

    def one(self):
        kind = self.rng.choice(("look", "book", "stream", "stream"))
        name = f"c{self.number}-{len(self.records)}"
        deadline_s = 8.0 if kind == "stream" else self.rng.choice(DEADLINES_S)
        record = new_exchange(self.way, name, f"/{kind}/x", deadline_s)
        body = b"x" * self.rng.choice(BODY_BYTES)
        self.records.append(self.connection.exchange(
            record, f"/{kind}/x", body=body, sending=self.sending()))

    def sending(self):
        """Sends one of four requests in parts with pauses."""
        if self.rng.random() < 0.75:
            return send_at_once
        parts, pause_s = self.rng.randint(2, 5), self.rng.uniform(0, 0.05)
        return lambda connection, data: send_in_parts(connection, data, parts, pause_s)


class Trouble:
    """What happens beside the callers; each method is one kind, until the time is over."""

    def __init__(self, system, seed, is_over):
        self.system, self.is_over = system, is_over
        self.rng = random.Random(f"trouble-{seed}")
        self.limits, self.routes = {}, []

    def wait(self, *seconds):
        return self.is_over.wait(self.rng.choice(seconds))

    def change_configuration(self):
        while not self.wait(0.2, 0.5, 1.0):
            self.change(self.rng.choice(("timeout", "idle", "limits", "many", "storm")))

    def change(self, what):
        if what == "idle":
            self.limits["idle-timeout-ms"] = self.rng.choice((2000, 5000, 20000))
        if what == "limits":
            self.limits["max-body-bytes"] = self.rng.choice((65536, 131072))
            self.limits["header-timeout-ms"] = self.rng.choice((500, 1000))
        if what == "many":
            self.routes = [{"name": f"many-{index}", "host": HOST, "kind": "safe",
                            "path-prefix": f"/many-{index}/", "timeout-ms": 1000,
                            "latency-target-ms": 100, "priority": 2, "service": DESK,
                            "max-attempts": 2, "public": False}
                           for index in range(self.rng.choice((10, 1000)))]
        for _ in range(8 if what == "storm" else 1):
            self.system.configure(routes=self.routes, limits=self.limits, step_ms=STEP_MS,
                                  timeout_ms=self.rng.choice((8000, 10000)))

    def hang_up(self):
        while not self.wait(0.3, 0.7):
            self.rng.choice(self.system.routers).send(signal.SIGHUP)

    def stop_routers(self):
        """Planned stops in turn, each followed by a start."""
        index = 0
        while not self.wait(0.3, 0.8):
            router = self.system.routers[index % len(self.system.routers)]
            index += 1
            router.send(signal.SIGTERM)
            router.child.wait(20)
            self.system.wait_ready(self.system.restart_router(router))

    def silence_engines(self):
        while not self.wait(0.3, 0.8):
            group = self.rng.sample(sorted(self.system.engines), self.rng.choice((1, 1, 2, 3)))
            pause([self.system.engines[name] for name in group], self.rng.uniform(0.7, 1.2))

    def pause_routers(self):
        while not self.wait(0.5, 1.0):
            pause([self.rng.choice(self.system.routers)], self.rng.uniform(0.3, 1.0))

    def drain_engine(self):
        """An engine leaves as its operators want it, and another one takes its place."""
        self.leave("engine-dc1-0", "/fake/drain")

    def leave_in_answers(self):
        """A service says in its answers alone that it leaves."""
        self.leave("desk-0", "/fake/leave")

    def leave(self, name, path):
        engine = self.system.engines[name]
        request(engine.port, "POST", path, "")
        self.is_over.wait(DRAIN_S)
        engine.kill()
        request(self.system.store.port, "DELETE", f"/objects/servers/{name}?operator=1")
        service, zone = (DESK, "dc1") if name.startswith(DESK) else ("model", "dc1")
        self.system.add_engine(f"{name}-next", service, zone,
                               ("--record", self.system.record))

    def answer_late(self):
        """Services answer late, or write a refusal once more before the next answer."""
        while not self.is_over.is_set():
            self.system.fault("desk-0", self.rng.choice(("after 700", "repeat", "none")))
            self.wait(0.5, 1.0)


def pause(processes, seconds):
    for each in processes:
        each.send(signal.SIGSTOP)
    time.sleep(seconds)
    for each in processes:
        each.send(signal.SIGCONT)


class CallersBesideChangesTest(unittest.TestCase):

    def play(self, seed, kinds, seconds=SECONDS, link=LINK):
        with calm(routers=2) as system:
            system.configure(step_ms=STEP_MS)
            ways = [CallerRelay(system, router, link) for router in system.routers]
            is_over = threading.Event()
            callers = [RestingCaller(ways, seed, number, is_over) for number in range(CALLERS)]
            trouble = Trouble(system, seed, is_over)
            threads = callers + [threading.Thread(target=getattr(trouble, kind))
                                 for kind in kinds]
            for each in threads:
                each.start()
            time.sleep(seconds)
            is_over.set()
            for each in threads:
                each.join()
            records = [record for each in callers for record in each.records]
            self.check(system, ways, records, link)

    def check(self, system, ways, records, link=LINK):
        refused = [each for way in ways for each in way.refused()]
        trace = Trace(system.recorded_runs(), system.lives(), link, refused)
        # Nothing here kills a router, so its end is no excuse unless it is in order.
        self.assertEqual([each for each in trace.lives if each.was_killed], [])
        broken = find_broken(records, trace)
        whole = sum(record.status == 200 and record.is_whole for record in records)
        print(f"{len(records)} requests, {whole} whole, {len(broken)} broken")
        self.assertEqual(broken, [])
        self.assertGreater(whole, len(records) / 2)

    def test_kept_connections_beside_configuration_changes(self):
        self.play(1, ["change_configuration", "hang_up"])

    def test_kept_connections_beside_planned_stops(self):
        self.play(2, ["stop_routers"], STOP_SECONDS)

    def test_kept_connections_beside_silent_engines(self):
        self.play(3, ["silence_engines"])

    def test_kept_connections_beside_engines_that_leave(self):
        self.play(4, ["drain_engine", "leave_in_answers"])

    def test_kept_connections_beside_pauses_of_the_router(self):
        self.play(5, ["pause_routers"])

    def test_requests_and_answers_in_pieces(self):
        self.play(6, ["change_configuration"], link=PIECES)

    def test_late_answers_on_reused_engine_connections(self):
        self.play(7, ["answer_late"])

    def test_kept_connections_beside_all_of_it(self):
        self.play(8, ["change_configuration", "hang_up", "stop_routers", "silence_engines",
                      "drain_engine", "leave_in_answers", "pause_routers", "answer_late"],
                  STOP_SECONDS)

    def test_requests_that_cross_the_end_of_the_notice_of_a_stop(self):
        with calm() as system:
            router = system.routers[0]
            way = CallerRelay(system, router, LINK)
            connections = [KeptConnection(way) for _ in range(60)]
            records = [each.exchange(new_exchange(way, f"first-{index}", "/look/x"), "/look/x")
                       for index, each in enumerate(connections)]
            router.send(signal.SIGTERM)
            began = time.monotonic()
            threads = [threading.Thread(target=self.cross, args=(
                way, each, began + NOTICE_S - 0.05 + 0.005 * index, index, records))
                       for index, each in enumerate(connections)]
            for each in threads:
                each.start()
            # Holds the process beyond the notice.
            time.sleep(began + NOTICE_S - 0.3 - time.monotonic())
            held = system.stream(way, "held-1")
            for each in threads:
                each.join()
            self.assertTrue(held.is_whole)
            router.child.wait(20)
            self.check(system, [way], records)

    @staticmethod
    def cross(way, connection, at, index, records):
        time.sleep(at - time.monotonic())
        if connection.may_send():
            record = new_exchange(way, f"second-{index}", "/look/x")
            records.append(connection.exchange(record, "/look/x"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
