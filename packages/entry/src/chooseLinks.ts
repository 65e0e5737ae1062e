import { createHash } from 'node:crypto';

/** A gate that an entry can keep a link to. */
export interface LinkCandidate {
  readonly gateName: string;
  /** Target groups served by the gate; empty until its first report. */
  readonly targetGroups: readonly string[];
}

/** Options of {@link chooseLinks}. */
export interface ChooseLinksOptions {
  readonly entryName: string;
  readonly gates: readonly LinkCandidate[];
  /** Maximum number of gates per target group. */
  readonly linksPerGroup: number;
}

/**
 * Chooses the gates that an entry keeps links to by rendezvous hashing: for each group, the gates
 * with the highest weight. This spreads entries evenly, and a change in the set of gates moves few
 * links. Gates whose groups are not known yet are always chosen, so that they report them.
 */
export function chooseLinks(opts: ChooseLinksOptions): ReadonlySet<string> {
  const groups = new Set(opts.gates.flatMap((gate) => gate.targetGroups));
  const gatesWithoutGroups = opts.gates.filter((gate) => gate.targetGroups.length === 0);
  const chosen = [...groups].flatMap((group) => chooseHighestWeighted(opts, group));
  return new Set([...gatesWithoutGroups, ...chosen].map((gate) => gate.gateName));
}

function chooseHighestWeighted(opts: ChooseLinksOptions, group: string): readonly LinkCandidate[] {
  return opts.gates
    .filter((gate) => gate.targetGroups.includes(group))
    .map((gate) => ({ gate, weight: computeWeight(opts.entryName, gate.gateName) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .slice(0, opts.linksPerGroup)
    .map(({ gate }) => gate);
}

function computeWeight(entryName: string, gateName: string): string {
  return createHash('sha256').update(`${entryName}\n${gateName}`).digest('hex');
}
