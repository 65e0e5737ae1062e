import { createHash } from 'node:crypto';

import { splitValue } from './splitValue.js';
import type { ValueOutline } from './relayTypes.js';

/** Bytes of the digest of a part, enough to tell the parts of a fleet's values apart. */
const PART_DIGEST_BYTES = 16;

/** A large value, its outline and its parts by their digest. */
export interface OutlinedValue {
  readonly outline: ValueOutline;
  readonly parts: ReadonlyMap<string, Buffer>;
}

/** Outlines a value. */
export function outlineValue(value: Buffer): OutlinedValue {
  const split = splitValue(value).map((part) => ({ part, digest: digestPart(part) }));
  return {
    outline: {
      digest: digestValue(value),
      parts: Buffer.concat(split.map(({ digest }) => Buffer.from(digest, 'hex'))),
    },
    parts: new Map(split.map(({ part, digest }) => [digest, part])),
  };
}

/** The digests of the parts of a value, in their order. */
export function listPartDigests({ parts }: Pick<ValueOutline, 'parts'>): readonly string[] {
  return Array.from({ length: Math.floor(parts.length / PART_DIGEST_BYTES) }, (_, index) =>
    parts.toString('hex', index * PART_DIGEST_BYTES, (index + 1) * PART_DIGEST_BYTES),
  );
}

/** The digest by which a part is asked for, as a hexadecimal text. */
export function digestPart(part: Buffer): string {
  return createHash('sha256')
    .update(part)
    .digest('hex')
    .slice(0, 2 * PART_DIGEST_BYTES);
}

/** The digest of a whole value. */
export function digestValue(value: Buffer): Buffer {
  return createHash('sha256').update(value).digest();
}
