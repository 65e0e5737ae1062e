import type { GalenatillerError } from '@galenatiller/error';
import type { Configuration, Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { parseShardKey } from './configurationKeys.js';
import type {
  LoadedShard,
  RevisionDelta,
  RevisionManifest,
  ShardReader,
  ShardReference,
} from './headTypes.js';
import { indexRules } from './indexRules.js';
import { ruleKey, ruleName } from './ruleName.js';
import { loadShardHash, makeShard, type ShardHash } from './shardRules.js';

/** Options of {@link ActiveConfiguration.create}. */
export interface ActiveConfigurationOptions {
  /** Told of each revision once it is in force on this node, in growing order. */
  readonly onConfiguration: (configuration: Configuration) => void;
}

/** Options of {@link ActiveConfiguration.advance}. */
export interface AdvanceOptions {
  readonly view: RevisionManifest;
  /** Reads the shards that the deltas do not give. */
  readonly readShards: ShardReader;
}

/** Whether a revision came into force or was not newer than the one held. */
export type AdvanceResult = 'in-force' | 'not-newer';

type Shards = ReadonlyMap<number, LoadedShard>;

/** The configuration in force on this node. Its revision never goes down. */
export class ActiveConfiguration {
  private configuration = indexRules({ revision: 0, rules: [] });

  private shards: Shards = new Map();

  private constructor(private readonly opts: ActiveConfigurationOptions) {}

  /** Makes an empty configuration at revision 0. */
  static create(opts: ActiveConfigurationOptions): ActiveConfiguration {
    return new ActiveConfiguration(opts);
  }

  /** The configuration in force; its maps never change. */
  current(): Configuration {
    return this.configuration;
  }

  /** Shards of the revision in force, for nodes that ask for it. */
  shardReferences(): readonly ShardReference[] {
    return [...this.shards.values()].map(({ index, key }) => ({ index, key }));
  }

  /** One shard of the revision in force; undefined when it has been replaced. */
  findShard(reference: ShardReference): LoadedShard | undefined {
    const shard = this.shards.get(reference.index);
    return shard?.key === reference.key ? shard : undefined;
  }

  /** Brings a newer revision into force from its deltas, or from the shards that changed. */
  async advance(opts: AdvanceOptions): Promise<Result<AdvanceResult, GalenatillerError>> {
    const { view } = opts;
    if (view.revision <= this.configuration.revision) {
      return Result.ok('not-newer');
    }
    const known = await this.applyDeltas(view);
    const missing = view.shards.filter(({ index, key }) => known.get(index)?.key !== key);
    const loaded = await readMissing(missing, opts.readShards);
    if (loaded.isErr) {
      return Result.err(loaded.error);
    }
    const byIndex = new Map([...known, ...byShardIndex(loaded.value)]);
    return Result.ok(this.bringIntoForce(view, byIndex));
  }

  private async applyDeltas(view: RevisionManifest): Promise<Shards> {
    const { shards } = this;
    const { revision } = this.configuration;
    const deltas = view.deltas.filter((delta) => delta.revision > revision);
    if (deltas.length === 0 || deltas[0]?.revision !== revision + 1) {
      return shards;
    }
    const shardOf = await loadShardHash();
    const keys = new Map(view.shards.map(({ index, key }) => [index, key]));
    const touched = new Set(deltas.flatMap((delta) => touchedShards(delta, shardOf)));
    const changed = [...touched].flatMap((index) => {
      const key = keys.get(index) ?? '';
      const rules = applyTo({ rules: shards.get(index)?.rules ?? [], index, deltas, shardOf });
      const shard = makeShard(index, rules);
      // The digest in the key proves that the deltas gave the very shard that was published.
      return parseShardKey(key).digest === shard.digest ? [{ index, key, rules: shard.rules }] : [];
    });
    return new Map([...shards, ...byShardIndex(changed)]);
  }

  private bringIntoForce(view: RevisionManifest, shards: Shards): AdvanceResult {
    // Another revision may have come into force while shards were read.
    if (view.revision <= this.configuration.revision) {
      return 'not-newer';
    }
    this.shards = shards;
    const rules = [...shards.values()].flatMap((shard) => shard.rules);
    this.configuration = indexRules({ revision: view.revision, rules });
    this.opts.onConfiguration(this.configuration);
    return 'in-force';
  }
}

function readMissing(
  missing: readonly ShardReference[],
  readShards: ShardReader,
): ReturnType<ShardReader> {
  return missing.length === 0 ? Promise.resolve(Result.ok([])) : readShards(missing);
}

function byShardIndex(shards: readonly LoadedShard[]): Shards {
  return new Map(shards.map((shard) => [shard.index, shard]));
}

function touchedShards(delta: RevisionDelta, shardOf: ShardHash): readonly number[] {
  return [...delta.changed.map(ruleName), ...delta.removed].map(shardOf);
}

interface ApplyOptions {
  readonly rules: readonly Rule[];
  readonly index: number;
  readonly deltas: readonly RevisionDelta[];
  readonly shardOf: ShardHash;
}

function applyTo({ rules, index, deltas, shardOf }: ApplyOptions): readonly Rule[] {
  const byKey = new Map(rules.map((rule) => [ruleKey(ruleName(rule)), rule]));
  deltas.forEach((delta) => {
    delta.removed
      .filter((name) => shardOf(name) === index)
      .forEach((name) => byKey.delete(ruleKey(name)));
    delta.changed
      .filter((rule) => shardOf(ruleName(rule)) === index)
      .forEach((rule) => byKey.set(ruleKey(ruleName(rule)), rule));
  });
  return [...byKey.values()];
}
