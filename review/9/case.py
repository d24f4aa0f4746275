"""Engines crash, all routers are killed and start again, engines crash again: the retries of both."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins-2"))

from stand_ins import (BOUNDS, TROUBLE, CannotRun, ModelEngine, Store, configuration,
                       model_service, run_case, send_once, stream_headers, stream_route)

ZONES = ("ahmedabad", "surat", "rajkot")
MODEL = "huvo11a"
WINDOW_S = BOUNDS["budget-window-s"]
STREAMS_PER_S = 24
EVENTS = 32
GAP_S = 0.5
TOKENS = "60,60"


class Engine(ModelEngine):
    events = EVENTS
    gap_s = GAP_S
    # (time, request id) of each arrival that the engine was the first one of.
    arrivals = None

    async def serve(self, message, reader, writer):
        request_id = message.get("Auburnlb-Request-Id")
        if request_id is not None:
            self.arrivals.append((time.monotonic(), request_id))
        return await super().serve(message, reader, writer)


async def client(router, record, name, sent):
    """A stream, and one more attempt with an id of its own if it breaks."""
    for attempt in (1, 2):
        request_id = f"{name}-{attempt}"
        sent.append((time.monotonic(), request_id))
        answer = await send_once(router, record, "POST", "/lohu930/2f", request_id,
                                 stream_headers(TOKENS, "5c1e07a2:40", "e4402b7d:20"), b"{}")
        if answer.is_whole and answer.status == 200:
            return True
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))
    return False


def broken_windows(sent, arrivals):
    """Each span of the window's length in which the arrivals exceed the budget."""
    seen = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    starts = [at for at, _ in sent]

    def requests(begin):
        return sum(begin <= at < begin + WINDOW_S for at in starts)
    worst = (-1e9, 0, 0, 0)
    for begin in repeats:
        count = sum(begin <= at < begin + WINDOW_S for at in repeats)
        most = max(requests(begin), requests(begin - WINDOW_S), requests(begin - WINDOW_S / 2))
        allowed = BOUNDS["retry-budget-ratio"] * most + BOUNDS["retry-slack"]
        worst = max(worst, (count - allowed, count, allowed, begin))
    return worst


async def crash(engines, record):
    """A share of 0.17 of the engines crashes: two of twelve."""
    begins = [each for each in engines if each.layers is not None and each.layers[0] == 0]
    chosen = sorted(begins, key=lambda each: -each.running)[:2]
    for engine in chosen:
        record.write(f"crash {engine.id} with {engine.running} requests")
        await engine.crash()
    await asyncio.sleep(1.5)
    for engine in chosen:
        await engine.start(engine.port)
        record.write(f"back {engine.id}")


async def case(record, add_router):
    store = Store(record)
    fleet = {}
    engines = []
    for index in range(12):
        engine = Engine(store, record, f"i-{index:08x}", MODEL, ZONES[index % 3], "a100", fleet)
        engine.arrivals = []
        await engine.start()
        engines.append(engine)
    await store.put("config", "main", configuration(1, [stream_route("r", "/lohu930/", MODEL)],
                                                    [model_service(MODEL)]))
    routers = [add_router(f"front-{zone}-1", zone, (await store.add_door()).address)
               for zone in ZONES]
    seeds = [f"127.0.0.1:{each.control}" for each in routers]
    for router in routers:
        router.start(seeds)
    for router in routers:
        await router.wait_ready()
    until = time.monotonic() + 15
    while not (await send_once(routers[0], record, "POST", "/lohu930/2f", "probe",
                               stream_headers(), b"{}")).is_whole:
        if time.monotonic() > until:
            raise CannotRun("no stream is served")
    began = time.monotonic()
    sent = []
    tasks = []
    stage = asyncio.create_task(stages(engines, routers, seeds, record))
    count = 0
    while time.monotonic() < began + 40:
        router = routers[count % 3]
        tasks.append(asyncio.create_task(client(router, record, f"s{count}", sent)))
        count += 1
        await asyncio.sleep(max(0, began + count / STREAMS_PER_S - time.monotonic()))
    served = await asyncio.gather(*tasks)
    await stage
    arrivals = [each for engine in engines for each in engine.arrivals]
    excess, repeats, allowed, begin = broken_windows(sent, arrivals)
    print(f"{len(sent)} requests, {sum(served)} clients served; at most {repeats} repeats within "
          f"{WINDOW_S} s from {begin - began:.1f} s on, {allowed:.0f} are allowed")
    return excess <= 0


async def stages(engines, routers, seeds, record):
    await asyncio.sleep(16)
    first = asyncio.create_task(crash(engines, record))
    await asyncio.sleep(0.8)
    if TROUBLE:
        for router in routers:
            router.kill()
        await asyncio.sleep(0.3)
        for router in routers:
            router.start(seeds)
    await asyncio.sleep(8.2 if not TROUBLE else 7.9)
    await crash(engines, record)
    await first


if __name__ == "__main__":
    run_case(case, FOLDER)
