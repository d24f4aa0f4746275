"""The relay of the process tests: what passes through it, and as what."""

import os
import socket
import struct
import tempfile
import time
import unittest

from cluster import Process, wait_until
from relay import Relay

DELAY_S = 0.05
PATIENCE_S = 10


class Starter:
    """Starts a relay's process."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []

    def start(self, name, command):
        process = Process(name, command, os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        return process


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class RelayTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="auburnlb-")
        self.addCleanup(folder.cleanup)
        starter = Starter(folder.name)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(PATIENCE_S)
        self.addCleanup(self.server.close)
        self.relay = Relay(starter, "relay", self.server.getsockname()[1])
        self.addCleanup(lambda: [each.end() for each in starter.processes])
        self.relay.command(f"delay {DELAY_S * 1000:.0f}")

    def connect(self):
        near = socket.create_connection(("127.0.0.1", self.relay.port), PATIENCE_S)
        far, _ = self.server.accept()
        far.settimeout(PATIENCE_S)
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def test_closed_half_leaves_the_other_one_open(self):
        for near, far in (self.connect(), self.connect()[::-1]):
            near.sendall(b"question")
            near.shutdown(socket.SHUT_WR)
            self.assertEqual(far.recv(100), b"question")
            self.assertEqual(far.recv(100), b"")
            far.sendall(b"answer")
            self.assertEqual(near.recv(100), b"answer")
            far.close()
            self.assertEqual(near.recv(100), b"")

    def test_reset_passes_as_a_reset_behind_the_bytes_before_it(self):
        for near, far in (self.connect(), self.connect()[::-1]):
            near.sendall(b"question")
            self.assertEqual(far.recv(100), b"question")
            reset(near)
            began = time.monotonic()
            with self.assertRaises(ConnectionResetError):
                far.recv(100)
            self.assertGreaterEqual(time.monotonic() - began, DELAY_S * 0.9)

    def test_end_passes_as_no_reset(self):
        near, far = self.connect()
        far.close()
        self.assertEqual(near.recv(100), b"")

    def test_bytes_that_cross_an_end_are_reset(self):
        near, far = self.connect()
        far.close()
        near.sendall(b"question")
        self.assertEqual(near.recv(100), b"")
        # After an end, a reset shows as an error of the socket alone.
        wait_until(lambda: near.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
                   "the reset comes", PATIENCE_S)

    def test_bytes_pass_in_pieces_with_pauses(self):
        self.relay.command("pieces 2 30")
        for near, far in (self.connect(), self.connect()[::-1]):
            near.sendall(b"abcdef")
            began = time.monotonic()
            pieces = []
            while sum(map(len, pieces)) < 6:
                pieces.append(far.recv(100))
            self.assertEqual(b"".join(pieces), b"abcdef")
            self.assertGreater(len(pieces), 1)
            self.assertGreaterEqual(time.monotonic() - began, DELAY_S + 0.05)

    def test_client_that_the_target_refuses_is_reset_and_listed(self):
        self.server.close()
        near = socket.socket()
        self.addCleanup(near.close)
        near.settimeout(PATIENCE_S)
        near.bind(("127.0.0.1", 0))
        port = near.getsockname()[1]
        with self.assertRaises(ConnectionResetError):
            # A reset may come before the call that connects has returned.
            near.connect(("127.0.0.1", self.relay.port))
            near.recv(100)
        [(refused_port, at)] = self.relay.refused()
        self.assertEqual(refused_port, port)
        self.assertLess(abs(time.monotonic() - at), PATIENCE_S)


if __name__ == "__main__":
    unittest.main()
