import { isDeepStrictEqual } from 'node:util';

import type { EventLog } from '@galenatiller/logger';
import {
  type MirrorObserver,
  type PrefixEntry,
  PrefixMirror,
  type PrefixRelay,
  type PrefixSource,
  type StatedEra,
} from '@galenatiller/store';
import type { TargetDirectory } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';

import { createOperatorHandlers } from './createOperatorHandlers.js';
import type { RolloutParts } from './createRollouts.js';
import { createTargetHandlers } from './createTargetHandlers.js';
import type { OperatorEntryDecoder, TargetEntryDecoder } from './entryDecoders.js';
import { logStoreEvent } from './logEvents.js';
import type { RouteTable } from './routeTable.js';

/** Options of {@link createMirrors}. */
export interface MirrorsOptions extends Pick<RolloutParts, 'rollouts' | 'statuses'> {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly random: () => number;
  readonly source: PrefixSource;
  readonly storeEra: StatedEra;
  /** Passes what the mirrors read on to other routers. */
  readonly relay: PrefixRelay;
  readonly operatorEntries: OperatorEntryDecoder;
  readonly targetEntries: TargetEntryDecoder;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly onChanged: () => void;
}

/** Mirrors of the entries in the store that a router reads. */
export interface Mirrors {
  readonly operator: PrefixMirror;
  readonly targets: PrefixMirror;
  readonly rollouts: PrefixMirror;
}

/** Creates mirrors of what operators and targets write to the store. */
export function createMirrors(opts: MirrorsOptions): Mirrors {
  const { source, storeEra, timer, random, log, targets } = opts;
  const observe = (
    prefix: string,
    isEquivalent: (before: PrefixEntry, after: PrefixEntry) => boolean,
  ): MirrorObserver => opts.relay.observe({ prefix, isEquivalent });
  const { operatorEntries, targetEntries, statuses } = opts;
  const common = {
    source,
    storeEra,
    timer,
    random,
    waitMs: MAX_WATCH_WAIT_MS,
    responseMarginMs: RESPONSE_MARGIN_MS,
  };
  return {
    operator: PrefixMirror.create({
      ...common,
      ...createOperatorHandlers(opts),
      observer: observe(operatorEntries.prefix, isNever),
      // A restored store says nothing about keys until the operator has written the newest again.
      isCurrent: () => !opts.routes.isStoreBehind,
      onEvent: (event) => {
        if (event.kind === 'restored') {
          opts.rollouts.onStoreRestored();
        }
        logStoreEvent(log, event);
      },
    }),
    targets: PrefixMirror.create({
      ...common,
      ...createTargetHandlers(opts),
      // Each target writes its entry again at every heartbeat, mostly unchanged.
      observer: observe(
        targetEntries.prefix,
        (before, after) =>
          before.value.equals(after.value) ||
          isDeepStrictEqual(
            targetEntries.decode(before).target,
            targetEntries.decode(after).target,
          ),
      ),
      minIntervalMs: MIN_TARGETS_INTERVAL_MS,
      onEvent: (event) => {
        if (event.kind === 'regained') {
          targets.onStoreReconnected({ awayMs: event.evidenceAgeMs });
        }
        logStoreEvent(log, event);
      },
    }),
    rollouts: PrefixMirror.create({
      ...common,
      ...statuses.handlers(),
      observer: observe(statuses.handlers().prefix, isNever),
      waitMs: MAX_ROLLOUT_WAIT_MS,
      onEvent: (event) => logStoreEvent(log, event),
    }),
  };
}

/** While the store responds, evidence is never older than this; each wait is one call. */
const MAX_WATCH_WAIT_MS = 1_000;

/** Rollouts are rare, so a read of their states without changes is seldom repeated. */
const MAX_ROLLOUT_WAIT_MS = 5_000;

/** Time for the response beyond the wait; a slow store needs a quarter of a second for it. */
const RESPONSE_MARGIN_MS = 800;

/** Short against the time in which targets that are leaving must get no more calls. */
const MIN_TARGETS_INTERVAL_MS = 300;

/** Entries of operators and rollouts have an effect whenever they are written. */
function isNever(): boolean {
  return false;
}
