import type { RunRecords } from '@galenatiller/store';

import type { RunRecordRepository } from './runRecordRepository.js';

/** Creates run records that are kept in the platform's store and survive gate restarts. */
export function createStoreRunRecords(opts: { readonly records: RunRecords }): RunRecordRepository {
  const { records } = opts;
  return {
    claim: ({ organisation, runKey, bodyDigest, requestId }, signal) =>
      records.claim({ organisation, runKey, bodyDigest, requestId, signal }),
    recordEnd: async (request, end) => {
      const { organisation, runKey, bodyDigest } = request;
      // The maintenance task repeats failed writes.
      await (end.outcome === 'not-run'
        ? records.releaseNotRun({ organisation, runKey })
        : records.complete({ organisation, runKey, bodyDigest, end }));
    },
    maintain: (signal) => records.run({ signal }),
  };
}
