"""Three routers of one zone, of which two watch the store for the third. These
two are cut off from the store, and then a key is taken away."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))

from deployment import (  # noqa: E402
    KEY, Caller, NotRun, configuration, is_troubled, route, run_case)
from relay import Relay  # noqa: E402
from users_platform import Desk  # noqa: E402

ZONE = "tannery-hall"
DROPPED = "key-that-is-taken-away"
CONFIG_APPLY_S = 2.0
# From the last change before the cut to the cut, and from the cut to the change.
CUT_AFTER_S, CHANGE_AFTER_S = 0.15, 0.1
# How long the partition lasts.
CUT_S = 4.0


async def play(deployment):
    store = deployment.store
    book = route("book", "unsafe", "desk", **{"timeout-ms": 1000, "latency-target-ms": 100})
    services = [{"name": "desk", "max-connections": 49}]
    store.put("config", "main", configuration(1, [book], services, (KEY, DROPPED)))
    for index in range(2):
        await deployment.add(Desk(store, f"d-{index}", "desk", ZONE))
    relays = [Relay(store) for _ in range(3)]
    for each in relays:
        await each.server.open()
    deployment.add_routers([ZONE] * 3, [each.server.address for each in relays])
    await deployment.wait_served("POST", "/book/x")
    calm = None
    end = time.monotonic() + 15
    while calm is None and time.monotonic() < end:
        await asyncio.sleep(0.5)
        watches = [await each.metric("auburnlb_router_watches_store")
                   for each in deployment.routers]
        if watches.count(0.0) == 1:
            calm = watches.index(0.0)
    if calm is None:
        raise NotRun("no router leaves the watching to the others")
    router = deployment.routers[calm]
    deployment.record(f"{router.name} does not watch the store, the other two do")
    await asyncio.sleep(4)

    store.put("config", "main", configuration(2, [book], services, (KEY, DROPPED)))
    await deployment.add(Desk(store, "d-2", "desk", ZONE))
    deployment.record("version 2 of the configuration is acknowledged, and an engine joins")
    await asyncio.sleep(CUT_AFTER_S)
    if is_troubled():
        for index, each in enumerate(relays):
            if index != calm:
                each.cut()
                deployment.record(f"{deployment.routers[index].name} is partitioned from the "
                                  "store")
    await asyncio.sleep(CHANGE_AFTER_S)
    store.put("config", "main", configuration(3, [book], services))
    acknowledged = time.monotonic()
    deployment.record("version 3, without the key, is acknowledged by the store")

    asyncio.get_running_loop().call_later(CUT_S, lambda: [each.heal() for each in relays])
    sent = {}
    refused_at = None
    caller, number = Caller(router), 0
    while time.monotonic() < acknowledged + 5:
        number += 1
        request_id = f"book-{number}"
        at = time.monotonic() - acknowledged
        if caller.writer is None:
            await caller.connect()
        caller.send("POST", "/book/x", request_id, key=DROPPED, deadline_ms=600)
        status, whole, message = await caller.answer()
        sent[request_id] = at, status
        if status == 401 and refused_at is None:
            refused_at = at
        if not whole or message.field("connection") == "close":
            caller.close()
        await asyncio.sleep(0.05)
    caller.close()
    ran = {each for engine in deployment.engines for each in engine.runs()}
    late = [(at, each) for each, (at, _) in sent.items() if each in ran and at > CONFIG_APPLY_S]
    if refused_at is not None:
        deployment.record(f"the key is first refused {refused_at:.2f} s after the acknowledgement")
    for at, request_id in late:
        deployment.record(f"CONFIG: {request_id}, sent {at * 1000:.0f} ms after the "
                          "acknowledgement, ran with the key that is gone")
    for each in relays:
        each.server.close()
    return not late


run_case(FOLDER, play)
