"""A job that is handed in at a machine that stands still, and cancelled at another one."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import HOST, System, Worker, main, now  # noqa: E402

FREEZE_S = 4.0
LEAVES_AFTER_S = 0.4
CANCEL_S = 3.0
WATCH_S = 8.0
JOB = "f" * 15 + "1"


class WatchingWorker(Worker):
    started = []

    def record_start(self, task, attempt):
        super().record_start(task, attempt)
        WatchingWorker.started.append((task, now()))


async def hand_in(system, daemon):
    """Sends the job, waits for an answer for a moment and leaves."""
    body = json.dumps({"spec": "1 notice", "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 1000}]}).encode()
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports["frontend"])
    writer.write(b"POST /urgent/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                 b"X-Wigeonkeel-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % (JOB.encode(), HOST.encode(), len(body))
                 + body)
    system.record.note(f"POST {JOB} to {daemon.name}")
    try:
        line = await asyncio.wait_for(reader.readline(), LEAVES_AFTER_S)
        system.record.note(f"answer {line.decode('latin-1').strip()}")
    except asyncio.TimeoutError:
        system.record.note("no answer; the consumer leaves")
    writer.close()


async def case(trouble):
    system = System(pathlib.Path(__file__).resolve().parent, workers=4, worker=WatchingWorker)
    record = system.record
    try:
        await system.start()
        await asyncio.sleep(5)
        entry = next(daemon for daemon in system.daemons if daemon is not system.leader())
        other = next(daemon for daemon in system.daemons if daemon is not entry)
        frozen_at = now()
        if trouble:
            record.note(f"SIGSTOP {entry.name}")
            entry.process.send_signal(signal.SIGSTOP)
        await hand_in(system, entry)
        status, _ = await system.call(other, "DELETE", f"/urgent/{JOB}")
        acknowledged_at = now()
        record.note(f"DELETE {JOB} at {other.name}: {status}")
        if status not in (200, 410):
            raise RuntimeError("the cancelling was not acknowledged")
        if trouble:
            await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - now()))
            record.note(f"SIGCONT {entry.name}")
            entry.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(WATCH_S)
        late = [(task, at - acknowledged_at) for task, at in WatchingWorker.started if at > acknowledged_at + CANCEL_S]
        for task, after in late:
            record.note(f"{task} was started {after:.1f} s after the cancelling was acknowledged")
        print("broken" if late else "held", f"{len(late)} starts later than {CANCEL_S:.0f} s after the acknowledged cancel")
        return 1 if late else 0
    finally:
        await system.stop()


main(case)
