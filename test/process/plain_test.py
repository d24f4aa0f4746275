"""Calls of plain services: at most once through kills, pauses and an outage of
the platform, and true words about what ran."""

import json
import os
import threading
import unittest

import cluster
from cluster import Cluster, key_of, request

SERVICE = "counter-app"
WORKSPACE = "head-office"
TIMEOUT_MS = 20_000


class PlainCluster(Cluster):
    """One plain service with three endpoints behind two entries."""

    def __init__(self, latency_ms=5):
        super().__init__()
        try:
            self.services = {}
            for index in range(3):
                name = f"desk{index}"
                process = self.start_fake(
                    "plain_service", ["--latency-ms", str(latency_ms)])
                self.services[name] = process
                self.add_companion(name, SERVICE, "plain", process.port)
            for index in range(2):
                self.add_entry(f"entry{index}")
            path = os.path.join(cluster.SOURCE, "examples", "kalaiwala",
                                SERVICE + ".json")
            with open(path, encoding="utf-8") as file:
                answers = json.load(file)
            status, text = self.admin(
                self.entries["entry0"], "PUT", f"/services/{SERVICE}",
                {"questionnaire": answers, "change_id": "plain-test",
                 "comment": "start", "expected_version": 0})
            assert status == 200, text
            for entry in self.entries.values():
                self.wait_for_service(entry, SERVICE, 3)
        except BaseException:
            self.__exit__(RuntimeError, None, None)
            raise

    def executions(self, key):
        return sum(
            json.loads(request(each.port, "GET", "/fake/executions")[2])
            ["by_key"].get(key, 0) for each in self.services.values())


def book(entry, key=None, timeout_ms=TIMEOUT_MS, body=None):
    """Books a pickup; gives (status, parsed body)."""
    headers = {"Authorization": f"Bearer {key_of(WORKSPACE)}",
               "X-Request-Timeout-Ms": str(timeout_ms)}
    if key:
        headers["Idempotency-Key"] = key
    status, _, text = request(entry.callers, "POST",
                              f"/services/{SERVICE}/pickups",
                              body or {"van": 1}, headers, 60)
    return status, json.loads(text)


class PlainTest(unittest.TestCase):

    def check_words(self, system, outcomes):
        """What callers were told agrees with what the services counted."""
        for key, (status, body) in outcomes.items():
            runs = system.executions(key)
            self.assertLessEqual(runs, 1, key)
            if status == 200:
                self.assertEqual(runs, 1, key)
            elif body["error"]["run_state"] == "not_run":
                self.assertEqual(runs, 0, key)

    def run_with_fault(self, fault, count=60):
        """Books from both entries while a fault happens."""
        with PlainCluster() as system:
            entries = list(system.entries.values())
            outcomes = {}
            begun = threading.Semaphore(0)

            def run(part):
                for number in range(part, count, 6):
                    key = f"booking-{number}"
                    outcomes[key] = book(entries[number % 2], key)
                    begun.release()
            threads = [threading.Thread(target=run, args=(part,))
                       for part in range(6)]
            for thread in threads:
                thread.start()
            for _ in range(count // 4):
                begun.acquire(timeout=30)
            fault(system)
            for thread in threads:
                thread.join(120)
            self.assertEqual(len(outcomes), count)
            self.check_words(system, outcomes)
            answered = sum(status == 200 for status, _ in outcomes.values())
            # Sent again through the other entry, nothing runs a second time.
            for number, key in enumerate(list(outcomes)[:12]):
                book(entries[(number + 1) % 2], key, 2_000)
            self.check_words(system, outcomes)
            return answered

    def test_kill_of_a_home_while_its_endpoint_freezes(self):
        # The endpoint's own count of what ran must be there at the end, so the
        # endpoint is frozen where a lost host would take it along.
        def kill(system):
            service = system.services["desk0"]
            service.send(cluster.signal.SIGSTOP)
            system.companions["desk0"].kill()
            threading.Timer(
                10, lambda: service.send(cluster.signal.SIGCONT)).start()
        self.assertGreater(self.run_with_fault(kill), 40)

    def test_kill_of_a_companion_alone(self):
        self.run_with_fault(lambda system: system.companions["desk1"].kill())

    def test_pause_of_a_home_that_wakes_later(self):
        def pause(system):
            paused = system.companions["desk2"]
            paused.send(cluster.signal.SIGSTOP)
            threading.Timer(
                6, lambda: paused.send(cluster.signal.SIGCONT)).start()
        self.run_with_fault(pause)

    def test_planned_stop_of_a_home_cuts_no_call(self):
        def stop(system):
            self.assertEqual(system.companions["desk0"].stop(), 0)
        self.assertEqual(self.run_with_fault(stop), 60)

    def test_while_the_platform_is_down_keyed_calls_are_refused_not_run(self):
        with PlainCluster() as system:
            entry = system.entries["entry0"]
            self.assertEqual(book(entry, "before")[0], 200)
            system.platform_control("faults", {"down": True})
            status, body = book(entry, "during", 3_000)
            self.assertNotEqual(status, 200)
            self.assertEqual(body["error"]["run_state"], "not_run")
            self.assertEqual(system.executions("during"), 0)
            self.assertEqual(book(entry, "before")[0], 200)
            self.assertEqual(system.executions("before"), 1)
            status, _ = book(entry)
            system.platform_control("faults", {"down": False})
            cluster.wait_until(lambda: book(entry, "after", 3_000)[0] == 200,
                               "keyed calls run again")
            self.assertEqual(system.executions("after"), 1)

    def test_a_key_with_another_body_is_refused(self):
        with PlainCluster() as system:
            entry = system.entries["entry0"]
            self.assertEqual(book(entry, "k")[0], 200)
            status, body = book(entry, "k", body={"van": 2})
            self.assertEqual(body["error"]["reason"], "key_body_mismatch")
            self.assertEqual(system.executions("k"), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
