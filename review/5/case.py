"""Small tasks come three times as often: one machine gets more tasks than a report can list."""
import asyncio
import os

from standins import BODY_LIMIT, TROUBLE, Site, main

LEGS = 500        # the pages: at most 100,000
RUN_S = 10.0
WAIT_S = 90.0     # the pages: no job is left waiting for 90 s


async def case(folder):
    site = Site(folder, 'indus-ferry', {'karachi': 1})
    try:
        await site.start()
        jobs = ['job-%06d' % i for i in range(1, 4 if TROUBLE else 2)]
        # 1500 tasks of 0.02 CPUs and 20 MB take 30 of the machine's 32 CPUs and 30 of its 256 GB.
        specs = [site.job(j, lane='small-tasks', legs=LEGS, cpus=0.02, memGb=0.02,
                          expectS=RUN_S) for j in jobs]
        statuses = await asyncio.gather(*[site.submit(s, run_s=RUN_S) for s in specs])
        if any(s not in (200, 201) for s in statuses):
            print('not accepted:', statuses)
            return True
        done = await asyncio.gather(*[site.wait_done(j, WAIT_S, 2.0) for j in jobs])
        kills = [d['killed'] for _, kind, d in site.record.events if kind == 'lease-ended']
        largest = max([m[0].largest_report for m in site.cloud.machines.values()] or [0])
        for job, at in zip(jobs, done):
            print('%s: %s; %d starts of %d tasks, %d completed on a machine' % (
                job, 'done at %.1f s' % at if at else 'not done', site.started.get(job, 0), LEGS,
                len(site.done_legs.get(job, ()))))
        print('largest report %d bytes (limit %d), worker leases ended: %d' %
              (largest, BODY_LIMIT, len(kills)))
        return all(done)
    finally:
        await site.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
