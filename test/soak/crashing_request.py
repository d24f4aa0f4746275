"""A request that crashes each engine that begins to answer it, sent again and again, and
which of its runs come late."""

import threading
import time

from platform_cluster import Caller

BODY = "crashing"
PREFIX = "crash-"
# The users' bound: after this many runs and this time, only so many may follow.
TOLERATED_RUNS = 3
SETTLE_S = 3.0
LATE_RUNS = 3
INTERVAL_S = 0.1
POLL_S = 0.02


class Run:
    """One run, and whether its router was in touch for the time to settle."""

    def __init__(self, request_id, at_s, is_in_touch):
        self.request_id = request_id
        self.at_s = at_s
        self.is_in_touch = is_in_touch


class CrashingRequest:
    """Sends the request at routers in turn until it is stopped."""

    def __init__(self, world):
        self.world = world
        self.is_over = threading.Event()
        self.routers = {}
        self.runs = []
        self.threads = [threading.Thread(target=each, daemon=True)
                        for each in (self.send, self.watch)]

    def start(self):
        for each in self.threads:
            each.start()

    def stop(self):
        self.is_over.set()

    def send(self):
        number = 0
        while not self.is_over.wait(INTERVAL_S):
            ready = list(self.world.ready)
            if not ready:
                continue
            router = ready[number % len(ready)]
            request_id = f"{PREFIX}{number}"
            self.routers[request_id] = router
            threading.Thread(target=Caller, daemon=True, args=(
                router, "POST", "/stream/x", request_id, {}, BODY)).start()
            number += 1

    def watch(self):
        while not self.is_over.wait(POLL_S):
            known = {}
            for run in self.runs:
                known[run.request_id] = known.get(run.request_id, 0) + 1
            for request_id, count in self.world.recorded_runs().items():
                if request_id.startswith(PREFIX):
                    self.note(request_id, count - known.get(request_id, 0))

    def note(self, request_id, count):
        now = time.monotonic()
        router = self.routers[request_id]
        calm_since = max(router.touched, self.world.store_touched)
        is_in_touch = not router.is_paused and calm_since < now - SETTLE_S
        self.runs += [Run(request_id, now, is_in_touch) for _ in range(count)]

    def check(self, promises):
        if len(self.runs) <= TOLERATED_RUNS:
            return
        settled = self.runs[TOLERATED_RUNS - 1].at_s + SETTLE_S
        late = [run.request_id for run in self.runs
                if run.at_s > settled and run.is_in_touch]
        if len(late) > LATE_RUNS:
            promises.fail("crashes", f"{len(late)} late runs of {len(self.runs)}: {late}")
