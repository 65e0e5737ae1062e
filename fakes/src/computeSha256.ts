import { createHash } from 'node:crypto';

/** Hex SHA-256 digest of a text. */
export function computeSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
