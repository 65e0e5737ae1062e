/** Inserts work into a sorted list, after what compares as equal. */
export function insertSorted<Work>(
  works: Work[],
  work: Work,
  compare: (left: Work, right: Work) => number,
): void {
  let low = 0;
  let high = works.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const other = works[middle];
    if (other !== undefined && compare(other, work) <= 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  works.splice(low, 0, work);
}
