"""The main job of both deployments, scaled down, with what goes wrong on the way.

Answers the questionnaires, has the configurations accepted, streams a job card
and a care note through chains of unlike stages, books a van and reserves a hide,
kills a stage in the middle of an answer, amends a configuration while traffic
runs, drains an endpoint, and stops everything in the planned way.
"""

import json
import os
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "process"))

import platform_cluster  # noqa: E402
from cluster import (BUILD, TOKEN, Cluster, expected_answer, key_of,  # noqa: E402
                     request, stream_chat, wait_until)

LAYERS = 12
#: Layer ranges and engine options of three stages of unlike speed.
STAGES = [((0, 3), ["--step-us", "500", "--accelerator", "small"]),
          ((3, 8), ["--step-us", "1500", "--accelerator", "medium"]),
          ((8, 12), ["--step-us", "3000", "--accelerator", "large"])]

DEPLOYMENTS = {
    "kalaiwala": {"model": "kalai-writer", "plain": "counter-app",
                  "places": ["Ahmedabad", "Surat", "Rajkot"],
                  "workspace": "ahmedabad-kalupur",
                  "prompt": "job card for retinning two copper pans",
                  "call": ("/pickups", {"van": 2, "pans": 11})},
    "hrabovsky": {"model": "advice-llm", "plain": "order-desk",
                  "places": ["tannery", "hide store", "front office"],
                  "prompt": "care note for a parchment binding",
                  "call": ("/reservations", {"hide": "goat 14", "skins": 6})},
}

RESULTS = []


def note(what, is_kept, detail=""):
    RESULTS.append((what, is_kept, detail))
    print(f"{'ok  ' if is_kept else 'FAIL'}  {what}  {detail}", flush=True)


def command_line(entry, *arguments):
    """Runs the operators' program against an entry."""
    environment = dict(os.environ, AUBURNLB_TOKEN=TOKEN, AUBURNLB_AUTHOR="demo",
                       AUBURNLB_ADMIN=f"http://127.0.0.1:{entry.admin}")
    return subprocess.run([os.path.join(BUILD, "auburnlb"), *arguments], env=environment,
                          capture_output=True, text=True, timeout=60, check=False)


def questionnaire(deployment, service):
    return os.path.join(ROOT, "examples", deployment, service + ".json")


class Demo:
    """One deployment on its own cluster."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.plan = DEPLOYMENTS[name]
        with open(questionnaire(name, self.plan["model"]), encoding="utf-8") as file:
            self.workspace = json.load(file)["callers"][0]["workspace"]
        self.services = []

    def start(self):
        for index, (layers, options) in enumerate(STAGES):
            for copy in range(2):
                self.cluster.add_engine(f"{self.name}-stage{index}{'ab'[copy]}",
                                        self.plan["model"], layers,
                                        self.plan["places"][index], options)
        for index in range(3):
            process = self.cluster.start_fake("plain_service", [])
            self.services.append(process)
            self.cluster.add_companion(f"{self.name}-desk{index}", self.plan["plain"], "plain",
                                       process.port, self.plan["places"][index])
        self.entries = [self.cluster.add_entry(f"{self.name}-entry{index}",
                                               self.plan["places"][index]) for index in range(2)]

    def configure(self):
        for service in (self.plan["model"], self.plan["plain"]):
            file = questionnaire(self.name, service)
            checked = command_line(self.entries[0], "check", file)
            generated = command_line(self.entries[0], "generate", file)
            applied = command_line(self.entries[0], "apply", file, "--yes", "--comment", "demo")
            note(f"{service}: questionnaire checked, generated and applied",
                 checked.returncode == generated.returncode == applied.returncode == 0,
                 applied.stderr.strip()[:200])
        started = time.monotonic()
        for entry in self.entries:
            self.cluster.wait_for_service(entry, self.plan["model"], 6)
            self.cluster.wait_for_service(entry, self.plan["plain"], 3)
        note(f"{self.name}: in force at both entries", True,
             f"{(time.monotonic() - started) * 1000:.0f} ms")

    def stream(self):
        started = time.monotonic()
        prompt = self.plan["prompt"]
        answer = stream_chat(self.entries[1].callers, self.plan["model"], self.workspace, prompt,
                             60)
        is_whole = answer.text.strip() == expected_answer(prompt, LAYERS, 60).strip()
        note(f"{self.plan['model']}: answer through three stages is whole", is_whole,
             f"60 tokens, first after {(answer.times[0] - started) * 1000:.0f} ms"
             if answer.times else str(answer.error))

    def survive_a_kill(self):
        victim = []

        def kill(count):
            if count != 20 or victim:
                return
            for copy in "ab":
                name = f"{self.name}-stage1{copy}"
                if self.cluster.engine_status(name)["streams"] > 0:
                    victim.append(name)
                    self.cluster.companions[name].kill()
                    self.cluster.engines[name].kill()
                    return
        prompt = self.plan["prompt"] + ", second copy"
        answer = stream_chat(self.entries[0].callers, self.plan["model"], self.workspace, prompt,
                             80, kill)
        gaps = [after - before for before, after in zip(answer.times, answer.times[1:])]
        is_whole = answer.text.strip() == expected_answer(prompt, LAYERS, 80).strip()
        note(f"{self.plan['model']}: stage killed at token 20, answer still whole",
             bool(victim) and is_whole,
             f"longest gap {max(gaps, default=0) * 1000:.0f} ms, {victim}")

    def act_once(self):
        path, body = self.plan["call"]
        key = f"demo-{self.name}"
        headers = {"Authorization": f"Bearer {key_of(self.workspace)}", "Idempotency-Key": key}
        statuses = [request(entry.callers, "POST", f"/services/{self.plan['plain']}{path}", body,
                            headers)[0] for entry in self.entries * 2]
        runs = sum(json.loads(request(each.port, "GET", "/fake/executions")[2])["by_key"]
                   .get(key, 0) for each in self.services)
        note(f"{self.plan['plain']}: sent four times through two entries, ran once",
             runs == 1 and statuses == [200] * 4, f"{runs} run, statuses {statuses}")
        status, _, text = request(self.entries[1].callers, "GET",
                                  f"/v1/outcomes/{self.plan['plain']}", None, headers)
        note(f"{self.plan['plain']}: outcome found by its key", status == 200, text[:80])

    def amend_under_traffic(self):
        answers = []
        prompts = [f"{self.plan['prompt']} {number}" for number in range(12)]

        def run(number):
            answers.append((number, stream_chat(self.entries[number % 2].callers,
                                                self.plan["model"], self.workspace,
                                                prompts[number], 60)))
        threads = [threading.Thread(target=run, args=(number,)) for number in range(len(prompts))]
        for thread in threads:
            thread.start()
        amended = command_line(self.entries[0], "amend", self.plan["model"], "max_tokens=600",
                               "--yes", "--comment", "shorter answers")
        started = time.monotonic()

        def version(entry):
            return {each["name"]: each["version"]
                    for each in self.cluster.status(entry)["services"]}[self.plan["model"]]
        wait_until(lambda: version(self.entries[0]) == version(self.entries[1]) > 2,
                   "the amendment in force at both entries")
        in_force = time.monotonic() - started
        drained = command_line(self.entries[0], "drain", f"{self.name}-stage2a", "--yes")
        for thread in threads:
            thread.join()
        is_whole = all(answer.text.strip() == expected_answer(prompts[number], LAYERS, 60).strip()
                       for number, answer in answers)
        note(f"{self.plan['model']}: amended while 12 answers ran", amended.returncode == 0,
             f"in force at both after {in_force * 1000:.0f} ms {amended.stderr.strip()[:150]}")
        leaving = self.cluster.companions[f"{self.name}-stage2a"].child
        wait_until(lambda: leaving.poll() is not None, "the drained companion has stopped")
        note(f"{self.plan['model']}: endpoint drained, companion stopped by itself",
             drained.returncode == 0 and leaving.returncode == 0, drained.stderr.strip()[:150])
        note(f"{self.plan['model']}: all 12 answers whole through amendment and drain",
             len(answers) == 12 and is_whole)

    def stop(self):
        codes = [process.stop() for process in
                 list(self.cluster.entries.values()) + list(self.cluster.companions.values())
                 if process.child.poll() is None]
        note(f"{self.name}: everything stopped in the planned way",
             all(code == 0 for code in codes), f"{len(codes)} processes")


def calm_minute_on_the_users_platform():
    """Streams and bookings through two routers, and the loss of an engine."""
    with platform_cluster.calm(routers=2) as system:
        answers = [system.stream(system.routers[index % 2], f"stream-{index}")
                   for index in range(4)]
        note("router: four streams through split engines are whole",
             all(each.text == platform_cluster.expected_events() for each in answers))
        booked = [system.book(router, f"book-{index}")
                  for index, router in enumerate(system.routers)]
        runs = system.runs()["runs"]
        note("router: each booking ran once",
             all(each.status == 200 and runs[each.request_id] == 1 for each in booked))
        system.engines["engine-dc1-0"].kill()
        answer = system.stream(system.routers[0], "stream-after-loss")
        note("router: a stream after the loss of an engine is whole",
             answer.text == platform_cluster.expected_events())


def main():
    started = time.monotonic()
    calm_minute_on_the_users_platform()
    for name in DEPLOYMENTS:
        with Cluster() as cluster:
            demo = Demo(cluster, name)
            for step in (demo.start, demo.configure, demo.stream, demo.survive_a_kill,
                         demo.act_once, demo.amend_under_traffic, demo.stop):
                step()
            if not all(is_kept for _, is_kept, _ in RESULTS):
                cluster.print_logs()
                break
    kept = sum(1 for _, is_kept, _ in RESULTS if is_kept)
    print(f"{kept} of {len(RESULTS)} promises kept, {time.monotonic() - started:.1f} s")
    return 0 if kept == len(RESULTS) else 1


if __name__ == "__main__":
    sys.exit(main())
