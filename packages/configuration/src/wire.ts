/** Encodes and decodes the configuration values in the store; no other module does. */
import { GalenatillerError } from '@galenatiller/error';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';
import { z } from 'zod';

import type { ConfigurationHead } from './headTypes.js';

const originFields = { askedBy: z.string() };
const ruleSchema: z.ZodType<Rule> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('organisation'),
    name: z.string(),
    keyHashes: z.array(z.string()),
    weight: z.number(),
    ...originFields,
  }),
  z.object({
    kind: z.literal('route'),
    name: z.string(),
    stages: z.array(z.string()),
    deadlineMs: z.number(),
    priority: z.enum(['interactive', 'batch']),
    ...originFields,
  }),
  z.object({
    kind: z.literal('stage'),
    name: z.string(),
    work: z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']),
    targetGroup: z.string(),
    idempotent: z.boolean(),
    maxTokens: z.number(),
    ...originFields,
  }),
  z.object({
    kind: z.literal('limit'),
    organisation: z.string(),
    requestsPerSecond: z.number(),
    inFlight: z.number(),
    ...originFields,
  }),
  z.object({
    kind: z.literal('zone'),
    name: z.string(),
    state: z.enum(['in', 'out']),
    ...originFields,
  }),
  z.object({
    kind: z.literal('move'),
    targetGroup: z.string(),
    fromVersion: z.string(),
    toVersion: z.string(),
    byWallMs: z.number(),
    unprovenShare: z.number(),
    ...originFields,
  }),
]);

const headSchema: z.ZodType<ConfigurationHead> = z.object({
  revision: z.number().int().positive(),
  author: z.string(),
  wallMs: z.number(),
  changeId: z.string(),
  shards: z.array(z.object({ index: z.number().int(), key: z.string() })),
  retiredKeys: z.array(z.string()),
  deltas: z.array(
    z.object({
      revision: z.number().int(),
      author: z.string(),
      wallMs: z.number(),
      changeId: z.string(),
      changed: z.array(ruleSchema),
      removed: z.array(
        z.object({
          kind: z.enum(['organisation', 'route', 'stage', 'limit', 'zone', 'move']),
          name: z.string(),
        }),
      ),
    }),
  ),
});

/** Encodes a head. */
export function encodeHead(value: ConfigurationHead): string {
  return JSON.stringify(value);
}

/** Decodes a head. */
export function decodeHead(text: string): Result<ConfigurationHead, GalenatillerError> {
  return decode(headSchema, text);
}

/** Encodes the rules of a shard; equal rules always result in the same text. */
export function encodeShard(rules: readonly Rule[]): string {
  return `[${rules.map(encodeRule).join(',\n')}]`;
}

/** Decodes the rules of a shard. */
export function decodeShard(text: string): Result<readonly Rule[], GalenatillerError> {
  return decode(z.array(ruleSchema), text);
}

/** Encodes one rule with its fields sorted by name. */
export function encodeRule(value: Rule): string {
  return JSON.stringify(value, Object.keys(value).sort());
}

function decode<Value>(schema: z.ZodType<Value>, text: string): Result<Value, GalenatillerError> {
  try {
    return Result.ok(schema.parse(JSON.parse(text)));
  } catch (error) {
    const detail = `invalid configuration value in the store: ${String(error)}`;
    return Result.err(GalenatillerError.create({ name: 'internal', detail, outcome: 'not-run' }));
  }
}
