import { renderTable } from '../report/renderTable.js';
import type { ScaleRow } from './measureScale.js';

/** Renders what operations cost at several sizes, for a terminal. */
export function renderScale(rows: readonly ScaleRow[]): string {
  return renderTable(
    ['operation', 'targets', 'routers', 'CPU us', 'visits', 'hashes', 'decodes', 'log characters'],
    [...rows]
      .sort((left, right) => left.operation.localeCompare(right.operation))
      .map((row) => [
        row.operation,
        row.targets,
        row.routers,
        row.cpuUs,
        row.visits,
        row.hashes,
        row.decodes,
        row.logCharacters,
      ]),
  );
}
