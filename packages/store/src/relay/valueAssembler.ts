import { inflateRawSync } from 'node:zlib';

import type { PrefixEntry } from '../prefixSource.js';
import { digestPart, digestValue, listPartDigests, outlineValue } from './outlinedValue.js';
import type { OutlinedEntry } from './relayTypes.js';
import { MAX_PART_BYTES, MIN_SPLIT_BYTES } from './splitValue.js';

/** Parts that are asked for at once. */
const MAX_DIGESTS = 64;

/** Asks a node for parts; resolves to the first of them, compressed, or to none. */
export type FetchParts = (digests: readonly string[]) => Promise<readonly Buffer[]>;

/** Puts large values together from the parts that are known and those that another node has. */
export class ValueAssembler {
  /** Parts of the newest value of each key, and those of a newer one that have arrived. */
  private readonly partsByKey = new Map<string, Map<string, Buffer>>();

  /** Newest values that are not split yet. */
  private readonly unsplit = new Map<string, Buffer>();

  private constructor() {}

  /** Creates an assembler that knows no parts. */
  static create(): ValueAssembler {
    return new ValueAssembler();
  }

  /** Takes note of an entry that was read as a whole. */
  note({ key, value }: PrefixEntry): void {
    if (value.length >= MIN_SPLIT_BYTES) {
      this.unsplit.set(key, value);
    }
  }

  /** Completes an entry; undefined if parts of it can't be had. What has arrived is kept for the next try. */
  async complete(
    { key, revision, outline }: OutlinedEntry,
    fetchParts: FetchParts,
  ): Promise<PrefixEntry | undefined> {
    const parts = this.findParts(key);
    const digests = listPartDigests(outline);
    for (;;) {
      const missing = [...new Set(digests)].filter((digest) => !parts.has(digest));
      if (missing.length === 0) {
        break;
      }
      const asked = missing.slice(0, MAX_DIGESTS);
      const fetched = await fetchParts(asked);
      if (fetched.length === 0 || !addParts({ parts, asked, fetched })) {
        return undefined;
      }
    }
    const value = Buffer.concat(digests.flatMap((digest) => parts.get(digest) ?? []));
    if (!digestValue(value).equals(outline.digest)) {
      this.partsByKey.delete(key);
      return undefined;
    }
    const used = new Set(digests);
    [...parts.keys()]
      .filter((digest) => !used.has(digest))
      .forEach((digest) => parts.delete(digest));
    return { key, revision, value };
  }

  private findParts(key: string): Map<string, Buffer> {
    const parts = this.partsByKey.get(key) ?? new Map<string, Buffer>();
    const value = this.unsplit.get(key);
    if (value) {
      outlineValue(value).parts.forEach((part, digest) => parts.set(digest, part));
      this.unsplit.delete(key);
    }
    this.partsByKey.set(key, parts);
    return parts;
  }
}

/** Adds compressed parts; false if one is not what was asked for. */
function addParts(opts: {
  readonly parts: Map<string, Buffer>;
  readonly asked: readonly string[];
  readonly fetched: readonly Buffer[];
}): boolean {
  const { parts, asked, fetched } = opts;
  return fetched.every((compressed, index) => {
    const part = inflatePart(compressed);
    const digest = asked[index];
    if (!part || digest === undefined || digestPart(part) !== digest) {
      return false;
    }
    parts.set(digest, part);
    return true;
  });
}

function inflatePart(compressed: Buffer): Buffer | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- takes less time than to hand 16 KB to another thread
    return inflateRawSync(compressed, { maxOutputLength: MAX_PART_BYTES });
  } catch {
    // Bytes that are not a compressed part are a part that is missing.
    return undefined;
  }
}
