import type {
  LeaseClient,
  PrefixChange,
  PrefixChanges,
  PrefixEntry,
  PrefixSource,
} from '@galenatiller/store';
import { Result } from 'true-myth';

/** A store in memory whose changes are delivered to the reader when the measurement writes them. */
export class ScriptedStore {
  private readonly entries = new Map<string, PrefixEntry>();

  private readonly waiting = new Map<string, (changes: PrefixChanges) => void>();

  private revision = 1;

  private constructor() {}

  /** Creates an empty store. */
  static create(): ScriptedStore {
    return new ScriptedStore();
  }

  /** Writes entries, which the reader of a prefix receives as one response. */
  write(prefix: string, written: ReadonlyMap<string, string | undefined>): void {
    const changes = [...written].map(([key, text]): PrefixChange => {
      this.revision += 1;
      const { revision } = this;
      if (text === undefined) {
        this.entries.delete(key);
        return { kind: 'delete', key, revision };
      }
      const entry = { key, value: Buffer.from(text), revision };
      this.entries.set(key, entry);
      return { kind: 'put', entry };
    });
    const respond = this.waiting.get(prefix);
    this.waiting.delete(prefix);
    respond?.({ changes, storeRevision: this.revision });
  }

  /** Reads of the router. */
  readonly source: PrefixSource = {
    readPage: ({ prefix }) => {
      const entries = [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
      return Promise.resolve(Result.ok({ entries, hasMore: false, storeRevision: this.revision }));
    },
    waitForChanges: ({ prefix, signal }) =>
      new Promise((resolve) => {
        this.waiting.set(prefix, (changes) => resolve(Result.ok(changes)));
        const end = (): void => {
          this.waiting.delete(prefix);
          resolve(Result.ok({ changes: [], storeRevision: this.revision }));
        };
        signal.addEventListener('abort', end, { once: true });
      }),
  };

  /** Leases that are always kept. */
  readonly leases: LeaseClient = {
    grant: ({ ttlMs }) => Promise.resolve(Result.ok({ leaseId: 'lease', ttlMs })),
    keepAlive: () => Promise.resolve(Result.ok('kept')),
    put: () => Promise.resolve(Result.ok('written')),
    revoke: () => Promise.resolve(),
  };
}
