"""A loopback proxy whose connections can be delayed, held back, refused, reset, cut in one direction or silenced."""

import asyncio
import socket


def reserve(address, port=0):
    """A socket that keeps a port from all but servers that share it. Nothing listens on it, so that connections are
    refused while no server does."""
    reserved = socket.socket()
    reserved.bind((address, port))
    # Set after the bind: two reservations of one port must not both succeed.
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved


class Proxy:
    """Passes connections to a target. `delay` is in seconds; `lost` and `held` name the directions ("out" is towards the
    target) whose bytes are dropped or wait until heal(), on present and new connections."""

    def __init__(self, address, target_port):
        self.address = address
        self.target_port = target_port
        self.delay = 0.0
        self.lost = set()
        self.held = set()
        self.resumed = asyncio.Event()
        # Set with each answer that passes.
        self.answered = asyncio.Event()
        self.open_pairs = {}
        self.refused = False
        self.server = None

    async def start(self, reserved=None):
        """Listens on the port of a reservation, by default on one of its own."""
        self.reserved = reserved or reserve(self.address)
        self.port = self.reserved.getsockname()[1]
        await self._listen()
        return self.port

    async def _listen(self):
        try:
            server = await asyncio.start_server(self._accept, self.address, self.port)
        except OSError:
            # Refused and healed twice in one turn of the loop; the other call listens.
            return
        self.server = server
        if self.refused:
            server.close()

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
                while direction in self.held:
                    await self.resumed.wait()
                if pair["silent"] or direction in self.lost:
                    # Lost bytes of a stream are never made up for.
                    pair["silent"] = True
                    continue
                writer.write(data)
                await writer.drain()
                if direction == "back":
                    self.answered.set()
                    self.answered = asyncio.Event()
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

    def drop_held(self):
        """What is held back now doesn't arrive any more."""
        if self.held:
            self.silence()

    def refuse(self):
        """Present connections are reset, new ones refused at once."""
        self.refused = True
        self.server.close()
        self.reset()

    def close(self):
        """Refuses for good and gives the port back."""
        self.refuse()
        self.reserved.close()

    def disturb(self, how):
        """`how` is "refused", "dropped" (in both directions), "deaf" (requests arrive, answers are lost) or "held"."""
        if how == "refused":
            self.refuse()
        elif how == "held":
            self.held = {"out", "back"}
        else:
            self.lost = {"back"} if how == "deaf" else {"out", "back"}

    def heal(self):
        if self.refused:
            self.refused = False
            self.listening = asyncio.get_running_loop().create_task(self._listen())
        self.held = set()
        self.resumed.set()
        self.resumed = asyncio.Event()
        self.delay = 0.0
        self.lost = set()
        for pair in list(self.open_pairs.values()):
            if pair["silent"]:
                for writer in pair["writers"]:
                    writer.transport.abort()
