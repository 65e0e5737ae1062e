import createXxhash from 'xxhash-wasm';

/** Hex digits of a 64-bit hash. */
const HASH_DIGITS = 16;

const { create64, h64 } = await createXxhash();

/** Computes the xxHash64 of a text, in hex. */
export function hashText(text: string): string {
  return toHex(h64(text));
}

/** Computes the xxHash64, in hex, of each prefix that ends where one of the parts ends. */
export function hashPrefixes(parts: readonly string[]): readonly string[] {
  const hasher = create64();
  return parts.map((part) => toHex(hasher.update(part).digest()));
}

function toHex(hash: bigint): string {
  return hash.toString(16).padStart(HASH_DIGITS, '0');
}
