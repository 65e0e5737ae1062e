import type { ClaimResult, RunRecord } from './runRecordTypes.js';
import type { StoreEntry } from './storeTypes.js';
import { decodeRunRecord } from './wireRunRecords.js';

/** What a claim of a run results in that has a record already. */
export function toClaimResult(record: RunRecord, bodyDigest: string): ClaimResult {
  if (record.bodyDigest !== bodyDigest) {
    return { kind: 'key-reused' };
  }
  return record.state === 'answered' && record.end
    ? { kind: 'answered', end: record.end }
    : { kind: 'may-have-run' };
}

/** Whether an entry is a record of this claim. */
export function hasClaimId(entry: StoreEntry, claimId: string): boolean {
  return decodeRunRecord(entry.value)
    .map((record) => record.claimId === claimId)
    .unwrapOr(false);
}

/** Whether an entry is a record of this claim, without a result. */
export function isUnfinishedClaim(entry: StoreEntry, claimId: string): boolean {
  return decodeRunRecord(entry.value)
    .map((record) => record.claimId === claimId && record.state === 'claimed')
    .unwrapOr(false);
}
