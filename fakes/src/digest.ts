import { createHash } from 'node:crypto';

/** Hex SHA-256 digest of a text. */
export function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
