import { createHash } from 'node:crypto';

/** Computes the SHA-256 digest of a text, in hex. */
export function computeSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
