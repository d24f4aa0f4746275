"""A proxy between a process and the store that can fall silent, as behind a
partition: nothing passes any more, in either direction, and nothing is closed."""

import asyncio

from messages import Server


class Relay:
    def __init__(self, target):
        self.target = target
        self.server = Server(self.serve)
        self.passes = asyncio.Event()
        self.passes.set()

    def cut(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    async def serve(self, reader, writer):
        await self.passes.wait()
        host, _, port = self.target.server.address.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))

    async def copy(self, source, sink):
        try:
            while data := await source.read(65536):
                await self.passes.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
