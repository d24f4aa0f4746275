"""Engines that answer with a status that no response can have."""

import unittest

from cluster import wait_until
from platform_cluster import Caller, calm

INVALID = ("000 OK", "000", "0 OK", "42 Odd", "099 Odd", "600 Odd", "999 Odd")
UNKNOWN_OUTCOME = 502


class InvalidStatusTest(unittest.TestCase):

    def check(self, method, path):
        """Each request has a target of its own, so none is a copy of one that failed."""
        sent = []
        with calm() as system:
            def send():
                name = f"call-{len(sent)}"
                sent.append(name)
                return Caller(system.routers[0], method, path + name, name)

            def set_fault(fault):
                for engine in system.engines:
                    system.fault(engine, fault)

            for status in INVALID:
                wait_until(lambda: send().status == 200, "sound engines are used again")
                set_fault(f"status {status}")
                got = send()
                self.assertEqual(got.status, UNKNOWN_OUTCOME, f"{status}: {got.text!r}")
                self.assertTrue(got.is_whole, status)
                self.assertNotIn("auburnlb-response-stamp", got.headers, status)
                self.assertGreaterEqual(system.runs()["runs"].get(got.request_id, 0), 1, status)
                set_fault("none")

    def test_invalid_status_of_a_safe_request_does_not_reach_its_caller(self):
        self.check("GET", "/look/")

    def test_invalid_status_of_a_request_that_runs_once_does_not_reach_its_caller(self):
        self.check("POST", "/book/")

    def test_invalid_status_of_a_stream_does_not_reach_its_caller(self):
        self.check("POST", "/stream/")


if __name__ == "__main__":
    unittest.main()
