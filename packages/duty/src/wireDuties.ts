/** Keys and values of the store entries that say which router holds a duty. */
import type { DutyName } from '@galenatiller/types';
import { z } from 'zod';

import { type DutyEntry, VACANT } from './dutyEntry.js';

/** Prefix of the entries of all duties. */
export const DUTY_PREFIX = 'galenatiller/duties/';

const ENTRY = z.object({
  holder: z.string(),
  token: z.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  former: z.array(z.string()),
});

/** Returns the key of the entry of a duty. */
export function getDutyKey(name: DutyName): string {
  return `${DUTY_PREFIX}${name}`;
}

/** Encodes the entry of a duty. */
export function encodeDuty({ holder, token, former }: DutyEntry): Buffer {
  return Buffer.from(JSON.stringify({ holder, token, former }));
}

/** Decodes the entry of a duty; one that is invalid names no holder. */
export function decodeDuty(value: Buffer): DutyEntry {
  try {
    return ENTRY.parse(JSON.parse(value.toString('utf8')));
  } catch {
    return VACANT;
  }
}
