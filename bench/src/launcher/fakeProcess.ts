/** Runs the fakes of a plan in one process: `node bench/dist/launcher/fakeProcess.js PLAN.json`. */
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';

import {
  createFakeEngine,
  createFakeHostList,
  createFakePool,
  createFakeService,
  createFakeStatsd,
  createFakeStoreServer,
  FakeStore,
} from '@galenatiller/fakes';
import { systemClock, TimerService } from '@galenatiller/timer';

import type { FakePlan, FakeTargetPlan, PlatformPlan } from './fakePlan.js';

const timer = TimerService.create({ clock: systemClock });
const plan = JSON.parse(await readFile(process.argv[2] ?? '', 'utf8')) as FakePlan;
await Promise.all([...plan.targets.map(startTarget), ...plan.platforms.map(startPlatform)]);

async function startTarget(target: FakeTargetPlan): Promise<void> {
  const { seed, speed } = plan;
  const { port, version } = target;
  const common = { timer, port, seed: seed + port, restartMs: speed.restartMs, version };
  const { coldMs, coldLimit, capacity: concurrency } = speed;
  switch (target.kind) {
    case 'engine':
      await createFakeEngine({
        ...common,
        speed,
        cold: { coldMs, coldLimit, overload: 'crash' },
        prefillMsPerBlock: speed.prefillMsPerBlock,
        poisonMarker: speed.poisonMarker,
      });
      return;
    case 'pool':
      await createFakePool({ ...common, serviceMs: speed.poolMs, concurrency });
      return;
    case 'service':
      await createFakeService({ ...common, serviceMs: speed.serviceMs, concurrency });
  }
}

async function startPlatform(platform: PlatformPlan): Promise<void> {
  const store = createFakeStoreServer({ store: FakeStore.create({ timer }) });
  store.listen(platform.storePort, '127.0.0.1');
  await once(store, 'listening');
  await createFakeHostList({
    timer,
    port: platform.hostListPort,
    lagMs: plan.speed.hostListLagMs,
  });
  await createFakeStatsd({ port: platform.metricsPort });
}
