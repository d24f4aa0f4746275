"""A waiting watch is cut off by the store. A second later a plain engine leaves
without reporting draining: its entry is removed, and it serves on for drain-ms
and a little longer."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))

from deployment import Caller, configuration, is_troubled, route, run_case  # noqa: E402
from users_platform import Desk  # noqa: E402

ZONES = ("ahmedabad", "surat", "rajkot")
DRAIN_S = 2.0
# How much longer than drain-ms the engine serves.
LONGER_S = 0.15
# From the cut of the watches to the removal.
PAUSE_S = 1.0


async def play(deployment):
    store = deployment.store
    store.put("config", "main", configuration(
        1, [route("book", "unsafe", "desk", **{"timeout-ms": 1000, "latency-target-ms": 100})],
        [{"name": "desk", "max-connections": 96}]))
    desks = [await deployment.add(Desk(store, f"d-{zone}", "desk", zone)) for zone in ZONES]
    for each in desks:
        each.work_s = 0.1
    deployment.add_routers(ZONES)
    await deployment.wait_served("POST", "/book/x")
    await asyncio.sleep(4)

    is_over = asyncio.Event()
    answers = []

    async def book(router, index):
        caller, number = Caller(router), 0
        while not is_over.is_set():
            number += 1
            request_id = f"book-{router.zone}-{index}-{number}"
            try:
                status, whole, _ = await caller.ask("POST", "/book/x", request_id,
                                                    deadline_ms=600)
            except OSError:
                status, whole = 0, False
                caller.close()
            answers.append((request_id, status if whole else 0))
            await asyncio.sleep(0.05)
        caller.close()

    callers = [asyncio.create_task(book(router, index))
               for router in deployment.routers for index in range(3)]
    await asyncio.sleep(1)
    if is_troubled():
        deployment.record(f"the store cuts off {store.cut_watches('servers')} waiting watches")
    await asyncio.sleep(PAUSE_S)
    leaving = desks[0]
    acknowledged = store.delete("servers", leaving.name)
    deployment.record(f"the store acknowledges that the entry of {leaving.name} is removed")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaving.crash()
    deployment.record(f"{leaving.name} exits")
    await asyncio.sleep(1.5)
    is_over.set()
    await asyncio.gather(*callers)
    late = [(at - acknowledged, request_id) for at, request_id in leaving.arrivals
            if at - acknowledged > DRAIN_S]
    outcome = dict(answers)
    counts = {}
    for _, status in answers:
        counts[status] = counts.get(status, 0) + 1
    deployment.record(f"bookings by status: {counts}")
    for after_s, request_id in late:
        deployment.record(f"DRAIN: {request_id} reached {leaving.name} {after_s * 1000:.0f} ms "
                          f"after the acknowledgement; its answer: {outcome.get(request_id)}")
    return not late


run_case(FOLDER, play)
