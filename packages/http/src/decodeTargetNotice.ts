import type { PauseRequest, TargetNotice } from '@galenatiller/types';

/** Options of {@link decodeTargetNotice}. */
export interface DecodeTargetNoticeOptions {
  readonly status: number;
  /** Returns the values of a header separated by commas, or an empty string. */
  readonly header: (name: string) => string;
}

const LEAVING_HEADER = 'server-leaving';
const PAUSE_HEADER = 'retry-after';

/** Only a target that turns a request away asks for a pause. */
const SERVICE_UNAVAILABLE = 503;

const MS_PER_S = 1_000;
const SECONDS = /^[+-]?(\d+(\.\d*)?|\.\d+)$/;

/** Decodes what the head of an answer says about its target; undefined when it says nothing. */
export function decodeTargetNotice(opts: DecodeTargetNoticeOptions): TargetNotice | undefined {
  const { status, header } = opts;
  const isLeaving = splitValues(header(LEAVING_HEADER)).includes('1');
  const text = status === SERVICE_UNAVAILABLE ? header(PAUSE_HEADER) : '';
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
