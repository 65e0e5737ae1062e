import type { Rule, StageRule } from '@galenatiller/types';
import fc from 'fast-check';

const NAMES = ['a', 'b-1', 'stage', 'on', 'zone', 'x.y_z', '9'];
const FRAGMENTS = [
  'zone a in # asked by M',
  'stage',
  '=',
  '>',
  ',',
  '#',
  ' ',
  '\n',
  '\r',
  '5%',
  '\u2028',
];

const askedBy = fc
  .string({ unit: 'binary', minLength: 1, maxLength: 12 })
  .map((text) => text.replace(/[\r\n]/g, '').trim())
  .filter((text) => text !== '');
const name = fc.constantFrom(...NAMES);
const count = fc.integer({ min: 1, max: 1_000 });
const keyHash = fc.stringMatching(/^[0-9a-f]{64}$/);

/** A valid set of rules: stages, routes over them, organisations with limits, zones and moves. */
export const validRules: fc.Arbitrary<readonly Rule[]> = fc
  .record({
    askedBy,
    count,
    names: fc.uniqueArray(name, { minLength: 1 }),
    keyHashes: fc.uniqueArray(keyHash, { minLength: NAMES.length, maxLength: NAMES.length }),
    durationMs: fc.integer({ min: 1, max: 600_000 }),
    // The grammar supports times with second precision and shares with two decimals of a percent.
    byWallMs: fc.integer({ min: 0, max: 4_000_000_000 }).map((second) => second * 1_000),
    unprovenShare: fc.integer({ min: 1, max: 10_000 }).map((hundredths) => hundredths / 100 / 100),
    priority: fc.constantFrom('interactive' as const, 'batch' as const),
    state: fc.constantFrom('in' as const, 'out' as const),
    idempotent: fc.boolean(),
  })
  .map(createRules);

/** Arbitrary text, and text built from fragments of rules files. */
export const arbitraryText: fc.Arbitrary<string> = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 80 }),
  fc
    .array(fc.constantFrom(...FRAGMENTS, ...NAMES), { maxLength: 30 })
    .map((fragments) => fragments.join('')),
  fc
    .array(fc.constantFrom(...FRAGMENTS, ...NAMES), { maxLength: 30 })
    .map((fragments) => fragments.join(' ')),
);

interface RuleValues {
  readonly askedBy: string;
  readonly count: number;
  readonly names: readonly string[];
  readonly keyHashes: readonly string[];
  readonly durationMs: number;
  readonly byWallMs: number;
  readonly unprovenShare: number;
  readonly priority: 'interactive' | 'batch';
  readonly state: 'in' | 'out';
  readonly idempotent: boolean;
}

function createRules(values: RuleValues): readonly Rule[] {
  const common = { askedBy: values.askedBy };
  return values.names.flatMap((each, index): readonly Rule[] => {
    const call: StageRule = {
      ...common,
      kind: 'stage',
      name: each,
      work: 'call',
      targetGroup: each,
      idempotent: values.idempotent,
      maxTokens: 0,
    };
    const generate: StageRule = {
      ...call,
      name: `${each}-g`,
      work: 'generate',
      idempotent: true,
      maxTokens: values.count,
    };
    return [
      call,
      generate,
      {
        ...common,
        kind: 'route',
        name: each,
        stages: [generate.name, call.name],
        deadlineMs: values.durationMs,
        priority: values.priority,
      },
      {
        ...common,
        kind: 'organisation',
        name: each,
        keyHashes: [values.keyHashes[index] ?? ''],
        weight: values.count,
      },
      {
        ...common,
        kind: 'limit',
        organisation: each,
        requestsPerSecond: values.count,
        inFlight: values.count,
      },
      { ...common, kind: 'zone', name: each, state: values.state },
      {
        ...common,
        kind: 'move',
        targetGroup: each,
        fromVersion: 'v1',
        toVersion: 'v2',
        byWallMs: values.byWallMs,
        unprovenShare: values.unprovenShare,
      },
    ];
  });
}
