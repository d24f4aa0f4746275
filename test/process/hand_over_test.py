"""A router that places layers is paused while another one takes its duty over."""

import json
import signal
import time
import unittest

from cluster import request, wait_until
from platform_cluster import calm, expected_events

# The duty passes to another router within about this time of its holder's last sign.
TAKEN_OVER_S = 8.0
WATCHED_S = 4.0


def entries(router, event):
    return [json.loads(line) for line in router.log().splitlines() if f'"{event}"' in line]


def fence_of(entry):
    return tuple(int(part) for part in entry["fence"].split("/"))


class HandOverTest(unittest.TestCase):

    def leader(self, system):
        return next((each for each in system.routers
                     if len(entries(each, "E0700")) > len(entries(each, "E0701"))), None)

    def test_paused_holder_of_the_duty_sends_no_order_after_another_took_it(self):
        with calm(routers=3) as system:
            paused = wait_until(lambda: self.leader(system), "a router has the duty")
            others = [each for each in system.routers if each is not paused]
            paused.send(signal.SIGSTOP)
            lost = "engine-dc2-0"
            system.engines[lost].kill()
            request(system.store.port, "DELETE", f"/objects/servers/{lost}?operator=1")
            system.add_engine("engine-dc2-late", zone="dc2")
            successor = wait_until(
                lambda: next((each for each in others if entries(each, "E0700")), None),
                "another router has the duty", TAKEN_OVER_S)
            before = len(entries(paused, "E0702"))
            paused.send(signal.SIGCONT)
            time.sleep(WATCHED_S)
            self.assertEqual(entries(paused, "E0702")[before:], [])
            ordered = entries(successor, "E0702")
            self.assertTrue(ordered)
            earlier = entries(paused, "E0702")
            self.assertGreater(min(map(fence_of, ordered)), max(map(fence_of, earlier)))
            self.assertEqual(system.stream(paused, "after").text, expected_events())


if __name__ == "__main__":
    unittest.main()
