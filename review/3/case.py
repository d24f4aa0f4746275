"""Two engines of a split model crash for good. After reuse-after-s an engine of
another model, with a smaller card, starts at the address of the first one."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))

from deployment import Caller, configuration, is_troubled, model, route, run_case  # noqa: E402
from users_platform import Writer  # noqa: E402

BIG_MB, SMALL_MB = 72000.0, 21600.0
LAYERS, LAYER_MB = 80, 1750.0
NOTE_LAYERS, NOTE_LAYER_MB = 20, 1000.0
# The a100 engines of each zone; one l4 engine stands beside them.
ZONES = {"ahmedabad": 3, "surat": 4, "rajkot": 4}
REUSE_AFTER_S, BEAT_S = 2.0, 1.2
# From the last beat of the engines to their crash.
SINCE_BEAT_S = 0.3
TOKENS = [("Auburnlb-Model", "m0"), ("Auburnlb-Token-Counts", "200,120")]


async def play(deployment):
    store = deployment.store
    cards = [("a100", BIG_MB, 2.4), ("l4", SMALL_MB, 16.0)]
    store.put("config", "main", configuration(
        1, [route("cards", "streaming", "writer", **{"max-attempts": 2, "resumable": True,
                                                     "gap-aim-ms": 200}),
            route("notes", "streaming", "notes", **{"max-attempts": 2, "resumable": True,
                                                    "gap-aim-ms": 200})],
        [{"name": "writer", "max-connections": 1128, "engine": model(LAYERS, LAYER_MB, cards)},
         {"name": "notes", "max-connections": 1128,
          "engine": model(NOTE_LAYERS, NOTE_LAYER_MB, cards)}]))
    too_large = []

    def add(name, service, zone, card, card_mb, layer_mb):
        engine = Writer(store, name, service, zone, card, card_mb, layer_mb)

        def note(order, status):
            needed = (order["to"] - order["from"]) * layer_mb
            deployment.record(f"order to {name} ({card}, {card_mb:.0f} MB): layers "
                              f"{order['from']}-{order['to']}, {needed:.0f} MB: {status}")
            if status == 202 and needed > card_mb:
                too_large.append(name)
        engine.note_order = note
        return engine

    for zone, count in ZONES.items():
        for index in range(count):
            await deployment.add(add(f"w-{zone}-{index}", "writer", zone, "a100", BIG_MB,
                                     LAYER_MB))
        await deployment.add(add(f"w-{zone}-l4", "writer", zone, "l4", SMALL_MB, LAYER_MB))
        for index in range(2):
            await deployment.add(add(f"n-{zone}-{index}", "notes", zone, "l4", SMALL_MB,
                                     NOTE_LAYER_MB))
    deployment.add_routers(list(ZONES))
    await deployment.wait_served("POST", "/cards/x", TOKENS)
    await deployment.wait_served("POST", "/notes/x", TOKENS)

    counts = {}
    is_over = asyncio.Event()

    async def call(router, path, name):
        number = 0
        while not is_over.is_set():
            number += 1
            caller = Caller(router)
            try:
                status, whole, _ = await caller.ask("POST", path, f"{name}-{number}",
                                                    fields=TOKENS)
            except OSError:
                status, whole = 0, False
            caller.close()
            key = (path, status if whole else "broken off")
            counts[key] = counts.get(key, 0) + 1
            await asyncio.sleep(0.05)

    callers = [asyncio.create_task(call(router, path, f"{router.name}{path}{index}"))
               for router in deployment.routers for path in ("/cards/x", "/notes/x")
               for index in range(4)]
    await asyncio.sleep(2)
    held = sorted((each for each in deployment.engines
                   if each.service == "writer" and each.zone == "ahmedabad"),
                  key=lambda each: each.layers[0])
    lost, port = held[-2:], held[-2].server.port
    for each in lost:
        deployment.record(f"{each.name} at {each.server.address} holds {each.layers}")
    late = add("n-late", "notes", "ahmedabad", "l4", SMALL_MB, NOTE_LAYER_MB)
    if is_troubled():
        for each in lost:
            each.crash()
            deployment.record(f"{each.name} crashes for good")
        crashed = time.monotonic()
        await asyncio.sleep(REUSE_AFTER_S + 0.05)
        await deployment.add(late, port)
        deployment.record(f"n-late starts at {late.server.address}, an address used again")
        await asyncio.sleep(3 * BEAT_S - SINCE_BEAT_S - (time.monotonic() - crashed))
        for each in lost:
            store.delete("servers", each.name)
            deployment.record(f"the entry of {each.name} is removed after three beats")
    else:
        await asyncio.sleep(REUSE_AFTER_S + 0.05)
        await deployment.add(late)
        deployment.record(f"n-late starts at {late.server.address}, an address of its own")
    await asyncio.sleep(6)
    is_over.set()
    await asyncio.gather(*callers)
    for (path, outcome), count in sorted(counts.items(), key=str):
        deployment.record(f"{path}: {outcome}: {count}")
    for name in too_large:
        deployment.record(f"LIMIT: {name} was ordered to hold more than its card holds")
    return not too_large


run_case(FOLDER, play)
