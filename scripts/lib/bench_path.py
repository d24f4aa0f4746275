"""Processor time of entry and companion for each request and each token, and
memory of an entry when idle and for each idle connection."""

import collections
import os
import socket
import sys
import time

import bench_load
from bench_cluster import LAYERS, SEED, SERVICE, BenchCluster, print_line
from cluster import expected_answer, wait_until

OPTIONS = ["--step-us", "2000", "--token-us", "50", "--prefill-us", "10"]
#: Same tokens a second in each case, in answers of unlike length.
CASES = {"short_answers": 4, "long_answers": 64}
TOKENS_PER_SECOND = 400
SECONDS = 10
IDLE_SECONDS = 5
IDLE_CONNECTIONS = 1000
TIMEOUT_MS = 10_000
WORKSPACE = "head-office"
PROMPTS = ["job card for retinning two copper pans"]
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(process):
    """User and system time so far."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(process):
    with open(f"/proc/{process.child.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_SIZE


class Spent:
    """Processor time that each role spends between two moments."""

    def __init__(self, system):
        self.roles = {"entry": [system.entry],
                      "companion": list(system.companions.values())}
        self.at = time.monotonic()
        self.before = self.read()

    def read(self):
        return {role: sum(cpu_seconds(each) for each in processes)
                for role, processes in self.roles.items()}

    def since(self):
        now = self.read()
        return {role: now[role] - self.before[role] for role in now}

    def seconds(self):
        return time.monotonic() - self.at


def measure_idle(system):
    spent = Spent(system)
    time.sleep(IDLE_SECONDS)
    used, seconds = spent.since(), spent.seconds()
    for role, processes in spent.roles.items():
        print_line(bench="path", case="idle", role=role, processes=len(processes),
                   percent_of_core_each=round(100 * used[role] / seconds / len(processes), 2),
                   resident_mb_each=round(sum(map(resident_bytes, processes)) / len(processes)
                                          / 1e6, 1))
    return {role: used[role] / seconds for role in used}


def measure_load(system, name, tokens, idle):
    arrivals = bench_load.schedule({WORKSPACE: TOKENS_PER_SECOND}, SECONDS, [tokens], PROMPTS, SEED)
    spent = Spent(system)
    bench_load.offer(system.entry.callers, SERVICE, arrivals, TIMEOUT_MS)
    used, seconds = spent.since(), spent.seconds()
    outcomes = [each for _, each in arrivals]
    expected = expected_answer(PROMPTS[0], LAYERS, tokens)
    whole = [each for each in outcomes if each.is_done and each.text == expected]
    refusals = collections.Counter(each.refusal["reason"] for each in outcomes if each.refusal)
    work = {role: max(0.0, used[role] - idle[role] * seconds) for role in used}
    served = sum(len(each.times) for each in outcomes)
    print_line(bench="path", case=name, seed=SEED, tokens_per_answer=tokens,
               requests=len(outcomes), whole=len(whole), refusals=dict(refusals), tokens=served,
               entry_ms=round(1000 * work["entry"]), companions_ms=round(1000 * work["companion"]))
    return len(whole), served, work


def print_costs(short, long):
    """Two unlike mixes give cost = requests * a + tokens * b."""
    (requests_1, tokens_1, work_1), (requests_2, tokens_2, work_2) = short, long
    scale = requests_1 * tokens_2 - requests_2 * tokens_1
    for role in work_1:
        per_request = (work_1[role] * tokens_2 - work_2[role] * tokens_1) / scale
        per_token = (requests_1 * work_2[role] - requests_2 * work_1[role]) / scale
        print_line(bench="path", case="cost", role=role,
                   stages=3 if role == "companion" else 0,
                   us_per_request=round(per_request * 1e6), us_per_token=round(per_token * 1e6))


def measure_connections(system):
    before = resident_bytes(system.entry)
    sockets = []
    try:
        for _ in range(IDLE_CONNECTIONS):
            sockets.append(socket.create_connection(("127.0.0.1", system.entry.callers)))
        # The last one is answered after all before it were accepted.
        sockets[-1].sendall(b"GET /healthz HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
        wait_until(lambda: sockets[-1].recv(1), "an answer on the last connection")
        after = resident_bytes(system.entry)
    finally:
        for each in sockets:
            each.close()
    print_line(bench="path", case="idle_connections", connections=len(sockets),
               resident_before_mb=round(before / 1e6, 1), resident_after_mb=round(after / 1e6, 1),
               bytes_each=round((after - before) / IDLE_CONNECTIONS))


def main():
    with BenchCluster([OPTIONS] * 2) as system:
        idle = measure_idle(system)
        costs = [measure_load(system, name, tokens, idle) for name, tokens in CASES.items()]
        print_costs(*costs)
        measure_connections(system)
    return 0


if __name__ == "__main__":
    sys.exit(main())
