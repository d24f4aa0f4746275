"""Callers' connections that rest while their router stops, with latency between them."""

import signal
import threading
import time
import unittest

from caller_view import Link, Trace, find_broken
from cluster import wait_until
from kept_connection import KeptConnection, new_exchange
from platform_cluster import calm
from relay import CallerRelay

# The time that a planned stop has, from the signal on.
STOP_LIMIT_S = 8
# How long the load balancer may go on to send callers.
NOTICE_S = 3
LINK = Link(delay_s=0.02)
PAUSE_S = 1.5


class RestingCaller(threading.Thread):
    """Sends one request, rests, and sends another one at a given time."""

    def __init__(self, way, name):
        super().__init__()
        self.way, self.name = way, name
        self.connection = KeptConnection(way)
        self.records = []
        self.send_at = None

    def look(self):
        record = new_exchange(self.way, f"{self.name}-{len(self.records)}", "/look/x")
        self.records.append(self.connection.exchange(record, "/look/x"))
        return record

    def run(self):
        time.sleep(max(0.0, self.send_at - time.monotonic()))
        # Does not look for a close before it sends: that would hide a request that crosses.
        self.look()
        self.connection.close()


class RestingConnectionsTest(unittest.TestCase):

    def rest(self, way, count):
        """Callers that have had one answer each, on a connection that stays."""
        resting = [RestingCaller(way, f"resting-{index}") for index in range(count)]
        for each in resting:
            self.assertEqual(each.look().status, 200)
            self.assertTrue(each.connection.is_usable)
        return resting

    def check_answers(self, system, resting, link):
        trace = Trace(system.recorded_runs(), system.lives(), link, refusals=(503,),
                      failure_times=[])
        records = [record for each in resting for record in each.records]
        self.assertEqual(find_broken(records, trace), [])
        for each in resting:
            late = each.records[-1]
            # None of them came so late that the end of the process would be an excuse.
            self.assertNotEqual(late.status, 0, late)
            self.assertEqual(late.fields["connection"], "close", late)

    def send_during_stop(self, times):
        """One request on each resting connection, at these times after the signal."""
        with calm() as system:
            router = system.routers[0]
            resting = self.rest(CallerRelay(system, router, LINK), len(times))
            router.send(signal.SIGTERM)
            began = time.monotonic()
            for each, after_s in zip(resting, times):
                each.send_at = began + after_s
                each.start()
            for each in resting:
                each.join()
            self.check_answers(system, resting, LINK)
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
            resting = self.rest(router, 5)
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
            resting = self.rest(router, 2)
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
