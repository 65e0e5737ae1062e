import type { EventLog } from '@galenatiller/logger';
import type { PrefixEntry, PrefixMirrorOptions } from '@galenatiller/store';
import type { TargetDirectory, TargetEntry } from '@galenatiller/target';

import type { TargetEntryDecoder } from './entryDecoders.js';

/** Options of {@link createTargetHandlers}. */
export interface TargetHandlersOptions {
  readonly log: EventLog;
  readonly targetEntries: TargetEntryDecoder;
  readonly targets: TargetDirectory;
  readonly onChanged: () => void;
}

/** Creates the mirror handlers that keep the target directory equal to the entries of targets. */
export function createTargetHandlers(
  opts: TargetHandlersOptions,
): Pick<PrefixMirrorOptions, 'prefix' | 'onEntries' | 'onChange'> {
  const { targetEntries, targets } = opts;
  return {
    prefix: targetEntries.prefix,
    onEntries: (entries) => {
      targets.replaceAll(entries.map((entry) => decode(opts, entry)));
      opts.onChanged();
    },
    onChange: (change) => {
      if (change.kind === 'put') {
        targets.put(decode(opts, change.entry));
      } else {
        const id = targetEntries.idOfKey(change.key);
        targets.remove({ id, storeRevision: change.revision });
      }
      opts.onChanged();
    },
  };
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
