"""Served tokens against the bound that the system states, at loads from half
of it to five times as much, and fairness when one workspace asks for too much."""

import collections
import sys

import bench_load
from bench_cluster import (LAYERS, SEED, SERVICE, BenchCluster, milliseconds, print_line,
                           quantile)
from cluster import expected_answer

#: Two positions in a batch; its time is 7, 3.5 and 1.75 ms.
SPEEDS = {"slow": 6800, "medium": 3300, "fast": 1550}
OPTIONS = [["--step-us", str(step), "--token-us", "100", "--prefill-us", "10",
            "--max-batch", "2", "--accelerator", name] for name, step in SPEEDS.items()]
LOADS = (0.5, 0.9, 1.2, 2.0, 5.0)
SECONDS = 10
WARM_UP_S = 2
ANSWER_TOKENS = (8, 16, 24)
TIMEOUT_MS = 10_000
#: All of one size in the questionnaire, so that their shares are equal.
WORKSPACES = ("head-office", "ahmedabad-maninagar", "ahmedabad-vastrapur", "surat-adajan",
              "surat-varachha")
PROMPTS = [f"job card {number} for retinning two copper pans" for number in range(8)]
GREED = 20
MODEST_LOAD = 0.8


def jain(values):
    """Jain's index of fairness: 1 when all are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


class Window:
    """The part of a case that is measured."""

    def __init__(self, started):
        self.first = started + WARM_UP_S
        self.end = started + SECONDS

    def tokens(self, outcomes):
        return sum(self.first <= at < self.end for each in outcomes for at in each.times)

    def sent(self, outcomes):
        return [each for each in outcomes if self.first <= each.sent < self.end]

    def rate(self, tokens):
        return tokens / (self.end - self.first)


def is_whole(outcome, expected):
    return (outcome.is_done and outcome.failure is None
            and outcome.text == expected[outcome.prompt, outcome.tokens])


def latencies(outcomes):
    """First-token times and intervals between tokens, of the admitted."""
    firsts = [each.first_token_s() for each in outcomes if each.times]
    intervals = [length for each in outcomes for length in each.intervals()]
    return firsts, intervals


def share_taken(outcomes, window, share, offered):
    """What a workspace got over what it may claim: its offer or its share."""
    got = window.rate(window.tokens(outcomes))
    return min(1.0, got / min(share, offered))


def run_case(system, name, rates, bound, expected):
    arrivals = bench_load.schedule(rates, SECONDS, ANSWER_TOKENS, PROMPTS, SEED)
    started, lag = bench_load.offer(system.entry.callers, SERVICE, arrivals, TIMEOUT_MS)
    outcomes = [each for _, each in arrivals]
    window = Window(started)
    admitted = [each for each in outcomes if each.status == 200]
    refusals = collections.Counter(each.refusal["reason"]
                                   for each in outcomes if each.refusal)
    failures = collections.Counter(str(each.failure)[:80] for each in outcomes if each.failure)
    firsts, intervals = latencies(window.sent(admitted))
    by_workspace = {workspace: [each for each in outcomes if each.workspace == workspace]
                    for workspace in rates}
    shares = {workspace: share_taken(mine, window, bound / len(WORKSPACES), rates[workspace])
              for workspace, mine in by_workspace.items()}
    modest = [each for workspace, mine in by_workspace.items()
              if workspace != WORKSPACES[0] for each in window.sent(mine)]
    modest_firsts, modest_intervals = latencies(modest)
    served = window.rate(window.tokens(outcomes))
    offered_rate = window.rate(sum(each.tokens for each in window.sent(outcomes)))
    print_line(bench="throughput", case=name, seed=SEED, bound_tokens_per_second=round(bound),
               offered_over_bound=round(offered_rate / bound, 3),
               served_tokens_per_second=round(served), served_over_bound=round(served / bound, 3),
               requests=len(outcomes), admitted=len(admitted),
               first_token_p95_ms=milliseconds(quantile(firsts, 0.95)),
               interval_p95_ms=milliseconds(quantile(intervals, 0.95)),
               others_first_token_p95_ms=milliseconds(quantile(modest_firsts, 0.95)),
               others_interval_p95_ms=milliseconds(quantile(modest_intervals, 0.95)),
               refusals=dict(refusals), failures=dict(failures),
               not_whole=sum(not is_whole(each, expected) for each in admitted),
               jain=round(jain(list(shares.values())), 4),
               share_taken={name: round(value, 2) for name, value in shares.items()},
               client_lag_ms=milliseconds(lag))
    return len(failures)


def main():
    expected = {(prompt, tokens): expected_answer(prompt, LAYERS, tokens)
                for prompt in PROMPTS for tokens in ANSWER_TOKENS}
    failures = 0
    with BenchCluster(OPTIONS) as system:
        bound = system.service_status()["bound_tokens_per_second"]
        share = bound / len(WORKSPACES)
        for load in LOADS:
            rates = {workspace: load * share for workspace in WORKSPACES}
            failures += run_case(system, f"even_{load}", rates, bound, expected)
        modest = {workspace: MODEST_LOAD * share for workspace in WORKSPACES[1:]}
        failures += run_case(system, "others_alone", modest, bound, expected)
        greedy = {WORKSPACES[0]: GREED * share, **modest}
        failures += run_case(system, "one_at_20_times", greedy, bound, expected)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
