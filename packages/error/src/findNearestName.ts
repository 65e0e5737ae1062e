/** Options of {@link findNearestName}. */
export interface FindNearestNameOptions {
  readonly found: string;
  readonly names: Iterable<string>;
}

/** A name may differ from the nearest one by a half of its letters. */
const LETTERS_PER_EDIT = 2;

/** Longer words are no slips of the pen. */
const MAX_COMPARED_LENGTH = 64;

/** The known name that is nearest to a misspelt one; empty when none is near. */
export function findNearestName(opts: FindNearestNameOptions): string {
  if (opts.found.length > MAX_COMPARED_LENGTH) {
    return '';
  }
  let nearest = '';
  let leastEdits = Math.floor(opts.found.length / LETTERS_PER_EDIT) + 1;
  for (const name of opts.names) {
    // The length alone rules out most names of a large file.
    if (Math.abs(name.length - opts.found.length) < leastEdits) {
      const edits = countEdits(opts.found, name);
      if (edits < leastEdits) {
        nearest = name;
        leastEdits = edits;
      }
    }
  }
  return nearest;
}

/** Levenshtein distance. */
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
