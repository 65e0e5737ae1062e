import type { RevisionDelta } from './headTypes.js';
import { encodeRule } from './wire.js';

/** Most deltas in a head. */
const MAX_DELTAS = 16;

/** Most characters of deltas in a head, which every node gets with each change. */
const MAX_DELTA_CHARS = 32_768;

/** Keeps the newest deltas that fit; a node that needs an older one reads the changed shards. */
export function trimDeltas(deltas: readonly RevisionDelta[]): readonly RevisionDelta[] {
  const newestFirst = deltas.slice(-MAX_DELTAS).reverse();
  let chars = 0;
  const kept = newestFirst.map((delta) => {
    chars += sizeOf(delta);
    return { delta, fits: chars <= MAX_DELTA_CHARS };
  });
  return kept
    .filter(({ fits }) => fits)
    .map(({ delta }) => delta)
    .reverse();
}

function sizeOf(delta: RevisionDelta): number {
  const changed = delta.changed.reduce((chars, rule) => chars + encodeRule(rule).length, 0);
  return changed + delta.removed.reduce((chars, { name }) => chars + name.length, 0);
}
