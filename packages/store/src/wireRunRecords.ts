/** Encodes the keys and values of run records in the store. */
import { createHash } from 'node:crypto';

import type { StageEnd, StageResult } from '@galenatiller/types';
import { Maybe } from 'true-myth';
import { z } from 'zod';

import type { RunName, RunRecord } from './runRecordTypes.js';

const RUN_PREFIX = 'galenatiller/runs/';

const endSchema: z.ZodType<StageEnd> = z.object({
  outcome: z.enum(['not-run', 'ran', 'may-have-run']),
  code: z.number(),
  detail: z.string(),
  // Stored by a node without validation; the reader of the result validates it.
  result: z.custom<StageResult>((value) => typeof value === 'object').optional(),
  retryAfterMs: z.number(),
  queueMs: z.number(),
  runMs: z.number(),
}) as z.ZodType<StageEnd>;

const runRecordSchema: z.ZodType<RunRecord> = z.object({
  state: z.enum(['claimed', 'answered']),
  bodyDigest: z.string(),
  requestId: z.string(),
  claimId: z.string(),
  nodeName: z.string(),
  incarnation: z.string(),
  end: endSchema.optional(),
});

/** The key of a run record; hashed, so that keys contain no text from callers. */
export function createRunRecordKey({ organisation, runKey }: RunName): string {
  const text = JSON.stringify([organisation, runKey]);
  return RUN_PREFIX + createHash('sha256').update(text).digest('hex');
}

/** Encodes a run record. */
export function encodeRunRecord(value: RunRecord): string {
  return JSON.stringify(value);
}

/** Decodes a run record; `Nothing` if the text is not a valid one. */
export function decodeRunRecord(text: string): Maybe<RunRecord> {
  try {
    return Maybe.just(runRecordSchema.parse(JSON.parse(text)));
  } catch {
    return Maybe.nothing();
  }
}
