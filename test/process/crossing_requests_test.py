"""Kept connections of callers, and calls on their way to a companion, while an
entry or a companion stops as planned."""

import http.client
import json
import signal
import threading
import time
import unittest

from cluster import key_of, request
from fixture import relay_command
from plain_test import PlainCluster, SERVICE, WORKSPACE

CONNECTIONS = 20
CALLS = 300
CALL_INTERVAL_S = 0.004
# One way between callers and their entry.
DELAY_MS = 150
# One way between an entry and its companions.
COMPANION_DELAY_MS = 250
# Longer than an entry needs that waits for nobody.
REST_S = 2.0


def start_relay(system, port):
    relay = system.start_fake("relay", ["--to", f"127.0.0.1:{port}"])
    line = relay.child.stdout.readline().decode()
    relay.control = int(line.rsplit(":", 1)[1])
    return relay


class KeptCaller(threading.Thread):
    """Sends one request after the other on a connection, until an answer says
    that it closes. An answer that does not come counts as dropped."""

    def __init__(self, port, interval_s=0.0):
        super().__init__(daemon=True)
        self.interval_s = interval_s
        self.statuses = []
        self.is_dropped = False
        self.keep_alive = None
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
        self.connection.connect()
        # A lost connection must be seen, not opened anew.
        self.connection.auto_open = 0

    def call(self):
        """Whether the connection stays open."""
        try:
            self.connection.request("POST", f"/services/{SERVICE}/notes", '{"van": 1}', {
                "Authorization": f"Bearer {key_of(WORKSPACE)}"})
            answer = self.connection.getresponse()
            answer.read()
        except (http.client.HTTPException, OSError):
            self.is_dropped = True
            return False
        self.statuses.append(answer.status)
        self.keep_alive = answer.getheader("Keep-Alive")
        return answer.getheader("Connection") != "close"

    def run(self):
        while self.call():
            time.sleep(self.interval_s)
        self.connection.close()


class RelayedPlainCluster(PlainCluster):
    """Entries reach each companion through a relay."""

    def __init__(self):
        self.relays = {}
        super().__init__()

    def add_companion(self, name, service, kind, port, data_centre="dc1", timing=None):
        relay = start_relay(self, 1)
        values = self.node(name, data_centre)
        values["peers"] = {"advertised_address": f"tcp://127.0.0.1:{relay.port}"}
        values["endpoint"] = {"url": f"http://127.0.0.1:{port}", "kind": kind,
                              "service": service}
        companion = self.start_daemon("auburnlb-companion", name, values)
        relay_command(relay, "to " + companion.bus.removeprefix("tcp://"))
        self.companions[name] = companion
        self.relays[name] = relay
        self.announce(name, "endpoint", values["peers"]["advertised_address"], data_centre)
        return companion


def note(entry):
    """A call that may run once: its status, and what it says of a run."""
    status, _, text = request(entry.callers, "POST", f"/services/{SERVICE}/notes", {"van": 1},
                              {"Authorization": f"Bearer {key_of(WORKSPACE)}"})
    return status, json.loads(text).get("error", {}).get("run_state")


class CrossingRequestsTest(unittest.TestCase):

    def check_answered(self, callers):
        for each in callers:
            each.join(30)
            self.assertFalse(each.is_alive(), "a caller still waits")
        self.assertEqual(sum(each.is_dropped for each in callers), 0, "requests were dropped")
        for each in callers:
            self.assertLessEqual(set(each.statuses), {200, 503})

    def test_stop_of_an_entry_drops_no_request_that_crosses_it(self):
        with PlainCluster() as system:
            entry = system.entries["entry0"]
            relay = start_relay(system, entry.callers)
            relay_command(relay, f"delay {DELAY_MS}")
            callers = []
            for _ in range(CONNECTIONS):
                callers.append(KeptCaller(relay.port))
                callers[-1].start()
                time.sleep(2 * DELAY_MS / 1000 / CONNECTIONS)
            time.sleep(1)
            entry.send(signal.SIGTERM)
            self.check_answered(callers)
            self.assertEqual(entry.child.wait(15), 0)

    def test_stop_of_an_entry_closes_no_connection_at_rest(self):
        with PlainCluster() as system:
            entry = system.entries["entry0"]
            callers = [KeptCaller(entry.callers) for _ in range(CONNECTIONS)]
            for each in callers:
                self.assertTrue(each.call())
            promised = {each.keep_alive for each in callers}
            entry.send(signal.SIGTERM)
            time.sleep(REST_S)
            for each in callers:
                each.start()
            self.check_answered(callers)
            self.assertEqual([each.statuses for each in callers], [[200, 503]] * CONNECTIONS)
            self.assertEqual(promised, {"timeout=9"})
            # Nobody is left who could send.
            self.assertEqual(entry.child.wait(1), 0)

    def test_entry_without_connections_stops_at_once(self):
        with PlainCluster() as system:
            entry = system.entries["entry0"]
            began = time.monotonic()
            self.assertEqual(entry.stop(), 0)
            self.assertLess(time.monotonic() - began, REST_S)

    def test_stop_of_a_companion_drops_no_call_that_crosses_it(self):
        with RelayedPlainCluster() as system:
            for relay in system.relays.values():
                relay_command(relay, f"delay {COMPANION_DELAY_MS}")
            entries = list(system.entries.values())
            outcomes = []
            threads = []
            for number in range(CALLS):
                if number == CALLS // 2:
                    system.companions["desk0"].send(signal.SIGTERM)
                threads.append(threading.Thread(target=lambda number=number: outcomes.append(
                    note(entries[number % len(entries)]))))
                threads[-1].start()
                time.sleep(CALL_INTERVAL_S)
            for thread in threads:
                thread.join(30)
            self.assertEqual(len(outcomes), CALLS)
            unknown = [each for each in outcomes
                       if each[0] != 200 and each != (503, "not_run")]
            self.assertEqual(unknown, [])
            self.assertEqual(system.companions["desk0"].child.wait(15), 0)


if __name__ == "__main__":
    unittest.main()
