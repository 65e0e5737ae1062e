import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { PrefixSource } from '../prefixSource.js';
import type { StatedEra } from '../statedEra.js';
import type { RelayRequest, RelayResponse } from './relayTypes.js';

/** A link to a node that reads the store. */
export interface RelayLink {
  readonly name: string;
  /** Asks the node; undefined if there is no response. */
  readonly read: (opts: {
    readonly request: RelayRequest;
    readonly signal: AbortSignal;
  }) => Promise<RelayResponse | undefined>;
}

/** A change of the way in which a node reads a prefix. */
export interface RelayEvent {
  readonly kind: 'relayed' | 'direct';
  readonly prefix: string;
  /** Name of the node that was asked; empty if none was. */
  readonly relay: string;
  readonly detail: string;
}

/** Options of {@link createRelayedSource}. */
export interface RelayedSourceOptions {
  /** The store itself. */
  readonly direct: PrefixSource;
  readonly storeEra: StatedEra;
  readonly timer: TimerService;
  /** Links to nodes that read the store, in the order of preference; none if this node is one. */
  readonly findRelays: () => readonly RelayLink[];
  readonly onEvent: (event: RelayEvent) => void;
}

/** Time for a response beyond the wait; the rest of a read's limit is for the store itself. */
const RESPONSE_MARGIN_MS = 350;

/** A node that gave no usable response isn't asked again for this time. */
const AVOID_MS = 3_000;

/** The least wait that the age of relayed evidence is compared with. */
const MIN_WAIT_MS = 1_000;

/** Age of usable evidence beyond the wait of a read. */
const AGE_MARGIN_MS = 1_000;

/** Wait of a read of the store that replaces a relayed one, which has waited already. */
const REPLACING_WAIT_MS = 1;

type UsableResponse = Exclude<RelayResponse, { kind: 'unavailable' }>;

/** Asks one node at a time, and leaves out those that gave no usable response lately. */
class RelayChoice {
  private readonly avoidUntilMs = new Map<string, number>();

  /** How each prefix was read last. */
  private readonly ways = new Map<string, string>();

  private constructor(private readonly opts: RelayedSourceOptions) {}

  static create(opts: RelayedSourceOptions): RelayChoice {
    return new RelayChoice(opts);
  }

  /** Asks the preferred node; `none` if there is none, `failed` if its response is not usable. */
  async ask(
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<UsableResponse | 'failed' | 'none'> {
    const { timer, findRelays } = this.opts;
    const { prefix, waitMs } = request;
    const relay = findRelays().find(({ name }) => !this.isAvoided(name, prefix));
    if (!relay) {
      this.note({ kind: 'direct', prefix, relay: '', detail: 'no node to ask' });
      return 'none';
    }
    const limit = timer.startTimeLimit({ limitMs: waitMs + RESPONSE_MARGIN_MS, parent: signal });
    const response = await relay.read({ request, signal: limit.signal });
    limit.release();
    const problem = findProblem(this.opts, request, response);
    if (problem === undefined && response && response.kind !== 'unavailable') {
      this.note({ kind: 'relayed', prefix, relay: relay.name, detail: '' });
      return response;
    }
    if (!signal.aborted) {
      this.avoidUntilMs.set(createKey(relay.name, prefix), timer.nowMs() + AVOID_MS);
      this.note({ kind: 'direct', prefix, relay: relay.name, detail: problem ?? '' });
    }
    return 'failed';
  }

  private isAvoided(name: string, prefix: string): boolean {
    return (this.avoidUntilMs.get(createKey(name, prefix)) ?? 0) > this.opts.timer.nowMs();
  }

  private note(event: RelayEvent): void {
    const way = `${event.kind} ${event.relay}`;
    if (this.ways.get(event.prefix) !== way) {
      this.ways.set(event.prefix, way);
      this.opts.onEvent(event);
    }
  }
}

function createKey(name: string, prefix: string): string {
  return `${name} ${prefix}`;
}

/**
 * Creates a source that asks nodes which read the store, and the store itself where none of them has
 * a usable response at once.
 */
export function createRelayedSource(opts: RelayedSourceOptions): PrefixSource {
  const { direct } = opts;
  const relays = RelayChoice.create(opts);
  return {
    readPage: async (page) => {
      const { prefix, afterKey, seenRevision, signal } = page;
      const request = { prefix, afterRevision: undefined, waitMs: 0 };
      const response = afterKey === '' ? await relays.ask(request, signal) : 'none';
      if (typeof response === 'string' || response.kind !== 'entries') {
        return direct.readPage(page);
      }
      const { entries, storeRevision } = response;
      return storeRevision < seenRevision
        ? direct.readPage(page)
        : Result.ok({ entries, hasMore: false, storeRevision, relayed: response });
    },
    waitForChanges: async (wait) => {
      const { prefix, afterRevision, waitMs, signal } = wait;
      const response = await relays.ask({ prefix, afterRevision, waitMs }, signal);
      if (response === 'none') {
        return direct.waitForChanges(wait);
      }
      if (response === 'failed' || response.kind !== 'changes') {
        return direct.waitForChanges({ ...wait, waitMs: Math.min(waitMs, REPLACING_WAIT_MS) });
      }
      const { changes, storeRevision } = response;
      return Result.ok({ changes, storeRevision, relayed: response });
    },
  };
}

/** Why a response can't be used; undefined if it can. */
function findProblem(
  { storeEra }: Pick<RelayedSourceOptions, 'storeEra'>,
  request: RelayRequest,
  response: RelayResponse | undefined,
): string | undefined {
  if (!response) {
    return 'no response';
  }
  if (response.kind === 'unavailable') {
    return response.detail;
  }
  if (response.era < storeEra.current) {
    return 'read before the store was restored';
  }
  const maxAgeMs = Math.max(MIN_WAIT_MS, request.waitMs) + AGE_MARGIN_MS;
  if (response.ageMs > maxAgeMs) {
    return `its evidence is ${Math.round(response.ageMs)} ms old`;
  }
  // A node that has seen a newer era tells this one, whose mirrors then read all entries again.
  storeEra.observe(response.era > 0 ? response.era : undefined);
  return undefined;
}
