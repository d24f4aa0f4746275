"""Engines that send bytes without end, and callers that take few: the router
stays within the memory of the smallest one. What the kernel holds is bounded
apart, by the sizes of its buffers."""

import http.client
import socket
import time
import unittest

from cluster import request, wait_until
from endless_server import EndlessServer
from memory import peak_mb
from platform_cluster import DESK, EVENTS, HOST, KEY, Caller, PlatformCluster, calm, in_background

# The smallest router of the users' pages.
ROUTER_MB = 160
# What all calls of a router may take of it: a quarter.
CALLS_MB = 40
CALLERS = 40
# Longer than an endpoint may make no progress, shorter than a caller may take nothing.
LONGEST_STALL_S = 1.0
STREAM_DEADLINE_MS = 8000
# What "large" answers with.
LARGE_BYTES = 12 * 1024 * 1024
# The users' max-body-bytes.
BODY_BYTES = 4 * 1024 * 1024


def spoil(system, prefix, fault):
    """Lets all engines whose names begin so have a fault."""
    for name in system.engines:
        if name.startswith(prefix):
            system.fault(name, fault)


def metric(router, name):
    total = 0.0
    for line in request(router.control, "GET", "/metrics")[2].splitlines():
        if line.startswith(name):
            total += float(line.split()[-1])
    return total


def open_caller(router):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    caller.settimeout(10)
    caller.connect(("127.0.0.1", router.callers))
    return caller


def head(method, path, request_id, length, more=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
            f"Auburnlb-Request-Id: {request_id}\r\n"
            f"Auburnlb-Deadline-Ms: {STREAM_DEADLINE_MS}\r\nAuburnlb-Model: m\r\n"
            f"Auburnlb-Token-Counts: 100,{EVENTS}\r\nContent-Length: {length}\r\n"
            f"{more}\r\n").encode()


def open_stream(router, request_id):
    caller = open_caller(router)
    caller.sendall(head("POST", "/stream/x", request_id, 2) + b"{}")
    return caller


def read_slowly(caller, seconds, bytes_s):
    """Reads at a rate until the connection ends or the time is over."""
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end and (piece := caller.recv(bytes_s // 20)):
            time.sleep(len(piece) / bytes_s)
    except OSError:
        pass
    caller.close()


def read_all(caller):
    received = b""
    while piece := caller.recv(65536):
        received += piece
        if received.endswith(b"\r\n0\r\n\r\n"):
            break
    return received


def allow_large_bodies(system):
    system.configure(limits={"max-body-bytes": BODY_BYTES, "header-timeout-ms": 5000})
    beyond_default = "x" * 70_000
    wait_until(lambda: Caller(system.routers[0], "POST", "/book/x", "limits",
                              body=beyond_default).status == 200, "the limits hold")


def post_twice(router, request_id, body):
    """Two requests on one connection; gives (status, Retry-After) of each."""
    connection = http.client.HTTPConnection("127.0.0.1", router.callers, timeout=10)
    answers = []
    for name, content in ((request_id, body), (request_id + "-again", b"{}")):
        connection.request("POST", "/book/x", content, {
            "Host": HOST, "Authorization": f"Token {KEY}", "Auburnlb-Request-Id": name,
            "Auburnlb-Deadline-Ms": str(STREAM_DEADLINE_MS)})
        answer = connection.getresponse()
        answer.read()
        answers.append((answer.status, answer.getheader("Retry-After")))
    connection.close()
    return answers


class EndlessBytesTest(unittest.TestCase):

    def check_streams(self, fault, bytes_s):
        with calm() as system:
            router = system.routers[0]
            spoil(system, "engine", fault)
            streams = [open_stream(router, f"stream-{number}") for number in range(CALLERS)]
            readers = [in_background(read_slowly, each, 6, bytes_s) for each in streams]
            end = time.monotonic() + 5
            books = []
            while time.monotonic() < end:
                books.append(system.book(router, f"book-{len(books)}").status)
            for task in readers:
                task.join()
            print(f"{fault}: peak {peak_mb(router):.0f} MB, {len(books)} bookings")
            self.assertLess(peak_mb(router), ROUTER_MB)
            self.assertEqual(set(books), {200})

    def test_text_without_end_in_streams_does_not_fill_the_memory(self):
        self.check_streams("spill", 1_000_000)

    def test_events_without_end_do_not_fill_the_memory(self):
        self.check_streams("flood", 1_000_000)

    def test_events_without_end_for_callers_that_hardly_read_do_not_fill_the_memory(self):
        self.check_streams("flood", 2_000)

    def test_stream_that_waits_for_its_caller_is_not_taken_for_silent(self):
        with calm() as system:
            router = system.routers[0]
            spoil(system, "engine", "bulk")
            caller = open_stream(router, "behind")
            wait_until(lambda: metric(router, "auburnlb_router_paused_streams_total") > 0,
                       "the stream waits for its caller")
            time.sleep(LONGEST_STALL_S)
            received = read_all(caller)
            caller.close()
            ids = [int(line[4:]) for line in received.split(b"\n") if line.startswith(b"id: ")]
            self.assertEqual(ids, list(range(1, EVENTS + 1)))
            self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))
            self.assertEqual(system.runs()["runs"]["behind"], 1)

    def test_caller_that_reads_nothing_does_not_hold_its_engine(self):
        with calm() as system:
            router = system.routers[0]
            spoil(system, "engine", "flood")
            caller = open_stream(router, "stuck")
            began = time.monotonic()
            wait_until(lambda: system.runs()["cancelled"].get("stuck", 0) > 0,
                       "the stream is cancelled")
            self.assertLess(time.monotonic() - began, STREAM_DEADLINE_MS / 1000)
            caller.close()

    def test_paused_stream_of_a_caller_that_leaves_is_cancelled(self):
        with calm() as system:
            router = system.routers[0]
            spoil(system, "engine", "flood")
            caller = open_stream(router, "gone")
            wait_until(lambda: metric(router, "auburnlb_router_paused_streams_total") > 0,
                       "the stream waits for its caller")
            caller.close()
            wait_until(lambda: system.runs()["cancelled"].get("gone", 0) > 0,
                       "the stream is cancelled", limit_s=1)

    def test_answers_that_are_taken_slowly_do_not_fill_the_memory(self):
        with calm() as system:
            router = system.routers[0]
            system.fault("desk-0", "large")
            system.fault("desk-1", "large")
            callers = [open_caller(router) for _ in range(CALLERS)]
            begins = []
            for number, caller in enumerate(callers):
                caller.sendall(head("GET", "/look/x", f"look-{number}", 0))
                begins.append(caller.recv(12))
            for caller in callers:
                caller.close()
            print(f"peak {peak_mb(router):.0f} MB, {begins.count(b'HTTP/1.1 200')} whole")
            self.assertLess(peak_mb(router), ROUTER_MB)
            self.assertIn(b"HTTP/1.1 200", begins)
            self.assertEqual(system.book(router, "after").status, 200)

    def test_whole_answer_reaches_a_caller_that_takes_it_late(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "large")
            caller = open_caller(system.routers[0])
            caller.sendall(head("GET", "/look/x", "late", 0, "Connection: close\r\n"))
            time.sleep(1)
            received = read_all(caller)
            caller.close()
            self.assertEqual(len(received.split(b"\r\n\r\n", 1)[1]), LARGE_BYTES)

    def test_other_routers_that_answer_without_end_do_not_fill_the_memory(self):
        servers = [EndlessServer() for _ in range(CALLERS)]
        with PlatformCluster() as system:
            system.seeds = [f"127.0.0.1:{each.port}" for each in servers]
            system.add_engine("desk-0", service=DESK)
            router = system.add_router()
            before = peak_mb(router)
            wait_until(lambda: system.book(router, "first").status == 200, "a call is served")
            wait_until(lambda: sum(each.answers for each in servers) > 3 * CALLERS,
                       "the servers are asked")
            print(f"peak {peak_mb(router):.0f} MB, {before:.0f} MB before")
            self.assertLess(peak_mb(router) - before, CALLS_MB)
            self.assertEqual(system.book(router, "after").status, 200)
        for each in servers:
            each.close()

    def test_large_bodies_that_come_at_once_do_not_fill_the_memory(self):
        body = b"x" * BODY_BYTES
        with calm() as system:
            router = system.routers[0]
            allow_large_bodies(system)
            for name in ("desk-0", "desk-1"):
                system.fault(name, "after 300")
            answers = [in_background(post_twice, router, f"large-{number}", body)
                       for number in range(CALLERS)]
            statuses = [task.result() for task in answers]
            runs = system.runs()["runs"]
            print(f"peak {peak_mb(router):.0f} MB, {statuses}")
            self.assertLess(peak_mb(router), ROUTER_MB)
            refused = [index for index, pair in enumerate(statuses) if pair[0][0] == 503]
            self.assertTrue(refused, "what does not fit is refused")
            for index, ((status, retry_after), (second, _)) in enumerate(statuses):
                self.assertIn(status, (200, 503))
                self.assertIn(second, (200, 503), "the connection goes on")
                if status == 503:
                    self.assertEqual(runs.get(f"large-{index}", 0), 0)
                    self.assertGreater(float(retry_after), 0)
            self.assertGreater(metric(router, "auburnlb_router_refused_bodies_total"), 0)

    def test_small_bodies_are_served_beside_large_ones(self):
        body = b"x" * BODY_BYTES
        with calm() as system:
            router = system.routers[0]
            allow_large_bodies(system)
            held = [open_caller(router) for _ in range(CALLERS)]
            for number, caller in enumerate(held):
                caller.sendall(head("POST", "/book/x", f"held-{number}", BODY_BYTES))
                caller.sendall(body[:-1])
            for number in range(20):
                self.assertEqual(system.book(router, f"small-{number}").status, 200)
            for caller in held:
                caller.close()


if __name__ == "__main__":
    unittest.main()
