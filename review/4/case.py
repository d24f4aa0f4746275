"""A planned stop of the only router of a zone. A stream that is sent more than
3 s after the SIGTERM begins, and its sound engine falls silent for a second."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))

from deployment import Caller, configuration, is_troubled, model, route, run_case  # noqa: E402
from users_platform import Writer  # noqa: E402

ZONES = ("ahmedabad", "surat")
GRACE_S = 8.0
SILENCE_S = 1.0
EVENTS = 25
TOKENS = [("Auburnlb-Model", "m0"), ("Auburnlb-Token-Counts", f"200,{EVENTS * 3}")]
# Streams that are in progress when the SIGTERM comes; they end within grace-s.
LONG_EVENTS = 330
LONG_TOKENS = [("Auburnlb-Model", "m0"), ("Auburnlb-Token-Counts", f"200,{LONG_EVENTS * 3}")]
# When the streams are sent, after the SIGTERM.
SENT_S = (5.4, 5.6, 5.8, 6.0, 6.2)


class QuietWriter(Writer):
    """Falls silent once in the middle of a stream, and goes on."""

    is_quiet = False

    async def run(self, call, request_id, writer):
        writer.write(self.stream_head(request_id))
        events = int(call.field("auburnlb-token-counts").split(",")[1]) // 3
        for number in range(int(call.field("last-event-id", "0")) + 1, events + 1):
            await asyncio.sleep(self.gap_s)
            if self.is_quiet and number == EVENTS // 2:
                await asyncio.sleep(SILENCE_S)
            if writer.is_closing():
                return False
            self.write_chunk(writer, f"id: {number}\ndata: piece-{number}\n\n".encode())
        writer.write(b"0\r\n\r\n")
        return True


async def play(deployment):
    store = deployment.store
    store.put("config", "main", configuration(
        1, [route("cards", "streaming", "writer", **{"max-attempts": 2, "resumable": True,
                                                     "gap-aim-ms": 200})],
        [{"name": "writer", "max-connections": 1128,
          "engine": model(80, 1750.0, [("a100", 72000.0, 2.4)])}]))
    for zone in ZONES:
        for index in range(3):
            await deployment.add(QuietWriter(store, f"w-{zone}-{index}", "writer", zone, "a100",
                                             72000.0, 1750.0))
    deployment.add_routers(ZONES)
    router = deployment.routers[0]
    await deployment.wait_served("POST", "/cards/x", TOKENS)
    await asyncio.sleep(2)

    answers = {}
    began = time.monotonic()

    async def stream(at_s, tokens=TOKENS, events=EVENTS):
        """The platform sends it here: no other router of the zone is ready."""
        await asyncio.sleep(began + at_s - time.monotonic())
        caller = Caller(router)
        await caller.connect()
        request_id = f"card-{at_s}"
        caller.send("POST", "/cards/x", request_id, fields=tokens)
        status, whole, message = await caller.answer()
        ended_s = time.monotonic() - began
        answers[request_id] = status, whole, ended_s
        count = message.body.count(b"id: ") if message else 0
        deployment.record(f"{request_id}, sent {at_s} s after the SIGTERM, ended at {ended_s:.2f} "
                          f"s: status {status}, {count} of {events} events, "
                          f"{'whole' if whole else 'not whole'}")
        caller.close()

    long_streams = [asyncio.create_task(stream(-0.5 + 0.1 * index, LONG_TOKENS, LONG_EVENTS))
                    for index in range(3)]
    began = time.monotonic() + 0.5
    await asyncio.sleep(0.5)
    for each in deployment.engines:
        each.is_quiet = True
    if is_troubled():
        router.child.send_signal(signal.SIGTERM)
        deployment.record(f"{router.name} gets SIGTERM; SIGKILL would follow after {GRACE_S} s")
    await asyncio.gather(*long_streams, *(stream(at_s) for at_s in SENT_S))
    runs = {each for engine in deployment.engines for each in engine.runs()}
    # What was sent no later than 3 s after the SIGTERM may be cut at the end.
    lost = [name for name, (status, whole, ended_s) in answers.items()
            if name in runs and (status == 0 or not whole) and float(name[5:]) > 3
            and ended_s <= GRACE_S + 1]
    for name in lost:
        deployment.record(f"LOST: {name} was passed on to an engine, and its connection ended "
                          f"without a complete answer")
    return not lost


run_case(FOLDER, play)
