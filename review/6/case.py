"""A spread gang never runs once the machines of one zone have stopped."""
import asyncio
import os

from standins import TROUBLE, CannotRun, Site, main

WAIT_S = 90.0


async def case(folder):
    site = Site(folder, 'indus-ferry', {'karachi': 8, 'keti': 8})
    machines = site.cloud.machines
    try:
        await site.start()
        # Work that is bound to a zone, so that a machine is up in each.
        bound = [('job-000001', 2, 'karachi'), ('job-000002', 1, 'keti')]
        await asyncio.gather(*[site.submit(
            site.job(job, lane='receipt-scan', legs=legs, yard=yard, cpus=30.0, memGb=50.0,
                     loaners=False, expectS=2.0), run_s=2.0) for job, legs, yard in bound])
        done = await asyncio.gather(*[site.wait_done(job, 25.0, 0.5) for job, _, _ in bound])
        if not all(done):
            raise CannotRun('the first jobs are not done')
        if TROUBLE:
            # The machines of one zone stop with all that is on them.
            stopped = [name for name, m in machines.items() if m[0].yard == 'keti']
            for name in stopped:
                site.record.add('trouble', name + ' stops')
                await machines[name][0].stop()
            for _ in range(200):
                if not any(name in machines for name in stopped):
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun('the machines that stopped are not returned')
        # Two tasks, at most one in a zone. The cloud has machines to give in both.
        await site.submit(site.job('job-000003', lane='manifest-build', shape='gang', legs=2,
                                   spread=True, cpus=30.0, memGb=50.0, loaners=False,
                                   expectS=2.0), run_s=2.0)
        submitted = site.record.now()
        at = await site.wait_done('job-000003', WAIT_S, 1.0)
        print('job-000003 %s; machines up: %s; the cloud can give %s' % (
            'done after %.1f s' % (at - submitted) if at else 'not done after %g s' % WAIT_S,
            sorted(m[0].yard for m in machines.values()),
            {key[1]: count for key, count in site.cloud.capacity.items()}))
        return at is not None
    finally:
        await site.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
