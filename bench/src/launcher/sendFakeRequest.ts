import type { TimerService } from '@galenatiller/timer';
import { request } from 'undici';

/** Options of {@link sendFakeRequest}. */
export interface SendFakeRequestOptions {
  readonly timer: TimerService;
  readonly url: string;
  readonly method?: 'GET' | 'POST' | 'PUT';
  /** Sent as JSON. */
  readonly body?: object;
}

/** With the delay between attempts, retries last long enough for a crashed fake to restart. */
const MAX_ATTEMPTS = 100;
const RETRY_DELAY_MS = 100;

const HTTP_OK = 200;

/**
 * Sends a request to a fake, with retries while it is down. Resolves with its JSON response;
 * rejects on an error status.
 */
export async function sendFakeRequest(opts: SendFakeRequestOptions): Promise<unknown> {
  const { statusCode, body } = await sendWithRetries(opts);
  const response = await body.json();
  if (statusCode !== HTTP_OK) {
    throw new Error(`${opts.url} responded with status ${statusCode}`);
  }
  return response;
}

async function sendWithRetries(opts: SendFakeRequestOptions): ReturnType<typeof request> {
  const { url, method = 'GET', body } = opts;
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await request(url, { method, ...(body ? { body: JSON.stringify(body) } : {}) });
    } catch (error) {
      if (attempt === MAX_ATTEMPTS) {
        throw error;
      }
      await opts.timer.sleep({ delayMs: RETRY_DELAY_MS });
    }
  }
}
