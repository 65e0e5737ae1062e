import type { Rule } from '@galenatiller/types';

/** Availability zone of each simulated host. */
export const AVAILABILITY_ZONES: readonly string[] = ['east-a', 'east-b', 'west-a'];

/** Number of tokens of a draft. */
export const DRAFT_TOKENS = 20;

const askedBy = 'simulation';

/** Creates the rules of the simulation, with some zones taken out. */
export function createRules(zonesOut: readonly string[]): readonly Rule[] {
  const stage = { kind: 'stage', maxTokens: DRAFT_TOKENS, askedBy } as const;
  const route = { kind: 'route', deadlineMs: 5_000, priority: 'interactive', askedBy } as const;
  return [
    { kind: 'organisation', name: 'booking-desk', keyHashes: [], weight: 1, askedBy },
    { ...stage, name: 'draft', work: 'generate', targetGroup: 'drafter', idempotent: true },
    { ...stage, name: 'reserve', work: 'call', targetGroup: 'booking', idempotent: false },
    { ...stage, name: 'look-up', work: 'call', targetGroup: 'booking', idempotent: true },
    { ...route, name: 'draft', stages: ['draft'] },
    { ...route, name: 'reserve', stages: ['reserve'] },
    { ...route, name: 'look-up', stages: ['look-up'] },
    ...AVAILABILITY_ZONES.map((name): Rule => ({
      kind: 'zone',
      name,
      state: zonesOut.includes(name) ? 'out' : 'in',
      askedBy,
    })),
  ];
}
