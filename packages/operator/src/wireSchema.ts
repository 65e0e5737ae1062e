/** Shapes of what operators and nodes send each other. */
import { RESULT_CODES, type ResultCodeName } from '@galenatiller/error';
import type { TimelineEventKind } from '@galenatiller/types';
import { z } from 'zod';

import type { OperatorResponses } from './nodeReport.js';

/** Most events of one reply. */
const MAX_EVENTS = 10_000;

const count = z.number().int().nonnegative();

const targetSchema = z.object({
  name: z.string(),
  kind: z.enum(['engine', 'pool', 'service']),
  group: z.string(),
  version: z.string(),
  state: z.enum(['ready', 'cold', 'down', 'leaving']),
  inFlight: count,
  queued: count,
  inFlightLimit: count,
  runMs: z.number().nonnegative(),
  prefixHashes: z.array(z.string()),
});

const moveSchema = z.object({
  targetGroup: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  state: z.enum(['unproven', 'moving', 'done', 'stopped']),
  share: z.number().min(0).max(1),
  reason: z.string(),
});

const statusSchema = z.object({
  nodeName: z.string(),
  role: z.enum(['entry', 'gate']),
  availabilityZone: z.string(),
  incarnation: z.string(),
  configurationRevision: count,
  storeReachable: z.boolean(),
  targets: z.array(targetSchema),
  links: z.array(z.object({ peerName: z.string(), state: z.enum(['opening', 'open', 'closed']) })),
  moves: z.array(moveSchema),
  inFlight: count,
  draining: z.boolean(),
});

const eventSchema = z.object({
  stamp: z.object({ wallMs: z.number(), counter: count }),
  nodeName: z.string(),
  // A newer node may know kinds that this release does not; they are shown as they are.
  kind: z.string().transform((kind) => kind as TimelineEventKind),
  requestId: z.string(),
  subject: z.string(),
  detail: z.string(),
});

/** Schema of the reply to each kind of request. */
export const RESPONSE_SCHEMAS: {
  readonly [Kind in keyof OperatorResponses]: z.ZodType<OperatorResponses[Kind]>;
} = {
  status: statusSchema,
  timeline: z.object({ events: z.array(eventSchema) }),
  explain: z.object({ requestId: z.string(), events: z.array(eventSchema) }),
};

/** Query parameters of the time line. */
export const timelineQuerySchema = z
  .object({
    request: z.string().default(''),
    target: z.string().default(''),
    'after-ms': z.coerce.number().nonnegative().default(0),
    'after-counter': z.coerce.number().int().nonnegative().default(0),
    'max-events': z.coerce.number().int().min(1).max(MAX_EVENTS).default(MAX_EVENTS),
  })
  .transform((fields) => ({
    requestId: fields.request,
    target: fields.target,
    afterTimestamp: { wallMs: fields['after-ms'], counter: fields['after-counter'] },
    maxEvents: fields['max-events'],
  }));

/** A refusal; its name must be one of the table of result codes. */
export const problemDetailsSchema = z.object({
  name: z.custom<ResultCodeName>((name) => RESULT_CODES.some((row) => row.name === name)),
  detail: z.string(),
});
