import type { GalenatillerError } from '@galenatiller/error';
import type { Configuration, Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { parseShardKey } from './configurationKeys.js';
import type {
  ConfigurationHead,
  LoadedShard,
  RevisionDelta,
  RevisionManifest,
  ShardReader,
  ShardReference,
} from './headTypes.js';
import { indexRules } from './indexRules.js';
import { applyDeltas } from './applyDeltas.js';
import { getRuleName } from './getRuleName.js';
import { loadShardHash, createShard, type ShardHash } from './shardRules.js';

/** Options of {@link ActiveConfiguration.create}. */
export interface ActiveConfigurationOptions {
  /** Called for each revision that becomes active on this node, in increasing order. */
  readonly onConfiguration: (configuration: Configuration) => void;
}

/** Options of {@link ActiveConfiguration.advance}. */
export interface AdvanceOptions {
  /** The head in the store, or what another node offers. */
  readonly manifest: RevisionManifest | ConfigurationHead;
  /** Reads the shards that cannot be derived from the deltas. */
  readonly readShards: ShardReader;
}

/** Whether a revision was activated or was not newer than the active one. */
export type AdvanceResult = 'in-force' | 'not-newer';

type Shards = ReadonlyMap<number, LoadedShard>;

/** The configuration that is active on this node. Its revision never decreases. */
export class ActiveConfiguration {
  private configuration = indexRules({ revision: 0, rules: [] });

  private shards: Shards = new Map();

  private head: ConfigurationHead | undefined;

  private constructor(private readonly opts: ActiveConfigurationOptions) {}

  /** Creates an empty configuration at revision 0. */
  static create(opts: ActiveConfigurationOptions): ActiveConfiguration {
    return new ActiveConfiguration(opts);
  }

  /** The active configuration; its maps are never modified. */
  current(): Configuration {
    return this.configuration;
  }

  /** The head of the active revision; undefined if the revision was adopted from another node. */
  publishedHead(): ConfigurationHead | undefined {
    return this.head;
  }

  /** References to the shards of the active revision, to be offered to other nodes. */
  shardReferences(): readonly ShardReference[] {
    return [...this.shards.values()].map(({ index, key }) => ({ index, key }));
  }

  /** A shard of the active revision; undefined if it has been replaced. */
  findShard(reference: ShardReference): LoadedShard | undefined {
    const shard = this.shards.get(reference.index);
    return shard?.key === reference.key ? shard : undefined;
  }

  /** Activates a newer revision, using its deltas or else reading the changed shards. */
  async advance(opts: AdvanceOptions): Promise<Result<AdvanceResult, GalenatillerError>> {
    const { manifest } = opts;
    if (manifest.revision <= this.configuration.revision) {
      return Result.ok('not-newer');
    }
    const patchedShards = await this.applyDeltas(manifest);
    const missingShards = manifest.shards.filter(
      ({ index, key }) => patchedShards.get(index)?.key !== key,
    );
    const loadedShards = await readMissing(missingShards, opts.readShards);
    if (loadedShards.isErr) {
      return Result.err(loadedShards.error);
    }
    const shardsByIndex = new Map([...patchedShards, ...indexShards(loadedShards.value)]);
    return Result.ok(this.activate(manifest, shardsByIndex));
  }

  private async applyDeltas(manifest: RevisionManifest): Promise<Shards> {
    const { shards } = this;
    const { revision } = this.configuration;
    const deltas = manifest.deltas.filter((delta) => delta.revision > revision);
    if (deltas.length === 0 || deltas[0]?.revision !== revision + 1) {
      return shards;
    }
    const getShardIndex = await loadShardHash();
    const keys = new Map(manifest.shards.map(({ index, key }) => [index, key]));
    const changedIndexes = new Set(
      deltas.flatMap((delta) => listChangedShards(delta, getShardIndex)),
    );
    const changed = [...changedIndexes].flatMap((index) => {
      const key = keys.get(index) ?? '';
      const rules = applyDeltasToShard({
        rules: shards.get(index)?.rules ?? [],
        index,
        deltas,
        getShardIndex,
      });
      const shard = createShard(index, rules);
      // The digest in the key verifies that the deltas produced exactly the published shard.
      return parseShardKey(key).digest === shard.digest ? [{ index, key, rules: shard.rules }] : [];
    });
    return new Map([...shards, ...indexShards(changed)]);
  }

  private activate(manifest: AdvanceOptions['manifest'], shards: Shards): AdvanceResult {
    // Another revision may have been activated while shards were being read.
    if (manifest.revision <= this.configuration.revision) {
      return 'not-newer';
    }
    this.shards = shards;
    this.head = isHead(manifest) ? manifest : undefined;
    const rules = [...shards.values()].flatMap((shard) => shard.rules);
    this.configuration = indexRules({ revision: manifest.revision, rules });
    this.opts.onConfiguration(this.configuration);
    return 'in-force';
  }
}

function isHead(manifest: RevisionManifest | ConfigurationHead): manifest is ConfigurationHead {
  return 'changeId' in manifest;
}

function readMissing(
  missingShards: readonly ShardReference[],
  readShards: ShardReader,
): ReturnType<ShardReader> {
  return missingShards.length === 0 ? Promise.resolve(Result.ok([])) : readShards(missingShards);
}

function indexShards(shards: readonly LoadedShard[]): Shards {
  return new Map(shards.map((shard) => [shard.index, shard]));
}

function listChangedShards(delta: RevisionDelta, getShardIndex: ShardHash): readonly number[] {
  return [...delta.changed.map(getRuleName), ...delta.removed].map(getShardIndex);
}

interface ApplyDeltasOptions {
  readonly rules: readonly Rule[];
  readonly index: number;
  readonly deltas: readonly RevisionDelta[];
  readonly getShardIndex: ShardHash;
}

function applyDeltasToShard({
  rules,
  index,
  deltas,
  getShardIndex,
}: ApplyDeltasOptions): readonly Rule[] {
  const ownDeltas = deltas.map(({ removed, changed }) => ({
    removed: removed.filter((name) => getShardIndex(name) === index),
    changed: changed.filter((rule) => getShardIndex(getRuleName(rule)) === index),
  }));
  return applyDeltas(rules, ownDeltas);
}
