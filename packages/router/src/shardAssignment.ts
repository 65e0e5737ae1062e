import type { EventLog } from '@galenatiller/logger';
import type { Member } from '@galenatiller/store';
import type { DirectoryChanges, TargetDirectory } from '@galenatiller/target';
import type { RouterConfig } from '@galenatiller/types';

import { logShards } from './logEvents.js';
import type { ServiceOwners, ServiceShards } from './ownership/index.js';
import type { PeerRouters } from './peerRouters.js';
import type { RouteTable } from './routeTable.js';
import type { StageWorkers } from './stageWorkers.js';

/** Options of {@link ShardAssignment.create}. */
export interface ShardAssignmentOptions {
  readonly log: EventLog;
  readonly routes: Pick<RouteTable, 'currentConfiguration'>;
  readonly targets: TargetDirectory;
  readonly shards: ServiceShards;
  readonly owners: ServiceOwners;
  readonly peers: PeerRouters;
  readonly workers: StageWorkers;
}

/** Keeps shards, owners, links and worker tasks in line with the live routers and targets. */
export class ShardAssignment {
  private members: readonly Member[] = [];

  /** The configuration whose services are split. */
  private configuration: RouterConfig | undefined;

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

  /** Follows the targets and the configuration; nothing is computed unless what it depends on changed. */
  onTargetsChanged(): void {
    this.assign({ areMembersNew: false });
  }

  private assign({ areMembersNew }: { readonly areMembersNew: boolean }): void {
    const { shards, owners, workers, targets, log } = this.opts;
    const changes = targets.takeChanges();
    const split = this.splitServices(changes);
    if (split.size > 0) {
      owners.setShards(shards.all());
    }
    const affected = new Set([...changes.services, ...split]);
    if (affected.size > 0) {
      workers.refresh(affected);
    }
    if (split.size > 0 || areMembersNew) {
      logShards(log, owners, shards.all());
      this.handBack();
    }
  }

  /** Splits those services again whose workers or limits may have changed; returns those that have. */
  private splitServices({ services }: DirectoryChanges): ReadonlySet<string> {
    const { shards, targets, routes } = this.opts;
    const { members } = this;
    const configuration = routes.currentConfiguration();
    const isConfigurationNew = configuration !== this.configuration;
    const configured = [this.configuration, configuration].flatMap(
      (known) => known?.services.map(({ name }) => name) ?? [],
    );
    this.configuration = configuration;
    return shards.follow({
      services: isConfigurationNew ? new Set([...services, ...configured]) : services,
      findWorkers: (service) => targets.findRegistered(service),
      members,
    });
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
