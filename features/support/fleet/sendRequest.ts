import { createHash } from 'node:crypto';

import type { RequestRecord } from '@galenatiller/bench';
import type { Call, CallResponse } from '@galenatiller/caller';
import type { Entry } from '@galenatiller/entry';
import type { GalenatillerError } from '@galenatiller/error';
import { computeExpectedCompletion, computeExpectedReceipt } from '@galenatiller/fakes';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { DRAFT_TOKENS } from './fleetRules.js';
import type { FleetRequest } from './fleetTypes.js';
import type { NodeClock } from './nodeClock.js';

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  readonly request: FleetRequest;
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
const LOOK_MS = 250;

/** Tries of a caller whose connection breaks. */
const MAX_TRIES = 4;

type Ended = Result<CallResponse, GalenatillerError> | 'broken';

/** Behaves as a caller: sends the request, and sends it again when the connection breaks. */
export async function sendRequest(opts: SendRequestOptions): Promise<void> {
  const base = describe(opts);
  opts.onRecord(base);
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    let text = '';
    const requestId = `${base.requestId}-${tries}`;
    const found = opts.findEntry(tries);
    if (!found?.clock.isAlive || !found.entry.isReady()) {
      await opts.timer.sleep({ delayMs: LOOK_MS });
      continue;
    }
    const call: Call = { ...callOf(opts), requestId };
    const ended: Ended = await Promise.race([
      found.entry.runCall(call, (part) => {
        text += part.text;
        return Promise.resolve();
      }),
      untilDead(opts.timer, found.clock),
    ]);
    if (ended !== 'broken') {
      opts.onRecord({ ...base, requestId, bodyRequestId: requestId, ...endOf(ended, text) });
      return;
    }
  }
  opts.onRecord({ ...base, end: { kind: 'refused', code: 2009, outcome: 'may-have-run' } });
}

function describe({ request, index, timer }: SendRequestOptions): RequestRecord {
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
        ? computeExpectedCompletion(promptOf(index), DRAFT_TOKENS)
        : computeExpectedReceipt(runKey, JSON.stringify(bodyOf(request))),
    end: { kind: 'unanswered', detail: 'no end' },
  };
}

function callOf({ request, index }: SendRequestOptions): Omit<Call, 'requestId'> {
  return {
    organisation: 'booking-desk',
    route: request.route,
    prompt: promptOf(index),
    body: bodyOf(request),
    maxTokens: 0,
    deadlineMs: 0,
    runKey: request.route === 'reserve' ? `key-${request.key}` : '',
    bodyDigest: createHash('sha256')
      .update(JSON.stringify(bodyOf(request)))
      .digest('hex'),
    signal: new AbortController().signal,
  };
}

function promptOf(index: number): string {
  return `prompt ${index}`;
}

function bodyOf(request: FleetRequest): { readonly prop: number } {
  return { prop: request.key };
}

function endOf(
  ended: Result<CallResponse, GalenatillerError>,
  text: string,
): Pick<RequestRecord, 'end' | 'text'> {
  if (ended.isOk) {
    return { text: textOf(ended.value), end: { kind: 'answered' } };
  }
  const { code, outcome } = ended.error;
  return { text, end: { kind: 'refused', code, outcome } };
}

function textOf(answer: CallResponse): string {
  return answer.text !== '' ? answer.text : (answer.body as { readonly receipt: string }).receipt;
}

/** A caller notices that its entry was killed by its broken connection. */
async function untilDead(timer: TimerService, clock: NodeClock): Promise<'broken'> {
  while (clock.isAlive) {
    await timer.sleep({ delayMs: LOOK_MS });
  }
  return 'broken';
}
