import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { Member } from '@galenatiller/store';
import createXxhash from 'xxhash-wasm';

import { createFormerPolicy, createPresentPolicy } from './overloadPolicies.js';
import { type OverloadCounts, OverloadSimulation } from './overloadSimulation.js';
import { LIMITS, type OverloadOptions, type SimulatedWorker } from './overloadTypes.js';

interface SlowOwnerWorld {
  fleet: Omit<OverloadOptions, 'createPolicy'>;
  createPolicy: OverloadOptions['createPolicy'];
  simulation: OverloadSimulation;
  recovered: OverloadCounts;
}

const { h32 } = await createXxhash();
const SERVICES = ['stage-a', 'stage-b', 'stage-c'];
const ZONES = ['z1', 'z2', 'z3', 'z4', 'z5'];
const WORKERS_PER_ROUTER = 0.4;
const MEAN_PIECES = 8.5;
const SEED = 20_261_205;
const WARM_UP_MS = 4_000;
const BURST_MS = 4_000;
const SLOW_MS = 3_000;
const MEASURED_MS = 6_000;

Given(
  /^a fleet of (\d+) routers with ([\d., ]+) cores each, at half of the capacity of its workers$/,
  function given(this: SlowOwnerWorld, routers: string, cores: string) {
    const count = Number(routers);
    const sizes = cores.split(', ').map(Number);
    const members = Array.from({ length: count }, (_, index): Member => ({
      name: `router-${index}`,
      address: `10.0.0.${index}:1`,
      cpuCores: sizes[index % sizes.length] ?? 1,
      availabilityZone: ZONES[index % ZONES.length] ?? '',
      leavingSince: 0,
    }));
    const workersOfService = Math.ceil(count * WORKERS_PER_ROUTER);
    const workers = SERVICES.flatMap((service) =>
      Array.from({ length: workersOfService }, (_, index): SimulatedWorker => ({
        id: `${service}-${index}`,
        service,
        availabilityZone: ZONES[index % ZONES.length] ?? '',
      })),
    );
    const { maxPieces, callOverheadMs, pieceMs } = LIMITS;
    const piecesPerSecond =
      (workers.length * maxPieces * 1_000) / (callOverheadMs + pieceMs * maxPieces);
    this.fleet = {
      members,
      workers,
      callsPerSecond: piecesPerSecond / MEAN_PIECES / 2,
      seed: SEED,
    };
    this.createPolicy = createPresentPolicy(h32, () => 0.5);
  },
);

Given('it follows the former policy', function given(this: SlowOwnerWorld) {
  this.createPolicy = createFormerPolicy(h32);
});

When(
  'the owner of a shard is {int} times slower for 3 s, and calls come {float} times as often for 4 s',
  { timeout: 120_000 },
  function when(this: SlowOwnerWorld, slowness: number, factor: number) {
    const policy = this.createPolicy({ ...this.fleet, createPolicy: this.createPolicy });
    const shard = policy.shardsOf('stage-a')[0] ?? '';
    const simulation = OverloadSimulation.create({
      ...this.fleet,
      createPolicy: this.createPolicy,
    });
    simulation.run(WARM_UP_MS);
    simulation.setTraffic(factor);
    simulation.setSlowness(shard, slowness);
    simulation.run(SLOW_MS);
    simulation.setSlowness(shard, 1);
    simulation.run(BURST_MS - SLOW_MS);
    simulation.setTraffic(1);
    this.simulation = simulation;
  },
);

Then(
  '{int} s later at least {int} of 100 calls are served',
  { timeout: 120_000 },
  function then(this: SlowOwnerWorld, laterS: number, percent: number) {
    this.simulation.run(laterS * 1_000);
    this.recovered = this.simulation.run(MEASURED_MS);
    const { calls, served } = this.recovered;
    assert.ok(served * 100 >= percent * calls, `${served} of ${calls} calls were served`);
  },
);

Then(
  '{int} s later fewer than {int} of 100 calls are served',
  { timeout: 120_000 },
  function then(this: SlowOwnerWorld, laterS: number, percent: number) {
    this.simulation.run(laterS * 1_000);
    const { calls, served } = this.simulation.run(MEASURED_MS);
    assert.ok(served * 100 < percent * calls, `${served} of ${calls} calls were served`);
  },
);

Then(
  'at most {int} of 100 calls to workers found them full in that time',
  function then(this: SlowOwnerWorld, percent: number) {
    const { workerCalls, foundFull } = this.recovered;
    assert.ok(
      foundFull * 100 <= percent * workerCalls,
      `${foundFull} of ${workerCalls} calls found the worker full`,
    );
  },
);
