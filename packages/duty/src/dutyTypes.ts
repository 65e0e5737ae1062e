import type {
  MirrorEvent,
  MirrorObserver,
  OwnLease,
  PrefixSource,
  StatedEra,
  WriteIfUnchanged,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { DutyName } from '@galenatiller/types';

import type { DutyEntry } from './dutyEntry.js';

/** What the task of a duty does next. */
export type DutyStep =
  | { readonly kind: 'wait'; readonly forMs: number }
  | { readonly kind: 'read-entry' }
  /** Asks the store itself whether a router is a member. */
  | { readonly kind: 'read-member'; readonly member: string }
  | { readonly kind: 'write'; readonly entry: DutyEntry; readonly expectedRevision: number };

/** How the holding of a duty changed, as far as this router knows. */
export type DutyChange = 'taken' | 'renewed' | 'in-doubt' | 'regained' | 'lost' | 'released';

/** A change of the holder of a duty, or of how sure this router is that it holds it. */
export interface DutyEvent {
  readonly kind: DutyChange;
  readonly duty: DutyName;
  /** The router whose holding changed. */
  readonly holder: string;
  readonly token: number;
  /** Unix time in milliseconds at which this router saw that holding begin. */
  readonly sinceMs: number;
  readonly detail: string;
}

/** Options of {@link Duties.create}. */
export interface DutiesOptions {
  readonly names: readonly DutyName[];
  readonly selfName: string;
  readonly timer: TimerService;
  /** Hash of a text, the same on every router. */
  readonly hash: (text: string) => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  /** Time within which a duty must not return to a router that has lost it. */
  readonly leaseMs: number;
  readonly storeEra: StatedEra;
  /** Reads the store, or asks routers that do. */
  readonly source: PrefixSource;
  /** The store itself. */
  readonly directSource: Pick<PrefixSource, 'readPage'>;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly ownLease: () => OwnLease | undefined;
  /** Passes what this router has read on to others. */
  readonly observer?: MirrorObserver;
  readonly onEvent: (event: DutyEvent) => void;
  readonly onMirrorEvent: (event: MirrorEvent) => void;
}
