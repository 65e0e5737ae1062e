/** Schemas that validate received frames. */
import { z } from 'zod';

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();
const attempt = z.object({ requestId: z.string(), stageIndex: count, attempt: count });
const passages = z.array(z.object({ id: z.string(), text: z.string(), score: z.number() }));
const outcome = z.enum(['not-run', 'ran', 'may-have-run']);

const input = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('encode'), texts: z.array(z.string()) }),
  z.object({
    kind: z.literal('retrieve'),
    query: z.string(),
    vector: z.array(z.number()),
    passageLimit: count,
  }),
  z.object({ kind: z.literal('rerank'), query: z.string(), passages }),
  z.object({
    kind: z.literal('generate'),
    prompt: z.string(),
    maxTokens: count,
    deliveredText: z.string(),
    deliveredTokens: count,
  }),
  z.object({ kind: z.literal('call'), body: z.json() }),
]);

const result = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('encode'), vectors: z.array(z.array(z.number())) }),
  z.object({ kind: z.literal('retrieve'), passages }),
  z.object({ kind: z.literal('rerank'), passages }),
  z.object({
    kind: z.literal('generate'),
    tokens: count,
    finishReason: z.enum(['stop', 'length']),
  }),
  z.object({ kind: z.literal('call'), status: count, body: z.json() }),
]);

const report = z.object({
  name: z.string(),
  kind: z.enum(['engine', 'pool', 'service']),
  group: z.string(),
  version: z.string(),
  state: z.enum(['ready', 'cold', 'down', 'leaving']),
  inFlight: count,
  queued: count,
  inFlightLimit: count,
  runMs: durationMs,
  pausedMs: durationMs.optional(),
  prefixHashes: z.array(z.string()),
});

const order = attempt.extend({
  targetName: z.string(),
  organisation: z.string(),
  route: z.string(),
  stage: z.string(),
  priority: z.enum(['interactive', 'batch']),
  remainingMs: z.number(),
  idempotent: z.boolean(),
  runKey: z.string(),
  bodyDigest: z.string(),
  input,
});

const end = z.object({
  outcome,
  code: count,
  detail: z.string(),
  result: result.optional(),
  retryAfterMs: durationMs,
  queueMs: durationMs,
  runMs: durationMs,
  report: report.optional(),
});

const hello = z.object({
  kind: z.literal('hello'),
  nodeName: z.string().max(256),
  role: z.enum(['entry', 'gate']),
  availabilityZone: z.string().max(256),
  incarnation: z.string().max(256),
  protocolVersion: count,
  nonce: z.string().max(128),
});

const crashEvidence = z.object({
  kind: z.enum(['crashed', 'sound']),
  fingerprint: z.string(),
  targetStart: z.string(),
  agoMs: z.number(),
});

const shardReference = z.object({ index: count, key: z.string() });
const rule = z.object({ kind: z.string(), askedBy: z.string() }).loose();
const shard = shardReference.extend({ rules: z.array(rule) });

/** Schema of any frame. */
export const nodeFrameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('stage-part'),
    attempt,
    part: z.object({ offsetTokens: count, tokens: count, text: z.string() }),
  }),
  z.object({ kind: z.literal('stage-end'), attempt, end }),
  z.object({ kind: z.literal('stage-run'), order }),
  z.object({ kind: z.literal('stage-cancel'), attempt }),
  z.object({ kind: z.literal('targets'), reports: z.array(report), leaving: z.boolean() }),
  z.object({ kind: z.literal('offer-ask') }),
  z.object({ kind: z.literal('offer'), revision: count, shards: z.array(shardReference) }),
  z.object({ kind: z.literal('shard-ask'), shard: shardReference }),
  z.object({ kind: z.literal('shard'), shard: shard.optional() }),
  z.object({
    kind: z.literal('versions-stopped'),
    notices: z.array(
      z.object({
        targetGroup: z.string(),
        version: z.string(),
        reason: z.string(),
        atWallMs: z.number(),
      }),
    ),
  }),
  z.object({
    kind: z.literal('crashes'),
    records: z.array(
      z.object({ fingerprint: z.string(), targetName: z.string(), atWallMs: z.number() }),
    ),
    // Older nodes send none.
    evidence: z.array(crashEvidence).default([]),
  }),
  z.object({ kind: z.literal('ping'), revision: count }),
  z.object({ kind: z.literal('pong'), revision: count }),
  hello,
  z.object({ kind: z.literal('proof'), proofs: z.array(z.string().max(128)).max(4) }),
]);
