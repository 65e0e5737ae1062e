/** Sums the CPU profile of a router by the part of the program that its time belongs to. */
import { readFile } from 'node:fs/promises';
import { SourceMap, type SourceMapPayload } from 'node:module';

import { z } from 'zod';

/** A period of a profile, in microseconds of the monotonic clock. */
export interface ProfilePeriod {
  readonly fromUs: number;
  readonly untilUs: number;
}

/** CPU time in milliseconds, by part. */
export type PartTimes = ReadonlyMap<string, number>;

/** Options of {@link sumProfile}. */
export interface SumProfileOptions {
  readonly profileFile: string;
  /** Program that ran; the source map of its bundle lies beside it. */
  readonly program: string;
  readonly periods: readonly ProfilePeriod[];
  /** Whether the time goes to single functions instead of parts. */
  readonly byFunction: boolean;
}

const profileSchema = z.object({
  nodes: z.array(
    z.object({
      id: z.number(),
      children: z.array(z.number()).optional(),
      callFrame: z.object({
        functionName: z.string(),
        url: z.string(),
        lineNumber: z.number(),
        columnNumber: z.number(),
      }),
    }),
  ),
  startTime: z.number(),
  samples: z.array(z.number()),
  timeDeltas: z.array(z.number()),
});

type Profile = z.infer<typeof profileSchema>;
type CallFrame = Profile['nodes'][number]['callFrame'];

/**
 * Parts that own the time of all that they call, such as a library or the runtime. The first pattern that
 * matches the nearest frame counts.
 */
const OWNERS: readonly (readonly [RegExp, string])[] = [
  [/packages\/(logger)\/|node_modules\/(pino|sonic-boom|thread-stream)\//, 'logs'],
  [/packages\/metrics\/|node_modules\/prom-client\//, 'metrics'],
  [/packages\/store\/src\/relay\//, 'store relays'],
  [/packages\/store\/|platform\/src\/platformStoreClient/, 'store'],
  [/packages\/(routerLink|framing)\/|node_modules\/cbor-x\//, 'links'],
  [/packages\/(pool|scheduling)\/|router\/src\/(ownership\/|stage)/, 'stage orders'],
  [/packages\/target\//, 'choice of targets'],
  [/packages\/caller\/|platform\/src\/(serveCallers|callerExchange|wireCalls)/, 'callers'],
  [/packages\/http\/|platform\/src\/targetClient/, 'requests to targets'],
  [/packages\/router\/|platform\/src\//, 'calls'],
];

/** Parts of frames that no owner has called, by the place of the frame itself. */
const REST: readonly (readonly [RegExp, string])[] = [
  [/^\(garbage collector\)$/, 'garbage collection'],
  [/^\(program\)$/, 'runtime outside JavaScript'],
  [/node_modules\/undici\//, 'parsing: HTTP client'],
  [/node:_http|node:internal\/http/, 'parsing: HTTP server'],
  [/node:(net|internal\/stream|internal\/streams|stream)/, 'sockets and streams'],
  [/node:internal\/(timers|process)|node:timers/, 'timers and tasks'],
  [/node:internal\/(abort|event_target)|node:events/, 'events and signals'],
  [/node:internal\/(modules|vm|bootstrap|url|source_map)/, 'loading of modules'],
];

/** Sums the time of a profile in some periods. */
export async function sumProfile(opts: SumProfileOptions): Promise<PartTimes> {
  const profile = profileSchema.parse(JSON.parse(await readFile(opts.profileFile, 'utf8')));
  const mapText = await readFile(opts.program.replace(/\.mjs$/, '.cjs.map'), 'utf8');
  const map = new SourceMap(JSON.parse(mapText) as SourceMapPayload);
  const places = new Map(profile.nodes.map(({ id, callFrame }) => [id, locate(callFrame, map)]));
  const parts = opts.byFunction ? places : findParts(profile, places);
  const times = new Map<string, number>();
  let atUs = profile.startTime;
  profile.samples.forEach((id, index) => {
    // A sample stands for the time until the next one.
    atUs += profile.timeDeltas[index] ?? 0;
    const deltaUs = profile.timeDeltas[index + 1] ?? 0;
    const part = parts.get(id) ?? '';
    const isInside = opts.periods.some(({ fromUs, untilUs }) => atUs >= fromUs && atUs <= untilUs);
    if (isInside && !IDLE.test(part)) {
      times.set(part, (times.get(part) ?? 0) + deltaUs / US_PER_MS);
    }
  });
  return times;
}

const US_PER_MS = 1_000;
const IDLE = /^\((idle|root)\)/;

/** The part that each node of a profile belongs to. */
function findParts(
  profile: Profile,
  places: ReadonlyMap<number, string>,
): ReadonlyMap<number, string> {
  const parents = new Map(
    profile.nodes.flatMap(({ id, children = [] }) => children.map((child) => [child, id] as const)),
  );
  return new Map(
    profile.nodes.map(({ id }) => {
      const place = places.get(id) ?? '';
      for (let node: number | undefined = id; node !== undefined; node = parents.get(node)) {
        const owner = findName(OWNERS, places.get(node) ?? '');
        if (owner !== undefined) {
          return [id, owner];
        }
      }
      return [id, IDLE.test(place) ? place : (findName(REST, place) ?? 'other')];
    }),
  );
}

function findName(
  names: readonly (readonly [RegExp, string])[],
  place: string,
): string | undefined {
  return names.find(([pattern]) => pattern.test(place))?.[1];
}

/** The source file and the function of a frame. */
function locate(
  { functionName, url, lineNumber, columnNumber }: CallFrame,
  map: SourceMap,
): string {
  if (url === '') {
    return functionName;
  }
  const entry = url.endsWith('/router.cjs') ? map.findEntry(lineNumber, columnNumber) : {};
  const file: unknown = 'originalSource' in entry ? entry.originalSource : url;
  return `${String(file).replace(/^(\.\.\/)+/, '')} ${functionName}`;
}
