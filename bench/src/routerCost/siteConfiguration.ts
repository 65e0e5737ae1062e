/** The configuration and the workers of the site whose routers are measured. */
import type { FakeLoadWorkerOptions } from '@galenatiller/fakes';

/** Key of the callers. */
export const BEARER_KEY = 'example-key-lautoka-floor';

/** Events of a stream. */
export const EVENTS = 10;

const ROUTE_TIMEOUT_MS = 3_000;
const STAGE_BATCH_MS = 40;
const STAGES = ['embed', 'retrieve'];

function createWorkers(
  service: string,
  count: number,
  figures: Pick<FakeLoadWorkerOptions, 'processingMs' | 'events' | 'gapMs'>,
): readonly FakeLoadWorkerOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${service}-${index}`,
    service,
    ...figures,
  }));
}

/** Workers of the site. */
export const WORKERS: readonly FakeLoadWorkerOptions[] = [
  ...createWorkers('shop', 4, { processingMs: 20, events: 0, gapMs: 0 }),
  ...createWorkers('model', 4, { processingMs: 30, events: EVENTS, gapMs: 20 }),
  ...STAGES.flatMap((service) =>
    createWorkers(service, 2, { processingMs: STAGE_BATCH_MS, events: 0, gapMs: 0 }),
  ),
];

/** Creates the operator's configuration. */
export function createSiteConfiguration(): object {
  const common = {
    host: '127.0.0.1',
    timeout_ms: ROUTE_TIMEOUT_MS,
    target_latency_ms: 1_000,
    max_attempts: 2,
  };
  const pieces = { batch: 8, call_ms: STAGE_BATCH_MS, item_ms: 1, room_mb: 200, handle_s: 4 };
  return {
    version: 1,
    routes: [
      { ...common, name: 'plain', prefix: '/plain/', kind: 'idempotent', service: 'shop' },
      { ...common, name: 'stream', prefix: '/stream/', kind: 'streaming', service: 'model' },
      {
        ...common,
        name: 'staged',
        prefix: '/staged/',
        kind: 'idempotent',
        service: 'shop',
        stages: [
          { service: 'embed', after: [], bytes: 8_000 },
          { service: 'retrieve', after: [0], bytes: 60_000 },
        ],
      },
    ],
    services: [
      { name: 'shop', cold_per_s: 0 },
      { name: 'model', cold_per_s: 0 },
      ...STAGES.map((name) => ({ name, pieces })),
    ],
    tenants: [{ name: 'organisation', api_keys: [BEARER_KEY] }],
  };
}
