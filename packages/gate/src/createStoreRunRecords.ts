import type { RunRecords } from '@galenatiller/store';

import type { RunRecordRepository } from './runRecordRepository.js';

/** Run records in the platform's store, which outlast every gate. */
export function createStoreRunRecords(opts: { readonly records: RunRecords }): RunRecordRepository {
  const { records } = opts;
  return {
    claim: ({ organisation, runKey, bodyDigest, requestId }, signal) =>
      records.claim({ organisation, runKey, bodyDigest, requestId, signal }),
    recordEnd: async (order, end) => {
      const { organisation, runKey, bodyDigest } = order;
      // A write that fails is made later by the keeping task.
      await (end.outcome === 'not-run'
        ? records.releaseNotRun({ organisation, runKey })
        : records.complete({ organisation, runKey, bodyDigest, end }));
    },
    maintain: (signal) => records.run({ signal }),
  };
}
