"""Faults of several parts, in the order that makes them dangerous. Each takes the soak and a generator of its own, so that
what it draws doesn't depend on the timing of the run."""

import asyncio
import signal

from platform_standin import RACK_SIZE, SILENCE_S

LINK_FAULTS = ("refused", "dropped", "deaf", "held")
CLAIM_TIMEOUT_S = 5.0
HEARD_TIMEOUT_S = 2.0
# Without this many daemons that are up, none is replaced.
LEAST_DAEMONS = 3


def busy_first(rng, workers):
    """The workers in random order, those that run something first."""
    shuffled = rng.sample(workers, len(workers))
    return sorted(shuffled, key=lambda worker: not worker.runs)


async def hold_links(soak, links, how, seconds):
    soak.note(f"links {how} for {seconds:.1f} s: {' '.join(name for name, _ in links)}")
    for _, link in links:
        link.disturb(how)
    await asyncio.sleep(seconds)
    for _, link in links:
        link.heal()


async def worker_links(soak, rng):
    """One daemon, or all, can't reach some workers, which run on."""
    daemons = list(soak.daemons) if rng.random() < 0.3 else [rng.choice(soak.daemons)]
    workers = busy_first(rng, soak.workers)[:rng.randint(1, 4)]
    links = [link for daemon in daemons for link in soak.links(daemon, workers)]
    await hold_links(soak, links, rng.choice(LINK_FAULTS), rng.uniform(0.5, 6.0))


async def depose(soak, rng):
    """Ends the leader's time by one of several ways and waits for the next claim. The key of the new leader, or None."""
    leader, how, seconds = soak.leader(), rng.choice(("killed", "paused", "no store")), rng.uniform(1.5, 5.0)
    claimed = soak.store.claimed
    if leader.stopping or not leader.is_up() or any(each.paused for each in soak.daemons):
        return None
    soak.note(f"leader {leader.key} {how}")
    if how == "killed":
        soak.follow_up(leader.restart(signal.SIGKILL, seconds / 2))
    elif how == "paused":
        leader.signal(signal.SIGSTOP)
        soak.later(seconds, lambda: leader.signal(signal.SIGCONT))
    else:
        soak.store.fault_of[leader.key] = "silent"
        soak.later(seconds, lambda: soak.store.fault_of.pop(leader.key, None))
    try:
        await asyncio.wait_for(claimed.wait(), CLAIM_TIMEOUT_S)
    except asyncio.TimeoutError:
        return None
    soak.note(f"claim {soak.store.claims} by {soak.store.leader}")
    return soak.store.leader


async def links_after_takeover(soak, rng):
    """A new leader hears a worker, and its link to it is refused or cut shortly after. The new leader doesn't know the
    lease that the former one gave, and may take runs for lost before it ends."""
    workers = busy_first(rng, soak.workers)[:rng.randint(1, len(soak.workers))]
    how, seconds = rng.choice(("refused", *LINK_FAULTS)), rng.uniform(1.0, 6.0)
    # A link that fails with the first answer leaves no time for a renewal.
    delay = rng.choice((0.0, rng.uniform(0.0, 0.4)))
    successor = await depose(soak, rng)

    async def disturb(name, link):
        try:
            await asyncio.wait_for(link.answered.wait(), HEARD_TIMEOUT_S)
        except asyncio.TimeoutError:
            # Not heard at all; a link that fails then is a fault as well.
            pass
        await asyncio.sleep(delay)
        await hold_links(soak, [(name, link)], how, seconds)

    for daemon in [each for each in soak.daemons if each.key == successor]:
        await asyncio.gather(*(disturb(name, link) for name, link in soak.links(daemon, workers)))


async def store_turns_on_new_leader(soak, rng):
    """The store doesn't serve the new leader from some time in the first second after its claim on."""
    delay, what, seconds = rng.uniform(0.0, 1.0), rng.choice(("silent", "busy", "reset")), rng.uniform(0.5, 4.0)
    successor = await depose(soak, rng)
    if successor is None:
        return
    await asyncio.sleep(delay)
    await soak.hold_fault(f"store {what} for {successor}, {delay:.2f} s after its claim",
                          lambda: soak.store.fault_of.update({successor: what}),
                          lambda: soak.store.fault_of.pop(successor, None), seconds)


async def paused_before_answer(soak, rng):
    """A daemon stands still between a write and its answer; half of the time the write is a claim."""
    for_claim, seconds = rng.random() < 0.5, rng.uniform(0.5, 4.0)
    paused = asyncio.get_running_loop().create_future()

    def on_commit(node, claim):
        daemon = next((each for each in soak.daemons if each.key == node), None)
        if daemon is None or (for_claim and not claim) or paused.done():
            return
        soak.store.on_commit = None
        daemon.signal(signal.SIGSTOP)
        paused.set_result(daemon)

    soak.store.on_commit = on_commit
    if for_claim:
        await depose(soak, rng)
    try:
        daemon = await asyncio.wait_for(paused, CLAIM_TIMEOUT_S)
    except asyncio.TimeoutError:
        return
    finally:
        if soak.store.on_commit is on_commit:
            soak.store.on_commit = None
    await soak.hold_fault(f"SIGSTOP {daemon.key} between {'a claim' if for_claim else 'a write'} and its answer",
                          lambda: None, lambda: daemon.signal(signal.SIGCONT), seconds)


async def store_answers_held(soak, rng):
    """What the store says to one daemon, often the leader, arrives seconds later."""
    daemon = soak.leader() if rng.random() < 0.5 else rng.choice(soak.daemons)
    link = daemon.store_proxy
    await soak.hold_fault(f"store answers held for {daemon.key}", lambda: link.held.add("back"), link.heal,
                          rng.uniform(0.5, 5.0))


def rack_of(soak, rng):
    first = rng.randrange(0, len(soak.workers), RACK_SIZE)
    return soak.workers[first:first + RACK_SIZE]


async def rack_cut(soak, rng):
    """No daemon reaches the workers of a rack, nor do they reach the store; they run on."""
    rack, how, seconds = rack_of(soak, rng), rng.choice(LINK_FAULTS), rng.uniform(0.5, 6.0)
    links = [link for daemon in soak.daemons for link in soak.links(daemon, rack)]
    names = [worker.name for worker in rack]
    if seconds > SILENCE_S:
        soak.later(SILENCE_S, lambda: [soak.store.drop(f"servers/{name}") for name in names])
    await hold_links(soak, links, how, seconds)
    for worker in rack:
        if worker.born != 0:
            worker.beat()


async def rack_power_loss(soak, rng):
    """All workers of a rack lose power; half of the time they come back under other ids."""
    rack, seconds, other_ids = rack_of(soak, rng), rng.uniform(0.1, 5.0), rng.random() < 0.5
    soak.note(f"power lost by {' '.join(worker.name for worker in rack)} for {seconds:.1f} s"
              f"{', which come back under other ids' if other_ids else ''}")

    def leave_directory(worker, name):
        if worker.born == 0 or worker.name != name:
            soak.store.drop(f"servers/{name}")

    for worker in rack:
        worker.crash()
        soak.later(SILENCE_S, lambda worker=worker, name=worker.name: leave_directory(worker, name))
    await asyncio.sleep(seconds)
    for worker in rack:
        # Another fault may have begun a life meanwhile, which ends here.
        worker.crash()
        if other_ids:
            worker.take_next_id()
        worker.be_born()
        worker.beat()


async def daemon_replaced(soak, rng):
    """A daemon leaves for good. The new one has its name or another, and other ports in any case; a planned replacement
    starts it before the old one gets SIGTERM."""
    old, same_name, planned = rng.choice(soak.daemons), rng.random() < 0.5, rng.random() < 0.6
    number, pause = signal.SIGTERM if planned or rng.random() < 0.5 else signal.SIGKILL, rng.uniform(0.3, 2.0)
    if old.stopping or not old.is_up() or sum(each.is_up() for each in soak.daemons) < LEAST_DAEMONS:
        return
    old.stopping = True
    new = await soak.add_daemon(old.name if same_name else None)
    soak.note(f"{old.key} is replaced by {new.key}{', which starts first' if planned else ''}")
    if planned:
        await new.start()
        await asyncio.sleep(pause)
    # From here on clients call the new one only.
    soak.daemons.remove(old)
    soak.write_settings()
    await old.end(number)
    old.close()
    if not planned:
        await asyncio.sleep(pause)
        await new.start()


async def late_orders_across_restarts(soak, rng):
    """Orders without an answer are carried out seconds later, by the next life of the worker under the same id."""
    workers = busy_first(rng, soak.workers)[:rng.randint(1, 3)]
    begin, down, seconds = rng.uniform(0.3, 2.0), rng.uniform(0.01, 0.3), rng.uniform(1.0, 4.0)
    soak.note(f"orders late across restarts: {' '.join(worker.name for worker in workers)}")
    for worker in workers:
        worker.late_share, worker.late_across = 0.5, True
    await asyncio.sleep(begin)
    for worker in workers:
        worker.crash()
    await asyncio.sleep(down)
    for worker in workers:
        worker.crash()
        worker.be_born()
        worker.beat()
    await asyncio.sleep(seconds)
    for worker in workers:
        worker.late_share, worker.late_across = 0.0, False
