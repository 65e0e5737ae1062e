import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { z } from 'zod';

import { FakeServer, sendJson } from './fakeServer.js';

/** Options of {@link createFakeHostList}. */
export interface FakeHostListOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  /** Time until a change shows. */
  readonly lagMs: number;
}

/** A fake host list that runs. */
export interface FakeHostList {
  readonly port: number;
  readonly url: string;
  /** Changes the hosts; readers see it after the lag. */
  readonly setHosts: (hosts: readonly Host[]) => void;
  readonly close: () => Promise<void>;
}

const port = z.int().min(0).max(65_535);

const hostsSchema = z.object({
  hosts: z.array(
    z.object({
      name: z.string(),
      address: z.string(),
      port,
      operatorPort: port,
      role: z.enum(['entry', 'gate']),
      availabilityZone: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Starts a fake host list: `GET /v1/hosts` reads it, `PUT /v1/hosts` changes it. */
export async function createFakeHostList(opts: FakeHostListOptions): Promise<FakeHostList> {
  let shown: readonly Host[] = [];
  const server = await FakeServer.listen({
    port: opts.port,
    handle: ({ method, path, text, response }) => {
      if (path !== '/v1/hosts') {
        sendJson(response, { status: 404, body: {} });
      } else if (method === 'PUT') {
        set(hostsSchema.parse(JSON.parse(text)).hosts);
        sendJson(response, { status: 200, body: {} });
      } else {
        sendJson(response, { status: 200, body: { hosts: shown } });
      }
      return Promise.resolve();
    },
  });
  return { port: server.port, url: server.url, setHosts: set, close: () => server.stop() };

  function set(hosts: readonly Host[]): void {
    if (opts.lagMs === 0) {
      shown = hosts;
      return;
    }
    opts.timer.after({
      delayMs: opts.lagMs,
      notify: () => {
        shown = hosts;
      },
    });
  }
}
