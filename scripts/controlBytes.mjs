/** Prints the encoded size of control frames of several lengths; gives the slopes in docs/CAPACITY.md. */
import { encodeFrame } from '@galenatiller/node';

const createReport = (index) => ({
  name: `drafter-${index}`,
  kind: 'engine',
  group: 'drafter',
  version: 'v1',
  state: 'ready',
  inFlight: 8,
  queued: 12,
  inFlightLimit: 16,
  runMs: 1234.5678,
  prefixHashes: [],
});

const countBytes = (frame) => encodeFrame(frame).unwrapOr(Buffer.alloc(0)).length;

[1, 2, 4, 8].forEach((count) => {
  const reports = Array.from({ length: count }, (_, index) => createReport(index));
  console.log(
    `targets frame, ${count} targets: ${countBytes({ kind: 'targets', reports, leaving: false })} bytes`,
  );
});
console.log(`ping: ${countBytes({ kind: 'ping', revision: 1234 })} bytes`);
[0, 10, 100].forEach((count) => {
  const records = Array.from({ length: count }, (_, index) => ({
    fingerprint: `${index}`.padStart(16, '0'),
    targetName: `drafter-${index}`,
    atWallMs: 1_796_000_000_000,
  }));
  const frame = { kind: 'crashes', records, evidence: [] };
  console.log(`crashes, ${count} records: ${countBytes(frame)} bytes`);
  const evidence = Array.from({ length: count }, (_, index) => ({
    kind: 'crashed',
    fingerprint: `draft ${`${index}`.padStart(16, '0')}`,
    targetStart: `drafter-${index} start-1`,
    agoMs: 1.5,
  }));
  const evidenceFrame = { kind: 'crashes', records: [], evidence };
  console.log(`crashes, ${count} items of evidence: ${countBytes(evidenceFrame)} bytes`);
});
