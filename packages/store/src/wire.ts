/** Encodes and decodes the store's messages (etcd v3 JSON mapping); no other module knows them. */
import { z } from 'zod';

import type { StoreHeader } from './restoreDetector.js';
import type { KeyExpectation, KeyWrite, StoreEntry, WatchEvent } from './storeTypes.js';

/** One page of a range response. */
export interface RangePage {
  readonly entries: readonly StoreEntry[];
  readonly more: boolean;
  /** Store revision at the time of the response. */
  readonly revision: number;
}

/** Response to a transaction; `current` holds the expected keys if it did not succeed. */
export interface TxnResponse {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly current: readonly StoreEntry[];
}

/** One message of a watch. */
export interface WatchMessage {
  readonly header: StoreHeader;
  /** Every change up to this revision has been reported. */
  readonly seenRevision: number;
  /** The store no longer has the requested changes. */
  readonly cancelled: boolean;
  readonly events: readonly WatchEvent[];
}

/** A compare-and-swap to encode as a transaction. */
export interface EncodeTxnOptions {
  readonly expected: readonly KeyExpectation[];
  readonly puts: readonly KeyWrite[];
  readonly deletes: readonly string[];
  readonly writeToken: string;
}

const int64 = z.coerce.number().default(0);
const headerSchema = z
  .object({ revision: int64, cluster_id: z.string().default('') })
  .default({ revision: 0, cluster_id: '' });
const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  create_revision: int64,
  mod_revision: int64,
});
const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
  more: z.boolean().default(false),
});
const txnResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeResponseSchema.optional() })).default([]),
});
const leaseResponseSchema = z.object({ ID: z.string().default(''), TTL: int64 });
const watchResponseSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema }))
      .default([]),
  }),
});

const responseSchema = z.object({ header: headerSchema });

/** Separates the write token from the value in a stored value. */
const TOKEN_END = '\n';

/** Decodes the header that every response has. */
export function decodeHeader(body: unknown): StoreHeader {
  return toHeader(responseSchema.parse(body).header);
}

/** Encodes a range request for one key, or from a key to the end of a prefix. */
export function encodeRange(opts: {
  readonly key: string;
  readonly prefix?: string;
  readonly limit?: number;
  readonly keysOnly?: boolean;
}): string {
  return JSON.stringify({
    key: toBase64(opts.key),
    range_end: opts.prefix === undefined ? undefined : toBase64(computePrefixEnd(opts.prefix)),
    limit: opts.limit === undefined ? undefined : String(opts.limit),
    keys_only: opts.keysOnly,
  });
}

/** Decodes a range response. */
export function decodeRange(body: unknown): RangePage {
  return toRangePage(rangeResponseSchema.parse(body));
}

/** Encodes a swap as a transaction whose failure branch reads the expected keys. */
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

/** Decodes the response to a swap. */
export function decodeTxn(body: unknown): TxnResponse {
  const response = txnResponseSchema.parse(body);
  const current = response.responses.flatMap(({ response_range: range }) => range?.kvs ?? []);
  return {
    succeeded: response.succeeded,
    revision: response.header.revision,
    current: current.map(toEntry),
  };
}

/** Encodes a lease request; the time to live is rounded up to whole seconds. */
export function encodeLeaseGrant(ttlMs: number): string {
  return JSON.stringify({ TTL: String(Math.ceil(ttlMs / MS_PER_S)), ID: '0' });
}

/** Decodes a granted lease. */
export function decodeLeaseGrant(body: unknown): {
  readonly leaseId: string;
  readonly ttlMs: number;
} {
  const response = leaseResponseSchema.parse(body);
  return { leaseId: response.ID, ttlMs: response.TTL * MS_PER_S };
}

/** Encodes a keep-alive or revoke request. */
export function encodeLeaseId(leaseId: string): string {
  return JSON.stringify({ ID: leaseId });
}

/** Decodes the remaining time of a lease in milliseconds; 0 if it has expired. */
export function decodeLeaseKeepAlive(body: unknown): number {
  return z.object({ result: leaseResponseSchema }).parse(body).result.TTL * MS_PER_S;
}

/** Whether an error response says that the lease of a write does not exist any more. */
export function isLeaseNotFound(text: string): boolean {
  return text.includes('requested lease not found');
}

/** Encodes a request to watch a prefix from a revision on. */
export function encodeWatch(opts: {
  readonly prefix: string;
  readonly fromRevision: number;
}): string {
  return JSON.stringify({
    create_request: {
      key: toBase64(opts.prefix),
      range_end: toBase64(computePrefixEnd(opts.prefix)),
      start_revision: String(opts.fromRevision),
      progress_notify: true,
    },
  });
}

/** Decodes one line of a watch response. */
export function decodeWatch(text: string): WatchMessage {
  const { result } = watchResponseSchema.parse(JSON.parse(text));
  const revisions = result.events.map(({ kv }) => kv.mod_revision);
  // The first message carries the store revision although older changes have not been sent yet.
  const headerRevision = result.created ? 0 : result.header.revision;
  return {
    header: toHeader(result.header),
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

function toHeader(header: z.infer<typeof headerSchema>): StoreHeader {
  return { clusterId: header.cluster_id, revision: header.revision };
}

function toRangePage(response: z.infer<typeof rangeResponseSchema>): RangePage {
  return {
    entries: response.kvs.map(toEntry),
    more: response.more,
    revision: response.header.revision,
  };
}

function toEntry(kv: z.infer<typeof keyValueSchema>): StoreEntry {
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

/** The smallest key greater than all keys with the prefix; keys are ASCII. */
function computePrefixEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
