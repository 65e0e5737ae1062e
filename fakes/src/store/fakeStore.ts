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

/** Faults that can be injected. */
export interface FakeStoreFaults {
  /** Every call fails with a broken connection, and open watches end. */
  readonly outage: boolean;
  /** Delay before a call takes effect. */
  readonly slowMs: number;
  /** Delay between the effect of a call and its response. */
  readonly slowAnswerMs: number;
  /** Number of following writes that take effect but whose response is lost. */
  readonly loseAnswers: number;
  /** Number of following writes that are lost before they reach the store. */
  readonly loseRequests: number;
}

/** Options of {@link FakeStore.create}; a rate of 0 means no limit. */
export interface FakeStoreOptions {
  /** Whether responses name the cluster; the default is yes. */
  readonly hasClusterId?: boolean;
  readonly timer: TimerService;
  readonly maxWritesPerSecond?: number;
  readonly maxReadsPerSecond?: number;
}

type StoreResult = Result<StoreResponse, TransportFailure>;

const NO_FAULTS: FakeStoreFaults = {
  outage: false,
  slowMs: 0,
  slowAnswerMs: 0,
  loseAnswers: 0,
  loseRequests: 0,
};

const BROKEN_CONNECTION: StoreResult = Result.err({
  kind: 'broken',
  detail: 'the connection broke',
});

const MAX_VALUE_BYTES = 1_048_576;
const MAX_TXN_OPERATIONS = 128;
const MAX_CALL_BYTES = 1_572_864;
const PROGRESS_INTERVAL_MS = 2_000;
const MS_PER_S = 1_000;

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_MANY = 429;

/** An in-process fake of the platform's store. */
export class FakeStore {
  /** Stored keys and leases. */
  readonly state: FakeStoreState;

  /** Sends calls without a network; an aborted call fails, but may still take effect. */
  readonly transport: StoreTransport = (call) =>
    Promise.race([this.call(call), breakOnAbort(call.signal)]);

  private faults = NO_FAULTS;

  private readonly counts = new Map<StoreCallKind, number>();

  private readonly recentCalls: { readonly atMs: number; readonly isWriteCall: boolean }[] = [];

  private readonly watches = new Set<AbortController>();

  private constructor(private readonly opts: FakeStoreOptions) {
    this.state = FakeStoreState.create({ timer: opts.timer });
  }

  /** Creates an empty store without faults. */
  static create(opts: FakeStoreOptions): FakeStore {
    return new FakeStore(opts);
  }

  /** Sets the given faults and leaves the others unchanged. */
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

  /** Returns the number of open watches. */
  countOpenWatches(): number {
    return this.watches.size;
  }

  /** Returns the number of calls by kind, without those that failed before reaching the store. */
  getCallCounts(): Readonly<Partial<Record<StoreCallKind, number>>> {
    return Object.fromEntries(this.counts);
  }

  /** Handles a call. */
  async call(call: StoreCall): Promise<StoreResult> {
    const isWriteCall = isWrite(call);
    if (this.faults.slowMs > 0) {
      await this.opts.timer.sleep({ delayMs: this.faults.slowMs });
    }
    if (this.faults.outage) {
      return BROKEN_CONNECTION;
    }
    if (isWriteCall && this.faults.loseRequests > 0) {
      this.faults = { ...this.faults, loseRequests: this.faults.loseRequests - 1 };
      return BROKEN_CONNECTION;
    }
    this.counts.set(call.kind, (this.counts.get(call.kind) ?? 0) + 1);
    if (this.isRateLimited(isWriteCall)) {
      return createResponse(HTTP_TOO_MANY, '{"error":"rate limit"}');
    }
    const result = this.execute(call);
    if (isWriteCall && this.faults.loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
      return BROKEN_CONNECTION;
    }
    if (this.faults.slowAnswerMs > 0) {
      await this.opts.timer.sleep({ delayMs: this.faults.slowAnswerMs });
    }
    // A caller that has disconnected gets no response, although the call took effect.
    return call.signal.aborted ? BROKEN_CONNECTION : result;
  }

  private execute(call: StoreCall): StoreResult {
    const request: unknown = JSON.parse(call.body);
    const { state } = this;
    switch (call.kind) {
      case 'range':
        return this.respond(state.range(request as EtcdRange));
      case 'txn': {
        const refusal = findTxnRefusal({ state, body: call.body, txn: request as EtcdTxn });
        return refusal ?? this.respond(state.txn(request as EtcdTxn));
      }
      case 'lease-grant': {
        const ttlS = Number((request as { TTL: string }).TTL);
        return this.respond({ ID: state.grantLease(ttlS * MS_PER_S), TTL: String(ttlS) });
      }
      case 'lease-keepalive': {
        const { ID } = request as { ID: string };
        return this.respond({ result: { ID, TTL: String(state.keepLeaseAlive(ID)) } });
      }
      case 'lease-revoke':
        state.revokeLease((request as { ID: string }).ID);
        return this.respond({});
      case 'watch':
        return Result.ok({ status: HTTP_OK, chunks: this.watch(call, request as EtcdWatch) });
      default:
        return createResponse(HTTP_BAD_REQUEST, '{"error":"unknown call"}');
    }
  }

  private respond(body: object): StoreResult {
    return createResponse(HTTP_OK, JSON.stringify({ header: this.createHeader(), ...body }));
  }

  private createHeader(): object {
    const { revision, clusterId } = this.state;
    const cluster = this.opts.hasClusterId === false ? {} : { cluster_id: String(clusterId) };
    return { revision: String(revision), ...cluster };
  }

  private async *watch(call: StoreCall, request: EtcdWatch): AsyncGenerator<string> {
    const { state } = this;
    const range = request.create_request;
    const lines = Mailbox.create<string>();
    const send = (body: object): void => {
      const header = this.createHeader();
      lines.put(`${JSON.stringify({ result: { header, ...body } })}\n`);
    };
    const end = (): void => {
      lines.close();
    };
    const stopEvents = state.onEvents((events) => {
      const matching = events.filter(({ kv }) => isInRange(range, decodeKey(kv.key)));
      if (matching.length > 0) {
        send({ events: matching });
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
    sendBacklog({ state, range, fromRevision: Number(range.start_revision), send });
    try {
      yield* lines.read();
      throw new Error('the watch broke');
    } finally {
      stopEvents();
      stopProgress();
      this.watches.delete(watch);
    }
  }

  /** Returns whether a call exceeds the rate limit of reads or writes; counts it if it does not. */
  private isRateLimited(isWriteCall: boolean): boolean {
    const limit = (isWriteCall ? this.opts.maxWritesPerSecond : this.opts.maxReadsPerSecond) ?? 0;
    if (limit === 0) {
      return false;
    }
    const nowMs = this.opts.timer.nowMs();
    while (this.recentCalls[0] && this.recentCalls[0].atMs <= nowMs - MS_PER_S) {
      this.recentCalls.shift();
    }
    if (this.recentCalls.filter((call) => call.isWriteCall === isWriteCall).length >= limit) {
      return true;
    }
    this.recentCalls.push({ atMs: nowMs, isWriteCall });
    return false;
  }
}

function sendBacklog(opts: {
  readonly state: FakeStoreState;
  readonly range: EtcdRange;
  readonly fromRevision: number;
  readonly send: (body: object) => void;
}): void {
  const { state, range, fromRevision, send } = opts;
  if (fromRevision > 0 && fromRevision < state.compactedRevision) {
    send({ canceled: true, compact_revision: String(state.compactedRevision) });
    return;
  }
  send({ created: true });
  const events: readonly EtcdEvent[] =
    fromRevision > 0 ? state.listEventsFrom({ ...range, fromRevision }) : [];
  if (events.length > 0) {
    send({ events });
  }
}

function isWrite(call: StoreCall): boolean {
  return call.kind !== 'range' && call.kind !== 'watch';
}

function findTxnRefusal(opts: {
  readonly state: FakeStoreState;
  readonly body: string;
  readonly txn: EtcdTxn;
}): StoreResult | undefined {
  const { state, body, txn } = opts;
  const operations = txn.success ?? [];
  const sizes = [operations.length, txn.compare?.length ?? 0, txn.failure?.length ?? 0];
  const writtenKeys = operations.map(
    (operation) => (operation.request_put ?? operation.request_delete_range)?.key,
  );
  if (Math.max(...sizes) > MAX_TXN_OPERATIONS) {
    return createRefusal('too many operations in txn request');
  }
  if (new Set(writtenKeys).size < writtenKeys.length) {
    return createRefusal('duplicate key given in txn request');
  }
  if (operations.some(({ request_put: put }) => !state.hasLease(put?.lease ?? '0'))) {
    return createRefusal('requested lease not found');
  }
  const isTooLarge = operations.some(
    ({ request_put: put }) => Buffer.byteLength(put?.value ?? '', 'base64') > MAX_VALUE_BYTES,
  );
  return isTooLarge || body.length > MAX_CALL_BYTES
    ? createRefusal('request is too large')
    : undefined;
}

function createRefusal(error: string): StoreResult {
  return createResponse(HTTP_BAD_REQUEST, JSON.stringify({ error }));
}

function createResponse(status: number, text: string): StoreResult {
  return Result.ok({ status, chunks: oneChunk(text) });
}

function breakOnAbort(signal: AbortSignal): Promise<StoreResult> {
  return new Promise((resolve) => {
    const onAbort = (): void => {
      resolve(BROKEN_CONNECTION);
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
