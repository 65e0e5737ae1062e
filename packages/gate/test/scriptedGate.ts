/** A gate with one scripted target on a manual clock, for the steps in this folder. */
import { createFixedLimit } from '@galenatiller/engine';
import { createSampleStageRequest } from '@galenatiller/fakes';
import { Shutdown } from '@galenatiller/node';
import { TargetNotices } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { StageEnd, StageInput } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { GateContext } from '../src/gateContext.js';
import { AimdLoadLimit } from '../src/loadLimit.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import type { RunOnTarget } from '../src/policy.js';
import { runStageRequest } from '../src/runStageRequest.js';
import { TargetAdmission } from '../src/targetAdmission.js';

export interface ScriptedGateWorld {
  gateClock: ManualClock;
  gateTimer: TimerService;
  admission: TargetAdmission;
  gateContext: GateContext;
  /** Number of requests that ran on the target. */
  gateRuns: number;
  answerRun: RunOnTarget;
  /** Called when a request reaches the target. */
  onArrival: () => void;
  gateEnds: StageEnd[];
}

const TARGET = {
  name: 'target-1',
  kind: 'engine' as const,
  group: 'drafter',
  version: 'v1',
  url: 'http://127.0.0.1:1',
  inFlightLimit: 1,
  coldInFlightLimit: 1,
  queueLimit: 8,
};
const STOP_LIMIT_MS = 2_000;

export const RUN_MS = 50;
export const GENERATE: StageInput = {
  kind: 'generate',
  prompt: 'one',
  maxTokens: 4,
  deliveredText: '',
  deliveredTokens: 0,
};

export const runWell: RunOnTarget = () =>
  Promise.resolve(Result.ok({ kind: 'generate', tokens: 4, finishReason: 'length' }));

/** Creates the gate in a world. */
export function createScriptedGate(world: ScriptedGateWorld, slots: number): void {
  world.gateClock = ManualClock.create({ startWallMs: 1_000_000 });
  world.gateTimer = TimerService.create({ clock: world.gateClock });
  world.gateRuns = 0;
  world.gateEnds = [];
  world.answerRun = runWell;
  world.onArrival = () => {};
  const timer = world.gateTimer;
  const run: RunOnTarget = async (opts) => {
    world.gateRuns += 1;
    world.onArrival();
    await timer.sleep({ delayMs: RUN_MS });
    return world.answerRun(opts);
  };
  world.admission = TargetAdmission.create({
    settings: TARGET,
    timer,
    notices: TargetNotices.create({
      timer,
      random: () => 0,
      share: () => {},
      onEvent: () => {},
    }),
    queuePolicy: naiveQueuePolicy,
    concurrencyLimit: createFixedLimit({ inFlightLimit: slots }),
    loadLimit: AimdLoadLimit.create({ maxInFlight: slots, minInFlight: slots }),
    getWeight: () => 1,
  });
  world.admission.onStartId('start-1');
  world.gateContext = {
    targets: new Map([[TARGET.name, world.admission]]),
    runners: { engine: run, pool: run, service: run },
    probeTarget: () => Promise.resolve('alive'),
    timer,
    tasks: TaskGroup.create({ onFailure: () => {} }),
    record: () => {},
    availabilityZone: 'zone',
    readConfiguration: () => ({ revision: 1, zones: new Map() }),
    shutdown: Shutdown.create({ timer, limitMs: STOP_LIMIT_MS }),
    stoppedVersions: { has: () => false },
    crashGuard: { admit: () => 'run', onRunEnded: () => {} },
    runRecords: {},
  } as unknown as GateContext;
}

/** Starts a stage request and records its end. */
export function startRequest(world: ScriptedGateWorld, remainingMs: number): void {
  runStageRequest({
    context: world.gateContext,
    request: { ...createSampleStageRequest(GENERATE), remainingMs },
    signal: new AbortController().signal,
    onPart: () => {},
  }).then(
    (end) => world.gateEnds.push(end),
    (error: unknown) => {
      throw error;
    },
  );
}
