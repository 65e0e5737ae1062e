import type { ConfigurationHead, RevisionDelta } from './headTypes.js';

/** What the head in the store is to the head of a node. */
export type HeadRelation = 'same' | 'earlier' | 'later' | 'branched';

/** Options of {@link compareHeads}. */
export interface CompareHeadsOptions {
  readonly own: ConfigurationHead;
  readonly stored: ConfigurationHead;
}

/**
 * Compares the head in the store to that of a node. They branch when a restore of the store has lost
 * revisions, and others were published with the same numbers since.
 */
export function compareHeads({ own, stored }: CompareHeadsOptions): HeadRelation {
  const common = Math.min(own.revision, stored.revision);
  const ownId = findChangeId(own, common);
  const storedId = findChangeId(stored, common);
  if (ownId !== undefined && storedId !== undefined && ownId !== storedId) {
    return 'branched';
  }
  if (own.revision === stored.revision) {
    return 'same';
  }
  return stored.revision < own.revision ? 'earlier' : 'later';
}

/** The deltas of the stored head that the head of a node doesn't include. */
export function listBranchDeltas({ own, stored }: CompareHeadsOptions): readonly RevisionDelta[] {
  const ownIds = new Set([own.changeId, ...own.deltas.map(({ changeId }) => changeId)]);
  return stored.deltas.filter(({ changeId }) => !ownIds.has(changeId));
}

/** The change id of a revision; undefined if its delta was trimmed. */
function findChangeId(head: ConfigurationHead, revision: number): string | undefined {
  return [head, ...head.deltas].find((view) => view.revision === revision)?.changeId;
}
