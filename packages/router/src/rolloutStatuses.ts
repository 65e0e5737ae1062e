import type { PrefixEntry, PrefixMirrorOptions } from '@galenatiller/store';
import type { RolloutDecision, RolloutStatus } from '@galenatiller/types';

import type { RolloutStatusEntries } from './entryDecoders.js';
import type { StoredStatus } from './rollouts.js';

/** Options of {@link RolloutStatuses.create}. */
export interface RolloutStatusesOptions {
  readonly entries: RolloutStatusEntries;
  readonly onStatus: (stored: StoredStatus) => void;
}

/** An entry; its status is undefined when it is invalid. */
interface StatusEntry {
  readonly status: RolloutStatus | undefined;
  readonly revision: number;
}

/** The states of rollouts that are in the store. */
export class RolloutStatuses {
  private readonly byKey = new Map<string, StatusEntry>();

  private constructor(private readonly opts: RolloutStatusesOptions) {}

  /** Creates an instance that knows no states yet. */
  static create(opts: RolloutStatusesOptions): RolloutStatuses {
    return new RolloutStatuses(opts);
  }

  /** Handlers of the mirror of the entries. */
  handlers(): Pick<PrefixMirrorOptions, 'prefix' | 'onEntries' | 'onChange'> {
    return {
      prefix: this.opts.entries.prefix,
      onEntries: (entries) => {
        this.byKey.clear();
        entries.forEach((entry) => this.put(entry));
      },
      onChange: (change) => {
        if (change.kind === 'put') {
          this.put(change.entry);
        } else {
          this.byKey.delete(change.key);
        }
      },
    };
  }

  /** Whether the store has what was decided on an order, or another state in which it has ended. */
  isStored(decision: RolloutDecision): boolean {
    const stored = this.byKey.get(this.opts.entries.encode(decision).key);
    const isOfOrder =
      stored?.status?.targetVersion === decision.targetVersion &&
      stored.revision > decision.orderRevision;
    return (
      isOfOrder &&
      ['completed', 'rolled-back', decision.state].includes(stored.status.state) &&
      isSameSet(stored.status.stoppedVersions, decision.stoppedVersions)
    );
  }

  /** Revision of the entry of a service; 0 when there is none. */
  revision(service: string): number {
    const { key } = this.opts.entries.encode({ service, targetVersion: '', state: 'running' });
    return this.byKey.get(key)?.revision ?? 0;
  }

  private put(entry: PrefixEntry): void {
    const { key, revision } = entry;
    const status = this.opts.entries.decode(entry);
    this.byKey.set(key, { status, revision });
    if (status) {
      this.opts.onStatus({ status, revision });
    }
  }
}

function isSameSet(left: readonly string[] = [], right: readonly string[] = []): boolean {
  return left.length === right.length && left.every((version) => right.includes(version));
}
