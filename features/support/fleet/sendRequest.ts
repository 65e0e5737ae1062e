import { createHash } from 'node:crypto';

import type { RequestRecord } from '@galenatiller/bench';
import type { Call, CallResponse } from '@galenatiller/caller';
import type { Entry } from '@galenatiller/entry';
import type { GalenatillerError } from '@galenatiller/error';
import { expectedAnswer, expectedReceipt } from '@galenatiller/fakes';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { DRAFT_TOKENS } from './createRules.js';
import type { ScheduledRequest } from './simulationTypes.js';
import type { NodeClock } from './nodeClock.js';

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  readonly request: ScheduledRequest;
  readonly index: number;
  readonly timer: TimerService;
  /** The entry that a try goes to. */
  readonly findEntry: (
    tries: number,
  ) => { readonly entry: Entry; readonly clock: NodeClock } | undefined;
  /** Told when the request is issued and again when it ends. */
  readonly onRecord: (record: RequestRecord) => void;
}

/** How often a caller looks whether its entry still lives. */
const POLL_INTERVAL_MS = 250;

/** Tries of a caller whose connection breaks. */
const MAX_ATTEMPTS = 4;

type CallEnd = Result<CallResponse, GalenatillerError> | 'broken';

/** Behaves as a caller: sends the request, and sends it again when the connection breaks. */
export async function sendRequest(opts: SendRequestOptions): Promise<void> {
  const base = createUnansweredRecord(opts);
  opts.onRecord(base);
  for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
    let text = '';
    const requestId = `${base.requestId}-${tries}`;
    const found = opts.findEntry(tries);
    if (!found?.clock.isAlive || !found.entry.isReady()) {
      await opts.timer.sleep({ delayMs: POLL_INTERVAL_MS });
      continue;
    }
    const call: Call = { ...createCall(opts), requestId };
    const ended: CallEnd = await Promise.race([
      found.entry.runCall(call, (part) => {
        text += part.text;
        return Promise.resolve();
      }),
      waitForKill(opts.timer, found.clock),
    ]);
    if (ended !== 'broken') {
      opts.onRecord({ ...base, requestId, bodyRequestId: requestId, ...toRequestEnd(ended, text) });
      return;
    }
  }
  opts.onRecord({ ...base, end: { kind: 'refused', code: 2009, outcome: 'may-have-run' } });
}

function createUnansweredRecord({ request, index, timer }: SendRequestOptions): RequestRecord {
  const atMostOnce = request.route === 'reserve';
  const runKey = atMostOnce ? `key-${request.key}` : '';
  return {
    requestId: `request-${index}`,
    bodyRequestId: '',
    organisation: 'booking-desk',
    route: request.route,
    runKey,
    atMostOnce,
    issuedWallMs: timer.wallMs(),
    text: '',
    expected:
      request.route === 'draft'
        ? expectedAnswer(getPrompt(index), DRAFT_TOKENS)
        : expectedReceipt(runKey, JSON.stringify(getBody(request))),
    end: { kind: 'unanswered', detail: 'no end' },
  };
}

function createCall({ request, index }: SendRequestOptions): Omit<Call, 'requestId'> {
  return {
    organisation: 'booking-desk',
    route: request.route,
    prompt: getPrompt(index),
    body: getBody(request),
    maxTokens: 0,
    deadlineMs: 0,
    runKey: request.route === 'reserve' ? `key-${request.key}` : '',
    bodyDigest: createHash('sha256')
      .update(JSON.stringify(getBody(request)))
      .digest('hex'),
    signal: new AbortController().signal,
  };
}

function getPrompt(index: number): string {
  return `prompt ${index}`;
}

function getBody(request: ScheduledRequest): { readonly prop: number } {
  return { prop: request.key };
}

function toRequestEnd(
  ended: Result<CallResponse, GalenatillerError>,
  text: string,
): Pick<RequestRecord, 'end' | 'text'> {
  if (ended.isOk) {
    return { text: getResponseText(ended.value), end: { kind: 'answered' } };
  }
  const { code, outcome } = ended.error;
  return { text, end: { kind: 'refused', code, outcome } };
}

function getResponseText(answer: CallResponse): string {
  return answer.text !== '' ? answer.text : (answer.body as { readonly receipt: string }).receipt;
}

/** A caller notices that its entry was killed by its broken connection. */
async function waitForKill(timer: TimerService, clock: NodeClock): Promise<'broken'> {
  while (clock.isAlive) {
    await timer.sleep({ delayMs: POLL_INTERVAL_MS });
  }
  return 'broken';
}
