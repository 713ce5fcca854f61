"""A conversation cannot be continued once its turns lie on changing pairs of archives."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from deployment import *  # noqa: E402,F403

ZONE = "zg-a"  # of the consumers
N_CONVERSATIONS = 12
PAUSE_S = 0.8  # between two messages
TRIES = 6  # 2 consumer attempts for a turn, which is sent again twice
# Seconds since the start of the machines.
TRAFFIC_S = 10.0
LOST_S = 14.0
CALM_S = 24.0  # 10 s after the machine was removed
END_S = 95.0


class Addresses:
    """What the directory says to the consumers of the zone."""

    def __init__(self, d):
        self.d, self.addresses, self.until_s, self.seen = d, [], 0.0, set()

    async def resolve(self):
        """Asks the nodes that serve the directory, nearest first."""
        near = sorted(self.d.gateways, key=lambda m: m.zone != ZONE)
        for machine in near[:3]:
            reply = await send(machine.ip, self.d.DIRECTORY, "GET",
                               "/-/resolve?name=%s&region=hr-zagreb&zone=%s" % (HOST, ZONE),
                               [("Host", HOST)], b"", 1.0)
            if reply.status != 200:
                continue
            answer = json.loads(reply.body)
            self.addresses = answer["addresses"]
            self.until_s = self.d.record.now() + min(answer["ttl_s"], 5)
            names = tuple(sorted(m.name for m in self.d.gateways
                                 if "%s:%d" % (m.ip, self.d.FRONT) in self.addresses))
            if names not in self.seen:
                self.d.record("the directory names %s" % ", ".join(names))
                self.seen.add(names)
            return

    async def pick(self, failed):
        """Returns a gateway at random, but those that have failed."""
        if self.d.record.now() >= self.until_s:
            await self.resolve()
        known = [m for m in self.d.gateways
                 if "%s:%d" % (m.ip, self.d.FRONT) in self.addresses and m not in failed]
        return random.choice(known or self.d.gateways)


async def send_message(d, addresses, program, previous, text):
    """Sends one turn as a consumer does. Returns the id of the turn that was answered whole, or
    None, and what each try brought."""
    tries, failed = [], set()
    for n in range(TRIES):
        request = "%s-%d" % (program, n)
        gateway = await addresses.pick(failed)
        sent_s = d.record.now()
        reply = await send_turn(d, gateway, program, request, previous, text)
        tries.append((sent_s, reply.status, bool(d.runs_of(request))))
        if reply.status == 200 and reply.whole:
            return request, tries
        if reply.status == 0:
            failed.add(gateway)
        await asyncio.sleep(max(0.1, float(reply.headers.get("retry-after", "0.3"))))
    return None, tries


async def conversation(d, addresses, i, broken):
    """Each message starts a program that continues the last turn."""
    previous, n = "", 0
    await asyncio.sleep(random.uniform(0, PAUSE_S))
    while d.record.now() < END_S:
        turn, tries = await send_message(d, addresses, "conv%d-%d" % (i, n), previous,
                                         b"message %d. " % n)
        if turn is None:
            calm = [t for t in tries if t[0] > CALM_S]
            if len(calm) >= 5 and not any(ran for _, _, ran in calm):
                broken.append("LOST: a turn that continues %s, answered whole %.1f s before, the "
                              "turn %d of conversation %d, reached no replica in %d tries: %s" % (
                                  previous, calm[0][0] - d.answered[previous], n + 1, i,
                                  len(calm), [s for _, s, _ in calm]))
            return
        previous, n = turn, n + 1
        d.answered[turn] = d.record.now()
        await asyncio.sleep(PAUSE_S)


async def first_turns(d, addresses, counts):
    n = 0
    while d.record.now() < END_S:
        turn, tries = await send_message(d, addresses, "new%d" % n, "", b"hello")
        if tries[0][0] > CALM_S:
            counts.append(any(ran for _, _, ran in tries))
        n += 1
        await asyncio.sleep(1.0)


async def main(record, trouble):
    d = Deployment(record, gateways_per_zone=2)
    d.answered, broken, counts = {}, [], []
    try:
        await d.start_world()
        d.start_machines()
        await d.wait_ready()
        await asyncio.sleep(max(0, TRAFFIC_S - record.now()))
        addresses = Addresses(d)
        await addresses.resolve()
        tasks = [asyncio.create_task(conversation(d, addresses, i, broken))
                 for i in range(N_CONVERSATIONS)]
        tasks.append(asyncio.create_task(first_turns(d, addresses, counts)))
        await asyncio.sleep(max(0, LOST_S - record.now()))
        if trouble:
            lost = next(m for m in d.gateways if m.name == "front-zg-a-2")
            d.kill(lost)
            record("%s is removed for good" % lost.name)
        await asyncio.gather(*tasks)
        record("%d of %d first turns reached a replica; at most %d of 16 slots of a replica were in "
               "use" % (sum(counts), len(counts),
                        max(r.most_running for r in d.replicas if r.streams)))
        if sum(counts) < 0.9 * len(counts):
            raise CannotRun("first turns were not served")
        return sorted(broken)
    finally:
        d.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
