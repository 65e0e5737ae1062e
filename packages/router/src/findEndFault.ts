import type { BodyEnd } from '@galenatiller/types';

import type { EndPosition } from './bodyTally.js';
import type { SenderState } from './ports.js';

/** Options of {@link findEndFault}. */
export interface FindEndFaultOptions {
  readonly bodyEnd: BodyEnd;
  readonly position: EndPosition;
  /** Finds out whether the process that sent the body still runs, by a question sent after the end. */
  readonly findSender: () => Promise<SenderState>;
}

/** Why the process that sent a body can't be taken for alive. */
const SENDER_FAULTS: Readonly<Record<Exclude<SenderState, 'same-start'>, string>> = {
  'other-start': 'another process has the address of the target',
  gone: 'the target has crashed',
  unknown: 'the target does not say whether it still runs',
};

/**
 * Why a body that ended in order must not look complete to the caller; undefined if it may. The kernel ends the
 * connections of a crashed process in order too, so without framing, only a sender that still runs shows that the
 * end is its own.
 */
export async function findEndFault(opts: FindEndFaultOptions): Promise<string | undefined> {
  if (opts.bodyEnd !== 'close') {
    return undefined;
  }
  switch (opts.position) {
    case 'within-event':
      return 'the stream ended in the middle of an event';
    case 'no-event':
      return 'the stream ended before its first event';
    case 'between-events':
    case 'no-stream': {
      const sender = await opts.findSender();
      return sender === 'same-start'
        ? undefined
        : `the end of a body without framing proves nothing: ${SENDER_FAULTS[sender]}`;
    }
  }
}
