"""A turn that a later program continued is lost with one disk."""

import asyncio
import hashlib
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from deployment import *  # noqa: E402,F403

N_CHAINS = 12
# Seconds since the start of the machines.
TRAFFIC_S = 10.0
CONTINUED_S = 62.0  # 52 s after the first turns, of the 60 s for which these are kept
DISK_LOST_S = 88.5
BACK_AFTER_S = 1.0
TRIED_S = 99.0  # 37 s after the second turns
TRIES = 6  # 2 consumer attempts for the turn, which is sent again twice


async def turn(d, zone, program, request, previous, text):
    reply = await send_turn(d, d.gateway_of(zone), program, request, previous, text)
    if reply.status != 200 or not reply.whole:
        raise CannotRun("turn %s was not served" % request)


async def continue_chain(d, i, results):
    """Sends the third turn of a chain as a consumer does: each attempt with its own id."""
    a, b = b"first input %d. " % i, b"second input %d. " % i
    text = b"third input %d." % i
    chain = a + output_of("a%d" % i) + b + output_of("b%d" % i) + text
    statuses, reached = [], False
    for n in range(TRIES):
        request = "c%d-%d" % (i, n)
        zone = ZONES[(i + n) % 3]
        reply = await send_turn(d, d.gateway_of(zone), "third%d" % i, request, "b%d" % i, text)
        statuses.append(reply.status)
        runs = d.runs_of(request)
        if runs and runs[0][1] != hashlib.sha256(chain).hexdigest():
            d.record("the body of %s is not its chain" % request)
        reached = reached or bool(runs)
        if reply.status == 200 and reply.whole:
            break
        await asyncio.sleep(max(0.3, float(reply.headers.get("retry-after", "0.3"))))
    results.append((i, statuses, reached))


async def first_turns(d, stop, counts):
    """Programs that begin meanwhile, at all gateways in turn."""
    n = 0
    while not stop.is_set():
        await asyncio.sleep(0.5)
        request = "f%d" % n
        await send_turn(d, d.gateway_of(ZONES[n % 3]), "new%d" % n, request, "", b"hello")
        counts.append(bool(d.runs_of(request)))
        n += 1


async def main(record, trouble):
    d = Deployment(record)
    until = lambda s: asyncio.sleep(max(0, s - record.now()))
    try:
        await d.start_world()
        d.start_machines()
        await d.wait_ready()
        await until(TRAFFIC_S)
        for i in range(N_CHAINS):
            await turn(d, ZONES[i % 3], "first%d" % i, "a%d" % i, "", b"first input %d. " % i)
        await until(CONTINUED_S)
        for i in range(N_CHAINS):
            await turn(d, ZONES[(i + 1) % 3], "second%d" % i, "b%d" % i, "a%d" % i,
                       b"second input %d. " % i)
        await until(DISK_LOST_S)
        if trouble:
            lost = d.archives[0]
            d.kill(lost)
            d.lose_disk(lost)
            await asyncio.sleep(BACK_AFTER_S)
            d.start_process(lost)
        await until(TRIED_S - 3)
        stop, counts, results = asyncio.Event(), [], []
        others = asyncio.create_task(first_turns(d, stop, counts))
        await until(TRIED_S)
        await asyncio.gather(*[continue_chain(d, i, results) for i in range(N_CHAINS)])
        stop.set()
        await others
        record("%d of %d first turns reached a replica; at most %d of 16 slots in use" % (
            sum(counts), len(counts), max(r.most_running for r in d.replicas if r.streams)))
        if sum(counts) < 0.9 * len(counts):
            raise CannotRun("first turns were not served")
        return ["LOST: a turn that continues b%d, answered whole %d s before, reached no replica "
                "in %d tries: %s" % (i, TRIED_S - CONTINUED_S, len(statuses), statuses)
                for i, statuses, reached in sorted(results)
                if not reached and len(statuses) >= 5] + [
                "LOST: a turn that continues b%d is answered 404" % i
                for i, statuses, reached in sorted(results) if 404 in statuses]
    finally:
        d.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
