import type { GalenatillerError } from '@galenatiller/error';
import type { JsonValue, StagePart } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** A caller's request, decoded and validated. */
export interface Call {
  readonly requestId: string;
  readonly organisation: string;
  readonly route: string;
  /** Input text of the first stage. */
  readonly prompt: string;
  /** Body of a plain service call; null when there is none. */
  readonly body: JsonValue;
  /** Maximum number of tokens to generate; 0 selects the limit of the stage. */
  readonly maxTokens: number;
  /** Deadline set by the caller; 0 selects the deadline of the route. */
  readonly deadlineMs: number;
  /** Value of the Idempotency-Key header; empty when there is none. */
  readonly runKey: string;
  /** Hex SHA-256 of the body as received. */
  readonly bodyDigest: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The complete response to a call. */
export interface CallResponse {
  /** Generated text; empty for a plain service call. */
  readonly text: string;
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length';
  /** Result of a last stage that generates no text, such as a service response; null otherwise. */
  readonly body: JsonValue;
}

/** Writes one part of a streamed response; resolves when the caller can accept more. */
export type WritePart = (part: StagePart) => Promise<void>;

/** Runs a call until it has ended. */
export type RunCall = (
  call: Call,
  writePart: WritePart,
) => Promise<Result<CallResponse, GalenatillerError>>;

/** Finds an organisation by the hex SHA-256 of a bearer key; empty when there is none. */
export type FindOrganisation = (keyHash: string) => string;
