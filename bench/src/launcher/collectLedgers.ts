/** Reads the ledgers of the fake targets: their runs, effects and cold overloads. */
import type { ServiceEffect } from '@galenatiller/fakes';
import type { TimerService } from '@galenatiller/timer';
import type { TargetKind } from '@galenatiller/types';
import { z } from 'zod';

import type { TargetRun } from '../checker/history.js';
import { sendFakeRequest } from './sendFakeRequest.js';

/** A fake target with its URL and availability zone. */
export interface FakeEndpoint {
  readonly name: string;
  readonly kind: TargetKind;
  readonly group: string;
  readonly url: string;
  readonly availabilityZone: string;
}

/** A run with its target, how it ended and how long it took (0 while it is running). */
export interface LedgerRun extends TargetRun {
  readonly group: string;
  readonly how: string;
  readonly runMs: number;
}

/** Ledgers of all fake targets of a deployment. */
export interface Ledgers {
  readonly runs: readonly LedgerRun[];
  readonly effects: readonly ServiceEffect[];
  readonly coldOverloads: number;
}

const runsSchema = z.object({
  runs: z.array(
    z.object({
      requestId: z.string(),
      stageIndex: z.number(),
      attempt: z.number(),
      startedWallMs: z.number(),
      ended: z.object({ how: z.string(), atWallMs: z.number() }).optional(),
    }),
  ),
});

const effectsSchema = z.object({
  effects: z.array(
    z.object({
      requestId: z.string(),
      runKey: z.string(),
      bodyDigest: z.string(),
      atWallMs: z.number(),
    }),
  ),
});

const loadSchema = z.object({ coldOverloads: z.number() });

/** Options of {@link collectLedgers}. */
export interface CollectLedgersOptions {
  readonly fakes: readonly FakeEndpoint[];
  readonly timer: TimerService;
}

/** Reads a JSON document from a fake. */
type ReadJson = (url: string) => Promise<unknown>;

/** Collects the ledgers of every fake target. */
export async function collectLedgers(opts: CollectLedgersOptions): Promise<Ledgers> {
  const { fakes } = opts;
  const readJson: ReadJson = (url) => sendFakeRequest({ timer: opts.timer, url });
  const [runs, effects, overloads] = await Promise.all([
    Promise.all(fakes.map((fake) => readRuns(fake, readJson))),
    Promise.all(
      fakes.filter(({ kind }) => kind === 'service').map((fake) => readEffects(fake, readJson)),
    ),
    Promise.all(
      fakes.filter(({ kind }) => kind === 'engine').map((fake) => readOverloads(fake, readJson)),
    ),
  ]);
  return {
    runs: runs.flat(),
    effects: effects.flat(),
    coldOverloads: overloads.reduce((sum, count) => sum + count, 0),
  };
}

async function readRuns(fake: FakeEndpoint, readJson: ReadJson): Promise<readonly LedgerRun[]> {
  const { runs } = runsSchema.parse(await readJson(`${fake.url}/runs`));
  const { name: targetName, group, availabilityZone } = fake;
  return runs.map(({ ended, ...run }) => ({
    ...run,
    targetName,
    group,
    availabilityZone,
    how: ended?.how ?? 'running',
    runMs: ended ? ended.atWallMs - run.startedWallMs : 0,
  }));
}

async function readEffects(
  { url }: FakeEndpoint,
  readJson: ReadJson,
): Promise<readonly ServiceEffect[]> {
  return effectsSchema.parse(await readJson(`${url}/ledger`)).effects;
}

async function readOverloads({ url }: FakeEndpoint, readJson: ReadJson): Promise<number> {
  return loadSchema.parse(await readJson(`${url}/load`)).coldOverloads;
}
