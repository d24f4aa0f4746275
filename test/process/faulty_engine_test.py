"""Engines that write refusals twice, break off within a head, or fail where
another one broke off."""

import socket
import unittest

from cluster import wait_until
from platform_cluster import EVENTS, HOST, KEY, MODEL, Caller, calm


def read_raw(router, request_id):
    """All bytes that a caller of a stream gets."""
    head = (f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
            f"Auburnlb-Request-Id: {request_id}\r\nAuburnlb-Deadline-Ms: 4000\r\n"
            f"Auburnlb-Model: m\r\nAuburnlb-Token-Counts: 100,{EVENTS}\r\n"
            "Content-Length: 2\r\nConnection: close\r\n\r\n{}")
    received = b""
    with socket.create_connection(("127.0.0.1", router.callers), timeout=10) as caller:
        caller.sendall(head.encode())
        while piece := caller.recv(65536):
            received += piece
    return received


class FaultyEngineTest(unittest.TestCase):

    def check_repeated_refusal(self, fault):
        with calm() as system:
            router = system.routers[0]
            for name in ("desk-0", "desk-1"):
                system.fault(name, fault)
            answers = [system.book(router, f"book-{number}") for number in range(12)]
            runs = system.runs()["runs"]
            self.assertTrue(any(f"book-{number}" in runs for number in range(12)))
            for answer in answers:
                count = runs.get(answer.request_id, 0)
                self.assertLessEqual(count, 1)
                if answer.status in (408, 421, 429, 503):
                    self.assertEqual(count, 0, "the caller was told that it has not run")
                if answer.status == 200:
                    self.assertEqual(answer.text, f"ran {answer.request_id}")

    def test_refusal_of_an_earlier_request_is_not_that_of_the_next(self):
        self.check_repeated_refusal("repeat")

    def test_refusal_without_an_id_is_not_that_of_the_next_request(self):
        self.check_repeated_refusal("anonymous")

    def test_refusal_that_is_repeated_is_not_that_of_the_next_attempt(self):
        once = {"name": "once", "host": HOST, "path-prefix": "/once/", "kind": "streaming",
                "timeout-ms": 5000, "latency-target-ms": 500, "priority": 1,
                "service": MODEL, "max-attempts": 1, "public": False, "resumable": False}
        with calm() as system:
            router = system.routers[0]
            system.configure(routes=[once])
            wait_until(lambda: Caller(router, "POST", "/once/x", "probe").status == 200,
                       "the route is there")
            for name in system.engines:
                if name.startswith("engine"):
                    system.fault(name, "repeat")
            for number in range(6):
                answer = Caller(router, "POST", "/once/x", f"once-{number}")
                count = system.runs()["runs"].get(answer.request_id, 0)
                self.assertLessEqual(count, 1)
                if answer.status in (408, 421, 429, 503):
                    self.assertEqual(count, 0, "the caller was told that it has not run")

    def test_refusal_of_an_earlier_attempt_is_not_that_of_a_stream_that_runs(self):
        with calm() as system:
            router = system.routers[0]
            for name in system.engines:
                if name.startswith("engine"):
                    system.fault(name, "repeat")
            for number in range(6):
                answer = system.stream(router, f"stream-{number}")
                if answer.status in (408, 421, 429, 503):
                    count = system.runs()["runs"].get(answer.request_id, 0)
                    self.assertEqual(count, 0, "the caller was told that it has not run")

    def check_broken_stream(self, then):
        """The first engine breaks off, all others do something else."""
        with calm() as system:
            router = system.routers[0]
            system.stream(router, "find")
            first = wait_until(lambda: system.path_of(router, "find"), "the path is logged")[0]
            for name in system.engines:
                if name.startswith("engine"):
                    system.fault(name, "half" if name == first else then)
            received = read_raw(router, "broken")
            self.assertEqual(received.count(b"HTTP/1.1 "), 1, received[-300:])
            self.assertNotIn(b"denied", received)
            self.assertNotIn(b"failed", received)
            self.assertFalse(received.endswith(b"0\r\n\r\n"), received[-100:])

    def test_error_after_a_broken_stream_is_no_part_of_it(self):
        self.check_broken_stream("error")

    def test_denial_after_a_broken_stream_is_no_part_of_it(self):
        self.check_broken_stream("deny")

    def test_refusal_after_a_broken_stream_is_no_part_of_it(self):
        self.check_broken_stream("shed")

    def test_bare_head_after_a_broken_stream_does_not_complete_it(self):
        self.check_broken_stream("bare")

    def check_broken_head(self, fault):
        with calm() as system:
            router = system.routers[0]
            for name in system.engines:
                system.fault(name, fault)
            for number in range(4):
                stream = system.stream(router, f"stream-{number}")
                self.assertFalse(stream.status == 200 and stream.is_whole, stream.text)
                self.assertGreaterEqual(system.look(router, f"look-{number}").status, 500)
                self.assertGreaterEqual(system.book(router, f"book-{number}").status, 500)

    def test_response_that_ends_within_its_head_is_not_passed_on(self):
        self.check_broken_head("head")

    def test_error_without_a_body_or_a_length_is_passed_on(self):
        with calm() as system:
            for name in ("desk-0", "desk-1"):
                system.fault(name, "bare-denial")
            answer = system.book(system.routers[0], "book-1")
            self.assertEqual(answer.status, 409)
            self.assertEqual(answer.headers["auburnlb-response-stamp"], "s")

    def test_stream_that_ends_before_its_first_event_is_not_complete(self):
        self.check_broken_head("bare")


if __name__ == "__main__":
    unittest.main()
