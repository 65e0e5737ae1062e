import type { RunEndKind } from '@galenatiller/engine';
import { findResultCodeByNumber, type ResultCodeName } from '@galenatiller/error';
import type { StageEnd } from '@galenatiller/types';

/** Run ends by the result codes that are evidence about the target. */
const KINDS: Readonly<Partial<Record<ResultCodeName, RunEndKind>>> = {
  ok: 'ok',
  'stream-broken': 'broken',
  'target-failed': 'failed',
  'target-unreachable': 'unreachable',
};

/** Detail of a refusal by a target in cold start. */
const COLD_DETAIL = 'cold';

/** Classifies the end of a run by what it shows about the target. */
export function classifyRunEnd(end: StageEnd): RunEndKind {
  const name = findResultCodeByNumber(end.code).name as ResultCodeName;
  if (name === 'target-refused' && end.detail === COLD_DETAIL) {
    return 'cold';
  }
  return KINDS[name] ?? 'no-evidence';
}
