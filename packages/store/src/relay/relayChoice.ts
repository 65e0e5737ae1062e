import type { TimerService } from '@galenatiller/timer';

import type { ReadControl } from '../prefixSource.js';
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

/** Options of {@link RelayChoice.create}. */
export interface RelayChoiceOptions {
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

/** A request for entries or changes. */
export type ReadRequest = Exclude<RelayRequest, { kind: 'parts' }>;

/** A response with entries or changes, and the node that gave it. */
export interface UsableResponse {
  readonly response: Extract<RelayResponse, { kind: 'entries' | 'changes' }>;
  readonly relay: RelayLink;
}

/** Asks one node at a time, and leaves out those that gave no usable response lately. */
export class RelayChoice {
  private readonly avoidUntilMs = new Map<string, number>();

  /** How each prefix was read last. */
  private readonly ways = new Map<string, string>();

  private constructor(private readonly opts: RelayChoiceOptions) {}

  /** Creates a choice that leaves no node out. */
  static create(opts: RelayChoiceOptions): RelayChoice {
    return new RelayChoice(opts);
  }

  /** Asks the preferred node; `none` if there is none, `failed` if its response is not usable. */
  async ask(
    request: ReadRequest,
    signal: AbortSignal,
  ): Promise<UsableResponse | 'failed' | 'none'> {
    const { timer, findRelays } = this.opts;
    const { prefix } = request;
    const waitMs = waitOf(request);
    const relay = findRelays().find(({ name }) => !this.isAvoided(name, prefix));
    if (!relay) {
      this.note({ kind: 'direct', prefix, relay: '', detail: 'no node to ask' });
      return 'none';
    }
    const limit = timer.startTimeLimit({ limitMs: waitMs + RESPONSE_MARGIN_MS, parent: signal });
    const response = await relay.read({ request, signal: limit.signal });
    limit.release();
    const problem = findProblem(this.opts, request, response);
    if (problem === undefined && response?.kind === request.kind) {
      this.note({ kind: 'relayed', prefix, relay: relay.name, detail: '' });
      return { response, relay };
    }
    if (!signal.aborted) {
      this.avoid({ relay, prefix, problem: problem ?? 'a response of another kind' });
    }
    return 'failed';
  }

  /** Asks a node for parts; none if it does not give them. */
  async fetchParts(opts: {
    readonly relay: RelayLink;
    readonly prefix: string;
    readonly digests: readonly string[];
    readonly control: ReadControl;
  }): Promise<readonly Buffer[]> {
    const { relay, prefix, digests, control } = opts;
    const limit = this.opts.timer.startTimeLimit({
      limitMs: RESPONSE_MARGIN_MS,
      parent: control.signal,
    });
    const request = { kind: 'parts', prefix, digests } as const;
    const response = await relay.read({ request, signal: limit.signal });
    limit.release();
    if (response?.kind === 'parts') {
      control.onProgress?.();
      return response.parts;
    }
    return [];
  }

  /** Leaves a node out for some time. */
  avoid(opts: {
    readonly relay: RelayLink;
    readonly prefix: string;
    readonly problem: string;
  }): void {
    const { relay, prefix, problem } = opts;
    this.avoidUntilMs.set(createKey(relay.name, prefix), this.opts.timer.nowMs() + AVOID_MS);
    this.note({ kind: 'direct', prefix, relay: relay.name, detail: problem });
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

function waitOf(request: ReadRequest): number {
  return request.kind === 'changes' ? request.waitMs : 0;
}

/** Why a response can't be used; undefined if it can. */
function findProblem(
  { storeEra }: Pick<RelayChoiceOptions, 'storeEra'>,
  request: ReadRequest,
  response: RelayResponse | undefined,
): string | undefined {
  if (!response) {
    return 'no response';
  }
  if (response.kind === 'unavailable') {
    return response.detail;
  }
  if (response.kind === 'parts') {
    return 'a response of another kind';
  }
  if (response.era < storeEra.current) {
    return 'read before the store was restored';
  }
  const maxAgeMs = Math.max(MIN_WAIT_MS, waitOf(request)) + AGE_MARGIN_MS;
  if (response.ageMs > maxAgeMs) {
    return `its evidence is ${Math.round(response.ageMs)} ms old`;
  }
  // A node that has seen a newer era tells this one, whose mirrors then read all entries again.
  storeEra.observe(response.era > 0 ? response.era : undefined);
  return undefined;
}
