import type { PauseRequest, TargetNotice } from '@galenatiller/types';

/** Options of {@link decodeTargetNotice}. */
export interface DecodeTargetNoticeOptions {
  readonly status: number;
  /** Values, separated by commas, of the header in which a target says that it is leaving. */
  readonly leaving: string;
  /** Values of the Retry-After header, separated by commas. */
  readonly retryAfter: string;
}

/** Only a target that turns a request away asks for a pause. */
const SERVICE_UNAVAILABLE = 503;

const MS_PER_S = 1_000;
const SECONDS = /^[+-]?(\d+(\.\d*)?|\.\d+)$/;

/** Decodes what the head of an answer says about its target; undefined when it says nothing. */
export function decodeTargetNotice(opts: DecodeTargetNoticeOptions): TargetNotice | undefined {
  const isLeaving = splitValues(opts.leaving).includes('1');
  const text = opts.status === SERVICE_UNAVAILABLE ? opts.retryAfter : '';
  if (text === '') {
    return isLeaving ? { isLeaving } : undefined;
  }
  return { isLeaving, pause: decodePause(text) };
}

function decodePause(text: string): PauseRequest {
  const valuesMs = splitValues(text).map((value) =>
    SECONDS.test(value) ? Number(value) * MS_PER_S : Number.NaN,
  );
  return { text, valuesMs };
}

function splitValues(text: string): readonly string[] {
  return text.split(',').map((value) => value.trim());
}
