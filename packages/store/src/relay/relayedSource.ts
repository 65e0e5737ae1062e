import { Result } from 'true-myth';

import type {
  ChangesRead,
  PageRead,
  PrefixChange,
  PrefixChanges,
  PrefixEntry,
  PrefixPage,
  PrefixSource,
  ReadFailure,
} from '../prefixSource.js';
import { RelayChoice, type RelayChoiceOptions, type UsableResponse } from './relayChoice.js';
import type { RelayedChange, RelayedEntry } from './relayTypes.js';
import { ValueAssembler } from './valueAssembler.js';

/** Options of {@link createRelayedSource}. */
export interface RelayedSourceOptions extends RelayChoiceOptions {
  /** The store itself. */
  readonly direct: PrefixSource;
}

/** Wait of a read of the store that replaces a relayed one, which has waited already. */
const REPLACING_WAIT_MS = 1;

type CompletedEntries = ReadonlyMap<RelayedEntry, PrefixEntry>;

class RelayedSource {
  private readonly relays: RelayChoice;

  private readonly assembler = ValueAssembler.create();

  private constructor(private readonly opts: RelayedSourceOptions) {
    this.relays = RelayChoice.create(opts);
  }

  static create(opts: RelayedSourceOptions): RelayedSource {
    return new RelayedSource(opts);
  }

  async readPage(page: PageRead): Promise<Result<PrefixPage, ReadFailure>> {
    const { prefix, afterKey, seenRevision, signal } = page;
    const answer = await this.relays.ask({ kind: 'entries', prefix, afterKey }, signal);
    if (typeof answer !== 'string' && answer.response.kind === 'entries') {
      const { response } = answer;
      const { storeRevision, hasMore } = response;
      const isNewEnough = storeRevision >= seenRevision;
      const whole = isNewEnough && (await this.completeAll(response.entries, answer, page));
      if (whole) {
        const entries = response.entries.flatMap((entry) => whole.get(entry) ?? []);
        return Result.ok({ entries, hasMore, storeRevision, relayed: response });
      }
    }
    const read = await this.opts.direct.readPage(page);
    read.map(({ entries }) => entries.forEach((entry) => this.assembler.note(entry)));
    return read;
  }

  async waitForChanges(wait: ChangesRead): Promise<Result<PrefixChanges, ReadFailure>> {
    const { prefix, afterRevision, waitMs, signal } = wait;
    const answer = await this.relays.ask(
      { kind: 'changes', prefix, afterRevision, waitMs },
      signal,
    );
    if (typeof answer !== 'string' && answer.response.kind === 'changes') {
      const { response } = answer;
      const { storeRevision, hasMore } = response;
      const whole = await this.completeAll(response.changes.flatMap(toWritten), answer, wait);
      if (whole) {
        const changes = response.changes.flatMap((change) => withValue(change, whole));
        return Result.ok({ changes, hasMore, storeRevision, relayed: response });
      }
    }
    const directWaitMs = answer === 'none' ? waitMs : Math.min(waitMs, REPLACING_WAIT_MS);
    const read = await this.opts.direct.waitForChanges({ ...wait, waitMs: directWaitMs });
    read.map(({ changes }) =>
      changes.forEach((change) => change.kind === 'put' && this.assembler.note(change.entry)),
    );
    return read;
  }

  /** The entries with their values; undefined if the node does not give all parts of a large one. */
  private async completeAll(
    entries: readonly RelayedEntry[],
    answer: UsableResponse,
    read: PageRead | ChangesRead,
  ): Promise<CompletedEntries | undefined> {
    const { relay } = answer;
    const { prefix } = read;
    const completed = new Map<RelayedEntry, PrefixEntry>();
    for (const entry of entries) {
      const whole = await this.complete(entry, answer, read);
      if (!whole) {
        const problem = `it does not have all parts of ${entry.key}`;
        this.relays.avoid({ relay, prefix, problem });
        return undefined;
      }
      completed.set(entry, whole);
    }
    return completed;
  }

  private complete(
    entry: RelayedEntry,
    { relay }: UsableResponse,
    control: PageRead | ChangesRead,
  ): Promise<PrefixEntry | undefined> {
    if ('value' in entry) {
      this.assembler.note(entry);
      return Promise.resolve(entry);
    }
    const { prefix } = control;
    return this.assembler.complete(entry, (digests) =>
      this.relays.fetchParts({ relay, prefix, digests, control }),
    );
  }
}

/**
 * Creates a source that asks nodes which read the store, and the store itself where none of them has
 * a usable response at once.
 */
export function createRelayedSource(opts: RelayedSourceOptions): PrefixSource {
  const source = RelayedSource.create(opts);
  return {
    readPage: (page) => source.readPage(page),
    waitForChanges: (wait) => source.waitForChanges(wait),
  };
}

function toWritten(change: RelayedChange): readonly RelayedEntry[] {
  return change.kind === 'put' ? [change.entry] : [];
}

function withValue(change: RelayedChange, whole: CompletedEntries): readonly PrefixChange[] {
  if (change.kind === 'delete') {
    return [change];
  }
  const entry = whole.get(change.entry);
  return entry ? [{ kind: 'put', entry }] : [];
}
