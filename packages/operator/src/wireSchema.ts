/** Schemas of the messages between operators and nodes. */
import { RESULT_CODES, type ResultCodeName } from '@galenatiller/error';
import type { TimelineEventKind } from '@galenatiller/types';
import { z } from 'zod';

import type { OperatorResponses } from './nodeReport.js';

/** Maximum number of events in one response. */
const MAX_EVENTS = 10_000;

const countSchema = z.number().int().nonnegative();

const targetSchema = z.object({
  name: z.string(),
  kind: z.enum(['engine', 'pool', 'service']),
  group: z.string(),
  version: z.string(),
  state: z.enum(['ready', 'cold', 'down', 'leaving']),
  inFlight: countSchema,
  queued: countSchema,
  inFlightLimit: countSchema,
  runMs: z.number().nonnegative(),
  pausedMs: z.number().nonnegative().optional(),
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
  configurationRevision: countSchema,
  storeReachable: z.boolean(),
  targets: z.array(targetSchema),
  links: z.array(z.object({ peerName: z.string(), state: z.enum(['opening', 'open', 'closed']) })),
  moves: z.array(moveSchema),
  inFlight: countSchema,
  draining: z.boolean(),
});

const eventSchema = z.object({
  stamp: z.object({ wallMs: z.number(), counter: countSchema }),
  nodeName: z.string(),
  // A newer node may send kinds that this release does not know; they are passed through unchanged.
  kind: z.string().transform((kind) => kind as TimelineEventKind),
  requestId: z.string(),
  subject: z.string(),
  detail: z.string(),
});

/** Schema of the response to each kind of request. */
export const RESPONSE_SCHEMAS: {
  readonly [Kind in keyof OperatorResponses]: z.ZodType<OperatorResponses[Kind]>;
} = {
  status: statusSchema,
  timeline: z.object({ events: z.array(eventSchema) }),
  explain: z.object({ requestId: z.string(), events: z.array(eventSchema) }),
};

/** Query parameters of a timeline request. */
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

/** An error response; its name must be in the table of result codes. */
export const problemDetailsSchema = z.object({
  name: z.custom<ResultCodeName>((name) =>
    RESULT_CODES.some((definition) => definition.name === name),
  ),
  detail: z.string(),
});
