import type { EventLog } from '@galenatiller/logger';
import {
  type KnownAndRead,
  type PrefixEntry,
  type PrefixMirrorOptions,
  RestoredEntries,
} from '@galenatiller/store';
import type { TargetDirectory, TargetEntry } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';

import type { TargetEntryDecoder } from './entryDecoders.js';

/** Live targets write their entries again within two seconds after the store is back. */
const REWRITE_TIME_MS = 2_200;

/** Entries of targets that have left expire within a few missed heartbeats. */
const EXPIRY_TIME_MS = 4_500;

/** Options of {@link createTargetHandlers}. */
export interface TargetHandlersOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly targetEntries: TargetEntryDecoder;
  readonly targets: TargetDirectory;
  /** Called after all entries or changes that have arrived together. */
  readonly onChanged: () => void;
}

/** Creates the mirror handlers that keep the target directory equal to the entries of targets. */
export function createTargetHandlers(
  opts: TargetHandlersOptions,
): Pick<PrefixMirrorOptions, 'prefix' | 'onEntries' | 'onChange' | 'onApplied'> {
  const { timer, targetEntries, targets } = opts;
  const restored = RestoredEntries.create({
    timer,
    keepMissingMs: REWRITE_TIME_MS,
    holdStaleMs: EXPIRY_TIME_MS,
    isStale: (entries) => isStale(targetEntries, entries),
    handlers: {
      onEntries: (entries) => {
        targets.replaceAll(entries.map((entry) => decode(opts, entry)));
      },
      onChange: (change) => {
        if (change.kind === 'put') {
          targets.put(decode(opts, change.entry));
        } else {
          const id = targetEntries.idOfKey(change.key);
          targets.remove({ id, storeRevision: change.revision });
        }
      },
      onApplied: opts.onChanged,
    },
  });
  return { prefix: targetEntries.prefix, ...restored.handlers() };
}

/**
 * A target that was draining or gone never serves again before it has restarted, and a process that was
 * replaced never comes back.
 */
function isStale(
  { decode: decodeEntry }: TargetEntryDecoder,
  { known, isDeleted, read }: KnownAndRead,
): boolean {
  const [before, after] = [decodeEntry(known).target, decodeEntry(read).target];
  if (before && after && after.startedWallMs < before.startedWallMs) {
    return true;
  }
  return (
    (isDeleted || before?.state === 'draining') &&
    after?.state === 'ready' &&
    before?.startedWallMs === after.startedWallMs &&
    before.address === after.address
  );
}

function decode(opts: TargetHandlersOptions, entry: PrefixEntry): TargetEntry {
  const decoded = opts.targetEntries.decode(entry);
  if (!decoded.target) {
    const { key, revision: storeRevision } = entry;
    const outcome = 'ignored: it does not describe a valid target';
    opts.log({ about: 'belief', event: 'target-entry', key, storeRevision, outcome });
  }
  return decoded;
}
