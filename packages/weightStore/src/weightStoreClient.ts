import { GalenatillerError } from '@galenatiller/error';
import { fetchText, findStatusError, type TextResponse } from '@galenatiller/http';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import { TokenBucket } from './tokenBucket.js';
import type { WeightManifest } from './weightManifest.js';
import { decodeManifest } from './wire.js';

/** Options of {@link WeightStoreClient.create}. */
export interface WeightStoreClientOptions {
  /** Base URL of the store. */
  readonly url: string;
  readonly timer: TimerService;
  /** This process's share of the store's rate limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Options of {@link WeightStoreClient.fetchManifest}. */
export interface FetchManifestOptions {
  readonly name: string;
  readonly signal: AbortSignal;
}

/** HTTP status of a response to a call over the rate limit. */
const TOO_MANY_REQUESTS = 429;

/** Pause after such a response without a `retry-after` header. */
const DEFAULT_PAUSE_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** A client of the weight store that keeps within the store's rate limit. */
export class WeightStoreClient {
  private readonly bucket: TokenBucket;

  private constructor(private readonly opts: WeightStoreClientOptions) {
    this.bucket = TokenBucket.create(opts);
  }

  /** Creates a client with a full token bucket. */
  static create(opts: WeightStoreClientOptions): WeightStoreClient {
    return new WeightStoreClient(opts);
  }

  /** Fetches the manifest of a set of weights; waits while the rate limit is exhausted. */
  async fetchManifest(
    opts: FetchManifestOptions,
  ): Promise<Result<WeightManifest, GalenatillerError>> {
    await this.bucket.take(opts.signal);
    const result = await fetchText({
      url: this.opts.url,
      path: `/v1/weights/${encodeURIComponent(opts.name)}`,
      method: 'GET',
      headers: {},
      body: '',
      signal: opts.signal,
    });
    return result.andThen((response) => this.readResponse(response));
  }

  private readResponse(response: TextResponse): Result<WeightManifest, GalenatillerError> {
    const { status, text } = response;
    if (status === TOO_MANY_REQUESTS) {
      const retryAfterMs = findPauseMs(response);
      this.bucket.pause(retryAfterMs);
      const detail = 'the weight store refused a call over its rate limit';
      return Result.err(GalenatillerError.create({ name: 'target-refused', detail, retryAfterMs }));
    }
    const failure = findStatusError({ status, text });
    return failure.isJust ? Result.err(failure.value) : decodeManifest(text);
  }
}

function findPauseMs({ header }: TextResponse): number {
  const seconds = Number(header('retry-after'));
  return seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_PAUSE_MS;
}
