import type { EventLog } from '@galenatiller/logger';
import type { Member } from '@galenatiller/store';
import type { TargetDirectory } from '@galenatiller/target';

import { logShards } from './logEvents.js';
import type { ServiceOwners, ServiceShards } from './ownership/index.js';
import type { PeerRouters } from './peerRouters.js';
import type { StageWorkers } from './stageWorkers.js';

/** Options of {@link ShardAssignment.create}. */
export interface ShardAssignmentOptions {
  readonly log: EventLog;
  readonly targets: TargetDirectory;
  readonly shards: ServiceShards;
  readonly owners: ServiceOwners;
  readonly peers: PeerRouters;
  readonly workers: StageWorkers;
}

/** Keeps shards, owners, links and worker tasks in line with the live routers and targets. */
export class ShardAssignment {
  private members: readonly Member[] = [];

  private constructor(private readonly opts: ShardAssignmentOptions) {}

  /** Creates an instance that knows no other routers. */
  static create(opts: ShardAssignmentOptions): ShardAssignment {
    return new ShardAssignment(opts);
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.opts.owners.setMembers(members);
    this.opts.peers.setMembers(members);
    this.assign({ areMembersNew: true });
  }

  /** Follows the targets that are registered now. */
  onTargetsChanged(): void {
    this.assign({ areMembersNew: false });
  }

  private assign({ areMembersNew }: { readonly areMembersNew: boolean }): void {
    const { shards, owners, workers, targets, log } = this.opts;
    const areShardsNew = shards.update({ workers: targets.all(), members: this.members });
    if (areShardsNew) {
      owners.setShards(shards.all());
    }
    workers.refresh();
    if (areShardsNew || areMembersNew) {
      logShards(log, owners, shards.all());
      this.handBack();
    }
  }

  /** The owner of a shard fills whole batches; two routers that share its workers find them full. */
  private handBack(): void {
    const { shards, owners, peers, workers } = this.opts;
    const known = new Set(shards.all().map(({ key }) => key));
    workers.handBack(
      (shard) => !known.has(shard) || (peers.find(owners.findOwner(shard))?.isOpen ?? false),
    );
  }
}
