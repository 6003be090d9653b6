"""A small HTTP/1.1 server and client on asyncio, for stand-ins whose answers may be late, lost or cut."""

import asyncio
import json

NO_ANSWER = object()
RESET = object()


async def read_message(reader):
    """First line, headers in lower case, and body of the next message; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Calls handler(method, path, headers, body), which returns (status, object), NO_ANSWER or RESET."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, address, port=0):
        self.server = await asyncio.start_server(self._serve, address, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await self.handler(method, path, headers, body)
                if answer is NO_ANSWER:
                    # A connection on which an answer was lost delivers nothing any more.
                    await asyncio.sleep(60)
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            # The other side has gone, or the soak ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class HttpClient:
    """One connection that is used until the other side ends it."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.reader = None
        self.writer = None

    async def request(self, method, path, headers, content, timeout):
        """Status, headers and decoded body. Raises OSError, EOFError or TimeoutError; `sent` tells whether the request
        may have been read."""
        self.sent = False
        try:
            return await asyncio.wait_for(self._request(method, path, headers, content), timeout)
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, headers, content):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.address, self.port)
        body = b"" if content is None else json.dumps(content).encode()
        head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        self.writer.write(head.encode() + body)
        self.sent = True
        await self.writer.drain()
        line, answered, text = await read_message(self.reader)
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answered, json.loads(text) if text else {}

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None
