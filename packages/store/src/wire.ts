/** The etcd v3 JSON mapping: the only module that knows the store's messages. */
import { z } from 'zod';

import type { KeyExpectation, KeyWrite, StoreEntry, WatchEvent } from './storeTypes.js';

/** One page of a range answer. */
export interface RangePage {
  readonly entries: readonly StoreEntry[];
  readonly more: boolean;
  /** Revision of the store when it answered. */
  readonly revision: number;
}

/** Answer to a transaction; `current` holds the expected keys when it did not succeed. */
export interface TxnResponse {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly current: readonly StoreEntry[];
}

/** One message of a watch. */
export interface WatchMessage {
  /** Every change up to this revision has been reported. */
  readonly seenRevision: number;
  /** The store no longer has the changes that were asked for. */
  readonly cancelled: boolean;
  readonly events: readonly WatchEvent[];
}

/** A swap as the store gets it. */
export interface EncodeTxnOptions {
  readonly expected: readonly KeyExpectation[];
  readonly puts: readonly KeyWrite[];
  readonly deletes: readonly string[];
  readonly writeToken: string;
}

const int64 = z.coerce.number().default(0);
const header = z.object({ revision: int64 }).default({ revision: 0 });
const keyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  create_revision: int64,
  mod_revision: int64,
});
const rangeReply = z.object({
  header,
  kvs: z.array(keyValue).default([]),
  more: z.boolean().default(false),
});
const txnReply = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeReply.optional() })).default([]),
});
const lease = z.object({ ID: z.string().default(''), TTL: int64 });
const watchReply = z.object({
  result: z.object({
    header,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValue }))
      .default([]),
  }),
});

/** Ends the write token in a stored value. */
const TOKEN_END = '\n';

/** Encodes a range over one key, or from a key up to the end of a prefix. */
export function encodeRange(opts: {
  readonly key: string;
  readonly prefix?: string;
  readonly limit?: number;
  readonly keysOnly?: boolean;
}): string {
  return JSON.stringify({
    key: toBase64(opts.key),
    range_end: opts.prefix === undefined ? undefined : toBase64(prefixEnd(opts.prefix)),
    limit: opts.limit === undefined ? undefined : String(opts.limit),
    keys_only: opts.keysOnly,
  });
}

/** Decodes a range answer. */
export function decodeRange(text: string): RangePage {
  return toRangePage(rangeReply.parse(JSON.parse(text)));
}

/** Encodes a swap; its failure branch reads the keys that it depends on. */
export function encodeTxn(opts: EncodeTxnOptions): string {
  return JSON.stringify({
    compare: opts.expected.map(({ key, modRevision }) => ({
      key: toBase64(key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(modRevision),
    })),
    success: [
      ...opts.puts.map((put) => ({
        request_put: {
          key: toBase64(put.key),
          value: toBase64(opts.writeToken + TOKEN_END + put.value),
          lease: put.leaseId,
        },
      })),
      ...opts.deletes.map((key) => ({ request_delete_range: { key: toBase64(key) } })),
    ],
    failure: opts.expected.map(({ key }) => ({ request_range: { key: toBase64(key) } })),
  });
}

/** Decodes the answer to a swap. */
export function decodeTxn(text: string): TxnResponse {
  const reply = txnReply.parse(JSON.parse(text));
  const current = reply.responses.flatMap(({ response_range: range }) => range?.kvs ?? []);
  return {
    succeeded: reply.succeeded,
    revision: reply.header.revision,
    current: current.map(toEntry),
  };
}

/** Encodes the request for a lease; the store rounds to whole seconds. */
export function encodeLeaseGrant(ttlMs: number): string {
  return JSON.stringify({ TTL: String(Math.ceil(ttlMs / MS_PER_S)), ID: '0' });
}

/** Decodes a granted lease. */
export function decodeLeaseGrant(text: string): {
  readonly leaseId: string;
  readonly ttlMs: number;
} {
  const reply = lease.parse(JSON.parse(text));
  return { leaseId: reply.ID, ttlMs: reply.TTL * MS_PER_S };
}

/** Encodes a keep-alive or a revocation. */
export function encodeLeaseId(leaseId: string): string {
  return JSON.stringify({ ID: leaseId });
}

/** Decodes the time that a lease has left, in milliseconds; 0 when it has lapsed. */
export function decodeLeaseKeepAlive(text: string): number {
  return z.object({ result: lease }).parse(JSON.parse(text)).result.TTL * MS_PER_S;
}

/** Whether a refusal says that a write names a lease that has lapsed. */
export function isLeaseNotFound(text: string): boolean {
  return text.includes('requested lease not found');
}

/** Encodes a watch of a prefix from a revision on. */
export function encodeWatch(opts: {
  readonly prefix: string;
  readonly fromRevision: number;
}): string {
  return JSON.stringify({
    create_request: {
      key: toBase64(opts.prefix),
      range_end: toBase64(prefixEnd(opts.prefix)),
      start_revision: String(opts.fromRevision),
      progress_notify: true,
    },
  });
}

/** Decodes one line of a watch. */
export function decodeWatch(text: string): WatchMessage {
  const { result } = watchReply.parse(JSON.parse(text));
  const revisions = result.events.map(({ kv }) => kv.mod_revision);
  // The first message names the store's revision before it has reported older changes.
  const headerRevision = result.created ? 0 : result.header.revision;
  return {
    seenRevision: revisions.length > 0 ? Math.max(...revisions) : headerRevision,
    cancelled: result.canceled,
    events: result.events.map(({ type, kv }) =>
      type === 'PUT'
        ? { kind: 'put', entry: toEntry(kv) }
        : { kind: 'delete', key: fromBase64(kv.key), modRevision: kv.mod_revision },
    ),
  };
}

const MS_PER_S = 1_000;

function toRangePage(reply: z.infer<typeof rangeReply>): RangePage {
  return {
    entries: reply.kvs.map(toEntry),
    more: reply.more,
    revision: reply.header.revision,
  };
}

function toEntry(kv: z.infer<typeof keyValue>): StoreEntry {
  const stored = fromBase64(kv.value);
  const end = stored.indexOf(TOKEN_END);
  return {
    key: fromBase64(kv.key),
    value: stored.slice(end + 1),
    writeToken: stored.slice(0, Math.max(0, end)),
    createRevision: kv.create_revision,
    modRevision: kv.mod_revision,
  };
}

/** The first key after every key with the prefix; keys are ASCII. */
function prefixEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
