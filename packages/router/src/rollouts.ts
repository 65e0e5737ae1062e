import {
  addToRoute,
  judgeVersion,
  type RunsByRoute,
  sumRoutes,
  toVersionRuns,
} from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';
import type {
  RegisteredTarget,
  RolloutDecision,
  RolloutEvidence,
  RolloutOrder,
  RolloutStatus,
  VersionComparison,
  VersionRuns,
} from '@galenatiller/types';

import type { ObservedRun } from './observedRun.js';
import { StoppedVersions } from './stoppedVersions.js';

/** Options of {@link Rollouts.create}. */
export interface RolloutsOptions {
  readonly timer: TimerService;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  /** Share of the calls that a version may get before it is proved good. */
  readonly unprovedShare: number;
  /** Whether this node hears of the store, and so knows whether it still owns its rollouts. */
  readonly isInTouch: () => boolean;
  /** Called when a rollout has ended. */
  readonly onEnded: (decision: RolloutDecision) => void;
  /** Called when the versions of a service that get no calls have changed. */
  readonly onStoppedChanged: (service: string, versions: readonly string[]) => void;
}

/** A state in the store, and the revision at which it was written. */
export interface StoredStatus {
  readonly status: RolloutStatus;
  readonly revision: number;
}

interface Rollout {
  readonly order: RolloutOrder;
  readonly deadlineAtMs: number;
  state: RolloutStatus['state'];
  /** Evidence of all nodes, which the owner of the rollout collects. */
  evidence: RunsByRoute;
  /** Evidence of this node that the owner hasn't got yet. */
  unsent: RunsByRoute;
}

/** The unproved version never gets quite the allowed share, which holds for all nodes together. */
const USED_SHARE = 0.9;

/** Time in which operators write orders again that a restored store lacks. */
const REWRITE_TIME_MS = 5_000;

/** Time before the deadline at which a rollout is decided, for the write to the store. */
const DECISION_MARGIN_MS = 1_000;

/**
 * The rollouts of services to other versions. While a rollout runs, a small share of the calls goes to
 * the new version; once it is proved bad, or not proved good in time, it gets none.
 */
export class Rollouts {
  private readonly rollouts = new Map<string, Rollout>();

  /** The last state of each service in the store. */
  private readonly stored = new Map<string, StoredStatus>();

  private readonly stopped: StoppedVersions;

  private restoredAtMs = -Infinity;

  private constructor(private readonly opts: RolloutsOptions) {
    this.stopped = StoppedVersions.create({ onChange: opts.onStoppedChanged });
  }

  /** Creates an instance without rollouts. */
  static create(opts: RolloutsOptions): Rollouts {
    return new Rollouts(opts);
  }

  /** Number of versions that get no calls beside those that are rolled out. */
  get stoppedCount(): number {
    return this.stopped.size;
  }

  /** Applies an order; the same one again changes nothing. */
  setOrder(order: RolloutOrder): void {
    const { service } = order;
    const known = this.rollouts.get(service);
    if (known && this.isSameOrder(known.order, order)) {
      this.rollouts.set(service, { ...known, order });
      return;
    }
    if (known && known.state !== 'completed') {
      this.stopped.stop({ service, version: known.order.targetVersion });
    }
    this.stopped.allow({ service, version: order.targetVersion });
    this.rollouts.set(service, {
      order,
      deadlineAtMs: this.opts.timer.nowMs() + order.durationMs,
      state: 'running',
      evidence: new Map(),
      unsent: new Map(),
    });
    this.applyStored(service);
  }

  /** Compares no more with revisions read before, as the store was restored from a copy. */
  onStoreRestored(): void {
    this.restoredAtMs = this.opts.timer.nowMs();
    this.stored.clear();
  }

  /** Applies a state in the store to the order that was written before it. */
  setStored(stored: StoredStatus): void {
    const { service, targetVersion } = stored.status;
    this.stored.set(service, stored);
    if (!this.rollouts.has(service) && stored.status.state !== 'running') {
      // The order may have been deleted since; a version that was rolled back stays so.
      this.setOrder({ service, targetVersion, durationMs: 0, orderRevision: 0 });
      return;
    }
    this.applyStored(service);
  }

  /** Ends a rollout as its owner has decided; one that has ended never runs again. */
  end(decision: RolloutDecision): void {
    const rollout = this.rollouts.get(decision.service);
    const isCurrent =
      rollout?.order.orderRevision === decision.orderRevision &&
      rollout.order.targetVersion === decision.targetVersion;
    if (isCurrent && rollout.state === 'running' && decision.state !== 'running') {
      rollout.state = decision.state;
      this.opts.onEnded(decision);
    }
  }

  /** The targets of a service that the next call may be sent to. */
  select(service: string, targets: readonly RegisteredTarget[]): readonly RegisteredTarget[] {
    const rollout = this.rollouts.get(service);
    if (!rollout) {
      return targets;
    }
    const { targetVersion } = rollout.order;
    const newer = targets.filter(({ version }) => version === targetVersion);
    const others = targets.filter(({ version }) => version !== targetVersion);
    const older = others.filter((target) => !this.stopped.has(target));
    switch (rollout.state) {
      case 'rolled-back':
        return older;
      case 'completed':
        return newer.length > 0 ? newer : older;
      case 'running': {
        if (older.length === 0 && others.length > 0) {
          // An unproved version is better than one that was stopped.
          return newer;
        }
        const share = this.opts.unprovedShare * USED_SHARE;
        return newer.length > 0 && this.opts.random() < share ? newer : older;
      }
    }
  }

  /** Whether a target belongs to a version that is not proved good, or was stopped. */
  isUnproved({ service, version }: RegisteredTarget): boolean {
    const rollout = this.rollouts.get(service);
    return rollout?.order.targetVersion === version
      ? rollout.state !== 'completed'
      : this.stopped.has({ service, version });
  }

  /** Records a run of this node. */
  observe(run: ObservedRun): void {
    const rollout = this.rollouts.get(run.target.service);
    const isNew = run.target.version === rollout?.order.targetVersion;
    // A version that was stopped says nothing about the one that the new one is compared with.
    if (rollout?.state !== 'running' || (!isNew && this.stopped.has(run.target))) {
      return;
    }
    const runs = toVersionRuns(run);
    const added = isNew ? { newRuns: runs } : { oldRuns: runs };
    rollout.unsent = addToRoute(rollout.unsent, run.route, added);
  }

  /** Takes the evidence of this node that the owners haven't got yet. */
  takeEvidence(): readonly RolloutEvidence[] {
    const evidence = [...this.rollouts.values()]
      .filter(({ state }) => state === 'running')
      .flatMap(({ order: { service, orderRevision }, unsent }) =>
        [...unsent].map(([route, runs]) => ({ service, route, orderRevision, ...runs })),
      );
    this.rollouts.forEach((rollout, service) => {
      this.rollouts.set(service, { ...rollout, unsent: new Map() });
    });
    return evidence;
  }

  /** Adds evidence to a rollout that this node owns. */
  addEvidence({ service, route = '', orderRevision, newRuns, oldRuns }: RolloutEvidence): void {
    const rollout = this.rollouts.get(service);
    if (rollout?.order.orderRevision === orderRevision) {
      rollout.evidence = addToRoute(rollout.evidence, route, { newRuns, oldRuns });
    }
  }

  /**
   * Decides on the rollouts that this node owns. A rollback takes effect at once; a completion does
   * when it is in the store.
   */
  decide(isOwner: (service: string) => boolean): readonly RolloutDecision[] {
    const owned = [...this.rollouts.values()].filter(({ order }) => isOwner(order.service));
    return owned.map((rollout) => {
      const { service, targetVersion, orderRevision } = rollout.order;
      const state = this.findNextState(rollout);
      const detail = describeRuns(rollout);
      const stoppedVersions = this.stopped.list(service);
      const decision = { service, targetVersion, orderRevision, state, detail, stoppedVersions };
      if (state === 'rolled-back') {
        this.end(decision);
      }
      return decision;
    });
  }

  /** Whether an order is the known one; a restored store may have it at another revision. */
  private isSameOrder(known: RolloutOrder, order: RolloutOrder): boolean {
    const isWrittenAgain =
      known.durationMs === order.durationMs &&
      this.opts.timer.nowMs() - this.restoredAtMs < REWRITE_TIME_MS;
    return (
      known.targetVersion === order.targetVersion &&
      (known.orderRevision === order.orderRevision || isWrittenAgain)
    );
  }

  private applyStored(service: string): void {
    const rollout = this.rollouts.get(service);
    const stored = this.stored.get(service);
    if (!rollout || !stored) {
      return;
    }
    const { targetVersion, orderRevision } = rollout.order;
    const { status, revision } = stored;
    const others = (status.stoppedVersions ?? []).filter((version) => version !== targetVersion);
    if (revision <= orderRevision) {
      others.forEach((version) => this.stopped.stop({ service, version }));
      this.learnFormer(status, targetVersion);
      return;
    }
    if (status.targetVersion === targetVersion) {
      this.stopped.set(service, others);
      this.end({ ...status, orderRevision, detail: 'read from the store' });
    }
  }

  /** Applies the state of an earlier order, which may be read after the one that replaced it. */
  private learnFormer(
    { service, targetVersion: version, state }: RolloutStatus,
    current: string,
  ): void {
    if (state === 'completed') {
      this.stopped.allow({ service, version });
    } else if (version !== current) {
      this.stopped.stop({ service, version });
    }
  }

  private findNextState(rollout: Rollout): RolloutStatus['state'] {
    if (rollout.state !== 'running') {
      return rollout.state;
    }
    const { evidence } = rollout;
    const judgement = judgeVersion({
      total: sumRoutes(evidence),
      routes: [...evidence.values()],
    });
    if (judgement === 'bad') {
      return 'rolled-back';
    }
    const isDue = this.opts.timer.nowMs() >= rollout.deadlineAtMs - DECISION_MARGIN_MS;
    // An owner that is cut off has only its own evidence, which proves too little too late.
    if (!isDue || !this.opts.isInTouch()) {
      return 'running';
    }
    return judgement === 'good' ? 'completed' : 'rolled-back';
  }
}

function describeRuns({ evidence }: Rollout): string {
  return [...evidence].map(([route, runs]) => `${route}: ${describeComparison(runs)}`).join('; ');
}

function describeComparison({ newRuns, oldRuns }: VersionComparison): string {
  const [newText, oldText] = [newRuns, oldRuns].map(describeVersion);
  return `${newText} against ${oldText}`;
}

function describeVersion({
  runs,
  failures,
  measured,
  paceSumMs,
  lost,
  starts,
}: VersionRuns): string {
  const paceMs = Math.round(paceSumMs / Math.max(1, measured));
  const startMs = Math.round((starts?.sumMs ?? 0) / Math.max(1, starts?.count ?? 0));
  return `${failures} failed and ${lost ?? 0} lost of ${runs} runs, pace ${paceMs} ms, start ${startMs} ms`;
}
