"""The cluster that the benches measure, and what their figures are made of."""

import json
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "process"))

import cluster  # noqa: E402

SERVICE = "kalai-writer"
LAYERS = 12
RANGES = [(0, 4), (4, 8), (8, 12)]
SEED = 20261204
#: No prompt of the benches is longer than this.
PROMPT_TOKENS = 4000


def print_line(**fields):
    """One JSON line, at once."""
    print(json.dumps(fields), flush=True)


def quantile(values, part):
    """Nearest rank; None for no values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def milliseconds(seconds):
    return None if seconds is None else round(seconds * 1000, 1)


class BenchCluster(cluster.Cluster):
    """One model service and one entry; engines differ by their options."""

    def __init__(self, options_by_copy):
        super().__init__()
        try:
            self.ranges = {}
            for index, layers in enumerate(RANGES):
                for copy, options in enumerate(options_by_copy):
                    self.add_stage(f"stage{index}-copy{copy}", layers, options)
            self.entry = self.add_entry("entry0")
            self._apply()
            self.wait_for_service(self.entry, SERVICE, len(self.ranges))
        except BaseException:
            self.__exit__(None)
            raise

    def print_logs(self, lines=15):
        """Standard output is for the figures alone."""
        for process in self.processes:
            for line in process.log().splitlines()[-lines:]:
                print(process.name, line, file=sys.stderr)

    def add_stage(self, name, layers, options):
        self.ranges[name] = layers
        self.add_engine(name, SERVICE, layers,
                        options=["--model-layers", str(LAYERS)] + options)

    def replace_stage(self, name, new_name, options):
        """A fresh engine and companion take the place of one that failed."""
        layers = self.ranges.pop(name)
        self.withdraw(name)
        for process in (self.companions.pop(name), self.engines.pop(name)):
            process.kill()
        self.add_stage(new_name, layers, options)
        self.wait_for_service(self.entry, SERVICE, len(self.ranges))

    def service_status(self):
        return next(each for each in self.status(self.entry)["services"]
                    if each["name"] == SERVICE)

    def _apply(self):
        path = os.path.join(ROOT, "examples", "kalaiwala", f"{SERVICE}.json")
        with open(path, encoding="utf-8") as file:
            answers = json.load(file)
        answers["model"]["layers"] = LAYERS
        answers["requests"]["prompt_tokens"] = PROMPT_TOKENS
        status, text = self.admin(self.entry, "PUT", f"/services/{SERVICE}",
                                  {"questionnaire": answers, "change_id": "bench",
                                   "comment": "bench", "expected_version": 0})
        if status != 200:
            raise RuntimeError(f"configuration refused: {status} {text}")
