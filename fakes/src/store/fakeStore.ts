import type {
  StoreCall,
  StoreCallKind,
  StoreResponse,
  StoreTransport,
  TransportFailure,
} from '@galenatiller/store';
import { Mailbox } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { EtcdEvent, EtcdRange, EtcdTxn, EtcdWatch } from './etcdMessages.js';
import { isInRange, FakeStoreState } from './fakeStoreState.js';

/** Faults on order. */
export interface FakeStoreFaults {
  /** Every call breaks and open watches end. */
  readonly outage: boolean;
  /** Time before a call takes effect, in milliseconds. */
  readonly slowMs: number;
  /** Time between the effect of a call and its answer, in milliseconds. */
  readonly slowAnswerMs: number;
  /** Number of writes to come whose answer is lost after they took effect. */
  readonly loseAnswers: number;
  /** Number of writes to come that are lost on their way to the store. */
  readonly loseRequests: number;
}

/** Options of {@link FakeStore.create}; a rate of 0 is no limit. */
export interface FakeStoreOptions {
  readonly timer: TimerService;
  readonly maxWritesPerSecond?: number;
  readonly maxReadsPerSecond?: number;
}

type StoreAnswer = Result<StoreResponse, TransportFailure>;

const NO_FAULTS: FakeStoreFaults = {
  outage: false,
  slowMs: 0,
  slowAnswerMs: 0,
  loseAnswers: 0,
  loseRequests: 0,
};

const BROKEN: StoreAnswer = Result.err({ kind: 'broken', detail: 'the connection broke' });

const MAX_VALUE_BYTES = 1_048_576;
const MAX_TXN_OPERATIONS = 128;
const MAX_CALL_BYTES = 1_572_864;
const PROGRESS_INTERVAL_MS = 2_000;
const MS_PER_S = 1_000;

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_MANY = 429;

/** A stand-in of the platform's store in one process. */
export class FakeStore {
  /** What the store keeps. */
  readonly state: FakeStoreState;

  /** Carries calls without a network; an abort breaks a call that the store may still run. */
  readonly transport: StoreTransport = (call) =>
    Promise.race([this.call(call), brokenOnAbort(call.signal)]);

  private faults = NO_FAULTS;

  private readonly counts = new Map<StoreCallKind, number>();

  private readonly recent: { readonly atMs: number; readonly write: boolean }[] = [];

  private readonly watches = new Set<AbortController>();

  private constructor(private readonly opts: FakeStoreOptions) {
    this.state = FakeStoreState.create({ timer: opts.timer });
  }

  /** Makes an empty store without faults. */
  static create(opts: FakeStoreOptions): FakeStore {
    return new FakeStore(opts);
  }

  /** Changes the given faults and leaves the others. */
  setFaults(faults: Partial<FakeStoreFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (this.faults.outage) {
      this.breakWatches();
    }
  }

  /** Ends every open watch, as a restart of the store does. */
  breakWatches(): void {
    this.watches.forEach((watch) => {
      watch.abort();
    });
  }

  /** Number of open watches. */
  countOpenWatches(): number {
    return this.watches.size;
  }

  /** Calls made so far, by kind; a call that broke before the store saw it is not counted. */
  getCallCounts(): Readonly<Partial<Record<StoreCallKind, number>>> {
    return Object.fromEntries(this.counts);
  }

  /** Answers one call. */
  async call(call: StoreCall): Promise<StoreAnswer> {
    const write = isWrite(call);
    if (this.faults.slowMs > 0) {
      await this.opts.timer.sleep({ delayMs: this.faults.slowMs });
    }
    if (this.faults.outage) {
      return BROKEN;
    }
    if (write && this.faults.loseRequests > 0) {
      this.faults = { ...this.faults, loseRequests: this.faults.loseRequests - 1 };
      return BROKEN;
    }
    this.counts.set(call.kind, (this.counts.get(call.kind) ?? 0) + 1);
    if (this.isOverRate(write)) {
      return answer(HTTP_TOO_MANY, '{"error":"rate limit"}');
    }
    const answered = this.run(call);
    if (write && this.faults.loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
      return BROKEN;
    }
    if (this.faults.slowAnswerMs > 0) {
      await this.opts.timer.sleep({ delayMs: this.faults.slowAnswerMs });
    }
    // A caller that has gone away gets no answer, though the call took effect.
    return call.signal.aborted ? BROKEN : answered;
  }

  private run(call: StoreCall): StoreAnswer {
    const request: unknown = JSON.parse(call.body);
    const { state } = this;
    switch (call.kind) {
      case 'range':
        return this.reply(state.range(request as EtcdRange));
      case 'txn': {
        const refusal = refuseTxn({ core: state, body: call.body, txn: request as EtcdTxn });
        return refusal ?? this.reply(state.txn(request as EtcdTxn));
      }
      case 'lease-grant': {
        const ttlS = Number((request as { TTL: string }).TTL);
        return this.reply({ ID: state.grantLease(ttlS * MS_PER_S), TTL: String(ttlS) });
      }
      case 'lease-keepalive': {
        const { ID } = request as { ID: string };
        return this.reply({ result: { ID, TTL: String(state.keepLeaseAlive(ID)) } });
      }
      case 'lease-revoke':
        state.revokeLease((request as { ID: string }).ID);
        return this.reply({});
      case 'watch':
        return Result.ok({ status: HTTP_OK, chunks: this.watch(call, request as EtcdWatch) });
      default:
        return answer(HTTP_BAD_REQUEST, '{"error":"unknown call"}');
    }
  }

  private reply(body: object): StoreAnswer {
    const header = { revision: String(this.state.revision) };
    return answer(HTTP_OK, JSON.stringify({ header, ...body }));
  }

  private async *watch(call: StoreCall, request: EtcdWatch): AsyncGenerator<string> {
    const { state } = this;
    const range = request.create_request;
    const lines = Mailbox.create<string>();
    const send = (body: object): void => {
      const header = { revision: String(state.revision) };
      lines.put(`${JSON.stringify({ result: { header, ...body } })}\n`);
    };
    const end = (): void => {
      lines.close();
    };
    const stopEvents = state.onEvents((events) => {
      const seen = events.filter(({ kv }) => isInRange(range, decodeKey(kv.key)));
      if (seen.length > 0) {
        send({ events: seen });
      }
    });
    const stopProgress = this.opts.timer.every({
      intervalMs: PROGRESS_INTERVAL_MS,
      notify: () => {
        send({});
      },
    });
    const watch = new AbortController();
    watch.signal.addEventListener('abort', end);
    call.signal.addEventListener('abort', end);
    this.watches.add(watch);
    if (call.signal.aborted) {
      end();
    }
    sendBacklog({ core: state, range, fromRevision: Number(range.start_revision), send });
    try {
      yield* lines.read();
      throw new Error('the watch broke');
    } finally {
      stopEvents();
      stopProgress();
      this.watches.delete(watch);
    }
  }

  private isOverRate(write: boolean): boolean {
    const limit = (write ? this.opts.maxWritesPerSecond : this.opts.maxReadsPerSecond) ?? 0;
    if (limit === 0) {
      return false;
    }
    const nowMs = this.opts.timer.nowMs();
    while (this.recent[0] && this.recent[0].atMs <= nowMs - MS_PER_S) {
      this.recent.shift();
    }
    if (this.recent.filter((call) => call.write === write).length >= limit) {
      return true;
    }
    this.recent.push({ atMs: nowMs, write });
    return false;
  }
}

function sendBacklog(opts: {
  readonly core: FakeStoreState;
  readonly range: EtcdRange;
  readonly fromRevision: number;
  readonly send: (body: object) => void;
}): void {
  const { core, range, fromRevision, send } = opts;
  if (fromRevision > 0 && fromRevision < core.compactedRevision) {
    send({ canceled: true, compact_revision: String(core.compactedRevision) });
    return;
  }
  send({ created: true });
  const events: readonly EtcdEvent[] =
    fromRevision > 0 ? core.listEventsFrom({ ...range, fromRevision }) : [];
  if (events.length > 0) {
    send({ events });
  }
}

function isWrite(call: StoreCall): boolean {
  return call.kind !== 'range' && call.kind !== 'watch';
}

function refuseTxn(opts: {
  readonly core: FakeStoreState;
  readonly body: string;
  readonly txn: EtcdTxn;
}): StoreAnswer | undefined {
  const { core, body, txn } = opts;
  const operations = txn.success ?? [];
  const sizes = [operations.length, txn.compare?.length ?? 0, txn.failure?.length ?? 0];
  const writtenKeys = operations.map(
    (operation) => (operation.request_put ?? operation.request_delete_range)?.key,
  );
  if (Math.max(...sizes) > MAX_TXN_OPERATIONS) {
    return refuse('too many operations in txn request');
  }
  if (new Set(writtenKeys).size < writtenKeys.length) {
    return refuse('duplicate key given in txn request');
  }
  if (operations.some(({ request_put: put }) => !core.hasLease(put?.lease ?? '0'))) {
    return refuse('requested lease not found');
  }
  const tooLarge = operations.some(
    ({ request_put: put }) => Buffer.byteLength(put?.value ?? '', 'base64') > MAX_VALUE_BYTES,
  );
  return tooLarge || body.length > MAX_CALL_BYTES ? refuse('request is too large') : undefined;
}

function refuse(error: string): StoreAnswer {
  return answer(HTTP_BAD_REQUEST, JSON.stringify({ error }));
}

function answer(status: number, text: string): StoreAnswer {
  return Result.ok({ status, chunks: oneChunk(text) });
}

function brokenOnAbort(signal: AbortSignal): Promise<StoreAnswer> {
  return new Promise((resolve) => {
    const onAbort = (): void => {
      resolve(BROKEN);
    };
    signal.addEventListener('abort', onAbort, { once: true });
  });
}

async function* oneChunk(text: string): AsyncGenerator<string> {
  yield Promise.resolve(text);
}

function decodeKey(key: string): string {
  return Buffer.from(key, 'base64').toString('utf8');
}
