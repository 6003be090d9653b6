"""Load of untrusted clients for the process tests: a small crowd of connections with small receive buffers. Nothing here
depends on how fast the machine is: a flood ends when it was taken whole or when nothing was taken for a while."""

import os
import resource
import selectors
import socket
import struct
import threading
import time

CROWD = 8
RECEIVE_BUFFER = 4096
# More than the memory bound of the tests in total, so that a process that takes everything exceeds it.
FLOOD_BYTES = 24 << 20
# A flood in which no connection makes progress for this long has been stopped by the process.
STALL_S = 0.5
# Ends a pattern on a machine where the process takes the flood slowly; bounds the duration of the test.
FLOOD_LIMIT_S = 4.0
ABANDONED = 500
# More than the places of any address of the tests.
STAYING = 160
ASKS_BESIDE = 3
# Largest frame between daemons, and so many of them that together they exceed the memory bound of the tests.
MAX_FRAME = 1 << 20
FRAME_CROWD = 160
SAMPLE_S = 0.02
# For builds with the sanitizers: what they keep of freed memory is not the process's.
SANITIZER_ENV = {"ASAN_OPTIONS": "quarantine_size_mb=1:malloc_context_size=4"}


def raise_descriptor_limit():
    """For the connections of a crowd."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2048)), hard))


def get(path, host="x"):
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


def post(path, body):
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Watch:
    """Peak memory of a process, with the bytes that the system keeps for its sockets, and its open descriptors. `from_now`:
    what it took before does not count."""

    def __init__(self, pid, ports, from_now=True):
        self.pid, self.ports = pid, {f"{port:04X}" for port in ports}
        self.unread = self.descriptors = 0
        self.next = 0.0
        if from_now:
            with open(f"/proc/{pid}/clear_refs", "w", encoding="ascii") as file:
                file.write("5")

    def sample(self):
        if time.monotonic() < self.next:
            return
        self.next = time.monotonic() + SAMPLE_S
        try:
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
        except OSError:
            return
        with open("/proc/net/tcp", encoding="ascii") as file:
            rows = [line.split() for line in file.readlines()[1:]]
        # Connected sockets only: the queue of a listening one counts connections.
        unread = sum(int(row[4].split(":")[1], 16) for row in rows
                     if row[1].split(":")[1] in self.ports and row[3] == "01")
        self.unread = max(self.unread, unread)

    def peak(self):
        """In bytes; none once the process has ended."""
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            rows = [line.split() for line in file]
        resident = [int(row[1]) << 10 for row in rows if row[0] == "VmHWM:"]
        return resident[0] + self.unread if resident else None


def connect(address, port, receive_buffer=RECEIVE_BUFFER):
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    client.settimeout(1.0)
    client.connect((address, port))
    client.setblocking(False)
    return client


def crowd(address, port, count=CROWD):
    clients = []
    for _ in range(count):
        try:
            clients.append(connect(address, port))
        except OSError:
            break
    return clients


def close(clients, reset=False):
    for client in clients:
        try:
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
        except OSError:
            pass


def flood(watch, clients, chunk, take=0, total=FLOOD_BYTES, first=b"", limit=FLOOD_LIMIT_S):
    """Sends `first` and then `chunk` repeatedly on each connection; takes `take` bytes of the answers at a time. `chunk`
    may be a function that returns the next bytes."""
    piece = b"" if callable(chunk) else chunk * max(1, (1 << 16) // len(chunk))
    following = chunk if callable(chunk) else lambda: piece
    left = {client: [memoryview(first + following()), 0] for client in clients}
    selector = selectors.DefaultSelector()
    for client in clients:
        selector.register(client, selectors.EVENT_WRITE | (selectors.EVENT_READ if take else 0))
    begun = progress = time.monotonic()
    while left and time.monotonic() - progress < STALL_S and time.monotonic() - begun < limit:
        for key, events in selector.select(SAMPLE_S):
            client = key.fileobj
            try:
                if events & selectors.EVENT_READ and not client.recv(take):
                    raise ConnectionResetError
                if events & selectors.EVENT_WRITE:
                    view, sent = left[client]
                    count = client.send(view)
                    progress = time.monotonic()
                    rest = view[count:]
                    left[client] = [rest if len(rest) else memoryview(following()), sent + count]
                    if sent + count >= total:
                        raise ConnectionResetError
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(client)
                del left[client]
        watch.sample()
    selector.close()


def stay(watch, address, port, first, stop):
    """Keeps STAYING connections that send `first` again and again and read all that comes, until the event is set. One that
    is closed is opened again."""
    selector = selectors.DefaultSelector()
    piece = first * max(1, 4096 // len(first))
    while not stop.is_set():
        while len(selector.get_map()) < STAYING:
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((address, port))
            selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE)
        for key, events in selector.select(SAMPLE_S):
            client = key.fileobj
            try:
                if events & selectors.EVENT_READ and not client.recv(65536):
                    raise ConnectionResetError
                if events & selectors.EVENT_WRITE:
                    client.send(piece)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(client)
                client.close()
        watch.sample()
    close([key.fileobj for key in selector.get_map().values()])
    selector.close()


def drip(watch, clients, data, rounds=100):
    """One byte at a time."""
    for index in range(rounds):
        for client in clients:
            try:
                client.send(data[index % len(data):][:1])
            except OSError:
                pass
        time.sleep(SAMPLE_S / 4)
        watch.sample()


def flooded(chunk, linger=0.0, **options):
    """A pattern: a crowd that sends `chunk` repeatedly, as `flood` does, and closes its connections `linger` seconds
    later."""
    def run(watch, address, port):
        clients = crowd(address, port)
        flood(watch, clients, chunk, **options)
        until = time.monotonic() + linger
        while time.monotonic() < until:
            time.sleep(SAMPLE_S)
            watch.sample()
        close(clients)
    return run


def http_patterns(paths, bodies):
    """Returns (name, function of a watch, an address and a port). Paths and bodies are those of the address."""
    def sent_once(data, reset=False):
        def run(watch, address, port):
            clients = crowd(address, port)
            flood(watch, clients, data, total=len(data))
            close(clients, reset)
        return run

    def dripped(watch, address, port):
        clients = crowd(address, port)
        drip(watch, clients, get(paths[0])[:-2] + b"X-Long: 1\r\n" * 100)
        close(clients)

    def staying(chunk):
        def run(watch, address, port):
            stop = threading.Event()
            thread = threading.Thread(target=stay, args=(watch, address, port, chunk, stop))
            thread.start()
            try:
                # Ends with the first call without an answer, which takes long to find out.
                asks = [watch.ask, watch.ask_address] * ASKS_BESIDE
                any(time.sleep(0.5) or not ask() for ask in asks)
            finally:
                stop.set()
                thread.join()
        return run

    def abandoned(watch, address, port):
        clients = crowd(address, port, ABANDONED)
        for _ in range(20):
            time.sleep(SAMPLE_S)
            watch.sample()
        # One that has been refused or cut off is as good as one that was never accepted.
        watch.ask()
        close(clients)

    big = b"x" * 262144
    chunked = b"POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" % paths[0].encode()
    patterns = [(f"GET {path}, unread", flooded(get(path))) for path in [*paths, "/no/such/path"]]
    patterns += [(f"POST {path}, {len(body)} bytes, unread", flooded(post(path, body))) for path, body in bodies]
    patterns += [
        ("error pages, unread", flooded(b"NONSENSE\r\n\r\n", first=get(paths[0]) * 20000)),
        ("read one byte at a time", flooded(get(paths[0]), take=1)),
        ("half a request", sent_once(post(paths[0], big)[:131072])),
        ("one byte at a time", dripped),
        ("largest header", sent_once(b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 16000 + b"\r\n\r\n")),
        ("too large a header", flooded(b"x" * 1024, first=b"GET / HTTP/1.1\r\nX-Long: ")),
        ("largest bodies", flooded(post(paths[0], big))),
        ("too large a body", flooded(b"x" * 1024, first=b"POST / HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n")),
        ("chunks without an end", flooded(b"1000\r\n" + b"x" * 4096 + b"\r\n", first=chunked)),
        ("one chunk without an end", flooded(b"x" * 1024, first=chunked + b"3ffff\r\n")),
        ("reset midway", sent_once(get(paths[0]) * 2000 + post(paths[0], big)[:100000], reset=True)),
        ("opened and abandoned", abandoned),
        ("requests that never end", staying(get(paths[0]))),
        ("requests without a route that never end", staying(get("/no/such/path"))),
        ("requests in pieces that never end", staying(get(paths[0])[:-2] + b"X-Long: 1\r\n")),
    ]
    return patterns


def frame_patterns():
    """Of the connections between daemons: a little-endian length of four bytes and the message."""
    def filled(size, count):
        def run(watch, address, port):
            clients = crowd(address, port, count)
            # Stops before the frame is whole.
            flood(watch, clients, b"x" * 65536, first=struct.pack("<I", size), total=size - (1 << 17))
            close(clients)
        return run

    def kept_alive(watch, address, port):
        clients = crowd(address, port)
        flood(watch, clients, bytes(4))
        close(clients)

    def abandoned(watch, address, port):
        clients = crowd(address, port, ABANDONED)
        for _ in range(20):
            time.sleep(SAMPLE_S)
            watch.sample()
        close(clients)

    return [("frames that never end", filled(MAX_FRAME, FRAME_CROWD)), ("too long a frame", filled(0xffffffff, CROWD)),
            ("keep-alive frames", kept_alive), ("opened and abandoned", abandoned)]


def answered(address, port, path, limit=30.0, host="x", begins=b"HTTP/1."):
    """Whether an ordinary client gets an answer that begins so; any by default. It asks again until the limit; the time itself is not judged."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            with socket.create_connection((address, port), timeout=5.0) as client:
                client.settimeout(5.0)
                client.sendall(get(path, host))
                if client.recv(64).startswith(begins):
                    return True
        except OSError:
            pass
        time.sleep(0.1)
    return False


def sanitizer_bytes(pid):
    """What a process at rest takes if it was built with the sanitizers, whose shadow memory is not its own; otherwise 0."""
    with open(f"/proc/{pid}/exe", "rb") as program:
        if b"__asan_init" not in program.read():
            return 0
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) << 10 for line in file if line.startswith("VmRSS:"))


def check_address(pid, address, port, patterns, ask_port, ask_path, limits):
    """Plays the patterns against one address of a process. Returns what did not hold."""
    max_bytes, max_descriptors = limits
    max_bytes += sanitizer_bytes(pid)
    problems = []
    for name, play in patterns:
        watch = Watch(pid, [port])

        def ask_at(to_port, path, name=name):
            is_answered = answered(address, to_port, path)
            if not is_answered:
                problems.append(f"{name}: no answer of {path} beside the crowd")
            return is_answered

        watch.ask = lambda: ask_at(ask_port, ask_path)
        watch.ask_address = lambda: ask_at(port, "/")
        play(watch, address, port)
        watch.sample()
        peak = watch.peak()
        if peak is None:
            return [*problems, f"{name}: the process has ended"]
        print(f"  {name}: {peak >> 20} MiB with {watch.unread >> 10} KiB unread, {watch.descriptors} descriptors",
              flush=True)
        if peak > max_bytes:
            problems.append(f"{name}: {peak >> 20} MiB, at most {max_bytes >> 20} are allowed")
        if watch.descriptors > max_descriptors:
            problems.append(f"{name}: {watch.descriptors} descriptors, at most {max_descriptors} are allowed")
        if not answered(address, ask_port, ask_path):
            problems.append(f"{name}: no answer afterwards")
    return problems
