/** Options of {@link nearestName}. */
export interface NearestNameOptions {
  readonly name: string;
  readonly known: readonly string[];
}

/** Longest name that is compared; longer ones are no slips of the pen. */
const MAX_COMPARED_LENGTH = 64;
const MAX_SHARE_OF_EDITS = 0.4;

/** The known name with the fewest edits from a name; empty when none is near. */
export function nearestName(opts: NearestNameOptions): string {
  if (opts.name.length > MAX_COMPARED_LENGTH) {
    return '';
  }
  const ranked = opts.known
    .map((known) => ({ known, edits: editDistance(opts.name, known) }))
    .filter(({ known, edits }) => edits <= known.length * MAX_SHARE_OF_EDITS)
    .sort((left, right) => left.edits - right.edits);
  return ranked[0]?.known ?? '';
}

/** Levenshtein distance: insertions, deletions and replacements. */
function editDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, column) => column);
  for (let line = 1; line <= left.length; line += 1) {
    const next = [line];
    for (let column = 1; column <= right.length; column += 1) {
      const replaced = (row[column - 1] ?? 0) + (left[line - 1] === right[column - 1] ? 0 : 1);
      next.push(Math.min(replaced, (row[column] ?? 0) + 1, (next[column - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[right.length] ?? 0;
}
