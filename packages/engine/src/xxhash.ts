import createXxhash from 'xxhash-wasm';

/** Digits of a 64-bit hash in hex. */
const HASH_DIGITS = 16;

const { create64, h64 } = await createXxhash();

/** Hex xxhash64 of a text. */
export function hashText(text: string): string {
  return toHex(h64(text));
}

/** Hex xxhash64 of each prefix that ends where one of the parts ends. */
export function hashPrefixes(parts: readonly string[]): readonly string[] {
  const hasher = create64();
  return parts.map((part) => toHex(hasher.update(part).digest()));
}

function toHex(hash: bigint): string {
  return hash.toString(16).padStart(HASH_DIGITS, '0');
}
