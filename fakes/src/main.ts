/** Runs one fake as a process: `node fakes/dist/main.js --kind engine --port 9001`. */
import { once } from 'node:events';

import { systemClock, TimerService } from '@galenatiller/timer';
import { Command, Option } from 'commander';
import { z } from 'zod';

import { createFakeEngine } from './createFakeEngine.js';
import { createFakeHostList } from './createFakeHostList.js';
import { createFakePool } from './createFakePool.js';
import { createFakeService } from './createFakeService.js';
import { createFakeStatsd } from './createFakeStatsd.js';

/** The kinds of fakes that run as a process. */
const KINDS = ['engine', 'pool', 'service', 'hostList', 'statsd'] as const;

type Kind = (typeof KINDS)[number];

/** A fake that runs. */
interface RunningFake {
  readonly url: string;
  readonly close: () => Promise<void>;
}

const optionsSchema = z.object({
  kind: z.enum(KINDS),
  port: z.coerce.number().int(),
  seed: z.coerce.number().int(),
  restartMs: z.coerce.number(),
  baseMs: z.coerce.number(),
  slopeMs: z.coerce.number(),
  capacity: z.coerce.number().int().positive(),
  serviceMs: z.coerce.number(),
  lagMs: z.coerce.number(),
});

type Options = z.infer<typeof optionsSchema>;

const program = new Command('fake')
  .description('Runs a stand-in of one system that galenatiller talks to.')
  .addOption(new Option('--kind <kind>', 'which system').choices(KINDS).makeOptionMandatory())
  .option('--port <port>', 'port on loopback; 0 for any', '0')
  .option('--seed <seed>', 'seed of the random faults', '1')
  .option('--restart-ms <ms>', 'time that a crashed target stays down', '500')
  .option('--base-ms <ms>', 'engine: time between tokens of a batch of one', '5')
  .option('--slope-ms <ms>', 'engine: time that each further request adds', '0.5')
  .option('--capacity <requests>', 'engine, pool, service: most requests at once', '16')
  .option('--service-ms <ms>', 'pool, service: time of one request', '5')
  .option('--lag-ms <ms>', 'host list: time until a change shows', '0')
  .parse();

const options = optionsSchema.parse(program.opts());
const fake = await start(options);
process.stdout.write(`${options.kind} ${fake.url}\n`);
await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
await fake.close();

function start(opts: Options): Promise<RunningFake> {
  const timer = TimerService.create({ clock: systemClock });
  const target = { timer, port: opts.port, seed: opts.seed, restartMs: opts.restartMs };
  const work = { ...target, serviceMs: opts.serviceMs, concurrency: opts.capacity };
  const speed = {
    baseMsPerToken: opts.baseMs,
    slopeMsPerToken: opts.slopeMs,
    capacity: opts.capacity,
  };
  const starters: Readonly<Record<Kind, () => Promise<RunningFake>>> = {
    engine: () => createFakeEngine({ ...target, speed }),
    pool: () => createFakePool(work),
    service: () => createFakeService(work),
    hostList: () => createFakeHostList({ timer, port: opts.port, lagMs: opts.lagMs }),
    statsd: () => createFakeStatsd({ port: opts.port }),
  };
  return starters[opts.kind]();
}
