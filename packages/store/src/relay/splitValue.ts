/** Splits values where their content says so, so that a change moves no boundary behind it. */
import { createHash } from 'node:crypto';

/** Size from which on a value is passed on in parts. */
export const MIN_SPLIT_BYTES = 16_384;

/** Largest part. */
export const MAX_PART_BYTES = 16_384;

const MIN_PART_BYTES = 1_024;

/** Bytes after which a boundary comes on average, beyond the smallest part. */
const MEAN_BYTES = 4_096;

/** A boundary is where the rolling hash, a signed 32-bit number, is from 0 up to this. */
const BOUNDARY_LIMIT = 2 ** 32 / MEAN_BYTES;

/** A fixed random number for each byte, the same in every process. */
const BYTE_HASHES = Int32Array.from({ length: 256 }, (_, byte) =>
  createHash('sha256').update(String(byte)).digest().readInt32LE(),
);

/** Splits a value into parts of 1 to 16 KB; equal content is mostly split alike, wherever it stands. */
export function splitValue(value: Buffer): readonly Buffer[] {
  const parts: Buffer[] = [];
  for (let from = 0; from < value.length;) {
    const to = findBoundary(value, from);
    parts.push(value.subarray(from, to));
    from = to;
  }
  return parts;
}

function findBoundary(value: Buffer, from: number): number {
  const end = Math.min(value.length, from + MAX_PART_BYTES);
  let hash = 0;
  for (let index = Math.min(end, from + MIN_PART_BYTES); index < end; index += 1) {
    // Doubling shifts each byte out after 32 more, so that a boundary depends on the bytes before it only.
    hash = Math.imul(hash * 2 + (BYTE_HASHES[value[index] ?? 0] ?? 0), 1);
    if (hash >= 0 && hash < BOUNDARY_LIMIT) {
      return index + 1;
    }
  }
  return end;
}
