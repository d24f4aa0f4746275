"""Callers of the soak: each keeps its connection for as long as it is open and notes what
it sees of every request."""

import random
import threading
import time

from kept_connection import KeptConnection, leave, new_exchange
from platform_cluster import EVENTS

# Longer than the notice of a planned stop.
LONG_REST_S = 5.0


class CallerThread(threading.Thread):
    """One caller with requests drawn by a seed of its own."""

    def __init__(self, world, promises, seed, number):
        super().__init__(daemon=True)
        self.world = world
        self.promises = promises
        self.rng = random.Random(f"{seed}-{number}")
        # Draws what earlier seeds did not have.
        self.rests = random.Random(f"rests-{seed}-{number}")
        self.number = number
        self.count = 0
        self.is_over = threading.Event()
        self.connection = None
        self.member = None

    def run(self):
        while not self.is_over.is_set():
            self.one()
            self.is_over.wait(self.rng.uniform(0, 0.04))
            if self.number % 2 and self.rests.random() < 0.05:
                self.is_over.wait(self.rests.uniform(0, LONG_REST_S))
        self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def connect(self):
        """Uses the open connection on, also when its router is not ready any more;
        otherwise any router that callers are sent to."""
        if self.connection is not None and self.rng.random() < 0.05:
            self.drop()
        if self.connection is not None and self.connection.may_send():
            return True
        ready = list(self.world.ready)
        if not ready:
            return False
        self.member = self.rng.choice(ready)
        try:
            self.connection = KeptConnection(self.member.way)
        except OSError:
            self.connection = None
        return self.connection is not None

    def one(self):
        kind = self.rng.choices(("stream", "book", "look", "added"), (50, 25, 15, 10))[0]
        leaves_after = self.rng.randint(1, EVENTS) if self.rng.random() < 0.1 else None
        if not self.connect():
            return
        self.count += 1
        route = self.rng.randint(1, max(1, self.world.newest_route)) if kind == "added" else 0
        path = f"/added-{route}/x" if route else f"/{kind}/x"
        record = new_exchange(self.member, f"{kind}-{self.number}-{self.count}", path)
        record.is_route_new = route > 0
        record.route = route
        record.incarnation = self.member.incarnation

        def leave_early(seen):
            if seen.body.count(b"\n\n") >= leaves_after:
                leave()
        is_leaving = kind == "stream" and leaves_after is not None
        self.connection.exchange(record, path, on_piece=leave_early if is_leaving else None)
        self.promises.note(record)
