"""Time from an accepted change to its force at every entry, and calls of the
platform while nothing happens.

Prints one line of JSON for each number of entries. A change is in force at an
entry when the entry's log says so; the times are those of the log lines, all
of one host's clock, and of the answer that accepted the change.
"""

import argparse
import datetime
import json
import os
import re
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "process"))

from cluster import Cluster, request, wait_until  # noqa: E402

SERVICE = "counter-app"
IN_FORCE = re.compile(r"^(\S+) info E0200 configuration_in_force .*version=(\d+) ", re.M)
QUIET_S = 35


def times_in_force(entry):
    """Seconds since the epoch by version, from an entry's log."""
    return {int(version): datetime.datetime.fromisoformat(
                moment.replace("Z", "+00:00")).timestamp()
            for moment, version in IN_FORCE.findall(entry.log())}


def change(cluster, entry, method, path, body):
    """Has a change accepted; gives its version and the time of the answer."""
    status, answer = cluster.admin(entry, method, path, body)
    accepted = time.time()
    if status != 200:
        raise RuntimeError(f"{path}: {status} {answer}")
    return answer["version"], accepted


def wait_in_force(cluster, version):
    """Time of the last entry, for a change accepted somewhere."""
    def are_all():
        return all(version in times_in_force(entry) for entry in cluster.entries.values())
    wait_until(are_all, f"version {version} in force at all entries")
    return max(times_in_force(entry)[version] for entry in cluster.entries.values())


def count_calls(cluster):
    calls = json.loads(request(cluster.platform.port, "GET", "/fake/calls")[2])["calls"]
    return dict(calls)


def quiet_calls(cluster):
    """Calls a second by kind, over a time without changes."""
    started = time.monotonic()
    before = count_calls(cluster)
    time.sleep(QUIET_S)
    after = count_calls(cluster)
    elapsed = time.monotonic() - started
    return {kind: round((count - before.get(kind, 0)) / elapsed, 2)
            for kind, count in sorted(after.items()) if count != before.get(kind, 0)}


def measure(entries, amendments):
    with Cluster() as cluster:
        for index in range(entries):
            cluster.add_entry(f"entry{index}")
        with open(os.path.join(ROOT, "examples", "kalaiwala", SERVICE + ".json"),
                  encoding="utf-8") as file:
            answers = json.load(file)
        hosts = list(cluster.entries.values())
        path = f"/services/{SERVICE}"
        version, _ = change(cluster, hosts[0], "PUT", path,
                            {"questionnaire": answers, "change_id": "bench", "comment": "start",
                             "expected_version": 0})
        wait_in_force(cluster, version)
        delays = []
        for number in range(amendments):
            version, accepted = change(
                cluster, hosts[number % entries], "PATCH", path,
                {"amendments": {"default_deadline_ms": 8001 + number},
                 "change_id": f"bench-{number}", "comment": "bench",
                 "expected_version": version})
            delays.append(max(0.0, wait_in_force(cluster, version) - accepted) * 1000)
        delays.sort()
        calls = quiet_calls(cluster)
        return {"bench": "spread", "entries": entries, "amendments": amendments,
                "median_ms": round(delays[len(delays) // 2], 1),
                "worst_ms": round(delays[-1], 1),
                "quiet_s": QUIET_S, "platform_calls_per_s": calls,
                "platform_calls_per_s_total": round(sum(calls.values()), 2)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[2, 8, 20])
    parser.add_argument("--amendments", type=int, default=10)
    given = parser.parse_args()
    for entries in given.entries:
        print(json.dumps(measure(entries, given.amendments)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
