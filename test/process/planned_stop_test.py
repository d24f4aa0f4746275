"""Planned stops of routers under load: what every request gets, up to the end of the
time that the platform allows."""

import signal
import socket
import time
import unittest

from cluster import wait_until
from platform_cluster import HOST, KEY, calm, in_background

# How long the load balancer may go on to send callers.
NOTICE_S = 3
LONG_DEADLINE = {"Auburnlb-Deadline-Ms": "20000"}


def wait_since(began, seconds):
    wait_until(lambda: time.monotonic() >= began + seconds, "time passes")


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


class PlannedStopTest(unittest.TestCase):

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


if __name__ == "__main__":
    unittest.main(verbosity=2)
