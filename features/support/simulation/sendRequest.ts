import { createHash } from 'node:crypto';

import type { RequestRecord } from '@galenatiller/bench';
import type { Call, CallResponse, WritePart } from '@galenatiller/caller';
import type { GalenatillerError } from '@galenatiller/error';
import { computeExpectedCompletion, computeExpectedReceipt } from '@galenatiller/fakes';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { DRAFT_TOKENS } from './createRules.js';
import type { ScheduledRequest } from './simulationTypes.js';
import type { SimulatedEntry } from './simulatedNodes.js';

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  readonly request: ScheduledRequest;
  readonly index: number;
  readonly timer: TimerService;
  /** Returns the entry for an attempt. */
  readonly findEntry: (attempt: number) => SimulatedEntry | undefined;
  /** Called when the request is sent, and again when it has ended. */
  readonly onRecord: (record: RequestRecord) => void;
}

/** Interval at which a caller checks whether its entry is alive. */
const POLL_INTERVAL_MS = 250;

/** Maximum number of attempts of a caller whose connection breaks. */
const MAX_ATTEMPTS = 4;

type CallEnd = Result<CallResponse, GalenatillerError> | 'killed' | 'stopped';

/** Simulates a caller: sends the request, and retries it when the connection breaks. */
export async function sendRequest(opts: SendRequestOptions): Promise<void> {
  const record = createUnansweredRecord(opts);
  opts.onRecord(record);
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    let text = '';
    const requestId = `${record.requestId}-${attempt}`;
    const simulatedEntry = opts.findEntry(attempt);
    if (!simulatedEntry?.clock.isAlive || !simulatedEntry.entry.isReady()) {
      await opts.timer.sleep({ delayMs: POLL_INTERVAL_MS });
      continue;
    }
    const call: Call = { ...createCall(opts), requestId };
    const ended: CallEnd = await Promise.race([
      runCall(simulatedEntry, call, (part) => {
        text += part.text;
        return Promise.resolve();
      }),
      waitForEnd(opts.timer, simulatedEntry),
    ]);
    if (ended === 'stopped') {
      const detail = 'the entry stopped and closed the connection without an answer';
      opts.onRecord({ ...record, requestId, text, end: { kind: 'unanswered', detail } });
      return;
    }
    if (ended !== 'killed') {
      opts.onRecord({
        ...record,
        requestId,
        bodyRequestId: requestId,
        ...toRequestEnd(ended, text),
      });
      return;
    }
  }
  opts.onRecord({ ...record, end: { kind: 'refused', code: 2009, outcome: 'may-have-run' } });
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
        ? computeExpectedCompletion(getPrompt(request, index), DRAFT_TOKENS)
        : computeExpectedReceipt(runKey, JSON.stringify(getBody(request))),
    end: { kind: 'unanswered', detail: 'the request did not end' },
  };
}

function createCall({ request, index }: SendRequestOptions): Omit<Call, 'requestId'> {
  return {
    organisation: 'booking-desk',
    route: request.route,
    prompt: getPrompt(request, index),
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

function getPrompt(request: ScheduledRequest, index: number): string {
  return request.prompt ?? `prompt ${index}`;
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

function getResponseText(response: CallResponse): string {
  return response.text !== ''
    ? response.text
    : (response.body as { readonly receipt: string }).receipt;
}

function runCall(
  { entry, calls }: SimulatedEntry,
  call: Call,
  writePart: WritePart,
): Promise<Result<CallResponse, GalenatillerError>> {
  return new Promise((resolve) => {
    calls.start(async () => {
      resolve(await entry.runCall(call, writePart));
    });
  });
}

/** Resolves when the process of the entry has ended, which a caller notices by its connection. */
async function waitForEnd(
  timer: TimerService,
  entry: SimulatedEntry,
): Promise<'killed' | 'stopped'> {
  while (entry.clock.isAlive) {
    await timer.sleep({ delayMs: POLL_INTERVAL_MS });
  }
  return entry.state === 'stopped' ? 'stopped' : 'killed';
}
