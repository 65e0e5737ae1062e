import { createHash } from 'node:crypto';

/** A gate that an entry may keep a link to. */
export interface LinkCandidate {
  readonly gateName: string;
  /** Target groups behind the gate; empty until its first report. */
  readonly groups: readonly string[];
}

/** Options of {@link chooseLinks}. */
export interface ChooseLinksOptions {
  readonly entryName: string;
  readonly gates: readonly LinkCandidate[];
  /** Most gates of one target group. */
  readonly linksPerGroup: number;
}

/**
 * Chooses the gates that an entry keeps links to: of each group those with the highest rendezvous
 * weight, so that entries spread evenly and a changed fleet moves few links. A gate whose groups
 * are unknown is linked to once, to learn them.
 */
export function chooseLinks(opts: ChooseLinksOptions): ReadonlySet<string> {
  const groups = new Set(opts.gates.flatMap((gate) => gate.groups));
  const unknown = opts.gates.filter((gate) => gate.groups.length === 0);
  const chosen = [...groups].flatMap((group) => highest(opts, group));
  return new Set([...unknown, ...chosen].map((gate) => gate.gateName));
}

function highest(opts: ChooseLinksOptions, group: string): readonly LinkCandidate[] {
  return opts.gates
    .filter((gate) => gate.groups.includes(group))
    .map((gate) => ({ gate, weight: weightOf(opts.entryName, gate.gateName) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .slice(0, opts.linksPerGroup)
    .map(({ gate }) => gate);
}

function weightOf(entryName: string, gateName: string): string {
  return createHash('sha256').update(`${entryName}\n${gateName}`).digest('hex');
}
