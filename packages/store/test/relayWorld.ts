/** A store, a node that reads it and another one that reads through that, for the steps in this folder. */
import {
  createRelayedSource,
  type PrefixChange,
  type PrefixEntry,
  PrefixMirror,
  type PrefixRelay,
  type PrefixSource,
  type RelayLink,
  type RelayResponse,
  type StatedEra,
} from '@galenatiller/store';
import type { ManualClock, TimerService } from '@galenatiller/timer';

import type { RelayStore } from './relayStore.js';

type ReaderMode =
  | 'up'
  | 'killed'
  | 'silent'
  | 'late'
  | 'stale'
  | 'without-parts'
  | 'other-parts'
  | 'shuffled-parts';

export interface RelayWorld {
  clock: ManualClock;
  timer: TimerService;
  store: RelayStore;
  relay: PrefixRelay;
  reader: PrefixMirror;
  readerEra: StatedEra;
  follower: PrefixMirror;
  followerEra: StatedEra;
  followerKeys: Set<string>;
  toldChanges: number;
  /** Changes that the reader itself was told of. */
  readerChanges: number;
  directReads: number;
  /** Bytes of the reader's responses since the last change of the large entry. */
  linkBytes: number;
  /** Large entry as the follower has it. */
  followerValue: Buffer | undefined;
  secondKeys: Set<string>;
  /** Large entry as it is in the store. */
  largeValue: Buffer;
  mode: ReaderMode;
  /** Whether the follower's responses were younger than the evidence behind them. */
  wasTooYoung: boolean;
  maxAgeMs: number;
  stopRelay: AbortController;
}

export const PREFIX = 'p/';
export const LARGE_KEY = 'p/large';
const STEP_MS = 20;

export function createMirror(
  world: RelayWorld,
  source: PrefixSource,
  storeEra: StatedEra,
  handlers: Pick<Parameters<typeof PrefixMirror.create>[0], 'onEntries' | 'onChange'> &
    Partial<Pick<Parameters<typeof PrefixMirror.create>[0], 'observer'>>,
): PrefixMirror {
  return PrefixMirror.create({
    source,
    storeEra,
    timer: world.timer,
    prefix: PREFIX,
    waitMs: 1_000,
    responseMarginMs: 800,
    random: () => 0.5,
    onEvent: () => {},
    ...handlers,
  });
}

export function createFollowerSource(world: RelayWorld): PrefixSource {
  return createRelayedSource({
    direct: countReads(world, world.store.createSource(world.followerEra, 'follower')),
    storeEra: world.followerEra,
    timer: world.timer,
    findRelays: () => (world.mode === 'killed' ? [] : [createLink(world)]),
    onEvent: () => {},
  });
}

function createLink(world: RelayWorld): RelayLink {
  const { timer, relay } = world;
  return {
    name: 'reader',
    read: async ({ request, signal }) => {
      if (world.mode === 'silent') {
        await timer.sleep({ delayMs: 60_000, signal });
        return undefined;
      }
      const response = await relay.respond({ request, signal });
      world.linkBytes += countBytes(response);
      if (response.kind === 'parts') {
        return spoilParts(world.mode, response);
      }
      if (world.mode === 'late') {
        await timer.sleep({ delayMs: 3_000, signal });
        return signal.aborted ? undefined : response;
      }
      const isStale = world.mode === 'stale' && response.kind === 'unavailable';
      return isStale ? createStaleResponse(request.kind) : response;
    },
  };
}

/** The parts that a reader gives by its mode. */
function spoilParts(
  mode: ReaderMode,
  response: Extract<RelayResponse, { kind: 'parts' }>,
): RelayResponse {
  switch (mode) {
    case 'without-parts':
      return { kind: 'unavailable', detail: 'gone' };
    case 'other-parts':
      return { ...response, parts: response.parts.map((part) => part.subarray(1)) };
    case 'shuffled-parts':
      return { ...response, parts: response.parts.toReversed() };
    default:
      return response;
  }
}

/** Bytes in the binary fields of a response, wherever they are. */
function countBytes(value: unknown): number {
  if (Buffer.isBuffer(value)) {
    return value.length;
  }
  return typeof value === 'object' && value !== null
    ? Object.values(value).reduce<number>((sum, field) => sum + countBytes(field), 0)
    : 0;
}

/** What a reader that is behind had read before: "a" and "b", 900 ms ago. */
function createStaleResponse(
  kind: 'entries' | 'changes' | 'parts',
): Awaited<ReturnType<RelayLink['read']>> {
  const common = { storeRevision: 2, era: 1, ageMs: 900, heldMs: 0, hasMore: false };
  return kind === 'entries'
    ? { kind, entries: [createEntry('a', 1), createEntry('b', 2)], ...common }
    : { kind: 'unavailable', detail: 'behind' };
}

function createEntry(key: string, revision: number): PrefixEntry {
  return { key: `${PREFIX}${key}`, value: Buffer.from(key), revision };
}

export function isEquivalent(before: PrefixEntry, after: PrefixEntry): boolean {
  return before.value.equals(after.value);
}

function countReads(world: RelayWorld, source: PrefixSource): PrefixSource {
  return {
    readPage: (page) => {
      world.directReads += 1;
      return source.readPage(page);
    },
    waitForChanges: (wait) => {
      world.directReads += 1;
      return source.waitForChanges(wait);
    },
  };
}

export function applyChange(keys: Set<string>, change: PrefixChange): void {
  if (change.kind === 'put') {
    keys.add(change.entry.key.slice(PREFIX.length));
  } else {
    keys.delete(change.key.slice(PREFIX.length));
  }
}

/** Lets time pass, and compares the evidence on the way. */
export async function passTime(world: RelayWorld, byMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < byMs; passedMs += STEP_MS) {
    await world.clock.advance({ byMs: STEP_MS });
    const ageMs = world.follower.evidenceAgeMs();
    world.maxAgeMs = Math.max(world.maxAgeMs, ageMs);
    world.wasTooYoung ||= ageMs < world.reader.evidenceAgeMs();
  }
}
