"""Signals that reach a daemon before it listens."""

import json
import os
import signal
import subprocess
import tempfile
import time
import unittest

from cluster import BUILD, wait_until
from platform_cluster import free_ports

# Nothing listens at the discard port.
NOWHERE = "127.0.0.1:9"


def router_settings():
    callers, ready, control = free_ports(3)
    return {"node": {"name": "router", "data_centre": "dc1", "region": "one"},
            "router": {"callers": f"127.0.0.1:{callers}", "ready": f"127.0.0.1:{ready}",
                       "control": f"127.0.0.1:{control}", "store": NOWHERE,
                       "stop_limit_ms": 5000}}


def node_settings(**more):
    return {"node": {"name": "node", "data_centre": "dc1", "region": "one"},
            "platform": {"url": f"http://{NOWHERE}"}, **more}


DAEMONS = {
    "auburnlb-router": router_settings,
    "auburnlb-entry": node_settings,
    "auburnlb-companion": lambda: node_settings(endpoint={
        "url": f"http://{NOWHERE}", "kind": "plain", "service": "desk"}),
}


class StartingDaemon:
    """A daemon that reads its settings from a pipe, and so does not listen
    before release()."""

    def __init__(self, program, settings):
        self.settings = settings
        self.folder = tempfile.TemporaryDirectory(prefix="auburnlb-")
        self.path = os.path.join(self.folder.name, "settings.json")
        os.mkfifo(self.path)
        self.output = open(os.path.join(self.folder.name, "output"), "w+b")
        self.child = subprocess.Popen([os.path.join(BUILD, program), "--settings", self.path],
                                      stdout=self.output, stderr=self.output,
                                      stdin=subprocess.DEVNULL)
        self.pipe = wait_until(self.open_pipe, "the daemon reads its settings")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.output.close()
        self.folder.cleanup()

    def open_pipe(self):
        try:
            return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return None

    def release(self):
        text = json.dumps(self.settings).encode()
        # The file is read again later, when nothing writes to a pipe.
        copy = self.path + ".new"
        with open(copy, "wb") as file:
            file.write(text)
        os.replace(copy, self.path)
        os.write(self.pipe, text)
        os.close(self.pipe)

    def log(self):
        with open(self.output.name, encoding="utf-8") as text:
            return text.read()


class EarlySignalsTest(unittest.TestCase):

    def start(self, program):
        return StartingDaemon(program, DAEMONS[program]())

    def check_early_hangup(self, program):
        with self.start(program) as daemon:
            daemon.child.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            self.assertIsNone(daemon.child.poll(), "ended by SIGHUP")
            daemon.release()
            wait_until(lambda: "E0100" in daemon.log(), "the daemon is up")
            daemon.child.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            self.assertIsNone(daemon.child.poll(), "ended by a later SIGHUP")
            daemon.child.send_signal(signal.SIGTERM)
            self.assertEqual(daemon.child.wait(20), 0, daemon.log())

    def check_early_stop(self, program):
        with self.start(program) as daemon:
            daemon.child.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            self.assertIsNone(daemon.child.poll(), "ended by SIGTERM at once")
            daemon.release()
            self.assertEqual(daemon.child.wait(20), 0, daemon.log())
            self.assertIn("E0102", daemon.log())
            self.assertNotIn("E0100", daemon.log())

    def test_hangup_during_its_start_ends_no_router(self):
        self.check_early_hangup("auburnlb-router")

    def test_hangup_during_its_start_ends_no_entry(self):
        self.check_early_hangup("auburnlb-entry")

    def test_hangup_during_its_start_ends_no_companion(self):
        self.check_early_hangup("auburnlb-companion")

    def test_stop_during_its_start_ends_a_router_in_order(self):
        self.check_early_stop("auburnlb-router")

    def test_stop_during_its_start_ends_an_entry_in_order(self):
        self.check_early_stop("auburnlb-entry")

    def test_stop_during_its_start_ends_a_companion_in_order(self):
        self.check_early_stop("auburnlb-companion")


if __name__ == "__main__":
    unittest.main()
