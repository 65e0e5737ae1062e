import type { PrefixChange, PrefixSource, ReadFailure, StatedEra } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

const PREFIX = 'p/';
const CUT_OFF: ReadFailure = { kind: 'unanswered', detail: 'cut off' };

/** A store with one prefix, from which single nodes may be cut off. */
export class RelayStore {
  readonly cutOff = new Set<string>();

  delayMs = 0;

  era = 1;

  revision = 0;

  private readonly entries = new Map<string, PrefixChange & { readonly kind: 'put' }>();

  private changes: { readonly revision: number; readonly change: PrefixChange }[] = [];

  private readonly wakers = new Set<() => void>();

  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): RelayStore {
    return new RelayStore(timer);
  }

  put(name: string, value: Buffer = Buffer.from(name)): void {
    this.revision += 1;
    const { revision } = this;
    const change = { kind: 'put', entry: { key: `${PREFIX}${name}`, value, revision } } as const;
    this.entries.set(name, change);
    this.add(change);
  }

  /** Names of all entries, sorted. */
  names(): readonly string[] {
    return [...this.entries.keys()].sort();
  }

  remove(name: string): void {
    this.revision += 1;
    this.entries.delete(name);
    this.add({ kind: 'delete', key: `${PREFIX}${name}`, revision: this.revision });
  }

  /** Comes back as an older copy with the given names and revisions. */
  restore(names: readonly (readonly [string, number])[]): void {
    this.era += 1;
    this.entries.clear();
    this.changes = [];
    this.revision = 0;
    names.forEach(([name]) => this.put(name));
  }

  createSource(storeEra: StatedEra, node: string): PrefixSource {
    const respond = async <Value>(
      signal: AbortSignal,
      read: () => Value,
    ): Promise<Result<Value, ReadFailure>> => {
      const value = read();
      const { era } = this;
      await this.timer.sleep({ delayMs: this.delayMs, signal });
      if (this.cutOff.has(node) || signal.aborted) {
        return Result.err(CUT_OFF);
      }
      storeEra.observe(era);
      return Result.ok(value);
    };
    return {
      readPage: ({ signal }) =>
        respond(signal, () => ({
          entries: [...this.entries.values()].map(({ entry }) => entry),
          hasMore: false,
          storeRevision: this.revision,
        })),
      waitForChanges: async ({ afterRevision, waitMs, signal }) => {
        if (this.revision <= afterRevision) {
          await this.waitForWrite(waitMs, signal);
        }
        return respond(signal, () => ({
          changes: this.changes
            .filter(({ revision }) => revision > afterRevision)
            .map(({ change }) => change),
          storeRevision: this.revision,
        }));
      },
    };
  }

  private add(change: PrefixChange): void {
    this.changes.push({ revision: this.revision, change });
    [...this.wakers].forEach((wake) => wake());
  }

  private async waitForWrite(waitMs: number, signal: AbortSignal): Promise<void> {
    const written = new AbortController();
    const wake = (): void => written.abort();
    this.wakers.add(wake);
    await this.timer.sleep({
      delayMs: waitMs,
      signal: AbortSignal.any([signal, written.signal]),
    });
    this.wakers.delete(wake);
  }
}
