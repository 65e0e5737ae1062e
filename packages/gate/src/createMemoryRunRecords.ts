import { Result } from 'true-myth';

import type { RunClaim, RunRecordRepository } from './runRecordRepository.js';

interface MemoryRecord {
  readonly bodyDigest: string;
  readonly claim: RunClaim;
}

/** Run records that last as long as the process; the plain way that measurements compare with. */
export function createMemoryRunRecords(): RunRecordRepository {
  const records = new Map<string, MemoryRecord>();
  return {
    claim: (order) => {
      const key = `${order.organisation}/${order.runKey}`;
      const record = records.get(key);
      if (!record) {
        records.set(key, { bodyDigest: order.bodyDigest, claim: { kind: 'may-have-run' } });
        return Promise.resolve(Result.ok({ kind: 'first' }));
      }
      const reused = record.bodyDigest !== order.bodyDigest;
      return Promise.resolve(Result.ok(reused ? { kind: 'key-reused' } : record.claim));
    },
    recordEnd: (order, end) => {
      const key = `${order.organisation}/${order.runKey}`;
      if (end.outcome === 'not-run') {
        records.delete(key);
      } else if (end.outcome === 'ran') {
        records.set(key, { bodyDigest: order.bodyDigest, claim: { kind: 'answered', end } });
      }
      return Promise.resolve();
    },
    maintain: () => Promise.resolve(),
  };
}
