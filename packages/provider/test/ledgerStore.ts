/** The store of the ledger, in memory. */
import { Result } from 'true-myth';

import type { LedgerRead, UsageLedger } from '../src/index.js';

/** How the store treats writes of the ledger; `late` keeps them until they are executed. */
type StoreMode = 'up' | 'away' | 'loses-answer' | 'late';

interface StoredLedger {
  readonly ledger: UsageLedger | undefined;
  readonly revision: number;
}

/** The entry of the ledger in a store that can be restored from a copy. */
export class LedgerStore {
  mode: StoreMode = 'up';

  era = 1;

  writes = 0;

  stored: StoredLedger = { ledger: undefined, revision: 0 };

  private copy: StoredLedger = this.stored;

  private readonly late: (() => void)[] = [];

  takeCopy(): void {
    this.copy = this.stored;
  }

  restore(): void {
    this.stored = this.copy;
    this.era += 1;
  }

  read(): Result<LedgerRead, string> {
    return this.mode === 'away' ? Result.err('away') : Result.ok(this.stored);
  }

  write(ledger: UsageLedger, expectedRevision: number): 'written' | 'changed' | 'unknown' {
    const execute = (): 'written' | 'changed' => {
      if (this.stored.revision !== expectedRevision) {
        return 'changed';
      }
      this.writes += 1;
      this.stored = { ledger, revision: this.stored.revision + 1 };
      return 'written';
    };
    if (this.mode === 'late') {
      this.late.push(execute);
    }
    const isDone = this.mode === 'up' || this.mode === 'loses-answer';
    const end = isDone ? execute() : 'unknown';
    return this.mode === 'up' ? end : 'unknown';
  }

  executeLate(): void {
    this.late.splice(0).forEach((execute) => execute());
  }
}
