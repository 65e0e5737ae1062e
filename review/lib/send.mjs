/** Stand-in of a client. */
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createHeaders, createRequestId } from './case.mjs';

/**
 * Sends one request over a new connection and resolves with what the client sees. `end`: `complete` if
 * the response ended as HTTP says that it is whole, `broken` if it broke off, `none` if the connection
 * ended before a response, `timeout` if the client gave up.
 */
export function send({ timeoutMs, firstByteTimeoutMs = timeoutMs, body, ...target }) {
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    const chunks = [];
    const timers = [];
    const call = request({ ...target, agent: false });
    const finish = (end) => {
      timers.forEach((timer) => clearTimeout(timer));
      const text = Buffer.concat(chunks).toString('latin1');
      resolve({ end, status, text, sentAtMs, tookMs: Math.round(performance.now() - sentAtMs) });
      call.destroy();
    };
    timers.push(
      setTimeout(() => finish('timeout'), timeoutMs),
      setTimeout(() => {
        if (chunks.length === 0) {
          finish('timeout');
        }
      }, firstByteTimeoutMs),
    );
    call.on('response', (response) => {
      status = response.statusCode;
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('end', () => finish('complete'));
      response.once('error', () => finish('broken'));
      response.once('close', () => finish('broken'));
    });
    call.on('error', () => finish(status === 0 ? 'none' : 'broken'));
    call.end(body);
  });
}

/** Sends a POST request of the tenant to a router. */
export async function post({ router, path, body, timeoutMs, firstByteTimeoutMs, headers }) {
  const id = createRequestId();
  const seen = await send({
    host: router.host,
    port: router.front,
    method: 'POST',
    path,
    headers: createHeaders({ id, timeoutMs, more: headers }),
    body,
    timeoutMs,
    firstByteTimeoutMs,
  });
  return { id, router: router.name, ...seen };
}

/** The router that the platform connects a client to: one in rotation, or any if none is. */
function pickRouter(routers, index) {
  const inRotation = routers.filter((router) => router.isInRotation);
  const candidates = inRotation.length > 0 ? inRotation : routers;
  return candidates[index % candidates.length];
}

/**
 * Sends requests to the routers in turn, at an interval, until `stop` is called, which resolves with
 * what the clients saw. `createRequest` gets the number of the request.
 */
export function startTraffic({ routers, intervalMs, createRequest }) {
  const calls = [];
  let isStopped = false;
  const sending = (async () => {
    for (let index = 0; !isStopped; index += 1) {
      calls.push(post({ router: pickRouter(routers, index), ...createRequest(index) }));
      await sleep(intervalMs);
    }
  })();
  return {
    stop: async () => {
      isStopped = true;
      await sending;
      return Promise.all(calls);
    },
  };
}

/** Whether the client got a whole success. */
export function isServed({ status, end }) {
  return status === 200 && end === 'complete';
}
