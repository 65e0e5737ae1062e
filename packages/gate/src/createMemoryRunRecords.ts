import { Result } from 'true-myth';

import type { RunClaim, RunRecordRepository } from './runRecordRepository.js';

interface MemoryRecord {
  readonly bodyDigest: string;
  readonly claim: RunClaim;
}

/** Creates run records in process memory, as a baseline for benchmarks. */
export function createMemoryRunRecords(): RunRecordRepository {
  const records = new Map<string, MemoryRecord>();
  return {
    claim: (request) => {
      const key = `${request.organisation}/${request.runKey}`;
      const record = records.get(key);
      if (!record) {
        records.set(key, { bodyDigest: request.bodyDigest, claim: { kind: 'may-have-run' } });
        return Promise.resolve(Result.ok({ kind: 'first' }));
      }
      const isReused = record.bodyDigest !== request.bodyDigest;
      return Promise.resolve(Result.ok(isReused ? { kind: 'key-reused' } : record.claim));
    },
    recordEnd: (request, end) => {
      const key = `${request.organisation}/${request.runKey}`;
      if (end.outcome === 'not-run') {
        records.delete(key);
      } else if (end.outcome === 'ran') {
        records.set(key, { bodyDigest: request.bodyDigest, claim: { kind: 'answered', end } });
      }
      return Promise.resolve();
    },
    maintain: () => Promise.resolve(),
  };
}
