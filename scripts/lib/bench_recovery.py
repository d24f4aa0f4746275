"""Time from a fault in a middle stage to the next token of the stream that it
interrupts, beside streams that pass through other endpoints."""

import signal
import sys
import threading
import time

from bench_cluster import (LAYERS, SERVICE, BenchCluster, milliseconds, print_line, quantile)
from cluster import expected_answer, stream_chat, wait_until

RUNS = 10
COPIES = 2
BACKGROUND_STREAMS = 8
TOKENS = 120
TOKENS_BEFORE_FAULT = 10
STEP_US, TOKEN_US, PREFILL_US = 3000, 50, 100
OPTIONS = ["--step-us", str(STEP_US), "--token-us", str(TOKEN_US),
           "--prefill-us", str(PREFILL_US)]
PROMPT_WORDS = {"short": 20, "long": 2000}
STAGES = 3
#: A token that had left the victim reaches its caller within this time.
IN_FLIGHT_S = 0.03
WORKSPACE = "head-office"

FAULTS = {
    "companion_killed": lambda system, name: system.companions[name].kill(),
    "engine_killed": lambda system, name: system.engines[name].kill(),
    "companion_paused": lambda system, name:
        system.companions[name].send(signal.SIGSTOP),
}


class Stream(threading.Thread):
    """One streamed answer and the middle endpoint that it passed at first."""

    def __init__(self, system, prompt):
        super().__init__(daemon=True)
        self.system = system
        self.prompt = prompt
        self.received = 0
        self.answer = None
        self.failure = None
        self.middle = None

    def run(self):
        try:
            self.answer = stream_chat(self.system.entry.callers, SERVICE, WORKSPACE,
                                      self.prompt, TOKENS, self._on_token)
        except Exception as failure:
            self.failure = failure

    def _on_token(self, received):
        self.received = received

    def has_tokens(self, count):
        return self.received >= count or not self.is_alive()

    def is_whole(self):
        return (self.failure is None and self.answer.is_done and not self.answer.error
                and self.answer.text == expected_answer(self.prompt, LAYERS, TOKENS))

    def intervals(self):
        """Pairs of (length, end) in seconds."""
        times = self.answer.times if self.answer else []
        return [(later - earlier, later) for earlier, later in zip(times, times[1:])]


def streams_by_endpoint(system):
    return {name: system.engine_status(name)["streams"]
            for name, layers in system.ranges.items() if layers == (4, 8)}


def start_stream(system, prompt):
    """Started alone, so that the endpoint whose count grows is its own."""
    before = streams_by_endpoint(system)
    stream = Stream(system, prompt)
    stream.start()
    wait_until(lambda: stream.has_tokens(1), "a first token")
    after = streams_by_endpoint(system)
    stream.middle = max(after, key=lambda name: after[name] - before[name])
    return stream


def interrupted_interval(stream, struck):
    """The longest of those that the fault can have lengthened: tokens that had
    left the victim still arrive, so the first one is not always it."""
    hit = [(length, end) for length, end in stream.intervals()
           if end > struck and end - length < struck + IN_FLIGHT_S]
    return max(hit, default=None)


def floor_seconds(tokens):
    """Prefill of prompt and tokens and one step, on each stage in turn."""
    prefill = PREFILL_US * tokens
    return (prefill + STAGES * (STEP_US + TOKEN_US)) / 1e6


class Case:
    """Runs of one fault at one prompt length on one cluster."""

    def __init__(self, fault, length):
        self.fault = fault
        self.length = length
        self.recoveries = []
        self.floors = []
        self.touched = []
        self.untouched = []
        self.quiet = []
        self.streams = 0
        self.not_whole = 0

    def run(self):
        with BenchCluster([OPTIONS] * COPIES) as system:
            for number in range(RUNS):
                victim = self.run_once(system, number)
                if number + 1 < RUNS:
                    system.replace_stage(victim, f"fresh{number}", OPTIONS)
        self.print()

    def run_once(self, system, number):
        words = PROMPT_WORDS[self.length]
        label = f"{self.fault} {number}"
        prompt = " ".join([label] + ["pan"] * (words - len(label.split())))
        background = [start_stream(system, f"{label} other {index}")
                      for index in range(BACKGROUND_STREAMS)]
        stream = start_stream(system, prompt)
        wait_until(lambda: stream.has_tokens(TOKENS_BEFORE_FAULT), "tokens before the fault")
        received, struck = stream.received, time.monotonic()
        FAULTS[self.fault](system, stream.middle)
        for each in background + [stream]:
            each.join()
        self.count(stream, background, struck, words + received)
        return stream.middle

    def count(self, stream, background, struck, tokens):
        everyone = background + [stream]
        self.streams += len(everyone)
        self.not_whole += sum(not each.is_whole() for each in everyone)
        gap = interrupted_interval(stream, struck)
        if gap:
            self.recoveries.append(gap[1] - struck)
            self.floors.append(floor_seconds(tokens))
        for each in background:
            lengths = [length for length, end in each.intervals() if end > struck]
            self.quiet += [length for length, end in each.intervals() if end <= struck]
            if each.middle == stream.middle:
                self.touched += [max(lengths)] if lengths else []
            else:
                self.untouched += lengths

    def print(self):
        floor = quantile(self.floors, 0.5)
        median = quantile(self.recoveries, 0.5)
        print_line(bench="recovery", fault=self.fault, prompt=self.length,
                   prompt_words=PROMPT_WORDS[self.length], runs=len(self.recoveries),
                   recoveries_ms=sorted(map(milliseconds, self.recoveries)),
                   recovery_median_ms=milliseconds(median),
                   recovery_worst_ms=milliseconds(max(self.recoveries, default=None)),
                   floor_ms=milliseconds(floor),
                   median_over_floor=round(median / floor, 2) if floor else None,
                   above_floor_worst_ms=milliseconds(max(
                       (each - least for each, least in zip(self.recoveries, self.floors)),
                       default=None)),
                   other_interrupted_worst_ms=milliseconds(max(self.touched, default=None)),
                   untouched_interval_p95_ms=milliseconds(quantile(self.untouched, 0.95)),
                   untouched_interval_worst_ms=milliseconds(max(self.untouched, default=None)),
                   interval_before_fault_p95_ms=milliseconds(quantile(self.quiet, 0.95)),
                   answers=self.streams, lost_or_wrong=self.not_whole)


def main():
    lost = 0
    for fault in FAULTS:
        for length in PROMPT_WORDS:
            case = Case(fault, length)
            case.run()
            lost += case.not_whole + (RUNS - len(case.recoveries))
    return 0 if lost == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
