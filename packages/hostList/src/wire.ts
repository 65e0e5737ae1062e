/** Decodes the host list. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Host } from '@galenatiller/types';
import type { Result } from 'true-myth';
import { z } from 'zod';

const port = z.int().min(0).max(65_535);

const hostsBody = z.object({
  hosts: z.array(
    z.object({
      name: z.string().min(1),
      address: z.string().min(1),
      port,
      operatorPort: port,
      role: z.enum(['entry', 'gate']),
      availabilityZone: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Decodes a response body with the list of hosts. */
export function decodeHosts(text: string): Result<readonly Host[], GalenatillerError> {
  return decodeJson({ text, schema: hostsBody }).map(({ hosts }) => hosts);
}
