"""Turns of sound programs are refused for a minute because of another program's turn."""

import asyncio
import os
import socket
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from deployment import *  # noqa: E402,F403

N_PROGRAMS = 6
INPUT = b"continue"  # the new input of each program's second turn
POISON = b"the menu that crashes replicas. "
BACK_AFTER_S = 3.0
# Seconds since the start of the machines.
TRAFFIC_S = 10.0
CRASHES_S = 13.0
COMES_AGAIN_S = 20.0
SECOND_TURNS_S = 35.0
TRIES = 6  # 2 consumer attempts for the turn, which is sent again twice


class CrashingReplica(Replica):
    """Crashes when it begins to run the second turn of the program with the poisonous menu."""

    def __init__(self, *args):
        super().__init__(*args)
        self.deployment = None
        self.trouble = False
        self.incarnation = 0
        self.crashes = []

    async def run(self, method, target, headers, body, writer):
        if not (self.trouble and body.startswith(POISON) and body.endswith(INPUT)):
            return await super().run(method, target, headers, body, writer)
        self.runs.append((headers["x-request-id"], hashlib.sha256(body).hexdigest()))
        self.record("replica %s begins to run %s and crashes" % (self.id, headers["x-request-id"]))
        self.crashes.append(self.record.now())
        asyncio.create_task(self.crash())
        return False

    async def crash(self):
        old = self.id
        for server in self.servers:
            server.close()
        self.servers = []
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self.incarnation += 1
        self.id = "%s-%d" % (old.split("-x")[0], self.incarnation)
        await self.listen(self.address.rsplit(":", 1)[0], Deployment.REPLICA)
        self.deployment.store.put("servers/" + self.id, self.entry())
        self.record("a new incarnation, %s, serves at the address of %s" % (self.id, old))
        await asyncio.sleep(3 * 1.2 - BACK_AFTER_S)  # three status report intervals of silence
        self.deployment.store.remove("servers/" + old)


async def second_turn(d, program, first, tries):
    """Sends the second turn as a consumer does; returns the answers' status codes and whether the
    turn reached a replica."""
    statuses, reached = [], False
    for n in range(tries):
        request = "%s-second-%d-%d" % (program, int(d.record.now() * 1000), n)
        gateway = d.gateway_of(ZONES[n % 3])
        reply = await send_turn(d, gateway, program, request, first, INPUT)
        statuses.append(reply.status)
        reached = reached or bool(d.runs_of(request))
        if reply.status == 200 and reply.whole:
            break
        await asyncio.sleep(max(0.3, min(1.0, float(reply.headers.get("retry-after", "0.3")))))
    return statuses, reached


async def first_turns(d, stop, counts):
    n = 0
    while not stop.is_set():
        await asyncio.sleep(0.5)
        request = "f%d" % n
        await send_turn(d, d.gateway_of(ZONES[n % 3]), "new%d" % n, request, "", b"hello %d" % n)
        counts.append(bool(d.runs_of(request)))
        n += 1


async def main(record, trouble):
    d = Deployment(record)
    until = lambda s: asyncio.sleep(max(0, s - record.now()))
    try:
        await d.start_world(engine=CrashingReplica, engines_per_zone=2)
        for replica in d.replicas:
            replica.deployment, replica.trouble = d, trouble
        d.start_machines()
        await d.wait_ready()
        await until(TRAFFIC_S)
        await send_turn(d, d.gateways[0], "bad", "bad-first", "", POISON)
        for i in range(N_PROGRAMS):
            reply = await send_turn(d, d.gateways[i % 3], "sound%d" % i, "sound%d-first" % i, "",
                                    b"the menu of school %d. " % i)
            if reply.status != 200 or not reply.whole:
                raise CannotRun("the first turns were not served")
        await until(CRASHES_S)
        await second_turn(d, "bad", "bad-first", 3)
        await until(COMES_AGAIN_S)
        await second_turn(d, "bad", "bad-first", 1)
        await until(SECOND_TURNS_S - 3)
        stop, counts = asyncio.Event(), []
        others = asyncio.create_task(first_turns(d, stop, counts))
        await until(SECOND_TURNS_S)
        results = await asyncio.gather(*[
            second_turn(d, "sound%d" % i, "sound%d-first" % i, TRIES) for i in range(N_PROGRAMS)])
        stop.set()
        await others
        crashes = sorted(t for r in d.replicas if r.streams for t in r.crashes)
        record("crashes at %s; %d of %d first turns reached a replica; at most %d of 16 slots of a "
               "replica were in use" % (["%.1f" % t for t in crashes], sum(counts), len(counts),
                                        max(r.most_running for r in d.replicas if r.streams)))
        if sum(counts) < 0.9 * len(counts):
            raise CannotRun("first turns were not served")
        if trouble and (not crashes or crashes[-1] > SECOND_TURNS_S - 6):
            raise CannotRun("no crash, or one too late")
        return ["LOST: the second turn of sound%d, whose first was answered whole %d s before, "
                "reached no replica in %d tries: %s" % (i, SECOND_TURNS_S - TRAFFIC_S,
                                                        len(statuses), statuses)
                for i, (statuses, reached) in enumerate(results)
                if not reached and len(statuses) >= 5]
    finally:
        d.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
