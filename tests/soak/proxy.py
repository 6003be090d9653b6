"""A loopback proxy whose connections can be delayed, reset, cut in one direction or silenced."""

import asyncio


class Proxy:
    """Passes connections to a target. `delay` is in seconds; `lost` names the directions ("out" is towards the target)
    whose bytes are dropped, on present and new connections."""

    def __init__(self, address, target_port):
        self.address = address
        self.target_port = target_port
        self.delay = 0.0
        self.lost = set()
        self.open_pairs = {}
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, self.address, port)
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(self.address, self.target_port)
        except OSError:
            # Nobody listens there; the caller sees a reset.
            writer.transport.abort()
            return
        pair = {"writers": (writer, far_writer), "silent": False}
        self.open_pairs[id(pair)] = pair
        try:
            await asyncio.gather(
                self._copy(pair, reader, far_writer, "out"), self._copy(pair, far_reader, writer, "back"))
        except asyncio.CancelledError:
            # The soak ends.
            pass
        finally:
            # Silenced connections are open until both sides have gone; none is left to the collector.
            self.open_pairs.pop(id(pair), None)
            for each in pair["writers"]:
                each.transport.abort()

    async def _copy(self, pair, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if pair["silent"] or direction in self.lost:
                    # Lost bytes of a stream are never made up for.
                    pair["silent"] = True
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # One side has gone, or the soak ends: the other is closed too.
            pass
        if not pair["silent"]:
            for each in pair["writers"]:
                each.close()

    def reset(self):
        for pair in list(self.open_pairs.values()):
            for writer in pair["writers"]:
                writer.transport.abort()

    def silence(self):
        """Present connections deliver nothing any more; new ones work."""
        for pair in self.open_pairs.values():
            pair["silent"] = True

    def heal(self):
        self.delay = 0.0
        self.lost = set()
        for pair in list(self.open_pairs.values()):
            if pair["silent"]:
                for writer in pair["writers"]:
                    writer.transport.abort()
