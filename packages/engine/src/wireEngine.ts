/** Encodes orders to model engines and decodes their load and cache events. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Result } from 'true-myth';
import { z } from 'zod';

import type { EngineLoad, EngineOrder } from './engineOrder.js';
import type { CacheEvent } from './prefixCacheTracker.js';
import { readEventData } from './wireEvents.js';

const loadBody = z.object({
  running: z.int().nonnegative(),
  waiting: z.int().nonnegative(),
  cacheUsedShare: z.number(),
  version: z.string(),
  role: z.string(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
});

const cacheEventBody = z.object({
  sequence: z.int().positive(),
  startId: z.string(),
  kind: z.enum(['stored', 'evicted']),
  hashes: z.array(z.string()),
});

/** Encodes an order. */
export function encodeOrder(order: EngineOrder): string {
  return JSON.stringify({
    kind: order.kind,
    name: order.name,
    fencing_number: order.fencingNumber,
  });
}

/** Decodes the load that an engine reports. */
export function decodeLoad(text: string): Result<EngineLoad, GalenatillerError> {
  return decodeJson({ text, schema: loadBody });
}

/** Decodes a server-sent event stream into cache events, in order. */
export async function* readCacheEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Result<CacheEvent, GalenatillerError>, void, void> {
  for await (const text of readEventData(body)) {
    yield decodeJson({ text, schema: cacheEventBody });
  }
}
