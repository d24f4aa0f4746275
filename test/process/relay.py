"""A relay between two processes, which harms what passes through it."""

import json
import os

from cluster import BUILD, request


class Relay:
    """A relay process and its commands."""

    def __init__(self, system, name, target_port):
        self.process = system.start(name, [os.path.join(BUILD, "fake-relay"), "--to",
                                           f"127.0.0.1:{target_port}"])
        self.port = int(self.process.first_line.rsplit(":", 1)[1])
        line = self.process.child.stdout.readline().decode().strip()
        self.control = int(line.rsplit(":", 1)[1])

    def command(self, text):
        assert request(self.control, "POST", "/", text)[0] == 200, text

    def refused(self):
        """Port and time of each client that the target did not take."""
        listed = json.loads(request(self.control, "GET", "/")[2])["refused"]
        return [(port, at_ms / 1000) for port, at_ms in listed]


class CallerRelay(Relay):
    """The way between callers and one router, which its callers take for the router."""

    def __init__(self, system, router, link):
        super().__init__(system, f"way-{router.node}", router.callers)
        self.node = router.node
        self.callers = self.port
        self.set_link(link)

    def set_link(self, link):
        self.command(f"delay {link.delay_s * 1000:.0f}")
        self.command(f"pieces {link.piece_bytes} {link.pause_s * 1000:.0f}")
