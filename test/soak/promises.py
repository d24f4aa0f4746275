"""What the soak checks, from what callers and engines saw."""

import threading

from caller_view import NOT_RUN, End, Trace, find_broken


class Promises:
    """Collects records; `broken` holds a line for each promise that was not kept."""

    def __init__(self, world, is_planned):
        self.world = world
        self.is_planned = is_planned
        self.lock = threading.Lock()
        self.records = []
        self.broken = []
        # Newest added route that a run of a router has served, and when that was seen.
        self.served_route = {}

    def fail(self, promise, what):
        with self.lock:
            self.broken.append(f"{promise}: {what}")

    def note(self, record):
        with self.lock:
            self.records.append(record)
        if record.route:
            self.check_version(record)

    def check_version(self, record):
        """A router that has served a route never forgets it within its life."""
        run = (record.router, record.incarnation)
        with self.lock:
            newest, seen = self.served_route.get(run, (0, 0.0))
            if record.status == 200 and record.route > newest:
                self.served_route[run] = (record.route, record.ended_at)
        # Requests that overlap may be seen in either order.
        if record.status == 404 and record.route <= newest and seen < record.began_at:
            self.fail("version", f"{record}: {newest} was served before")

    def check_drained(self):
        """Nothing runs at an engine whose drain was told long ago."""
        for name, streams in self.world.drained:
            if streams and self.is_planned:
                self.fail("drain", f"{name} still has {streams} streams at its drain's end")

    def check_callers(self):
        """What every caller saw, with what is known of the processes."""
        for line in find_broken(self.records, self.trace()):
            self.fail("callers", line)

    def trace(self):
        """Planned work and sound engines excuse nothing but calls whose time is over."""
        world = self.world
        trace = Trace(world.recorded_runs(), world.lives(), world.link, world.refused(),
                      router_troubles={name: member.troubles() for name, member in
                                       world.routers_by_name.items()})
        if self.is_planned:
            trace.failure_times = world.silences
        else:
            trace.engine_troubles = world.engine_troubles
            trace.may_refuse_repeatable_runs = True
            trace.may_engines_fail = True
        return trace

    def summary(self):
        whole = sum(each.status == 200 and each.is_whole for each in self.records)
        left = sum(each.end is End.LEFT for each in self.records)
        refused = sum(each.status in NOT_RUN for each in self.records)
        return (f"{len(self.records)} requests, {whole} whole, {left} left, "
                f"{refused} refused")
