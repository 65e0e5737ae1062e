import type { Outcome } from '@galenatiller/types';

import type { SendResult } from './ports.js';

/**
 * What the end of a send proves about its call. A call has not run only if nothing of it was sent or its target
 * states so; the status of a response proves nothing.
 */
export function findSendOutcome({ kind }: Pick<SendResult, 'kind'>): Exclude<Outcome, 'ran'> {
  switch (kind) {
    case 'refused':
    case 'moved':
    case 'inputs-gone':
    case 'unsent':
      return 'not-run';
    case 'answered':
    case 'broken':
    case 'foreign':
      return 'may-have-run';
  }
}
