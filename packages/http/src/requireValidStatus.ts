import type { Dispatcher } from 'undici';

import { ignoreError } from './connection.js';

const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** The response itself. Throws if its status is none of HTTP, and then reads no more of it. */
export function requireValidStatus(response: Dispatcher.ResponseData): Dispatcher.ResponseData {
  const { statusCode, body } = response;
  if (statusCode >= MIN_STATUS && statusCode <= MAX_STATUS) {
    return response;
  }
  body.on('error', ignoreError);
  body.destroy();
  throw new Error(`status ${statusCode} is not between ${MIN_STATUS} and ${MAX_STATUS}`);
}
