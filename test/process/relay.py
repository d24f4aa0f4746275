"""A relay between two processes, which harms what passes through it."""

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
