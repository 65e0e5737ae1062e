/** Keys and JSON of run records in the store. */
import { createHash } from 'node:crypto';

import type { StageEnd, StageResult } from '@galenatiller/types';
import { Maybe } from 'true-myth';
import { z } from 'zod';

import type { RunName, RunRecord } from './runRecordTypes.js';

const RUN_PREFIX = 'galenatiller/runs/';

const end: z.ZodType<StageEnd> = z.object({
  outcome: z.enum(['not-run', 'ran', 'may-have-run']),
  code: z.number(),
  detail: z.string(),
  // A node wrote the result as it came; the caller's side validates it.
  result: z.custom<StageResult>((value) => typeof value === 'object').optional(),
  retryAfterMs: z.number(),
  queueMs: z.number(),
  runMs: z.number(),
}) as z.ZodType<StageEnd>;

const record: z.ZodType<RunRecord> = z.object({
  state: z.enum(['claimed', 'answered']),
  bodyDigest: z.string(),
  requestId: z.string(),
  claimId: z.string(),
  nodeName: z.string(),
  incarnation: z.string(),
  end: end.optional(),
});

/** The key of a run; digests keep callers' text out of keys. */
export function runRecordKey({ organisation, runKey }: RunName): string {
  const text = JSON.stringify([organisation, runKey]);
  return RUN_PREFIX + createHash('sha256').update(text).digest('hex');
}

/** Encodes a record. */
export function encodeRunRecord(value: RunRecord): string {
  return JSON.stringify(value);
}

/** Decodes a record; nothing when it is not one. */
export function decodeRunRecord(text: string): Maybe<RunRecord> {
  try {
    return Maybe.just(record.parse(JSON.parse(text)));
  } catch {
    return Maybe.nothing();
  }
}
