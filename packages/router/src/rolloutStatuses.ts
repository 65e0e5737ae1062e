import type { PrefixEntry, PrefixMirrorOptions } from '@galenatiller/store';
import type { RolloutStatus } from '@galenatiller/types';

import type { RolloutStatusEntries } from './entryDecoders.js';

/** Options of {@link RolloutStatuses.create}. */
export interface RolloutStatusesOptions {
  readonly entries: RolloutStatusEntries;
  readonly onStatus: (status: RolloutStatus) => void;
}

interface StoredStatus {
  readonly status: RolloutStatus | undefined;
  readonly revision: number;
}

/** The states of rollouts that are in the store. */
export class RolloutStatuses {
  private readonly byKey = new Map<string, StoredStatus>();

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

  /** Whether the store has this state of a rollout, or one in which it has ended. */
  isStored(status: RolloutStatus): boolean {
    const stored = this.byKey.get(this.opts.entries.encode(status).key)?.status;
    const isSame = stored?.targetVersion === status.targetVersion;
    return isSame && (stored.state === status.state || stored.state !== 'running');
  }

  /** Revision of the entry of a service; 0 when there is none. */
  revision(service: string): number {
    const { key } = this.opts.entries.encode({ service, targetVersion: '', state: 'running' });
    return this.byKey.get(key)?.revision ?? 0;
  }

  private put(entry: PrefixEntry): void {
    const status = this.opts.entries.decode(entry);
    this.byKey.set(entry.key, { status, revision: entry.revision });
    if (status) {
      this.opts.onStatus(status);
    }
  }
}
