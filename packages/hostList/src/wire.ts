/** Decodes the host list. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Host } from '@galenatiller/types';
import type { Result } from 'true-myth';
import { z } from 'zod';

const MAX_PORT = 65_535;

const hostItem = z.object({
  name: z.string().min(1),
  address: z.string().min(1),
  port: z.int().min(1).max(MAX_PORT),
  /** 0 for a host without an operator port. */
  operatorPort: z.int().min(0).max(MAX_PORT),
  role: z.enum(['entry', 'gate']),
  availabilityZone: z.string(),
  state: z.enum(['live', 'leaving']),
});

const hostsBody = z.object({ hosts: z.array(z.unknown()) });

/** Decodes a response body with the list of hosts; an invalid item names no host. */
export function decodeHosts(text: string): Result<readonly Host[], GalenatillerError> {
  return decodeJson({ text, schema: hostsBody }).map(({ hosts }) =>
    hosts.flatMap((item) => hostItem.safeParse(item).data ?? []),
  );
}
