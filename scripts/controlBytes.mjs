/** Prints the bytes of control frames on a link at several sizes; slopes for docs/CAPACITY.md. */
import { encodeFrame } from '@galenatiller/node';

const report = (index) => ({
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

const bytesOf = (frame) => encodeFrame(frame).unwrapOr(Buffer.alloc(0)).length;

[1, 2, 4, 8].forEach((count) => {
  const reports = Array.from({ length: count }, (_, index) => report(index));
  console.log(
    `targets frame, ${count} targets: ${bytesOf({ kind: 'targets', reports, leaving: false })} bytes`,
  );
});
console.log(`ping: ${bytesOf({ kind: 'ping', revision: 1234 })} bytes`);
[0, 10, 100].forEach((count) => {
  const records = Array.from({ length: count }, (_, index) => ({
    fingerprint: `${index}`.padStart(16, '0'),
    targetName: `drafter-${index}`,
    atWallMs: 1_796_000_000_000,
  }));
  console.log(`crashes, ${count} records: ${bytesOf({ kind: 'crashes', records })} bytes`);
});
