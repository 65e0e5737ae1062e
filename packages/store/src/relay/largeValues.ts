import { deflateRawSync } from 'node:zlib';

import type { PrefixEntry } from '../prefixSource.js';
import { type OutlinedValue, outlineValue } from './outlinedValue.js';
import type { RelayedEntry } from './relayTypes.js';
import { MIN_SPLIT_BYTES } from './splitValue.js';

/** Versions of an entry whose parts are kept: others may still be reading the last but one. */
const KEPT_VERSIONS = 2;

/** Compressed parts in one response; more would keep the link from its other frames. */
const MAX_PARTS_BYTES = 65_536;

/** Fast compression, since the node that relays has other work. */
const COMPRESSION_LEVEL = 1;

interface KeptVersion extends OutlinedValue {
  readonly value: Buffer;
}

/** The large values under a prefix that a node passes on in parts. */
export class LargeValues {
  private readonly versions = new Map<string, readonly KeptVersion[]>();

  private compressed = new Map<string, Buffer>();

  private constructor() {}

  /** Creates an instance without values. */
  static create(): LargeValues {
    return new LargeValues();
  }

  /** An entry as it is passed on: large values are outlined, and their parts kept. */
  outline(entry: PrefixEntry): RelayedEntry {
    const { key, revision, value } = entry;
    if (value.length < MIN_SPLIT_BYTES) {
      return entry;
    }
    const kept = this.versions.get(key) ?? [];
    const known = kept.find((version) => version.value === value);
    const version = known ?? { ...outlineValue(value), value };
    if (!known) {
      this.versions.set(key, [version, ...kept].slice(0, KEPT_VERSIONS));
    }
    return { key, revision, outline: version.outline };
  }

  /** Forgets the values of keys that are gone. */
  retain(hasKey: (key: string) => boolean): void {
    [...this.versions.keys()]
      .filter((key) => !hasKey(key))
      .forEach((key) => this.versions.delete(key));
  }

  /** The first of the given parts that fit into a response, compressed; empty if the first is not known. */
  findParts(digests: readonly string[]): readonly Buffer[] {
    const found: Buffer[] = [];
    let bytes = 0;
    for (const digest of digests) {
      const part = this.compress(digest);
      if (!part || (found.length > 0 && bytes + part.length > MAX_PARTS_BYTES)) {
        break;
      }
      bytes += part.length;
      found.push(part);
    }
    this.forgetCompressed();
    return found;
  }

  private compress(digest: string): Buffer | undefined {
    const known = this.compressed.get(digest);
    const part = known ? undefined : this.findPart(digest);
    if (!part) {
      return known;
    }
    // eslint-disable-next-line n/no-sync -- takes less time than to hand 16 KB to another thread
    const compressed = deflateRawSync(part, { level: COMPRESSION_LEVEL });
    this.compressed.set(digest, compressed);
    return compressed;
  }

  private findPart(digest: string): Buffer | undefined {
    return this.listVersions()
      .find(({ parts }) => parts.has(digest))
      ?.parts.get(digest);
  }

  /** Forgets compressed parts of versions that are no longer kept, once they are the larger share. */
  private forgetCompressed(): void {
    const kept = this.listVersions();
    const keptParts = kept.reduce((sum, { parts }) => sum + parts.size, 0);
    if (this.compressed.size > 2 * keptParts) {
      this.compressed = new Map(
        [...this.compressed].filter(([digest]) => kept.some(({ parts }) => parts.has(digest))),
      );
    }
  }

  private listVersions(): readonly KeptVersion[] {
    return [...this.versions.values()].flat();
  }
}
