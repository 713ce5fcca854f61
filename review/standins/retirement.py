"""The course of both cases about retirements: traffic, planned retirements, a loss, a final fault, and
the check of RECOVER and LOST."""
import asyncio, os, shutil

from fleet import Fleet, now

STABLE_S, CATCH_UP_S, RECOVER_S, RETENTION_S = 3.0, 4.8, 12.0, 60.0
TRIES = 5


class Course:
    def __init__(self, folder):
        self.fleet = Fleet(os.path.join(folder, "record.txt"))
        self.sent = []       # (time, first turn?, reached a replica?, served?)
        self.kept = []       # (id, program, time of its end) of turns that were answered whole
        self.stopping = False

    def reached(self, rid):
        return any(run[0] == rid for replica in self.fleet.replicas for run in replica.runs)

    async def send(self, gateway, program, previous=""):
        at = now()
        rid, answer = await self.fleet.turn(gateway, program, previous)
        served = answer.status == 200 and answer.whole
        self.sent.append((at, previous == "", self.reached(rid), served))
        if served:
            self.kept.append((rid, program, now()))
        return rid if served else None

    async def traffic(self):
        """Eight turns a second: programs of two turns, through all gateways."""
        n, tasks = 0, set()
        async def program(number):
            fronts = self.fleet.fronts
            first = await self.send(fronts[number % 3], "p%d" % number)
            if first:
                await self.send(fronts[(number + 1) % 3], "p%d" % number, first)
        while not self.stopping:
            tasks.add(asyncio.create_task(program(n)))
            n += 1
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)

    async def retire(self, machine):
        """Asks for the retirement; removes the machine with its disk once it is completed."""
        key = "status/retire/" + machine.name
        self.fleet.store.put_json("op/retire/" + machine.name, {"duration_s": 8})
        self.fleet.record("asked to empty", machine.name)
        for _ in range(100):
            if self.fleet.store.json(key).get("state") == "completed":
                self.fleet.record(machine.name, "is reported as completed and is removed")
                machine.kill()
                shutil.rmtree(machine.folder + "/data")
                self.fleet.storages.remove(machine)
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill_all(self, wipe=None):
        """The final fault: all processes are killed, and wipe loses its disk."""
        machines = self.fleet.fronts + self.fleet.storages
        for m in machines:
            m.kill()
        if wipe:
            shutil.rmtree(wipe.folder + "/data")
            self.fleet.record(wipe.name, "has lost its disk")
        await asyncio.sleep(1.0)
        for m in machines:
            m.start()
        return now()

    async def check(self, fault_at, back_at):
        """Sends first turns and kept turns after recover_s. Returns True if a rule is broken."""
        r = self.fleet.record
        before = [s for s in self.sent if s[0] < fault_at]
        share = sum(s[3] for s in before) / len(before)
        await asyncio.sleep(max(0, back_at + RECOVER_S - now()))
        start = len(self.sent)
        fresh = [k for k in self.kept if now() - k[2] < RETENTION_S - 10][-4:]
        tries = {k[0]: 0 for k in fresh}
        reached = {k[0]: 0 for k in fresh}
        for n in range(TRIES + 1):
            for i, (rid, program, _) in enumerate(fresh):
                gateway = self.fleet.fronts[(n + i) % 3]
                await self.send(gateway, program, rid)
                tries[rid] += 1
                reached[rid] += self.sent[-1][2]
                await self.send(gateway, "last%d-%d" % (n, i))
            await asyncio.sleep(0.5)
        after = self.sent[start:]
        served = sum(s[3] for s in after)
        lost = [t for t in tries if tries[t] >= TRIES and not reached[t]]
        r("before the final fault %.2f of %d turns were served" % (share, len(before)))
        r("later than recover_s after the machines were back %d of %d were" % (served, len(after)))
        r(len(lost), "of", len(tries), "kept turns reached no replica in", TRIES + 1, "tries")
        broken = []
        if share >= 0.25 and served < len(after) / 4:
            broken.append("RECOVER")
        if lost:
            broken.append("LOST")
        r("broken:", ", ".join(broken) or "none")
        return bool(broken)


def run(folder, steps):
    """Plays steps(course, trouble), which returns (time of the final fault, time of the return) or
    None if it could not run, and exits with the case's status."""
    async def main():
        course = Course(folder)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        status = 2
        try:
            if not await course.fleet.begin():
                course.fleet.record("the gateways did not become ready")
                return 2
            await asyncio.sleep(1.5)
            traffic = asyncio.create_task(course.traffic())
            times = await steps(course, trouble)
            course.stopping = True
            await traffic
            if times:
                status = 1 if await course.check(*times) else 0
        finally:
            course.fleet.end()
            course.fleet.record("exit", status)
        return status
    loop = asyncio.new_event_loop()
    try:
        status = loop.run_until_complete(asyncio.wait_for(main(), 110))
    except Exception as e:  # the case could not run
        print("could not run:", repr(e))
        status = 2
    os._exit(status)
