"""Planned stops of routers under load: what every request gets, up to the end of the
time that the platform allows."""

import signal
import socket
import threading
import time
import unittest

from caller_view import Trace, find_broken
from cluster import wait_until
from kept_connection import KeptConnection, new_exchange
from platform_cluster import DESK, HOST, KEY, Caller, calm, expected_events, in_background

# The time that a planned stop has, from the signal on.
STOP_LIMIT_S = 8
# How long the load balancer may go on to send callers.
NOTICE_S = 3
# What a step of the engines takes, as their streams show.
STEP_MS = 20.0
LONG_DEADLINE = {"Auburnlb-Deadline-Ms": "20000"}
TIMEOUTS_S = {"/order/x": 20.0}


def slow_route(name, kind, service=DESK):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind,
            "timeout-ms": 20_000, "latency-target-ms": 100, "priority": 2,
            "service": service, "max-attempts": 1, "public": False}


ROUTES = (slow_route("order", "unsafe"), slow_route("find", "safe"),
          slow_route("nowhere", "unsafe", "nobody"))


def configure(system):
    """Adds the routes whose timeout is longer than a stop."""
    system.configure(routes=ROUTES, step_ms=STEP_MS)
    for router in system.routers:
        wait_until(lambda router=router: Caller(
            router, "GET", "/find/x", "probe-find").status == 200, "the routes are known")


def call(router, path, request_id, headers=None):
    method = "GET" if path.startswith("/find") else "POST"
    return Caller(router, method, path, request_id, headers)


def wait_since(began, seconds):
    wait_until(lambda: time.monotonic() >= began + seconds, "time passes")


def desks(system):
    return [name for name in system.engines if name.startswith("desk")]


def models(system):
    return [name for name in system.engines if name.startswith("engine")]


def set_fault(system, names, fault):
    for name in names:
        system.fault(name, fault)


def head_of(method, path, request_id, tokens="100,40"):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
            f"Auburnlb-Request-Id: {request_id}\r\nAuburnlb-Deadline-Ms: 20000\r\n"
            f"Auburnlb-Model: m\r\nAuburnlb-Token-Counts: {tokens}\r\n"
            "Content-Length: 2\r\n\r\n{}").encode()


def read_all(connection):
    """The bytes up to the end of the connection."""
    text = b""
    try:
        while piece := connection.recv(65536):
            text += piece
    except OSError:
        pass
    return text


class KeptCaller(threading.Thread):
    """Sends one request after the other on kept connections."""

    def __init__(self, routers, name, paths, until):
        super().__init__()
        self.routers, self.caller, self.paths, self.until = routers, name, paths, until
        self.records = []

    def run(self):
        connection, count = None, 0
        while time.monotonic() < self.until:
            router = self.routers[count % len(self.routers)]
            path = self.paths[count % len(self.paths)]
            request_id = f"{self.caller}-{count}"
            count += 1
            try:
                if connection is None or not connection.may_send():
                    connection = KeptConnection(router)
            except OSError:
                # Nothing listens any more.
                connection = None
                time.sleep(0.02)
                continue
            record = new_exchange(router, request_id, path, TIMEOUTS_S.get(path))
            self.records.append(connection.exchange(record, path, LONG_DEADLINE))
        if connection is not None:
            connection.close()


class PlannedStopTest(unittest.TestCase):

    def assert_not_run(self, system, answer):
        self.assertEqual(answer.status, 503)
        self.assertNotIn(answer.request_id, system.runs()["runs"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_call_in_progress_at_the_end_gets_an_answer(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            set_fault(system, desks(system), "after 12000")
            router.send(signal.SIGTERM)
            began = time.monotonic()
            wait_since(began, 1)
            calls = [in_background(call, router, path, path[1:], LONG_DEADLINE)
                     for path in ("/order/x", "/find/x")]
            for answer in [each.result() for each in calls]:
                self.assertIn(answer.status, (502, 504), answer.request_id)
                self.assertTrue(answer.is_whole)
            self.assertEqual(router.child.wait(20), 0)
            self.assertLess(time.monotonic() - began, STOP_LIMIT_S)

    def test_call_that_waits_at_the_end_is_refused_as_not_run(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            waiting = in_background(call, router, "/nowhere/x", "waiting-1", LONG_DEADLINE)
            time.sleep(0.2)
            router.send(signal.SIGTERM)
            self.assert_not_run(system, waiting.result())
            self.assertEqual(router.child.wait(20), 0)

    def test_stream_without_an_answer_at_the_end_gets_one(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            set_fault(system, models(system), "mute")
            stream = in_background(system.stream, router, "mute-1", LONG_DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("mute-1"), "the stream runs")
            router.send(signal.SIGTERM)
            self.assertIn(stream.result().status, (502, 504))
            self.assertTrue(stream.result().is_whole)
            self.assertEqual(router.child.wait(20), 0)

    def test_stream_in_progress_at_the_end_does_not_look_whole(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            set_fault(system, models(system), "held")
            stream = in_background(system.stream, router, "held-1", LONG_DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("held-1"), "the stream runs")
            router.send(signal.SIGTERM)
            self.assertEqual(stream.result().status, 200)
            self.assertFalse(stream.result().is_whole)
            self.assertEqual(router.child.wait(20), 0)

    def test_stream_that_has_begun_gets_no_second_head(self):
        with calm() as system:
            router = system.routers[0]
            set_fault(system, models(system), "held")
            # Holds the process up to the end of its stop.
            held = in_background(system.stream, router, "held-1", LONG_DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("held-1"), "the stream runs")
            router.send(signal.SIGTERM)
            wait_since(time.monotonic(), NOTICE_S + 0.1)
            # Some of them are short enough to be sent, and too long to be sent again.
            callers = []
            for tokens in range(400, 2400, 50):
                callers.append(socket.create_connection(("127.0.0.1", router.callers), 15))
                callers[-1].sendall(head_of("POST", "/stream/x", f"late-{tokens}",
                                            f"100,{tokens}"))
            readers = [in_background(read_all, each) for each in callers]
            answers = [each.result() for each in readers]
            for each in callers:
                each.close()
            held.result()
            self.assertTrue(any(b" 200 OK" in each for each in answers))
            for each in answers:
                self.assertLessEqual(each.count(b"HTTP/1.1 "), 1, each)

    def test_late_call_that_may_outlast_the_stop_is_not_sent(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            set_fault(system, desks(system), "after 5000")
            # Holds the process up to the end of its stop.
            held = in_background(call, router, "/find/x", "held-1", LONG_DEADLINE)
            wait_until(lambda: system.runs()["runs"].get("held-1"), "the call runs")
            router.send(signal.SIGTERM)
            wait_since(time.monotonic(), NOTICE_S + 0.5)
            self.assert_not_run(system, call(router, "/order/x", "late-1", LONG_DEADLINE))
            set_fault(system, desks(system), "none")
            short = call(router, "/order/x", "late-2", {"Auburnlb-Deadline-Ms": "1000"})
            self.assertEqual((short.status, short.text), (200, "ran late-2"))
            self.assertEqual(held.result().text, "ran held-1")

    def test_stream_too_long_for_the_stop_is_not_sent_within_the_notice(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            router.send(signal.SIGTERM)
            wait_since(time.monotonic(), 0.5)
            self.assert_not_run(system, system.stream(
                router, "long-1", {**LONG_DEADLINE, "Auburnlb-Token-Counts": "100,400",
                                   "Auburnlb-Length-Hint": "400"}))
            short = system.stream(router, "short-1")
            self.assertEqual((short.status, short.text), (200, expected_events()))

    def test_answer_that_the_caller_reads_late_is_whole(self):
        with calm() as system:
            configure(system)
            router = system.routers[0]
            set_fault(system, desks(system), "large")
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                caller.settimeout(15)
                caller.connect(("127.0.0.1", router.callers))
                router.send(signal.SIGTERM)
                wait_since(time.monotonic(), NOTICE_S)
                caller.sendall(head_of("POST", "/find/x", "large-1"))
                time.sleep(0.3)
                _, _, body = read_all(caller).partition(b"\r\n\r\n")
            self.assertEqual(len(body), 12 * 1024 * 1024)
            self.assertEqual(router.child.wait(20), 0)

    def check_answers(self, system, callers):
        """Every request got an answer that is true, or came when the process had ended."""
        records = [record for caller in callers for record in caller.records]
        # Nothing is broken here, so that every request can be answered or refused.
        trace = Trace(system.recorded_runs(), system.lives(), refusals=(503,),
                      failure_times=[])
        self.assertEqual(find_broken(records, trace), [])
        return records

    def start_load(self, routers, seconds):
        until = time.monotonic() + seconds
        paths = ["/book/x", "/stream/x", "/order/x"]
        callers = [KeptCaller(routers, f"caller{index}", paths[index % 3:] + paths[:index % 3],
                              until) for index in range(9)]
        for each in callers:
            each.start()
        return callers

    def stop_under_load(self, act, routers=1, seconds=STOP_LIMIT_S + 2):
        with calm(routers=routers) as system:
            configure(system)
            callers = self.start_load(system.routers, seconds)
            time.sleep(1)
            act(system)
            for each in callers:
                each.join()
            for router in system.routers:
                self.assertEqual(router.child.wait(20), 0)
            records = self.check_answers(system, callers)
            self.assertGreater(sum(each.status == 200 for each in records), 50)

    def test_load_on_kept_connections(self):
        self.stop_under_load(lambda system: system.routers[0].send(signal.SIGTERM))

    def test_load_at_calls_that_answer_late(self):
        def stop(system):
            set_fault(system, desks(system), "after 700")
            system.routers[0].send(signal.SIGTERM)
        self.stop_under_load(stop)

    def test_second_signal_changes_nothing(self):
        def stop_twice(system):
            router = system.routers[0]
            router.send(signal.SIGTERM)
            time.sleep(0.5)
            router.send(signal.SIGTERM)
        self.stop_under_load(stop_twice)

    def test_configuration_change_beside(self):
        def stop_and_change(system):
            system.routers[0].send(signal.SIGTERM)
            for _ in range(4):
                system.configure(routes=ROUTES, step_ms=STEP_MS)
                time.sleep(0.7)
        self.stop_under_load(stop_and_change)

    def test_two_routers_in_turn(self):
        def stop_both(system):
            system.routers[0].send(signal.SIGTERM)
            time.sleep(4)
            system.routers[1].send(signal.SIGTERM)
        self.stop_under_load(stop_both, routers=2, seconds=15)


if __name__ == "__main__":
    unittest.main(verbosity=2)
