/** Options of {@link findNearestName}. */
export interface FindNearestNameOptions {
  readonly found: string;
  readonly names: Iterable<string>;
}

/** At most one edit is allowed for each pair of letters. */
const LETTERS_PER_EDIT = 2;

/** Longer words are not compared: they are unlikely to be typos. */
const MAX_COMPARED_LENGTH = 64;

/**
 * Finds the known name with the smallest edit distance to a misspelt one; empty when none is close.
 */
export function findNearestName(opts: FindNearestNameOptions): string {
  if (opts.found.length > MAX_COMPARED_LENGTH) {
    return '';
  }
  let nearest = '';
  let fewestEdits = Math.floor(opts.found.length / LETTERS_PER_EDIT) + 1;
  for (const name of opts.names) {
    // Cheap lower bound of the distance: the difference in length rules out most names.
    if (Math.abs(name.length - opts.found.length) < fewestEdits) {
      const edits = countEdits(opts.found, name);
      if (edits < fewestEdits) {
        nearest = name;
        fewestEdits = edits;
      }
    }
  }
  return nearest;
}

/** Computes the Levenshtein distance. */
function countEdits(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const replaced = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1);
      const added = (current[column - 1] ?? 0) + 1;
      const removed = (previous[column] ?? 0) + 1;
      current.push(Math.min(replaced, added, removed));
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}
