import type { GalenatillerError } from '@galenatiller/error';
import type { JsonValue, StagePart } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** A caller's request after its bytes were checked. */
export interface Call {
  readonly requestId: string;
  readonly organisation: string;
  readonly route: string;
  /** Text that the first stage works on. */
  readonly prompt: string;
  /** Body for a plain service call; null when there is none. */
  readonly body: JsonValue;
  /** Most tokens to generate; 0 takes the limit of the stage. */
  readonly maxTokens: number;
  /** Deadline that the caller set; 0 takes the deadline of the route. */
  readonly deadlineMs: number;
  /** Idempotency-Key of the caller; empty when there is none. */
  readonly runKey: string;
  /** Hex SHA-256 of the body as received. */
  readonly bodyDigest: string;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

/** The whole answer to a call. */
export interface CallResponse {
  /** Generated text; empty for a plain service call. */
  readonly text: string;
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length';
  /** Body of a plain service call; null for generated text. */
  readonly body: JsonValue;
}

/** Takes one piece of streamed text; resolves when the caller can take more. */
export type WritePart = (part: StagePart) => Promise<void>;

/** Runs one call to its end. */
export type RunCall = (
  call: Call,
  writePart: WritePart,
) => Promise<Result<CallResponse, GalenatillerError>>;

/** Finds the organisation of a bearer key by the hex SHA-256 of the key; empty when there is none. */
export type FindOrganisation = (keyHash: string) => string;
