"""A gang that its team's limit keeps from starting keeps the team's other jobs from starting too."""
import asyncio
import os

from standins import TROUBLE, CannotRun, Site, main, team

WAIT_S = 90.0     # the pages: no job is left waiting for 90 s
LIMIT = 32.0      # CPUs, cpus_max of the team


async def case(folder):
    site = Site(folder, 'litoral-peajes', {'salto': 3}, [team('recaudacion', cpus_max=LIMIT)])
    try:
        await site.start()
        # Services with one replica of 2 CPUs. They run until their users cancel them. Twice as
        # many come with the disruption.
        services = ['job-000001', 'job-000002'] if TROUBLE else ['job-000001']
        for service in services:
            await site.submit(site.job(service, lane='vigia', shape='daemon', cpus=2.0,
                                       expectS=0.0))
        for _ in range(200):
            if all(site.started.get(service) for service in services):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun('the services do not start')
        # 30 CPUs fit beside one service within the limit, not beside two.
        await site.submit(site.job('job-000003', lane='liquidacion', shape='gang', cpus=30.0,
                                   memGb=51.0, loaners=False, expectS=5.0), run_s=5.0)
        await asyncio.sleep(2.0)
        await site.submit(site.job('job-000004', cpus=1.0, memGb=1.5, expectS=5.0), run_s=5.0)
        submitted = site.record.now()
        used = room = None
        while site.record.now() < submitted + WAIT_S and not site.started.get('job-000004'):
            await site.poll('job-000004')
            await asyncio.sleep(1.0)
            used = sum(w.used()[0] for w, _, _ in site.cloud.machines.values())
            room = max([w.build['cpus'] - w.used()[0] for w, _, phase in
                        site.cloud.machines.values() if phase == 'running'] or [0.0])
        started = bool(site.started.get('job-000004'))
        print('job-000004 %s after %.1f s; before that the team used %s of %g CPUs, and a machine '
              'had %s CPUs free; the gang has started %d times' %
              ('has started' if started else 'waits', site.record.now() - submitted, used, LIMIT,
               room, site.started.get('job-000003', 0)))
        if not started and room < 1.0:
            raise CannotRun('no machine has room')
        return started
    finally:
        await site.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
