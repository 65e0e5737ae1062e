/** Runs one fake as a process, for example `node fakes/dist/main.js --kind engine --port 9001`. */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';

import { systemClock, TimerService } from '@galenatiller/timer';
import { Command, Option } from 'commander';
import { z } from 'zod';

import { createFakeEngine } from './createFakeEngine.js';
import { createFakeHostList } from './createFakeHostList.js';
import { createFakePool } from './createFakePool.js';
import { createFakeService } from './createFakeService.js';
import { createFakeStatsd } from './createFakeStatsd.js';
import type { FakeTargetOptions } from './createFakeTarget.js';
import { createFakeWeightStore } from './createFakeWeightStore.js';
import type { FakeEngineSettings } from './engine/engineSettings.js';
import { createFakeStoreServer } from './store/createFakeStoreServer.js';
import { FakeStore } from './store/fakeStore.js';

/** Kinds of fakes that can run as a process. */
const KINDS = ['engine', 'pool', 'service', 'hostList', 'statsd', 'store', 'weightStore'] as const;

/** What a cold target does with requests above its limit. */
const COLD_OVERLOAD_ACTIONS = ['crash', 'fail', 'refuse'] as const;

type Kind = (typeof KINDS)[number];

/** Handle of a running fake. */
interface RunningFake {
  readonly url: string;
  readonly close: () => Promise<void>;
}

const optionsSchema = z.object({
  kind: z.enum(KINDS),
  port: z.coerce.number().int(),
  seed: z.coerce.number().int(),
  restartMs: z.coerce.number(),
  version: z.string(),
  coldMs: z.coerce.number(),
  coldLimit: z.coerce.number().int(),
  coldSlowFactor: z.coerce.number().positive(),
  coldOverload: z.enum(COLD_OVERLOAD_ACTIONS),
  queueLimit: z.coerce.number().int(),
  cacheBlocks: z.coerce.number().int(),
  prefillMs: z.coerce.number(),
  cacheEventLagMs: z.coerce.number(),
  cacheEventLoss: z.coerce.number(),
  loadLagMs: z.coerce.number(),
  ignoresFencing: z.boolean().default(false),
  poisonMarker: z.string(),
  baseMs: z.coerce.number(),
  slopeMs: z.coerce.number(),
  capacity: z.coerce.number().int().positive(),
  serviceMs: z.coerce.number(),
  callsPerSecond: z.coerce.number().positive(),
  lagMs: z.coerce.number(),
});

type Options = z.infer<typeof optionsSchema>;

const program = new Command('fake')
  .description('Runs a fake of one system that galenatiller talks to.')
  .addOption(new Option('--kind <kind>', 'system to fake').choices(KINDS).makeOptionMandatory())
  .option('--port <port>', 'port on the loopback address; 0 for any free port', '0')
  .option('--seed <seed>', 'seed of the random number generator for faults', '1')
  .option('--restart-ms <ms>', 'target: time until it restarts after a crash', '500')
  .option('--version <version>', 'target: version that it runs', '')
  .option('--cold-ms <ms>', 'target: time that it stays cold after a start', '0')
  .option(
    '--cold-limit <requests>',
    'target: maximum number of concurrent requests while cold',
    '1',
  )
  .option('--cold-slow-factor <factor>', 'target: factor by which it is slower while cold', '1')
  .addOption(
    new Option('--cold-overload <action>', 'target: what it does above the limit while cold')
      .choices(COLD_OVERLOAD_ACTIONS)
      .default('crash'),
  )
  .option('--queue-limit <requests>', 'engine: maximum number of waiting requests', '1000')
  .option('--cache-blocks <blocks>', 'engine: size of the prefix cache in blocks', '4096')
  .option('--prefill-ms <ms>', 'engine: time to compute a block that is not in the cache', '0')
  .option('--cache-event-lag-ms <ms>', 'engine: delay before a cache event is sent', '0')
  .option('--cache-event-loss <share>', 'engine: share of cache events that are never sent', '0')
  .option('--load-lag-ms <ms>', 'engine: interval at which the reported load is sampled', '200')
  .option('--ignores-fencing', 'engine: executes orders with old fencing numbers')
  .option('--poison-marker <text>', 'engine: a prompt that contains this text crashes it', '')
  .option('--base-ms <ms>', 'engine: time per token with one request in the batch', '5')
  .option('--slope-ms <ms>', 'engine: time per token that each further request adds', '0.5')
  .option(
    '--capacity <requests>',
    'engine, pool, service: maximum number of concurrent requests',
    '16',
  )
  .option('--service-ms <ms>', 'pool, service: time to process a request', '5')
  .option('--calls-per-second <calls>', 'weight store: maximum number of calls per second', '10')
  .option('--lag-ms <ms>', 'host list: delay before a change is visible', '0')
  .parse();

const options = optionsSchema.parse(program.opts());
const fake = await start(options);
process.stdout.write(`${options.kind} ${fake.url}\n`);
await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
await fake.close();

function start(opts: Options): Promise<RunningFake> {
  const timer = TimerService.create({ clock: systemClock });
  const targetOptions = {
    timer,
    port: opts.port,
    seed: opts.seed,
    restartMs: opts.restartMs,
    version: opts.version,
    cold: {
      coldMs: opts.coldMs,
      coldLimit: opts.coldLimit,
      overload: opts.coldOverload,
      slowFactor: opts.coldSlowFactor,
    },
  };
  const workOptions = { ...targetOptions, serviceMs: opts.serviceMs, concurrency: opts.capacity };
  const starters: Readonly<Record<Kind, () => Promise<RunningFake>>> = {
    engine: () => createFakeEngine({ ...targetOptions, ...createEngineSettings(opts) }),
    pool: () => createFakePool(workOptions),
    service: () => createFakeService(workOptions),
    hostList: () => createFakeHostList({ timer, port: opts.port, lagMs: opts.lagMs }),
    statsd: () => createFakeStatsd({ port: opts.port }),
    store: () => startStore({ timer, port: opts.port }),
    weightStore: () =>
      createFakeWeightStore({ timer, port: opts.port, callsPerSecond: opts.callsPerSecond }),
  };
  return starters[opts.kind]();
}

async function startStore(opts: {
  readonly timer: TimerService;
  readonly port: number;
}): Promise<RunningFake> {
  const server = createFakeStoreServer({ store: FakeStore.create({ timer: opts.timer }) });
  server.listen(opts.port, '127.0.0.1');
  await once(server, 'listening');
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: async () => {
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    },
  };
}

function createEngineSettings(opts: Options): Omit<FakeEngineSettings, keyof FakeTargetOptions> {
  return {
    speed: {
      baseMsPerToken: opts.baseMs,
      slopeMsPerToken: opts.slopeMs,
      capacity: opts.capacity,
    },
    queueLimit: opts.queueLimit,
    cacheBlocks: opts.cacheBlocks,
    prefillMsPerBlock: opts.prefillMs,
    cacheEventLagMs: opts.cacheEventLagMs,
    cacheEventLossShare: opts.cacheEventLoss,
    loadLagMs: opts.loadLagMs,
    checksFencing: !opts.ignoresFencing,
    poisonMarker: opts.poisonMarker,
  };
}
