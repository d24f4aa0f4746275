"""Callers' connections that rest while their router stops, with latency between them."""

import http.client
import signal
import threading
import time
import unittest

from cluster import wait_until
from platform_cluster import HOST, KEY, calm
from relay import Relay

# The time that a planned stop has, from the signal on.
STOP_LIMIT_S = 8
# How long the load balancer may go on to send callers.
NOTICE_S = 3
LATENCY_MS = 20
PAUSE_S = 1.5


class RestingConnection(threading.Thread):
    """Sends one request, rests, and sends another one at a given time."""

    def __init__(self, port, name):
        super().__init__()
        self.name = name
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
        self.connection.connect()
        # A lost connection must be seen, not opened anew.
        self.connection.auto_open = 0
        self.send_at = None
        self.answer = None

    def look(self, request_id):
        self.connection.request("GET", "/look/x", headers={
            "Host": HOST, "Authorization": f"Token {KEY}",
            "Auburnlb-Request-Id": request_id, "Auburnlb-Deadline-Ms": "1000"})
        answer = self.connection.getresponse()
        text = answer.read().decode()
        return answer.status, text, answer.getheader("Connection")

    def run(self):
        time.sleep(max(0.0, self.send_at - time.monotonic()))
        try:
            self.answer = self.look(f"{self.name}-late")
        except (http.client.HTTPException, OSError) as failure:
            self.answer = failure
        self.connection.close()


class RestingConnectionsTest(unittest.TestCase):

    def rest(self, system, port, count):
        """Connections that have had one answer each."""
        resting = [RestingConnection(port, f"resting-{index}") for index in range(count)]
        for each in resting:
            self.assertEqual(each.look(f"{each.name}-first"), (200, f"ran {each.name}-first", None))
        return resting

    def check_answers(self, system, resting):
        runs = system.runs()["runs"]
        for each in resting:
            request_id = f"{each.name}-late"
            self.assertIsInstance(each.answer, tuple, f"{request_id}: {each.answer!r}")
            status, text, connection = each.answer
            self.assertEqual(connection, "close", request_id)
            if status == 503:
                self.assertNotIn(request_id, runs)
                continue
            self.assertEqual((status, text), (200, f"ran {request_id}"))

    def send_during_stop(self, times):
        """One request on each resting connection, at these times after the signal."""
        with calm() as system:
            router = system.routers[0]
            relay = Relay(system, "relay-callers", router.callers)
            relay.command(f"delay {LATENCY_MS}")
            resting = self.rest(system, relay.port, len(times))
            router.send(signal.SIGTERM)
            began = time.monotonic()
            for each, after_s in zip(resting, times):
                each.send_at = began + after_s
                each.start()
            for each in resting:
                each.join()
            self.check_answers(system, resting)
            self.assertEqual(router.child.wait(20), 0)
            self.assertLess(time.monotonic() - began, STOP_LIMIT_S)

    def test_stop_drops_no_request_on_a_resting_connection_when_its_notice_ends(self):
        self.send_during_stop([NOTICE_S - 0.1 + 0.005 * index for index in range(60)])

    def test_stop_answers_resting_connections_up_to_its_end(self):
        self.send_during_stop([0.3 + 0.1 * index for index in range(70)])

    def test_stop_without_connections_ends_with_its_notice(self):
        with calm() as system:
            router = system.routers[0]
            router.send(signal.SIGTERM)
            began = time.monotonic()
            wait_until(lambda: router.child.poll() is not None, "the router ends")
            self.assertLess(time.monotonic() - began, NOTICE_S + 1)

    def test_stop_waits_for_resting_connections_no_longer_than_its_limit(self):
        with calm() as system:
            router = system.routers[0]
            resting = self.rest(system, router.callers, 5)
            router.send(signal.SIGTERM)
            began = time.monotonic()
            self.assertEqual(router.child.wait(20), 0)
            self.assertLess(time.monotonic() - began, STOP_LIMIT_S)
            self.assertIn('"resting":"5"', router.log().replace(" ", ""))
            for each in resting:
                each.connection.close()

    def test_stop_whose_signal_comes_in_a_pause_ends_before_the_kill(self):
        with calm() as system:
            router = system.routers[0]
            resting = self.rest(system, router.callers, 2)
            router.send(signal.SIGSTOP)
            time.sleep(0.3)
            router.send(signal.SIGTERM)
            began = time.monotonic()
            time.sleep(PAUSE_S)
            router.send(signal.SIGCONT)
            self.assertEqual(router.child.wait(20), 0)
            self.assertLess(time.monotonic() - began, STOP_LIMIT_S)
            for each in resting:
                each.connection.close()


if __name__ == "__main__":
    unittest.main(verbosity=2)
