"""A replica that one program's turn crashes, and a consumer that sends that turn."""

import asyncio
import hashlib
import socket
import struct

from deployment import Deployment, Replica, ZONES, send_turn

INPUT = b"continue"  # the new input of the turn
POISON = b"the menu that crashes replicas. "  # the input of the turn before
BACK_AFTER_S = 3.0


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
