import { pipe } from 'fp-ts/lib/function.js';
import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type {
  History,
  RequestRecord,
  TargetRun,
  Verdict,
  Violation,
  ViolationKind,
  ZoneChange,
} from './history.js';

/** Time from the order that takes a zone out until no run may start there. */
export const MAX_ZONE_OUT_DELAY_MS = 3_000;

/** Kinds of violations that count as lost and as crossed. */
const LOST_KINDS: readonly ViolationKind[] = ['unanswered', 'incomplete', 'no-effect'];
const CROSSED_KINDS: readonly ViolationKind[] = ['crossed', 'altered'];

/** Proves or refutes each invariant on the history of a run. */
export function checkHistory(history: History): Verdict {
  const violations = [
    ...history.requests.flatMap(checkEnd),
    ...checkTexts(history.requests),
    ...checkEffects(history),
    ...checkNotRun(history),
    ...checkZones(history),
    ...checkColdOverloads(history),
  ];
  const ends = history.requests.map((request) => request.end.kind);
  return {
    answered: ends.filter((kind) => kind === 'answered').length,
    refused: ends.filter((kind) => kind === 'refused').length,
    lost: countViolations(violations, LOST_KINDS),
    doubled: countViolations(violations, ['doubled']),
    crossed: countViolations(violations, CROSSED_KINDS),
    violations,
  };
}

function countViolations(
  violations: readonly Violation[],
  kinds: readonly ViolationKind[],
): number {
  return violations.filter(({ kind }) => kinds.includes(kind)).length;
}

/** Every request ends in a whole answer or a refusal. */
function checkEnd(request: RequestRecord): readonly Violation[] {
  const { end, text, expected, requestId, route } = request;
  if (end.kind === 'unanswered') {
    return [{ kind: 'unanswered', requestId, detail: `${route}: ${end.detail}` }];
  }
  if (end.kind === 'answered' && text !== expected && expected.startsWith(text)) {
    const detail = `${route}: ${text.length} of ${expected.length} characters came`;
    return [{ kind: 'incomplete', requestId, detail }];
  }
  return [];
}

/** What came, whole or not, is a piece of the right answer from its start. */
function checkTexts(requests: readonly RequestRecord[]): readonly Violation[] {
  const swapped = requests.filter(
    ({ requestId, bodyRequestId }) => bodyRequestId !== '' && bodyRequestId !== requestId,
  );
  const wrong = requests.filter(
    ({ expected, text }) => !expected.startsWith(text) && !swapped.some((r) => r.text === text),
  );
  const owners = wrong.length === 0 ? new Map<string, string>() : mapWordsToRequests(requests);
  return [
    ...swapped.map(({ requestId, bodyRequestId }) => ({
      kind: 'crossed' as const,
      requestId,
      detail: `the body belongs to ${bodyRequestId}`,
    })),
    ...wrong.map((request) => describeWrongText(request, owners)),
  ];
}

function mapWordsToRequests(requests: readonly RequestRecord[]): ReadonlyMap<string, string> {
  return new Map(
    requests.flatMap(({ expected, requestId }) =>
      splitWords(expected).map((word) => [word, requestId] as const),
    ),
  );
}

function describeWrongText(
  { requestId, route, text, expected }: RequestRecord,
  owners: ReadonlyMap<string, string>,
): Violation {
  const own = new Set(splitWords(expected));
  const foreign = splitWords(text).filter((word) => !own.has(word));
  const owned = foreign.find((word) => owners.has(word));
  if (owned !== undefined) {
    const detail = `${route}: "${owned}" is of ${owners.get(owned) ?? ''}`;
    return { kind: 'crossed', requestId, detail };
  }
  const found = foreign[0] ?? 'own words, not in order';
  return { kind: 'altered', requestId, detail: `${route}: ${found}` };
}

function splitWords(text: string): readonly string[] {
  return text.split(' ').filter((word) => word !== '');
}

/** A key has one effect at most, and an answer to it has one. */
function checkEffects(history: History): readonly Violation[] {
  const byKey = pipe(
    history.effects,
    RA.filter(({ runKey }) => runKey !== ''),
    RA.toArray,
    NEA.groupBy(({ runKey }) => runKey),
  );
  const doubled = Object.entries(byKey).flatMap(([runKey, effects]) =>
    effects.slice(1).map(({ requestId }) => ({
      kind: 'doubled' as const,
      requestId,
      detail: `key ${runKey}: effect after that of ${effects[0].requestId}`,
    })),
  );
  const withoutEffect = history.requests
    .filter(
      ({ atMostOnce, end, runKey }) => atMostOnce && end.kind === 'answered' && !byKey[runKey],
    )
    .map(({ requestId, runKey }) => ({
      kind: 'no-effect' as const,
      requestId,
      detail: `key ${runKey}: answered without an effect`,
    }));
  return [...doubled, ...withoutEffect];
}

/** A refusal that says `not-run` is of a request that no target has run. */
function checkNotRun({ requests, runs }: History): readonly Violation[] {
  const runOf = new Map(runs.map((run) => [run.requestId, run]));
  return requests.flatMap(({ end, requestId, route }) => {
    const run = runOf.get(requestId);
    if (end.kind !== 'refused' || end.outcome !== 'not-run' || requestId === '' || !run) {
      return [];
    }
    const place = `stage ${run.stageIndex} attempt ${run.attempt} on ${run.targetName}`;
    return [{ kind: 'false-not-run', requestId, detail: `${route}: ${end.code}, but ${place}` }];
  });
}

/** No run starts in a zone once the order to take it out is old enough. */
function checkZones({ runs, zoneChanges: zoneOrders }: History): readonly Violation[] {
  return runs.flatMap((run) => {
    const order = findLastZoneChange(zoneOrders, run);
    const lateMs = order?.state === 'out' ? run.startedWallMs - order.atWallMs : 0;
    if (lateMs <= MAX_ZONE_OUT_DELAY_MS) {
      return [];
    }
    const detail = `${run.targetName} in ${run.availabilityZone}, ${lateMs} ms after the order`;
    return [{ kind: 'zone-out-run', requestId: run.requestId, detail }];
  });
}

function findLastZoneChange(orders: readonly ZoneChange[], run: TargetRun): ZoneChange | undefined {
  return orders
    .filter((order) => order.availabilityZone === run.availabilityZone)
    .filter((order) => order.atWallMs <= run.startedWallMs)
    .sort((left, right) => right.atWallMs - left.atWallMs)[0];
}

/** A cold engine is never given more than it bears. */
function checkColdOverloads({ coldOverloads }: History): readonly Violation[] {
  return coldOverloads === 0
    ? []
    : [{ kind: 'cold-overload', requestId: '', detail: `${coldOverloads} times` }];
}
