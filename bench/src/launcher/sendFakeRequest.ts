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

/** A crashed fake comes back meanwhile. */
const MAX_ATTEMPTS = 100;
const RETRY_DELAY_MS = 100;

const HTTP_OK = 200;

/** Asks a fake and waits for it while it is down; gives its JSON answer, rejects on a refusal. */
export async function sendFakeRequest(opts: SendFakeRequestOptions): Promise<unknown> {
  const { statusCode, body } = await sendWithRetries(opts);
  const answer = await body.json();
  if (statusCode !== HTTP_OK) {
    throw new Error(`${opts.url} answered ${statusCode}`);
  }
  return answer;
}

async function sendWithRetries(opts: SendFakeRequestOptions): ReturnType<typeof request> {
  const { url, method = 'GET', body } = opts;
  for (let tries = 1; ; tries += 1) {
    try {
      return await request(url, { method, ...(body ? { body: JSON.stringify(body) } : {}) });
    } catch (error) {
      if (tries === MAX_ATTEMPTS) {
        throw error;
      }
      await opts.timer.sleep({ delayMs: RETRY_DELAY_MS });
    }
  }
}
