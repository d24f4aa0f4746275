"""Odd entries that another writer leaves among those of the engines."""

import json
import time
import unittest

from cluster import request, wait_until
from platform_cluster import DESK, MODEL, calm, expected_events

DEPTH = 100_000
# The target: an endpoint that leaves gets nothing from this time on.
DRAIN_S = 2.0
WATCHED_S = 3.0


def deep_arrays(depth):
    return "[" * depth + "]" * depth


def deep_objects(depth):
    return '{"a":' * depth + "1" + "}" * depth


def entry(name, spec, revision="11"):
    return f'{{"metadata": {{"name": "{name}", "revision": {revision}}}, "spec": {spec}}}'


def spec(**changes):
    values = {"service": DESK, "address": "127.0.0.1:9", "zone": "dc1", "version": "v1",
              "batch-slots": 16, "state": "ready", "sequence": 1, "born": 1}
    values.update(changes)
    return json.dumps(values)


ODD = {
    "deep-arrays": lambda name: entry(name, deep_arrays(DEPTH)),
    "deep-objects": lambda name: entry(name, deep_objects(DEPTH)),
    "deep-field": lambda name: entry(
        name, spec(address=1).replace('"address": 1', f'"address": {deep_arrays(DEPTH)}')),
    "too-large": lambda name: entry(name, spec(sequence=1).replace(
        '"sequence": 1', '"sequence": 1e999')),
    "too-small-revision": lambda name: entry(name, spec(), "-4"),
    "text-revision": lambda name: entry(name, spec(), '"four"'),
    "nameless": lambda name: '{"spec": {}}',
    "number": lambda name: "1e999",
    "nothing": lambda name: "null",
    "port": lambda name: entry(name, spec(address="127.0.0.1:70000")),
    "no-port": lambda name: entry(name, spec(address="somewhere")),
    "slots": lambda name: entry(name, spec(**{"batch-slots": 10**30})),
    "wrapped-slots": lambda name: entry(name, spec(**{"batch-slots": 2**32 + 1})),
    "sequence": lambda name: entry(name, spec(sequence=10**30)),
    "layers": lambda name: entry(name, spec(service=MODEL, kind="card",
                                            layers={"from": 0, "to": 2**40})),
    "reversed-layers": lambda name: entry(name, spec(service=MODEL, kind="card",
                                                     layers={"from": 9, "to": 3})),
    "types": lambda name: entry(name, spec(service=[], zone={}, state=7)),
    "long-name": lambda name: entry("n" * 50_000, spec()),
    "split-name": lambda name: entry("a b\\r\\nX: y&after=z", spec()),
}


class OddEntriesTest(unittest.TestCase):

    def write(self, system, name, text):
        status, _, _ = request(system.store.port, "POST",
                               f"/fake/raw?kind=servers&name={name}", text)
        self.assertEqual(status, 200)

    def check_alive(self, system):
        for router in system.routers:
            self.assertIsNone(router.child.poll(), "a router ended by itself")

    def joined(self, router, name):
        return any(
            '"E0300"' in line and f'"{name}"' in line for line in router.log().splitlines())

    def check_follows(self, system, name):
        """An engine that joins is used, and one that drains is left."""
        system.add_engine(name, service=DESK, zone="dc1")
        for router in system.routers:
            wait_until(lambda router=router: self.joined(router, name),
                       f"a router follows the store: {name}")
        self.check_alive(system)
        status, _, _ = request(system.engines[name].port, "POST", "/fake/drain", "")
        self.assertEqual(status, 200)
        time.sleep(DRAIN_S)
        before = self.runs_of(system, name)
        self.check_served(system, name)
        self.assertEqual(self.runs_of(system, name), before)

    def rejected(self, router):
        """Entries that the router counts as not used."""
        text = request(router.control, "GET", "/metrics")[2]
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
                   if line.startswith("auburnlb_router_rejected_entries_total"))

    def runs_of(self, system, name):
        text = request(system.engines[name].port, "GET", "/fake/runs")[2]
        return sum(json.loads(text)["runs"].values())

    def check_served(self, system, label):
        for number, router in enumerate(system.routers):
            for attempt in range(5):
                request_id = f"{label}-{number}-{attempt}"
                self.assertEqual(system.look(router, f"look-{request_id}").status, 200)
                self.assertEqual(system.book(router, f"book-{request_id}").status, 200)
            stream = system.stream(router, f"stream-{label}-{number}")
            self.assertEqual(stream.text, expected_events())
        self.check_alive(system)

    def check_odd(self, names):
        with calm(routers=2) as system:
            for name in names:
                with self.subTest(name):
                    self.write(system, f"odd-{name}", ODD[name](f"odd-{name}"))
                    self.check_served(system, name)
            self.check_follows(system, "later")
            for router in system.routers:
                self.assertGreaterEqual(self.rejected(router), len(names))
                self.assertIn('"E0207"', router.log())
            # A list has them all; the watch gave them one by one.
            listing = system.add_router("listing", zone="dc1")
            system.wait_served(listing)
            self.check_follows(system, "last")

    def test_deep_entries_end_no_router(self):
        self.check_odd(["deep-arrays", "deep-objects", "deep-field"])

    def test_numbers_out_of_range_cost_only_their_entry(self):
        self.check_odd(["too-large", "too-small-revision", "slots", "wrapped-slots", "sequence",
                        "layers", "reversed-layers"])

    def test_entries_without_a_usable_name_or_address_cost_only_themselves(self):
        self.check_odd(["nameless", "number", "nothing", "port", "no-port", "long-name",
                        "split-name"])

    def test_wrong_types_cost_only_their_entry(self):
        self.check_odd(["types", "text-revision"])

    def test_an_engine_whose_entry_becomes_odd_is_left_until_it_is_sound(self):
        with calm(routers=2) as system:
            self.write(system, "desk-0", entry("desk-0", spec(address="127.0.0.1:70000")))
            time.sleep(DRAIN_S)
            before = self.runs_of(system, "desk-0")
            self.check_served(system, "without")
            self.assertEqual(self.runs_of(system, "desk-0"), before)
            request(system.engines["desk-0"].port, "POST", "/fake/register", "")

            def is_used():
                self.check_served(system, f"with-{time.monotonic()}")
                return self.runs_of(system, "desk-0") > before
            wait_until(is_used, "the engine is used again")

    def test_deep_messages_end_no_router(self):
        with calm() as system:
            router = system.routers[0]
            deep = deep_arrays(DEPTH)
            for path, body in (
                    ("/retries", f'{{"service": {deep}, "wanted": 1}}'),
                    ("/retries", f'{{"service": "{DESK}", "wanted": {deep}}}'),
                    ("/exchange", f'{{"from": {deep}}}'),
                    ("/exchange", f'{{"causes": {{"crashes": {deep}}}}}'),
                    ("/exchange", deep)):
                try:
                    status = request(router.control, "POST", path, body)[0]
                except OSError:
                    status = 0
                self.assertEqual(status, 400, path)
            self.check_served(system, "after")


if __name__ == "__main__":
    unittest.main()
